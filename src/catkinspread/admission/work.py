"""Work that a request of each route needs, learned from requests that did not queue."""

from catkinspread.deployment import Route

# Weight of a new sample once a route has enough of them. If 3% of the requests take 7 times as long
# as the others, the average deviates by 8% (one standard deviation).
SMOOTHING_FACTOR = 1 / 64
# Weight of a new value that another instance told. That one may know only the default.
TOLD_SMOOTHING_FACTOR = 0.25
# A request uses a work slot for some time also if its response is measured as 0 ms.
WORK_MIN_MS = 1.0


class _RouteWork:
    """Average work of the requests of one route."""

    __slots__ = ("sample_count", "work_ms")

    def __init__(self) -> None:
        self.sample_count = 0
        self.work_ms = 0.0


class WorkEstimator:
    """Learns the work of a request by route.

    The processing time of a request that did not queue is used as its work.
    """

    __slots__ = ("_reported_ms", "_routes")

    def __init__(self) -> None:
        self._routes: dict[str, _RouteWork] = {}
        self._reported_ms: dict[str, float] = {}

    def record_response(
        self, route: Route, processing_ms: int, occupied: float, work_slots: int
    ) -> None:
        """Learns from an answered request; one that queued is ignored.

        Args:
            route: Route of its flow.
            processing_ms: Time from the request to the first acknowledged data of the answer, less
                the usual network latency.
            occupied: Requests in flight on its upstream when the request was forwarded, including
                itself.
            work_slots: Work slots of its upstream.
        """
        if occupied > work_slots or processing_ms < 0:
            return
        # Callers stop waiting after the time-out of the route, so that a longer time says nothing
        # about the work.
        timeout_ms = route.timeout_ms
        sample_ms = float(timeout_ms if 0 < timeout_ms < processing_ms else processing_ms)
        if sample_ms < WORK_MIN_MS:
            sample_ms = WORK_MIN_MS
        learned = self._routes.get(route.name)
        if learned is None:
            learned = self._routes[route.name] = _RouteWork()
        learned.sample_count += 1
        weight = 1 / learned.sample_count
        if weight < SMOOTHING_FACTOR:
            weight = SMOOTHING_FACTOR
        learned.work_ms += weight * (sample_ms - learned.work_ms)

    def record_told(self, route: str, work_ms: float) -> None:
        """Learns from another instance; used while this one has no sample of the route.

        So an instance that starts under overload, when most requests queue, knows the work as well.
        """
        reported_ms = self._reported_ms.setdefault(route, work_ms)
        self._reported_ms[route] = reported_ms + TOLD_SMOOTHING_FACTOR * (work_ms - reported_ms)

    def get_work_ms(self, route: str) -> float | None:
        """Returns the work of one request of a route in ms; None if nothing is known about it."""
        learned = self._routes.get(route)
        return learned.work_ms if learned else self._reported_ms.get(route)
