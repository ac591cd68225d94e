"""Checks whether an upstream accepts TCP connections."""

from collections.abc import Callable

import anyio
from absl import logging

from catkinspread.clock import Clock
from catkinspread.deployment import KnownUpstream
from catkinspread.forwarding import UpstreamCheck

# Two checks in a row end before callers retransmit a packet for the second time, 600 ms after they
# sent it.
CHECK_TIMEOUT_MS = 190
# A check that took this much longer than its time-out is not conclusive, because the process itself
# was paused or delayed.
CHECK_DELAY_MAX_MS = 150
# Checks that run at the same time; others wait for their turn.
CONCURRENT_CHECKS_MAX = 16
_MS_PER_S = 1_000


class UpstreamChecker:
    """Runs the checks that are requested.

    Args:
        on_result: Called with the name of an upstream, whether it accepted a connection (None if
            the check was not conclusive) and the time.
        clock: Source of the time.
    """

    __slots__ = ("_clock", "_on_result", "_receiver", "_sender")

    def __init__(self, on_result: Callable[[str, bool | None, int], None], clock: Clock) -> None:
        self._on_result = on_result
        self._clock = clock
        self._sender, self._receiver = anyio.create_memory_object_stream[UpstreamCheck](
            max_buffer_size=float("inf")
        )

    def request(self, check: UpstreamCheck) -> None:
        """Requests a check, which ends in one call of `on_result`."""
        self._sender.send_nowait(check)

    async def run(self) -> None:
        """Runs the requested checks until cancelled."""
        limiter = anyio.Semaphore(CONCURRENT_CHECKS_MAX)
        async with anyio.create_task_group() as group:
            async for check in self._receiver:
                await limiter.acquire()
                group.start_soon(self._run_check, check, limiter)

    async def _run_check(self, check: UpstreamCheck, limiter: anyio.Semaphore) -> None:
        name = check.upstream.record.name
        try:
            is_reachable = await self._check(check)
        except Exception as error:  # A check that cannot be made must not end the others.
            logging.warning("upstream checks: %s cannot be checked: %r", name, error)
            is_reachable = None
        finally:
            limiter.release()
        self._on_result(name, is_reachable, self._clock.now_ms())

    async def _check(self, check: UpstreamCheck) -> bool | None:
        started_ms = self._clock.now_ms()
        if await self._connect(check.upstream):
            return True
        duration_ms = self._clock.now_ms() - started_ms
        is_delayed = duration_ms > CHECK_TIMEOUT_MS + CHECK_DELAY_MAX_MS
        if is_delayed or not await self._connect(check.control):
            return None
        return False

    async def _connect(self, upstream: KnownUpstream) -> bool:
        record = upstream.record
        with anyio.move_on_after(CHECK_TIMEOUT_MS / _MS_PER_S):
            try:
                stream = await anyio.connect_tcp(record.host, record.port)
            except OSError:
                return False  # The result is logged once the upstream counts as unreachable.
            await stream.aclose()
            return True
        return False
