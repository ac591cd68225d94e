"""Selection of an upstream for a new flow.

Upstreams are compared by their expected response time, which depends on their queue, their measured
response times and whether they are in another data centre. While the own data centre has much load,
a part of the flows may go to another one before all slots of the own one are taken. An upstream
with quick answers may be failing requests: it counts as no faster than usual and gets at most its
fair share, which is one flow in as many as there are upstreams. Upstreams that do not respond are
excluded while others do, and upstreams in cold start are used only within their rate limit.
"""

import enum
import random

import msgspec

from catkinspread.deployment import DeploymentState, KnownUpstream, Route, UpstreamRecord
from catkinspread.forwarding.admission_policy import NoOccupancyView, OccupancyView
from catkinspread.forwarding.cold_start_limiter import ColdStartLimiter
from catkinspread.forwarding.handshakes import HandshakeEstimator
from catkinspread.forwarding.load import LoadTracker, UpstreamLoad
from catkinspread.forwarding.packets import FlowKey, RejectionReason
from catkinspread.forwarding.response_estimates import (
    PROCESSING_FRACTION,
    Member,
    ServiceEstimates,
)

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
        rng: Random source for breaking ties and for spill-over.
        occupancies: Load of the upstreams of other data centres.

    Attributes:
        handshakes: Handshake times of the data centres.
    """

    __slots__ = (
        "_cold_start_limiter",
        "_data_centre",
        "_estimates",
        "_loads",
        "_occupancies",
        "_rng",
        "_state",
        "handshakes",
    )

    def __init__(
        self,
        data_centre: str,
        state: DeploymentState,
        loads: LoadTracker,
        cold_start_limiter: ColdStartLimiter,
        rng: random.Random,
        occupancies: OccupancyView | None = None,
    ) -> None:
        self._data_centre = data_centre
        self._state = state
        self._loads = loads
        self._cold_start_limiter = cold_start_limiter
        self._rng = rng
        self._occupancies = occupancies or NoOccupancyView()
        self._estimates: dict[str, ServiceEstimates] = {}
        self.handshakes = HandshakeEstimator()

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
        estimates = self._find_estimates(service)
        estimates.set_upstreams(self._state.list_eligible_upstreams(service))
        estimates.update(now_ms)
        candidates = estimates.list_members()
        if excluded:
            candidates = [member for member in candidates if member[0] not in excluded]
        responsive = [
            (upstream, load)
            for upstream, load in candidates
            if now_ms >= upstream.cold_until_ms
            and upstream.missing_since_ms is None
            and not load.is_in_backoff(now_ms)
        ]
        if responsive:
            return self._choose_fastest(responsive, SelectionTier.NORMAL, estimates, now_ms)
        rate_per_s = self._state.find_service_limits(service).cold_rate_per_s
        cold = self._list_cold_within_rate(candidates, rate_per_s, now_ms)
        if cold:
            choice = self._choose_fastest(cold, SelectionTier.COLD_START, estimates, now_ms)
            self._cold_start_limiter.record_flow(choice.upstream, rate_per_s, now_ms)
            return choice
        warm = [member for member in candidates if now_ms >= member[0].cold_until_ms]
        probed = [member for member in warm if member[1].may_be_probed(now_ms)]
        if probed:
            return self._choose_fastest(probed, SelectionTier.UNRESPONSIVE, estimates, now_ms)
        if warm:
            return RejectionReason.NONE_ANSWERS
        return RejectionReason.ALL_COLD if candidates else RejectionReason.NO_UPSTREAM

    def _find_estimates(self, service: str) -> ServiceEstimates:
        estimates = self._estimates.get(service)
        if estimates is None:
            estimates = self._estimates[service] = ServiceEstimates(
                service, self._data_centre, self._loads, self.handshakes, self._occupancies
            )
        return estimates

    def _choose_fastest(
        self,
        candidates: list[Member],
        tier: SelectionTier,
        estimates: ServiceEstimates,
        now_ms: int,
    ) -> UpstreamChoice:
        compared = candidates
        share = estimates.spill_over.share
        if share and tier is SelectionTier.NORMAL and self._rng.random() < share:
            compared = self._list_spill_targets(candidates, estimates) or candidates
        if estimates.has_quick_answers:
            compared = [
                member for member in compared if estimates.is_within_fair_share(*member)
            ] or compared
        best, best_load = compared[0]
        best_rank = (float("inf"), 0, 0.0)
        for upstream, load in compared:
            estimate_ms = self._estimate_response_ms(upstream.record, load, estimates, now_ms)
            if estimate_ms > best_rank[0]:
                continue
            rank = (estimate_ms, load.last_placed_at_ms, self._rng.random())
            if rank < best_rank:
                best, best_load, best_rank = upstream, load, rank
        best_load.last_placed_at_ms = now_ms
        estimates.record_placed(best, best_load)
        return UpstreamChoice(best, tier, best_rank[0], len(compared))

    def _list_spill_targets(
        self, candidates: list[Member], estimates: ServiceEstimates
    ) -> list[Member]:
        return [
            (upstream, load)
            for upstream, load in candidates
            if upstream.record.data_centre != self._data_centre
            and estimates.get_remote(upstream.record.data_centre).takes_spill_over
        ]

    def _estimate_response_ms(
        self,
        record: UpstreamRecord,
        load: UpstreamLoad,
        estimates: ServiceEstimates,
        now_ms: int,
    ) -> float:
        unqueued_ms = load.estimate_unqueued_response_ms(now_ms)
        in_flight: float = load.in_flight + load.peer_in_flight
        if load.has_quick_answers and unqueued_ms < load.usual_response_ms:
            unqueued_ms = load.usual_response_ms
        penalty_ms = 0.0
        slots = record.work_slots
        if record.data_centre != self._data_centre:
            remote = estimates.get_remote(record.data_centre)
            penalty_ms = remote.penalty_ms
            unqueued_ms = max(unqueued_ms, remote.unqueued_min_ms)
            in_flight = max(in_flight, remote.occupancy * slots)
        queued = PROCESSING_FRACTION * in_flight + 1 - slots
        estimate_ms = (queued / slots + 1) * unqueued_ms if queued > 0 else unqueued_ms
        return round(estimate_ms / ESTIMATE_STEP_MS) * ESTIMATE_STEP_MS + penalty_ms

    def _list_cold_within_rate(
        self, candidates: list[Member], rate_per_s: float, now_ms: int
    ) -> list[Member]:
        return [
            (upstream, load)
            for upstream, load in candidates
            if now_ms < upstream.cold_until_ms
            and self._cold_start_limiter.allows(upstream, rate_per_s, now_ms)
        ]
