"""Tests of the learned work of a request."""

import random

import pytest

from catkinspread.admission.tests.site import ROUTE, build_route
from catkinspread.admission.work import WORK_MIN_MS, WorkEstimator


def test_work_is_unknown_before_the_first_sample() -> None:
    """Guards against a made-up figure that looks like a measured one."""
    assert WorkEstimator().get_work_ms("front") is None


def test_requests_that_queued_are_ignored() -> None:
    """Guards against work that grows with the load, which would refuse more and more."""
    work = WorkEstimator()
    work.record_response(ROUTE, 40, occupied=2, work_slots=2)
    for _ in range(100):
        work.record_response(ROUTE, 900, occupied=2.1, work_slots=2)
    assert work.get_work_ms("front") == 40


def test_long_tail_is_part_of_the_average() -> None:
    """Guards against the median, which leaves out the work of the slow requests."""
    rng = random.Random(3)
    work = WorkEstimator()
    for _ in range(2_000):
        work.record_response(ROUTE, 280 if rng.random() < 0.03 else 40, 1, 2)
    assert work.get_work_ms("front") == pytest.approx(0.97 * 40 + 0.03 * 280, rel=0.2)


def test_work_follows_a_change() -> None:
    """Guards against a figure that no longer changes after many samples."""
    work = WorkEstimator()
    for response_ms in [40] * 1_000 + [80] * 300:
        work.record_response(ROUTE, response_ms, 1, 2)
    assert work.get_work_ms("front") == pytest.approx(80, rel=0.02)


@pytest.mark.parametrize(
    ("response_ms", "expected_ms"), [(0, WORK_MIN_MS), (50_000, 3_000), (-5, None)]
)
def test_implausible_times_are_limited(response_ms: int, expected_ms: float | None) -> None:
    """Guards against work of 0, by which rates are divided, and against one stuck request."""
    work = WorkEstimator()
    work.record_response(build_route(timeout_ms=3_000), response_ms, 1, 2)
    assert work.get_work_ms("front") == expected_ms


def test_own_samples_replace_what_others_told() -> None:
    """Guards against the default of another instance that replaces a measured figure."""
    work = WorkEstimator()
    work.record_told("front", 60)
    work.record_told("front", 80)
    assert work.get_work_ms("front") == 65
    work.record_response(ROUTE, 40, 1, 2)
    work.record_told("front", 45)
    assert work.get_work_ms("front") == 40
