"""Tests of answers that are too large, incomplete or no answers."""

from collections.abc import Callable

import anyio
import anyio.abc
import pytest

from catkinspread.httpclient import HttpClient, HttpFailure, HttpResponse
from catkinspread.httpclient import client as client_module
from catkinspread.model import Endpoint

_TIMEOUT_MS = 20_000
_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
_CHUNK_BYTES = 65_536


async def _call(
    serve: Callable[[anyio.abc.SocketStream], object], calls: int = 1
) -> list[HttpResponse | HttpFailure]:
    """Makes calls to a server, one after the other, and returns their results."""
    results: list[HttpResponse | HttpFailure] = []
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    endpoint = Endpoint("127.0.0.1", listener.extra(anyio.abc.SocketAttribute.local_port))
    async with HttpClient() as client, listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve)
        for _ in range(calls):
            try:
                results.append(await client.get(endpoint, "/", {}, _TIMEOUT_MS, _TIMEOUT_MS))
            except HttpFailure as error:
                results.append(error)
        group.cancel_scope.cancel()
    return results


def test_endless_body_is_a_failure_and_its_connection_is_closed() -> None:
    """Guards against an answer that fills the memory of the instance."""
    sent_bytes = 0

    async def serve(stream: anyio.abc.SocketStream) -> None:
        nonlocal sent_bytes
        async with stream:
            await stream.receive()
            await stream.send(_HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
            chunk = b"%x\r\n" % _CHUNK_BYTES + bytes(_CHUNK_BYTES) + b"\r\n"
            try:
                while True:
                    await stream.send(chunk)
                    sent_bytes += _CHUNK_BYTES
            except anyio.BrokenResourceError:
                return

    (result,) = anyio.run(_call, serve)
    assert isinstance(result, HttpFailure)
    assert "larger than" in str(result)
    assert sent_bytes < 4 * client_module.RESPONSE_MAX_BYTES


def test_connection_is_used_again_after_a_complete_answer() -> None:
    """Guards against a new connection for each call."""
    connections = 0

    async def serve(stream: anyio.abc.SocketStream) -> None:
        nonlocal connections
        connections += 1
        async with stream:
            try:
                while True:
                    await stream.receive()
                    await stream.send(_HEAD + b"Content-Length: 2\r\n\r\n{}")
            except anyio.EndOfStream:
                return

    results = anyio.run(_call, serve, 3)
    assert [result.body for result in results] == [b"{}"] * 3
    assert connections == 1


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        _HEAD + b"Content-Length: 500\r\n\r\n{",
        _HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        _HEAD + b"Content-Length: many\r\n\r\n",
        b"HTTP/1.1 200\xff\r\n\r\n",
        b"\x00" * 65_536,
        _HEAD + b"a: b\r\n" * 40_000,
    ],
    ids=["closed", "cut off", "chunk", "length", "status", "noise", "long head"],
)
def test_incomplete_or_malformed_answer_is_a_failure(answer: bytes) -> None:
    """Guards against an exception that no caller expects and that ends the process."""

    async def serve(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await stream.receive()
            try:
                await stream.send(answer)
            except anyio.BrokenResourceError:
                return

    (result,) = anyio.run(_call, serve)
    assert isinstance(result, HttpFailure)


@pytest.mark.parametrize("host", ["::1", "::1%no", "é", "[", "127.0.0.1\x00"])
def test_address_that_cannot_be_used_is_a_failure(host: str) -> None:
    """Guards against an end by the address of another writer."""

    async def call() -> None:
        async with HttpClient() as client:
            await client.get(Endpoint(host, 1), "/", {}, 500, 500)

    with pytest.raises(HttpFailure):
        anyio.run(call)
