"""HTTP client for long polls that detects dead connections with TCP keep-alive."""

import socket
from urllib.parse import urlencode

import anyio
import httpcore
import msgspec

from catkinspread.model import Endpoint

_MS_PER_S = 1_000
_CONNECTIONS_MAX = 24
# Keep-alive probes end a call on a dead connection well before the response time-out of a long poll.
_KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2_000),
)


class HttpFailure(Exception):
    """A call failed without an HTTP response."""


class HttpResponse(msgspec.Struct, frozen=True):
    """The response to a call.

    Attributes:
        status: Status code.
        body: Content of the response.
    """

    status: int
    body: bytes


class HttpClient:
    """Client with a pool of persistent connections."""

    __slots__ = ("_pool",)

    def __init__(self) -> None:
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=_CONNECTIONS_MAX, socket_options=_KEEPALIVE_OPTIONS
        )

    async def __aenter__(self) -> "HttpClient":
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._pool.aclose()

    async def get(
        self,
        endpoint: Endpoint,
        path: str,
        query: dict[str, str],
        connect_timeout_ms: int,
        response_timeout_ms: int,
    ) -> HttpResponse:
        """Sends a GET request and returns the response.

        Args:
            endpoint: The server.
            path: Path of the URL.
            query: Query parameters of the URL.
            connect_timeout_ms: Time-out for opening the connection.
            response_timeout_ms: Time-out for the response once the connection is open.

        Raises:
            HttpFailure: If no response arrived within the time-outs.
        """
        connect_s = connect_timeout_ms / _MS_PER_S
        response_s = response_timeout_ms / _MS_PER_S
        url = f"http://{endpoint}{path}" + (f"?{urlencode(query)}" if query else "")
        timeout = {"connect": connect_s, "read": response_s, "write": connect_s, "pool": connect_s}
        try:
            with anyio.fail_after(connect_s + response_s):
                response = await self._pool.request("GET", url, extensions={"timeout": timeout})
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            TimeoutError,
            OSError,
        ) as error:
            raise HttpFailure(f"{url}: {type(error).__name__} {error}") from error
        return HttpResponse(response.status, response.content)
