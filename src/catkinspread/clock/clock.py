"""Clocks that return integer milliseconds since the Unix epoch.

Decision logic receives times as arguments. Only daemons and tests hold a clock.
"""

import time
from typing import Protocol

_NANOSECONDS_PER_MS = 1_000_000


class Clock(Protocol):
    """A source of the current time."""

    def now_ms(self) -> int:
        """Returns the current time in ms since the Unix epoch."""


class SystemClock:
    """The clock of the machine, which never goes backwards within a process.

    The wall clock is read once; later readings add the monotonic clock to it, so that a
    correction of the wall clock cannot move timeouts.
    """

    __slots__ = ("_monotonic_start_ns", "_wall_start_ns")

    def __init__(self) -> None:
        self._wall_start_ns = time.time_ns()
        self._monotonic_start_ns = time.monotonic_ns()

    def now_ms(self) -> int:
        """Returns the current time in ms since the Unix epoch."""
        elapsed_ns = time.monotonic_ns() - self._monotonic_start_ns
        return (self._wall_start_ns + elapsed_ns) // _NANOSECONDS_PER_MS


class ManualClock:
    """A clock for tests and benches that moves only when told to."""

    __slots__ = ("_now_ms",)

    def __init__(self, start_ms: int = 0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> int:
        """Returns the time that was set last, in ms."""
        return self._now_ms

    def advance(self, duration_ms: int) -> int:
        """Moves the clock forward.

        Args:
            duration_ms: How far to move, at least 0 ms.

        Returns:
            The new time in ms.

        Raises:
            ValueError: If the duration is negative.
        """
        if duration_ms < 0:
            raise ValueError(f"clock cannot move back by {-duration_ms} ms")
        self._now_ms += duration_ms
        return self._now_ms
