"""Real processes of the program on loopback, callers, and upstreams with a bounded number of slots.

Store, upstreams and callers run in the event loop of the test. Callers open a flow for each
request, so that admission control can refuse each of them.
"""

import collections
import ipaddress
import itertools
import json
import os
import pathlib
import socket
import subprocess
import sys
import urllib.request
from collections.abc import Callable, Iterable
from typing import Any

import anyio
import anyio.abc
import msgspec

from catkinspread.clock import SystemClock
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
from catkinspread.model import Endpoint
from catkinspread.platform.packets import FLAG_ACK, FLAG_FIN, FLAG_RST, FLAG_SYN, HEAD
from catkinspread.platform.stand_ins import (
    StoreStandIn,
    build_environment,
    encode_configuration,
    encode_upstream,
)
from catkinspread.runtime.tests.program import PROGRAM
from catkinspread.sockets import find_free_ports
from catkinspread.transport.udp import UdpTransport

INSTANCES = ("127.0.4.10", "127.0.4.11")
UPSTREAMS = ("127.0.4.20", "127.0.4.21")
# A caller is admitted or not by its address, so that many are needed for a share of them.
CALLERS = tuple(f"127.0.5.{number}" for number in range(1, 41))
SERVICE_IP = "198.18.0.1"
HIGH_PORT = 443
LOW_PORT = 444
ROUTES = {HIGH_PORT: ("high", 0), LOW_PORT: ("low", 2)}
WORK_SLOTS = 2
# An upstream rejects requests inside the flow beyond this queue.
QUEUE_MAX = 8
TIMEOUT_MS = 2_000
COPIES_AT_MS = (0, 200, 600)
START_TIMEOUT_S = 20
_MS_PER_S = 1_000
_CALLER_SEQUENCE = 1_000
_UPSTREAM_SEQUENCE = 5_000
_SETTINGS = """[instance]
name = edge-{number}
data_centre = east
is_first_start = true
packet_address = {host}:{packet_port}
readiness_address = {host}:{readiness_port}
peer_port = {peer_port}
metrics_port = {metrics_port}
grace_s = 3
flow_lifetime_max_s = 60

[peers]
seeds = {seeds}

[source]
address = {source}
heartbeat_ms = 1200
"""


class Request(msgspec.Struct):
    """One request of a caller and what became of it.

    Attributes:
        route: Name of the route.
        began_at_ms: When the first opening packet was sent.
        outcome: `answered`, `rejected` by the upstream, `refused` by an instance, or `silent`.
        took_ms: Time until then.
    """

    route: str
    began_at_ms: int
    outcome: str = "silent"
    took_ms: int = TIMEOUT_MS


def _to_number(host: str) -> int:
    return int.from_bytes(socket.inet_aton(host), "big")


def _to_host(number: int) -> str:
    return socket.inet_ntoa(number.to_bytes(4, "big"))


class WorkingUpstream:
    """An upstream that works on WORK_SLOTS requests and queues QUEUE_MAX more.

    Attributes:
        work_ms: Time of one request in a slot.
        started: Number of requests that it has begun to work on.
    """

    def __init__(self, host: str, port: int, work_ms: int, group: anyio.abc.TaskGroup) -> None:
        self.work_ms = work_ms
        self.started = 0
        self._group = group
        self._caller_port = port
        self._slots = anyio.CapacityLimiter(WORK_SLOTS)
        self._udp = UdpTransport(Endpoint(host, port), self._receive)

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Serves until cancelled."""
        await self._udp.run(task_status=task_status)

    def _receive(self, datagram: bytes, _: Endpoint) -> None:
        head = HEAD.unpack_from(datagram, 8)
        if head[8] & FLAG_SYN:
            self._send(head, FLAG_SYN | FLAG_ACK, _UPSTREAM_SEQUENCE, head[1] + 1, b"")
        elif not head[0]:
            return
        elif self._slots.statistics().tasks_waiting >= QUEUE_MAX:
            self._answer(head, b"HTTP/1.1 503 Full\r\n\r\n")
        else:
            self._group.start_soon(self._work, head)

    async def _work(self, head: tuple[Any, ...]) -> None:
        async with self._slots:
            self.started += 1
            await anyio.sleep(self.work_ms / _MS_PER_S)
        self._answer(head, b"HTTP/1.1 200 OK\r\n\r\n")

    def _answer(self, head: tuple[Any, ...], data: bytes) -> None:
        self._send(head, FLAG_ACK, head[2], head[1] + head[0], data)

    def _send(
        self, head: tuple[Any, ...], flags: int, sequence: int, expected: int, data: bytes
    ) -> None:
        _, _, _, token, caller, port, address, caller_port, _, _, _ = head
        answer = HEAD.pack(
            len(data),
            sequence,
            expected,
            token,
            address,
            caller_port,
            caller,
            port,
            flags,
            bytes(5),
            1,
        )
        self._udp.send(answer + data, Endpoint(_to_host(caller), self._caller_port))


class _Flow:
    """The caller's end of a flow."""

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self.answered = anyio.Event()
        self.flags = 0
        self.token = 0
        self.data = b""

    def take(self, head: tuple[Any, ...], data: bytes) -> None:
        self.flags, self.token, self.data = head[8], head[3], data
        self.answered.set()
        self.answered = anyio.Event()


class CallerHost:
    """Sends requests from one address, each on a flow of its own."""

    def __init__(self, host: str, port: int, site: "OverloadSite") -> None:
        self._ip = _to_number(host)
        self._site = site
        self._port = port
        self._ports = itertools.count(1_024)
        self._flows: dict[int, _Flow] = {}
        self._udp = UdpTransport(Endpoint(host, port), self._receive)

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Serves until cancelled."""
        await self._udp.run(task_status=task_status)

    async def call(self, port: int, request: Request) -> None:
        """Sends a request and notes what became of it."""
        own_port = next(self._ports)
        flow = self._flows[own_port] = _Flow(self._site.route(own_port))
        with anyio.move_on_after(TIMEOUT_MS / _MS_PER_S):
            await self._open(port, own_port, flow)
            if flow.flags & FLAG_RST:
                request.outcome = "refused"
            elif flow.flags:
                request.outcome = await self._request(port, own_port, flow)
        request.took_ms = SystemClock().now_ms() - request.began_at_ms
        del self._flows[own_port]

    async def _open(self, port: int, own_port: int, flow: _Flow) -> None:
        for copy, at_ms in enumerate(COPIES_AT_MS):
            self._send(port, own_port, flow, FLAG_SYN, (_CALLER_SEQUENCE, copy, 0))
            until_ms = COPIES_AT_MS[copy + 1] if copy + 1 < len(COPIES_AT_MS) else 1_400
            with anyio.move_on_after((until_ms - at_ms) / _MS_PER_S):
                await flow.answered.wait()
                return

    async def _request(self, port: int, own_port: int, flow: _Flow) -> str:
        token = flow.token
        data = f"GET / HTTP/1.1\r\nX-Catkinspread-Attempt-Id: {self._ip}-{own_port}\r\n\r\n"
        sent = _CALLER_SEQUENCE + 1
        expected = _UPSTREAM_SEQUENCE + 1
        self._send(port, own_port, flow, FLAG_ACK, (sent, expected, token))
        self._send(port, own_port, flow, FLAG_ACK, (sent, expected, token), data.encode())
        while not flow.data:
            await flow.answered.wait()
        last = (sent + len(data), expected + len(flow.data), token)
        self._send(port, own_port, flow, FLAG_ACK, last)
        self._send(port, own_port, flow, FLAG_ACK | FLAG_FIN, last)
        return "answered" if b" 200 " in flow.data else "rejected"

    def _receive(self, datagram: bytes, _: Endpoint) -> None:
        head = HEAD.unpack_from(datagram)
        flow = self._flows.get(head[5])
        if flow is not None:
            flow.take(head, datagram[HEAD.size :])

    def _send(
        self,
        port: int,
        own_port: int,
        flow: _Flow,
        flags: int,
        numbers: tuple[int, int, int],
        data: bytes = b"",
    ) -> None:
        head = HEAD.pack(
            len(data),
            *numbers,
            self._ip,
            port,
            _to_number(SERVICE_IP),
            own_port,
            flags,
            bytes(5),
            7,
        )
        self._udp.send(head + data, Endpoint(flow.instance, self._port))


class InstanceProcess:
    """One process of the program, started and ended by its own handle."""

    def __init__(self, number: int, directory: pathlib.Path, values: dict[str, Any]) -> None:
        self.host = INSTANCES[number]
        self.metrics_port = values["metrics_port"]
        self.log_path = directory / f"edge-{number}.log"
        self._settings_path = directory / f"edge-{number}.ini"
        self._settings_path.write_text(
            _SETTINGS.format(number=number, host=self.host, **values) + values["admission"]
        )
        self._process: subprocess.Popen[bytes] | None = None
        self._start_count = 0

    def start(self) -> None:
        """Starts the process."""
        environment = {"PATH": os.environ.get("PATH", "")}
        environment.update(build_environment(str(self._settings_path)))
        self._start_count += 1
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, str(PROGRAM)],
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def kill(self) -> None:
        """Ends the process at once and waits for it."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    def find_events(self, event: str) -> list[dict[str, Any]]:
        """Returns the complete log lines of an event."""
        lines = self.log_path.read_text().split("\n")[:-1] if self.log_path.exists() else []
        found = (json.loads(line) for line in lines if line.startswith("{"))
        return [line for line in found if line["event"] == event]

    def has_state(self) -> bool:
        """Whether the latest process has read the whole state.

        The line `state_complete` is missing if that took longer than the packets may wait.
        """
        started = self.find_events("started")
        if len(started) < self._start_count:
            return False
        listed = self.find_events("state_listed")
        kinds = {line["kind"] for line in listed if line["at_ms"] >= started[-1]["at_ms"]}
        return len(kinds) == len(StateKind)

    def read_metrics(self) -> str:
        """Returns the metrics page."""
        url = f"http://{self.host}:{self.metrics_port}/metrics"
        with urllib.request.urlopen(url, timeout=2) as response:
            return str(response.read().decode())


class OverloadSite:
    """Store, upstreams, callers and two instances.

    Attributes:
        instances: The processes.
        requests: All requests in the order in which they began.
        upstreams: The upstreams.
    """

    def __init__(
        self,
        group: anyio.abc.TaskGroup,
        directory: pathlib.Path,
        work_ms: tuple[int, ...],
        admission: str = "\n[admission]\nmode = auto\n",
    ) -> None:
        self._group = group
        self._directory = directory
        self._admission = admission
        self._port, self._peer_port, self._metrics_port, self._readiness_port = find_free_ports(4)
        self._in_rotation = set(INSTANCES)
        self.store = StoreStandIn()
        self.upstreams = [
            WorkingUpstream(host, self._port, work, group)
            for host, work in zip(UPSTREAMS, work_ms, strict=True)
        ]
        self.requests: list[Request] = []
        self.instances: list[InstanceProcess] = []
        self._callers = [CallerHost(host, self._port, self) for host in CALLERS]

    async def start(self) -> None:
        """Starts everything and waits until the instances serve."""
        source = await self._group.start(self.store.run)
        for part in (*self.upstreams, *self._callers):
            await self._group.start(part.run)
        self.store.put_configuration(self._build_configuration())
        for number, host in enumerate(UPSTREAMS):
            self._put_upstream(number, host)
        values = {
            "packet_port": self._port,
            "peer_port": self._peer_port,
            "metrics_port": self._metrics_port,
            "readiness_port": self._readiness_port,
            "seeds": ",".join(f"{host}:1" for host in INSTANCES),
            "source": str(source),
            "admission": self._admission,
        }
        for number in range(len(INSTANCES)):
            self.instances.append(InstanceProcess(number, self._directory, values))
            self.instances[-1].start()
        for instance in self.instances:
            await self.wait_until(instance.has_state)

    def close(self) -> None:
        """Ends the processes."""
        for instance in self.instances:
            instance.kill()

    async def wait_until(
        self, condition: Callable[[], bool], timeout_s: float = START_TIMEOUT_S
    ) -> None:
        """Waits until a condition is met; raises TimeoutError if the time is over."""
        with anyio.fail_after(timeout_s):
            while not condition():
                await anyio.sleep(0.05)

    def route(self, caller_port: int) -> str:
        """Returns the instance in rotation that the routers choose for a flow."""
        ready = sorted(self._in_rotation)
        return ready[caller_port % len(ready)]

    def set_rotation(self, number: int, is_in_rotation: bool) -> None:
        """Takes an instance out of the rotation of the routers or back."""
        change = self._in_rotation.add if is_in_rotation else self._in_rotation.discard
        change(INSTANCES[number])

    async def offer(self, duration_ms: int, rates_per_s: dict[int, float]) -> list[Request]:
        """Lets callers send requests at regular intervals.

        Returns:
            The requests that began in this time, once all have ended.
        """
        first = len(self.requests)
        async with anyio.create_task_group() as group:
            for port, rate_per_s in rates_per_s.items():
                group.start_soon(self._offer_route, group, port, rate_per_s, duration_ms)
        return self.requests[first:]

    async def _offer_route(
        self, group: anyio.abc.TaskGroup, port: int, rate_per_s: float, duration_ms: int
    ) -> None:
        began_s = anyio.current_time()
        for number in range(round(rate_per_s * duration_ms / _MS_PER_S)):
            await anyio.sleep(max(0.0, began_s + number / rate_per_s - anyio.current_time()))
            request = Request(ROUTES[port][0], SystemClock().now_ms())
            self.requests.append(request)
            # Coprime to the number of callers, so that all of them take part in any second.
            caller = self._callers[number * 7 % len(self._callers)]
            group.start_soon(caller.call, port, request)

    def _put_upstream(self, number: int, host: str) -> None:
        record = UpstreamRecord(
            name=f"i-{number}a",
            key=int(f"{number}a", 16),
            service="pages",
            data_centre="east",
            host=host,
            port=self._port,
            work_slots=WORK_SLOTS,
            is_draining=False,
            cold_remaining_ms=0,
            born_ms=1,
            report_number=1,
        )
        self.store.put(StateKind.UPSTREAMS, record.name, encode_upstream(record))

    def _build_configuration(self) -> dict[str, object]:
        shares = (ServiceShare("pages", 1.0),)
        ip = int(ipaddress.IPv4Address(SERVICE_IP))
        routes = tuple(
            Route(
                name,
                ServiceAddress(ip, port),
                shares,
                RequestKind.IDEMPOTENT,
                TIMEOUT_MS,
                priority,
            )
            for port, (name, priority) in ROUTES.items()
        )
        limits = (ServiceLimits("pages", 0.0, 2_000),)
        return encode_configuration(RoutingConfiguration(1, routes, limits, 15_000))


def count_outcomes(requests: Iterable[Request], route: str) -> collections.Counter[str]:
    """Returns the number of requests of a route by outcome."""
    return collections.Counter(found.outcome for found in requests if found.route == route)
