"""All processes of a deployment as tasks of one process."""

import functools

import anyio
import anyio.abc
import msgspec

from catkinspread.clock import SystemClock
from catkinspread.demo.misrouted import explain_misrouted_packet
from catkinspread.emulator import (
    Fabric,
    FabricFaults,
    UnknownFlowPacket,
    UpstreamModel,
    UpstreamOptions,
    run_fabric,
    run_upstream,
)
from catkinspread.emulator.deployments import AddressPlan, Deployment
from catkinspread.emulator.examples import KeyPair, make_key_pair
from catkinspread.emulator.platform_api import PlatformSettings
from catkinspread.emulator.platform_server import run_platform
from catkinspread.instance import Instance
from catkinspread.model import Endpoint
from catkinspread.objectstore import HttpInstanceRegistry, HttpObjectStore, MemoryObjectStore
from catkinspread.operations import (
    OPERATOR_ROLE,
    AccessList,
    Grant,
    OperationsService,
    Reply,
    hash_token,
    render_error,
)
from catkinspread.settings import InstanceSettings, KeySettings, PeerSeed

TOKEN = "demo"
# The stand-in upstreams warm up within the demo; a real one takes longer.
WARMUP_MS = 3_000
COLD_RATE_PER_S = 20
WARM_RATE_PER_S = 400
_EXPLANATIONS_MAX = 20


class StatementRefused(Exception):
    """A statement that the demo needs was refused."""


class _Running(msgspec.Struct):
    instance: Instance
    scope: anyio.CancelScope
    ended: anyio.Event


class Site:
    """A deployment with its platform, fabric and upstreams on loopback.

    Attributes:
        clock: Time of all parts.
        deployment: The deployment.
        plan: Its addresses.
        store: Objects and faults of the platform.
        fabric: The fabric and its faults.
        upstreams: Stand-in of each upstream by name.
        instances: Running instances by name.
        misrouted: Explanations of packets at upstreams that do not hold their flow.
    """

    __slots__ = (
        "_access",
        "_directory",
        "_group",
        "_keys",
        "_objects",
        "_operations",
        "_running",
        "clock",
        "deployment",
        "fabric",
        "misrouted",
        "plan",
        "store",
        "upstreams",
    )

    def __init__(self, deployment: Deployment, plan: AddressPlan, seed: int) -> None:
        self.clock = SystemClock()
        self.deployment = deployment
        self.plan = plan
        self.store = MemoryObjectStore()
        self.fabric = Fabric(FabricFaults(loss=0.001, duplication=0.01, delay_max_ms=3), seed)
        self.upstreams: dict[str, UpstreamModel] = {}
        self.misrouted: list[str] = []
        self._running: dict[str, _Running] = {}
        self._keys = _make_keys(make_key_pair(), make_key_pair())
        team = deployment.services[0].team
        grant = Grant("demo", team, frozenset({OPERATOR_ROLE}))
        self._access = AccessList({hash_token(TOKEN): grant})
        self._group: anyio.abc.TaskGroup | None = None

    @property
    def instances(self) -> dict[str, Instance]:
        """Running instances by name."""
        return {name: running.instance for name, running in self._running.items()}

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Starts platform, fabric and instances, and serves until cancelled."""
        url = f"http://{self.plan.platform}"
        async with (
            HttpObjectStore(url) as self._objects,
            HttpInstanceRegistry(url) as self._directory,
            anyio.create_task_group() as self._group,
        ):
            platform = self.plan.platform
            settings = PlatformSettings()
            await self._group.start(self._run_platform, platform, settings)
            services = [self.plan.service(index) for index in range(len(self.deployment.services))]
            await self._group.start(run_fabric, self.fabric, services, self.plan.fabric_return)
            for index in range(len(self.deployment.list_instances())):
                await self.start_instance(index)
            fleet = next(iter(self.instances.values())).fleet
            self._operations = OperationsService(self._objects, self._access, fleet, self.clock)
            task_status.started()

    async def state(self, statement: str) -> Reply:
        """Executes a statement and returns the reply.

        Raises:
            StatementRefused: If it is refused.
        """
        result = await self._operations.execute(TOKEN, statement)
        if result.is_error():
            raise StatementRefused(render_error(result.error))
        return result.ok

    async def add_upstream(self, service_index: int, index: int, options: UpstreamOptions) -> Reply:
        """Starts a stand-in upstream, adds it to its service and returns the reply."""
        service = self.deployment.services[service_index]
        name = f"{service.upstream_prefix}-{index + 1}"
        data_centre = self.deployment.data_centres[index % len(self.deployment.data_centres)]
        endpoint = self.plan.upstream(service_index, index)
        model = UpstreamModel(options, self.clock.now_ms())
        self.watch_upstream(name, model)
        await self._group.start(run_upstream, endpoint, model, self.clock)
        return await self.state(
            f"add upstream {name} to {service.name} in {data_centre} at {endpoint}"
            f" cold-rate {COLD_RATE_PER_S} warm-rate {WARM_RATE_PER_S} warmup-ms {WARMUP_MS}"
        )

    async def start_instance(self, index: int) -> str:
        """Starts the instance of an index and returns its name once the fabric knows it."""
        name, data_centre = self.deployment.list_instances()[index]
        settings = self._build_settings(index, name, data_centre)
        instance = Instance(settings, self._objects, self._directory, self._access, self.clock)
        await self._group.start(self._run_instance, name, instance)
        self.fabric.instances[name] = settings.fabric_address
        return name

    def watch_upstream(self, name: str, model: UpstreamModel) -> None:
        """Adds a stand-in upstream to those whose packets are judged."""
        model.on_unknown_flow = functools.partial(self._explain_misrouted, name)
        self.upstreams[name] = model

    def find_instance(self, sender: Endpoint) -> str:
        """Returns the name of the instance that sends to upstreams from an address."""
        names = [name for name, _ in self.deployment.list_instances()]
        for index, name in enumerate(names):
            if sender == self.plan.instance(index)[1]:
                return name
        return f"unknown sender {sender}"

    def _explain_misrouted(self, upstream: str, packet: UnknownFlowPacket) -> None:
        if len(self.misrouted) < _EXPLANATIONS_MAX:
            self.misrouted.append(explain_misrouted_packet(self, upstream, packet))

    def kill_instance(self, name: str) -> None:
        """Ends an instance at once; the fabric goes on sending to it for a while."""
        self._running.pop(name).scope.cancel()

    async def stop_instance(self, name: str) -> None:
        """Shuts an instance down gracefully and returns when it has ended."""
        running = self._running[name]
        running.instance.leave()
        # The fabric follows the list of the platform, which says that the instance leaves.
        self.fabric.instances.pop(name, None)
        await running.ended.wait()
        self._running.pop(name, None)

    async def wait_for_version(self, version: int, timeout_ms: int) -> int:
        """Waits until all running instances have a version; returns the time it took in ms."""
        started_ms = self.clock.now_ms()
        while self.clock.now_ms() - started_ms < timeout_ms:
            versions = [
                instance.core.state.configuration.version for instance in self.instances.values()
            ]
            if min(versions) >= version:
                break
            await anyio.sleep(0.01)
        return self.clock.now_ms() - started_ms

    async def _run_platform(
        self, endpoint: Endpoint, settings: PlatformSettings, *, task_status
    ) -> None:
        await run_platform(
            endpoint.host, endpoint.port, settings, store=self.store, task_status=task_status
        )

    async def _run_instance(
        self, name: str, instance: Instance, *, task_status: anyio.abc.TaskStatus[None]
    ) -> None:
        with anyio.CancelScope() as scope:
            running = _Running(instance, scope, anyio.Event())
            self._running[name] = running
            await instance.run(task_status=task_status)
        running.ended.set()

    def _build_settings(self, index: int, name: str, data_centre: str) -> InstanceSettings:
        fabric, upstream, peer, admin, metrics = self.plan.instance(index)
        seeds = tuple(
            PeerSeed(other, self.plan.instance(other_index)[2])
            for other_index, (other, _) in enumerate(self.deployment.list_instances())
            if other_index != index
        )
        return InstanceSettings(
            name=name,
            data_centre=data_centre,
            region=self.deployment.region,
            fabric_address=fabric,
            fabric_return_address=self.plan.fabric_return,
            upstream_address=upstream,
            peer_address=peer,
            admin_address=admin,
            metrics_address=metrics,
            drain_timeout_ms=10_000,
            flows_max=100_000,
            platform_url=f"http://{self.plan.platform}",
            platform_timeout_ms=2_000,
            seeds=seeds,
            keys=self._keys,
        )


def _make_keys(server: KeyPair, client: KeyPair) -> KeySettings:
    return KeySettings(
        server_public=server.public,
        server_secret=server.secret,
        client_public=client.public,
        client_secret=client.secret,
        accepted_public=(client.public,),
    )
