"""Bench `transport-cost`: bytes and memory of the authenticated sockets between instances.

A proxy on loopback counts the bytes of the TCP stream, so that encryption and framing are
included. Headers of TCP and IP are added by the capacity page.
"""

import pathlib
import resource

import anyio
import anyio.abc
import zmq

from catkinspread.bench.registry import BenchReport, register_bench
from catkinspread.model import Endpoint
from catkinspread.settings import KeySettings
from catkinspread.sockets import find_free_ports
from catkinspread.transport.peers import PeerTransport

_SIZES_BYTES = (40, 200, 280, 1_000)
_MESSAGES = 200
_CONNECTIONS = (50, 100, 200)
_LOOPBACK = "127.0.0.1"
_TIMEOUT_S = 20


class _CountingProxy:
    """Forwards TCP connections to a target and counts the bytes towards it and back."""

    __slots__ = ("_target", "endpoint", "received_bytes", "sent_bytes")

    def __init__(self, target: Endpoint) -> None:
        self._target = target
        self.endpoint = _find_free_endpoint()
        self.sent_bytes = 0
        self.received_bytes = 0

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        listener = await anyio.create_tcp_listener(
            local_host=_LOOPBACK, local_port=self.endpoint.port
        )
        task_status.started()
        await listener.serve(self._forward)

    async def _forward(self, client: anyio.abc.SocketStream) -> None:
        server = await anyio.connect_tcp(_LOOPBACK, self._target.port)
        async with client, server, anyio.create_task_group() as group:
            group.start_soon(self._pump, client, server, "sent_bytes")
            group.start_soon(self._pump, server, client, "received_bytes")

    async def _pump(
        self, source: anyio.abc.SocketStream, sink: anyio.abc.SocketStream, counter: str
    ) -> None:
        async for data in source:
            setattr(self, counter, getattr(self, counter) + len(data))
            await sink.send(data)


@register_bench("transport-cost")
def measure_transport(seed: int) -> BenchReport:
    """Measures framing, handshake and memory; nothing in it is random."""
    figures = anyio.run(_measure)
    return BenchReport("transport-cost", seed, figures, {"framing_bytes_per_message": 0.0})


async def _measure() -> dict[str, float]:
    keys = _make_keys()
    heard: list[bytes] = []
    receiver = PeerTransport(_find_free_endpoint(), keys, heard.append)
    sender = PeerTransport(_find_free_endpoint(), keys, lambda _: None)
    proxy = _CountingProxy(receiver.endpoint)
    async with anyio.create_task_group() as group:
        await group.start(receiver.run)
        await group.start(sender.run)
        await group.start(proxy.run)
        figures = await _measure_bytes(sender, proxy, heard)
        figures |= await _measure_memory(receiver, keys, heard)
        group.cancel_scope.cancel()
    return figures


async def _measure_bytes(
    sender: PeerTransport, proxy: _CountingProxy, heard: list[bytes]
) -> dict[str, float]:
    await _send_all(sender, proxy.endpoint, [b"first"], heard)
    handshake_bytes = proxy.sent_bytes + proxy.received_bytes
    framing: list[float] = []
    for size_bytes in _SIZES_BYTES:
        before = proxy.sent_bytes
        await _send_all(sender, proxy.endpoint, [bytes(size_bytes)] * _MESSAGES, heard)
        framing.append((proxy.sent_bytes - before) / _MESSAGES - size_bytes)
    return {
        "handshake_bytes_per_connection": float(handshake_bytes),
        "framing_bytes_per_message": max(framing),
    }


async def _measure_memory(
    receiver: PeerTransport, keys: KeySettings, heard: list[bytes]
) -> dict[str, float]:
    """Measures both ends of a connection, because they are in this process."""
    ports: list[PeerTransport] = []
    figures: dict[str, float] = {}
    async with anyio.create_task_group() as group:
        resident_before = _read_resident_bytes()
        for count in _CONNECTIONS:
            while len(ports) < count:
                port = PeerTransport(_find_free_endpoint(), keys, lambda _: None)
                # Without run() the port only connects; its context has one thread.
                ports.append(port)
                port.send(b"hello", receiver.endpoint)
            await _wait_for(heard, count)
            gained = _read_resident_bytes() - resident_before
            figures[f"connections_{count}_resident_mb"] = gained / 1e6
        heard.clear()
        group.cancel_scope.cancel()
    first, last = _CONNECTIONS[0], _CONNECTIONS[-1]
    gained_mb = (
        figures[f"connections_{last}_resident_mb"] - figures[f"connections_{first}_resident_mb"]
    )
    figures["slope_kb_per_connection_end"] = gained_mb * 1_000 / (last - first) / 2
    return figures


async def _send_all(
    sender: PeerTransport, target: Endpoint, messages: list[bytes], heard: list[bytes]
) -> None:
    heard.clear()
    for message in messages:
        sender.send(message, target)
    await _wait_for(heard, len(messages))
    heard.clear()


async def _wait_for(heard: list[bytes], count: int) -> None:
    with anyio.fail_after(_TIMEOUT_S):
        while len(heard) < count:
            await anyio.sleep(0.01)
    # Lets the proxy count what is still under way.
    await anyio.sleep(0.2)


def _make_keys() -> KeySettings:
    pairs = [[key.decode() for key in zmq.curve_keypair()] for _ in range(2)]
    return KeySettings(*pairs[0], *pairs[1], (pairs[1][0],))


def _find_free_endpoint() -> Endpoint:
    return Endpoint(_LOOPBACK, find_free_ports(1)[0])


def _read_resident_bytes() -> int:
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()
