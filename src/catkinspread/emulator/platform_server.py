"""A stand-in for the platform: the object API and the list of instances over HTTP/1.1.

It serves the mapping of `docs/objectstore.md` from a MemoryObjectStore. A fault that loses an
answer closes the connection, as a real loss looks to the client.
"""

from http import HTTPStatus

import anyio
import anyio.abc
import h11
from absl import logging

from catkinspread.clock import Clock, SystemClock
from catkinspread.emulator.platform_api import (
    ApiAnswer,
    ApiRequest,
    PlatformApi,
    PlatformSettings,
    encode_error,
)
from catkinspread.model import Endpoint
from catkinspread.objectstore import VALUE_MAX_BYTES, MemoryObjectStore

# A msgpack body adds a few bytes to the value; a body up to the drain limit is read to its end,
# so that the client sees the status 413 instead of a reset connection.
BODY_MAX_BYTES = VALUE_MAX_BYTES + 4_096
BODY_DRAIN_MAX_BYTES = 8 * VALUE_MAX_BYTES
HEAD_MAX_BYTES = 16_384
CONNECTIONS_MAX = 4_096
# A connection that sends nothing for this long is closed; idle clients connect again.
IDLE_TIMEOUT_MS = 120_000
_RECEIVE_BYTES = 65_536


async def run_platform(
    host: str,
    port: int,
    settings: PlatformSettings | None = None,
    *,
    store: MemoryObjectStore | None = None,
    clock: Clock | None = None,
    task_status: anyio.abc.TaskStatus[Endpoint] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serves the platform until it is cancelled.

    Args:
        host: IP number to listen on.
        port: Port to listen on; 0 takes a free one.
        settings: Limits.
        store: Objects to start with; its faults are reset.
        clock: Time of the rate limits and of the list of instances.
        task_status: Is given the endpoint once the server listens.
    """
    api = PlatformApi(
        settings or PlatformSettings(), store or MemoryObjectStore(), clock or SystemClock()
    )
    listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
    bound_port = listener.extra(anyio.abc.SocketAttribute.local_port)
    server = _Server(api)
    async with listener:
        logging.info("platform: listens on %s:%d", host, bound_port)
        task_status.started(Endpoint(host, bound_port))
        await listener.serve(server.serve)


class _Server:
    """Accepts connections within a limit; a fault of one never ends the others."""

    __slots__ = ("_api", "_connections")

    def __init__(self, api: PlatformApi) -> None:
        self._api = api
        self._connections = 0

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Serves a connection to its end."""
        async with stream:
            if self._connections >= CONNECTIONS_MAX:
                return
            self._connections += 1
            try:
                await _Connection(self._api, stream).run()
            except (anyio.BrokenResourceError, anyio.ClosedResourceError, TimeoutError):
                pass
            except Exception:  # The server must outlive any fault in one connection.
                logging.exception("platform: connection failed")
            finally:
                self._connections -= 1


class _Connection:
    """One HTTP/1.1 connection."""

    __slots__ = ("_api", "_http", "_stream")

    def __init__(self, api: PlatformApi, stream: anyio.abc.SocketStream) -> None:
        self._api = api
        self._stream = stream
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_MAX_BYTES)

    async def run(self) -> None:
        """Answers requests until either side ends the connection."""
        is_open = True
        while is_open:
            try:
                is_open = await self._answer_next()
            except h11.RemoteProtocolError as error:
                self._api.counters.malformed_count += 1
                await self._refuse(error)
                return

    async def _answer_next(self) -> bool:
        head = await self._next_event()
        if not isinstance(head, h11.Request):
            return False
        body = await self._read_body()
        if body is None:
            await self._send(head, encode_error(413, "body is too large"))
            return False
        answer = await self._api.answer(_convert_request(head, body))
        if answer.is_lost:
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
                return b"".join(parts) if size_bytes <= BODY_MAX_BYTES else None
            if not isinstance(event, h11.Data):
                raise h11.RemoteProtocolError("connection ended within a body")
            size_bytes += len(event.data)
            if size_bytes > BODY_DRAIN_MAX_BYTES:
                return None
            if size_bytes <= BODY_MAX_BYTES:
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
        await self._send(None, encode_error(error.error_status_hint, str(error)))

    async def _send(self, head: h11.Request | None, answer: ApiAnswer) -> None:
        headers = [
            ("Content-Type", "application/msgpack"),
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


def _convert_request(head: h11.Request, body: bytes) -> ApiRequest:
    headers = {name.decode("ascii"): value.decode("latin-1") for name, value in head.headers}
    return ApiRequest(
        method=head.method.decode("ascii"),
        target=head.target.decode("ascii"),
        headers=headers,
        body=body,
    )
