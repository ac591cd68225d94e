"""One deployment of a run: instances, stand-ins and the changes of its operator."""

import pathlib
import random

import anyio
import anyio.abc

from catkinspread.clock import Clock
from catkinspread.deployment import (
    RequestKind,
    Route,
    RoutingConfiguration,
    ServiceAddress,
    ServiceLimits,
    ServiceShare,
    StateKind,
    UpstreamRecord,
)
from catkinspread.platform.stand_ins import (
    StoreMode,
    StoreStandIn,
    encode_configuration,
    encode_upstream,
    encode_upstream_name,
)
from catkinspread.soak.callers import CallerHost
from catkinspread.soak.disturbances import DisturbanceTracker
from catkinspread.soak.guarantees import STABLE_MS, GuaranteeChecker
from catkinspread.soak.layout import Layout, to_number
from catkinspread.soak.processes import HEARTBEAT_MS, InstanceProcess
from catkinspread.soak.proxy import FaultProxy
from catkinspread.soak.router import Router
from catkinspread.soak.run_log import RunLog
from catkinspread.soak.upstreams import FlowRegister, SoakUpstream, UpstreamHost

DATA_CENTRES = ("east", "north", "west")
SERVICES = ("pages", "plates")
INSTANCES_PER_DATA_CENTRE = 3
UPSTREAMS_PER_SERVICE = 6
COLD_RATE_PER_S = 4.0
FIXED_ROUTES = 3
REQUEST_TIMEOUT_MS = 2_500
_SUPERVISE_INTERVAL_MS = 100
_MS_PER_S = 1_000


class Site:
    """Everything of one run.

    Args:
        layout: Addresses.
        directory: Takes settings and log files.
        clock: Source of the time.
        rng: Source of random choices.

    Attributes:
        callers: Callers by data centre.
        clock: Source of the time.
        configuration: Configuration in force.
        disturbances: Which parts are disturbed.
        guarantees: Checks what callers and upstreams see.
        hosts: Hosts of upstreams.
        instances: All instances.
        proxies: Proxies in front of the store, by instance.
        router: Spreads the packets of callers.
        run_log: Log of the run.
        store: The store.
        store_modes: Modes that faults keep the store in, the latest one last.
    """

    __slots__ = (
        "_evacuated_since_ms",
        "_group",
        "_layout",
        "_next_key",
        "_rng",
        "callers",
        "clock",
        "configuration",
        "disturbances",
        "guarantees",
        "hosts",
        "instances",
        "proxies",
        "router",
        "run_log",
        "store",
        "store_modes",
    )

    def __init__(
        self, layout: Layout, directory: pathlib.Path, clock: Clock, rng: random.Random
    ) -> None:
        self._layout = layout
        self._rng = rng
        self._group: anyio.abc.TaskGroup | None = None
        self._evacuated_since_ms: dict[str, int | None] = {}
        self._next_key = 1
        self.clock = clock
        self.disturbances = DisturbanceTracker(STABLE_MS)
        self.guarantees = GuaranteeChecker(self.disturbances, clock.now_ms())
        self.run_log = RunLog(directory / "run.log")
        self.store = StoreStandIn()
        self.store_modes: list[StoreMode] = []
        self.instances = [
            InstanceProcess(
                layout,
                number,
                DATA_CENTRES[number // INSTANCES_PER_DATA_CENTRE],
                directory,
                self.run_log,
            )
            for number in range(len(DATA_CENTRES) * INSTANCES_PER_DATA_CENTRE)
        ]
        self.proxies = [
            FaultProxy(layout.store_proxy(instance.number), layout.store)
            for instance in self.instances
        ]
        self.router = Router(self.instances)
        register = FlowRegister()
        self.hosts = [self._build_host(number, register) for number in range(self._count_hosts())]
        self.callers = [
            CallerHost(
                data_centre,
                layout.caller_host(number),
                self.router,
                register,
                self.guarantees,
                clock,
                rng,
            )
            for number, data_centre in enumerate(DATA_CENTRES)
        ]
        self.configuration = RoutingConfiguration(0, (), (), 0)

    def _count_hosts(self) -> int:
        return len(SERVICES) * UPSTREAMS_PER_SERVICE

    def _build_host(self, number: int, register: FlowRegister) -> UpstreamHost:
        by_host = {instance.host: instance for instance in self.instances}
        by_name = {instance.name: instance for instance in self.instances}
        return UpstreamHost(
            self._layout.upstream_host(number),
            self.guarantees,
            register,
            lambda host: by_host[host].name,
            lambda name: by_name[name].incarnation,
            self.clock,
        )

    async def start(self, group: anyio.abc.TaskGroup) -> None:
        """Starts the stand-ins and then all instances."""
        self._group = group
        await group.start(self.store.run, self._layout.store)
        for part in (*self.proxies, *self.hosts, *self.callers):
            await group.start(part.run)
        self.put_routes({})
        for number, host in enumerate(self.hosts):
            self.start_upstream(host, SERVICES[number % 2], DATA_CENTRES[number // 2 % 3])
        for instance in self.instances:
            instance.start(is_first_start=True)
        group.start_soon(self.router.run)
        group.start_soon(self._supervise)
        group.start_soon(self._report_upstreams)

    def close(self) -> None:
        """Ends all processes."""
        for instance in self.instances:
            instance.close()

    def put_routes(self, extra: dict[int, dict[str, float]]) -> None:
        """Puts a configuration into the store.

        Args:
            extra: Weights by service of each route beside the fixed ones, by number.
        """
        weights = {number: {SERVICES[number % 2]: 1.0} for number in range(FIXED_ROUTES)}
        weights.update(extra)
        kinds = (RequestKind.IDEMPOTENT, RequestKind.DOWNLOAD, RequestKind.NON_IDEMPOTENT)
        routes = tuple(
            Route(
                name=f"route-{number}",
                address=ServiceAddress(to_number(f"198.18.0.{number + 1}"), 443),
                shares=tuple(ServiceShare(name, weight) for name, weight in shares.items()),
                kind=kinds[number % len(kinds)],
                timeout_ms=REQUEST_TIMEOUT_MS,
                priority=number % 3,
            )
            for number, shares in sorted(weights.items())
        )
        limits = tuple(ServiceLimits(name, COLD_RATE_PER_S, 2_000) for name in SERVICES)
        version = self.configuration.version + self._rng.randint(1, 5)
        self.configuration = RoutingConfiguration(version, routes, limits, 15_000)
        self.store.put_configuration(encode_configuration(self.configuration))
        self.guarantees.put_configuration(self.configuration, self.clock.now_ms())

    def start_upstream(
        self, host: UpstreamHost, service: str, data_centre: str, cold_ms: int = 0, key: int = 0
    ) -> SoakUpstream:
        """Starts an upstream on a host and lets it report.

        Args:
            host: Where it runs.
            service: What it serves.
            data_centre: Where the host is.
            cold_ms: How long it is cold.
            key: Key of an earlier upstream that starts again; 0 for a new one.
        """
        if not key:
            key = self._rng.getrandbits(60) << 4 | self._next_key % 16
            self._next_key += 1
        now_ms = self.clock.now_ms()
        record = UpstreamRecord(
            name=encode_upstream_name(key),
            key=key,
            service=service,
            data_centre=data_centre,
            host=host.endpoint.host,
            port=host.endpoint.port,
            work_slots=2,
            is_draining=False,
            cold_remaining_ms=cold_ms,
            born_ms=now_ms,
        )
        upstream = SoakUpstream(record, COLD_RATE_PER_S, host)
        upstream.cold_until_ms = now_ms + cold_ms
        upstream.evacuated_since_ms = self._evacuated_since_ms.get(data_centre)
        host.upstream = upstream
        self.report(upstream)
        return upstream

    def report(self, upstream: SoakUpstream) -> None:
        """Writes the entry of an upstream."""
        upstream.update(report_number=upstream.record.report_number + 1)
        self.store.put(StateKind.UPSTREAMS, upstream.record.name, encode_upstream(upstream.record))

    def remove_entry(self, upstream: SoakUpstream) -> None:
        """Removes the entry of an upstream."""
        self.store.remove(StateKind.UPSTREAMS, upstream.record.name)

    def write_again(self) -> None:
        """Writes what a restored store may lack, as the operator and the upstreams do."""
        self.store.put_configuration(encode_configuration(self.configuration))
        for upstream in self.list_upstreams():
            self.report(upstream)
        for data_centre, since_ms in self._evacuated_since_ms.items():
            self._write_evacuation(data_centre, since_ms is not None)

    def remove_stale_entries(self) -> None:
        """Removes entries of upstreams that do not run, as the store does when they are silent."""
        running = {upstream.record.name for upstream in self.list_upstreams()}
        for name in self.store.list_names(StateKind.UPSTREAMS):
            if name not in running:
                self.store.remove(StateKind.UPSTREAMS, name)

    def put_foreign_entry(self, name: str, spec: object) -> None:
        """Writes an entry that names no upstream."""
        self.store.put(StateKind.UPSTREAMS, name, spec)

    def set_evacuated(self, data_centre: str, is_evacuated: bool) -> None:
        """Takes a data centre out or back."""
        self._write_evacuation(data_centre, is_evacuated)
        since_ms = self.clock.now_ms() if is_evacuated else None
        self._evacuated_since_ms[data_centre] = since_ms
        for upstream in self.list_upstreams():
            if upstream.record.data_centre == data_centre:
                upstream.evacuated_since_ms = since_ms

    def _write_evacuation(self, data_centre: str, is_evacuated: bool) -> None:
        if is_evacuated:
            self.store.put(StateKind.EVACUATIONS, data_centre, {})
        else:
            self.store.remove(StateKind.EVACUATIONS, data_centre)

    def list_upstreams(self) -> list[SoakUpstream]:
        """Returns the upstreams that run."""
        return [host.upstream for host in self.hosts if host.upstream is not None]

    async def _supervise(self) -> None:
        """Reports processes that ended by themselves, once for each process."""
        seen: set[tuple[str, int]] = set()
        while True:
            for instance in self.instances:
                fault = instance.find_fault()
                if fault and (instance.name, instance.incarnation) not in seen:
                    seen.add((instance.name, instance.incarnation))
                    detail = f"{instance.name} {fault}"
                    self.guarantees.report_violation("process", self.clock.now_ms(), detail)
            await anyio.sleep(_SUPERVISE_INTERVAL_MS / _MS_PER_S)

    async def _report_upstreams(self) -> None:
        """Lets cold upstreams report that they are warm."""
        while True:
            await anyio.sleep(HEARTBEAT_MS / _MS_PER_S)
            now_ms = self.clock.now_ms()
            for upstream in self.list_upstreams():
                remaining_ms = max(0, upstream.cold_until_ms - now_ms)
                if upstream.record.cold_remaining_ms != remaining_ms:
                    upstream.update(cold_remaining_ms=remaining_ms)
                    self.report(upstream)
