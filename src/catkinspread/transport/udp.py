"""A UDP socket that is read in batches by one task."""

import socket
from collections.abc import Callable

import anyio
import anyio.abc
from absl import logging

from catkinspread.clock import Clock, SystemClock
from catkinspread.model import Endpoint
from catkinspread.sockets import open_udp_socket

# Maximum number of datagrams read in one iteration of the event loop. UDP sockets of anyio read one
# and queue at most 100, so most packets are lost while other tasks keep the event loop busy.
_BATCH_SIZE = 64
_DATAGRAM_MAX_BYTES = 65_535


class UdpTransport:
    """Sends and receives datagrams on one UDP socket.

    Attributes:
        endpoint: Address to bind; once the socket is open, with the bound port in place of port 0.
        dropped_count: Datagrams that were not sent, because the socket was not open, the system
            returned an error or the deadline had passed.
        handler_error_count: Received datagrams for which the handler raised an exception.
    """

    __slots__ = (
        "_clock",
        "_handler",
        "_bound_socket",
        "_socket",
        "dropped_count",
        "endpoint",
        "handler_error_count",
    )

    def __init__(
        self,
        endpoint: Endpoint,
        handler: Callable[[bytes, Endpoint], None],
        clock: Clock | None = None,
        bound_socket: socket.socket | None = None,
    ) -> None:
        """Creates a transport; `run` opens the socket.

        Args:
            endpoint: Address to bind; port 0 lets the system choose a port.
            handler: Called with each datagram and the address of its sender; it must not block.
            clock: Clock for the deadlines of `send`; None for the system clock.
            bound_socket: A non-blocking IPv4 socket already bound to the endpoint, which `run` closes
                at its end; a blocking one would stop the event loop. None to open a socket.
        """
        self.endpoint = endpoint
        self.dropped_count = 0
        self.handler_error_count = 0
        self._handler = handler
        self._clock = clock or SystemClock()
        self._bound_socket = bound_socket
        self._socket: socket.socket | None = None

    def send(self, datagram: bytes, target: Endpoint, not_after_ms: int = 0) -> None:
        """Sends a datagram without blocking, or drops and counts it.

        Args:
            datagram: Payload of the datagram.
            target: Address of the receiver.
            not_after_ms: Deadline in ms since the Unix epoch; at or after it the datagram is dropped.
                0 for no deadline.
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
            # For example a full send buffer, or an ICMP error caused by an earlier datagram.
            self.dropped_count += 1

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Opens the socket and passes received datagrams to the handler until cancelled.

        The socket is closed afterwards, so a transport with `bound_socket` cannot be run again.

        Args:
            task_status: Notified once the socket is open.

        Raises:
            OSError: If the address cannot be bound.
        """
        with self._bound_socket or open_udp_socket(self.endpoint) as udp_socket:
            self.endpoint = Endpoint(self.endpoint.host, udp_socket.getsockname()[1])
            self._socket = udp_socket
            try:
                task_status.started()
                while True:
                    await anyio.wait_readable(udp_socket)
                    self._read_batch(udp_socket)
            finally:
                self._socket = None

    def _read_batch(self, udp_socket: socket.socket) -> None:
        for _ in range(_BATCH_SIZE):
            try:
                datagram, (host, port) = udp_socket.recvfrom(_DATAGRAM_MAX_BYTES)
            except BlockingIOError:
                return
            except OSError:
                # An ICMP error caused by an earlier send, for example to a stopped instance.
                continue
            try:
                self._handler(datagram, Endpoint(host, port))
            except Exception:  # An error in the handler must not stop the transport.
                self.handler_error_count += 1
                logging.log_every_n_seconds(
                    logging.ERROR,
                    "udp %s: handler raised on a datagram of %d bytes from %s:%d",
                    10,
                    self.endpoint,
                    len(datagram),
                    host,
                    port,
                    exc_info=True,
                )
