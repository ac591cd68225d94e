"""The table of the flows that an instance forwards.

The table is a cache. Both ends of an established flow also send the token of its upstream with each
packet, so that an instance can forward a flow that it has no entry for.
"""

import heapq

from catkinspread.deployment import KnownUpstream, Route
from catkinspread.forwarding.flow_tokens import (
    TokenStage,
    is_attempt_token,
    is_recent_attempt,
    names_upstream,
)
from catkinspread.forwarding.packets import CallerPacket, FlowKey
from catkinspread.forwarding.sequence_numbers import advance_sequence, compute_sequence_distance

# Both ends may retransmit packets for this time after the caller closed a flow.
CLOSED_RETENTION_MS = 4_000
# Time after the last attempt until a handshake has failed. Callers stop opening a flow after 1.4 s;
# the remaining 0.1 s is a margin.
HANDSHAKE_TIMEOUT_MS = 1_500
# Data that a caller may have in flight when a flow opens: 16 packets of 1,200 bytes, and a margin.
FIRST_WINDOW_BYTES = 32_768
# Largest difference between the sequence numbers that two instances know of the same flow. Flows of
# the same ports differ by more than it with a probability of 99.95%.
SEQUENCE_TOLERANCE_BYTES = 1 << 20
# Request time-out of flows without a route.
REQUEST_TIMEOUT_DEFAULT_MS = 2_000
# Read for each opening packet. Reading a member from its enumeration takes longer than a call on
# Python 3.11.
_FIRST_ATTEMPT = TokenStage.FIRST_ATTEMPT
_REPEATED_ATTEMPT = TokenStage.REPEATED_ATTEMPT


def is_same_flow(sequence: int, other: int) -> bool:
    """Whether two sequence numbers of flows of the same ports can belong to one flow."""
    ahead = compute_sequence_distance(sequence, other)
    behind = compute_sequence_distance(other, sequence)
    return min(ahead, behind) <= SEQUENCE_TOLERANCE_BYTES


class Attempt:
    """An opening packet that was sent to an upstream.

    Attributes:
        upstream: The upstream.
        sent_at_ms: When the packet was sent.
        timed_out_at_ms: When it had timed out; None before.
    """

    __slots__ = ("sent_at_ms", "timed_out_at_ms", "upstream")

    def __init__(self, upstream: KnownUpstream, sent_at_ms: int) -> None:
        self.upstream = upstream
        self.sent_at_ms = sent_at_ms
        self.timed_out_at_ms: int | None = None

    @property
    def awaited_until_ms(self) -> int:
        """When the attempt had timed out, or was made if it had not; see `UpstreamLoad`."""
        return self.sent_at_ms if self.timed_out_at_ms is None else self.timed_out_at_ms


class Flow:
    """The state of one flow.

    Attributes:
        key: Both ends of the flow.
        route: Route of the service address; None if there was none for an adopted flow.
        upstream: Upstream that serves the flow; during the handshake, the last one attempted.
        attempts: Attempts to open the flow, in order.
        opening_packet: The opening packet; None once an upstream has answered it.
        opening_sequence: Sequence number of the opening packet; None if another instance
            opened the flow.
        last_attempt_at_ms: When the opening packet was last sent to an upstream.
        created_at_ms: When the first packet of the flow arrived at this instance.
        is_established: Whether an upstream has answered the opening packet.
        is_closed: Whether the caller closed the flow, or this instance reset it.
        is_reset: Whether this instance reset it.
        last_packet_at_ms: When the last packet arrived.
        pending_since_ms: Since when the upstream owes an answer: during the handshake to the
            opening packet, afterwards to a request. None if it owes none. The end of the
            handshake starts the wait for the answer to the first request.
        acknowledged: Highest acknowledgement number received from the caller.
        request_id: Identifier of the latest request; empty if unknown.
        occupied_at_request: Requests in flight on the upstream, own and reported, when the latest
            request began, including itself. None once it is answered, or if no request was seen.
        is_contested: Whether an upstream that does not hold the flow may have answered its opening
            packet, so that the caller may return the token of that one.
        is_opened_by_copy: Whether the first packet that arrived here was a retransmission of the
            opening packet, so that another instance may have sent the first one to an upstream.
        is_handed_over: Whether others were told it during a planned stop.
        is_answered: Whether the caller has acknowledged data of the upstream through this instance.
        last_token: Token field of the last packet of the caller.
        retransmissions: Number of data packets that did not advance the sequence.
        next_sequence: Sequence number after the last byte received from the caller.
        next_check_at_ms: When the table checks the flow for expiry; set by the table.
    """

    __slots__ = (
        "acknowledged",
        "attempts",
        "created_at_ms",
        "is_answered",
        "is_closed",
        "is_contested",
        "is_established",
        "is_handed_over",
        "is_opened_by_copy",
        "is_reset",
        "key",
        "last_attempt_at_ms",
        "last_packet_at_ms",
        "last_token",
        "next_check_at_ms",
        "next_sequence",
        "occupied_at_request",
        "opening_packet",
        "opening_sequence",
        "pending_since_ms",
        "request_id",
        "retransmissions",
        "route",
        "upstream",
    )

    def __init__(
        self, key: FlowKey, route: Route | None, upstream: KnownUpstream, now_ms: int
    ) -> None:
        self.key = key
        self.route = route
        self.upstream = upstream
        self.attempts: list[Attempt] = []
        self.opening_packet: CallerPacket | None = None
        self.opening_sequence: int | None = None
        self.last_attempt_at_ms = now_ms
        self.created_at_ms = now_ms
        self.is_established = False
        self.is_answered = False
        self.is_closed = False
        self.is_contested = False
        self.is_handed_over = False
        self.is_reset = False
        self.is_opened_by_copy = False
        self.last_packet_at_ms = now_ms
        self.pending_since_ms: int | None = None
        self.acknowledged = 0
        self.last_token = 0
        self.request_id = ""
        self.occupied_at_request: int | None = None
        self.retransmissions = 0
        self.next_sequence = 0
        self.next_check_at_ms = now_ms

    @property
    def attempted(self) -> tuple[KnownUpstream, ...]:
        """Upstreams that the opening packet was sent to, in order."""
        return tuple(attempt.upstream for attempt in self.attempts)

    @property
    def last_attempt_stage(self) -> TokenStage:
        """Stage in the token of the last attempt."""
        is_first = len(self.attempts) == 1 and not self.is_opened_by_copy
        return _FIRST_ATTEMPT if is_first else _REPEATED_ATTEMPT

    def find_attempt(self, token: int) -> Attempt | None:
        """Returns the attempt at the upstream that a token field names; None if there was none."""
        for attempt in self.attempts:
            if names_upstream(token, attempt.upstream):
                return attempt
        return None

    def may_be_misplaced(self, now_ms: int) -> bool:
        """Whether an instance without an entry cannot find the upstream by the caller's token.

        Either another upstream may have answered the opening packet, or the caller returns the token
        of an attempt although its handshake has ended.
        """
        if self.is_contested:
            return True
        if not is_attempt_token(self.last_token):
            return False
        return self.is_answered or not is_recent_attempt(self.last_token, now_ms)

    def record_timeout(self, now_ms: int) -> None:
        """Notes that the last attempt was not answered in time."""
        if self.attempts and self.attempts[-1].timed_out_at_ms is None:
            self.attempts[-1].timed_out_at_ms = now_ms

    def is_handshake_retransmission(self, packet: CallerPacket) -> bool:
        """Whether a packet is a retransmission of the opening packet during the handshake."""
        opening = self.opening_packet
        return (
            not self.is_established and opening is not None and opening.sequence == packet.sequence
        )

    def is_doubtful(self, packet: CallerPacket) -> bool:
        """Whether the handshake may have ended through another instance, on any of the upstreams.

        Its end has no data, so a packet with data that comes first may follow a later answer. So may
        any packet once another instance has seen the handshake end.
        """
        if self.is_established or not self.matches_sequence(packet.sequence):
            return False
        has_ended_elsewhere = self.opening_packet is None and self.opening_sequence is not None
        is_repeated = len(self.attempts) > 1
        return has_ended_elsewhere or (is_repeated and packet.payload_size_bytes > 0)

    def matches_sequence(self, sequence: int) -> bool:
        """Whether the packet that ends the handshake has a sequence number of this flow.

        Packets of an earlier flow with the same key may arrive late. The first packet of a flow
        follows its opening packet, or comes up to FIRST_WINDOW_BYTES later if others were lost. A
        reset may have the number of the opening packet itself.
        """
        if self.opening_sequence is None:
            return True
        distance = compute_sequence_distance(sequence, self.opening_sequence)
        return distance <= FIRST_WINDOW_BYTES

    def is_first_data(self, sequence: int) -> bool:
        """Whether a packet with a sequence number has the first data of the flow.

        It is unknown for a flow that another instance opened, and then taken as false.
        """
        return self.opening_sequence is not None and sequence == advance_sequence(
            self.opening_sequence, 1
        )

    def is_same_open_flow(self, sequence: int) -> bool:
        """Whether this flow is open and a packet with a sequence number can belong to it.

        Other packets may have gone through other instances.
        """
        if not self.is_established or self.is_closed:
            return False
        return is_same_flow(sequence, self.next_sequence)

    def is_late_retransmission(self, packet: CallerPacket, now_ms: int) -> bool:
        """Whether a packet is a retransmission of the opening packet after the handshake.

        The opening sequence of a flow that another instance opened is unknown. Any opening packet
        that arrives within HANDSHAKE_TIMEOUT_MS after this instance adopted the flow counts as a
        retransmission, because its caller sends none later.
        """
        if not self.is_established:
            return False
        if self.opening_sequence is None:
            return not self.is_closed and now_ms - self.created_at_ms < HANDSHAKE_TIMEOUT_MS
        return packet.sequence == self.opening_sequence

    def is_request_overdue(self, now_ms: int) -> bool:
        """Whether the upstream owes an answer for longer than the request time-out."""
        deadline_ms = self._compute_request_deadline_ms()
        return deadline_ms is not None and now_ms >= deadline_ms

    def compute_next_check_at_ms(self, idle_timeout_ms: int, after_ms: int = 0) -> int:
        """Returns when the flow expires or its request times out, if no more packets arrive.

        The result is a time in ms on the clock of `now_ms`.

        Args:
            idle_timeout_ms: Time without packets after which an established flow expires.
            after_ms: Time up to which request deadlines are ignored.
        """
        if not self.is_established:
            return self.last_attempt_at_ms + HANDSHAKE_TIMEOUT_MS
        limit_ms = CLOSED_RETENTION_MS if self.is_closed else idle_timeout_ms
        check_at_ms = self.last_packet_at_ms + limit_ms
        deadline_ms = self._compute_request_deadline_ms()
        if deadline_ms is not None and deadline_ms > after_ms:
            check_at_ms = min(check_at_ms, deadline_ms)
        return check_at_ms

    def _compute_request_deadline_ms(self) -> int | None:
        if self.pending_since_ms is None:
            return None
        return self.pending_since_ms + (
            self.route.timeout_ms if self.route else REQUEST_TIMEOUT_DEFAULT_MS
        )

    def is_expired(self, now_ms: int, idle_timeout_ms: int) -> bool:
        """Whether the flow can be removed because no more packets are expected."""
        if not self.is_established:
            return now_ms - self.last_attempt_at_ms >= HANDSHAKE_TIMEOUT_MS
        limit_ms = CLOSED_RETENTION_MS if self.is_closed else idle_timeout_ms
        return now_ms - self.last_packet_at_ms >= limit_ms


class FlowTable:
    """A table of flows by key with a priority queue of expiry checks.

    Each flow has one valid queue entry; entries with an outdated time are skipped. A change that
    makes a check due earlier adds a new entry. A change that makes it due later is detected when
    the existing entry is processed. The cost of expiry therefore depends on the number of due
    entries, not on the size of the table.

    An index lists the flows that are open on each upstream: established and not closed.
    """

    __slots__ = ("_flows", "_open_by_upstream", "_queue", "_queue_sequence")

    def __init__(self) -> None:
        self._flows: dict[FlowKey, Flow] = {}
        self._open_by_upstream: dict[str, set[Flow]] = {}
        self._queue: list[tuple[int, int, Flow]] = []
        self._queue_sequence = 0

    def __len__(self) -> int:
        return len(self._flows)

    def find(self, key: FlowKey) -> Flow | None:
        """Returns the flow with a key, or None if there is none."""
        return self._flows.get(key)

    def add(self, flow: Flow) -> None:
        """Adds a flow and replaces an earlier one with the same key."""
        previous = self._flows.get(flow.key)
        if previous is not None:
            self._remove_from_index(previous)
        self._flows[flow.key] = flow
        self._schedule(flow, flow.last_attempt_at_ms + HANDSHAKE_TIMEOUT_MS)

    def mark_established(self, flow: Flow) -> None:
        """Marks a flow as established on its current upstream, which it keeps."""
        flow.is_established = True
        name = flow.upstream.record.name
        self._open_by_upstream.setdefault(name, set()).add(flow)

    def mark_closed(self, flow: Flow) -> None:
        """Marks a flow as closed; it stays in the table for CLOSED_RETENTION_MS."""
        flow.is_closed = True
        self._remove_from_index(flow)

    def list_open_flows(self, upstream: KnownUpstream) -> list[Flow]:
        """Returns the flows that are open on an upstream."""
        return list(self._open_by_upstream.get(upstream.record.name, ()))

    def list_misplaced(self, now_ms: int) -> list[Flow]:
        """Returns the open flows that others cannot find by their tokens."""
        return [
            flow
            for flow in self._flows.values()
            if flow.is_established and not flow.is_closed and flow.may_be_misplaced(now_ms)
        ]

    def has_open_flows(self, upstream: KnownUpstream) -> bool:
        """Whether any flow is open on an upstream."""
        return upstream.record.name in self._open_by_upstream

    def reschedule(self, flow: Flow, idle_timeout_ms: int) -> None:
        """Moves the check of a flow forward if a request or a close makes it due earlier."""
        check_at_ms = flow.compute_next_check_at_ms(idle_timeout_ms)
        if check_at_ms < flow.next_check_at_ms:
            self._schedule(flow, check_at_ms)

    def remove_expired(self, now_ms: int, idle_timeout_ms: int) -> list[Flow]:
        """Removes the expired flows.

        Returns:
            The flows with an unanswered request: those that were removed with a pending request,
            and those that remain but whose request has timed out.
        """
        unanswered = []
        while self._queue and self._queue[0][0] <= now_ms:
            check_at_ms, _, flow = heapq.heappop(self._queue)
            if flow.next_check_at_ms != check_at_ms or self._flows.get(flow.key) is not flow:
                continue  # The entry is outdated or the flow was removed.
            is_expired = flow.is_expired(now_ms, idle_timeout_ms)
            if flow.is_request_overdue(now_ms) or (
                is_expired and flow.pending_since_ms is not None
            ):
                unanswered.append(flow)
            if is_expired:
                del self._flows[flow.key]
                self._remove_from_index(flow)
            else:
                # The deadline of a request that is overdue now must not schedule the next check.
                check_at_ms = flow.compute_next_check_at_ms(idle_timeout_ms, now_ms)
                self._schedule(flow, max(now_ms + 1, check_at_ms))
        return unanswered

    def _remove_from_index(self, flow: Flow) -> None:
        name = flow.upstream.record.name
        flows = self._open_by_upstream.get(name)
        if flows is None:
            return
        flows.discard(flow)
        if not flows:
            del self._open_by_upstream[name]

    def _schedule(self, flow: Flow, check_at_ms: int) -> None:
        flow.next_check_at_ms = check_at_ms
        self._queue_sequence += 1
        heapq.heappush(self._queue, (check_at_ms, self._queue_sequence, flow))
