"""A timer queue with one timer per key and bounded memory."""

import heapq
import itertools
from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)

# Keeps small heaps from being rebuilt often.
_STALE_TIMERS_MIN = 64


class TimerQueue(Generic[Key]):
    """A priority queue with at most one timer per key.

    Replaced and removed timers remain in the heap as stale entries. When a timer is set and the
    heap then has more stale entries than timers plus _STALE_TIMERS_MIN, it is rebuilt without
    them: a removed timer may be far in the future, and callers with long timeouts could otherwise
    exhaust the memory.
    """

    __slots__ = ("_counter", "_current", "_heap")

    def __init__(self) -> None:
        self._counter = itertools.count()
        self._current: dict[Key, tuple[int, int]] = {}
        self._heap: list[tuple[int, int, Key]] = []

    @property
    def heap_size(self) -> int:
        """Number of entries in the heap, including stale ones."""
        return len(self._heap)

    def set(self, key: Key, due_ms: int) -> None:
        """Sets the timer of a key, replacing any existing one."""
        number = next(self._counter)
        self._current[key] = (due_ms, number)
        heapq.heappush(self._heap, (due_ms, number, key))
        if len(self._heap) > 2 * len(self._current) + _STALE_TIMERS_MIN:
            self._heap = [(due, count, item) for item, (due, count) in self._current.items()]
            heapq.heapify(self._heap)

    def remove(self, key: Key) -> None:
        """Removes the timer of a key, if it has one."""
        self._current.pop(key, None)

    def pop_due(self, now_ms: int) -> list[Key]:
        """Removes the timers that are due and returns their keys, ordered by due time."""
        due: list[Key] = []
        while self._heap and self._heap[0][0] <= now_ms:
            due_ms, number, key = heapq.heappop(self._heap)
            if self._current.get(key) == (due_ms, number):
                del self._current[key]
                due.append(key)
        return due
