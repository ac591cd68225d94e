"""Demand of the callers of this instance by route."""

import collections

from catkinspread.admission.types import RouteDemand
from catkinspread.admission.work import WorkEstimator
from catkinspread.deployment import Route
from catkinspread.forwarding.load import RESPONSE_DEFAULT_MS

# The demand is the rate over the last WINDOW_MS, counted in buckets of BUCKET_MS.
WINDOW_MS = 1_000
BUCKET_MS = 100
_BUCKET_COUNT = WINDOW_MS // BUCKET_MS
_MS_PER_S = 1_000
# Work that is assumed for a route until a request of it has been measured.
WORK_DEFAULT_MS = RESPONSE_DEFAULT_MS


class _SlidingCount:
    """Number of events in the current bucket of time and in the _BUCKET_COUNT buckets before it.

    All methods take O(1) time.
    """

    __slots__ = ("_counts", "_bucket", "total")

    def __init__(self, bucket: int) -> None:
        self._counts = [0] * (_BUCKET_COUNT + 1)
        self._bucket = bucket
        self.total = 0

    def advance(self, bucket: int) -> None:
        """Drops the buckets that have left the window; an earlier bucket changes nothing."""
        for passed in range(self._bucket + 1, min(bucket, self._bucket + len(self._counts)) + 1):
            position = passed % len(self._counts)
            self.total -= self._counts[position]
            self._counts[position] = 0
        self._bucket = max(self._bucket, bucket)

    def add(self, bucket: int) -> None:
        """Counts an event in a bucket, or in the current one if the given one is earlier."""
        # Most events come in the current bucket; `advance` would cost more than the count.
        if bucket > self._bucket:
            self.advance(bucket)
        self._counts[self._bucket % (_BUCKET_COUNT + 1)] += 1
        self.total += 1


class _RouteCounts:
    """Requests of the callers of one route.

    Attributes:
        route: The route as of the last event.
        offered: First requests.
        committed: Further requests on open flows.
    """

    __slots__ = ("committed", "offered", "route")

    def __init__(self, route: Route, bucket: int) -> None:
        self.route = route
        self.offered = _SlidingCount(bucket)
        self.committed = _SlidingCount(bucket)


class DemandMeter:
    """Measures the work that the callers of each route ask this instance for.

    Args:
        work: Tells the work of a request of each route.
    """

    __slots__ = ("_counts", "_work")

    def __init__(self, work: WorkEstimator) -> None:
        self._work = work
        self._counts: dict[str, _RouteCounts] = {}

    def record_opening(self, route: Route, now_ms: int) -> None:
        """Counts the first copy of an opening packet, whether the flow is admitted or refused."""
        counts = self._counts.get(route.name)
        if counts is None or counts.route is not route:
            counts = self._find_counts(route, now_ms)
        counts.offered.add(now_ms // BUCKET_MS)

    def record_request(self, route: Route, is_first: bool, now_ms: int) -> None:
        """Counts a forwarded request.

        The first request on a flow is not counted, because its opening packet was.
        """
        if not is_first:
            self._find_counts(route, now_ms).committed.add(now_ms // BUCKET_MS)

    def list_demands(self, now_ms: int) -> list[RouteDemand]:
        """Returns the demand by route and service, in order of decreasing work.

        The demand of a route that several services share is divided by their weights. Routes
        without demand in the window are forgotten.
        """
        bucket = now_ms // BUCKET_MS
        window_ms = WINDOW_MS + now_ms % BUCKET_MS
        demands = []
        for name, counts in list(self._counts.items()):
            counts.offered.advance(bucket)
            counts.committed.advance(bucket)
            if not counts.offered.total and not counts.committed.total:
                del self._counts[name]
                continue
            work_ms = self._work.get_work_ms(name) or WORK_DEFAULT_MS
            work_per_request = work_ms * _MS_PER_S / window_ms
            for service, fraction in _divide_by_weight(counts.route).items():
                demands.append(
                    RouteDemand(
                        name,
                        service,
                        counts.route.priority,
                        work_ms,
                        counts.offered.total * work_per_request * fraction,
                        counts.committed.total * work_per_request * fraction,
                    )
                )
        demands.sort(key=compute_demanded_work, reverse=True)
        return demands

    def _find_counts(self, route: Route, now_ms: int) -> _RouteCounts:
        counts = self._counts.get(route.name)
        if counts is None:
            counts = self._counts[route.name] = _RouteCounts(route, now_ms // BUCKET_MS)
        counts.route = route
        return counts


def compute_demanded_work(demand: RouteDemand) -> float:
    """Returns the offered and committed work of a demand in ms of a work slot per second."""
    return demand.offered_work_ms_per_s + demand.committed_work_ms_per_s


def _divide_by_weight(route: Route) -> dict[str, float]:
    """Returns each service of a route with its fraction of the flows.

    Services without weight get none. If none has weight, the last one gets all flows, as
    `Route.rank_services` decides.
    """
    total_weight = sum(share.weight for share in route.shares)
    if len(route.shares) == 1 or total_weight <= 0:
        return {route.shares[-1].service: 1.0}
    fractions: dict[str, float] = collections.defaultdict(float)
    for share in route.shares:
        if share.weight > 0:
            fractions[share.service] += share.weight / total_weight
    return fractions
