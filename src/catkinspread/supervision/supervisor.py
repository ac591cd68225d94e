"""Runs the parts of a program so that one that fails does not end the others."""

import random
from collections.abc import Callable
from typing import Protocol

import anyio
import anyio.abc
import msgspec

from catkinspread.clock import Clock
from catkinspread.supervision.back_off import BackOff
from catkinspread.supervision.errors import describe_error
from catkinspread.supervision.failures import FailureLog

# Delays before a failed part runs again. The first is short because the state that callers depend on
# is read by such a part; the longest limits the lines and the work of a part that always fails.
RETRY_DELAY_INITIAL_MS = 100
RETRY_DELAY_MAX_MS = 5_000
# A part that ran this long before it failed is retried with the first delay again.
STABLE_RUN_MS = 10_000
_MS_PER_S = 1_000


class PartRunner(Protocol):
    """Runs a part until it is cancelled."""

    async def __call__(self, *, task_status: anyio.abc.TaskStatus) -> None:
        """Runs the part.

        Args:
            task_status: Notified once the part has started, for example once it listens.
        """


class Part(msgspec.Struct, frozen=True):
    """A task of the program that runs until it is cancelled.

    Attributes:
        name: Name in log lines and metrics.
        run: Runs it; called again after a failure.
        address: Address that it serves, for log lines; empty if none.
        is_required: Whether the process ends if it fails, because callers cannot be served without it.
    """

    name: str
    run: PartRunner
    address: str = ""
    is_required: bool = False


class RequiredPartFailed(Exception):
    """A part without which callers cannot be served has failed."""

    def __init__(self, part: Part, reason: str) -> None:
        at = f" at {part.address}" if part.address else ""
        super().__init__(f"{part.name}{at} failed: {reason}")


class PartEnded(Exception):
    """A part returned although it was not cancelled."""


class Supervisor:
    """Runs parts, and runs them again with exponential back-off after they failed.

    Args:
        failures: Log of the failures.
        clock: Source of the time.
        rng: Source of the jitter.
    """

    __slots__ = ("_clock", "_failures", "_rng")

    def __init__(self, failures: FailureLog, clock: Clock, rng: random.Random) -> None:
        self._failures = failures
        self._clock = clock
        self._rng = rng

    async def run(self, part: Part) -> None:
        """Runs a part until cancelled.

        Raises:
            RequiredPartFailed: If a required part failed.
        """
        back_off = BackOff(RETRY_DELAY_INITIAL_MS, RETRY_DELAY_MAX_MS, self._rng)
        while True:
            started_ms = self._clock.now_ms()
            error = await self._run_once(part)
            now_ms = self._clock.now_ms()
            if part.is_required:
                raise RequiredPartFailed(part, describe_error(error).reason) from error
            if now_ms - started_ms >= STABLE_RUN_MS:
                back_off.reset()
            delay_ms = back_off.next_ms()
            self._failures.record_failure(part.name, error, now_ms, part.address, delay_ms)
            await anyio.sleep(delay_ms / _MS_PER_S)

    async def _run_once(self, part: Part) -> Exception:
        status = _StartStatus(lambda: self._record_start(part.name))
        try:
            await part.run(task_status=status)
        except Exception as error:  # Logged and counted by the caller, whatever it is.
            return error
        return PartEnded(f"{part.name} returned")

    def _record_start(self, name: str) -> None:
        self._failures.record_success(name, self._clock.now_ms())

    def run_step(self, name: str, step: Callable[[], None]) -> None:
        """Calls a function that is repeated anyway; an exception of it is logged and counted.

        Args:
            name: Name in log lines and metrics.
            step: The function.
        """
        try:
            step()
        except Exception as error:  # One failing step must not keep the others from running.
            self._failures.record_failure(name, error, self._clock.now_ms())
        else:
            self._record_start(name)


class _StartStatus(anyio.abc.TaskStatus[object]):
    """Calls a function once a part reports that it has started."""

    __slots__ = ("_on_started",)

    def __init__(self, on_started: Callable[[], None]) -> None:
        self._on_started = on_started

    def started(self, value: object = None) -> None:
        """Reports the start; the value is not used."""
        self._on_started()
