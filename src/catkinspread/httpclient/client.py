"""HTTP client for long polls that detects dead connections with TCP keep-alive."""

import socket
from urllib.parse import urlencode

import anyio
import httpcore
import msgspec

from catkinspread.model import Endpoint

_MS_PER_S = 1_000
# Maximum number of open connections. A call above it waits up to `connect_timeout_ms` for a free
# connection and then raises HttpFailure.
_CONNECTIONS_MAX = 24
# An answer without an end would fill the memory of the process. A page of the source holds 1 MB plus
# one object. Several answers are read at the same time.
RESPONSE_MAX_BYTES = 8 * 1_048_576
# After 1 s without traffic, 2 keep-alive probes are sent 1 s apart. A call on a dead connection thus
# fails within about 3 s, well before the response time-out of a long poll. TCP_USER_TIMEOUT is in ms
# and limits the time that sent data may remain unacknowledged. Some options exist only on Linux.
_KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2_000),
)

_JSON_HEADERS = [(b"Content-Type", b"application/json")]


class HttpFailure(Exception):
    """A call failed without an HTTP response."""


class ResponseTooLarge(Exception):
    """The body of a response is larger than `RESPONSE_MAX_BYTES`; part of an HttpFailure."""


class HttpResponse(msgspec.Struct, frozen=True):
    """The response to a call.

    Attributes:
        status: Status code.
        body: Content of the response.
        headers: Names and values of the headers, as received.
    """

    status: int
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()

    def find_header(self, name: bytes) -> bytes | None:
        """Returns the value of a header; None if the response has none.

        Args:
            name: Name of the header in lower case.
        """
        for found, value in self.headers:
            if found.lower() == name:
                return value
        return None


def _build_url(endpoint: Endpoint, path: str, query: dict[str, str]) -> str:
    """Returns the URL of a call.

    Raises:
        HttpFailure: If the host is no host of a URL; it may come from another instance.
    """
    host = f"[{endpoint.host}]" if ":" in endpoint.host else endpoint.host
    url = f"http://{host}:{endpoint.port}{path}" + (f"?{urlencode(query)}" if query else "")
    try:
        httpcore.URL(url)
    except (TypeError, ValueError) as error:
        raise HttpFailure(f"GET {url!r} failed: {error!r}") from error
    return url


class HttpClient:
    """Client with a pool of persistent connections.

    It is an asynchronous context manager, and must be used as one, because the exit closes the
    pool.
    """

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

        The whole call is limited to the sum of both time-outs.

        Args:
            endpoint: The server.
            path: Path of the URL.
            query: Query parameters of the URL.
            connect_timeout_ms: Time-out in ms of each step up to the response: the wait for a
                connection of the pool, opening it, and sending the request.
            response_timeout_ms: Time-out in ms of each read of the response.

        Raises:
            HttpFailure: If the call failed, no complete response arrived within the time-outs, or it
                is larger than `RESPONSE_MAX_BYTES`.
        """
        return await self.send(
            "GET", endpoint, path, query, b"", connect_timeout_ms, response_timeout_ms
        )

    async def send(
        self,
        method: str,
        endpoint: Endpoint,
        path: str,
        query: dict[str, str],
        body: bytes,
        connect_timeout_ms: int,
        response_timeout_ms: int,
    ) -> HttpResponse:
        """Sends a request with a JSON body and returns the response.

        Args:
            method: Method, such as `PUT`.
            endpoint: See `get`, also for the other arguments.
            path: Path of the URL.
            query: Query parameters of the URL.
            body: Body of the request; empty for none.
            connect_timeout_ms: See `get`.
            response_timeout_ms: See `get`.

        Raises:
            HttpFailure: If the call failed or no complete response arrived within the time-outs;
                the server may have executed it.
        """
        connect_s = connect_timeout_ms / _MS_PER_S
        response_s = response_timeout_ms / _MS_PER_S
        url = _build_url(endpoint, path, query)
        timeout = {"connect": connect_s, "read": response_s, "write": connect_s, "pool": connect_s}
        try:
            with anyio.fail_after(connect_s + response_s):
                return await self._read_response(method, url, body, timeout)
        except (
            httpcore.ConnectionNotAvailable,
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            httpcore.UnsupportedProtocol,
            TimeoutError,
            OSError,
            ResponseTooLarge,
            MemoryError,  # The answer is not kept, so its memory is free again.
        ) as error:
            raise HttpFailure(
                f"{method} {url} failed: {error!r} (time-outs: {connect_timeout_ms} ms to connect, "
                f"{response_timeout_ms} ms to read the response)"
            ) from error

    async def _read_response(
        self, method: str, url: str, body: bytes, timeout: dict[str, float]
    ) -> HttpResponse:
        """Sends a request and reads the response; leaving the stream early closes its connection.

        Raises:
            ResponseTooLarge: If the body is larger than `RESPONSE_MAX_BYTES`.
        """
        async with self._pool.stream(
            method,
            url,
            headers=_JSON_HEADERS if body else None,
            content=body or None,
            extensions={"timeout": timeout},
        ) as response:
            chunks: list[bytes] = []
            size_bytes = 0
            async for chunk in response.aiter_stream():
                chunks.append(chunk)
                size_bytes += len(chunk)
                if size_bytes > RESPONSE_MAX_BYTES:
                    raise ResponseTooLarge(f"body is larger than {RESPONSE_MAX_BYTES} bytes")
            return HttpResponse(response.status, b"".join(chunks), tuple(response.headers))
