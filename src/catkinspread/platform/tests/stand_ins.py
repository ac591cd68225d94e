"""Stand-ins for an upstream and a caller on loopback.

Each has an address of its own in 127.0.0.0/8, because callers are reached at the port at which
the instance takes packets.
"""

import itertools
import socket

import anyio
import anyio.abc

from catkinspread.model import Endpoint
from catkinspread.platform.packets import FLAG_ACK as ACK
from catkinspread.platform.packets import FLAG_RST as RST
from catkinspread.platform.packets import FLAG_SYN as SYN
from catkinspread.platform.packets import HEAD
from catkinspread.sockets import find_free_ports
from catkinspread.transport.udp import UdpTransport

_RECEIVE_TIMEOUT_S = 2


def find_free_port() -> int:
    """Returns a port that no socket of this machine uses at the moment."""
    return find_free_ports(1)[0]


def to_number(host: str) -> int:
    """Returns an IPv4 address as an integer."""
    return int.from_bytes(socket.inet_aton(host), "big")


async def _close_connection(stream: anyio.abc.SocketStream) -> None:
    await stream.aclose()


class UpstreamStandIn:
    """Answers opening packets and requests directly to the caller, and accepts connections."""

    def __init__(self, host: str, port: int, caller_port: int) -> None:
        self.received: list[tuple[int, tuple[object, ...], bytes]] = []
        self.is_silent = False
        self._caller_port = caller_port
        self._udp = UdpTransport(Endpoint(host, port), self._receive)
        self._listening = anyio.CancelScope()

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._accept_connections)
            await self._udp.run(task_status=task_status)

    def crash(self) -> None:
        """Stops answering packets and accepting connections."""
        self.is_silent = True
        self._listening.cancel()

    async def _accept_connections(self) -> None:
        endpoint = self._udp.endpoint
        with self._listening:
            async with await anyio.create_tcp_listener(
                local_host=endpoint.host, local_port=endpoint.port
            ) as listener:
                await listener.serve(_close_connection)

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
        self._udp = UdpTransport(Endpoint(host, port), self._receive)
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
        self.send_request(address, port, token)
        _, answer = await self.receive()
        return answer

    def send_request(self, address: Endpoint, port: int, token: int, acknowledged: int = 1) -> None:
        """Sends the first request of a flow, or a retransmission of it.

        Args:
            address: Service address of the flow.
            port: Port of the caller.
            token: Token that the upstream of the flow sent.
            acknowledged: Number of bytes that the caller has received on the flow.
        """
        data = b"GET / HTTP/1.1\r\nX-Catkinspread-Attempt-Id: r1\r\n\r\n"
        self.send(address, port, ACK, (1_001, 5_000 + acknowledged, token), data)
