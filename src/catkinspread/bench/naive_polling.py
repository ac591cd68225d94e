"""The naive distribution of a configuration: every instance polls one object.

An instance takes what it reads, so an answer that was delayed on the way can bring an older
version after a newer one.
"""

import random

from catkinspread.bench.events import EventQueue

POLL_PERIOD_MS = 10_000


class PollingFleet:
    """Instances that poll; the object holds only a version.

    Attributes:
        stored: Version of the object.
        latency_ms: Smallest and largest delay of a read.
        is_down: Whether reads fail.
        cut: Names of instances that do not reach the platform.
        versions: Version by instance; None before the first read.
        applied_ms: For each version, when each instance first had it or a later one.
        reversions: How often an instance went back.
    """

    def __init__(self, queue: EventQueue, seed: int, names: list[str]) -> None:
        self._queue = queue
        self._rng = random.Random(seed + 2)
        self.stored = 0
        self.latency_ms = (3, 10)
        self.is_down = False
        self.cut: set[str] = set()
        self.versions: dict[str, int | None] = {}
        self.applied_ms: dict[int, dict[str, int]] = {}
        self.reversions = 0
        for name in names:
            self.versions[name] = None
            self._queue.schedule(self._rng.randrange(POLL_PERIOD_MS), self._make_poll(name))

    def restart(self, name: str) -> None:
        """Loses the state of an instance and polls at once."""
        self.versions[name] = None
        self._read(name)

    def _make_poll(self, name: str):
        def poll() -> None:
            self._read(name)
            self._queue.schedule(POLL_PERIOD_MS, poll)

        return poll

    def _read(self, name: str) -> None:
        if self.is_down or name in self.cut:
            return
        version = self.stored
        delay_ms = self._rng.randint(*self.latency_ms)
        self._queue.schedule(delay_ms, lambda: self._take(name, version))

    def _take(self, name: str, version: int) -> None:
        before = self.versions[name] or 0
        self.reversions += version < before
        self.versions[name] = version
        for newer in range(version, 0, -1):
            times = self.applied_ms.setdefault(newer, {})
            if name in times:
                break
            times[name] = self._queue.clock.now_ms()
