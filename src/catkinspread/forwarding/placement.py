"""The choice of an upstream for a new flow.

Upstreams are compared by the time at which they would answer: the work that is known to wait
there, their measured response time, and the way to another data centre. Upstreams that do not
answer are left out while others do, and cold ones are used only within their budget.
"""

import enum
import random

import msgspec

from catkinspread.deployment import DeploymentState, KnownUpstream, Route
from catkinspread.forwarding.cold_start_limiter import ColdStartLimiter
from catkinspread.forwarding.load import LoadTracker
from catkinspread.forwarding.packets import FlowKey, RejectionReason

# Added to the expected answer time of an upstream elsewhere. More than the way there, because
# traffic between data centres is paid for and can be cut.
OTHER_DATA_CENTRE_MS = 25.0
# Share of the time between the opening packet and the answer in which the upstream works on the
# request; the rest goes to the way of the packets.
WORKING_SHARE = 0.7


class Standing(enum.Enum):
    """How an upstream came to be chosen."""

    NORMAL = "normal"
    SILENT = "silent"
    COLD = "cold"


class Choice(msgspec.Struct, frozen=True):
    """A chosen upstream with the inputs that decided.

    Attributes:
        upstream: The upstream.
        standing: Whether it is a regular choice or the best of a bad lot.
        expected_ms: Expected time to the answer.
        candidates: How many upstreams were compared.
    """

    upstream: KnownUpstream
    standing: Standing
    expected_ms: float
    candidates: int


class Placement:
    """Chooses upstreams for new flows.

    Args:
        data_centre: Where this instance runs.
        state: The deployment.
        loads: Load of the upstreams.
        cold_start_limiter: What may be sent to cold upstreams.
        rng: Source of random choices.
    """

    __slots__ = ("_cold_start_limiter", "_data_centre", "_loads", "_rng", "_state")

    def __init__(
        self,
        data_centre: str,
        state: DeploymentState,
        loads: LoadTracker,
        cold_start_limiter: ColdStartLimiter,
        rng: random.Random,
    ) -> None:
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
    ) -> Choice | RejectionReason:
        """Returns the best upstream, or why no upstream may take the flow.

        A route that several services share gives the flow to one of them by its hash, and to
        another one only while that has no upstream for it.

        Args:
            route: Route of the flow.
            key: Both ends of the flow.
            now_ms: Current time.
            excluded: Upstreams that were already tried for the flow.
        """
        flow_hash = key.compute_hash() if len(route.shares) > 1 else 0
        reasons = []
        for service in route.rank_services(flow_hash):
            choice = self._choose_in(service, now_ms, excluded)
            if isinstance(choice, Choice):
                return choice
            reasons.append(choice)
        return reasons[0]

    def _choose_in(
        self, service: str, now_ms: int, excluded: tuple[KnownUpstream, ...]
    ) -> Choice | RejectionReason:
        candidates = [
            upstream
            for upstream in self._state.list_eligible_upstreams(service)
            if upstream not in excluded
        ]
        warm = [upstream for upstream in candidates if now_ms >= upstream.cold_until_ms]
        answering = [
            upstream
            for upstream in warm
            if upstream.missing_since_ms is None
            and not self._loads.get(upstream.record.name).is_in_backoff(now_ms)
        ]
        if answering:
            return self._choose_fastest(answering, Standing.NORMAL, now_ms)
        rate_per_s = self._state.find_service_limits(service).cold_rate_per_s
        cold = self._find_cold_with_budget(candidates, rate_per_s, now_ms)
        if cold:
            choice = self._choose_fastest(cold, Standing.COLD, now_ms)
            self._cold_start_limiter.record_flow(choice.upstream, rate_per_s, now_ms)
            return choice
        tried_now = [
            upstream
            for upstream in warm
            if self._loads.get(upstream.record.name).may_be_probed(now_ms)
        ]
        if tried_now:
            return self._choose_fastest(tried_now, Standing.SILENT, now_ms)
        if warm:
            return RejectionReason.NONE_ANSWERS
        return RejectionReason.ALL_COLD if candidates else RejectionReason.NO_UPSTREAM

    def _choose_fastest(
        self, candidates: list[KnownUpstream], standing: Standing, now_ms: int
    ) -> Choice:
        best = candidates[0]
        best_rank = (float("inf"), 0, 0.0)
        for upstream in candidates:
            load = self._loads.get(upstream.record.name)
            rank = (
                self._estimate_ms(upstream, now_ms),
                load.last_placed_at_ms,
                self._rng.random(),
            )
            if rank < best_rank:
                best, best_rank = upstream, rank
        self._loads.get(best.record.name).last_placed_at_ms = now_ms
        return Choice(best, standing, best_rank[0], len(candidates))

    def _estimate_ms(self, upstream: KnownUpstream, now_ms: int) -> float:
        record = upstream.record
        load = self._loads.get(record.name)
        ahead = WORKING_SHARE * (load.in_flight + load.peer_in_flight)
        latency_ms = load.estimate_latency_ms(now_ms)
        rounds = max(0.0, ahead + 1 - record.work_slots) / record.work_slots
        way_ms = 0.0 if record.data_centre == self._data_centre else OTHER_DATA_CENTRE_MS
        # Rounding lets upstreams that are nearly equal take turns.
        return round((rounds + 1) * latency_ms / 5) * 5 + way_ms

    def _find_cold_with_budget(
        self, candidates: list[KnownUpstream], rate_per_s: float, now_ms: int
    ) -> list[KnownUpstream]:
        return [
            upstream
            for upstream in candidates
            if now_ms < upstream.cold_until_ms
            and self._cold_start_limiter.allows(upstream, rate_per_s, now_ms)
        ]
