"""A queue of timed events with a manual clock, for benches and tests."""

import heapq
import itertools
from collections.abc import Callable

from catkinspread.clock import ManualClock


class EventQueue:
    """Runs callbacks in order of time; equal times run in order of scheduling."""

    __slots__ = ("_counter", "_heap", "clock")

    def __init__(self, start_ms: int = 0) -> None:
        self.clock = ManualClock(start_ms)
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._counter = itertools.count()

    def schedule(self, delay_ms: int, callback: Callable[[], None]) -> None:
        """Schedules a callback.

        Args:
            delay_ms: Time from now, at least 0 ms.
            callback: Called without arguments when the time has come.
        """
        due_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self._heap, (due_ms, next(self._counter), callback))

    def run_until(self, end_ms: int) -> None:
        """Runs all events up to and including a time, and sets the clock to it."""
        while self._heap and self._heap[0][0] <= end_ms:
            due_ms, _, callback = heapq.heappop(self._heap)
            self.clock.advance(due_ms - self.clock.now_ms())
            callback()
        self.clock.advance(end_ms - self.clock.now_ms())
