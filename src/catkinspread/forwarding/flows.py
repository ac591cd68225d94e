"""The flows that pass an instance.

The table is a cache: any packet of an open flow also names its upstream by the token that both
ends return, so another instance can take over a flow that it has never seen.
"""

from catkinspread.deployment import KnownUpstream, Route
from catkinspread.forwarding.packets import CallerPacket, FlowKey

# Both ends may still repeat packets this long after the caller closed a flow.
CLOSED_RETENTION_MS = 4_000
# Callers give up opening a flow after 1.4 s.
OPENING_TIMEOUT_MS = 1_500
# Time for the answer to a request whose route is not known.
REQUEST_TIMEOUT_DEFAULT_MS = 2_000


class Flow:
    """One flow.

    Attributes:
        key: Both ends of the flow.
        route: Route that it was opened for; None if another instance opened it.
        upstream: Upstream that holds it; while it is opening, the one tried last.
        tried: Upstreams that were sent the opening packet, in order.
        opening_packet: The opening packet while no upstream has answered.
        opening_sequence: Sequence number of the opening packet; None if another instance
            opened the flow.
        opened_at_ms: When the opening packet was sent to the upstream last.
        first_at_ms: When the first packet of the flow arrived.
        is_open: Whether an upstream has answered.
        is_closed: Whether the caller closed it.
        last_at_ms: When the last packet arrived.
        busy_since_ms: When the caller sent the request that waits for an answer; None if
            none waits.
        acknowledged: Highest acknowledgement of the caller.
        request_id: Identifier of the latest request; empty if it was not seen.
        retransmissions: Packets with data that did not advance the flow.
        next_sequence: Number after the last byte that the caller sent.
    """

    __slots__ = (
        "acknowledged",
        "busy_since_ms",
        "first_at_ms",
        "is_closed",
        "is_open",
        "key",
        "last_at_ms",
        "next_sequence",
        "opened_at_ms",
        "opening_packet",
        "opening_sequence",
        "request_id",
        "retransmissions",
        "route",
        "tried",
        "upstream",
    )

    def __init__(
        self, key: FlowKey, route: Route | None, upstream: KnownUpstream, now_ms: int
    ) -> None:
        self.key = key
        self.route = route
        self.upstream = upstream
        self.tried: tuple[KnownUpstream, ...] = ()
        self.opening_packet: CallerPacket | None = None
        self.opening_sequence: int | None = None
        self.opened_at_ms = now_ms
        self.first_at_ms = now_ms
        self.is_open = False
        self.is_closed = False
        self.last_at_ms = now_ms
        self.busy_since_ms: int | None = None
        self.acknowledged = 0
        self.request_id = ""
        self.retransmissions = 0
        self.next_sequence = 0

    def is_opened_by(self, packet: CallerPacket) -> bool:
        """Whether a packet is a copy of the opening packet that still waits for an answer."""
        waiting = self.opening_packet
        return not self.is_open and waiting is not None and waiting.sequence == packet.sequence

    def is_delayed_copy(self, packet: CallerPacket, now_ms: int) -> bool:
        """Whether an opening packet is a copy of the one that opened this flow.

        The opening sequence of a flow that another instance opened is not known; its caller
        sends copies only as long as an opening may take.
        """
        if not self.is_open:
            return False
        if self.opening_sequence is None:
            return not self.is_closed and now_ms - self.first_at_ms < OPENING_TIMEOUT_MS
        return packet.sequence == self.opening_sequence

    def is_overdue(self, now_ms: int) -> bool:
        """Whether the caller no longer waits for the answer to its request."""
        if self.busy_since_ms is None:
            return False
        timeout_ms = self.route.timeout_ms if self.route else REQUEST_TIMEOUT_DEFAULT_MS
        return now_ms - self.busy_since_ms >= timeout_ms

    def is_expired(self, now_ms: int, idle_timeout_ms: int) -> bool:
        """Whether nothing of the flow is expected any more."""
        if not self.is_open:
            return now_ms - self.opened_at_ms >= OPENING_TIMEOUT_MS
        limit_ms = CLOSED_RETENTION_MS if self.is_closed else idle_timeout_ms
        return now_ms - self.last_at_ms >= limit_ms


class FlowTable:
    """The flows by both ends."""

    __slots__ = ("_flows",)

    def __init__(self) -> None:
        self._flows: dict[FlowKey, Flow] = {}

    def __len__(self) -> int:
        return len(self._flows)

    def find(self, key: FlowKey) -> Flow | None:
        """Returns a flow, or None if it is not known."""
        return self._flows.get(key)

    def add(self, flow: Flow) -> None:
        """Adds a flow in place of an earlier one with the same ends."""
        self._flows[flow.key] = flow

    def remove_expired(self, now_ms: int, idle_timeout_ms: int) -> list[Flow]:
        """Removes the flows of which nothing is expected.

        Returns:
            The flows whose request ends without an answer: those removed with one, and those
            that stay but were not answered in time.
        """
        expired = []
        unanswered = []
        for flow in self._flows.values():
            if flow.is_expired(now_ms, idle_timeout_ms):
                expired.append(flow)
                if flow.busy_since_ms is not None:
                    unanswered.append(flow)
            elif flow.is_overdue(now_ms):
                unanswered.append(flow)
        for flow in expired:
            del self._flows[flow.key]
        return unanswered
