"""Stand-ins for the platform on loopback: store, upstream and caller.

Each has an address of its own in 127.0.0.0/8, because callers are reached at the port at which
the instance takes packets.
"""

import itertools
import socket
import struct
from urllib.parse import parse_qs, urlsplit

import anyio
import anyio.abc
import msgspec

from catkinspread.model import Endpoint
from catkinspread.transport.http_server import HttpAnswer, HttpRequest, HttpServer
from catkinspread.transport.udp import UdpPort

HEAD = struct.Struct(">HIIIIHIHB5sI")
SYN, ACK, FIN, RST = 32, 128, 64, 4
_OBJECTS = "/catkinspread/objects/"
_RECEIVE_TIMEOUT_S = 2


def find_free_port() -> int:
    """Returns a port that no socket of this machine uses at the moment."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def to_number(host: str) -> int:
    """Returns an IPv4 address as an integer."""
    return int.from_bytes(socket.inet_aton(host), "big")


class StoreStandIn:
    """Holds objects and answers listings and watches."""

    def __init__(self) -> None:
        self.is_down = False
        self.calls = 0
        self._revision = 1
        self._objects: dict[tuple[str, str], dict[str, object]] = {}
        self._events: list[tuple[int, str, dict[str, object]]] = []
        self._changed = anyio.Event()

    def put(self, kind: str, name: str, spec: object) -> None:
        """Writes an object."""
        self._revision += 1
        written = {"meta": {"name": name, "revision": self._revision}, "spec": spec}
        self._objects[kind, name] = written
        self._note(kind, {"object": written, "removed": False})

    def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        self._revision += 1
        removed = self._objects.pop((kind, name))
        self._note(kind, {"object": removed, "removed": True})

    def _note(self, kind: str, event: dict[str, object]) -> None:
        self._events.append((self._revision, kind, event))
        self._changed.set()
        self._changed = anyio.Event()

    async def answer(self, request: HttpRequest) -> HttpAnswer:
        """Answers a call."""
        self.calls += 1
        if self.is_down:
            return HttpAnswer(503)
        target = urlsplit(request.target)
        kind = target.path.removeprefix(_OBJECTS)
        query = parse_qs(target.query)
        if "watch" not in query:
            items = [found for (of, _), found in self._objects.items() if of == kind]
            return _encode({"items": items, "has_more": False, "at_rev": self._revision})
        since = int(query["watch"][0])
        with anyio.move_on_after(int(query["wait_ms"][0]) / 1_000):
            while not self._find_events(kind, since) and not self.is_down:
                await self._changed.wait()
        return _encode({"events": self._find_events(kind, since), "at_rev": self._revision})

    def _find_events(self, kind: str, since: int) -> list[dict[str, object]]:
        return [event for at, of, event in self._events if of == kind and at > since]

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[Endpoint] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until cancelled."""
        server = HttpServer(self.answer, 1_024, "store stand-in")
        await server.run(Endpoint("127.0.0.1", 0), task_status=task_status)


def _encode(body: object) -> HttpAnswer:
    return HttpAnswer(200, msgspec.json.encode(body), content_type="application/json")


class UpstreamStandIn:
    """Answers opening packets and requests directly to the caller."""

    def __init__(self, host: str, port: int, caller_port: int) -> None:
        self.received: list[tuple[int, tuple[object, ...], bytes]] = []
        self.is_silent = False
        self._caller_port = caller_port
        self._udp = UdpPort(Endpoint(host, port), self._receive)

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until cancelled."""
        await self._udp.run(task_status=task_status)

    def _receive(self, datagram: bytes, _: Endpoint) -> None:
        key = int.from_bytes(datagram[:8], "big")
        packet = datagram[8:]
        head = HEAD.unpack_from(packet)
        self.received.append((key, head, packet[HEAD.size :]))
        if self.is_silent:
            return
        _, sequence, acknowledged, token, caller, port, address, caller_port, flags, _, _ = head
        size = head[0]
        if flags & SYN:
            answer_flags, answer_sequence, expected = SYN | ACK, 5_000, sequence + 1
        elif size:
            answer_flags, answer_sequence, expected = ACK, acknowledged, sequence + size
        else:
            return
        data = b"HTTP/1.1 200 OK\r\n\r\n" if size else b""
        answer = HEAD.pack(
            len(data),
            answer_sequence,
            expected,
            token,
            address,
            caller_port,
            caller,
            port,
            answer_flags,
            bytes(5),
            1,
        )
        host = socket.inet_ntoa(caller.to_bytes(4, "big"))
        self._udp.send(answer + data, Endpoint(host, self._caller_port))


class CallerStandIn:
    """Opens flows and sends requests."""

    def __init__(self, host: str, port: int, instance: str) -> None:
        self._host = to_number(host)
        self._instance = Endpoint(instance, port)
        self._ports = itertools.count(1_024)
        self._udp = UdpPort(Endpoint(host, port), self._receive)
        self._send_answer, self._answers = anyio.create_memory_object_stream[
            tuple[tuple[int, ...], bytes]
        ](64)

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until cancelled."""
        await self._udp.run(task_status=task_status)

    def _receive(self, datagram: bytes, _: Endpoint) -> None:
        self._send_answer.send_nowait((HEAD.unpack_from(datagram), datagram[HEAD.size :]))

    def use_instance(self, host: str) -> None:
        """Sends further packets to another instance, as routers do."""
        self._instance = Endpoint(host, self._instance.port)

    def send(
        self, address: Endpoint, port: int, flags: int, numbers: tuple[int, int, int], data: bytes
    ) -> None:
        """Sends a packet; the numbers are sequence, acknowledgement and token."""
        sequence, acknowledged, token = numbers
        head = HEAD.pack(
            len(data),
            sequence,
            acknowledged,
            token,
            self._host,
            address.port,
            to_number(address.host),
            port,
            flags,
            bytes(5),
            7,
        )
        self._udp.send(head + data, self._instance)

    async def receive(self) -> tuple[tuple[int, ...], bytes]:
        """Returns the next packet."""
        with anyio.fail_after(_RECEIVE_TIMEOUT_S):
            return await self._answers.receive()

    async def open(self, address: Endpoint) -> tuple[int, tuple[int, ...]]:
        """Opens a flow and returns its port and the head of the answer."""
        port = next(self._ports)
        self.send(address, port, SYN, (1_000, 0, 0), b"")
        head, _ = await self.receive()
        if not head[8] & RST:
            self.send(address, port, ACK, (1_001, 5_001, head[3]), b"")
        return port, head

    async def request(self, address: Endpoint, port: int, token: int) -> bytes:
        """Sends a request on an open flow and returns the answer."""
        data = b"GET / HTTP/1.1\r\nX-Catkinspread-Attempt-Id: r1\r\n\r\n"
        self.send(address, port, ACK, (1_001, 5_001, token), data)
        _, answer = await self.receive()
        return answer
