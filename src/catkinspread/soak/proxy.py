"""A TCP proxy on loopback that delays, resets, silences and cuts connections."""

import enum
import socket
import struct

import anyio
import anyio.abc
from absl import logging

from catkinspread.model import Endpoint

_CHUNK_BYTES = 65_536
_DELAY_MS = 200
_MS_PER_S = 1_000
# Closing with this option sends a reset.
_LINGER_RESET = struct.pack("ii", 1, 0)


class ProxyMode(enum.Enum):
    """What happens to bytes that pass."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    ANSWERS_LOST = "answers_lost"
    RESET = "reset"


class FaultProxy:
    """Passes connections to one server.

    Args:
        endpoint: Where it listens.
        server: Where it connects to.

    Attributes:
        mode: What happens to bytes from now on; new connections are reset in mode RESET.
    """

    __slots__ = ("_endpoint", "_open", "_server", "mode")

    def __init__(self, endpoint: Endpoint, server: Endpoint) -> None:
        self._endpoint = endpoint
        self._server = server
        self._open: set[anyio.abc.SocketStream] = set()
        self.mode = ProxyMode.PASS

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self._endpoint.host, local_port=self._endpoint.port
        )
        async with listener:
            task_status.started()
            await listener.serve(self._serve)

    async def reset_connections(self) -> None:
        """Resets all open connections."""
        for stream in list(self._open):
            await _reset(stream)

    async def _serve(self, client: anyio.abc.SocketStream) -> None:
        if self.mode is ProxyMode.RESET:
            await _reset(client)
            return
        self._open.add(client)
        try:
            async with client, await self._connect() as server, anyio.create_task_group() as group:
                group.start_soon(self._pump, client, server, group.cancel_scope, False)
                await self._pump(server, client, group.cancel_scope, True)
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            logging.vlog(1, "soak: connection through the proxy ended: %r", error)
        finally:
            self._open.discard(client)

    async def _connect(self) -> anyio.abc.SocketStream:
        return await anyio.connect_tcp(self._server.host, self._server.port)

    async def _pump(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        scope: anyio.CancelScope,
        is_answer: bool,
    ) -> None:
        try:
            while True:
                data = await source.receive(_CHUNK_BYTES)
                if self.mode is ProxyMode.DELAY:
                    await anyio.sleep(_DELAY_MS / _MS_PER_S)
                if self.mode is ProxyMode.SILENT:
                    continue
                if self.mode is ProxyMode.ANSWERS_LOST and is_answer:
                    continue
                await sink.send(data)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            scope.cancel()  # Either end closed the connection, so both are closed.


async def _reset(stream: anyio.abc.SocketStream) -> None:
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    await anyio.aclose_forcefully(stream)
