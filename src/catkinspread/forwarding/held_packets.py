"""Packets of unknown flows that wait until other instances have told the upstream of the flow."""

import heapq

import msgspec

from catkinspread.forwarding.packets import CallerPacket, FlowKey

# Time that packets wait for the answers of other instances. Instances of a data centre answer within
# a few ms; the rest is a margin for busy ones.
HOLD_MS = 20
# The same for packets that are dropped without an answer. Callers retransmit them after 200 ms.
HOLD_UNPROVEN_MS = 150
# Packets held at once; the callers retransmit those that are dropped beyond it.
HELD_PACKETS_MAX = 1_024


class ReleasedPackets(msgspec.Struct, frozen=True):
    """Packets of a flow that wait no longer.

    Attributes:
        packets: The packets, in the order of their arrival.
        uptime_by_host: Times in ms for which the instances that do not know the flow have kept
            flows, by address.
    """

    packets: list[CallerPacket]
    uptime_by_host: dict[str, int]


class _HeldFlow:
    """Packets of a flow that wait.

    Attributes:
        awaited: Addresses of the instances that have not answered.
        due_at_ms: When the wait ends.
        uptime_by_host: Times in ms for which those that do not know the flow have kept flows.
        packets: The packets, in the order of their arrival.
    """

    __slots__ = ("awaited", "due_at_ms", "packets", "uptime_by_host")

    def __init__(self, awaited: frozenset[str], due_at_ms: int) -> None:
        self.awaited = set(awaited)
        self.due_at_ms = due_at_ms
        self.uptime_by_host: dict[str, int] = {}
        self.packets: list[CallerPacket] = []


class HeldPackets:
    """Queues packets by flow, each flow from its first packet on for a limited time."""

    __slots__ = ("_count", "_flows", "_queue", "_sequence")

    def __init__(self) -> None:
        self._flows: dict[FlowKey, _HeldFlow] = {}
        self._queue: list[tuple[int, int, FlowKey]] = []
        self._sequence = 0
        self._count = 0

    def __contains__(self, key: FlowKey) -> bool:
        return key in self._flows

    def start(self, key: FlowKey, awaited: frozenset[str], now_ms: int, hold_ms: int) -> None:
        """Starts the wait of a flow.

        Args:
            key: Key of the flow.
            awaited: Addresses of the instances that will answer.
            now_ms: Current time.
            hold_ms: Longest wait.
        """
        due_at_ms = now_ms + hold_ms
        self._flows[key] = _HeldFlow(awaited, due_at_ms)
        self._sequence += 1
        heapq.heappush(self._queue, (due_at_ms, self._sequence, key))

    def add(self, packet: CallerPacket) -> bool:
        """Holds a packet of a flow that waits; returns False if HELD_PACKETS_MAX are held already."""
        if self._count >= HELD_PACKETS_MAX:
            return False
        self._flows[packet.key].packets.append(packet)
        self._count += 1
        return True

    def record_unknown(self, key: FlowKey, host: str, uptime_ms: int) -> bool:
        """Notes that an instance does not know a flow; returns whether no answer is missing now.

        The answer of an instance that is not awaited, for example because it has just started, does
        not stand for that of another one.

        Args:
            key: Key of the flow.
            host: Address of the instance.
            uptime_ms: Time for which it has kept flows, in ms.
        """
        held = self._flows.get(key)
        if held is None:
            return False
        if host in held.awaited:
            held.awaited.discard(host)
            held.uptime_by_host[host] = uptime_ms
        return not held.awaited

    def pop(self, key: FlowKey) -> ReleasedPackets:
        """Removes the packets of a flow."""
        held = self._flows.pop(key, None)
        if held is None:
            return ReleasedPackets([], {})
        self._count -= len(held.packets)
        return ReleasedPackets(held.packets, held.uptime_by_host)

    def pop_due(self, now_ms: int) -> list[ReleasedPackets]:
        """Removes the packets of the flows that have waited long enough and returns them by flow."""
        due = []
        while self._queue and self._queue[0][0] <= now_ms:
            due_at_ms, _, key = heapq.heappop(self._queue)
            held = self._flows.get(key)
            if held is None or held.due_at_ms != due_at_ms:
                continue  # Its packets were released, and others may wait since.
            released = self.pop(key)
            if released.packets:
                due.append(released)
        return due

    def get_next_due_at_ms(self) -> int | None:
        """Returns the time in ms at which the next flow is due; None if none waits."""
        return self._queue[0][0] if self._queue else None
