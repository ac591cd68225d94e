"""Bench `rolling-restart`: every instance of a deployment is replaced under load.

It runs a whole deployment in one process on loopback with real sockets, so two runs with one seed
differ in their times. The naive version is the same deployment whose instances are killed and
started again instead of shut down.
"""

import anyio
import msgspec

from catkinspread.bench.registry import BenchReport, Bound, register_bench
from catkinspread.demo import Site
from catkinspread.emulator import CallerLoad, CallerReport, UpstreamOptions, run_callers
from catkinspread.emulator.deployments import KALAHARI, AddressPlan, Deployment

_BASE_PORT = 28_000
_FLOWS = 20
_INTERVAL_MS = 250
_DRAINED_INDEX = 2
_WARM_WAIT_S = 6.0
_KILL_NOTICE_S = 0.5


class _Outcome(msgspec.Struct, frozen=True):
    report: CallerReport
    longest_stop_ms: int
    unknown_flow_packets: int


@register_bench("rolling-restart")
def measure_rolling_restart(seed: int) -> BenchReport:
    """Restarts all instances one after another while a drain is under way."""
    graceful = anyio.run(_run, KALAHARI, _BASE_PORT, seed, True)
    killed = anyio.run(_run, KALAHARI, _BASE_PORT + 400, seed, False)
    figures = _list_figures(graceful)
    bounds = (
        Bound("broken_flows", 0, figures["broken_flows"]),
        Bound("wrong_answer_count", 0, figures["wrong_answer_count"]),
        Bound("unanswered_requests", 0, figures["unanswered_requests"]),
        Bound("requests_with_unknown_outcome", 0, figures["requests_with_unknown_outcome"]),
        Bound("unknown_flow_packets", 0, figures["unknown_flow_packets"]),
    )
    return BenchReport("rolling-restart", seed, figures, _list_figures(killed), bounds)


def _list_figures(outcome: _Outcome) -> dict[str, float]:
    report = outcome.report
    return {
        "flows": report.opened,
        "broken_flows": report.broken,
        "wrong_answer_count": report.wrong,
        "unanswered_requests": report.unanswered,
        "requests_with_unknown_outcome": report.unknown,
        "requests_answered": report.answered,
        "longest_silence_ms": report.longest_silence_ms,
        "longest_stop_ms": outcome.longest_stop_ms,
        "unknown_flow_packets": outcome.unknown_flow_packets,
    }


async def _run(deployment: Deployment, base_port: int, seed: int, is_graceful: bool) -> _Outcome:
    site = Site(deployment, AddressPlan(base_port), seed)
    report = CallerReport()
    longest_stop_ms = 0
    async with anyio.create_task_group() as group:
        await group.start(site.run)
        await _create(site)
        async with anyio.create_task_group() as callers:
            callers.start_soon(_load, site, seed, report)
            await anyio.sleep(1.0)
            await site.state(f"drain upstream recipe-{_DRAINED_INDEX + 1}")
            for index, (name, _) in enumerate(site.deployment.list_instances()):
                started_ms = site.clock.now_ms()
                await _replace(site, index, name, is_graceful)
                longest_stop_ms = max(longest_stop_ms, site.clock.now_ms() - started_ms)
        unknown = sum(model.unknown_flow_packets for model in site.upstreams.values())
        group.cancel_scope.cancel()
    return _Outcome(report, longest_stop_ms, unknown)


async def _replace(site: Site, index: int, name: str, is_graceful: bool) -> None:
    if is_graceful:
        await site.stop_instance(name)
    else:
        site.kill_instance(name)
        await anyio.sleep(_KILL_NOTICE_S)
        site.fabric.instances.pop(name, None)
    await site.start_instance(index)


async def _load(site: Site, seed: int, report: CallerReport) -> None:
    load = CallerLoad(
        site.plan.service(0),
        "press",
        _FLOWS,
        packets_per_flow=100,
        interval_ms=_INTERVAL_MS,
        order_share=0.05,
        page_share=0.2,
        seed=seed,
    )
    await run_callers(load, site.clock, report)


async def _create(site: Site) -> None:
    for data_centre in site.deployment.data_centres:
        await site.state(f"create data-centre {data_centre} region {site.deployment.region}")
    service = site.deployment.services[0]
    await site.state(f"create service {service.name} at {site.plan.service(0)}")
    for index in range(service.upstream_count):
        await site.add_upstream(0, index, UpstreamOptions(warmup_ms=0))
    await anyio.sleep(_WARM_WAIT_S)
