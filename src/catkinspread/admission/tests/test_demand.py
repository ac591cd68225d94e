"""Tests of the measured demand."""

import pytest

from catkinspread.admission.demand import WINDOW_MS, WORK_DEFAULT_MS, DemandMeter
from catkinspread.admission.tests.site import ROUTE, START_MS, build_route
from catkinspread.admission.work import WorkEstimator
from catkinspread.deployment import ServiceShare


def _build(work_ms: int = 20) -> DemandMeter:
    work = WorkEstimator()
    work.record_response(ROUTE, work_ms, 1, 2)
    return DemandMeter(work)


def _generate(meter: DemandMeter, start_ms: int, duration_ms: int, interval_ms: int) -> int:
    for now_ms in range(start_ms, start_ms + duration_ms, interval_ms):
        meter.record_opening(ROUTE, now_ms)
    return start_ms + duration_ms


@pytest.mark.parametrize("offset_ms", [0, 1, 55, 99])
def test_steady_demand_is_the_rate_times_the_work(offset_ms: int) -> None:
    """Guards against a rate that depends on when in a bucket it is read."""
    meter = _build()
    now_ms = _generate(meter, START_MS + offset_ms, 3_000, 5)
    (demand,) = meter.list_demands(now_ms)
    assert (demand.route, demand.service, demand.priority) == ("front", "pages", 1)
    assert demand.work_ms == 20
    assert demand.offered_work_ms_per_s == pytest.approx(200 * 20, rel=0.02)
    assert demand.committed_work_ms_per_s == 0


def test_first_requests_are_offered_and_further_ones_committed() -> None:
    """Guards against a first request that counts twice, and against further ones that are lost."""
    meter = _build()
    meter.record_opening(ROUTE, START_MS)
    meter.record_request(ROUTE, True, START_MS)
    for _ in range(3):
        meter.record_request(ROUTE, False, START_MS)
    (demand,) = meter.list_demands(START_MS)
    assert demand.offered_work_ms_per_s == pytest.approx(20)
    assert demand.committed_work_ms_per_s == pytest.approx(60)


def test_demand_decays_and_leaves_the_table() -> None:
    """Guards against refusals because of demand that has ended, and against a growing table."""
    meter = _build()
    now_ms = _generate(meter, START_MS, 2_000, 10)
    (full,) = meter.list_demands(now_ms)
    (half,) = meter.list_demands(now_ms + WINDOW_MS // 2)
    assert half.offered_work_ms_per_s == pytest.approx(full.offered_work_ms_per_s / 2, rel=0.1)
    assert meter.list_demands(now_ms + WINDOW_MS + 100) == []
    assert not meter._counts


def test_demand_after_a_long_pause_is_counted_anew() -> None:
    """Guards against buckets of an earlier turn of the ring that count again."""
    meter = _build()
    _generate(meter, START_MS, 1_100, 10)
    now_ms = START_MS + 1_000_000
    meter.record_opening(ROUTE, now_ms)
    (demand,) = meter.list_demands(now_ms)
    assert demand.offered_work_ms_per_s == pytest.approx(20)


def test_time_that_goes_back_does_not_lose_requests() -> None:
    """Guards against a bucket of the past that is never counted or never dropped."""
    meter = _build()
    meter.record_opening(ROUTE, START_MS)
    meter.record_opening(ROUTE, START_MS - 5_000)
    assert meter.list_demands(START_MS)[0].offered_work_ms_per_s == pytest.approx(40)
    assert meter.list_demands(START_MS + 1_200) == []


def test_shared_route_is_divided_by_the_weights() -> None:
    """Guards against demand that each service of a route counts in full."""
    shares = (ServiceShare("pages", 3.0), ServiceShare("canary", 1.0), ServiceShare("off", 0.0))
    meter = _build()
    meter.record_opening(build_route(shares=shares), START_MS)
    meter.record_request(build_route(shares=shares), False, START_MS)
    demands = {demand.service: demand for demand in meter.list_demands(START_MS)}
    assert list(demands) == ["pages", "canary"]
    assert demands["pages"].offered_work_ms_per_s == pytest.approx(15)
    assert demands["canary"].committed_work_ms_per_s == pytest.approx(5)


@pytest.mark.parametrize(
    "shares",
    [
        (ServiceShare("off", 0.0), ServiceShare("pages", 0.0)),
        (ServiceShare("pages", 1.0), ServiceShare("pages", 2.0)),
        (ServiceShare("pages", 0.0),),
    ],
    ids=["no weight", "twice", "single without weight"],
)
def test_unusual_weights_lose_no_demand(shares: tuple[ServiceShare, ...]) -> None:
    """Guards against a division by zero and against two entries of one route and service."""
    meter = _build()
    meter.record_opening(build_route(shares=shares), START_MS)
    (demand,) = meter.list_demands(START_MS)
    assert demand.service == "pages"
    assert demand.offered_work_ms_per_s == pytest.approx(20)


def test_changed_route_is_used() -> None:
    """Guards against the priority of an earlier configuration."""
    meter = _build()
    meter.record_opening(ROUTE, START_MS)
    meter.record_opening(build_route(priority=4), START_MS)
    assert meter.list_demands(START_MS)[0].priority == 4


def test_routes_are_listed_by_their_work() -> None:
    """Guards against a summary that leaves out the largest demands."""
    meter = DemandMeter(WorkEstimator())
    for number in range(5):
        for _ in range(number + 1):
            meter.record_opening(build_route(f"r{number}"), START_MS)
    demands = meter.list_demands(START_MS)
    assert [demand.route for demand in demands] == ["r4", "r3", "r2", "r1", "r0"]
    assert demands[0].work_ms == WORK_DEFAULT_MS
