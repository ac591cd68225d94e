"""Admitted share of the new flows of one route, and counts of its flows."""

from catkinspread.admission.retry_share import RetryShare
from catkinspread.admission.service_level import ServiceLevel
from catkinspread.forwarding.admission_policy import AdmissionVerdict


class RouteLevel:
    """Admission level of one route with its counts.

    Attributes:
        levels: Levels of the services of the route with their weights; None for a service without
            admission control.
        is_busy: Whether requests probably queue at the upstreams of one of the services.
        share: Admitted share of the callers; None while no service of the route is limited.
        retries: Tells how many refused openings are first attempts.
        expected_ms: Expected wait and work of a request; 0 if only some services are limited.
        limited_since_ms: When a service of the route became limited; has no meaning if none is.
        first_attempts: Estimated number of first attempts that are not counted as demand yet.
        openings: Flows about which a decision was made.
        uncounted: Those of them that were not counted as demand.
        no_room: Flows refused for lack of room.
        too_late: Flows refused as too late.
        late_copies: Flows whose first copy was admitted and a later one refused as too late.
        seen_openings: Value of `openings` at the last update of the controller that found new ones.
        opened_at_ms: Time of that update.
    """

    __slots__ = (
        "_taken_demand_count",
        "expected_ms",
        "first_attempts",
        "is_busy",
        "late_copies",
        "levels",
        "limited_since_ms",
        "no_room",
        "opened_at_ms",
        "openings",
        "retries",
        "seen_openings",
        "share",
        "too_late",
        "uncounted",
    )

    def __init__(self) -> None:
        self.levels: list[tuple[ServiceLevel | None, float]] = []
        self.is_busy = False
        self.share: float | None = None
        self.retries = RetryShare()
        self.expected_ms = 0.0
        self.limited_since_ms = 0
        self.first_attempts = 0.0
        self.openings = 0
        self.uncounted = 0
        self.no_room = 0
        self.too_late = 0
        self.late_copies = 0
        self.seen_openings = 0
        self.opened_at_ms = 0
        self._taken_demand_count = 0

    def take_demand_count(self) -> int:
        """Returns the flows that were counted as demand since the last call."""
        total = self.openings - self.uncounted
        count = total - self._taken_demand_count
        self._taken_demand_count = total
        return count

    def count_verdicts(self) -> dict[AdmissionVerdict, int]:
        """Returns the number of flows by verdict."""
        return {
            AdmissionVerdict.ADMITTED: self.openings - self.no_room - self.too_late,
            AdmissionVerdict.NO_ROOM: self.no_room,
            AdmissionVerdict.TOO_LATE: self.too_late + self.late_copies,
        }

    def update(self, route: str, now_ms: int) -> None:
        """Computes the share and the expected time from the levels of the services.

        Args:
            route: Name of the route.
            now_ms: Current time.
        """
        self.retries.decay(now_ms)
        levels = [level for level, _ in self.levels if level is not None]
        self.is_busy = any(level.is_busy for level in levels)
        limited = [level for level in levels if level.is_limited]
        if not limited:
            self.share = None
            return
        if self.share is None:
            self.limited_since_ms = now_ms
        # The service of a flow is not known here, so a route that several services share has one
        # admitted share, the mean by weight.
        total = sum(weight for _, weight in self.levels)
        self.share = (
            sum(
                weight * (level.get_share(route) if level is not None and level.is_limited else 1.0)
                for level, weight in self.levels
            )
            / total
        )
        self.expected_ms = 0.0
        if len(limited) == len(self.levels):
            self.expected_ms = min(
                level.expected_wait_ms + level.get_work_ms(route) for level in limited
            )
