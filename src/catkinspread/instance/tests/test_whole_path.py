"""Runs callers, fabric, instances and upstreams on loopback."""

import anyio

from catkinspread.clock import SystemClock
from catkinspread.configuration import (
    ChangeEntry,
    DataCentreSet,
    ServiceSet,
    SlotMove,
    SlotsMoved,
    UpstreamSet,
    encode_entry,
)
from catkinspread.emulator import (
    CallerLoad,
    CallerReport,
    Fabric,
    FabricFaults,
    UpstreamModel,
    UpstreamOptions,
    run_callers,
    run_fabric,
    run_upstream,
)
from catkinspread.emulator.examples import make_key_pair
from catkinspread.instance import Instance
from catkinspread.model import SLOT_COUNT, DataCentre, Endpoint, OwnerGroup, Service, Upstream
from catkinspread.objectstore import AppendLog, MemoryObjectStore
from catkinspread.operations import AccessList
from catkinspread.settings import InstanceSettings, KeySettings, PeerSeed
from catkinspread.sockets import find_free_ports


class NoDirectory:
    """Stands in for a platform without a list of instances."""

    async def register(self, record):
        pass

    async def remove(self, instance):
        pass

    async def list_instances(self):
        return []


def reserve_endpoints(count):
    return [Endpoint("127.0.0.1", port) for port in find_free_ports(count)]


def build_settings(name, inner, endpoints, seeds, keys):
    return InstanceSettings(
        name,
        "khomas-1",
        "khomas",
        endpoints[0],
        inner,
        *endpoints[1:],
        drain_timeout_ms=1_000,
        flows_max=1_000,
        platform_url="http://127.0.0.1:1",
        platform_timeout_ms=1_000,
        seeds=seeds,
        keys=keys,
    )


def test_flows_and_requests_pass_through_any_instance():
    """Guards against a path that works only when one instance sees all packets of a flow."""

    async def scenario():
        clock = SystemClock()
        server, client = make_key_pair(), make_key_pair()
        keys = KeySettings(
            server.public, server.secret, client.public, client.secret, (client.public,)
        )
        service, inner, *rest = reserve_endpoints(2 + 2 + 3 * 5)
        store = MemoryObjectStore()
        upstreams = [
            Upstream(f"rd-{index}", "recipe-desk", "khomas-1", rest[index], warmup_ms=1)
            for index in (0, 1)
        ]
        moves = tuple(
            SlotMove(upstream.name, tuple(range(index, SLOT_COUNT, 2)))
            for index, upstream in enumerate(upstreams)
        )
        effects = (
            DataCentreSet(DataCentre("khomas-1", "khomas")),
            ServiceSet(Service("recipe-desk", service)),
            *(UpstreamSet(upstream) for upstream in upstreams),
            SlotsMoved("recipe-desk", moves, OwnerGroup(())),
        )
        change = ChangeEntry("first", "operator", "", "", clock.now_ms(), 0, effects)
        await AppendLog(store, "configuration/log").append(1, "first", encode_entry(change))
        models = [UpstreamModel(UpstreamOptions(warmup_ms=0), clock.now_ms()) for _ in upstreams]
        fabric = Fabric(FabricFaults(duplication=0.1, delay_max_ms=5), seed=1)
        report = CallerReport()
        async with anyio.create_task_group() as group:
            for upstream, model in zip(upstreams, models, strict=True):
                await group.start(run_upstream, upstream.endpoint, model, clock)
            await group.start(run_fabric, fabric, [service], inner)
            addresses = [rest[2 + 5 * index : 7 + 5 * index] for index in range(3)]
            seeds = tuple(PeerSeed(f"i{index}", addresses[index][2]) for index in range(3))
            for index, endpoints in enumerate(addresses):
                settings = build_settings(f"i{index}", inner, endpoints, seeds, keys)
                instance = Instance(
                    settings, store, NoDirectory(), AccessList({}), clock, seed=index
                )
                await group.start(instance.run)
                fabric.instances[f"i{index}"] = endpoints[0]
            load = CallerLoad(service, "press", flows=20, packets_per_flow=5, interval_ms=5)
            await run_callers(load, clock, report)
            group.cancel_scope.cancel()
        return report, models

    report, models = anyio.run(scenario)
    assert (report.opened, report.broken, report.wrong) == (20, 0, 0)
    assert report.answered > 0
    assert sum(model.unknown_flow_packets for model in models) == 0
    assert all(model.runs or model.opened_at_ms for model in models)
