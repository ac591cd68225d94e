"""An HTTP client for calls that may wait long, on connections that may go silent."""

import socket
from urllib.parse import urlencode

import anyio
import httpcore
import msgspec

from catkinspread.model import Endpoint

_MS_PER_S = 1_000
_CONNECTIONS_MAX = 24
# Ends a call when its connection went silent, also while the call has long to wait.
_KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2_000),
)


class HttpFailure(Exception):
    """A call got no answer."""


class HttpResponse(msgspec.Struct, frozen=True):
    """The answer to a call.

    Attributes:
        status: Status code.
        body: Content.
    """

    status: int
    body: bytes


class HttpClient:
    """Keeps connections open and shares them between callers."""

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
        """Makes a call.

        Args:
            endpoint: The server.
            path: Path of the call.
            query: Parameters of the call.
            connect_timeout_ms: Longest time until the connection is open.
            response_timeout_ms: Longest time until the answer is there.

        Raises:
            HttpFailure: If there was no answer in time.
        """
        connect_s = connect_timeout_ms / _MS_PER_S
        answer_s = response_timeout_ms / _MS_PER_S
        url = f"http://{endpoint}{path}" + (f"?{urlencode(query)}" if query else "")
        timeout = {"connect": connect_s, "read": answer_s, "write": connect_s, "pool": connect_s}
        try:
            with anyio.fail_after(connect_s + answer_s):
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
