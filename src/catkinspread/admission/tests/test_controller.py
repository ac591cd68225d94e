"""Decisions about flows, their counts and the reported changes."""

import msgspec
import pytest

from catkinspread.admission.controller import AdmissionController
from catkinspread.admission.service_level import MINOR_DEMAND_SHARE, REMOTE_LIMIT_LIFETIME_MS
from catkinspread.admission.settings import AdmissionMode, AdmissionSettings
from catkinspread.admission.tests.load_play import SERVICE, build_route
from catkinspread.admission.types import RouteDemand, ServiceRoom
from catkinspread.deployment import Route
from catkinspread.forwarding.admission_policy import AdmissionInputs, AdmissionVerdict

ADMITTED, NO_ROOM, TOO_LATE = AdmissionVerdict
HIGH = build_route("high", 1, 1_000, 500)
LOW = build_route("low", 2, 1_000, 500)
CALLERS = range(1_000, 1_400)


class _Harness:
    """A controller with a room that tests set; also its demand meter and work estimator."""

    def __init__(self, mode: AdmissionMode = AdmissionMode.AUTO) -> None:
        self.now_ms = 1_000_000
        self.occupancy = 1.0
        self.slots = 10.0
        self.offered_ms_per_s = {HIGH: 5_000.0, LOW: 10_000.0}
        self.openings: list[Route] = []
        self.estimate_count = 0
        self.learned: list[Route] = []
        self.is_settling = False
        self.is_estimate = False
        self.age_ms = 250
        self.controller = AdmissionController(self, AdmissionSettings(mode=mode), self, self)
        self.controller.replace_routes([HIGH, LOW])
        self.changes: list[object] = []

    def estimate(self, service: str, now_ms: int) -> ServiceRoom:
        self.estimate_count += 1
        demands = tuple(
            RouteDemand(route.name, service, route.priority, 100.0, offered, 0.0)
            for route, offered in self.offered_ms_per_s.items()
        )
        in_flight = self.occupancy * self.slots
        return ServiceRoom(
            service,
            self.slots,
            in_flight,
            demands,
            0 if self.is_estimate else self.age_ms,
            self.is_estimate,
            self.is_settling,
        )

    def record_opening(self, route: Route, now_ms: int) -> None:
        self.openings.append(route)

    def record_request(self, route: Route, is_first: bool, now_ms: int) -> None:
        pass

    def record_response(self, route: Route, *_: object) -> None:
        self.learned.append(route)

    def decide(self, route: Route, caller_ip: int, copy: int = 0) -> AdmissionVerdict:
        return self.controller.decide(route, caller_ip, copy, self.now_ms)

    def update(self, count: int = 1) -> None:
        for _ in range(count):
            self.now_ms += 250
            self.changes += self.controller.update(self.now_ms)

    def limit(self, occupancy: float = 2.0) -> None:
        """Makes the service limited."""
        self.decide(HIGH, 1)
        self.occupancy = occupancy
        self.update(2)


def test_service_becomes_limited_after_two_updates_and_is_released_after_a_second() -> None:
    """Guards against a limit that flaps with short queues."""
    harness = _Harness()
    harness.offered_ms_per_s = {HIGH: 4_000.0, LOW: 4_000.0}
    harness.decide(HIGH, 1)
    for occupancy in (2.0, 1.0, 2.0):
        harness.occupancy = occupancy
        harness.update()
        assert not harness.controller.list_services()[0].is_limited
    harness.update()
    assert harness.controller.list_services()[0].is_limited
    harness.occupancy = 1.0
    harness.update(4)
    assert harness.controller.list_services()[0].is_limited
    harness.update()
    assert not harness.controller.list_services()[0].is_limited


def test_lower_priority_is_refused_by_its_share() -> None:
    """Guards against refusals of the highest priority, and a share that isn't kept."""
    harness = _Harness()
    assert {harness.decide(LOW, ip) for ip in CALLERS} == {ADMITTED}
    harness.limit()
    assert {harness.decide(HIGH, ip) for ip in CALLERS} == {ADMITTED}
    verdicts = [harness.decide(LOW, ip) for ip in CALLERS]
    assert 0.4 < verdicts.count(ADMITTED) / len(verdicts) < 0.6
    # An admitted caller stays admitted with the next flow.
    assert verdicts == [harness.decide(LOW, ip) for ip in CALLERS]
    routes = {route.route: route for route in harness.controller.list_routes()}
    assert routes["low"].counts[NO_ROOM] == 2 * verdicts.count(NO_ROOM)
    assert routes["low"].counts[ADMITTED] == len(CALLERS) + 2 * verdicts.count(ADMITTED)
    assert routes["high"].share == 1.0


def test_copies_get_the_decision_of_the_first_and_are_no_demand() -> None:
    """Guards against a flow that is refused after it was opened, and counted several times."""
    harness = _Harness()
    assert harness.decide(LOW, 5) is ADMITTED
    harness.limit()
    assert harness.decide(LOW, 5, copy=1) is ADMITTED
    harness.update()
    verdicts = {ip: harness.decide(LOW, ip) for ip in CALLERS}
    counted = len(harness.openings)
    harness.offered_ms_per_s[LOW] = 100_000.0
    harness.update()
    assert {ip: harness.decide(LOW, ip, copy=1) for ip in CALLERS} == verdicts
    harness.occupancy = 0.0
    harness.offered_ms_per_s[LOW] = 0.0
    harness.update(3)
    assert {ip: harness.decide(LOW, ip, copy=2) for ip in CALLERS} == verdicts
    assert len(harness.openings) == counted


def test_copy_without_a_first_is_decided_by_the_share() -> None:
    """Guards against callers whose first packet was lost and who pass the limit with a copy."""
    harness = _Harness()
    harness.limit()
    harness.update(8)
    verdicts = [harness.decide(LOW, ip, copy=1) for ip in CALLERS]
    assert 0 < verdicts.count(NO_ROOM) < len(verdicts)


def test_limit_ends_when_demand_falls_before_the_summaries_show_it() -> None:
    """Guards against refusals for seconds after the end of a burst."""
    harness = _Harness()
    harness.decide(HIGH, 1)
    for _ in range(4):
        for caller in CALLERS:
            harness.decide(HIGH, caller)
        harness.update()
    harness.limit(occupancy=4.0)
    for _ in range(8):
        for caller in CALLERS:
            harness.decide(HIGH, caller)
        harness.controller.record_response(HIGH, 100, 1, 2)
        harness.update()
    assert harness.controller.list_limited_services() == (SERVICE,)
    # The room stays as the old summaries tell it.
    harness.age_ms = 2_500
    for _ in range(6):
        for caller in CALLERS[:20]:
            harness.decide(HIGH, caller)
            harness.controller.record_response(HIGH, 100, 1, 2)
        harness.update()
    assert harness.controller.list_limited_services() == ()


@pytest.mark.parametrize("checks_ms_per_s", [10.0, 600.0])
def test_highest_priority_keeps_its_room_beside_small_checks(checks_ms_per_s: float) -> None:
    """Guards against refusing the main traffic because a small route has a higher priority."""
    harness = _Harness()
    check = build_route("check", 0, 1_000, 500)
    harness.controller.replace_routes([check, HIGH, LOW])
    harness.offered_ms_per_s[check] = checks_ms_per_s
    harness.limit(occupancy=8.0)
    is_minor = checks_ms_per_s < MINOR_DEMAND_SHARE * 1_000 * harness.slots
    verdicts = {harness.decide(HIGH, caller) for caller in CALLERS}
    assert (verdicts == {ADMITTED}) is is_minor
    assert {harness.decide(check, caller) for caller in CALLERS} == {ADMITTED}


def test_flow_that_cannot_be_answered_in_time_is_refused() -> None:
    """Guards against work for callers who have given up when the answer comes."""
    harness = _Harness()
    # Waits 3.5 works of 100 ms, then 100 ms of work: 450 ms, and the timeout is 1,000 ms.
    harness.limit(occupancy=4.5)
    assert harness.decide(HIGH, 7) is ADMITTED
    assert harness.decide(HIGH, 7, copy=1) is ADMITTED
    assert harness.decide(HIGH, 7, copy=2) is TOO_LATE
    assert harness.decide(HIGH, 7, copy=2) is TOO_LATE
    counts = harness.controller.list_routes()[0].counts
    assert counts[TOO_LATE] == 1


def test_route_without_a_time_out_has_no_deadline() -> None:
    """Guards against a limited service that refuses each flow of a route without a time-out."""
    harness = _Harness()
    harness.limit(occupancy=4.5)
    without_timeout = msgspec.structs.replace(HIGH, timeout_ms=0)
    assert harness.decide(without_timeout, 7) is ADMITTED
    assert harness.decide(without_timeout, 7, copy=2) is ADMITTED


def test_work_is_not_learned_while_the_service_is_busy() -> None:
    """Guards against time in queues that counts as work, and refusals that it causes.

    An instance sees a part of the load only, so that a request that queued may seem not to.
    """
    harness = _Harness()
    harness.limit(occupancy=1.0)
    harness.controller.record_response(LOW, 40, 1, 2)
    assert harness.learned == [LOW]
    harness.limit(occupancy=1.1)
    assert not harness.controller.list_services()[0].is_limited
    harness.controller.record_response(LOW, 90, 1, 2)
    harness.limit()
    harness.controller.record_response(LOW, 90, 1, 2)
    assert harness.learned == [LOW]


@pytest.mark.parametrize("is_estimate", [False, True])
def test_callers_who_return_after_a_loss_are_not_refused(is_estimate: bool) -> None:
    """Guards against refusals in a surge that queues absorb, and a limit that never starts."""
    harness = _Harness()
    harness.is_estimate = is_estimate
    harness.decide(HIGH, 1)
    harness.is_settling = True
    harness.occupancy = 6.0
    harness.update(20)
    assert harness.controller.list_limited_services() == ()
    harness.is_settling = False
    harness.update()
    assert harness.controller.list_limited_services() == (SERVICE,)


def test_restarted_instance_takes_over_the_limit_of_others() -> None:
    """Guards against an instance that admits everything while the others refuse callers.

    Without queues, nothing is limited: the others may end their limit at any time.
    """
    harness = _Harness()
    harness.decide(HIGH, 1)
    harness.is_settling = True
    harness.controller.record_remote_limits(["other", SERVICE], harness.now_ms)
    harness.update()
    assert harness.controller.list_limited_services() == ()
    harness.occupancy = 2.0
    harness.update()
    assert harness.controller.list_limited_services() == (SERVICE,)


@pytest.mark.parametrize(("extra_updates", "expected"), [(1, ()), (2, (SERVICE,))])
def test_limit_of_others_is_forgotten(extra_updates: int, expected: tuple[str, ...]) -> None:
    """Guards against a limit that instances take over from one that ended it long ago."""
    harness = _Harness()
    harness.decide(HIGH, 1)
    harness.is_settling = True
    harness.controller.record_remote_limits([SERVICE], harness.now_ms)
    harness.update(REMOTE_LIMIT_LIFETIME_MS // 250 - extra_updates)
    harness.occupancy = 2.0
    harness.update()
    assert harness.controller.list_limited_services() == expected


def test_changes_have_their_inputs_and_are_at_most_one_per_second() -> None:
    """Guards against a flood of log lines, and lines that don't explain the change."""
    harness = _Harness()
    harness.limit()
    (change,) = harness.changes
    assert (change.service, change.is_limited, change.slots) == (SERVICE, True, 10.0)
    assert (change.in_flight, change.age_ms, change.is_estimate) == (20.0, 250, False)
    assert change.demand_ms_per_s == {1: 5_000.0, 2: 10_000.0}
    assert harness.controller.list_services()[0].last_change is change
    for step in range(16):
        harness.offered_ms_per_s[LOW] = 20_000.0 if step % 2 else 6_000.0
        harness.update()
    assert 2 <= len(harness.changes) <= 5
    harness.update(20)
    count = len(harness.changes)
    harness.update(20)
    assert len(harness.changes) == count


def test_mode_selects_services() -> None:
    """Guards against limits that were switched off, or on services without priorities."""
    for mode, is_listed in (
        (AdmissionMode.AUTO, False),
        (AdmissionMode.ALWAYS, True),
        (AdmissionMode.OFF, False),
    ):
        controller = _Harness(mode).controller
        controller.replace_routes([HIGH])
        assert bool(controller.list_services()) is is_listed
    harness = _Harness(AdmissionMode.OFF)
    harness.limit()
    assert {harness.decide(LOW, ip) for ip in CALLERS} == {ADMITTED}


def test_level_survives_a_configuration_change() -> None:
    """Guards against an unlimited service after each change of an unrelated route."""
    harness = _Harness()
    harness.limit()
    harness.controller.replace_routes([HIGH, LOW, build_route("new", 3, 1_000, 0)])
    assert harness.controller.list_services()[0].is_limited
    assert NO_ROOM in {harness.decide(LOW, ip) for ip in CALLERS}
    # A route without known demand gets no more than the routes with its priority or a higher one.
    harness.update()
    assert NO_ROOM in {harness.decide(build_route("new", 3, 1_000, 0), ip) for ip in CALLERS}


def test_without_slots_placement_decides() -> None:
    """Guards against refusals that keep placement from probing upstreams in back-off."""
    harness = _Harness()
    harness.limit()
    harness.slots = 0.0
    harness.update()
    assert {harness.decide(LOW, ip) for ip in CALLERS} == {ADMITTED}


def test_room_of_idle_services_is_not_estimated() -> None:
    """Guards against CPU time for hundreds of services without callers on this instance."""
    harness = _Harness()
    harness.update(3)
    assert harness.estimate_count == 0
    harness.decide(LOW, 1)
    harness.update(60)
    assert 30 <= harness.estimate_count <= 41


def test_inputs_of_decisions_are_those_of_the_limited_service() -> None:
    """Guards against a log line that explains a refusal by figures of another moment."""
    harness = _Harness()
    assert harness.controller.describe(LOW) == AdmissionInputs(SERVICE, 2, 1.0, 0.0)
    harness.limit(occupancy=2.25)
    inputs = harness.controller.describe(LOW)
    assert (inputs.service, inputs.priority, inputs.occupancy) == (SERVICE, 2, 2.25)
    shares = {found.route: found.share for found in harness.controller.list_routes()}
    assert inputs.share == shares["low"] < 1


def test_route_that_is_not_known_has_inputs() -> None:
    """Guards against a log line that fails for a route of the newest configuration."""
    controller = _Harness().controller
    unknown = build_route("unknown", 3, 1_000, 500)
    assert controller.describe(unknown).share == 1.0
