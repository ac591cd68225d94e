"""Tests of the clocks."""

import pytest

from catkinspread.clock import ManualClock, SystemClock


def test_manual_clock_rejects_negative_durations():
    """Guards against timeouts that expire twice because the clock went backwards."""
    clock = ManualClock(start_ms=10)
    assert clock.advance(5) == 15
    with pytest.raises(ValueError, match="duration must be at least 0 ms, got -1 ms"):
        clock.advance(-1)
    assert clock.now_ms() == 15


def test_system_clock_never_decreases():
    """Guards against a reading that is lower than an earlier one of the same process."""
    clock = SystemClock()
    readings = [clock.now_ms() for _ in range(1000)]
    assert readings == sorted(readings)
