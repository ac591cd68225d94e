"""Tests of what happens to the parts of a program when one of them fails."""

import json
import random

import anyio
import anyio.abc
import pytest

from catkinspread.clock import ManualClock
from catkinspread.eventlog import EventLog
from catkinspread.forwarding.tests.builders import LineRecorder
from catkinspread.supervision import FailureLog, Part, RequiredPartFailed, Supervisor
from catkinspread.supervision.failures import LOG_INTERVAL_MS


class Harness:
    """A supervisor with a log that tests can read."""

    def __init__(self) -> None:
        self.clock = ManualClock(1_000)
        self.lines = LineRecorder()
        self.failures = FailureLog(EventLog("one", self.lines, self.clock))
        self.supervisor = Supervisor(self.failures, self.clock, random.Random(1))

    def find_events(self, event: str) -> list[dict[str, object]]:
        return [found for found in map(json.loads, self.lines.lines) if found["event"] == event]


class FailingPart:
    """A part that raises at its first starts and then runs."""

    def __init__(self, *errors: BaseException) -> None:
        self._errors = list(errors)
        self.is_running = anyio.Event()

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        if self._errors:
            raise self._errors.pop(0)
        task_status.started()
        self.is_running.set()
        await anyio.sleep_forever()


def _play(harness: Harness, part: Part, is_running: anyio.Event) -> None:
    async def run() -> None:
        with anyio.fail_after(10):
            async with anyio.create_task_group() as group:
                group.start_soon(harness.supervisor.run, part)
                await is_running.wait()
                group.cancel_scope.cancel()

    anyio.run(run)


@pytest.mark.parametrize(
    "error",
    [
        OSError(98, "Address already in use"),
        RecursionError("maximum recursion depth exceeded"),
        MemoryError(),
        ExceptionGroup("tasks", [OverflowError("port must be 0-65535")]),
        UnicodeDecodeError("utf-8", b"\xff", 0, 1, "invalid start byte"),
    ],
    ids=lambda error: type(error).__name__,
)
def test_part_runs_again_after_any_exception(error: Exception) -> None:
    """Guards against a process that ends because one of its parts raised."""
    harness, failing = Harness(), FailingPart(error, error)
    _play(harness, Part("feed", failing.run, "10.0.0.1:7720"), failing.is_running)
    (failed,) = harness.find_events("part_failed")
    assert failed["part"] == "feed"
    assert failed["address"] == "10.0.0.1:7720"
    assert harness.find_events("part_recovered")[0]["failures"] == 2


def test_part_that_returns_runs_again() -> None:
    """Guards against a part that is missing for the rest of the process without any notice."""
    harness, failing = Harness(), FailingPart()
    starts = []

    async def run(*, task_status: anyio.abc.TaskStatus[None]) -> None:
        starts.append(1)
        if len(starts) > 1:
            await failing.run(task_status=task_status)

    _play(harness, Part("feed", run), failing.is_running)
    assert "PartEnded" in str(harness.find_events("part_failed")[0]["reason"])


def test_required_part_ends_the_run() -> None:
    """Guards against a process that stays without the socket on which callers reach it."""
    harness, failing = Harness(), FailingPart(OSError("no socket"))
    part = Part("packets", failing.run, "10.0.0.1:8172", is_required=True)
    with pytest.raises(RequiredPartFailed, match=r"packets at 10.0.0.1:8172 failed: OSError"):
        anyio.run(harness.supervisor.run, part)


def test_cancelled_part_does_not_run_again() -> None:
    """Guards against a shutdown that takes a cancellation for a failure."""
    harness, failing = Harness(), FailingPart()
    _play(harness, Part("feed", failing.run), failing.is_running)
    assert harness.failures.states == {}


def test_lines_of_a_part_that_fails_often_are_bounded() -> None:
    """Guards against a log that is full of one failure; the counter has them all."""
    harness = Harness()

    def fail() -> None:
        raise ValueError("a message with \udcfc")

    for _ in range(100):
        harness.supervisor.run_step("expiry", fail)
        harness.clock.advance(LOG_INTERVAL_MS // 50)
    assert len(harness.find_events("part_failed")) == 2
    assert harness.failures.states["expiry"].failures == 100
    assert f"{__file__}:" in str(harness.find_events("part_failed")[0]["place"])


def test_step_that_works_again_is_reported_once() -> None:
    """Guards against a failure that looks as if it had not ended."""
    harness = Harness()
    harness.supervisor.run_step("expiry", lambda: None)
    assert not harness.find_events("part_recovered")
    harness.failures.record_failure("expiry", ValueError(), harness.clock.now_ms())
    harness.clock.advance(40)
    for _ in range(2):
        harness.supervisor.run_step("expiry", lambda: None)
    assert [found["failing_ms"] for found in harness.find_events("part_recovered")] == [40]
