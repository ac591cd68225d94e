"""An HTTP/1.1 server on h11 for small APIs, with limits on body size and open connections."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus

import anyio
import anyio.abc
import h11
import msgspec
from absl import logging

from catkinspread.model import Endpoint

# A body larger than the limit is still read, up to this many times the limit, so that the client
# receives the status 413 instead of a connection reset.
BODY_DRAIN_FACTOR = 8
HEAD_MAX_BYTES = 16_384
CONNECTIONS_MAX = 4_096
# A connection that receives nothing for this long is closed; idle clients have to reconnect.
IDLE_TIMEOUT_MS = 120_000
# Delay after a connection could not be accepted, for example without a free descriptor.
ACCEPT_RETRY_DELAY_MS = 100
# Clients may repeat a request that fails as fast as they like.
_FAILURE_LOG_INTERVAL_S = 10
_RECEIVE_BYTES = 65_536


class HttpRequest(msgspec.Struct, frozen=True):
    """A received request.

    Attributes:
        method: Method, such as `GET`.
        target: Request target: path and query, still percent-encoded.
        headers: Value by header name in lower case; the last one of a repeated header.
        body: Complete body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class HttpServerResponse(msgspec.Struct, frozen=True):
    """A response to send.

    Attributes:
        status: Status code; one that `http.HTTPStatus` knows.
        body: Body; it must be empty for the status 204.
        is_dropped: Whether the connection is closed without sending the response.
        content_type: Value of the header Content-Type.
        headers: Further headers.
    """

    status: int
    body: bytes = b""
    is_dropped: bool = False
    content_type: str = "application/msgpack"
    headers: tuple[tuple[str, str], ...] = ()


# Handles one request. Called concurrently for different connections, but for one request at a time of
# each connection; the server sets no time limit.
HttpHandler = Callable[[HttpRequest], Awaitable[HttpServerResponse]]


class HttpServer:
    """Serves a limited number of connections.

    A further connection takes the place of the one that has waited longest for a request; if none
    waits, it is closed at once, without a response or a log line. A connection that receives
    nothing for `IDLE_TIMEOUT_MS` while the server waits for data is closed. An unexpected error in
    one connection is logged and closes only that connection. If a connection cannot be accepted,
    the open ones go on and the next attempt follows after `ACCEPT_RETRY_DELAY_MS`.
    """

    __slots__ = (
        "_body_max_bytes",
        "_connections",
        "_connections_max",
        "_handler",
        "_log_prefix",
        "_on_accept",
        "_on_malformed",
        "_waiting",
    )

    def __init__(
        self,
        handler: HttpHandler,
        body_max_bytes: int,
        log_prefix: str,
        on_malformed: Callable[[], None] = lambda: None,
        on_accept: Callable[[OSError | None], None] = lambda _: None,
        connections_max: int = CONNECTIONS_MAX,
    ) -> None:
        """Creates a server.

        Args:
            handler: Returns the response to a request; if it raises, the connection is closed
                without a response.
            body_max_bytes: Requests with a larger body are answered with the status 413.
            log_prefix: Prefix of log lines, without the colon.
            on_malformed: Called once for each connection that is closed for an HTTP protocol error.
            on_accept: Called after each attempt to accept a connection, with the error that it ended
                with; None after a success, or once a descriptor is free after an error.
            connections_max: Maximum number of open connections.
        """
        self._handler = handler
        self._body_max_bytes = body_max_bytes
        self._log_prefix = log_prefix
        self._on_malformed = on_malformed
        self._on_accept = on_accept
        self._connections_max = connections_max
        self._connections = 0
        # Connections that wait for a request, longest wait first.
        self._waiting: dict[anyio.abc.SocketStream, None] = {}

    async def run(
        self,
        endpoint: Endpoint,
        *,
        task_status: anyio.abc.TaskStatus[Endpoint] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accepts and serves connections until cancelled.

        Args:
            endpoint: Address to bind; port 0 lets the system choose a port.
            task_status: Receives the endpoint with the bound port once the server listens.

        Raises:
            OSError: If the address cannot be bound.
        """
        listener = await anyio.create_tcp_listener(
            local_host=endpoint.host, local_port=endpoint.port
        )
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener:
            logging.info("%s: listens on %s:%d", self._log_prefix, endpoint.host, port)
            task_status.started(Endpoint(endpoint.host, port))
            async with anyio.create_task_group() as group:
                for single in listener.listeners:
                    group.start_soon(self._accept_connections, single, group)

    async def _accept_connections(
        self, listener: anyio.abc.Listener, group: anyio.abc.TaskGroup
    ) -> None:
        while True:
            try:
                stream = await listener.accept()
            except OSError as error:
                self._on_accept(error)
                await anyio.sleep(ACCEPT_RETRY_DELAY_MS / 1000)
                self._report_free_descriptor(listener)
                continue
            self._on_accept(None)
            group.start_soon(self._serve, stream)

    def _report_free_descriptor(self, listener: anyio.abc.Listener) -> None:
        """Reports the end of a failure; the next connection may be a long time away."""
        try:
            listener.extra(anyio.abc.SocketAttribute.raw_socket).dup().close()
        except OSError:
            return
        self._on_accept(None)

    async def _close_longest_waiting(self) -> bool:
        """Closes the connection that has waited longest for a request; False if none waits."""
        if not self._waiting:
            return False
        stream = next(iter(self._waiting))
        del self._waiting[stream]
        await stream.aclose()
        return True

    async def _serve(self, stream: anyio.abc.SocketStream) -> None:
        async with stream:
            if (
                self._connections >= self._connections_max
                and not await self._close_longest_waiting()
            ):
                return
            self._connections += 1
            try:
                connection = _Connection(self._handler, self._body_max_bytes, stream, self._waiting)
                if not await connection.run():
                    self._on_malformed()
            except (anyio.BrokenResourceError, anyio.ClosedResourceError, TimeoutError):
                pass
            except Exception:  # An error in one connection must not stop the server.
                logging.log_every_n_seconds(
                    logging.ERROR,
                    "%s: connection failed",
                    _FAILURE_LOG_INTERVAL_S,
                    self._log_prefix,
                    exc_info=True,
                )
            finally:
                self._waiting.pop(stream, None)
                self._connections -= 1


class _Connection:
    """One HTTP/1.1 connection.

    Args:
        handler: See `HttpServer`.
        body_max_bytes: See `HttpServer`.
        stream: The connection.
        waiting: Receives the connection while it waits for a request.
    """

    __slots__ = ("_body_max_bytes", "_handler", "_http", "_stream", "_waiting")

    def __init__(
        self,
        handler: HttpHandler,
        body_max_bytes: int,
        stream: anyio.abc.SocketStream,
        waiting: dict[anyio.abc.SocketStream, None],
    ) -> None:
        self._waiting = waiting
        self._handler = handler
        self._body_max_bytes = body_max_bytes
        self._stream = stream
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_MAX_BYTES)

    async def run(self) -> bool:
        """Serves requests until either side closes the connection.

        Returns:
            False after an HTTP protocol error, otherwise True.
        """
        is_open = True
        while is_open:
            try:
                is_open = await self._serve_next_request()
            except h11.RemoteProtocolError as error:
                await self._send_error(error)
                return False
        return True

    async def _serve_next_request(self) -> bool:
        """Serves one request; returns whether the connection can serve another one."""
        self._waiting[self._stream] = None
        head = await self._next_event()
        if not isinstance(head, h11.Request):
            return False
        body = await self._read_body()
        if body is None:
            await self._send_response(
                head, HttpServerResponse(413, b"body is too large", content_type="text/plain")
            )
            return False
        self._waiting.pop(self._stream, None)
        response = await self._handler(_convert_request(head, body))
        if response.is_dropped:
            return False
        await self._send_response(head, response)
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    async def _read_body(self) -> bytes | None:
        """Returns the body, or None if it is larger than `body_max_bytes`."""
        parts: list[bytes] = []
        size_bytes = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts) if size_bytes <= self._body_max_bytes else None
            if not isinstance(event, h11.Data):
                raise h11.RemoteProtocolError("connection ended within a body")
            size_bytes += len(event.data)
            if size_bytes > BODY_DRAIN_FACTOR * self._body_max_bytes:
                return None
            if size_bytes <= self._body_max_bytes:
                parts.append(bytes(event.data))

    async def _next_event(self) -> object:
        """Returns the next h11 event; sends the status 100 if the client waits for it.

        Raises:
            TimeoutError: After `IDLE_TIMEOUT_MS` without data.
            h11.RemoteProtocolError: If the client violates the protocol.
        """
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self._http.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(status_code=100, headers=[])
                await self._stream.send(self._http.send(continue_response))
            with anyio.fail_after(IDLE_TIMEOUT_MS / 1000):
                self._http.receive_data(await self._receive())

    async def _receive(self) -> bytes:
        try:
            return await self._stream.receive(_RECEIVE_BYTES)
        except anyio.EndOfStream:
            return b""

    async def _send_error(self, error: h11.RemoteProtocolError) -> None:
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        await self._send_response(
            None,
            HttpServerResponse(
                error.error_status_hint, str(error).encode(), content_type="text/plain"
            ),
        )

    async def _send_response(self, head: h11.Request | None, response: HttpServerResponse) -> None:
        """Sends a response.

        Args:
            head: Head of the request; None for a request that could not be parsed, after which the
                connection is closed.
            response: Response to send.
        """
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
        ]
        if response.status == HTTPStatus.NO_CONTENT:
            headers = []
        headers.extend(response.headers)
        if head is None:
            headers.append(("Connection", "close"))
        response_head = h11.Response(
            status_code=response.status, headers=headers, reason=HTTPStatus(response.status).phrase
        )
        data = self._http.send(response_head)
        is_head_request = head is not None and head.method == b"HEAD"
        if response.body and not is_head_request:
            data += self._http.send(h11.Data(data=response.body))
        data += self._http.send(h11.EndOfMessage())
        await self._stream.send(data)


def _convert_request(head: h11.Request, body: bytes) -> HttpRequest:
    headers = {name.decode("ascii"): value.decode("latin-1") for name, value in head.headers}
    return HttpRequest(
        method=head.method.decode("ascii"),
        target=head.target.decode("ascii"),
        headers=headers,
        body=body,
    )
