"""The course of the demo: planned changes and faults under load, then the table."""

import anyio
import msgspec

from catkinspread.demo.checks import Check, format_checks
from catkinspread.demo.findings import Findings, judge
from catkinspread.demo.site import Site, StatementRefused
from catkinspread.emulator import CallerLoad, CallerReport, UpstreamOptions, run_callers
from catkinspread.emulator.deployments import AddressPlan, Deployment
from catkinspread.hashing import hash_flow
from catkinspread.model import Endpoint
from catkinspread.operations import Reply, render_table

# Stated bound for draining, for a data centre out and for a configuration in force.
CHANGE_BOUND_MS = 5_000
_SETTLE_MS = 6_000
_OUTAGE_MS = 2_500


class _Report(msgspec.Struct):
    """What the callers of all loads saw."""

    long_flows: CallerReport
    plates: CallerReport
    new_flows: CallerReport
    outage: CallerReport


class _Demo:
    """Runs the steps in order and gathers what was seen."""

    __slots__ = ("_findings", "_report", "_site", "_started_ms")

    def __init__(self, site: Site) -> None:
        self._site = site
        self._started_ms = site.clock.now_ms()
        self._report = _Report(CallerReport(), CallerReport(), CallerReport(), CallerReport())
        self._findings = Findings()

    async def run(self) -> list[Check]:
        """Runs all steps."""
        await self._create()
        async with anyio.create_task_group() as group:
            group.start_soon(self._load, "press", 0, 40, 95, self._report.long_flows)
            group.start_soon(self._load, "plates", 1, 15, 95, self._report.plates)
            await anyio.sleep(2.0)
            await self._drain()
            await self._add_cold()
            await self._lose_platform()
            await self._lose_instances()
            await self._take_out()
            await self._race()
            self._say("waiting for the long flows to end")
        await self._ask()
        for explanation in self._site.misrouted:
            self._say(f"packet at an upstream without the flow:\n{_indent(explanation)}")
        reports = [getattr(self._report, name) for name in self._report.__struct_fields__]
        return judge(self._findings, reports, self._site)

    async def _create(self) -> None:
        site, deployment = self._site, self._site.deployment
        for data_centre in deployment.data_centres:
            await site.state(f"create data-centre {data_centre} region {deployment.region}")
        for service_index, service in enumerate(deployment.services):
            await site.state(
                f"create service {service.name} at {site.plan.service(service_index)}"
                f" priority {service.priority}"
            )
            for index in range(service.upstream_count):
                await site.add_upstream(service_index, index, UpstreamOptions(warmup_ms=0))
        self._say(f"{deployment.name}: 9 instances, 10 upstreams, waiting until they are warm")
        await anyio.sleep(_SETTLE_MS / 1000)

    async def _drain(self) -> None:
        site = self._site
        name = f"{site.deployment.services[0].upstream_prefix}-3"
        plan = await site.state(f"drain upstream {name} dry run")
        self._say(f"dry run of draining {name}:\n{_indent(render_table(plan))}")
        reply = await site.state(f'drain upstream {name} because "disk change"')
        drained_ms = site.clock.now_ms()
        await self._measure_in_force(reply)
        self._say(f"drained {name}, in force after {self._findings.in_force_ms[-1]} ms")
        self._findings.drained = name
        self._findings.drained_at_ms = drained_ms
        self._findings.kept_flows = set(site.upstreams[name].flows)

    async def _add_cold(self) -> None:
        site = self._site
        service = site.deployment.services[0]
        index = service.upstream_count
        options = UpstreamOptions(cold_factor=4.0, warmup_ms=3_000)
        reply = await site.add_upstream(0, index, options)
        self._findings.cold = f"{service.upstream_prefix}-{index + 1}"
        self._findings.cold_at_ms = site.clock.now_ms()
        await self._measure_in_force(reply)
        self._say(f"added {self._findings.cold}, which is cold")
        await self._load("new", 0, 40, 8, self._report.new_flows)

    async def _lose_platform(self) -> None:
        site = self._site
        site.store.faults.is_down = True
        self._say(f"platform is down for {_OUTAGE_MS} ms; two orders are sent")
        load = CallerLoad(site.plan.service(0), "outage", 2, 1, 10, order_share=1.0, timeout_ms=800)
        async with anyio.create_task_group() as group:
            group.start_soon(run_callers, load, site.clock, self._report.outage)
            await anyio.sleep(_OUTAGE_MS / 1000)
        site.store.faults.is_down = False

    async def _lose_instances(self) -> None:
        site = self._site
        names = [name for name, _ in site.deployment.list_instances()]
        site.kill_instance(names[1])
        self._say(f"killed {names[1]}; the fabric still sends packets to it for 1 s")
        await anyio.sleep(1.0)
        site.fabric.instances.pop(names[1])
        await site.start_instance(1)
        self._say(f"started {names[1]} again, empty; stopping {names[5]} gracefully")
        await site.stop_instance(names[5])
        await site.start_instance(5)

    async def _take_out(self) -> None:
        site = self._site
        data_centre = site.deployment.data_centres[1]
        reply = await site.state(f'take out data-centre {data_centre} because "power work"')
        taken_ms = site.clock.now_ms()
        await self._measure_in_force(reply)
        self._say(f"took out {data_centre}, waiting {CHANGE_BOUND_MS} ms")
        await anyio.sleep(CHANGE_BOUND_MS / 1000)
        inside = self._list_upstreams(data_centre)
        latest_ms = max(site.upstreams[name].last_packet_ms for name in inside)
        await anyio.sleep(1.0)
        self._findings.out_ms = max(0, latest_ms - taken_ms)
        self._findings.late_to_out = sum(
            site.upstreams[name].last_packet_ms > taken_ms + CHANGE_BOUND_MS for name in inside
        )
        reply = await site.state(f'bring back data-centre {data_centre} because "power is back"')
        await self._measure_in_force(reply)
        self._say(f"brought back {data_centre}")

    async def _race(self) -> None:
        site = self._site
        version = self._get_version()
        name = f"{site.deployment.services[1].upstream_prefix}-1"
        refused = ""

        async def change(weight: int) -> None:
            nonlocal refused
            try:
                await site.state(f"set weight of {name} to {weight} if version {version}")
            except StatementRefused as error:
                refused = str(error).strip()

        async with anyio.create_task_group() as group:
            group.start_soon(change, 90)
            group.start_soon(change, 110)
        self._findings.conflict = refused
        self._say(f"two operators raced; one was told:\n{_indent(refused)}")

    async def _ask(self) -> None:
        site = self._site
        service = site.deployment.services[0].name
        for caller_id, request_id in self._report.outage.refused_requests[:1]:
            self._say(f"query: show request {request_id} of {service} (caller {caller_id})")
            self._say(
                _indent(render_table(await site.state(f"show request {request_id} of {service}")))
            )
        for port in self._report.long_flows.ports:
            flow = hash_flow(service, "127.0.0.1", port)
            if flow in self._findings.kept_flows:
                caller = Endpoint("127.0.0.1", port)
                self._say(f"query: show flow {service} from {caller} (outlived the drain)")
                self._say(
                    _indent(render_table(await site.state(f"show flow {service} from {caller}")))
                )
                break

    async def _load(
        self, name: str, service_index: int, flows: int, packets: int, report: CallerReport
    ) -> None:
        load = CallerLoad(
            self._site.plan.service(service_index),
            name,
            flows,
            packets,
            interval_ms=250,
            order_share=0.05,
            page_share=0.2,
        )
        await run_callers(load, self._site.clock, report)

    async def _measure_in_force(self, reply: Reply) -> None:
        took_ms = await self._site.wait_for_version(reply.version, 2 * CHANGE_BOUND_MS)
        self._findings.in_force_ms.append(took_ms)

    def _get_version(self) -> int:
        return max(
            instance.core.state.configuration.version for instance in self._site.instances.values()
        )

    def _list_upstreams(self, data_centre: str) -> list[str]:
        configuration = next(iter(self._site.instances.values())).core.state.configuration
        return [
            upstream.name
            for upstream in configuration.upstreams.values()
            if upstream.data_centre == data_centre
        ]

    def _say(self, text: str) -> None:
        elapsed_s = (self._site.clock.now_ms() - self._started_ms) / 1000
        print(f"[{elapsed_s:5.1f} s] {text}", flush=True)


def _indent(text: str) -> str:
    return "\n".join(f"          {line}" for line in text.rstrip().splitlines())


async def run_demo(deployment: Deployment, base_port: int, seed: int) -> bool:
    """Runs the demo and prints its course and its table.

    Args:
        deployment: Which deployment.
        base_port: First loopback port; about 300 are used.
        seed: Seed of the fabric.

    Returns:
        Whether every guarantee held.
    """
    site = Site(deployment, AddressPlan(base_port), seed)
    async with anyio.create_task_group() as group:
        await group.start(site.run)
        checks = await _Demo(site).run()
        group.cancel_scope.cancel()
    print(format_checks(checks), flush=True)
    return all(check.is_kept for check in checks)
