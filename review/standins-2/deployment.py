"""A small deployment: the project's instances as processes, and stand-ins for all else."""

import asyncio
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib
import traceback
import zlib

from clients import Client
from store import Store, now
from targets import HEARTBEAT_S, Target

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
TIME_LIMIT_S = 110

# Bounds of the small deployments (SYSTEM.md).
STABLE_WINDOW_S = 4.0
GRACE_S = 6
FLOW_MAX_S = 60
DRAIN_S = 3.0
CONFIG_APPLY_S = 3.0
COLD_OVERAGE, COLD_SLACK = 1.5, 5

CATALOGUE = ("127.50.0.1", 8443)


def is_on(name):
    """Whether a switch in the environment is on, as it is by default."""
    return os.environ.get(name, "1") != "0"


class Record:
    """The record of a run: what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = now()

    def write(self, text):
        self._file.write(f"{now() - self._start:9.3f} {text}\n")
        self._file.flush()

    @property
    def elapsed_s(self):
        return now() - self._start


def find_free_ports(ips, count):
    """Returns ports that are free for UDP and TCP on all addresses."""
    found = []
    for port in random.SystemRandom().sample(range(20_000, 32_000), 4_000):
        held = []
        try:
            for ip in ips:
                for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                    sock = socket.socket(socket.AF_INET, kind)
                    held.append(sock)
                    sock.bind((ip, port))
        except OSError:
            continue
        finally:
            for sock in held:
                sock.close()
        found.append(port)
        if len(found) == count:
            return found
    raise OSError("no free ports")


class Instance:
    """A process of the project on a machine of its own address."""

    def __init__(self, site, name, zone, ip):
        self.site, self.name, self.zone, self.ip = site, name, zone, ip
        self.process = None
        self.started_at = 0.0
        self.misses = 2
        self.in_rotation = False
        self.config = site.folder / f"{name}.ini"

    def start(self, is_first=False, seeds=None):
        """Starts the process; `seeds` are addresses in place of those of the site."""
        site = self.site
        text = site.template
        fields = {
            "node_name": self.name,
            "zone": self.zone,
            "bootstrap": str(is_first).lower(),
            "listen.datagram_addr": f"{self.ip}:{site.packet_port}",
            "listen.ready": f"{self.ip}:{site.ready_port}",
            "internal_ports.0": str(site.peer_port),
            "bounds.grace_s": str(GRACE_S),
            "bounds.flow_max_s": str(FLOW_MAX_S),
            "seeds": ",".join(f"{seed}:{site.control_port}" for seed in seeds or site.seeds),
            "platform.address": site.store.address,
            "heartbeat_ms": str(round(HEARTBEAT_S * 1000)),
        }
        text = re.sub(r"\{\{([^}]+)\}\}", lambda found: fields[found.group(1)], text)
        text = re.sub(r"(?m)^metrics_port = .*$", f"metrics_port = {site.metrics_port}", text)
        self.config.write_text(text)
        self.process = subprocess.Popen(
            site.command,
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=open(site.folder / f"{self.name}.log", "ab"),
            stderr=subprocess.STDOUT,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": os.environ.get("HOME", "/"),
                "LANG": "C.UTF-8",
                "CATKINSPREAD_CONFIG": str(self.config),
            },
        )
        self.started_at = now()
        self.site.record.write(f"instance {self.name} is started")

    def rank(self, key):
        """Returns the rank of the instance for a flow in the routers' steady hash."""
        return zlib.crc32(f"{key}>{self.name}".encode())

    def signal(self, number):
        self.site.record.write(f"instance {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def wait_end(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.02)
        self.site.record.write(f"instance {self.name} ended with {self.process.returncode}")

    async def probe(self):
        """The routers' check: two misses take it out of rotation, one 200 puts it back."""
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(self.ip, self.site.ready_port)
                writer.write(b"GET /catkinspread/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
            is_ready = b" 200 " in line
        except (OSError, TimeoutError):
            is_ready = False
        self.misses = 0 if is_ready else self.misses + 1
        in_rotation = is_ready or (self.in_rotation and self.misses < 2)
        if in_rotation != self.in_rotation:
            self.in_rotation = in_rotation
            self.site.record.write(
                f"instance {self.name} {'enters' if in_rotation else 'leaves'} the rotation"
            )


class Site:
    """A small deployment.

    Args:
        record: Where the run is recorded.
        zones: Number of instances by zone; the first instance of each is a seed.
        services: Address of each service as (ip, port), by name.
    """

    def __init__(self, record, zones, services):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-2-"))
        self.services = services
        self.store = Store(record)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        self.command = role["run"].split()
        self.template = (ROOT / role["template"]).read_text()
        self.instances = []
        self.targets = []
        self.clients = []
        self.beats = {}
        self.runs = {}
        self.sent_at = {}
        self.opened_at_target = {}
        self.resets_by = {}
        self.foreign_resets = []
        self.own_resets = []
        for zone_number, (zone, count) in enumerate(zones.items(), 1):
            for number in range(1, count + 1):
                ip = f"127.10.{zone_number}.{number}"
                self.instances.append(Instance(self, f"edge-{zone}-{number}", zone, ip))
        self.zones = list(zones)
        self.seeds = [f"127.10.{number}.1" for number in range(1, 1 + len(zones))][:3]
        ips = [instance.ip for instance in self.instances] + ["127.10.0.1"]
        ports = find_free_ports(ips, 6)
        (
            self.packet_port,
            self.ready_port,
            self.control_port,
            self.peer_port,
            self.metrics_port,
            self.store_port,
        ) = ports
        self.target_port = 0

    async def start(self, targets, cold_per_s, timeout_ms=3000):
        """Starts store, targets and instances, and waits until all are in rotation.

        Args:
            targets: (name, service, zone) of each target.
            cold_per_s: Requests a second that a cold target bears.
            timeout_ms: Time-out of the routes.
        """
        await self.store.start("127.10.0.1", self.store_port)
        ips = [f"127.20.0.{number}" for number in range(1, len(targets) + 1)]
        self.target_port = find_free_ports(ips, 1)[0]
        for instance in self.instances:
            instance.start(is_first=True)
        self.write_configuration(7, cold_per_s, timeout_ms)
        for ip, (name, service, zone) in zip(ips, targets, strict=True):
            target = Target(self, name, service, zone, ip, self.target_port)
            self.targets.append(target)
            await target.start()
        self._tasks = [asyncio.create_task(self._probe()), asyncio.create_task(self._expire())]
        until = now() + 20
        while not all(instance.in_rotation for instance in self.instances):
            if now() > until:
                raise RuntimeError("the instances did not become ready")
            await asyncio.sleep(0.05)

    def write_configuration(self, version, cold_per_s, timeout_ms, dropped=()):
        """The operator writes a configuration; returns when the store acknowledged it."""
        routes = [
            {
                "name": f"r-{name}",
                "host": ip,
                "path_prefix": f"/{port}/",
                "kind": "safe",
                "service": name,
                "timeout_ms": timeout_ms,
                "aim_ms": 200,
                "priority": 1,
                "max_attempts": 2,
            }
            for name, (ip, port) in self.services.items()
            if name not in dropped
        ]
        services = [
            {
                "name": name,
                "health_path": "/health",
                "max_flows": 2000,
                "protocol": "h1",
                "tls": False,
                "cold_s": 2.0,
                "cold_per_s": cold_per_s,
            }
            for name in self.services
        ]
        spec = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        self.store.put("config", "main", spec)
        names = ", ".join(route["name"] for route in routes)
        self.record.write(f"configuration {version} is acknowledged, with the routes {names}")
        return now()

    async def add_client(self, zone):
        client = Client(self, f"127.30.0.{len(self.clients) + 1}", zone)
        await client.start()
        self.clients.append(client)
        return client

    def route(self, client, packet):
        """Hands a packet to an instance as the platform's routers do, with a steady hash."""
        if client.node is not None:
            client.udp.sendto(packet.encode(), (client.node.ip, self.packet_port))
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        for zone in [client.zone, *(other for other in self.zones if other != client.zone)]:
            nodes = [instance for instance in self.instances if instance.zone == zone]
            ready = [instance for instance in nodes if instance.in_rotation]
            if not ready:
                continue
            used = ready if 2 * len(ready) >= len(nodes) else nodes
            chosen = max(used, key=lambda node: node.rank(key))
            client.udp.sendto(packet.encode(), (chosen.ip, self.packet_port))
            return

    def note_open(self, flow_key, target):
        self.opened_at_target[flow_key] = target

    def note_reset(self, flow_key, target):
        self.resets_by.setdefault(flow_key, []).append(target)

    def note_client_reset(self, flow, own):
        holder = self.opened_at_target.get(flow.key)
        if own:
            text = "a reset of the system"
        else:
            text = "a reset of " + ", ".join(t.name for t in self.resets_by.get(flow.key, []))
        is_open = holder is not None and not flow.end
        self.record.write(
            f"client port {flow.port} in {flow.client.zone} gets {text}; the flow is "
            + (f"open at {holder.name}" if is_open else "not open")
        )
        if not is_open or not holder.is_alive:
            return
        if own or holder not in self.resets_by.get(flow.key, []):
            (self.own_resets if own else self.foreign_resets).append(flow)

    def lose_first_answers(self, is_chosen, most=1_000):
        """Lets the network lose one datagram of each chosen flow: its first SYN+ACK.

        Args:
            is_chosen: Whether a flow loses it, by its key.
            most: Number of flows that lose one, at most.

        Returns:
            The keys of the flows that have lost one so far.
        """
        lost = set()

        def lose(key):
            if key in lost or len(lost) >= most or not is_chosen(key):
                return False
            lost.add(key)
            return True

        for target in self.targets:
            target.lose_syn_ack = lose
        return lost

    async def open_flows(self, client, service, count):
        """Opens flows, with one answered request on each, and returns them."""
        flows = []
        for number in range(count):
            flow = client.new_flow(service)
            flows.append(flow)
            if not await flow.open() or not await flow.request(f"first-{number}"):
                self.record.write(f"client port {flow.port}: no answer to the first request")
            await asyncio.sleep(0.03)
        await asyncio.sleep(0.5)
        return flows

    async def use_flows_again(self, flows):
        """Sends a second request on each flow; returns the flows on which FLOW was broken."""
        answers = await asyncio.gather(
            *(flow.request(f"second-{number}") for number, flow in enumerate(flows))
        )
        for flow in flows:
            flow.close()
        broken = [flow for flow in self.foreign_resets + self.own_resets if flow in flows]
        self.record.write(
            f"second requests answered: {sum(map(bool, answers))} of {len(flows)}; open flows "
            f"reset by another than their target: {len(broken)}"
        )
        for flow in broken:
            self.record.write(
                f"FLOW broken: client port {flow.port}, open at "
                f"{self.opened_at_target[flow.key].name}, which lives"
            )
        return broken

    async def _probe(self):
        while True:
            await asyncio.gather(*(instance.probe() for instance in self.instances))
            await asyncio.sleep(0.5)

    async def _expire(self):
        """Removes entries after three heartbeat intervals of silence while the store is up."""
        while True:
            await asyncio.sleep(0.1)
            if self.store.is_down:
                continue
            for name, beat in list(self.beats.items()):
                if now() - beat > 3 * HEARTBEAT_S and name in self.store.objects["servers"]:
                    self.store.delete("servers", name)

    def stop(self):
        """Ends all processes that were started."""
        for instance in self.instances:
            if instance.process is not None and instance.process.poll() is None:
                instance.process.kill()
        for instance in self.instances:
            if instance.process is not None:
                instance.process.wait()


def run_case(folder, services, targets, zones, cold_per_s, play):
    """Plays a case and returns the exit status.

    Args:
        folder: Folder of the case, which gets `record.txt`.
        services: Address of each service as (ip, port), by name.
        targets: (name, service, zone) of each target.
        zones: Number of instances by zone.
        cold_per_s: Requests a second that a cold target bears.
        play: Coroutine that plays the case on a `Site` and returns HELD or BROKEN.
    """

    async def run():
        # A script that is ended from outside ends its processes, too.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        site = Site(record, zones, services)
        try:
            await site.start(targets, cold_per_s)
            return await play(site, record)
        finally:
            site.stop()
            shutil.rmtree(site.folder, ignore_errors=True)

    record = Record(folder / "record.txt")
    try:
        result = asyncio.run(asyncio.wait_for(run(), TIME_LIMIT_S))
    except (Exception, asyncio.CancelledError):
        record.write(traceback.format_exc(limit=3).replace(str(ROOT), "."))
        result = CANNOT_RUN
    record.write(f"result {result}")
    return result


def name_targets(service_zones):
    """Returns (name, service, zone) for targets given as (service, zone)."""
    return [
        (f"i-00c0ffee{number:02x}", service, zone)
        for number, (service, zone) in enumerate(service_zones, 1)
    ]
