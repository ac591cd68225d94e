"""Runs the short tasks of an instance that are repeated all the time."""

import functools
from collections.abc import Callable

import anyio
import anyio.abc

from catkinspread.clock import Clock
from catkinspread.runtime.pauses import PauseDetector
from catkinspread.supervision import Supervisor

# Longest and shortest interval between two runs; each run costs processor time.
LOOP_INTERVAL_MAX_MS = 40
LOOP_INTERVAL_MIN_MS = 10
_MS_PER_S = 1_000


class _Task:
    __slots__ = ("due_ms", "interval_ms", "name", "run")

    def __init__(self, name: str, run: Callable[[int], None], interval_ms: int) -> None:
        self.name = name
        self.run = run
        self.interval_ms = interval_ms
        self.due_ms = 0


class PeriodicTasks:
    """Runs functions in turn; an error of one of them does not keep the others from running.

    Args:
        clock: Source of the time.
        supervisor: Logs and counts the errors.
        pauses: Checks for pauses of the process before each run.
        get_next_due_ms: Returns when a run is needed before LOOP_INTERVAL_MAX_MS; None if it is not.
    """

    __slots__ = ("_clock", "_get_next_due_ms", "_pauses", "_supervisor", "_tasks")

    def __init__(
        self,
        clock: Clock,
        supervisor: Supervisor,
        pauses: PauseDetector,
        get_next_due_ms: Callable[[], int | None],
    ) -> None:
        self._clock = clock
        self._supervisor = supervisor
        self._pauses = pauses
        self._get_next_due_ms = get_next_due_ms
        self._tasks: list[_Task] = []

    def add(self, name: str, run: Callable[[int], None], interval_ms: int = 0) -> None:
        """Adds a function.

        Args:
            name: Name in log lines and metrics.
            run: Called with the current time.
            interval_ms: Shortest time between two calls; 0 for a call in each run.
        """
        self._tasks.append(_Task(name, run, interval_ms))

    async def run(self, *, task_status: anyio.abc.TaskStatus) -> None:
        """Runs the functions until cancelled."""
        task_status.started()
        self._pauses.due_ms = self._clock.now_ms()
        while True:
            now_ms = self._clock.now_ms()
            self._supervisor.run_step("pause_check", functools.partial(self._pauses.check, now_ms))
            self._run_due_tasks(now_ms)
            due_ms = self._get_next_due_ms() or now_ms + LOOP_INTERVAL_MAX_MS
            wait_ms = max(LOOP_INTERVAL_MIN_MS, min(LOOP_INTERVAL_MAX_MS, due_ms - now_ms))
            self._pauses.due_ms = now_ms + wait_ms
            await anyio.sleep(wait_ms / _MS_PER_S)

    def _run_due_tasks(self, now_ms: int) -> None:
        for task in self._tasks:
            if now_ms >= task.due_ms:
                task.due_ms = now_ms + task.interval_ms
                self._supervisor.run_step(task.name, functools.partial(task.run, now_ms))
