"""Authenticated datagrams between instances over ZeroMQ with CURVE keys.

Each instance binds a ROUTER socket and connects a DEALER socket to each peer it sends to. A
process whose public key is not accepted is not heard. References: ZeroMQ RFC 25 (ZMTP-CURVE)
and RFC 27 (ZAP).
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

# Peers that are talked to at the same time; the longest unused connection makes room.
_CONNECTIONS_MAX = 256
# A peer that does not read loses messages; all of them are repeated or pulled by design.
_QUEUE_LIMIT = 1_000
_MESSAGE_MAX_BYTES = 2_000_000


class _AcceptedKeys:
    """Tells the authenticator which public keys are heard."""

    __slots__ = ("_keys",)

    def __init__(self, keys: tuple[str, ...]) -> None:
        self._keys = frozenset(key.encode() for key in keys)

    def callback(self, domain: str, key: bytes) -> bool:
        """Returns whether a client with a Z85 public key may connect."""
        return key in self._keys


class PeerTransport:
    """Owns the sockets for traffic between instances.

    Attributes:
        endpoint: Where the router socket is bound.
        dropped_count: Messages that could not be queued for a peer.
        failed_count: Messages whose handling raised an error.
        sent_bytes: Payload handed to the sockets so far.
        received_bytes: Payload received so far.
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
        """Creates a port that is not open yet.

        Args:
            endpoint: Where to bind.
            keys: CURVE keys of this instance and those it accepts.
            handler: Called with each message; it must not block.
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
        """Queues a message for a peer; it is dropped and counted if the peer does not read."""
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
        """Opens the socket and serves it until cancelled.

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
            await self._read(router)
        finally:
            self._is_open = False
            authenticator.stop()
            self._connections.clear()
            # Closes all sockets first; a plain term() waits for queued messages of dead peers.
            self._context.destroy(linger=0)

    async def _read(self, router: zmq.asyncio.Socket) -> None:
        while True:
            _, *parts = await router.recv_multipart()
            if len(parts) == 1:
                self.received_bytes += len(parts[0])
                self._handle(parts[0])

    def _handle(self, message: bytes) -> None:
        try:
            self._handler(message)
        except Exception:  # The port must outlive a fault in handling one message.
            self.failed_count += 1
            logging.log_every_n_seconds(
                logging.ERROR, "transport: peer message failed", 10, exc_info=True
            )

    def _connect(self, target: Endpoint) -> zmq.Socket:
        connection = self._connections.get(target)
        if connection is not None:
            self._connections.move_to_end(target)
            return connection
        # A plain socket: sends never wait, so they need no event loop.
        connection = self._context.socket(zmq.DEALER, socket_class=zmq.Socket)
        connection.setsockopt(zmq.LINGER, 0)
        connection.setsockopt(zmq.SNDHWM, _QUEUE_LIMIT)
        connection.curve_serverkey = self._keys.server_public.encode()
        connection.curve_publickey = self._keys.client_public.encode()
        connection.curve_secretkey = self._keys.client_secret.encode()
        connection.connect(f"tcp://{target}")
        self._connections[target] = connection
        if len(self._connections) > _CONNECTIONS_MAX:
            _, oldest = self._connections.popitem(last=False)
            oldest.close()
        return connection
