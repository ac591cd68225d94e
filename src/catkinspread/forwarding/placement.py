"""Selection of an upstream for a new flow.

Upstreams are compared by their expected response time, which depends on their queue, their measured
response times and whether they are in another data centre. Upstreams that do not respond are
excluded while others do, and upstreams in cold start are used only within their rate limit. Upstreams
that may have started again without the source telling it count as cold; see `restarts`.
"""

import enum
import random

import msgspec

from catkinspread.deployment import DeploymentState, KnownUpstream, Route
from catkinspread.forwarding.cold_start_limiter import ColdStartLimiter
from catkinspread.forwarding.load import LoadTracker
from catkinspread.forwarding.packets import FlowKey, RejectionReason
from catkinspread.forwarding.restarts import RestartTracker

# Added to the expected response time of upstreams in other data centres. It exceeds the network
# latency because traffic between data centres costs money and can be interrupted.
REMOTE_PENALTY_MS = 25.0
# Fraction of the time between the opening packet and the answer that the upstream spends on the
# request; the rest is network latency.
PROCESSING_FRACTION = 0.7
# Step that expected response times are rounded to, so that upstreams with nearly equal ones
# alternate.
ESTIMATE_STEP_MS = 5


class SelectionTier(enum.Enum):
    """Group of upstreams that a choice was made from.

    The order of preference is NORMAL, COLD_START, UNRESPONSIVE.
    """

    # Upstreams that respond, have a record in the source and are not in cold start.
    NORMAL = "normal"
    # Upstreams in back-off after a time-out or whose record is missing from the source. After
    # repeated time-outs an upstream gets only probes; see `UpstreamLoad.may_be_probed`.
    UNRESPONSIVE = "silent"
    # Upstreams in cold start that are within their rate limit.
    COLD_START = "cold"


class UpstreamChoice(msgspec.Struct, frozen=True):
    """A chosen upstream with the inputs of the decision.

    Attributes:
        upstream: The chosen upstream.
        tier: Group of upstreams that it was chosen from.
        expected_ms: Expected response time, including queueing and the remote penalty.
        candidate_count: Number of upstreams that were compared.
    """

    upstream: KnownUpstream
    tier: SelectionTier
    expected_ms: float
    candidate_count: int


class Placement:
    """Chooses upstreams for new flows.

    Args:
        data_centre: Data centre of this instance.
        state: State of the deployment.
        loads: Load of the upstreams.
        cold_start_limiter: Limits the rate of new flows to upstreams in cold start.
        rng: Random source for breaking ties.
        restarts: Tells which upstreams may have started again; none if it is None.
    """

    __slots__ = ("_cold_start_limiter", "_data_centre", "_loads", "_restarts", "_rng", "_state")

    def __init__(
        self,
        data_centre: str,
        state: DeploymentState,
        loads: LoadTracker,
        cold_start_limiter: ColdStartLimiter,
        rng: random.Random,
        restarts: RestartTracker | None = None,
    ) -> None:
        self._restarts = restarts or RestartTracker(state)
        self._data_centre = data_centre
        self._state = state
        self._loads = loads
        self._cold_start_limiter = cold_start_limiter
        self._rng = rng

    def choose(
        self,
        route: Route,
        key: FlowKey,
        now_ms: int,
        excluded: tuple[KnownUpstream, ...] = (),
    ) -> UpstreamChoice | RejectionReason:
        """Returns the best upstream, or the reason why there is none for the flow.

        Records the flow as placed on the returned upstream, also against the rate limit of an
        upstream in cold start.

        If several services share the route, the hash of the flow selects the service. Another
        service is used only while the selected one has no upstream for the flow.

        Args:
            route: Route of the flow.
            key: Key of the flow.
            now_ms: Current time.
            excluded: Upstreams that were already tried for the flow.
        """
        flow_hash = key.compute_routing_hash() if len(route.shares) > 1 else 0
        rejections = []
        for service in route.rank_services(flow_hash):
            choice = self._choose_in_service(service, now_ms, excluded)
            if isinstance(choice, UpstreamChoice):
                return choice
            rejections.append(choice)
        return rejections[0]

    def _choose_in_service(
        self, service: str, now_ms: int, excluded: tuple[KnownUpstream, ...]
    ) -> UpstreamChoice | RejectionReason:
        candidates = [
            upstream
            for upstream in self._state.list_eligible_upstreams(service)
            if upstream not in excluded
        ]
        warm = self._restarts.list_warm(candidates, now_ms)
        usable = self._list_usable(warm, now_ms)
        responsive = [
            upstream
            for upstream in usable
            if upstream.missing_since_ms is None
            and not self._loads.get(upstream.record.name).is_in_backoff(now_ms)
        ]
        if responsive:
            return self._choose_warm(responsive, SelectionTier.NORMAL, now_ms)
        rate_per_s = self._state.find_service_limits(service).cold_rate_per_s
        cold = self._find_cold_within_rate(candidates, rate_per_s, now_ms)
        if cold:
            choice = self._choose_fastest(cold, SelectionTier.COLD_START, now_ms)
            self._cold_start_limiter.record_flow(choice.upstream, rate_per_s, now_ms)
            return choice
        probed = [
            upstream
            for upstream in usable
            if self._loads.get(upstream.record.name).may_be_probed(now_ms)
        ]
        if probed:
            return self._choose_warm(probed, SelectionTier.UNRESPONSIVE, now_ms)
        if warm:
            return RejectionReason.NONE_ANSWERS
        return RejectionReason.ALL_COLD if candidates else RejectionReason.NO_UPSTREAM

    def _list_usable(self, warm: list[KnownUpstream], now_ms: int) -> list[KnownUpstream]:
        """Returns the upstreams that are not silent, or may get a flow to see if they answer."""
        if not self._restarts.has_silences:
            return warm
        return [
            upstream
            for upstream in warm
            if not self._restarts.is_silent(upstream)
            or self._cold_start_limiter.allows(
                upstream, self._restarts.get_probe_rate_per_s(upstream), now_ms
            )
        ]

    def _choose_warm(
        self, candidates: list[KnownUpstream], tier: SelectionTier, now_ms: int
    ) -> UpstreamChoice:
        """Chooses among upstreams that are not cold; silent ones come first.

        Only a flow shows whether a silent upstream answers, and others may have better estimates.
        """
        if not self._restarts.has_silences:
            return self._choose_fastest(candidates, tier, now_ms)
        silent = [upstream for upstream in candidates if self._restarts.is_silent(upstream)]
        choice = self._choose_fastest(silent or candidates, tier, now_ms)
        if silent:
            rate_per_s = self._restarts.get_probe_rate_per_s(choice.upstream)
            self._cold_start_limiter.record_flow(choice.upstream, rate_per_s, now_ms)
        return choice

    def _choose_fastest(
        self, candidates: list[KnownUpstream], tier: SelectionTier, now_ms: int
    ) -> UpstreamChoice:
        best = candidates[0]
        best_rank = (float("inf"), 0, 0.0)
        for upstream in candidates:
            load = self._loads.get(upstream.record.name)
            rank = (
                self._estimate_response_ms(upstream, now_ms),
                load.last_placed_at_ms,
                self._rng.random(),
            )
            if rank < best_rank:
                best, best_rank = upstream, rank
        self._loads.get(best.record.name).last_placed_at_ms = now_ms
        return UpstreamChoice(best, tier, best_rank[0], len(candidates))

    def _estimate_response_ms(self, upstream: KnownUpstream, now_ms: int) -> float:
        record = upstream.record
        load = self._loads.get(record.name)
        occupied = PROCESSING_FRACTION * (load.in_flight + load.peer_in_flight)
        unqueued_ms = load.estimate_unqueued_response_ms(now_ms)
        queue_rounds = max(0.0, occupied + 1 - record.work_slots) / record.work_slots
        penalty_ms = 0.0 if record.data_centre == self._data_centre else REMOTE_PENALTY_MS
        estimate_ms = (queue_rounds + 1) * unqueued_ms
        return round(estimate_ms / ESTIMATE_STEP_MS) * ESTIMATE_STEP_MS + penalty_ms

    def _find_cold_within_rate(
        self, candidates: list[KnownUpstream], rate_per_s: float, now_ms: int
    ) -> list[KnownUpstream]:
        return [
            upstream
            for upstream in candidates
            if self._restarts.is_cold(upstream, now_ms)
            and self._cold_start_limiter.allows(upstream, rate_per_s, now_ms)
        ]
