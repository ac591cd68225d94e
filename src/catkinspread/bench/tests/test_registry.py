"""Tests of the registry of benches and the event queue."""

import pytest

from catkinspread.bench import BenchReport, Bound, EventQueue, register_bench


def test_a_name_is_registered_once():
    """Guards against a bench that silently replaces another one."""
    register_bench("test-only")(lambda seed: BenchReport("test-only", seed, {}))
    with pytest.raises(ValueError, match="registered twice"):
        register_bench("test-only")(lambda seed: BenchReport("test-only", seed, {}))


def test_a_report_fails_with_any_bound():
    """Guards against a broken bound that is hidden by kept ones."""
    bounds = (Bound("a", 1, 1), Bound("b", 0, 0.5))
    assert not BenchReport("x", 1, {}, bounds=bounds).is_kept


def test_events_run_in_order_of_time_then_scheduling():
    """Guards against runs that differ between two executions with the same seed."""
    queue = EventQueue()
    seen = []
    queue.schedule(5, lambda: seen.append("late"))
    queue.schedule(1, lambda: seen.append("first"))
    queue.schedule(1, lambda: queue.schedule(0, lambda: seen.append("nested")))
    queue.run_until(4)
    assert seen == ["first", "nested"]
    queue.run_until(5)
    assert (seen, queue.clock.now_ms()) == (["first", "nested", "late"], 5)
