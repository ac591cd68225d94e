"""Admission level of one service: whether it is limited, and the admitted share of each route.

The level is computed anew with each update from the room and the load of the service.
"""

import collections
from collections.abc import Iterable

import msgspec

from catkinspread.admission.demand import compute_demanded_work
from catkinspread.admission.demand_trend import UPDATE_INTERVAL_MS, DemandTrend
from catkinspread.admission.recent_occupancy import RecentOccupancy
from catkinspread.admission.settings import AdmissionSettings
from catkinspread.admission.shares import divide_room
from catkinspread.admission.types import RouteDemand, ServiceRoom

_MS_PER_S = 1_000
# Requests in flight per work slot over which some of them queue.
BUSY_OCCUPANCY = 1.0
# Factors of the trim. Too many requests in flight delay callers, so the room is lowered faster than
# it is raised.
TRIM_LOWER_FACTOR = 0.95
TRIM_RAISE_FACTOR = 1.02
# Each idle work slot raises the trim further by this factor of the idle share. With 2% alone, 40%
# more room would take a minute where summaries are 3 s old.
TRIM_IDLE_GAIN = 0.1
# The trim changes only once the room shows the effect of its last change, which takes as long as
# the summaries are old. More frequent changes make it oscillate, and upstreams alternate between
# full queues and idle slots.
TRIM_INTERVAL_MIN_MS = 500
# Part of the room by which it is corrected for each request per work slot that queues are off their
# target, and its bound. Demand that is 5% more than the room fills queues within 5 s. With smaller
# values, queues drain too slowly in a burst for the highest priority to be answered in time.
QUEUE_GAIN = 0.15
QUEUE_CORRECTION_MAX = 0.5
# Age of summaries above which they correct less, as the queues have changed meanwhile.
QUEUE_AGE_MS = 500
# Share of the room up to which the demand of the highest priorities is minor. Configuration checks by
# operators took a thousandth of it.
MINOR_DEMAND_SHARE = 0.05
# Standard deviations by which own openings must have risen while queues are seen. About 2% of the
# updates without a rise exceed it.
GROWTH_SIGNIFICANCE = 2.0
# A rise by this factor and this many standard deviations may limit a service before queues are
# seen: answers show them 300 ms after queues of 8 requests are full.
SURGE_FACTOR = 2.0
SURGE_SIGNIFICANCE = 4.0
# Weight of a new estimate from own figures only in the moving average. The openings and requests in
# flight of one of 300 instances are so few that a single estimate varies by a factor of 2. With
# summaries, their age delays the figures enough.
ESTIMATE_WEIGHT = 0.2
# Time for which the limit of another instance holds. A limited instance tells it every 250 ms.
REMOTE_LIMIT_LIFETIME_MS = 1_000
# Multiple of the usual number of updates with a high occupancy that it takes to limit a service
# while the room is an estimate from few summaries.
ESTIMATE_UPDATE_FACTOR = 2
# Summaries show demand with a delay, and positions vary; with a margin, the lowest priority gets
# its minimum also when its demand is over-estimated.
MINIMUM_MARGIN = 1.25
# A change of the admitted share by less is not reported.
REPORTED_CHANGE_MIN = 0.05
REPORT_INTERVAL_MS = 1_000


class AdmissionChange(msgspec.Struct, frozen=True):
    """A change of the admission level of a service, with its inputs.

    Attributes:
        service: Name of the service.
        at_ms: When the change was reported.
        is_limited: Whether new flows may be refused.
        admitted_share: Share of the offered work that is admitted.
        trim: Factor of the room that corrects errors of the learned work.
        slots: Work slots of the usable upstreams.
        in_flight: Requests that they have not answered yet.
        demand_ms_per_s: Offered and committed work by priority, in milliseconds of a work slot per
            second.
        age_ms: Age of the oldest summary that was used.
        is_estimate: Whether too few instances have been heard from.
    """

    service: str
    at_ms: int
    is_limited: bool
    admitted_share: float
    trim: float
    slots: float
    in_flight: float
    demand_ms_per_s: dict[int, float]
    age_ms: int
    is_estimate: bool


class ServiceLevel:
    """Admission level of one service.

    Args:
        service: Name of the service.
        settings: Margins.

    Attributes:
        service: Name of the service.
        priorities: Priorities of its routes by name.
        is_limited: Whether new flows may be refused.
        admitted_share: Share of the offered work that is admitted.
        expected_wait_ms: Time for which a request is expected to queue at an upstream.
        recent_occupancy: Occupancy of the upstreams when own requests were forwarded to them.
        last_change: The change of the level that was reported last, None if there was none.
        remote_limit_at_ms: When another instance last told that it limits the service.
    """

    __slots__ = (
        "_demands",
        "_high_update_count",
        "_releasable_since_ms",
        "_room",
        "_settings",
        "_shares",
        "_trend",
        "_trim",
        "_trimmed_at_ms",
        "admitted_share",
        "expected_wait_ms",
        "is_limited",
        "last_change",
        "priorities",
        "recent_occupancy",
        "service",
        "remote_limit_at_ms",
    )

    def __init__(self, service: str, settings: AdmissionSettings) -> None:
        self.service = service
        self.priorities: dict[str, int] = {}
        self.is_limited = False
        self.admitted_share = 1.0
        self.expected_wait_ms = 0.0
        self.recent_occupancy = RecentOccupancy()
        self.last_change: AdmissionChange | None = None
        self.remote_limit_at_ms: int | None = None
        self._settings = settings
        self._trend = DemandTrend()
        self._room: ServiceRoom | None = None
        self._demands: dict[str, RouteDemand] = {}
        self._shares: dict[str, float] = {}
        self._trim = 1.0
        self._trimmed_at_ms = 0
        self._high_update_count = 0
        self._releasable_since_ms: int | None = None

    def update(self, room: ServiceRoom, opening_count: int, now_ms: int) -> None:
        """Computes the level from the current room.

        Args:
            room: Room and load of the service.
            opening_count: Openings that this instance counted as demand since the last update.
            now_ms: Current time.
        """
        room = self._smooth_room(room)
        self._trend.record(opening_count)
        self.recent_occupancy.end_interval()
        room = self._apply_fall(room)
        self._room = room
        self._demands = {demand.route: demand for demand in room.demands}
        demand_ms_per_s = sum(map(compute_demanded_work, room.demands))
        growth = self._estimate_growth(room)
        if self.is_limited:
            self._update_release(room, demand_ms_per_s, now_ms)
        elif self._needs_limit(room, growth * demand_ms_per_s, growth, now_ms):
            self._start_limit(now_ms)
        if not self.is_limited or room.slots <= 0:
            # Without a usable upstream, placement probes and refuses; nothing can be divided.
            self._shares = {}
            self.admitted_share = 1.0
            self.expected_wait_ms = 0.0
            return
        self._update_trim(room, now_ms)
        self._shares = divide_room(
            self._compute_divided_room(room, growth),
            room.demands,
            MINIMUM_MARGIN * self._settings.minimum_share,
        )
        offered = sum(demand.offered_work_ms_per_s for demand in room.demands)
        admitted = sum(d.offered_work_ms_per_s * self._shares[d.route] for d in room.demands)
        self.admitted_share = admitted / offered if offered else 1.0
        self.expected_wait_ms = max(0.0, room.occupancy - 1) * self._compute_mean_work_ms(room)

    @property
    def occupancy(self) -> float:
        """Requests in flight per work slot at the last update; 0 before the first."""
        return 0.0 if self._room is None else self._room.occupancy

    @property
    def is_busy(self) -> bool:
        """Whether requests probably queue at the upstreams."""
        return self.occupancy > BUSY_OCCUPANCY

    def find_change(self, now_ms: int) -> AdmissionChange | None:
        """Returns the change since `last_change`; None if there is none or that was too recent."""
        last = self.last_change
        if self._room is None or (last is None and not self.is_limited):
            return None
        if last is not None and (
            now_ms - last.at_ms < REPORT_INTERVAL_MS
            or (
                last.is_limited == self.is_limited
                and abs(last.admitted_share - self.admitted_share) < REPORTED_CHANGE_MIN
            )
        ):
            return None
        return AdmissionChange(
            self.service,
            now_ms,
            self.is_limited,
            self.admitted_share,
            self._trim,
            self._room.slots,
            self._room.in_flight,
            dict(sorted(_sum_by_priority(self._room.demands).items())),
            self._room.age_ms,
            self._room.is_estimate,
        )

    def get_share(self, route: str) -> float:
        """Returns the share of new flows of a route that is admitted.

        A route without known demand, such as one that is too small for the summaries, gets the
        smallest share of the routes with its priority or a higher one.
        """
        share = self._shares.get(route)
        if share is not None:
            return share
        priority = self.priorities.get(route, 0)
        others = (s for name, s in self._shares.items() if self._demands[name].priority <= priority)
        return min(others, default=1.0)

    def get_work_ms(self, route: str) -> float:
        """Returns the work of one request of a route, 0 if it is unknown."""
        demand = self._demands.get(route)
        return demand.work_ms if demand is not None else 0.0

    def _smooth_room(self, room: ServiceRoom) -> ServiceRoom:
        """Returns a moving average of the load while it is estimated from own figures only.

        An age below the interval between updates shows that no older summary was used.
        """
        last = self._room
        if last is None or not room.is_estimate or room.age_ms >= UPDATE_INTERVAL_MS:
            return room
        previous = {demand.route: demand for demand in last.demands}
        return msgspec.structs.replace(
            room,
            in_flight=last.in_flight + ESTIMATE_WEIGHT * (room.in_flight - last.in_flight),
            demands=tuple(_smooth_demand(d, previous.get(d.route)) for d in room.demands),
        )

    def _apply_fall(self, room: ServiceRoom) -> ServiceRoom:
        """Returns the room with the load after a sudden fall that the summaries do not show yet.

        Work on open flows does not fall with the openings, so that it stays. The own answers show
        the requests in flight.
        """
        fall = self._trend.estimate_fall(room.age_ms, SURGE_SIGNIFICANCE)
        if fall > 1 / SURGE_FACTOR:
            return room
        recent = self.recent_occupancy.estimate()
        in_flight = room.in_flight if recent is None else min(room.in_flight, recent * room.slots)
        demands = tuple(
            msgspec.structs.replace(
                demand, offered_work_ms_per_s=fall * demand.offered_work_ms_per_s
            )
            for demand in room.demands
        )
        return msgspec.structs.replace(room, in_flight=in_flight, demands=demands)

    def _has_seen_queues(self) -> bool:
        """Whether the own requests found as many requests on their upstreams as limit a service."""
        recent = self.recent_occupancy.estimate()
        return recent is not None and recent >= self._settings.limit_occupancy

    def _estimate_growth(self, room: ServiceRoom) -> float:
        """Returns the factor by which demand exceeds the one in the summaries; at least 1."""
        if self._has_seen_queues():
            return self._trend.estimate_growth(room.age_ms, GROWTH_SIGNIFICANCE)
        # Without queues, a small rise is local, or demand is still no more than the room.
        growth = self._trend.estimate_growth(room.age_ms, SURGE_SIGNIFICANCE)
        return growth if growth >= SURGE_FACTOR else 1.0

    def _needs_limit(
        self, room: ServiceRoom, demand_ms_per_s: float, growth: float, now_ms: int
    ) -> bool:
        """Counts updates with a high occupancy and returns whether the limit starts."""
        if room.slots <= 0:
            return False
        recent = self.recent_occupancy.estimate()
        # Own answers that found no queues contradict a high occupancy in the summaries.
        is_contradicted = recent is not None and recent < self._settings.release_occupancy
        is_high = room.occupancy >= self._settings.limit_occupancy and not is_contradicted
        self._high_update_count = self._high_update_count + 1 if is_high else 0
        if room.is_settling:
            # Callers that return all at once after a loss are served soon, late at worst. A refusal
            # would fail them.
            return is_high and self._is_limited_elsewhere(now_ms)
        # An estimate from few summaries varies, so it must be high for longer.
        update_factor = ESTIMATE_UPDATE_FACTOR if room.is_estimate else 1
        if self._high_update_count >= update_factor * self._settings.limit_update_count:
            return True
        is_exceeded = demand_ms_per_s > room.slots * _MS_PER_S
        is_surely_high = is_high and not room.is_estimate
        return is_exceeded and (is_surely_high or growth >= SURGE_FACTOR or self._has_seen_queues())

    def _is_limited_elsewhere(self, now_ms: int) -> bool:
        told_at_ms = self.remote_limit_at_ms
        return told_at_ms is not None and now_ms - told_at_ms < REMOTE_LIMIT_LIFETIME_MS

    def _start_limit(self, now_ms: int) -> None:
        self.is_limited = True
        self._high_update_count = 0
        self._releasable_since_ms = None
        self._trim = 1.0
        self._trimmed_at_ms = now_ms

    def _update_release(self, room: ServiceRoom, demand_ms_per_s: float, now_ms: int) -> None:
        """Ends the limit once demand and occupancy have been low for long enough."""
        settings = self._settings
        is_releasable = (
            room.occupancy < settings.release_occupancy
            and demand_ms_per_s < settings.release_demand_share * self._compute_room_ms_per_s(room)
        )
        if not is_releasable:
            self._releasable_since_ms = None
        elif self._releasable_since_ms is None:
            self._releasable_since_ms = now_ms
        elif now_ms - self._releasable_since_ms >= settings.release_after_ms:
            self.is_limited = False

    def _update_trim(self, room: ServiceRoom, now_ms: int) -> None:
        if now_ms - self._trimmed_at_ms < max(TRIM_INTERVAL_MIN_MS, room.age_ms):
            return
        self._trimmed_at_ms = now_ms
        settings = self._settings
        recent = self.recent_occupancy.estimate()
        committed = sum(demand.committed_work_ms_per_s for demand in room.demands)
        if committed >= self._compute_room_ms_per_s(room):
            # The queues are those of open flows, so they tell nothing about the learned work.
            return
        lower, upper = sorted((room.occupancy, room.occupancy if recent is None else recent))
        if lower > settings.trim_lower_occupancy:
            self._trim = max(settings.trim_min, self._trim * TRIM_LOWER_FACTOR)
        elif upper < settings.trim_raise_occupancy:
            factor = TRIM_RAISE_FACTOR + TRIM_IDLE_GAIN * max(0.0, 1 - room.occupancy)
            self._trim = min(settings.trim_max, self._trim * factor)

    def _compute_divided_room(self, room: ServiceRoom, growth: float) -> float:
        """Returns the room that is divided, less while queues drain and demand grows.

        The highest priority keeps its room meanwhile: rejected callers return, so its demand seems
        too large at the start of an overload. One that asks for little, such as that of checks by
        operators, does not count: the next one is then the highest.
        """
        total = self._compute_room_ms_per_s(room)
        # Demand that grew by a factor has the same shares as a room that shrank by it.
        reduced = total * self._compute_queue_correction(room) / growth
        needed = self._compute_highest_demand(room, MINOR_DEMAND_SHARE * total)
        return max(
            reduced, min(total, needed / (1 - MINIMUM_MARGIN * self._settings.minimum_share))
        )

    def _compute_highest_demand(self, room: ServiceRoom, minor_ms_per_s: float) -> float:
        """Returns the work that the highest priority and those above ask for.

        Args:
            room: Load of the service.
            minor_ms_per_s: Work up to which a priority does not count as the highest. The lowest
                one that offers work counts only if it is the only one.
        """
        work_ms_per_s = _sum_by_priority(room.demands)
        offering = sorted({d.priority for d in room.demands if d.offered_work_ms_per_s})
        needed = 0.0
        for priority in offering[:-1] or offering:
            needed = sum(work for other, work in work_ms_per_s.items() if other <= priority)
            if needed >= minor_ms_per_s:
                break
        return needed

    def _compute_queue_correction(self, room: ServiceRoom) -> float:
        """Returns the factor of the room that moves queues towards their target."""
        recent = self.recent_occupancy.estimate()
        freshness = 1.0
        if recent is None:
            recent = room.occupancy
            freshness = QUEUE_AGE_MS / max(QUEUE_AGE_MS, room.age_ms)
        target = (self._settings.trim_raise_occupancy + self._settings.trim_lower_occupancy) / 2
        correction = QUEUE_GAIN * freshness * (target - recent)
        return 1 + min(QUEUE_CORRECTION_MAX, max(-QUEUE_CORRECTION_MAX, correction))

    def _compute_room_ms_per_s(self, room: ServiceRoom) -> float:
        """Returns the work that the slots can do, corrected by the trim."""
        return room.slots * _MS_PER_S * self._trim

    def _compute_mean_work_ms(self, room: ServiceRoom) -> float:
        """Returns the mean work of the requests that reach the upstreams."""
        work = requests = 0.0
        for demand in room.demands:
            admitted = demand.offered_work_ms_per_s * self._shares[demand.route]
            admitted += demand.committed_work_ms_per_s
            if demand.work_ms > 0:
                work += admitted
                requests += admitted / demand.work_ms
        return work / requests if requests else 0.0


def _sum_by_priority(demands: Iterable[RouteDemand]) -> dict[int, float]:
    """Returns the offered and committed work by priority."""
    work_ms_per_s: dict[int, float] = collections.defaultdict(float)
    for demand in demands:
        work_ms_per_s[demand.priority] += compute_demanded_work(demand)
    return work_ms_per_s


def _smooth_demand(demand: RouteDemand, last: RouteDemand | None) -> RouteDemand:
    if last is None:
        return demand
    offered = demand.offered_work_ms_per_s - last.offered_work_ms_per_s
    committed = demand.committed_work_ms_per_s - last.committed_work_ms_per_s
    return RouteDemand(
        demand.route,
        demand.service,
        demand.priority,
        demand.work_ms,
        last.offered_work_ms_per_s + ESTIMATE_WEIGHT * offered,
        last.committed_work_ms_per_s + ESTIMATE_WEIGHT * committed,
    )
