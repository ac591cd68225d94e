"""A small deployment: the parts of a case and what its checks need."""

import asyncio
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable

from standins.clients import Client, Router
from standins.instances import ROOT, Instance
from standins.record import Record
from standins.store import Store
from standins.targets import HEARTBEAT_S, Target

HELD, BROKEN, NOT_RUN = 0, 1, 2
# Bounds of the users' small deployments.
DRAIN_S = 3.0
CONFIG_APPLY_S = 3.0
EVACUATE_S = 5.0
STABLE_WINDOW_S = 4.0
GRACE_S = 6
FLOW_MAX_S = 60
COLD_S = 2.0
_METRICS_PORT = 9_464
# Last numbers of addresses at which no machine is.
_LEFT = (201, 202, 203)
_READY_WITHIN_S = 20.0
ROUTE_HOST = "198.18.0.1"


class CannotRun(Exception):
    """The case could not be set up."""


class Site:
    """Zones with instances, services with targets, one client address a zone.

    Args:
        directory: Folder of the case; takes record.txt.
        zones: Number of instances by zone.
        deadline_s: Deadline of requests.
        spare: Number of instances by zone that `add_instances` may add.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        zones: dict[str, int],
        deadline_s: float = 2.0,
        spare: dict[str, int] | None = None,
    ) -> None:
        if not (ROOT / "target/app").is_dir():
            raise CannotRun("target/app is missing: run the build of the deploy file")
        self.record = Record(directory / "record.txt")
        self.zones = zones
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self._rng = random.Random()
        spare = spare or {}
        self._subnet, self._ports = self._find_free_ports(sum(zones.values()) + sum(spare.values()))
        self.instances = self._build_instances(zones, 0)
        self._spare_instances = self._build_instances(spare, len(self.instances))
        self.router = Router(self.instances, self.record)
        self.clients = {
            zone: Client(
                zone,
                self._host(1, number + 1),
                self._ports["packets"],
                self.router,
                self.record,
                deadline_s,
            )
            for number, zone in enumerate(zones)
        }
        self.targets: list[Target] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._version = 0

    def _host(self, group: int, number: int) -> str:
        return f"127.{self._subnet}.{group}.{number}"

    def _find_free_ports(self, instance_count: int) -> tuple[int, dict[str, int]]:
        for _ in range(50):
            self._subnet = self._rng.randint(10, 250)
            first = self._rng.randint(20_000, 30_000)
            names = ("packets", "ready", "control", "peers", "store", "targets")
            ports = {name: first + number for number, name in enumerate(names)}
            hosts = [self._host(2, number + 1) for number in range(instance_count)]
            if all(
                _is_free(host, port) for host in hosts for port in (*ports.values(), _METRICS_PORT)
            ):
                return self._subnet, ports
        raise CannotRun("no free ports")

    def _build_instances(self, zones: dict[str, int], first: int) -> list[Instance]:
        ports = self._ports
        # One seed in each of the first three zones.
        firsts = [sum(list(self.zones.values())[:n]) + 1 for n in range(min(3, len(self.zones)))]
        seeds = [f"{self._host(2, number)}:{ports['control']}" for number in firsts]
        instances = []
        for zone, count in zones.items():
            for _ in range(count):
                number = first + len(instances) + 1
                host = self._host(2, number)
                fields: dict[str, object] = {
                    "node_name": f"edge-{zone}-{number}",
                    "zone": zone,
                    "listen": {
                        "datagram_addr": f"{host}:{ports['packets']}",
                        "ready": f"{host}:{ports['ready']}",
                        "control": f"{host}:{ports['control']}",
                    },
                    "internal_ports": [ports["peers"], ports["peers"]],
                    "seeds": seeds,
                    "bounds": {"grace_s": GRACE_S, "flow_max_s": FLOW_MAX_S},
                    "heartbeat_ms": round(HEARTBEAT_S * 1_000),
                    "platform": {"address": f"{self._host(4, number)}:{ports['store']}"},
                }
                instances.append(Instance(fields, self.temporary, self.record))
        return instances

    def add_instances(self, has_stale_seeds: bool) -> None:
        """Adds the spare instances.

        Args:
            has_stale_seeds: Whether their seeds are machines that have left.
        """
        for instance in self._spare_instances:
            if has_stale_seeds:
                control = self._ports["control"]
                instance.fields["seeds"] = [f"{self._host(2, n)}:{control}" for n in _LEFT]
            self.instances.append(instance)
            instance.start()
            self.run(instance.supervise())
        self._spare_instances = []

    async def start(
        self, services: dict[str, list[str]], routes: dict[str, int], cold_per_s: float = 0.0
    ) -> None:
        """Starts everything and waits until all instances are in rotation.

        Args:
            services: Zones of the targets of each service.
            routes: Port of the route of each service, at ROUTE_HOST.
            cold_per_s: What a cold target bears.
        """
        for number in range(len(self.instances) + len(self._spare_instances)):
            await self.store.listen(self._host(4, number + 1), self._ports["store"])
        self.put_configuration(routes, cold_per_s)
        for client in self.clients.values():
            await client.start()
        for instance in self.instances:
            instance.start(is_first=True)
            self.run(instance.supervise())
        for service, zones in services.items():
            for zone in zones:
                await self.add_target(service, zone)
        self.run(self.router.run())
        until_s = time.monotonic() + _READY_WITHIN_S
        while self.router.count_ready() < len(self.instances):
            if time.monotonic() >= until_s:
                raise CannotRun("the instances do not get ready")
            await asyncio.sleep(0.1)
        self.record.say(f"{len(self.instances)} instances are in rotation")

    def put_configuration(self, routes: dict[str, int], cold_per_s: float) -> None:
        """Writes a configuration as the operator does."""
        self._version += self._rng.randint(1, 4)
        spec = {
            "version": self._version,
            "routes": [
                {
                    "name": f"r-{service}",
                    "host": ROUTE_HOST,
                    "path_prefix": f"/{port}/",
                    "kind": "safe",
                    "timeout_ms": 1_500,
                    "aim_ms": 200,
                    "priority": 2,
                    "service": service,
                    "max_attempts": 2,
                }
                for service, port in routes.items()
            ],
            "services": [
                {
                    "name": service,
                    "health_path": "/health",
                    "max_flows": 2_000,
                    "cold_s": COLD_S,
                    "cold_per_s": cold_per_s,
                }
                for service in routes
            ],
            "limits": {"idle_timeout_ms": 15_000},
        }
        self.store.put("config", "main", spec)

    async def add_target(
        self, service: str, zone: str, cold_s: float = 0.0, name: str = ""
    ) -> Target:
        """Starts a target on an address of its own."""
        target = Target(
            name or f"i-{self._rng.getrandbits(40):010x}",
            service,
            zone,
            self._host(3, len(self.targets) + 1),
            self._ports["targets"],
            self._ports["packets"],
            self.store,
            self.record,
        )
        self.targets.append(target)
        await target.start(cold_s)
        return target

    def get_client_address(self, zone: str) -> tuple[str, int]:
        """Returns the address and port at which the clients of a zone are reached."""
        return self._host(1, list(self.zones).index(zone) + 1), self._ports["packets"]

    def run(self, work: Awaitable[None]) -> None:
        """Runs something until the case ends."""
        self._tasks.append(asyncio.ensure_future(work))  # type: ignore[arg-type]

    def send_requests(self, port: int, per_s: float) -> None:
        """Lets the clients of all zones send safe requests at a rate, summed over all zones."""
        for client in self.clients.values():
            rate = per_s / len(self.clients)
            self.run(client.send_regularly((ROUTE_HOST, port), rate, True))

    def count_outcomes(self, since_s: float, until_s: float) -> dict[str, int]:
        """Returns how many attempts that started in a span of time had which outcome."""
        counts: dict[str, int] = {}
        for client in self.clients.values():
            for attempt in client.attempts:
                if since_s <= attempt.started_at_s < until_s:
                    counts[attempt.outcome] = counts.get(attempt.outcome, 0) + 1
        return counts

    def find_late_at_draining(self) -> list[tuple[str, str, float]]:
        """Returns the requests that break DRAIN.

        Each has the client's end, the target, and how long after the store acknowledged that the
        target drains or is gone the opening packet arrived that the target took. Only requests
        count that were sent later than the bound, through machines which had run for
        STABLE_WINDOW_S.
        """
        attempts = {
            attempt.client: attempt
            for client in self.clients.values()
            for attempt in client.attempts
        }
        started = {instance.name: instance.started_at_s for instance in self.instances}
        late = []
        for target in self.targets:
            ends = [s for s in (target.drained_at_s, target.gone_at_s) if s is not None]
            if not ends:
                continue
            acknowledged_at_s = min(ends)
            for arrived_at_s, client in target.accepted:
                attempt = attempts.get(client)
                if attempt is None or attempt.started_at_s <= acknowledged_at_s + DRAIN_S:
                    continue
                in_touch = all(
                    attempt.started_at_s - started[name] >= STABLE_WINDOW_S
                    for name in attempt.instances
                )
                if in_touch:
                    late.append((client, target.name, arrived_at_s - acknowledged_at_s))
        return late

    def close(self) -> None:
        """Ends everything that was started."""
        for task in self._tasks:
            task.cancel()
        for instance in self.instances:
            instance.close()
        for target in self.targets:
            if target.left_at_s is None:
                target.close()
        for client in self.clients.values():
            client.close()
        self.store.close()
        self.record.close()
        shutil.rmtree(self.temporary, ignore_errors=True)


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


def main(play: Callable[[], Awaitable[int]]) -> None:
    """Runs a case and exits with its result; also SIGTERM ends all that it started."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        code = asyncio.run(play())  # type: ignore[arg-type]
    except (CannotRun, OSError, KeyboardInterrupt) as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = NOT_RUN
    sys.exit(code)
