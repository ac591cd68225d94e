"""Packets of unknown flows that wait until other instances have told the upstream of the flow."""

import heapq

from catkinspread.forwarding.packets import CallerPacket, FlowKey

# Time that packets wait for the answers of other instances. Instances of a data centre answer within
# a few ms; the rest is a margin for busy ones.
HOLD_MS = 20
# Packets held at once; the callers retransmit those that are dropped beyond it.
HELD_PACKETS_MAX = 1_024


class _HeldFlow:
    """Packets of a flow, and the addresses of the instances that have not answered."""

    __slots__ = ("awaited", "packets")

    def __init__(self, awaited: frozenset[str]) -> None:
        self.awaited = set(awaited)
        self.packets: list[CallerPacket] = []


class HeldPackets:
    """Queues packets by flow, each flow from its first packet on for HOLD_MS."""

    __slots__ = ("_count", "_flows", "_queue", "_sequence")

    def __init__(self) -> None:
        self._flows: dict[FlowKey, _HeldFlow] = {}
        self._queue: list[tuple[int, int, FlowKey]] = []
        self._sequence = 0
        self._count = 0

    def __contains__(self, key: FlowKey) -> bool:
        return key in self._flows

    def start(self, key: FlowKey, awaited: frozenset[str], now_ms: int) -> None:
        """Starts the wait of a flow.

        Args:
            key: Key of the flow.
            awaited: Addresses of the instances that will answer.
            now_ms: Current time.
        """
        self._flows[key] = _HeldFlow(awaited)
        self._sequence += 1
        heapq.heappush(self._queue, (now_ms + HOLD_MS, self._sequence, key))

    def add(self, packet: CallerPacket) -> bool:
        """Holds a packet of a flow that waits; returns False if HELD_PACKETS_MAX are held already."""
        if self._count >= HELD_PACKETS_MAX:
            return False
        self._flows[packet.key].packets.append(packet)
        self._count += 1
        return True

    def record_unknown(self, key: FlowKey, host: str) -> bool:
        """Notes that an instance does not know a flow; returns whether no answer is missing now.

        The answer of an instance that is not awaited, for example because it has just started, does
        not stand for that of another one.
        """
        held = self._flows.get(key)
        if held is None:
            return False
        held.awaited.discard(host)
        return not held.awaited

    def pop(self, key: FlowKey) -> list[CallerPacket]:
        """Removes the packets of a flow and returns them in the order of their arrival."""
        held = self._flows.pop(key, None)
        packets = held.packets if held else []
        self._count -= len(packets)
        return packets

    def pop_due(self, now_ms: int) -> list[list[CallerPacket]]:
        """Removes the packets of the flows that have waited for HOLD_MS and returns them by flow."""
        due = []
        while self._queue and self._queue[0][0] <= now_ms:
            _, _, key = heapq.heappop(self._queue)
            packets = self.pop(key)
            if packets:
                due.append(packets)
        return due

    def get_next_due_at_ms(self) -> int | None:
        """Returns the time in ms at which the next flow is due; None if none waits."""
        return self._queue[0][0] if self._queue else None
