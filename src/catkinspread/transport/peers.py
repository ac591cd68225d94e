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

# Maximum number of outgoing connections; the least recently used one is closed for a new one.
_CONNECTIONS_MAX = 256
# Messages queued for each peer. Further ones are dropped: the protocols on top repeat every message
# or let the peer request it.
_QUEUED_MESSAGES_MAX = 1_000
_MESSAGE_MAX_BYTES = 2_000_000


class _AcceptedKeys:
    """Provides the accepted public keys to the ZeroMQ authenticator."""

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
        failed_count: Received messages for which the handler raised an exception.
        sent_bytes: Total payload of the queued messages.
        received_bytes: Total payload of the received messages.
    """

    __slots__ = (
        "_connections",
        "_context",
        "endpoint",
        "failed_count",
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
            handler: Called with each received message; it must not block.
        """
        self.dropped_count = 0
        self.failed_count = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.endpoint = endpoint
        self._keys = keys
        self._handler = handler
        self._is_open = True
        self._context = zmq.asyncio.Context()
        self._connections: collections.OrderedDict[Endpoint, zmq.Socket] = collections.OrderedDict()

    def send(self, message: bytes, target: Endpoint) -> None:
        """Queues a message for the peer at an address, or drops and counts it; never blocks."""
        if not self._is_open:
            self.dropped_count += 1
            return
        try:
            self._connect(target).send(message, zmq.NOBLOCK)
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
            self._connections.clear()
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
            self.failed_count += 1
            logging.log_every_n_seconds(
                logging.ERROR, "transport: handler failed on a peer message", 10, exc_info=True
            )

    def _connect(self, target: Endpoint) -> zmq.Socket:
        connection = self._connections.get(target)
        if connection is not None:
            self._connections.move_to_end(target)
            return connection
        # Not an asyncio socket: sends do not block, so they need no event loop.
        connection = self._context.socket(zmq.DEALER, socket_class=zmq.Socket)
        connection.setsockopt(zmq.LINGER, 0)
        connection.setsockopt(zmq.SNDHWM, _QUEUED_MESSAGES_MAX)
        connection.curve_serverkey = self._keys.server_public.encode()
        connection.curve_publickey = self._keys.client_public.encode()
        connection.curve_secretkey = self._keys.client_secret.encode()
        connection.connect(f"tcp://{target}")
        self._connections[target] = connection
        if len(self._connections) > _CONNECTIONS_MAX:
            _, least_recently_used = self._connections.popitem(last=False)
            least_recently_used.close()
        return connection
