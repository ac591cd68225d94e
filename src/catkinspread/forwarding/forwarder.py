"""Forwarding decisions for the packets of callers.

An opening packet is sent to an upstream that the placement selects; later packets go to the
upstream of their flow. If an upstream does not answer an opening packet within the handshake
time-out, the instance sends the packet to another upstream before the caller retransmits it. Flows
of upstreams that no longer serve them are reset.

A flow that this instance has no entry for was opened through another one; see `flow_adoption`.
"""

import collections
from collections.abc import Callable

from catkinspread.deployment import DeploymentState, KnownUpstream, Route
from catkinspread.forwarding.admission_policy import (
    AdmissionInputs,
    AdmissionPolicy,
    AdmissionVerdict,
    AdmitAll,
)
from catkinspread.forwarding.decision_log import DecisionLog
from catkinspread.forwarding.flow_adoption import FlowAdoption
from catkinspread.forwarding.flow_resets import FlowResetter, UpstreamCheck
from catkinspread.forwarding.flow_tokens import (
    TokenStage,
    encode_flow_token,
    find_upstream,
    is_attempt_token,
)
from catkinspread.forwarding.flows import Attempt, Flow, FlowTable
from catkinspread.forwarding.handshake_timeouts import HandshakeTimeouts
from catkinspread.forwarding.handshakes import HandshakeEstimator
from catkinspread.forwarding.histogram import LatencyHistogram
from catkinspread.forwarding.load import LoadTracker
from catkinspread.forwarding.local_availability import LocalAvailability
from catkinspread.forwarding.packets import (
    CallerPacket,
    FlowPeers,
    NoFlowPeers,
    PacketOutput,
    RejectionReason,
)
from catkinspread.forwarding.placement import Placement
from catkinspread.forwarding.reachability import ReachabilityTracker
from catkinspread.forwarding.remembered_flows import IDLE_TIMEOUT_DEFAULT_MS
from catkinspread.forwarding.restarts import RestartTracker
from catkinspread.forwarding.retry_budget import RetryBudget
from catkinspread.forwarding.sequence_numbers import advance_sequence, is_sequence_after
from catkinspread.forwarding.waiting import WaitTracker

# Maximum number of upstreams that an opening packet and its retransmissions are sent to.
ATTEMPTS_MAX = 4
# A retransmission of the opening packet that arrives within this time after the flow was created
# is dropped as a delayed copy. Callers retransmit after 200 ms at the earliest, so packets that
# arrive closer together were delayed on their way to this instance, for example in its socket
# buffer.
RETRANSMISSION_INTERVAL_MIN_MS = 100
# Time after a pause of the process in which the changes since then are read, also if a connection
# to the source or to a feeder ended meanwhile.
REFUSAL_DELAY_AFTER_PAUSE_MS = 1_000
# Read for each packet. Reading a member from its enumeration takes 0.17 us on Python 3.11, more
# than a call.
_ADMITTED = AdmissionVerdict.ADMITTED
_OPEN = TokenStage.OPEN
_ADMISSION_REJECTIONS = {
    AdmissionVerdict.NO_ROOM: RejectionReason.NO_ROOM,
    AdmissionVerdict.TOO_LATE: RejectionReason.TOO_LATE,
}


class Forwarder:
    """Handles the packets of callers. It has no clock: the current time is passed to each call.

    Args:
        state: State of the deployment.
        placement: Selects upstreams for new flows.
        loads: Load of the upstreams.
        local_availability: Counts the opening packets of each service.
        output: Sends the packets.
        log: Log for the decisions that affect requests.
        read_request_id: Returns the identifier of the request that starts in a packet; empty
            if no request starts in it.
        peers: Tells the other instances about flows.
        admission: Decides which new flows are admitted; all if it is None.
        restarts: Tracks which upstreams may have started again; none if it is None.

    Attributes:
        adoption: Finds the upstreams of flows that other instances opened.
        counts: Number of events by name. REASON is a value of `RejectionReason`, BASIS one of
            `AdoptionBasis`.
            opened: A caller opened a flow.
            adopted, adopted_BASIS: This instance took over a flow that another one opened.
            held: The packets of a flow wait for the answers of other instances.
            corrected: Another instance knew a flow on another upstream than its token told.
            opened_elsewhere: The handshake of a flow ended through another instance.
            kept_after_change: An adopted flow stays on an upstream that its route no longer
                leads to.
            retried: An opening packet was sent to another upstream.
            retry_left_to_caller: There was no retry because the instance is leaving.
            repeat_withheld: The retry budget did not allow a retry.
            tries_exhausted: There was no retry because ATTEMPTS_MAX was reached or the flow has
                no route any more.
            no_other_upstream_REASON: There was no other upstream for a retry.
            copy_forwarded: A retransmission of an opening packet went to the same upstream, because
                its answer is not overdue.
            late_copy: A late or delayed retransmission of an opening packet was dropped.
            retransmitted: A caller retransmitted data.
            given_up: A caller closed or reset a flow whose upstream owed an answer.
            abandoned: A request timed out, or its flow expired before it was answered.
            refused_REASON: An opening packet was answered with a reset.
            reset: An open flow was reset, because its upstream no longer serves it.
            after_reset: A packet of a flow that was reset before was dropped.
            dropped_REASON: A packet was dropped.
        histograms: Latency histograms by name: `handshake` and `response`.
        placed_by_route: Opened flows by name of the route and data centre of the first upstream.
        refused_by_route: Refused opening packets by name of the route, empty without one, and
            reason.
        reachability: Tells which upstreams are unreachable.
    """

    __slots__ = (
        "_admission",
        "_flows",
        "_handshakes",
        "_loads",
        "_is_leaving",
        "_local_availability",
        "_log",
        "_output",
        "_peers",
        "_placement",
        "_read_request_id",
        "_refuses_from_ms",
        "_resetter",
        "_restarts",
        "_retry_budget",
        "_state",
        "_timeouts",
        "_waits",
        "adoption",
        "counts",
        "histograms",
        "placed_by_route",
        "reachability",
        "refused_by_route",
    )

    def __init__(
        self,
        state: DeploymentState,
        placement: Placement,
        loads: LoadTracker,
        local_availability: LocalAvailability,
        output: PacketOutput,
        log: DecisionLog,
        read_request_id: Callable[[CallerPacket], str],
        peers: FlowPeers | None = None,
        admission: AdmissionPolicy | None = None,
        restarts: RestartTracker | None = None,
    ) -> None:
        self._state = state
        self._placement = placement
        self._loads = loads
        self._local_availability = local_availability
        self._output = output
        self._log = log
        self._read_request_id = read_request_id
        self._peers = peers or NoFlowPeers()
        self._admission = admission or AdmitAll()
        self._restarts = restarts or RestartTracker(state)
        # Earlier opening packets are dropped instead, because the state may be outdated.
        self._refuses_from_ms = 0
        self._is_leaving = False
        self._flows = FlowTable()
        self._waits = WaitTracker(loads)
        self.reachability = ReachabilityTracker()
        self._resetter = FlowResetter(
            state, self._flows, self.reachability, self._waits, output, log
        )
        self._handshakes = HandshakeEstimator()
        self._retry_budget = RetryBudget()
        self._timeouts = HandshakeTimeouts(self._handshakes)
        self.counts: collections.Counter[str] = collections.Counter()
        self.adoption = FlowAdoption(
            state,
            self._flows,
            self._waits,
            self._peers,
            log,
            self.counts,
            self.handle,
            self._handle_flow_packet,
            self._drop,
        )
        self.placed_by_route: collections.Counter[tuple[str, str]] = collections.Counter()
        self.refused_by_route: collections.Counter[tuple[str, str]] = collections.Counter()
        self.histograms = {"handshake": LatencyHistogram(), "response": LatencyHistogram()}

    @property
    def flow_count(self) -> int:
        """Number of flows in the table."""
        return len(self._flows)

    def handle(self, packet: CallerPacket, now_ms: int) -> None:
        """Forwards, answers or drops a packet."""
        flow = self._flows.find(packet.key)
        if packet.is_opening:
            self._handle_opening_packet(packet, flow, now_ms)
        elif flow is None or self.adoption.is_holding(packet.key):
            self.adoption.handle_unknown(packet, now_ms)
        elif flow.is_doubtful(packet):
            self.adoption.handle_doubtful(packet, flow, now_ms)
        else:
            self._handle_flow_packet(packet, flow, now_ms)

    def send_due_retries(self, now_ms: int) -> None:
        """Handles the opening packets that have timed out.

        The upstream that did not answer gets a back-off. The packet is sent to another upstream
        unless the retry budget is used up. An instance that is leaving does neither.
        """
        for flow, upstream in self._timeouts.pop_due(now_ms):
            if self._is_leaving:
                self.counts["retry_left_to_caller"] += 1
                continue
            flow.record_timeout(now_ms)
            backoff_ms = self._loads.get(upstream.record.name).record_timeout(now_ms)
            self._log.log_open_timeout(flow, upstream, backoff_ms, now_ms)
            self._record_unanswered(upstream, now_ms)
            self._record_silence(flow, now_ms)
            if not self._retry_budget.try_spend():
                self.counts["repeat_withheld"] += 1
                continue  # The retransmission of the caller will go to another upstream.
            self._try_next_upstream(flow, flow.opening_packet, now_ms)

    def begin_leaving(self, now_ms: int) -> None:
        """Prepares for a planned stop.

        Other instances are told the flows that cannot be found by their tokens. From now on packets
        that end a handshake may reach another instance, so an opening packet is sent to another
        upstream only when its caller retransmits it.
        """
        self._is_leaving = True
        self._peers.hand_over(self.adoption.list_handed_over(now_ms))

    def handle_pause(self, now_ms: int) -> None:
        """Discards what was concluded from time-outs that ran while the process was paused.

        Upstreams may have answered in the meantime, so pending opening packets get a new time-out.
        Changes of the state may not have been read yet, so nothing is refused for some time: the
        caller may have opened the flow through another instance.
        """
        self._refuses_from_ms = now_ms + REFUSAL_DELAY_AFTER_PAUSE_MS
        self.reachability.discard_evidence()
        self._timeouts.restart_all(now_ms)

    def get_next_retry_at_ms(self) -> int | None:
        """Returns when the next retry or adoption is scheduled; None if there is none.

        The result is a time in ms on the clock of `now_ms`.
        """
        times = (self._timeouts.get_next_due_at_ms(), self.adoption.get_next_due_at_ms())
        return min((time_ms for time_ms in times if time_ms is not None), default=None)

    def expire_flows(self, now_ms: int) -> None:
        """Removes expired flows and ends requests that were not answered in time."""
        self.adoption.expire(now_ms)
        for flow in self._flows.remove_expired(now_ms, self._idle_timeout_ms):
            self._waits.stop(flow)
            self._log.log_request_timeout(flow, now_ms)
            self.counts["abandoned"] += 1

    def take_due_checks(self, now_ms: int) -> list[UpstreamCheck]:
        """Returns the checks of reachability to run now; see `FlowResetter`."""
        return self._resetter.take_due_checks(now_ms)

    def reset_flows_of_gone(self, upstream: KnownUpstream, now_ms: int) -> None:
        """Resets the open flows of an upstream that is gone."""
        self.counts["reset"] += self._resetter.reset_flows_of_gone(upstream, now_ms)

    def reset_flows_of_unreachable(self, now_ms: int) -> list[KnownUpstream]:
        """Resets the open flows of unreachable upstreams that others can take.

        Returns:
            The upstreams that count as unreachable since this call.
        """
        confirmed = self.reachability.confirm_unreachable(now_ms)
        for upstream in confirmed:
            self._loads.get(upstream.record.name).record_timeout(now_ms)
        self.counts["reset"] += self._resetter.reset_flows_of_unreachable(now_ms)
        return confirmed

    def record_unreachable_report(
        self, upstream: KnownUpstream, since_ms: int, now_ms: int
    ) -> None:
        """Handles the report of another instance that an upstream is unreachable.

        Args:
            upstream: The upstream.
            since_ms: Since when the other instance has had no answer.
            now_ms: Current time.
        """
        if self._flows.has_open_flows(upstream):
            self.reachability.record_report(upstream, since_ms, now_ms)

    @property
    def _idle_timeout_ms(self) -> int:
        configuration = self._state.configuration
        return configuration.idle_timeout_ms if configuration else IDLE_TIMEOUT_DEFAULT_MS

    def _handle_opening_packet(self, packet: CallerPacket, flow: Flow | None, now_ms: int) -> None:
        is_late = flow is not None and flow.is_late_retransmission(packet, now_ms)
        if is_late or self.adoption.is_holding(packet.key):
            self.counts["late_copy"] += 1
            return
        if flow is not None and flow.is_handshake_retransmission(packet):
            self._handle_retransmitted_opening(flow, packet, now_ms)
            return
        self._open_flow(packet, flow, now_ms)

    def _open_flow(self, packet: CallerPacket, replaced: Flow | None, now_ms: int) -> None:
        if not self._state.is_complete:
            # The state is expected to be complete when the caller retransmits the packet.
            self._drop(packet, RejectionReason.NO_STATE, now_ms)
            return
        route = self._state.find_route(packet.key.address)
        if route is None:
            self._refuse(packet, RejectionReason.NO_ROUTE, now_ms)
            return
        self._local_availability.record_opening(route.shares[0].service)
        verdict = self._admission.decide(route, packet.key.caller_ip, packet.acknowledged, now_ms)
        if verdict is not _ADMITTED and not _is_opened_by(packet, replaced):
            self._reject_by_admission(packet, route, _ADMISSION_REJECTIONS[verdict], now_ms)
            return
        choice = self._placement.choose(route, packet.key, now_ms)
        if isinstance(choice, RejectionReason):
            self._refuse(packet, choice, now_ms, route)
            return
        if replaced is not None:
            self._waits.stop(replaced)
        flow = Flow(packet.key, route, choice.upstream, now_ms)
        flow.opening_sequence = packet.sequence
        flow.next_sequence = advance_sequence(packet.sequence, 1)
        flow.is_opened_by_copy = packet.acknowledged > 0
        self._flows.add(flow)
        self.counts["opened"] += 1
        self.placed_by_route[route.name, choice.upstream.record.data_centre] += 1
        self._retry_budget.record_opening()
        self._waits.start(flow, now_ms)
        self._log.log_placement(flow, choice, packet.acknowledged, now_ms)
        self._send_opening_packet(flow, packet, choice.upstream, now_ms)

    def _reject_by_admission(
        self, packet: CallerPacket, route: Route, reason: RejectionReason, now_ms: int
    ) -> None:
        """Refuses a new flow for lack of room.

        A retransmission whose first copy did not reach this instance is dropped instead. Another
        instance may have admitted that copy and sent it to an upstream, so the flow may be open or
        about to open, and a reset that says that nothing ran could be false.
        """
        if packet.acknowledged > 0:
            self._drop(packet, reason, now_ms)
            return
        self._refuse(packet, reason, now_ms, route, self._admission.describe(route))

    def _handle_retransmitted_opening(self, flow: Flow, packet: CallerPacket, now_ms: int) -> None:
        if now_ms - flow.created_at_ms < RETRANSMISSION_INTERVAL_MIN_MS:
            # Both packets were delayed in the socket buffer, so the upstream had no time to answer.
            self.counts["late_copy"] += 1
            return
        usual_ms = self._handshakes.compute_usual_ms(flow.upstream.record.data_centre)
        if now_ms - flow.last_attempt_at_ms < usual_ms:
            # The answer may be under way to the caller; a second one of this upstream does no harm.
            self.counts["copy_forwarded"] += 1
            stage, sent_at_ms = flow.last_attempt_stage, flow.last_attempt_at_ms
            token = encode_flow_token(flow.upstream, stage, sent_at_ms)
            self._output.forward(packet, flow.upstream, token)
            return
        flow.record_timeout(now_ms)
        self._loads.get(flow.upstream.record.name).record_timeout(now_ms)
        self._record_silence(flow, now_ms)
        reason = self._try_next_upstream(flow, packet, now_ms)
        # For any other reason, an upstream that was tried before may still answer.
        if reason is RejectionReason.NONE_ANSWERS:
            self._waits.stop(flow)
            self._refuse(packet, reason, now_ms, flow.route)

    def _try_next_upstream(
        self, flow: Flow, packet: CallerPacket, now_ms: int
    ) -> RejectionReason | None:
        """Sends an opening packet to another upstream.

        Returns:
            The reason why there is no other upstream; None if the packet was sent.
        """
        route = self._state.find_route(flow.key.address)
        if route is None or len(flow.attempts) >= ATTEMPTS_MAX:
            self.counts["tries_exhausted"] += 1
            return RejectionReason.TRIES_EXHAUSTED
        choice = self._placement.choose(route, flow.key, now_ms, flow.attempted)
        if isinstance(choice, RejectionReason):
            self.counts[f"no_other_upstream_{choice.value}"] += 1
            return choice
        self._waits.stop(flow)
        flow.route = route
        flow.upstream = choice.upstream
        self._waits.start(flow, now_ms)
        self.counts["retried"] += 1
        self._log.log_placement(flow, choice, packet.acknowledged, now_ms)
        self._send_opening_packet(flow, packet, choice.upstream, now_ms)
        return None

    def _send_opening_packet(
        self, flow: Flow, packet: CallerPacket, upstream: KnownUpstream, now_ms: int
    ) -> None:
        flow.attempts.append(Attempt(upstream, now_ms))
        flow.opening_packet = packet
        flow.last_attempt_at_ms = now_ms
        flow.last_packet_at_ms = now_ms
        token = encode_flow_token(upstream, flow.last_attempt_stage, now_ms)
        self._output.forward(packet, upstream, token)
        self._timeouts.schedule(flow, upstream, now_ms)

    def _handle_flow_packet(self, packet: CallerPacket, flow: Flow, now_ms: int) -> None:
        if flow.is_reset:
            self.counts["after_reset"] += 1
            return
        if not flow.is_established:
            if not flow.matches_sequence(packet.sequence):
                self._drop(packet, RejectionReason.EARLIER_FLOW, now_ms)
                return
            self._establish(packet, flow, now_ms)
        flow.last_packet_at_ms = now_ms
        flow.last_token = packet.token
        if is_sequence_after(packet.acknowledged, flow.acknowledged):
            self._process_acknowledgement(packet, flow, now_ms)
        if is_attempt_token(packet.token):
            self.adoption.check_attempt_token(packet, flow, self._is_leaving)
        if packet.payload_size_bytes and self._process_data(packet, flow, now_ms):
            self.counts["reset"] += 1
            return
        if packet.is_close or packet.is_reset:
            self._close_flow(packet, flow, now_ms)
        token = encode_flow_token(flow.upstream, _OPEN, now_ms)
        self._output.forward(packet, flow.upstream, token)

    def _establish(self, packet: CallerPacket, flow: Flow, now_ms: int) -> None:
        """Assigns a flow to the upstream whose answer the caller received first."""
        attempt = flow.find_attempt(packet.token)
        if attempt is None or flow.is_opened_by_copy:
            # Another instance has the opening packet too, and would send it to more upstreams.
            self._peers.announce(packet, needs_answers=False)
            flow.is_contested = True
        if attempt is not None:
            upstream = attempt.upstream
            self._record_handshake(flow, attempt, now_ms)
        else:
            upstream = find_upstream(self._state, packet.token) or flow.upstream
        if flow.is_contested or len(flow.attempts) > 1:
            flow.is_contested = True
            self._peers.remember(flow.key, packet.sequence, upstream, age_ms=0)
        if upstream is not flow.upstream:
            self._waits.stop(flow)
            flow.upstream = upstream
            self._waits.start(flow, now_ms)
        self._flows.mark_established(flow)
        self.reachability.record_answer(upstream.record.name, now_ms)
        flow.opening_packet = None
        flow.acknowledged = packet.acknowledged
        self._waits.start(flow, now_ms)
        flow.pending_since_ms = now_ms

    def _record_handshake(self, flow: Flow, attempt: Attempt, now_ms: int) -> None:
        """Records the answer to an attempt, also if it was late and others were made meanwhile."""
        upstream = attempt.upstream
        handshake_ms = now_ms - attempt.sent_at_ms
        self._handshakes.record(upstream.record.data_centre, handshake_ms)
        self.histograms["handshake"].add(handshake_ms)
        self._restarts.record_opened(upstream, attempt.sent_at_ms, now_ms)
        if self._loads.get(upstream.record.name).record_response(attempt.awaited_until_ms):
            self._log.log_recovery(flow, upstream, now_ms)

    def _process_acknowledgement(self, packet: CallerPacket, flow: Flow, now_ms: int) -> None:
        """Handles an acknowledgement of data that the upstream sent."""
        self.reachability.record_answer(flow.upstream.record.name, now_ms)
        if flow.pending_since_ms is not None:
            latency_ms = self._handshakes.compute_usual_ms(flow.upstream.record.data_centre)
            self._restarts.record_answer(flow, packet, latency_ms, now_ms)
            self._record_answer(flow, now_ms)
        flow.acknowledged = packet.acknowledged
        flow.is_answered = True

    def _process_data(self, packet: CallerPacket, flow: Flow, now_ms: int) -> bool:
        """Handles the data of a packet and returns whether it led to a reset of the flow."""
        end = advance_sequence(packet.sequence, packet.payload_size_bytes)
        if not is_sequence_after(end, flow.next_sequence):
            flow.retransmissions += 1
            self.counts["retransmitted"] += 1
            self._record_unanswered(flow.upstream, now_ms)
            return self._resetter.reset_if_gone(flow, now_ms)
        flow.next_sequence = end
        if flow.pending_since_ms is None:
            self._waits.start(flow, now_ms)
        request_id = self._read_request_id(packet)
        if request_id:
            flow.request_id = request_id
            flow.pending_since_ms = now_ms
            self._report_request(flow, packet, now_ms)
            self._log.log_request(flow, now_ms)
        self._flows.reschedule(flow, self._idle_timeout_ms)
        return self._resetter.reset_if_unreachable(flow, now_ms)

    def _report_request(self, flow: Flow, packet: CallerPacket, now_ms: int) -> None:
        load = self._loads.get(flow.upstream.record.name)
        flow.occupied_at_request = load.in_flight + load.peer_in_flight
        if flow.route is not None:
            is_first = flow.is_first_data(packet.sequence)
            self._admission.record_request(flow.route, is_first, now_ms)

    def _record_unanswered(self, upstream: KnownUpstream, now_ms: int) -> None:
        # Without an open flow there is nothing to reset, so the upstream need not be checked.
        if self._flows.has_open_flows(upstream):
            self.reachability.record_unanswered(upstream, now_ms)

    def _record_silence(self, flow: Flow, now_ms: int) -> None:
        """Records that the last attempt of a flow was not answered, unless many upstreams are busy."""
        upstream = flow.upstream
        if not self.reachability.is_overloaded(upstream.record.service, now_ms):
            self._restarts.record_unanswered(upstream, flow.last_attempt_at_ms, now_ms)

    def _record_answer(self, flow: Flow, now_ms: int) -> None:
        response_ms = now_ms - (flow.pending_since_ms or now_ms)
        self._loads.get(flow.upstream.record.name).record_response_time(response_ms, now_ms)
        self.histograms["response"].add(response_ms)
        self._waits.stop(flow)
        if flow.occupied_at_request is not None and flow.route is not None:
            upstream = flow.upstream.record
            # A handshake takes the same way as a request and its answer, without the processing.
            latency_ms = self._handshakes.find_average_ms(upstream.data_centre) or 0.0
            self._admission.record_response(
                flow.route,
                max(0, round(response_ms - latency_ms)),
                flow.occupied_at_request,
                upstream.work_slots,
            )
        flow.occupied_at_request = None
        self._log.log_answer(flow, response_ms, now_ms)

    def _close_flow(self, packet: CallerPacket, flow: Flow, now_ms: int) -> None:
        if flow.is_closed:
            return
        self._flows.mark_closed(flow)
        if flow.pending_since_ms is not None:
            self._waits.stop(flow)
            self._log.log_caller_close(flow, packet.is_reset, now_ms)
            self.counts["given_up"] += 1
        self._flows.reschedule(flow, self._idle_timeout_ms)

    def _refuse(
        self,
        packet: CallerPacket,
        reason: RejectionReason,
        now_ms: int,
        route: Route | None = None,
        inputs: AdmissionInputs | None = None,
    ) -> None:
        if now_ms < self._refuses_from_ms:
            self._drop(packet, RejectionReason.OUTDATED_STATE, now_ms)
            return
        self.counts[f"refused_{reason.value}"] += 1
        self.refused_by_route[route.name if route else "", reason.value] += 1
        self._log.log_refusal(packet, reason, inputs, now_ms)
        self._output.reset(packet.key, 0)

    def _drop(self, packet: CallerPacket, reason: RejectionReason, now_ms: int) -> None:
        self.counts[f"dropped_{reason.value}"] += 1
        self._log.log_drop(packet, reason, now_ms)


def _is_opened_by(packet: CallerPacket, flow: Flow | None) -> bool:
    """Whether an opening packet is a copy of the one that opened a flow of this instance."""
    return flow is not None and flow.opening_sequence == packet.sequence
