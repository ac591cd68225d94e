"""A deployment on loopback for tests: whole instances between stand-ins for the platform."""

import json
import socket
from collections.abc import Awaitable, Callable

import anyio

from catkinspread.clock import SystemClock
from catkinspread.deployment import StateKind
from catkinspread.model import Endpoint
from catkinspread.platform.stand_ins import StoreStandIn
from catkinspread.platform.tests.stand_ins import CallerStandIn, UpstreamStandIn
from catkinspread.runtime import ForwardingInstance, ForwardingSettings
from catkinspread.sockets import find_free_ports, open_udp_socket

ADDRESS = Endpoint("198.18.0.1", 443)
CALLER = "127.0.0.2"
INSTANCES = ("127.0.0.10", "127.0.0.11")
UPSTREAMS = ("127.0.0.20", "127.0.0.21")
START_TIMEOUT_S = 5


class Lines:
    """Keeps the log lines of an instance."""

    def __init__(self) -> None:
        self.events: list[dict[str, object]] = []

    def write(self, line: bytes) -> bool:
        self.events.append(json.loads(line))
        return True

    def find(self, event: str) -> list[dict[str, object]]:
        return [found for found in self.events if found["event"] == event]


class Deployment:
    """Store, two upstreams, a caller and up to two instances."""

    def __init__(self, group: anyio.abc.TaskGroup) -> None:
        self._group = group
        # Drawn together, because ports drawn one by one may be equal until they are bound.
        self._packet_port, self.peer_port, self.metrics_port, *self._readiness_ports = (
            find_free_ports(3 + len(INSTANCES))
        )
        self.store = StoreStandIn()
        self.upstreams = [
            UpstreamStandIn(host, self._packet_port, self._packet_port) for host in UPSTREAMS
        ]
        self.caller = CallerStandIn(CALLER, self._packet_port, INSTANCES[0])
        self.lines = [Lines(), Lines()]
        self.instances: list[ForwardingInstance] = []
        self._store_endpoint = Endpoint("127.0.0.1", 1)

    async def start(self) -> None:
        """Starts everything but the instances."""
        self._store_endpoint = await self._group.start(self.store.run)
        for part in (*self.upstreams, self.caller):
            await self._group.start(part.run)
        self.store.put_configuration(self.build_configuration(1, "pages"))
        for number in range(len(self.upstreams)):
            self.put_upstream(number)

    def build_configuration(self, version: int, service: str) -> dict[str, object]:
        """Returns a configuration with one route."""
        route = {
            "name": "r1",
            "host": ADDRESS.host,
            "path_prefix": f"/{ADDRESS.port}/",
            "kind": "safe",
            "timeout_ms": 1_500,
            "priority": 1,
            "service": service,
        }
        return {
            "version": version,
            "routes": [route],
            "services": [{"name": service, "max_flows": 9, "cold_per_s": 0.0}],
            "limits": {"idle_timeout_ms": 15_000},
        }

    def put_upstream(self, number: int, state: str = "ready") -> None:
        """Lets an upstream report."""
        spec = {
            "service": "pages",
            "address": f"{UPSTREAMS[number]}:{self._packet_port}",
            "zone": "east",
            "version": "v1",
            "state": state,
            "slots": 2,
            "cold_left_ms": 0,
            "born": 1,
            "seq": 1,
        }
        self.store.put(StateKind.UPSTREAMS, f"i-{number}a", spec)

    def open_packet_socket(self, number: int) -> socket.socket:
        """Opens the packet socket of an instance, as the program does before it loads."""
        return open_udp_socket(Endpoint(INSTANCES[number], self._packet_port))

    async def start_instance(
        self,
        number: int,
        packet_socket: socket.socket | None = None,
        upstreams: int = 2,
        seeds: tuple[str, ...] = INSTANCES,
    ) -> None:
        """Starts an instance and waits until it knows the configuration and some upstreams."""
        host = INSTANCES[number]
        settings = ForwardingSettings(
            name=f"instance-{number}",
            data_centre="east",
            is_first_start=False,
            packet_address=Endpoint(host, self._packet_port),
            readiness_address=Endpoint(host, self._readiness_ports[number]),
            peer_port=self.peer_port,
            metrics_port=self.metrics_port,
            grace_ms=2_000,
            flow_lifetime_max_ms=60_000,
            seeds=tuple(Endpoint(seed, 1) for seed in seeds),
            source_address=self._store_endpoint,
            heartbeat_ms=1_000,
        )
        instance = ForwardingInstance(
            settings, lambda: settings, SystemClock(), self.lines[number], packet_socket
        )
        self.instances.append(instance)
        self._group.start_soon(instance.run)
        with anyio.fail_after(START_TIMEOUT_S):
            while len(self.lines[number].find("state_changed")) < 1 + upstreams:
                await anyio.sleep(0.02)
        await anyio.sleep(0.1)

    def count_opened(self, number: int) -> int:
        """Returns how many opening packets an upstream got."""
        return sum(1 for _, head, _ in self.upstreams[number].received if head[8] & 32)


def play(scenario: Callable[[Deployment], Awaitable[None]]) -> None:
    """Plays a scenario on a deployment with one instance."""

    async def run() -> None:
        async with anyio.create_task_group() as group:
            deployment = Deployment(group)
            await deployment.start()
            await deployment.start_instance(0)
            await scenario(deployment)
            group.cancel_scope.cancel()

    anyio.run(run)
