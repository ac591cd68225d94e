"""Tests of an HTTP server that lacks connections or descriptors."""

import contextlib
import os
import resource
import socket
from collections.abc import AsyncIterator, Callable, Iterator

import anyio
import anyio.abc
import pytest
from absl import logging

from catkinspread.model import Endpoint
from catkinspread.transport.http_server import (
    HttpRequest,
    HttpServer,
    HttpServerResponse,
)

_HOST = "127.0.0.1"
_REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
_CONNECTIONS_MAX = 2
_TIMEOUT_S = 10


async def _answer(_: HttpRequest) -> HttpServerResponse:
    return HttpServerResponse(200)


async def _fail(_: HttpRequest) -> HttpServerResponse:
    raise ValueError("no answer")


@contextlib.asynccontextmanager
async def _serve(server: HttpServer) -> AsyncIterator[int]:
    """Runs a server and yields its port."""
    with anyio.fail_after(_TIMEOUT_S):
        async with anyio.create_task_group() as group:
            endpoint = await group.start(server.run, Endpoint(_HOST, 0))
            yield endpoint.port
            group.cancel_scope.cancel()


async def _ask(stream: anyio.abc.SocketStream) -> bytes:
    """Sends a request and returns what is received; empty if the connection is closed."""
    try:
        await stream.send(_REQUEST)
        return await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return b""


@contextlib.contextmanager
def _occupied_descriptors(left: int) -> Iterator[None]:
    """Occupies the descriptors of this process but for some."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    with contextlib.ExitStack() as stack:
        lowest_free = os.dup(0)
        os.close(lowest_free)
        limit = lowest_free + 32
        resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
        stack.callback(resource.setrlimit, resource.RLIMIT_NOFILE, (soft, hard))
        opened = []
        with contextlib.suppress(OSError):
            while True:
                opened.append(os.dup(0))
        for descriptor in opened[left:]:
            stack.callback(os.close, descriptor)
        for descriptor in opened[:left]:
            os.close(descriptor)
        yield


async def _wait_for(condition: Callable[[], bool]) -> None:
    with anyio.fail_after(_TIMEOUT_S):
        while not condition():
            await anyio.sleep(0.01)


def test_idle_connections_do_not_keep_out_a_new_one() -> None:
    """Guards against clients that send nothing and so take an instance out of rotation."""

    async def run() -> None:
        server = HttpServer(_answer, 1_024, "test", connections_max=_CONNECTIONS_MAX)
        async with _serve(server) as port, contextlib.AsyncExitStack() as stack:
            for _ in range(_CONNECTIONS_MAX):
                stream = await stack.enter_async_context(await anyio.connect_tcp(_HOST, port))
                assert (await _ask(stream)).startswith(b"HTTP/1.1 200")
            new = await stack.enter_async_context(await anyio.connect_tcp(_HOST, port))
            assert (await _ask(new)).startswith(b"HTTP/1.1 200")

    anyio.run(run)


def test_connection_that_waits_for_its_answer_is_not_closed_for_a_new_one() -> None:
    """Guards against long polls that are broken off while other clients connect."""
    is_released = anyio.Event()

    async def answer_late(_: HttpRequest) -> HttpServerResponse:
        await is_released.wait()
        return HttpServerResponse(200)

    async def run() -> None:
        server = HttpServer(answer_late, 1_024, "test", connections_max=1)
        async with _serve(server) as port, await anyio.connect_tcp(_HOST, port) as first:
            await first.send(_REQUEST)
            await anyio.sleep(0.05)
            async with await anyio.connect_tcp(_HOST, port) as second:
                assert await _ask(second) == b""
            is_released.set()
            assert (await first.receive()).startswith(b"HTTP/1.1 200")

    anyio.run(run)


def test_server_recovers_from_a_lack_of_descriptors_without_a_new_connection() -> None:
    """Guards against a feed that counts as failing for good: other instances leave it meanwhile."""
    results: list[OSError | None] = []

    async def run() -> None:
        server = HttpServer(_answer, 1_024, "test", on_accept=results.append)
        async with _serve(server) as port, await anyio.connect_tcp(_HOST, port) as first:
            assert await _ask(first)
            client = socket.socket()
            client.setblocking(False)
            with client, _occupied_descriptors(left=1):
                # The server accepts this connection with the last descriptor, and then waits for
                # the next one without any.
                with contextlib.suppress(BlockingIOError):
                    client.connect((_HOST, port))
                await _wait_for(lambda: any(results))
            await _wait_for(lambda: results[-1] is None)

    anyio.run(run)


def test_log_of_failing_requests_is_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a traceback for each request that a client repeats."""
    lines: list[object] = []
    monkeypatch.setattr(logging.get_absl_logger(), "handle", lines.append)

    async def run() -> None:
        async with _serve(HttpServer(_fail, 1_024, "test")) as port:
            for _ in range(5):
                async with await anyio.connect_tcp(_HOST, port) as stream:
                    assert await _ask(stream) == b""

    anyio.run(run)
    assert len(lines) <= 1
