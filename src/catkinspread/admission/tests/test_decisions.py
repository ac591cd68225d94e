"""Division of the room, order of callers, settings and estimates."""

import collections

import pytest

from catkinspread.admission.caller_order import ROTATION_MS, compute_position
from catkinspread.admission.demand_trend import DemandTrend
from catkinspread.admission.recent_occupancy import RecentOccupancy
from catkinspread.admission.retry_share import RetryShare
from catkinspread.admission.settings import AdmissionSettings
from catkinspread.admission.shares import divide_room
from catkinspread.admission.types import RouteDemand


def _demand(
    route: str, priority: int, offered: float, committed: float = 0.0, work_ms: float = 10.0
) -> RouteDemand:
    return RouteDemand(route, "shop", priority, work_ms, offered, committed)


def test_room_goes_to_priorities_in_order_after_committed_work() -> None:
    """Guards against lower priorities that take room from higher ones or from open flows."""
    demands = [_demand("low", 2, 500), _demand("high", 0, 400, 200), _demand("mid", 1, 500)]
    shares = divide_room(1_000, demands, 0.02)
    assert shares == pytest.approx({"high": 1.0, "mid": 0.76, "low": 0.04})


def test_open_flows_of_a_lower_priority_turn_no_higher_one_away() -> None:
    """Guards against payments that are refused because open flows of a feed fill the room."""
    demands = [_demand("high", 0, 400, 100), _demand("feed", 1, 300, 2_000)]
    assert divide_room(1_000, demands, 0.02) == {"high": 1.0, "feed": 0.0}


def test_lowest_priority_keeps_its_minimum_before_higher_ones() -> None:
    """Guards against starvation, also by committed work; its own committed work counts."""
    high = _demand("high", 0, 2_000, 1_500)
    assert divide_room(1_000, [high, _demand("low", 2, 100)], 0.02)["low"] == pytest.approx(0.2)
    assert divide_room(1_000, [high, _demand("low", 2, 100, 30)], 0.02)["low"] == 0


def test_less_work_goes_first_within_a_priority_and_similar_work_alike() -> None:
    """Guards against routes with nearly equal work that swap places with each estimate."""
    demands = [
        _demand("heavy", 1, 500, work_ms=30),
        _demand("light", 1, 500, work_ms=10),
        _demand("similar", 1, 500, work_ms=10.5),
    ]
    shares = divide_room(500, demands, 0.0)
    assert shares == {"heavy": 0.0, "light": 0.5, "similar": 0.5}


def test_everything_is_admitted_with_enough_room() -> None:
    """Guards against refusals without need, and against a division by zero without demand."""
    demands = [_demand("a", 0, 400), _demand("a", 0, 400), _demand("b", 1, 0)]
    assert divide_room(1_000, demands, 0.02) == {"a": 1.0, "b": 1.0}
    assert divide_room(1_000, [], 0.02) == {}
    assert divide_room(0, [_demand("a", 0, 400)], 0.02) == {"a": 0.0}


def test_positions_are_uniform_and_rotate() -> None:
    """Guards against callers who are preferred or refused for long."""
    ips = range(1 << 24, (1 << 24) + 10_000)
    tenths = collections.Counter(int(10 * compute_position(ip, 1_700_000_000_123)) for ip in ips)
    assert set(tenths) == set(range(10))
    assert max(tenths.values()) < 1.15 * min(tenths.values())
    positions = [compute_position(1, now_ms) for now_ms in range(0, ROTATION_MS, 100)]
    assert {int(10 * position) for position in positions} == set(range(10))
    assert compute_position(1, 5) == compute_position(1, 5 + ROTATION_MS)
    decrease = compute_position(1, 0) - compute_position(1, 600)
    assert decrease % 1 == pytest.approx(0.06)


@pytest.mark.parametrize(
    "values",
    [
        {"limit_occupancy": 0.5},
        {"minimum_share": 0.6},
        {"trim_min": 0.0},
        {"trim_max": float("nan")},
        {"release_occupancy": 2.1},
        {"trim_raise_occupancy": 3.0},
    ],
)
def test_settings_out_of_range_are_refused(values: dict[str, float]) -> None:
    """Guards against margins with which admission oscillates or refuses everything."""
    with pytest.raises(ValueError, match="must be from"):
        AdmissionSettings(**values)


def test_returning_callers_are_recognised() -> None:
    """Guards against a share that falls because each refused caller opens three flows."""
    retries = RetryShare()
    assert retries.estimate_first_share() == 1.0
    for _ in range(200):
        retries.record(True, 0.5)
        for _ in range(3):
            retries.record(False, 0.5)
    assert retries.estimate_first_share() == pytest.approx(1 / 3, abs=0.01)
    retries.decay(100_000)
    assert retries.estimate_first_share() > 0.9


def test_sudden_rise_of_demand_is_recognised() -> None:
    """Guards against old summaries at the start of a burst, and against reacting to noise."""
    trend = DemandTrend()
    for count in [50] * 12:
        trend.record(count)
    trend.record(58)
    assert trend.estimate_growth(2_000, 2.0) == 1.0
    trend.record(150)
    trend.record(150)
    assert trend.estimate_growth(2_000, 2.0) == pytest.approx(150 / (808 / 12))


def test_sudden_fall_of_demand_is_recognised() -> None:
    """Guards against refusals after the end of a burst, and against reacting to noise."""
    trend = DemandTrend()
    for count in [50] * 12 + [42, 30]:
        trend.record(count)
    assert trend.estimate_fall(2_000, 4.0) == 1.0
    trend.record(5)
    trend.record(5)
    assert trend.estimate_fall(2_000, 4.0) == pytest.approx(10 / 2 / (482 / 12))
    rare = DemandTrend()
    for count in [1] * 12 + [0, 0]:
        rare.record(count)
    assert rare.estimate_fall(2_000, 4.0) == 1.0


def test_recent_occupancy_needs_enough_answers() -> None:
    """Guards against a limit because of a single answer, or of answers long ago."""
    recent = RecentOccupancy()
    recent.record(4.0)
    recent.end_interval()
    assert recent.estimate() is None
    recent.record(2.0)
    recent.record(3.0)
    recent.end_interval()
    assert recent.estimate() == 3.0
    for _ in range(4):
        recent.end_interval()
    assert recent.estimate() is None
