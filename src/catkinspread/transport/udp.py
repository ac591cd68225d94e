"""A UDP socket with one task that reads and one that writes."""

from collections.abc import Callable

import anyio
import anyio.abc
import msgspec

from catkinspread.clock import Clock, SystemClock
from catkinspread.model import Endpoint

_OUTBOX_LIMIT = 10_000


class _Outgoing(msgspec.Struct, frozen=True):
    datagram: bytes
    target: Endpoint
    not_after_ms: int


class UdpPort:
    """Owns a UDP socket; other tasks send through a bounded queue.

    Attributes:
        endpoint: Where the socket is bound; port 0 is replaced by the real one once it is open.
        dropped_count: Datagrams dropped because the queue was full or the send failed.
    """

    __slots__ = ("_clock", "_handler", "_inbox", "_outbox", "dropped_count", "endpoint")

    def __init__(
        self,
        endpoint: Endpoint,
        handler: Callable[[bytes, Endpoint], None],
        clock: Clock | None = None,
    ) -> None:
        """Creates a port that is not open yet.

        Args:
            endpoint: Where to bind.
            handler: Called with each datagram and its sender; it must not block.
            clock: Needed only to send with a time limit.
        """
        self._clock = clock or SystemClock()
        self.endpoint = endpoint
        self.dropped_count = 0
        self._handler = handler
        self._outbox, self._inbox = anyio.create_memory_object_stream[_Outgoing](_OUTBOX_LIMIT)

    def send(self, datagram: bytes, target: Endpoint, not_after_ms: int = 0) -> None:
        """Queues a datagram; it is dropped and counted when the queue is full.

        Args:
            datagram: The content.
            target: Where to send it.
            not_after_ms: It is dropped instead of sent at or after this time; 0 for no limit.
        """
        try:
            self._outbox.send_nowait(_Outgoing(datagram, target, not_after_ms))
        except (anyio.WouldBlock, anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.dropped_count += 1

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Opens the socket and serves it until cancelled.

        Raises:
            OSError: If the address cannot be bound.
        """
        async with (
            await anyio.create_udp_socket(
                local_host=self.endpoint.host, local_port=self.endpoint.port
            ) as socket,
            self._inbox,
            anyio.create_task_group() as group,
        ):
            port = socket.extra(anyio.abc.SocketAttribute.local_port)
            self.endpoint = Endpoint(self.endpoint.host, port)
            group.start_soon(self._write, socket)
            task_status.started()
            await self._read(socket)

    async def _read(self, socket: anyio.abc.UDPSocket) -> None:
        while True:
            datagram, (host, port) = await socket.receive()
            self._handler(datagram, Endpoint(host, port))

    async def _write(self, socket: anyio.abc.UDPSocket) -> None:
        async for item in self._inbox:
            if item.not_after_ms and self._clock.now_ms() >= item.not_after_ms:
                self.dropped_count += 1
                continue
            try:
                await socket.sendto(item.datagram, item.target.host, item.target.port)
            except OSError:
                self.dropped_count += 1
