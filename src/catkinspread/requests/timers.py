"""Timers by key, in bounded memory."""

import heapq
import itertools
from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)

# Replaced and removed timers stay in the heap until it has this many entries more than needed.
_STALE_TIMERS_MIN = 64


class TimerQueue(Generic[Key]):
    """Holds at most one time for each key.

    A removed timer may lie far in the future, so the heap is rebuilt when more than half of it
    is out of date. Without this, callers with long timeouts could fill the memory.
    """

    __slots__ = ("_counter", "_current", "_heap")

    def __init__(self) -> None:
        self._counter = itertools.count()
        self._current: dict[Key, tuple[int, int]] = {}
        self._heap: list[tuple[int, int, Key]] = []

    @property
    def heap_size(self) -> int:
        """Number of timers in memory, those that are out of date included."""
        return len(self._heap)

    def set(self, key: Key, due_ms: int) -> None:
        """Sets the time of a key, replacing an earlier one."""
        number = next(self._counter)
        self._current[key] = (due_ms, number)
        heapq.heappush(self._heap, (due_ms, number, key))
        if len(self._heap) > 2 * len(self._current) + _STALE_TIMERS_MIN:
            self._heap = [(due, count, item) for item, (due, count) in self._current.items()]
            heapq.heapify(self._heap)

    def remove(self, key: Key) -> None:
        """Removes the time of a key, if it has one."""
        self._current.pop(key, None)

    def pop_due(self, now_ms: int) -> list[Key]:
        """Removes and returns the keys whose time has come, in order of time."""
        due: list[Key] = []
        while self._heap and self._heap[0][0] <= now_ms:
            due_ms, number, key = heapq.heappop(self._heap)
            if self._current.get(key) == (due_ms, number):
                del self._current[key]
                due.append(key)
        return due
