"""Log lines for the forwarding decisions that affect a request.

Each line identifies the flow, or the request once its identifier is known. The lines of a decision
contain its inputs and the version of the configuration.
"""

from catkinspread.deployment import DeploymentState, KnownUpstream
from catkinspread.eventlog import EventLog
from catkinspread.forwarding.admission_policy import AdmissionInputs
from catkinspread.forwarding.flows import Flow
from catkinspread.forwarding.packets import (
    CallerPacket,
    FlowKey,
    RejectionReason,
    ResetReason,
)
from catkinspread.forwarding.placement import UpstreamChoice

_BYTE_MASK = 0xFF
# Decimals of shares and occupancies.
_DIGITS = 3


def format_ip(ip: int) -> str:
    """Returns an IPv4 address in dotted-decimal notation."""
    return ".".join(str(ip >> shift & _BYTE_MASK) for shift in (24, 16, 8, 0))


def format_flow(key: FlowKey) -> str:
    """Returns a flow as `CALLER_IP:PORT>SERVICE_IP:PORT`."""
    caller = f"{format_ip(key.caller_ip)}:{key.caller_port}"
    return f"{caller}>{format_ip(key.address.ip)}:{key.address.port}"


class DecisionLog:
    """Writes one event per decision.

    Args:
        events: Log that the events are written to.
        state: State of the deployment; its configuration version is part of the lines.
    """

    __slots__ = ("_events", "_state")

    def __init__(self, events: EventLog, state: DeploymentState) -> None:
        self._events = events
        self._state = state

    def log_placement(self, flow: Flow, choice: UpstreamChoice, copy: int, now_ms: int) -> None:
        """Logs that an opening packet is sent to an upstream, unless it is the first attempt.

        Args:
            flow: Flow that the packet opens.
            choice: The chosen upstream.
            copy: How often the caller sent the packet before.
            now_ms: Current time.
        """
        if len(flow.attempts) == 0 and copy == 0:
            # To limit the log volume, a first attempt is logged only by the line of its request,
            # which does not have the inputs of the choice.
            return
        self._events.write(
            "flow_placed",
            now_ms,
            flow=format_flow(flow.key),
            upstream=choice.upstream.record.name,
            standing=choice.tier.value,
            expected_ms=choice.expected_ms,
            candidates=choice.candidate_count,
            attempt=len(flow.attempts) + 1,
            copy=copy,
            version=self._version(),
        )

    def log_request(self, flow: Flow, now_ms: int) -> None:
        """Logs that the first packet of a request is forwarded."""
        self._events.write(
            "request",
            now_ms,
            request=flow.request_id,
            flow=format_flow(flow.key),
            route=flow.route.name if flow.route else "",
            upstream=flow.upstream.record.name,
            data_centre=flow.upstream.record.data_centre,
            tried=len(flow.attempts),
            opening_ms=now_ms - flow.created_at_ms,
            version=self._version(),
        )

    def log_answer(self, flow: Flow, response_ms: int, now_ms: int) -> None:
        """Logs that the caller acknowledged the first bytes of an answer."""
        self._events.write("answered", now_ms, request=flow.request_id, took_ms=response_ms)

    def log_open_timeout(
        self, flow: Flow, upstream: KnownUpstream, backoff_ms: int, now_ms: int
    ) -> None:
        """Logs that an upstream did not answer an opening packet in time."""
        self._events.write(
            "open_unanswered",
            now_ms,
            flow=format_flow(flow.key),
            upstream=upstream.record.name,
            waited_ms=now_ms - flow.last_attempt_at_ms,
            avoided_ms=backoff_ms,
        )

    def log_recovery(self, flow: Flow, upstream: KnownUpstream, now_ms: int) -> None:
        """Logs that an upstream responded again after time-outs."""
        self._events.write(
            "upstream_answers_again",
            now_ms,
            flow=format_flow(flow.key),
            upstream=upstream.record.name,
        )

    def log_adoption(self, flow: Flow, basis: str, now_ms: int) -> None:
        """Logs that this instance takes over a flow that another instance opened.

        Args:
            flow: The flow.
            basis: What told its upstream; a value of `AdoptionBasis`.
            now_ms: Current time.
        """
        self._events.write(
            "flow_adopted",
            now_ms,
            flow=format_flow(flow.key),
            upstream=flow.upstream.record.name,
            removed=flow.upstream.is_removed,
            basis=basis,
        )

    def log_opened_elsewhere(self, flow: Flow, now_ms: int) -> None:
        """Logs that the handshake of a flow ended through another instance."""
        self._events.write(
            "flow_opened_elsewhere",
            now_ms,
            flow=format_flow(flow.key),
            upstream=flow.upstream.record.name,
            tried=len(flow.attempts),
        )

    def log_caller_close(self, flow: Flow, is_reset: bool, now_ms: int) -> None:
        """Logs that the caller closed or reset the flow before it acknowledged an answer."""
        self._write_request_end("caller_gave_up", flow, now_ms, reset=is_reset)

    def log_request_timeout(self, flow: Flow, now_ms: int) -> None:
        """Logs that a request timed out or its flow expired before it was answered."""
        self._write_request_end("request_abandoned", flow, now_ms, open=flow.is_established)

    def log_reset(self, flow: Flow, reason: ResetReason, now_ms: int) -> None:
        """Logs that an open flow is reset."""
        self._events.write(
            "flow_reset",
            now_ms,
            request=flow.request_id if flow.pending_since_ms is not None else "",
            flow=format_flow(flow.key),
            upstream=flow.upstream.record.name,
            reason=reason.value,
            idle_ms=now_ms - flow.last_packet_at_ms,
            retransmissions=flow.retransmissions,
            version=self._version(),
        )

    def log_refusal(
        self,
        packet: CallerPacket,
        reason: RejectionReason,
        inputs: AdmissionInputs | None,
        now_ms: int,
    ) -> None:
        """Logs that an opening packet is answered with a reset.

        Args:
            packet: The opening packet.
            reason: Why it is refused.
            inputs: What admission control decided by; None if it did not refuse the packet.
            now_ms: Current time.
        """
        if inputs is None:
            self._write_packet("flow_refused", packet, reason, now_ms)
            return
        self._write_packet(
            "flow_refused",
            packet,
            reason,
            now_ms,
            service=inputs.service,
            priority=inputs.priority,
            share=round(inputs.share, _DIGITS),
            occupancy=round(inputs.occupancy, _DIGITS),
        )

    def log_drop(self, packet: CallerPacket, reason: RejectionReason, now_ms: int) -> None:
        """Logs that a packet is dropped."""
        self._write_packet("packet_dropped", packet, reason, now_ms)

    def _write_request_end(self, name: str, flow: Flow, now_ms: int, **fields: object) -> None:
        self._events.write(
            name,
            now_ms,
            request=flow.request_id,
            flow=format_flow(flow.key),
            upstream=flow.upstream.record.name,
            tried=len(flow.attempts),
            age_ms=now_ms - flow.created_at_ms,
            retransmissions=flow.retransmissions,
            **fields,
        )

    def _write_packet(
        self,
        name: str,
        packet: CallerPacket,
        reason: RejectionReason,
        now_ms: int,
        **fields: object,
    ) -> None:
        self._events.write(
            name,
            now_ms,
            flow=format_flow(packet.key),
            reason=reason.value,
            token=packet.token,
            version=self._version(),
            **fields,
        )

    def _version(self) -> int:
        configuration = self._state.configuration
        return configuration.version if configuration else 0
