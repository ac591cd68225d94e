"""Capacity of the upstreams of a service, as this instance sees them."""

import collections

from catkinspread.deployment import DeploymentState, KnownUpstream
from catkinspread.forwarding.load import LoadTracker

_MS_PER_S = 1_000
# An upstream that answered a request within this time works, also if it is in back-off: a full one
# does not answer opening packets, and goes on answering requests.
ANSWER_MAX_AGE_MS = 1_000
# Interval at which the bound of the requests in flight is computed again.
BOUND_INTERVAL_MS = 1_000
# Factor between the flows that the known upstreams hold and the requests in flight that another
# instance can report. It may know of more upstreams, and it also counts the flows whose opening
# packets a full upstream does not answer; these are tried on up to four upstreams.
BOUND_FACTOR = 4


class DataCentreCapacity:
    """Capacity of a service in one data centre.

    Attributes:
        slots: Work slots of the usable upstreams.
        has_unanswering: Whether an upstream has not answered this instance since its last time-out.
    """

    __slots__ = ("has_unanswering", "slots")

    def __init__(self) -> None:
        self.slots = 0.0
        self.has_unanswering = False


class UpstreamCapacity:
    """Counts work slots and tells bounds by service and data centre.

    Args:
        state: State of the deployment.
        loads: Load and health of the upstreams.
    """

    __slots__ = ("_bounded_at_ms", "_bounds_by_service", "_loads", "_state")

    def __init__(self, state: DeploymentState, loads: LoadTracker) -> None:
        self._state = state
        self._loads = loads
        self._bounds_by_service: dict[str, dict[str, float]] = {}
        self._bounded_at_ms = 0

    def is_usable(self, upstream: KnownUpstream, now_ms: int) -> bool:
        """Whether an upstream is eligible, has a record in the source, and answers requests."""
        return self._state.is_eligible(upstream) and self._is_working(upstream, now_ms)

    def count_slots(
        self, service: str, work_ms: float, now_ms: int
    ) -> dict[str, DataCentreCapacity]:
        """Returns the capacity of the usable upstreams of a service by data centre.

        An upstream in cold start counts with as many work slots as its rate of flows can use.

        Args:
            service: Name of the service.
            work_ms: Work of a request of the service.
            now_ms: Current time.
        """
        cold_rate_per_s = self._state.find_service_limits(service).cold_rate_per_s
        cold_slots = cold_rate_per_s * work_ms / _MS_PER_S
        capacities: dict[str, DataCentreCapacity] = collections.defaultdict(DataCentreCapacity)
        for upstream in self._state.list_eligible_upstreams(service):
            record = upstream.record
            capacity = capacities[record.data_centre]
            load = self._loads.get(record.name)
            if load.has_timed_out:
                capacity.has_unanswering = True
            if self._is_working(upstream, now_ms):
                is_cold = now_ms < upstream.cold_until_ms
                capacity.slots += (
                    min(record.work_slots, cold_slots) if is_cold else record.work_slots
                )
        return dict(capacities)

    def _is_working(self, upstream: KnownUpstream, now_ms: int) -> bool:
        load = self._loads.get(upstream.record.name)
        return upstream.missing_since_ms is None and (
            not load.is_in_backoff(now_ms) or now_ms - load.answered_at_ms < ANSWER_MAX_AGE_MS
        )

    def find_requests_max(self, service: str, data_centre: str, now_ms: int) -> float | None:
        """Returns a bound of the requests in flight to a service in a data centre.

        Returns None if no upstream or no limits of the service are known there, because the state
        of this instance may be older than that of another one.
        """
        if now_ms - self._bounded_at_ms >= BOUND_INTERVAL_MS:
            self._bounds_by_service.clear()
            self._bounded_at_ms = now_ms
        bounds = self._bounds_by_service.get(service)
        if bounds is None:
            bounds = self._bounds_by_service[service] = self._compute_bounds(service)
        return bounds.get(data_centre)

    def _compute_bounds(self, service: str) -> dict[str, float]:
        limits = self._state.find_service_limits(service)
        if limits.name != service:
            return {}
        bounds: dict[str, float] = collections.defaultdict(float)
        for upstream in self._state.list_eligible_upstreams(service):
            record = upstream.record
            requests_max = max(limits.connections_max, record.work_slots)
            bounds[record.data_centre] += BOUND_FACTOR * requests_max
        return dict(bounds)
