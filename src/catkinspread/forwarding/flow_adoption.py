"""Flows that reach an instance which did not open them.

Each packet of an open flow tells its upstream in its token field, unless the caller has received a
late answer of another upstream. While the token does not prove where the flow is open, the other
instances are asked, and the packets of the flow are held meanwhile. The same message ends the
retries of the instance that got the opening packet.

If nobody tells, the token is followed only while the handshake may still be under way, or if an
instance that would know of a contested flow does not. Otherwise an old token of an attempt most likely
is that of a late answer, whose upstream would reset the flow: the packets are dropped, and the caller's
next retransmission asks again.
"""

import collections
import enum
from collections.abc import Callable

import msgspec

from catkinspread.deployment import DeploymentState, KnownUpstream
from catkinspread.forwarding.decision_log import DecisionLog
from catkinspread.forwarding.flow_tokens import (
    TokenStage,
    compute_attempt_age_ms,
    decode_stage,
    find_upstream,
    is_attempt_token,
    is_recent_attempt,
    names_upstream,
    replace_upstream,
)
from catkinspread.forwarding.flows import HANDSHAKE_TIMEOUT_MS, Flow, FlowTable
from catkinspread.forwarding.held_packets import (
    HOLD_MS,
    HOLD_UNPROVEN_MS,
    HeldPackets,
    ReleasedPackets,
)
from catkinspread.forwarding.packets import (
    CallerPacket,
    FlowKey,
    FlowPeers,
    HandedOverFlow,
    RejectionReason,
)
from catkinspread.forwarding.remembered_flows import RememberedFlow, RememberedFlows
from catkinspread.forwarding.waiting import WaitTracker


class AdoptionBasis(enum.Enum):
    """What told where an adopted flow is open; the log lines and the counters name it."""

    # The token of an open flow.
    OPEN_TOKEN = "open_token"
    # This instance kept the flow for another one.
    REMEMBERED = "remembered"
    # The answer of another instance.
    TOLD = "told"
    # The token of an attempt that is recent, or whose flow cannot be contested; all others that were
    # asked had answered that they do not know the flow.
    KNOWN_TO_NONE = "known_to_none"
    # The same; some of the others had not answered in time.
    ANSWERS_MISSING = "answers_missing"
    # The same; there was nobody to ask, or the rate limit did not allow it.
    NOT_ASKED = "not_asked"


class FlowAdoption:
    """Finds the upstreams of flows that other instances opened.

    Args:
        state: State of the deployment.
        flows: Flows of this instance.
        waits: Waits for the answers of upstreams.
        peers: Tells the other instances about flows.
        log: Log for the decisions that affect requests.
        counts: Counters; see `Forwarder`.
        handle: Handles a packet whose flow is known by now.
        handle_flow_packet: Handles a packet of a flow of this instance.
        drop: Drops a packet for a reason.
    """

    __slots__ = (
        "_counts",
        "_drop",
        "_flows",
        "_handle",
        "_handle_flow_packet",
        "_held",
        "_log",
        "_peers",
        "_remembered",
        "_state",
        "_waits",
    )

    def __init__(
        self,
        state: DeploymentState,
        flows: FlowTable,
        waits: WaitTracker,
        peers: FlowPeers,
        log: DecisionLog,
        counts: collections.Counter[str],
        handle: Callable[[CallerPacket, int], None],
        handle_flow_packet: Callable[[CallerPacket, Flow, int], None],
        drop: Callable[[CallerPacket, RejectionReason, int], None],
    ) -> None:
        self._state = state
        self._flows = flows
        self._waits = waits
        self._peers = peers
        self._log = log
        self._counts = counts
        self._handle = handle
        self._handle_flow_packet = handle_flow_packet
        self._drop = drop
        self._held = HeldPackets()
        self._remembered = RememberedFlows()

    def is_holding(self, key: FlowKey) -> bool:
        """Whether the packets of a flow wait for the answers of other instances."""
        return key in self._held

    def get_next_due_at_ms(self) -> int | None:
        """Returns the time in ms at which packets have waited long enough; None if none wait."""
        return self._held.get_next_due_at_ms()

    def expire(self, now_ms: int) -> None:
        """Forgets the flows that were kept for others for too long."""
        self._remembered.expire(now_ms)

    def adopt_due(self, now_ms: int) -> None:
        """Adopts the flows that other instances have not told about in time, by their tokens."""
        for released in self._held.pop_due(now_ms):
            self._adopt_held(released, None, AdoptionBasis.ANSWERS_MISSING, now_ms)

    def find_open_flow(self, key: FlowKey, sequence: int) -> KnownUpstream | None:
        """Returns the upstream of an open flow; None if this instance does not know it.

        Flows that other instances have told are known, too.

        Args:
            key: Key of the flow.
            sequence: Sequence number of a packet of it, which tells it from others with its ports.
        """
        flow = self._flows.find(key)
        if flow is not None and flow.is_same_open_flow(sequence):
            return flow.upstream
        kept = self._remembered.find(key, sequence)
        return None if kept is None else self._state.find_upstream_by_token(kept.token)

    def find_only_attempt(self, key: FlowKey, sequence: int) -> KnownUpstream | None:
        """Returns the only upstream that may have answered an opening packet; None if unknown.

        This instance got the first copy of the opening packet, has sent it to one upstream alone, and
        knows of no other instance that has seen the handshake end.

        Args:
            key: Key of the flow.
            sequence: Sequence number of a packet that followed the handshake.
        """
        flow = self._flows.find(key)
        if flow is None or flow.opening_packet is None or not flow.matches_sequence(sequence):
            return None
        is_only = len(flow.attempts) == 1 and not flow.is_opened_by_copy
        return flow.attempts[0].upstream if is_only else None

    def record_opened_elsewhere(
        self,
        key: FlowKey,
        sequence: int,
        acknowledged: int,
        token: int,
        now_ms: int,
        is_certain: bool = True,
    ) -> None:
        """Ends the handshake of a flow whose caller ended it through another instance.

        Without this, the opening packet would be taken for unanswered and sent to others. Their
        answers would change the token that the caller returns.

        Args:
            key: Key of the flow.
            sequence: Sequence number of a packet that followed the handshake.
            acknowledged: Acknowledgement number of that packet.
            token: Its token field.
            now_ms: Current time.
            is_certain: Whether the flow is open on the upstream of the token.
        """
        flow = self._flows.find(key)
        upstream = find_upstream(self._state, token)
        if flow is None or upstream is None:
            return
        if flow.is_established or not flow.matches_sequence(sequence):
            return
        if is_certain:
            flow.upstream = upstream
            flow.acknowledged = acknowledged
            flow.next_sequence = sequence
            flow.is_contested = len(flow.attempts) > 1
            self._flows.mark_established(flow)
        self._end_handshake_elsewhere(flow, now_ms)

    def _end_handshake_elsewhere(self, flow: Flow, now_ms: int) -> None:
        """Ends the wait and the retries for a flow whose handshake another instance has seen end."""
        if flow.opening_packet is None:
            return
        self._waits.stop(flow)
        flow.opening_packet = None
        self._counts["opened_elsewhere"] += 1
        self._log.log_opened_elsewhere(flow, now_ms)

    def record_flow_upstream(
        self,
        key: FlowKey,
        sequence: int,
        token: int,
        now_ms: int,
        age_ms: int = 0,
        is_contested: bool = True,
    ) -> None:
        """Handles where another instance knows a flow to be open.

        Its packets are released if they are held here; otherwise it is remembered.

        Args:
            key: Key of the flow.
            sequence: Sequence number of a packet of it.
            token: Token of the upstream.
            now_ms: Current time.
            age_ms: Time since an instance saw the flow there.
            is_contested: Whether another upstream may have answered its opening packet.
        """
        released = self._held.pop(key)
        flow = self._flows.find(key)
        if released.packets:
            upstream = self._state.find_upstream_by_token(token)
            self._adopt_held(released, upstream, AdoptionBasis.TOLD, now_ms)
        elif flow is None or not flow.is_established:
            if flow is not None and flow.matches_sequence(sequence):
                self._end_handshake_elsewhere(flow, now_ms)
            seen_at_ms = now_ms - age_ms
            self._remembered.record(RememberedFlow(key, sequence, token, seen_at_ms, is_contested))

    def record_flow_unknown(self, key: FlowKey, host: str, now_ms: int, uptime_ms: int = 0) -> None:
        """Handles that another instance does not know where a flow is open.

        Its packets are released once no instance knows it.

        Args:
            key: Key of the flow.
            host: Address of the other instance.
            now_ms: Current time.
            uptime_ms: Time for which that one has kept flows, in ms.
        """
        if self._held.record_unknown(key, host, uptime_ms):
            self._adopt_held(self._held.pop(key), None, AdoptionBasis.KNOWN_TO_NONE, now_ms)

    def list_handed_over(self, now_ms: int) -> list[HandedOverFlow]:
        """Returns the flows that tokens do not tell, those of this instance first, newest first."""
        misplaced = self._flows.list_misplaced(now_ms)
        open_here = [
            HandedOverFlow(
                flow.key,
                flow.next_sequence,
                flow.upstream,
                now_ms - flow.last_packet_at_ms,
                is_open_here=True,
                is_contested=flow.is_contested,
            )
            for flow in misplaced
        ]
        kept = [
            HandedOverFlow(
                flow.key,
                flow.sequence,
                upstream,
                max(0, now_ms - flow.recorded_at_ms),
                is_open_here=False,
                is_contested=flow.is_contested,
            )
            for flow in self._remembered
            if flow.is_passed_on(now_ms)
            and self._flows.find(flow.key) is None
            and (upstream := self._state.find_upstream_by_token(flow.token)) is not None
        ]
        return [
            *sorted(open_here, key=lambda flow: flow.age_ms),
            *sorted(kept, key=lambda flow: flow.age_ms),
        ]

    def handle_unknown(self, packet: CallerPacket, now_ms: int) -> None:
        """Handles a packet of a flow that this instance has no entry for, or whose packets wait."""
        upstream = find_upstream(self._state, packet.token)
        if upstream is None:
            self._drop(packet, RejectionReason.UNKNOWN_TOKEN, now_ms)
            return
        if packet.key in self._held or self._ask_peers(packet, now_ms):
            self._hold(packet, now_ms)
            return
        known = self.find_open_flow(packet.key, packet.sequence)
        if known is None and not self._is_credible(packet, {}, now_ms):
            self._drop(packet, RejectionReason.UNKNOWN_FLOW, now_ms)
            return
        self._adopt_flow(packet, known or upstream, _find_basis(packet, known), now_ms)

    def handle_doubtful(self, packet: CallerPacket, flow: Flow, now_ms: int) -> None:
        """Handles a packet of a flow whose handshake may have ended through another instance."""
        flow.opening_packet = None  # The handshake has ended, so no retry is due.
        known = self.find_open_flow(packet.key, packet.sequence)
        if self._ask_peers(packet, now_ms):
            self._hold(packet, now_ms)
        elif known is not None:
            self._waits.stop(flow)
            self._adopt_flow(packet, known, AdoptionBasis.REMEMBERED, now_ms)
        else:
            self._handle_flow_packet(packet, flow, now_ms)

    def check_attempt_token(self, packet: CallerPacket, flow: Flow, is_leaving: bool) -> None:
        """Tells others an open flow that they could not find by the token that its caller returns.

        Either its caller has received the answer of another upstream, or this instance leaves and has
        handed over its flows before this one was answered.

        Args:
            packet: Packet of the flow with the token of an attempt.
            flow: The flow.
            is_leaving: Whether this instance leaves.
        """
        if flow.is_contested or flow.is_handed_over:
            return
        if not names_upstream(packet.token, flow.upstream):
            flow.is_contested = True
            self._peers.remember(flow.key, packet.sequence, flow.upstream, age_ms=0)
        elif is_leaving and flow.is_answered:
            flow.is_handed_over = True
            handed_over = HandedOverFlow(
                flow.key, packet.sequence, flow.upstream, 0, is_open_here=True, is_contested=False
            )
            self._peers.hand_over([handed_over])

    def _hold(self, packet: CallerPacket, now_ms: int) -> None:
        if not self._held.add(packet):
            self._drop(packet, RejectionReason.TOO_MANY_HELD, now_ms)

    def _ask_peers(self, packet: CallerPacket, now_ms: int) -> bool:
        """Announces an unknown flow unless its token proves where it is open.

        A packet without data waits, too: it may end the handshake, but also acknowledge a late
        answer of an upstream that does not hold the flow.

        Returns:
            Whether the packets of the flow have to wait for the answers of other instances.
        """
        if not is_attempt_token(packet.token):
            return False
        known = self.find_open_flow(packet.key, packet.sequence)
        if known is not None:
            self._announce_known(packet, known, now_ms)
            return False
        awaited = self._peers.announce(packet, needs_answers=True)
        if awaited:
            self._counts["held"] += 1
            hold_ms = HOLD_MS if is_recent_attempt(packet.token, now_ms) else HOLD_UNPROVEN_MS
            self._held.start(packet.key, awaited, now_ms, hold_ms)
        return bool(awaited)

    def _announce_known(self, packet: CallerPacket, known: KnownUpstream, now_ms: int) -> None:
        """Ends the retries of the instance that got the opening packet, if there may be any."""
        kept = self._remembered.find(packet.key, packet.sequence)
        if kept is None or now_ms - kept.recorded_at_ms >= HANDSHAKE_TIMEOUT_MS:
            return
        token = replace_upstream(packet.token, known)
        self._peers.announce(msgspec.structs.replace(packet, token=token), needs_answers=False)

    def _adopt_held(
        self,
        released: ReleasedPackets,
        told: KnownUpstream | None,
        basis: AdoptionBasis,
        now_ms: int,
    ) -> None:
        """Takes over a flow whose packets were held, or drops them if nobody told where it is open.

        Args:
            released: The packets.
            told: Upstream that another instance told; None if none did.
            basis: Why they are released.
            now_ms: Current time.
        """
        packets = released.packets
        assumed = find_upstream(self._state, packets[0].token)
        upstream = told or assumed
        if upstream is None:
            self._drop_all(packets, RejectionReason.UNKNOWN_TOKEN, now_ms)
            return
        if told is None and not self._is_credible(packets[0], released.uptime_by_host, now_ms):
            self._drop_all(packets, RejectionReason.UNKNOWN_FLOW, now_ms)
            return
        if upstream is not assumed:
            self._counts["corrected"] += 1
        pending = self._flows.find(packets[0].key)
        first = packets.pop(0)
        if pending is None or told is not None:
            if pending is not None:
                self._waits.stop(pending)
            self._adopt_flow(first, upstream, basis, now_ms)
        else:
            # Not by `handle`, which would ask the others again.
            self._handle_flow_packet(first, pending, now_ms)
        for packet in packets:
            self._handle(packet, now_ms)

    def _is_credible(
        self, packet: CallerPacket, uptime_by_host: dict[str, int], now_ms: int
    ) -> bool:
        """Whether a token is followed although no other instance tells where its flow is open.

        Args:
            packet: Packet of the flow.
            uptime_by_host: Times in ms for which the instances that do not know the flow have kept
                flows.
            now_ms: Current time.
        """
        token = packet.token
        if not is_attempt_token(token) or is_recent_attempt(token, now_ms):
            return True
        age_ms = compute_attempt_age_ms(token, now_ms)
        ignorant = frozenset(
            host for host, uptime_ms in uptime_by_host.items() if uptime_ms >= age_ms
        )
        return self._peers.is_uncontested(packet.key, ignorant, age_ms)

    def _drop_all(self, packets: list[CallerPacket], reason: RejectionReason, now_ms: int) -> None:
        for packet in packets:
            self._drop(packet, reason, now_ms)

    def _adopt_flow(
        self, packet: CallerPacket, upstream: KnownUpstream, basis: AdoptionBasis, now_ms: int
    ) -> None:
        """Takes over a flow that another instance opened."""
        route = self._state.find_route(packet.key.address)
        services = [share.service for share in route.shares] if route else []
        if route is not None and upstream.record.service not in services:
            # The route now leads to another service; the flow stays on its upstream.
            self._counts["kept_after_change"] += 1
        flow = Flow(packet.key, route, upstream, now_ms)
        flow.acknowledged = packet.acknowledged
        flow.next_sequence = packet.sequence
        is_corrected = not names_upstream(packet.token, upstream)
        is_repeated = decode_stage(packet.token) is TokenStage.REPEATED_ATTEMPT
        # The announcement that ends the retries of another instance may be lost.
        flow.is_contested = is_corrected or is_repeated or _is_end_of_handshake(packet)
        # A flow that is remembered here is kept by another instance as well.
        if flow.is_contested and basis is not AdoptionBasis.REMEMBERED:
            self._peers.remember(flow.key, packet.sequence, upstream, age_ms=0)
        self._flows.add(flow)
        self._flows.mark_established(flow)
        self._counts["adopted"] += 1
        self._counts[f"adopted_{basis.value}"] += 1
        self._log.log_adoption(flow, basis.value, now_ms)
        self._handle_flow_packet(packet, flow, now_ms)


def _find_basis(packet: CallerPacket, known: KnownUpstream | None) -> AdoptionBasis:
    """Returns what tells where the flow of a packet is open that was not held."""
    if known is not None:
        return AdoptionBasis.REMEMBERED
    is_attempt = is_attempt_token(packet.token)
    return AdoptionBasis.NOT_ASKED if is_attempt else AdoptionBasis.OPEN_TOKEN


def _is_end_of_handshake(packet: CallerPacket) -> bool:
    """Whether a packet looks like the caller's acknowledgement of the answer to a first attempt."""
    is_first_attempt = decode_stage(packet.token) is TokenStage.FIRST_ATTEMPT
    return is_first_attempt and not packet.payload_size_bytes
