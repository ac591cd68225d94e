"""Encrypted and authenticated messages between instances over ZeroMQ with CURVE keys.

Each instance binds a ROUTER socket to receive and connects a DEALER socket to each peer that it
sends to. Connections from processes whose public key is not accepted are rejected. References:
ZeroMQ RFC 25 (ZMTP-CURVE) and RFC 27 (ZAP).
"""

import collections
from collections.abc import Callable

import anyio
import anyio.abc
import zmq
import zmq.asyncio
from absl import logging
from zmq.auth.asyncio import AsyncioAuthenticator

from catkinspread.model import Endpoint
from catkinspread.settings import KeySettings

# Maximum number of outgoing sockets, one for each peer; the least recently used one is closed for a new
# one.
_SOCKETS_MAX = 256
# Messages queued for each peer; further ones are dropped. Callers must tolerate the loss: they repeat
# every message or let the peer request it.
_QUEUED_MESSAGES_MAX = 1_000
# Limit of received messages: ZeroMQ closes the connection of a peer that sends a larger one. It is not
# checked when sending.
_MESSAGE_MAX_BYTES = 2_000_000


class _AcceptedKeys:
    """Credentials provider for the pyzmq authenticator that accepts a fixed set of client keys."""

    __slots__ = ("_keys",)

    def __init__(self, keys: tuple[str, ...]) -> None:
        self._keys = frozenset(key.encode() for key in keys)

    def callback(self, domain: str, key: bytes) -> bool:
        """Returns whether a client with this public key, in Z85 encoding, may connect."""
        return key in self._keys


class PeerTransport:
    """Sends messages to other instances and receives theirs.

    Attributes:
        endpoint: Address that the ROUTER socket is bound to.
        dropped_count: Messages that were not queued, because the queue of the peer was full, ZeroMQ
            returned an error or the transport was closed.
        handler_error_count: Received messages for which the handler raised an exception.
        sent_bytes: Total payload of the messages passed to ZeroMQ, including those that are lost later.
        received_bytes: Total payload of the messages passed to the handler.
    """

    __slots__ = (
        "_sockets_by_endpoint",
        "_context",
        "endpoint",
        "handler_error_count",
        "_handler",
        "_is_open",
        "_keys",
        "dropped_count",
        "received_bytes",
        "sent_bytes",
    )

    def __init__(
        self, endpoint: Endpoint, keys: KeySettings, handler: Callable[[bytes], None]
    ) -> None:
        """Creates a transport; `run` binds its socket.

        Args:
            endpoint: Address to bind.
            keys: CURVE keys of this instance and the public keys that it accepts.
            handler: Called with each received message, without its sender; it must not block. An
                exception is logged and counted. Messages of more than one part are skipped.
        """
        self.dropped_count = 0
        self.handler_error_count = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.endpoint = endpoint
        self._keys = keys
        self._handler = handler
        self._is_open = True
        self._context = zmq.asyncio.Context()
        self._sockets_by_endpoint: collections.OrderedDict[Endpoint, zmq.Socket] = (
            collections.OrderedDict()
        )

    def send(self, message: bytes, target: Endpoint) -> None:
        """Queues a message for a peer without blocking, or drops and counts it.

        Messages may be sent before `run` binds the receiving socket. Delivery is not guaranteed, and
        messages that are lost after queueing are not counted.

        Args:
            message: Payload. Its size is not checked; the peer closes the connection if it exceeds
                `_MESSAGE_MAX_BYTES`.
            target: Peer address of the receiving instance.
        """
        if not self._is_open:
            self.dropped_count += 1
            return
        try:
            self._get_or_open_socket(target).send(message, zmq.NOBLOCK)
        except zmq.ZMQError:
            self.dropped_count += 1
            return
        self.sent_bytes += len(message)

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Binds the socket and passes received messages to the handler until cancelled.

        Afterwards the transport is closed and cannot be run again.

        Args:
            task_status: Notified once the socket is bound.

        Raises:
            zmq.ZMQError: If the address cannot be bound.
        """
        authenticator = AsyncioAuthenticator(self._context)
        authenticator.start()
        authenticator.configure_curve_callback("*", _AcceptedKeys(self._keys.accepted_public))
        router = self._context.socket(zmq.ROUTER)
        try:
            router.setsockopt(zmq.LINGER, 0)
            router.setsockopt(zmq.MAXMSGSIZE, _MESSAGE_MAX_BYTES)
            router.curve_server = True
            router.curve_publickey = self._keys.server_public.encode()
            router.curve_secretkey = self._keys.server_secret.encode()
            router.bind(f"tcp://{self.endpoint}")
            task_status.started()
            await self._receive(router)
        finally:
            self._is_open = False
            authenticator.stop()
            self._sockets_by_endpoint.clear()
            # destroy() closes all sockets before it terminates the context; term() alone would wait
            # for messages queued for unreachable peers.
            self._context.destroy(linger=0)

    async def _receive(self, router: zmq.asyncio.Socket) -> None:
        while True:
            _, *parts = await router.recv_multipart()
            if len(parts) == 1:
                self.received_bytes += len(parts[0])
                self._handle(parts[0])

    def _handle(self, message: bytes) -> None:
        try:
            self._handler(message)
        except Exception:  # An error in the handler must not stop the transport.
            self.handler_error_count += 1
            logging.log_every_n_seconds(
                logging.ERROR,
                "peers %s: handler raised on a message of %d bytes (%d failures so far)",
                10,
                self.endpoint,
                len(message),
                self.handler_error_count,
                exc_info=True,
            )

    def _get_or_open_socket(self, target: Endpoint) -> zmq.Socket:
        """Returns the socket connected to a peer; opens it if there is none.

        If that makes more than `_SOCKETS_MAX`, the least recently used socket is closed
        and the messages queued in it are lost.
        """
        peer_socket = self._sockets_by_endpoint.get(target)
        if peer_socket is not None:
            self._sockets_by_endpoint.move_to_end(target)
            return peer_socket
        # Not an asyncio socket: sends do not block, so they need no event loop.
        peer_socket = self._context.socket(zmq.DEALER, socket_class=zmq.Socket)
        peer_socket.setsockopt(zmq.LINGER, 0)
        peer_socket.setsockopt(zmq.SNDHWM, _QUEUED_MESSAGES_MAX)
        peer_socket.curve_serverkey = self._keys.server_public.encode()
        peer_socket.curve_publickey = self._keys.client_public.encode()
        peer_socket.curve_secretkey = self._keys.client_secret.encode()
        peer_socket.connect(f"tcp://{target}")
        self._sockets_by_endpoint[target] = peer_socket
        if len(self._sockets_by_endpoint) > _SOCKETS_MAX:
            _, least_recently_used = self._sockets_by_endpoint.popitem(last=False)
            least_recently_used.close()
        return peer_socket
