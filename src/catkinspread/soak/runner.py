"""Runs one soak: start, faults, recovery, and a last period in which everything has to be served."""

import collections
import pathlib
import random

import anyio
import anyio.abc
import msgspec

from catkinspread.clock import Clock, SystemClock
from catkinspread.soak.callers import Outcome, RequestResult
from catkinspread.soak.faults import Fault, list_faults
from catkinspread.soak.guarantees import Violation
from catkinspread.soak.layout import Layout
from catkinspread.soak.site import DATA_CENTRES, FIXED_ROUTES, Site

START_TIMEOUT_MS = 20_000
# Time after the last fault until everything is served again.
RECOVER_MS = 12_000
LAST_PERIOD_MS = 2_000
REQUESTS_PER_S = 45
KEPT_FLOW_SHARE = 0.08
KEPT_FLOW_REQUESTS = 6
FAULTS_PER_S = 0.8
# Requests on routes that come and go; they are not owed an answer.
EXTRA_ROUTE_SHARE = 0.2
_MS_PER_S = 1_000
_SITE_SEED_OFFSET = 1_000_000
_REQUEST_SEED_OFFSET = 2_000_000


class SoakSettings(msgspec.Struct, frozen=True):
    """What a run plays.

    Attributes:
        seed: Seed of all random choices.
        subnet: Second number of its addresses.
        fault_ms: How long faults begin.
        directory: Takes settings and logs of the instances.
    """

    seed: int
    subnet: int
    fault_ms: int
    directory: str


class SoakReport(msgspec.Struct, frozen=True):
    """What a run found.

    Attributes:
        seed: Seed of the run.
        faults: Faults that were injected, in order.
        outcomes: Requests by outcome.
        violations: Violations of the guarantees.
    """

    seed: int
    faults: tuple[str, ...]
    outcomes: dict[str, int]
    violations: tuple[Violation, ...]


def run_soak(settings: SoakSettings) -> SoakReport:
    """Plays one run and returns what it found."""
    return anyio.run(_SoakRun(settings, SystemClock()).run)


class _SoakRun:
    """One run."""

    __slots__ = ("_clock", "_faults", "_rng", "_settings", "_site")

    def __init__(self, settings: SoakSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        # The faults of a seed must not depend on how many packets callers had sent.
        self._rng = random.Random(settings.seed)
        self._faults: list[str] = []
        directory = pathlib.Path(settings.directory)
        site_rng = random.Random(settings.seed + _SITE_SEED_OFFSET)
        self._site = Site(Layout(settings.subnet), directory, clock, site_rng)

    async def run(self) -> SoakReport:
        try:
            async with anyio.create_task_group() as group:
                await self._site.start(group)
                await self._wait_until_ready()
                group.start_soon(self._send_requests, group)
                await self._inject_faults()
                await anyio.sleep(RECOVER_MS / _MS_PER_S)
                last_period_at_ms = self._clock.now_ms()
                await anyio.sleep(LAST_PERIOD_MS / _MS_PER_S)
                ended_at_ms = self._clock.now_ms()
                await self._wait_for_results(ended_at_ms)
                self._check_last_period(last_period_at_ms, ended_at_ms)
                group.cancel_scope.cancel()
        finally:
            self._site.close()
        return SoakReport(
            seed=self._settings.seed,
            faults=tuple(self._faults),
            outcomes=dict(collections.Counter(r.outcome.value for r in self._list_results())),
            violations=tuple(self._site.guarantees.violations),
        )

    async def _wait_until_ready(self) -> None:
        with anyio.move_on_after(START_TIMEOUT_MS / _MS_PER_S) as scope:
            while not all(map(self._site.router.is_ready, self._site.instances)):
                await anyio.sleep(0.05)
        if scope.cancelled_caught:
            self._site.guarantees.report_violation(
                "start", self._clock.now_ms(), "not all instances became ready"
            )

    async def _inject_faults(self) -> None:
        """Begins faults at random moments and waits until all have ended."""
        end_ms = self._clock.now_ms() + self._settings.fault_ms
        faults = list_faults()
        async with anyio.create_task_group() as group:
            while self._clock.now_ms() < end_ms:
                name = self._rng.choice(sorted(faults))
                self._faults.append(name)
                rng = random.Random(self._rng.getrandbits(32))
                group.start_soon(self._run_fault, name, faults[name], rng)
                await anyio.sleep(self._rng.expovariate(FAULTS_PER_S))

    async def _run_fault(self, name: str, fault: Fault, rng: random.Random) -> None:
        number = len(self._faults)
        self._site.run_log.write(f"fault {number} {name} begins")
        await fault(self._site, rng)
        self._site.run_log.write(f"fault {number} {name} ended")

    async def _send_requests(self, group: anyio.abc.TaskGroup) -> None:
        rng = random.Random(self._settings.seed + _REQUEST_SEED_OFFSET)
        while True:
            caller = self._site.callers[rng.randrange(len(DATA_CENTRES))]
            route = self._choose_route(rng)
            if rng.random() < KEPT_FLOW_SHARE:
                group.start_soon(caller.keep_flow, route, KEPT_FLOW_REQUESTS)
            else:
                group.start_soon(caller.send_request, route)
            await anyio.sleep(rng.expovariate(REQUESTS_PER_S))

    def _choose_route(self, rng: random.Random) -> object:
        routes = self._site.configuration.routes
        fixed, extra = routes[:FIXED_ROUTES], routes[FIXED_ROUTES:]
        if extra and rng.random() < EXTRA_ROUTE_SHARE:
            return rng.choice(extra)
        return rng.choice(fixed)

    async def _wait_for_results(self, ended_at_ms: int) -> None:
        """Waits until requests sent before a time have ended."""
        longest_ms = max(route.timeout_ms for route in self._site.configuration.routes)
        await anyio.sleep((ended_at_ms + longest_ms - self._clock.now_ms()) / _MS_PER_S)

    def _check_last_period(self, begin_ms: int, end_ms: int) -> None:
        """Checks that every request of the last period was served."""
        sent = [r for r in self._list_results() if begin_ms <= r.sent_at_ms < end_ms]
        failed = [found for found in sent if found.outcome is not Outcome.SERVED]
        for found in failed:
            detail = f"{found.request_id} ended as {found.outcome.value}"
            self._site.guarantees.report_violation("recovery", found.sent_at_ms, detail)
        if not sent:
            self._site.guarantees.report_violation("recovery", end_ms, "no request ended")

    def _list_results(self) -> list[RequestResult]:
        return [result for caller in self._site.callers for result in caller.results]
