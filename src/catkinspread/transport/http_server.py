"""An HTTP/1.1 server on h11 for small APIs: one handler, bounded bodies and connections."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus

import anyio
import anyio.abc
import h11
import msgspec
from absl import logging

from catkinspread.model import Endpoint

# A body up to the drain limit is read to its end, so that the client sees the status 413
# instead of a reset connection.
BODY_DRAIN_FACTOR = 8
HEAD_MAX_BYTES = 16_384
CONNECTIONS_MAX = 4_096
# A connection that sends nothing for this long is closed; idle clients connect again.
IDLE_TIMEOUT_MS = 120_000
_RECEIVE_BYTES = 65_536


class HttpRequest(msgspec.Struct, frozen=True):
    """A request as read from a connection; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class HttpServerResponse(msgspec.Struct, frozen=True):
    """An answer to send; `is_dropped` closes the connection without sending it."""

    status: int
    body: bytes = b""
    is_dropped: bool = False
    content_type: str = "application/msgpack"


HttpHandler = Callable[[HttpRequest], Awaitable[HttpServerResponse]]


class HttpServer:
    """Accepts connections within a limit; a fault of one never ends the others."""

    __slots__ = ("_body_max_bytes", "_connections", "_handler", "_log_prefix", "_on_malformed")

    def __init__(
        self,
        handler: HttpHandler,
        body_max_bytes: int,
        log_prefix: str,
        on_malformed: Callable[[], None] = lambda: None,
    ) -> None:
        """Creates a server.

        Args:
            handler: Answers a request; it must turn its own errors into answers.
            body_max_bytes: Larger bodies are answered 413.
            log_prefix: Part that log lines begin with.
            on_malformed: Called for each connection that sent something other than HTTP.
        """
        self._handler = handler
        self._body_max_bytes = body_max_bytes
        self._log_prefix = log_prefix
        self._on_malformed = on_malformed
        self._connections = 0

    async def run(
        self,
        endpoint: Endpoint,
        *,
        task_status: anyio.abc.TaskStatus[Endpoint] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until cancelled; the started value is the endpoint with its real port."""
        listener = await anyio.create_tcp_listener(
            local_host=endpoint.host, local_port=endpoint.port
        )
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener:
            logging.info("%s: listens on %s:%d", self._log_prefix, endpoint.host, port)
            task_status.started(Endpoint(endpoint.host, port))
            await listener.serve(self._serve)

    async def _serve(self, stream: anyio.abc.SocketStream) -> None:
        async with stream:
            if self._connections >= CONNECTIONS_MAX:
                return
            self._connections += 1
            try:
                connection = _Connection(self._handler, self._body_max_bytes, stream)
                if not await connection.run():
                    self._on_malformed()
            except (anyio.BrokenResourceError, anyio.ClosedResourceError, TimeoutError):
                pass
            except Exception:  # The server must outlive any fault in one connection.
                logging.exception("%s: connection failed", self._log_prefix)
            finally:
                self._connections -= 1


class _Connection:
    """One HTTP/1.1 connection."""

    __slots__ = ("_body_max_bytes", "_handler", "_http", "_stream")

    def __init__(
        self, handler: HttpHandler, body_max_bytes: int, stream: anyio.abc.SocketStream
    ) -> None:
        self._handler = handler
        self._body_max_bytes = body_max_bytes
        self._stream = stream
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_MAX_BYTES)

    async def run(self) -> bool:
        """Answers requests until either side ends the connection.

        Returns:
            Whether all that was received was valid HTTP.
        """
        is_open = True
        while is_open:
            try:
                is_open = await self._answer_next()
            except h11.RemoteProtocolError as error:
                await self._refuse(error)
                return False
        return True

    async def _answer_next(self) -> bool:
        head = await self._next_event()
        if not isinstance(head, h11.Request):
            return False
        body = await self._read_body()
        if body is None:
            await self._send(
                head, HttpServerResponse(413, b"body is too large", content_type="text/plain")
            )
            return False
        answer = await self._handler(_convert_request(head, body))
        if answer.is_dropped:
            return False
        await self._send(head, answer)
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    async def _read_body(self) -> bytes | None:
        """Returns the body, or None if it is larger than allowed."""
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
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self._http.they_are_waiting_for_100_continue:
                go_ahead = h11.InformationalResponse(status_code=100, headers=[])
                await self._stream.send(self._http.send(go_ahead))
            with anyio.fail_after(IDLE_TIMEOUT_MS / 1000):
                self._http.receive_data(await self._receive())

    async def _receive(self) -> bytes:
        try:
            return await self._stream.receive(_RECEIVE_BYTES)
        except anyio.EndOfStream:
            return b""

    async def _refuse(self, error: h11.RemoteProtocolError) -> None:
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        await self._send(
            None,
            HttpServerResponse(
                error.error_status_hint, str(error).encode(), content_type="text/plain"
            ),
        )

    async def _send(self, head: h11.Request | None, answer: HttpServerResponse) -> None:
        headers = [
            ("Content-Type", answer.content_type),
            ("Content-Length", str(len(answer.body))),
        ]
        if answer.status == HTTPStatus.NO_CONTENT:
            headers = []
        if head is None:
            headers.append(("Connection", "close"))
        response = h11.Response(
            status_code=answer.status, headers=headers, reason=HTTPStatus(answer.status).phrase
        )
        data = self._http.send(response)
        is_head = head is not None and head.method == b"HEAD"
        if answer.body and not is_head:
            data += self._http.send(h11.Data(data=answer.body))
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
