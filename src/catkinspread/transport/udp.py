"""A UDP socket owned by one task that reads it in batches."""

import socket
from collections.abc import Callable

import anyio
import anyio.abc
from absl import logging

from catkinspread.clock import Clock, SystemClock
from catkinspread.model import Endpoint
from catkinspread.sockets import open_udp_socket

# Datagrams read between two turns of the event loop. anyio's own UDP sockets read one and keep
# at most 100 waiting; in the demo they lost most packets when other tasks were busy.
_BATCH_SIZE = 64
_DATAGRAM_MAX_BYTES = 65_535


class UdpTransport:
    """Owns a UDP socket.

    Attributes:
        endpoint: Where the socket is bound; port 0 is replaced by the real one once it is open.
        dropped_count: Datagrams dropped because the socket was closed or full, or too late.
        failed_count: Datagrams whose handling raised an error.
    """

    __slots__ = (
        "_clock",
        "_handler",
        "_bound_socket",
        "_socket",
        "dropped_count",
        "endpoint",
        "failed_count",
    )

    def __init__(
        self,
        endpoint: Endpoint,
        handler: Callable[[bytes, Endpoint], None],
        clock: Clock | None = None,
        bound_socket: socket.socket | None = None,
    ) -> None:
        """Creates a port that is not open yet.

        Args:
            endpoint: Where to bind.
            handler: Called with each datagram and its sender; it must not block.
            clock: Needed only to send with a time limit.
            bound_socket: A socket already bound to the endpoint; None to open one.
        """
        self.endpoint = endpoint
        self.dropped_count = 0
        self.failed_count = 0
        self._handler = handler
        self._clock = clock or SystemClock()
        self._bound_socket = bound_socket
        self._socket: socket.socket | None = None

    def send(self, datagram: bytes, target: Endpoint, not_after_ms: int = 0) -> None:
        """Sends a datagram at once; it is dropped and counted if that is not possible.

        Args:
            datagram: The content.
            target: Where to send it.
            not_after_ms: It is dropped instead of sent at or after this time; 0 for no limit.
        """
        if self._socket is None:
            self.dropped_count += 1
            return
        try:
            if not_after_ms and self._clock.now_ms() >= not_after_ms:
                self.dropped_count += 1
                return
            self._socket.sendto(datagram, (target.host, target.port))
        except OSError:
            # Includes a full send buffer and an earlier ICMP error; UDP may lose packets.
            self.dropped_count += 1

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Opens the socket and serves it until cancelled.

        Raises:
            OSError: If the address cannot be bound.
        """
        with self._bound_socket or open_udp_socket(self.endpoint) as opened:
            self.endpoint = Endpoint(self.endpoint.host, opened.getsockname()[1])
            self._socket = opened
            try:
                task_status.started()
                while True:
                    await anyio.wait_readable(opened)
                    self._read_batch(opened)
            finally:
                self._socket = None

    def _read_batch(self, opened: socket.socket) -> None:
        for _ in range(_BATCH_SIZE):
            try:
                datagram, (host, port) = opened.recvfrom(_DATAGRAM_MAX_BYTES)
            except BlockingIOError:
                return
            except OSError:
                # An ICMP error of an earlier send, for example to an instance that was killed.
                continue
            try:
                self._handler(datagram, Endpoint(host, port))
            except Exception:  # The port must outlive a fault in handling one datagram.
                self.failed_count += 1
                logging.log_every_n_seconds(
                    logging.ERROR, "transport: datagram failed", 10, exc_info=True
                )
