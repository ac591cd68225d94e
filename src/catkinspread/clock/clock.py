"""Clocks that return integer milliseconds since the Unix epoch.

Protocol and routing logic takes the current time as an argument, so that it is deterministic. Only
the code that owns sockets and tasks reads a clock.
"""

import time
from typing import Protocol

_NANOSECONDS_PER_MS = 1_000_000
_ELAPSED_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class Clock(Protocol):
    """Source of the current time."""

    def now_ms(self) -> int:
        """Returns the current time in ms since the Unix epoch."""


class SystemClock:
    """System clock whose readings never decrease within a process.

    The wall clock is read once, at construction. Later readings add the time elapsed on a clock
    that is not adjusted, so that an adjustment of the wall clock does not shift timeouts. On Linux
    it also counts the time for which the machine was suspended, so that data that was received
    before has its true age.
    """

    __slots__ = ("_elapsed_start_ns", "_wall_start_ns")

    def __init__(self) -> None:
        self._wall_start_ns = time.time_ns()
        self._elapsed_start_ns = time.clock_gettime_ns(_ELAPSED_CLOCK)

    def now_ms(self) -> int:
        """Returns the current time in ms since the Unix epoch."""
        elapsed_ns = time.clock_gettime_ns(_ELAPSED_CLOCK) - self._elapsed_start_ns
        return (self._wall_start_ns + elapsed_ns) // _NANOSECONDS_PER_MS


class ManualClock:
    """Clock for tests and benchmarks that only changes when `advance` is called.

    Args:
        start_ms: Initial time in ms since the Unix epoch.
    """

    __slots__ = ("_now_ms",)

    def __init__(self, start_ms: int = 0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> int:
        """Returns the current time of this clock in ms since the Unix epoch."""
        return self._now_ms

    def advance(self, duration_ms: int) -> int:
        """Advances the clock.

        Args:
            duration_ms: Time to add, at least 0 ms.

        Returns:
            The new time in ms since the Unix epoch.

        Raises:
            ValueError: If the duration is negative.
        """
        if duration_ms < 0:
            raise ValueError(f"duration must be at least 0 ms, got {duration_ms} ms")
        self._now_ms += duration_ms
        return self._now_ms
