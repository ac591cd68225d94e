"""Log lines of the decisions that touch a request.

Each line names the flow, and the request as soon as its identifier is known, with the inputs of
the decision and their age.
"""

from catkinspread.deployment import DeploymentState, KnownUpstream
from catkinspread.eventlog import EventLog
from catkinspread.forwarding.flows import Flow
from catkinspread.forwarding.packets import CallerPacket, FlowKey, RejectionReason
from catkinspread.forwarding.placement import UpstreamChoice

_BYTE_MASK = 0xFF


def format_ip(ip: int) -> str:
    """Returns an IPv4 number in dotted form."""
    return ".".join(str(ip >> shift & _BYTE_MASK) for shift in (24, 16, 8, 0))


def format_flow(key: FlowKey) -> str:
    """Returns both ends of a flow as text."""
    caller = f"{format_ip(key.caller_ip)}:{key.caller_port}"
    return f"{caller}>{format_ip(key.address.ip)}:{key.address.port}"


class DecisionLog:
    """Writes one event for each decision.

    Args:
        events: Where the lines go.
        state: The deployment, for the version that a decision was based on.
    """

    __slots__ = ("_events", "_state")

    def __init__(self, events: EventLog, state: DeploymentState) -> None:
        self._events = events
        self._state = state

    def placed(self, flow: Flow, choice: UpstreamChoice, copy: int, now_ms: int) -> None:
        """An opening packet was sent to an upstream."""
        if len(flow.attempted) == 0 and copy == 0:
            # The line of the request repeats this; only unusual placements get their own.
            return
        self._events.write(
            "flow_placed",
            now_ms,
            flow=format_flow(flow.key),
            upstream=choice.upstream.record.name,
            standing=choice.tier.value,
            expected_ms=choice.expected_ms,
            candidates=choice.candidate_count,
            attempt=len(flow.attempted) + 1,
            copy=copy,
            version=self._version(),
        )

    def requested(self, flow: Flow, now_ms: int) -> None:
        """The first packet of a request was forwarded."""
        self._events.write(
            "request",
            now_ms,
            request=flow.request_id,
            flow=format_flow(flow.key),
            route=flow.route.name if flow.route else "",
            upstream=flow.upstream.record.name,
            data_centre=flow.upstream.record.data_centre,
            tried=len(flow.attempted),
            opening_ms=now_ms - flow.created_at_ms,
            version=self._version(),
        )

    def answered(self, flow: Flow, took_ms: int, now_ms: int) -> None:
        """The caller acknowledged the first bytes of an answer."""
        self._events.write("answered", now_ms, request=flow.request_id, took_ms=took_ms)

    def unanswered(self, flow: Flow, upstream: KnownUpstream, avoided_ms: int, now_ms: int) -> None:
        """An upstream did not answer an opening packet in time."""
        self._events.write(
            "open_unanswered",
            now_ms,
            flow=format_flow(flow.key),
            upstream=upstream.record.name,
            waited_ms=now_ms - flow.last_attempt_at_ms,
            avoided_ms=avoided_ms,
        )

    def answers_again(self, flow: Flow, upstream: KnownUpstream, now_ms: int) -> None:
        """An upstream that had been silent answered."""
        self._events.write(
            "upstream_answers_again",
            now_ms,
            flow=format_flow(flow.key),
            upstream=upstream.record.name,
        )

    def adopted(self, flow: Flow, now_ms: int) -> None:
        """A flow that another instance opened continues here."""
        self._events.write(
            "flow_adopted",
            now_ms,
            flow=format_flow(flow.key),
            upstream=flow.upstream.record.name,
            removed=flow.upstream.is_removed,
        )

    def given_up(self, flow: Flow, is_reset: bool, now_ms: int) -> None:
        """The caller ended the flow before an answer was seen."""
        self._write_end("caller_gave_up", flow, now_ms, reset=is_reset)

    def abandoned(self, flow: Flow, now_ms: int) -> None:
        """Nothing came for a request any more."""
        self._write_end("request_abandoned", flow, now_ms, open=flow.is_established)

    def refused(self, packet: CallerPacket, reason: RejectionReason, now_ms: int) -> None:
        """An opening packet was answered with a reset."""
        self._write_packet("flow_refused", packet, reason, now_ms)

    def dropped(self, packet: CallerPacket, reason: RejectionReason, now_ms: int) -> None:
        """A packet was dropped."""
        self._write_packet("packet_dropped", packet, reason, now_ms)

    def _write_end(self, name: str, flow: Flow, now_ms: int, **inputs: object) -> None:
        self._events.write(
            name,
            now_ms,
            request=flow.request_id,
            flow=format_flow(flow.key),
            upstream=flow.upstream.record.name,
            tried=len(flow.attempted),
            age_ms=now_ms - flow.created_at_ms,
            retransmissions=flow.retransmissions,
            **inputs,
        )

    def _write_packet(
        self, name: str, packet: CallerPacket, reason: RejectionReason, now_ms: int
    ) -> None:
        self._events.write(
            name,
            now_ms,
            flow=format_flow(packet.key),
            reason=reason.value,
            token=packet.token,
            version=self._version(),
        )

    def _version(self) -> int:
        configuration = self._state.configuration
        return configuration.version if configuration else 0
