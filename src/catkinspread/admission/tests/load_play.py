"""A simulation of callers, instances and upstreams, without a network or a clock.

Instances see each other only through summaries that are sampled and delayed as `RoomReporter` does.
"""

import collections
import heapq
import itertools
import random
from collections.abc import Callable

import msgspec

from catkinspread.admission.controller import AdmissionController
from catkinspread.admission.settings import AdmissionSettings
from catkinspread.admission.settling import has_many_recent_starts
from catkinspread.admission.types import RouteDemand, ServiceRoom
from catkinspread.deployment import RequestKind, Route, ServiceAddress, ServiceShare
from catkinspread.forwarding.admission_policy import AdmissionVerdict, AdmitAll

SERVICE = "shop"
# Each upstream works on 2 requests and queues 8; it rejects others.
WORK_SLOTS = 2
QUEUE_MAX = 8
# 3% of the requests take 7 times as long.
TAIL_INTERVAL = 33
TAIL_FACTOR = 7
MEAN_WORK_FACTOR = 1 + (TAIL_FACTOR - 1) / TAIL_INTERVAL
# The work of the routes in the absence of the tail.
PLAIN_WORK_MS = {"checkout": 40.0, "browse": 40.0, "search": 60.0, "batch": 80.0}
# Share of each route in the offered work.
WORK_MIX = {"checkout": 0.15, "browse": 0.35, "search": 0.25, "batch": 0.25}
RETRIES_MAX = 2
RETRY_DELAY_MS = (50.0, 150.0)
UPDATE_INTERVAL_MS = 250
SUMMARY_LIFETIME_MS = 3_000
# Placement compares this many random upstreams.
PLACEMENT_CHOICES = 3


def build_route(name: str, priority: int, timeout_ms: int, objective_ms: int) -> Route:
    """Returns a route to the service of the play."""
    shares = (ServiceShare(SERVICE, 1.0),)
    address = ServiceAddress(1, 80)
    kind = RequestKind.IDEMPOTENT
    return Route(name, address, shares, kind, timeout_ms, priority, objective_ms)


ROUTES = (
    build_route("checkout", 1, 2_000, 500),
    build_route("browse", 2, 2_000, 500),
    build_route("search", 2, 3_000, 1_000),
    build_route("batch", 3, 5_000, 2_000),
)
TOP_PRIORITY = 1
WORK_MS = {name: work_ms * MEAN_WORK_FACTOR for name, work_ms in PLAIN_WORK_MS.items()}


class Request:
    """A request of a caller with its outcome."""

    __slots__ = (
        "answered_ms",
        "attempts",
        "data_centre",
        "ip",
        "is_refused_first",
        "route",
        "started_at_ms",
    )

    def __init__(self, route: Route, data_centre: int, ip: int, now_ms: float) -> None:
        self.route = route
        self.data_centre = data_centre
        self.ip = ip
        self.started_at_ms = now_ms
        self.attempts = 0
        self.is_refused_first = False
        # Time from the start to the answer; None without an answer before the time-out.
        self.answered_ms: float | None = None

    @property
    def weight(self) -> int:
        """Value of an answer within the objective."""
        return 2 if self.route.priority == TOP_PRIORITY else 1

    @property
    def value(self) -> float:
        """Value that the caller got."""
        if self.answered_ms is None:
            return 0.0
        return self.weight * (1.0 if self.is_within_objective else 0.5)

    @property
    def is_within_objective(self) -> bool:
        """Whether it was answered within the objective."""
        return self.answered_ms is not None and self.answered_ms <= self.route.objective_ms


class Upstream:
    """An upstream with WORK_SLOTS work slots and a queue of QUEUE_MAX requests."""

    __slots__ = ("busy", "data_centre", "queue")

    def __init__(self, data_centre: int) -> None:
        self.data_centre = data_centre
        self.busy = 0
        self.queue: collections.deque[tuple[Request, Instance, int]] = collections.deque()

    @property
    def in_flight(self) -> int:
        """Requests that it has not answered."""
        return self.busy + len(self.queue)


class Summary(msgspec.Struct):
    """Openings in the last second by route, and requests in flight by data centre."""

    sent_at_ms: float
    openings: list[float]
    in_flight: list[float]


class Instance:
    """An instance; also the demand meter, work estimator and room view of its controller."""

    def __init__(self, play: "Play", data_centre: int, settings: AdmissionSettings | None) -> None:
        self.play = play
        self.data_centre = data_centre
        self.in_flight = [0] * play.data_centre_count
        self.openings = {route.name: collections.deque[float]() for route in ROUTES}
        self.summaries: dict[Instance, Summary] = {}
        self.aggregates: dict[int, Summary] = {}
        self.total: tuple[Summary, int] | None = None
        self.is_cut_off = False
        # Those of the beginning have been running for long.
        self.started_at_ms = play.now_ms if play.now_ms > play.start_ms else 0.0
        self.policy: AdmissionController | AdmitAll = AdmitAll()
        if settings is not None:
            self.policy = AdmissionController(self, settings, self, self)
            self.policy.replace_routes(ROUTES)

    def record_opening(self, route: Route, now_ms: float) -> None:
        self.openings[route.name].append(now_ms)

    def record_response(self, *_: object) -> None:
        """Learns nothing; the work is known."""

    def summarise(self, now_ms: float) -> Summary:
        for times in self.openings.values():
            while times and times[0] <= now_ms - 1_000:
                times.popleft()
        counts = [float(len(times)) for times in self.openings.values()]
        return Summary(now_ms, counts, list(map(float, self.in_flight)))

    def aggregate(self, now_ms: float) -> tuple[Summary, int]:
        """Returns the sum over the own data centre and the number of instances heard from."""
        fresh_from_ms = now_ms - SUMMARY_LIFETIME_MS
        heard = [s for s in self.summaries.values() if s.sent_at_ms > fresh_from_ms]
        heard.append(self.summarise(now_ms))
        factor = len(self.play.list_instances(self.data_centre)) / len(heard)
        openings = [
            factor * sum(counts) for counts in zip(*(s.openings for s in heard), strict=True)
        ]
        in_flight = [
            factor * sum(counts) for counts in zip(*(s.in_flight for s in heard), strict=True)
        ]
        return Summary(min(s.sent_at_ms for s in heard), openings, in_flight), len(heard)

    def estimate(self, service: str, now_ms: int) -> ServiceRoom:
        local, heard_count = self.total
        reachable = self.play.list_reachable(self.data_centre)
        parts = [local]
        for data_centre in reachable - {self.data_centre}:
            total = self.aggregates.get(data_centre)
            is_fresh = total is not None and total.sent_at_ms > now_ms - SUMMARY_LIFETIME_MS
            # A data centre that has not been heard from is assumed to be as loaded as the own one.
            parts.append(total if is_fresh else local)
        demands = []
        for index, route in enumerate(ROUTES):
            work_ms = self.play.work_error * WORK_MS[route.name]
            offered = work_ms * sum(part.openings[index] for part in parts)
            demands.append(RouteDemand(route.name, service, route.priority, work_ms, offered, 0.0))
        known_count = len(self.play.list_instances(self.data_centre))
        return ServiceRoom(
            service,
            WORK_SLOTS * sum(u.data_centre in reachable for u in self.play.upstreams),
            sum(part.in_flight[centre] for part in parts for centre in reachable),
            tuple(demands),
            int(now_ms - min(part.sent_at_ms for part in parts)),
            heard_count < known_count / 2,
            self._is_settling(now_ms),
        )

    def _is_settling(self, now_ms: float) -> bool:
        mates = [i for i in self.play.list_instances(self.data_centre) if i is not self]
        return has_many_recent_starts(self.started_at_ms, [i.started_at_ms for i in mates], now_ms)


class Play:
    """Plays callers against instances and upstreams.

    Args:
        instance_count: Instances, spread evenly over the data centres.
        demand: Offered work by data centre and time in ms, as a factor of the room of one data
            centre while all upstreams work.
        settings: Settings of the controllers; None to send plainly.
        upstream_count: Upstreams of each data centre.
        data_centre_count: Data centres.
        work_error: Learned work relative to the true one.
        seed: Seed of all random choices.
    """

    def __init__(
        self,
        instance_count: int,
        demand: Callable[[int, float], float],
        settings: AdmissionSettings | None,
        upstream_count: int = 8,
        data_centre_count: int = 3,
        work_error: float = 1.0,
        seed: int = 1,
    ) -> None:
        self.data_centre_count = data_centre_count
        self.work_error = work_error
        self.now_ms = 1_000_000.0
        self.start_ms = self.now_ms
        self.requests: list[Request] = []
        self.rejected_count = 0
        self.changes: list[object] = []
        self.lost_summaries = False
        # Data centres that are lost with all that is in them, and those cut off from the others.
        self.lost: set[int] = set()
        self.separated: set[int] = set()
        self.rng = random.Random(seed)
        self._settings = settings
        self._demand = demand
        self._upstream_count = upstream_count
        self._events: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self._sequence = itertools.count()
        self._served_counts = collections.Counter[str]()
        self.upstreams = [
            Upstream(n % data_centre_count) for n in range(upstream_count * data_centre_count)
        ]
        self.instances = [
            Instance(self, n % data_centre_count, settings) for n in range(instance_count)
        ]
        for number in range(instance_count):
            self._schedule(self.rng.uniform(0, UPDATE_INTERVAL_MS), self._update, number)
        for centre in range(data_centre_count):
            for route in ROUTES:
                self._schedule(0.0, self._arrive, route, centre, False)

    @property
    def room_ms_per_s(self) -> float:
        """Room of all upstreams that are not lost."""
        return 1_000.0 * WORK_SLOTS * sum(u.data_centre not in self.lost for u in self.upstreams)

    def run(self, duration_ms: float) -> None:
        """Plays for a time."""
        end_ms = self.now_ms + duration_ms
        while self._events[0][0] < end_ms:
            self.now_ms, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        self.now_ms = end_ms

    def list_instances(self, data_centre: int) -> list[Instance]:
        return [instance for instance in self.instances if instance.data_centre == data_centre]

    def list_reachable(self, data_centre: int) -> set[int]:
        """Returns the data centres whose upstreams can be reached from one."""
        if data_centre in self.separated:
            return {data_centre}
        return set(range(self.data_centre_count)) - self.lost - self.separated

    def join(self, data_centre: int) -> None:
        """Adds an instance."""
        self.instances.append(Instance(self, data_centre, self._settings))
        self._schedule(UPDATE_INTERVAL_MS, self._update, len(self.instances) - 1)

    def restart(self, number: int) -> None:
        """Kills an instance and starts a new one in its place; answers go on."""
        old = self.instances[number]
        self.instances[number] = Instance(self, old.data_centre, self._settings)

    def _schedule(self, delay_ms: float, function: Callable[..., None], *arguments: object) -> None:
        event = (self.now_ms + delay_ms, next(self._sequence), function, arguments)
        heapq.heappush(self._events, event)

    def _arrive(self, route: Route, centre: int, is_request: bool) -> None:
        room = 1_000.0 * WORK_SLOTS * self._upstream_count
        factor = self._demand(centre, self.now_ms - self.start_ms)
        if is_request:
            request = Request(route, centre, self.rng.getrandbits(32), self.now_ms)
            self.requests.append(request)
            self._attempt(request)
        rate_per_ms = factor * room * WORK_MIX[route.name] / WORK_MS[route.name] / 1_000
        # Without demand, looks again after the interval of updates.
        delay_ms = self.rng.expovariate(rate_per_ms) if rate_per_ms > 0 else UPDATE_INTERVAL_MS
        self._schedule(delay_ms, self._arrive, route, centre, rate_per_ms > 0)

    def _attempt(self, request: Request) -> None:
        centre = request.data_centre
        if centre in self.lost:
            centre = self.rng.choice(
                [c for c in range(self.data_centre_count) if c not in self.lost]
            )
        instance = self.rng.choice(self.list_instances(centre))
        request.attempts += 1
        verdict = instance.policy.decide(request.route, request.ip, 0, int(self.now_ms))
        if verdict is not AdmissionVerdict.ADMITTED:
            request.is_refused_first |= request.attempts == 1
            self._retry(request)
            return
        reachable = self.list_reachable(centre)
        usable = [u for u in self.upstreams if u.data_centre in reachable]
        sampled = self.rng.sample(usable, min(PLACEMENT_CHOICES, len(usable)))
        upstream = min(sampled, key=lambda u: u.in_flight)
        if upstream.in_flight >= WORK_SLOTS + QUEUE_MAX:
            self.rejected_count += 1
            self._retry(request)
            return
        instance.in_flight[upstream.data_centre] += 1
        upstream.queue.append((request, instance, upstream.in_flight + 1))
        self._work(upstream)

    def _retry(self, request: Request) -> None:
        if request.attempts <= RETRIES_MAX:
            self._schedule(self.rng.uniform(*RETRY_DELAY_MS), self._attempt, request)

    def _work(self, upstream: Upstream) -> None:
        while upstream.queue and upstream.busy < WORK_SLOTS:
            request, instance, occupied = upstream.queue.popleft()
            name = request.route.name
            self._served_counts[name] += 1
            is_long = self._served_counts[name] % TAIL_INTERVAL == 0
            work_ms = PLAIN_WORK_MS[name] * (TAIL_FACTOR if is_long else 1)
            upstream.busy += 1
            self._schedule(work_ms, self._answer, upstream, request, instance, occupied)

    def _answer(
        self, upstream: Upstream, request: Request, instance: Instance, occupied: int
    ) -> None:
        upstream.busy -= 1
        instance.in_flight[upstream.data_centre] -= 1
        response_ms = self.now_ms - request.started_at_ms
        instance.policy.record_response(request.route, int(response_ms), occupied, WORK_SLOTS)
        if response_ms <= request.route.timeout_ms and upstream.data_centre not in self.lost:
            request.answered_ms = response_ms
        self._work(upstream)

    def _update(self, number: int) -> None:
        instance = self.instances[number]
        self._schedule(UPDATE_INTERVAL_MS, self._update, number)
        if instance.data_centre in self.lost or not isinstance(
            instance.policy, AdmissionController
        ):
            return
        instance.total = instance.aggregate(self.now_ms)
        self.changes += instance.policy.update(int(self.now_ms))
        if instance.is_cut_off or self.lost_summaries:
            return
        mates = [i for i in self.list_instances(instance.data_centre) if i is not instance]
        own = instance.summarise(self.now_ms)
        limited = instance.policy.list_limited_services()
        for mate in self.rng.sample(mates, min(2, len(mates))):
            if not mate.is_cut_off:
                mate.summaries[instance] = own
                mate.policy.record_remote_limits(limited, int(self.now_ms))
        total, _ = instance.total
        for centre in self.list_reachable(instance.data_centre) - {instance.data_centre}:
            other = self.rng.choice(self.list_instances(centre))
            other.aggregates[instance.data_centre] = Summary(
                self.now_ms, total.openings, total.in_flight
            )
            other.policy.record_remote_limits(limited, int(self.now_ms))


class Outcome(msgspec.Struct):
    """What callers got whose requests started in a part of a play.

    Attributes:
        value: Value of the answers.
        best_value: Value of the best possible answers with full knowledge.
        within_objective: Share answered within the objective by priority.
        answered: Share answered in time by priority.
        refused: Share of requests whose first flow was refused, in each second.
        lowest_work_share: Work of answered requests of the lowest priority, as a share of the room.
        answered_by_data_centre: Share answered in time by data centre of the caller.
    """

    value: float
    best_value: float
    within_objective: dict[int, float]
    answered: dict[int, float]
    refused: list[float]
    lowest_work_share: float
    answered_by_data_centre: dict[int, float]


def measure(play: Play, from_ms: float, to_ms: float) -> Outcome:
    """Measures the requests that started in a part of a play, in ms after its start."""
    requests = [r for r in play.requests if from_ms <= r.started_at_ms - play.start_ms < to_ms]
    best_value = 0.0
    for second in range(int(from_ms // 1_000), int(to_ms // 1_000)):
        start_ms = play.start_ms + 1_000 * second
        started = [r for r in requests if start_ms <= r.started_at_ms < start_ms + 1_000]
        # The best possible serves the most valuable requests for their work first.
        room_ms = play.room_ms_per_s
        for request in sorted(started, key=lambda r: WORK_MS[r.route.name] / r.weight):
            room_ms -= WORK_MS[request.route.name]
            if room_ms >= 0:
                best_value += request.weight
    return Outcome(
        sum(request.value for request in requests),
        best_value,
        _share_by(requests, lambda r: r.route.priority, lambda r: r.is_within_objective),
        _share_by(requests, lambda r: r.route.priority, lambda r: r.answered_ms is not None),
        list(
            _share_by(
                requests,
                lambda r: int(r.started_at_ms - play.start_ms) // 1_000,
                lambda r: r.is_refused_first,
            ).values()
        ),
        sum(WORK_MS[r.route.name] for r in requests if r.answered_ms and r.route is ROUTES[-1])
        / (play.room_ms_per_s * (to_ms - from_ms) / 1_000),
        _share_by(requests, lambda r: r.data_centre, lambda r: r.answered_ms is not None),
    )


def _share_by(
    requests: list[Request],
    get_group: Callable[[Request], int],
    counts: Callable[[Request], bool],
) -> dict[int, float]:
    totals = collections.Counter(map(get_group, requests))
    counted = collections.Counter(get_group(request) for request in requests if counts(request))
    return {group: counted[group] / totals[group] for group in sorted(totals)}
