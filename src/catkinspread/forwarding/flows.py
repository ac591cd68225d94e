"""The flows that pass an instance.

The table is a cache: any packet of an open flow also names its upstream by the token that both
ends return, so another instance can take over a flow that it has never seen.
"""

import heapq

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
        look_at_ms: When the table looks at the flow again; set by the table.
    """

    __slots__ = (
        "acknowledged",
        "busy_since_ms",
        "first_at_ms",
        "is_closed",
        "is_open",
        "key",
        "last_at_ms",
        "look_at_ms",
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
        self.look_at_ms = now_ms

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
        overdue_at_ms = self._compute_overdue_at_ms()
        return overdue_at_ms is not None and now_ms >= overdue_at_ms

    def compute_due_ms(self, idle_timeout_ms: int, after_ms: int = 0) -> int:
        """Returns when the flow is expired or its request overdue, if nothing more comes.

        Args:
            idle_timeout_ms: Time without packets after which an open flow is expired.
            after_ms: A request that is overdue by this time does not count.
        """
        if not self.is_open:
            return self.opened_at_ms + OPENING_TIMEOUT_MS
        limit_ms = CLOSED_RETENTION_MS if self.is_closed else idle_timeout_ms
        due_ms = self.last_at_ms + limit_ms
        overdue_at_ms = self._compute_overdue_at_ms()
        if overdue_at_ms is not None and overdue_at_ms > after_ms:
            due_ms = min(due_ms, overdue_at_ms)
        return due_ms

    def _compute_overdue_at_ms(self) -> int | None:
        if self.busy_since_ms is None:
            return None
        return self.busy_since_ms + (
            self.route.timeout_ms if self.route else REQUEST_TIMEOUT_DEFAULT_MS
        )

    def is_expired(self, now_ms: int, idle_timeout_ms: int) -> bool:
        """Whether nothing of the flow is expected any more."""
        if not self.is_open:
            return now_ms - self.opened_at_ms >= OPENING_TIMEOUT_MS
        limit_ms = CLOSED_RETENTION_MS if self.is_closed else idle_timeout_ms
        return now_ms - self.last_at_ms >= limit_ms


class FlowTable:
    """The flows by both ends, and in the order in which they have to be looked at.

    Each flow has one valid place in the order. A change that makes a flow due earlier gives it a new
    place; one that makes it due later is found when its place comes up. The cost of a look
    depends on the flows that are due, not on all that there are.
    """

    __slots__ = ("_entry_count", "_flows", "_order")

    def __init__(self) -> None:
        self._flows: dict[FlowKey, Flow] = {}
        self._order: list[tuple[int, int, Flow]] = []
        self._entry_count = 0

    def __len__(self) -> int:
        return len(self._flows)

    def find(self, key: FlowKey) -> Flow | None:
        """Returns a flow, or None if it is not known."""
        return self._flows.get(key)

    def add(self, flow: Flow) -> None:
        """Adds a flow in place of an earlier one with the same ends."""
        self._flows[flow.key] = flow
        self._schedule(flow, flow.opened_at_ms + OPENING_TIMEOUT_MS)

    def expect_sooner(self, flow: Flow, idle_timeout_ms: int) -> None:
        """Notes that a flow may be due earlier, because it got a request or was closed."""
        due_ms = flow.compute_due_ms(idle_timeout_ms)
        if due_ms < flow.look_at_ms:
            self._schedule(flow, due_ms)

    def remove_expired(self, now_ms: int, idle_timeout_ms: int) -> list[Flow]:
        """Removes the flows of which nothing is expected.

        Returns:
            The flows whose request ends without an answer: those removed with one, and those
            that stay but were not answered in time.
        """
        unanswered = []
        while self._order and self._order[0][0] <= now_ms:
            due_ms, _, flow = heapq.heappop(self._order)
            if flow.look_at_ms != due_ms or self._flows.get(flow.key) is not flow:
                continue  # The flow has another place in the order, or is gone.
            is_expired = flow.is_expired(now_ms, idle_timeout_ms)
            if flow.is_overdue(now_ms) or (is_expired and flow.busy_since_ms is not None):
                unanswered.append(flow)
            if is_expired:
                del self._flows[flow.key]
            else:
                # A flow that is overdue now gets its next place from the time after its request.
                due_ms = flow.compute_due_ms(idle_timeout_ms, now_ms)
                self._schedule(flow, max(now_ms + 1, due_ms))
        return unanswered

    def _schedule(self, flow: Flow, due_ms: int) -> None:
        flow.look_at_ms = due_ms
        self._entry_count += 1
        heapq.heappush(self._order, (due_ms, self._entry_count, flow))
