"""Routers and clients: every request opens a flow of its own from a new port."""

import asyncio
import collections
import dataclasses
import hashlib
import random
import time

from standins import packets
from standins.instances import Instance
from standins.packets import ACK, FIN, RST, SYN, Packet
from standins.record import Record

_SYN_COPIES_AT_S = (0.2, 0.6)
_SYN_GIVE_UP_S = 1.4
_RETRANSMIT_S = 0.2
_RETRANSMIT_MAX_S = 1.6
_RETRIES = 2
_FIRST_PORT = 1_024
_LAST_PORT = 65_535
_PROBE_INTERVAL_S = 0.5
_PROBE_TIMEOUT_S = 0.4
_MISSES_MAX = 2


class Router:
    """Keeps the rotation and chooses the instance of a packet with a steady hash."""

    def __init__(self, instances: list[Instance], record: Record) -> None:
        self._instances = instances
        self._record = record
        self._misses: dict[str, int] = collections.defaultdict(lambda: _MISSES_MAX)

    async def run(self) -> None:
        """Probes every instance twice a second."""
        while True:
            for instance in self._instances:
                asyncio.get_running_loop().create_task(self._probe(instance))
            await asyncio.sleep(_PROBE_INTERVAL_S)

    def count_ready(self) -> int:
        """Returns how many instances are in rotation."""
        return sum(1 for misses in self._misses.values() if misses < _MISSES_MAX)

    async def _probe(self, instance: Instance) -> None:
        is_ready = False
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(instance.host, instance.ready_port)
                try:
                    writer.write(b"GET /catkinspread/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                    is_ready = b" 200 " in await reader.readline()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            pass
        before = self._misses[instance.name]
        self._misses[instance.name] = 0 if is_ready else min(_MISSES_MAX, before + 1)
        if (before < _MISSES_MAX) != (self._misses[instance.name] < _MISSES_MAX):
            self._record.write("rotation", instance=instance.name, is_in=is_ready)

    def choose(self, packet: Packet, zone: str) -> Instance:
        """Returns the instance that gets a packet of a client of a zone."""
        local = [instance for instance in self._instances if instance.zone == zone]
        ready = [i for i in local if self._misses[i.name] < _MISSES_MAX]
        if not ready:
            others = [i for i in self._instances if self._misses[i.name] < _MISSES_MAX]
            ready = others or local
        elif 2 * len(ready) < len(local):
            ready = local
        ends = repr((packet.source, packet.target))
        return max(ready, key=lambda i: hashlib.md5((ends + i.name).encode()).digest())


@dataclasses.dataclass
class Attempt:
    """One attempt of a request.

    Attributes:
        request: Its id.
        started_at_s: When its opening packet was first sent.
        client: Address and port.
        outcome: `answered`, `refused`, `reset` (on an open flow), `no_handshake` or `deadline`.
        body: Body of the answer.
        reset_by: `instance` or `target`, for resets.
    """

    request: str
    started_at_s: float
    client: str
    outcome: str = "deadline"
    body: str = ""
    reset_by: str = ""
    instances: list[str] = dataclasses.field(default_factory=list)
    is_open: bool = False


class Client(asyncio.DatagramProtocol):
    """All clients of one zone, behind one address.

    Attributes:
        attempts: What became of each attempt that has ended.
        ports: Port of the route of each request that was sent.
    """

    def __init__(
        self,
        zone: str,
        host: str,
        port: int,
        router: Router,
        record: Record,
        deadline_s: float,
    ) -> None:
        self.attempts: list[Attempt] = []
        self.ports: dict[str, int] = {}
        self._zone = zone
        self._host = host
        self._port = port
        self._router = router
        self._record = record
        self._deadline_s = deadline_s
        self._next_port = _FIRST_PORT
        self._count = 0
        self._rng = random.Random(zone)
        self._waiting: dict[int, asyncio.Queue[Packet]] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Opens its socket."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, (self._host, self._port)
        )

    def close(self) -> None:
        """Gives up all requests and closes the socket."""
        for task in self._tasks:
            task.cancel()
        if self._transport is not None:
            self._transport.close()

    async def send_regularly(
        self, route: tuple[str, int], per_s: float, is_safe: bool, pause_s: float = 0.0
    ) -> None:
        """Sends requests at a rate until cancelled; see `request`."""
        while True:
            self.request(route, is_safe, pause_s)
            await asyncio.sleep(self._rng.expovariate(per_s))

    def request(self, route: tuple[str, int], is_safe: bool, pause_s: float = 0.0) -> None:
        """Sends one request, with retries if it may be repeated.

        Args:
            route: Address and port.
            is_safe: Whether it may be repeated.
            pause_s: Pause between the end of the handshake and the request.
        """
        task = asyncio.get_running_loop().create_task(self._try(route, is_safe, pause_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hands a packet to the attempt that waits for it."""
        try:
            packet = packets.decode(data)
        except packets.Damaged as error:
            self._record.write("damaged_packet", client=self._host, why=str(error))
            return
        queue = self._waiting.get(packet.target[1])
        if queue is not None:
            queue.put_nowait(packet)

    async def _try(self, route: tuple[str, int], is_safe: bool, pause_s: float) -> None:
        self._count += 1
        name = f"{self._zone}-{self._count}"
        until_s = time.monotonic() + pause_s + self._deadline_s
        for number in range(1 + _RETRIES):
            attempt = await self._attempt(f"{name}-{number}", route, is_safe, until_s, pause_s)
            self.attempts.append(attempt)
            self._record.write(
                "attempt_ended",
                request=attempt.request,
                client=attempt.client,
                outcome=attempt.outcome,
                reset_by=attempt.reset_by,
                answer=attempt.body,
                through=attempt.instances,
                took_s=round(time.monotonic() - attempt.started_at_s, 3),
            )
            may_repeat = is_safe or not attempt.is_open
            if attempt.outcome == "answered" or not may_repeat or time.monotonic() >= until_s:
                return

    def _take_port(self) -> int:
        port = self._next_port
        self._next_port = _FIRST_PORT if port == _LAST_PORT else port + 1
        return port

    async def _attempt(
        self, request: str, route: tuple[str, int], is_safe: bool, until_s: float, pause_s: float
    ) -> Attempt:
        port = self._take_port()
        queue: asyncio.Queue[Packet] = asyncio.Queue()
        self._waiting[port] = queue
        attempt = Attempt(request, time.monotonic(), f"{self._host}:{port}")
        self._record.write("sent", request=request, client=attempt.client, port=route[1])
        self.ports[request] = route[1]
        try:
            async with asyncio.timeout(max(0.0, until_s - time.monotonic())):
                await self._run_flow(attempt, queue, port, route, is_safe, pause_s)
        except TimeoutError:
            attempt.outcome = "deadline"
        finally:
            del self._waiting[port]
        return attempt

    async def _run_flow(
        self,
        attempt: Attempt,
        queue: asyncio.Queue[Packet],
        port: int,
        route: tuple[str, int],
        is_safe: bool,
        pause_s: float,
    ) -> None:
        own = (packets.to_number(self._host), port)
        other = (packets.to_number(route[0]), route[1])
        first = self._rng.getrandbits(32)
        opened = await self._open(attempt, queue, own, other, first)
        if opened is None:
            return
        attempt.is_open = True
        method = "GET" if is_safe else "POST"
        data = (
            f"{method} / HTTP/1.1\r\nX-Catkinspread-Attempt-Id: {attempt.request}\r\n"
            "Connection: close\r\n\r\n"
        ).encode()
        start = (first + 1) & packets.MASK
        peer_start = (opened.sequence + 1) & packets.MASK
        echo = opened.echo
        wait_s = _RETRANSMIT_S
        is_acknowledged = False
        if pause_s:
            self._send(attempt, Packet(own, other, ACK, start, peer_start, echo))
            await asyncio.sleep(pause_s)
        self._send(attempt, Packet(own, other, ACK, start, peer_start, echo, data))
        while True:
            try:
                async with asyncio.timeout(None if is_acknowledged else wait_s):
                    packet = await queue.get()
            except TimeoutError:
                wait_s = min(_RETRANSMIT_MAX_S, 2 * wait_s)
                self._send(attempt, Packet(own, other, ACK, start, peer_start, echo, data))
                continue
            if packet.flags & RST:
                if not self._is_valid_reset(packet, peer_start):
                    self._record.write("reset_ignored", request=attempt.request)
                    continue
                attempt.outcome = "reset"
                attempt.reset_by = "instance" if packet.is_from_instance else "target"
                return
            if packet.flags & SYN:
                continue  # Another target took the opening packet too.
            echo = packet.echo
            is_acknowledged = True
            if packet.data:
                end = (packet.sequence + len(packet.data) + 1) & packets.MASK
                self._send(
                    attempt,
                    Packet(own, other, ACK | FIN, (start + len(data)) & packets.MASK, end, echo),
                )
                attempt.outcome = "answered"
                attempt.body = packet.data.split(b"\r\n\r\n", 1)[1].decode()
                return

    async def _open(
        self,
        attempt: Attempt,
        queue: asyncio.Queue[Packet],
        own: tuple[int, int],
        other: tuple[int, int],
        first: int,
    ) -> Packet | None:
        started_s = time.monotonic()
        for copy, next_at_s in enumerate((*_SYN_COPIES_AT_S, _SYN_GIVE_UP_S)):
            self._send(attempt, Packet(own, other, SYN, first, copy))
            try:
                async with asyncio.timeout(max(0.0, started_s + next_at_s - time.monotonic())):
                    while True:
                        packet = await queue.get()
                        if packet.flags & RST:
                            attempt.outcome = "refused"
                            attempt.reset_by = "instance" if packet.is_from_instance else "target"
                            return None
                        if packet.flags & SYN and packet.flags & ACK:
                            return packet
            except TimeoutError:
                continue
        attempt.outcome = "no_handshake"
        return None

    @staticmethod
    def _is_valid_reset(packet: Packet, acknowledged: int) -> bool:
        distance = (packet.sequence - acknowledged) & packets.MASK
        return min(distance, packets.MASK + 1 - distance) <= 76_800

    def _send(self, attempt: Attempt, packet: Packet) -> None:
        instance = self._router.choose(packet, self._zone)
        if not attempt.instances or attempt.instances[-1] != instance.name:
            attempt.instances.append(instance.name)
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(packets.encode(packet), (instance.host, instance.packet_port))
