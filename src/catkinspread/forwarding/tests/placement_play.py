"""Simulation of callers, instances and upstreams around the placement, without network or clock."""

import collections
import heapq
import random
from collections.abc import Callable

import msgspec

from catkinspread.deployment import DeploymentState, KnownUpstream
from catkinspread.forwarding import ColdStartLimiter, FlowKey, LoadTracker, Placement
from catkinspread.forwarding.tests.builders import (
    ORDERS_ADDRESS,
    SERVICE,
    START_MS,
    build_configuration,
    build_upstream,
)

DATA_CENTRES = ("east", "west", "north")
WORK_SLOTS = 2
# An upstream queues this many requests and rejects others quickly.
QUEUE_MAX = 8
# Three per cent of the requests take seven times as long.
TAIL_SHARE = 0.03
TAIL_MULTIPLE = 7
FAST_FAILURE_MS = 2
LOCAL_ROUND_TRIP_MS = 6
REMOTE_ROUND_TRIP_MS = 26
# As of `LoadReporter`, and of the room summaries under load with the time that they take to arrive.
REPORT_INTERVAL_MS = 40
REPORT_RECIPIENTS = 8
SUMMARY_INTERVAL_MS = 250
SUMMARY_DELAY_MS = 500


class Outcome(msgspec.Struct):
    """A request: when and where it was placed and its response time; None if it failed.

    `is_held_up` tells whether it is a long request that waited for another long one although its
    instance knew of a free slot in the data centre when it was placed.
    """

    at_ms: int
    origin: str
    upstream: str
    target: str
    response_ms: float | None = None
    is_held_up: bool = False


class PreviousPlacement:
    """The choice of the version before `ServiceEstimates`, to compare with."""

    def __init__(
        self, data_centre: str, state: DeploymentState, loads: LoadTracker, rng: random.Random
    ) -> None:
        self._data_centre, self._state, self._loads, self._rng = data_centre, state, loads, rng
        self._averages: dict[str, tuple[float, int]] = collections.defaultdict(lambda: (45.0, 0))

    def choose(self, now_ms: int) -> KnownUpstream:
        best = min(
            self._state.list_eligible_upstreams(SERVICE),
            key=lambda upstream: self._rank(upstream, now_ms),
        )
        self._loads.get(best.name).last_placed_at_ms = now_ms
        return best

    def record_response(self, name: str, response_ms: int, now_ms: int) -> None:
        current_ms = self._find_average_ms(name, now_ms)
        self._averages[name] = (current_ms + 0.2 * (response_ms - current_ms), now_ms)

    def _find_average_ms(self, name: str, now_ms: int) -> float:
        average_ms, sampled_at_ms = self._averages[name]
        return 45.0 + (average_ms - 45.0) * 0.5 ** ((now_ms - sampled_at_ms) / 1_500)

    def _rank(self, upstream: KnownUpstream, now_ms: int) -> tuple[float, int, float]:
        record, load = upstream.record, self._loads.get(upstream.name)
        occupied = 0.7 * (load.in_flight + load.peer_in_flight)
        rounds = max(0.0, occupied + 1 - record.work_slots) / record.work_slots
        estimate_ms = (rounds + 1) * self._find_average_ms(upstream.name, now_ms)
        penalty_ms = 0.0 if record.data_centre == self._data_centre else 25.0
        return round(estimate_ms / 5) * 5 + penalty_ms, load.last_placed_at_ms, self._rng.random()


class CurrentPlacement:
    """The placement under test behind the interface of `PreviousPlacement`."""

    def __init__(self, placement: Placement, state: DeploymentState, loads: LoadTracker) -> None:
        self.placement, self._state, self._loads = placement, state, loads

    def choose(self, now_ms: int) -> KnownUpstream:
        route = self._state.find_route(ORDERS_ADDRESS)
        choice = self.placement.choose(route, FlowKey(1, 1, ORDERS_ADDRESS), now_ms)
        return choice.upstream

    def record_response(self, name: str, response_ms: int, now_ms: int) -> None:
        self._loads.get(name).record_response_time(response_ms, now_ms)


class PlacementPlay:
    """Plays requests against upstreams that work on two at a time.

    Args:
        work_ms: Work of a request on each upstream of a data centre, in ms.
        instance_count: Instances of each data centre.
        demand: Returns the requests per second of a data centre at a time since the start in ms.
        is_current: Whether the placement under test chooses, or else the previous one.
        failing: Part of its requests that an upstream fails fast, by name.
    """

    def __init__(
        self,
        work_ms: tuple[int, ...],
        instance_count: int,
        demand: Callable[[str, int], float],
        is_current: bool,
        failing: dict[str, float] | None = None,
        seed: int = 1,
    ) -> None:
        self._rng = random.Random(seed)
        self._demand, self._is_current, self._failing = demand, is_current, failing or {}
        self.state = DeploymentState(flow_lifetime_max_ms=60_000)
        self.state.put_configuration(build_configuration())
        self._work_ms: dict[str, int] = {}
        for data_centre in DATA_CENTRES:
            for index, value in enumerate(work_ms):
                name = f"{data_centre}-{index}"
                self._work_ms[name] = value
                self.state.put_upstream(build_upstream(name, data_centre), 0)
        self._instances = {
            name: [self._build_instance(name) for _ in range(instance_count)]
            for name in DATA_CENTRES
        }
        # End of each request of an upstream, and whether it is a long one.
        self._queues: dict[str, list[tuple[float, bool]]] = {name: [] for name in self._work_ms}
        self._summaries: list[tuple[int, dict[str, float]]] = []
        self._events: list[tuple[float, int, Callable[[int], None]]] = []
        self._number = 0
        self.outcomes: list[Outcome] = []

    def find_occupancy(self, service: str, data_centre: str, now_ms: int) -> float | None:
        """Returns the requests in flight per work slot as a late summary tells them."""
        arrived = [figures for at_ms, figures in self._summaries if at_ms <= now_ms]
        return arrived[-1][data_centre] if arrived else None

    def at(self, at_ms: int, action: Callable[[], object]) -> None:
        """Calls a function at a time since the start in ms."""
        self._schedule(START_MS + at_ms, lambda now_ms: action())

    def run(self, duration_ms: int) -> list[Outcome]:
        """Plays for a time and returns the requests."""
        for now_ms in range(START_MS, START_MS + duration_ms):
            while self._events and self._events[0][0] <= now_ms:
                heapq.heappop(self._events)[2](now_ms)
            for data_centre in DATA_CENTRES:
                per_ms = self._demand(data_centre, now_ms - START_MS) / 1_000
                while self._rng.random() < per_ms / (1 + per_ms):
                    self._place(data_centre, now_ms)
            if now_ms % REPORT_INTERVAL_MS == 0:
                self._send_reports(now_ms)
            if now_ms % SUMMARY_INTERVAL_MS == 0:
                self._send_summary(now_ms)
        return self.outcomes

    def _build_instance(
        self, data_centre: str
    ) -> tuple[CurrentPlacement | PreviousPlacement, LoadTracker]:
        loads, rng = LoadTracker(), random.Random(self._rng.random())
        if not self._is_current:
            return PreviousPlacement(data_centre, self.state, loads, rng), loads
        limiter = ColdStartLimiter(1, rng)
        placement = Placement(data_centre, self.state, loads, limiter, rng, occupancies=self)
        return CurrentPlacement(placement, self.state, loads), loads

    def _place(self, origin: str, now_ms: int) -> None:
        placement, loads = self._rng.choice(self._instances[origin])
        upstream = placement.choose(now_ms)
        name, target = upstream.name, upstream.record.data_centre
        round_trip_ms = LOCAL_ROUND_TRIP_MS if target == origin else REMOTE_ROUND_TRIP_MS
        if isinstance(placement, CurrentPlacement):
            placement.placement.handshakes.record(target, round_trip_ms)
        knows_free = any(
            loads.get(other).in_flight + loads.get(other).peer_in_flight < WORK_SLOTS
            for other in self._work_ms
            if other.startswith(target)
        )
        loads.get(name).in_flight += 1
        outcome = Outcome(now_ms - START_MS, origin, name, target)
        self.outcomes.append(outcome)

        def begin(at_ms: int) -> None:
            served_ms, is_success = self._serve(outcome, knows_free, at_ms)
            self._schedule(
                at_ms + served_ms + round_trip_ms, lambda end_ms: finish(end_ms, is_success)
            )

        def finish(at_ms: int, is_success: bool) -> None:
            loads.get(name).in_flight -= 1
            placement.record_response(name, at_ms - now_ms - round_trip_ms, at_ms)
            if is_success:
                outcome.response_ms = at_ms - now_ms

        self._schedule(now_ms + round_trip_ms, begin)

    def _serve(self, outcome: Outcome, knows_free: bool, now_ms: int) -> tuple[float, bool]:
        """Returns the time from the arrival to the end of a request, and its success."""
        name = outcome.upstream
        queue = self._queues[name] = [entry for entry in self._queues[name] if entry[0] > now_ms]
        is_failing = self._rng.random() < self._failing.get(name, 0.0)
        if is_failing or len(queue) >= WORK_SLOTS + QUEUE_MAX:
            return FAST_FAILURE_MS, False
        is_long = self._rng.random() < TAIL_SHARE
        begin_ms, is_behind_long = float(now_ms), False
        if len(queue) >= WORK_SLOTS:
            begin_ms, is_behind_long = sorted(queue)[-WORK_SLOTS]
        outcome.is_held_up = is_long and is_behind_long and knows_free
        work_ms = self._work_ms[name] * self._rng.uniform(0.8, 1.2)
        end_ms = begin_ms + work_ms * (TAIL_MULTIPLE if is_long else 1)
        queue.append((end_ms, is_long))
        return end_ms - now_ms, True

    def _schedule(self, at_ms: float, action: Callable[[int], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (at_ms, self._number, action))

    def _send_reports(self, now_ms: int) -> None:
        for instances in self._instances.values():
            for index, (_, loads) in enumerate(instances):
                others = [other for other, _ in enumerate(instances) if other != index]
                self._rng.shuffle(others)
                load = loads.list_in_flight()
                for other in others[:REPORT_RECIPIENTS]:
                    instances[other][1].apply_report(str(index), now_ms, load, now_ms)
                loads.expire_reports(now_ms)

    def _send_summary(self, now_ms: int) -> None:
        figures = dict.fromkeys(DATA_CENTRES, 0.0)
        for instances in self._instances.values():
            for _, loads in instances:
                for name, count in loads.list_in_flight().items():
                    figures[name.split("-")[0]] += count
        slots = WORK_SLOTS * len(self._work_ms) / len(DATA_CENTRES)
        summary = {name: count / slots for name, count in figures.items()}
        self._summaries = [*self._summaries[-3:], (now_ms + SUMMARY_DELAY_MS, summary)]
