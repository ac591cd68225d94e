"""The platform as the simulated fleet sees it: the real log over a store in memory."""

import random
from collections.abc import Callable, Coroutine
from typing import Any

from catkinspread.bench.events import EventQueue
from catkinspread.configuration import (
    CONFIGURATION_LOG_PREFIX,
    Change,
    ChangeResult,
    ConfigurationWriter,
    Snapshot,
    SnapshotStore,
)
from catkinspread.objectstore import AppendLog, LogEntry, MemoryObjectStore


def run_without_waiting(coroutine: Coroutine) -> Any:
    """Returns the result of a coroutine that never waits.

    The store in memory answers at once; the event queue adds the delays.
    """
    try:
        coroutine.send(None)
    except StopIteration as finished:
        return finished.value
    raise RuntimeError("coroutine waits")


class SimulatedPlatform:
    """Answers reads after a delay, unless it is down or out of reach.

    Attributes:
        store: The store behind it.
        is_down: Whether calls fail.
        latency_ms: Smallest and largest delay of a call.
        unreachable: Data centres that are cut off from the platform.
    """

    __slots__ = ("_log", "_queue", "_rng", "is_down", "latency_ms", "store", "unreachable")

    def __init__(self, queue: EventQueue, rng: random.Random) -> None:
        self._queue = queue
        self._rng = rng
        self.store = MemoryObjectStore()
        self._log = AppendLog(self.store, CONFIGURATION_LOG_PREFIX)
        self.is_down = False
        self.latency_ms = (3, 10)
        self.unreachable: set[str] = set()

    def is_reachable(self, data_centre: str) -> bool:
        """Whether calls from a data centre are answered."""
        return not self.is_down and data_centre not in self.unreachable

    def draw_latency_ms(self) -> int:
        """Returns the delay of a call."""
        return self._rng.randint(*self.latency_ms)

    def write(self, change: Change, version: int) -> ChangeResult:
        """Writes a change at once."""
        writer = ConfigurationWriter(self._log)
        return run_without_waiting(writer.write(change, version, self._queue.clock.now_ms()))

    def read_log(self, after: int) -> list[LogEntry]:
        """Returns the entries after a version at once."""
        return run_without_waiting(self._log.read_after(after))

    def save_snapshot(self, writer: str, snapshot: Snapshot) -> bool:
        """Saves a snapshot at once."""
        return run_without_waiting(SnapshotStore(self.store, writer).save(snapshot))

    def load_snapshot(self) -> Snapshot | None:
        """Returns the newest snapshot at once."""
        return run_without_waiting(SnapshotStore(self.store, "reader").load())

    def call(self, data_centre: str, answer: Callable[[], None]) -> None:
        """Calls back after a delay if the platform is reachable then and now."""
        if not self.is_reachable(data_centre):
            return

        def finish() -> None:
            if self.is_reachable(data_centre):
                answer()

        self._queue.schedule(self.draw_latency_ms(), finish)
