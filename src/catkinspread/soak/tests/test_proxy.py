"""The proxy in front of the store does what its mode says."""

from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import pytest

from catkinspread.httpclient import HttpClient, HttpFailure
from catkinspread.model import Endpoint
from catkinspread.platform.tests.stand_ins import find_free_port
from catkinspread.soak.proxy import FaultProxy, ProxyMode
from catkinspread.transport.http_server import HttpRequest, HttpServer, HttpServerResponse

_TIMEOUT_MS = 600


async def _answer(_: HttpRequest) -> HttpServerResponse:
    return HttpServerResponse(200, b"{}", content_type="application/json")


def _play(scenario: Callable[[FaultProxy, Callable[[], Awaitable[int]]], Awaitable[None]]) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as group, HttpClient() as client:
            server = HttpServer(_answer, 1_024, "test")
            endpoint = await group.start(server.run, Endpoint("127.0.0.1", 0))
            address = Endpoint("127.0.0.1", find_free_port())
            proxy = FaultProxy(address, endpoint)
            await group.start(proxy.run)

            async def call() -> int:
                result = await client.get(address, "/", {}, _TIMEOUT_MS, _TIMEOUT_MS)
                return result.status

            await scenario(proxy, call)
            group.cancel_scope.cancel()

    anyio.run(run)


def test_passes_calls_also_after_a_reset_of_open_connections() -> None:
    """Guards against a proxy that stays broken after a fault."""

    async def scenario(proxy: FaultProxy, call: Callable[[], Awaitable[int]]) -> None:
        assert await call() == 200
        await proxy.reset_connections()
        await anyio.sleep(0.05)
        assert await call() == 200

    _play(scenario)


@pytest.mark.parametrize("mode", [ProxyMode.SILENT, ProxyMode.ANSWERS_LOST, ProxyMode.RESET])
def test_mode_lets_no_answer_through(mode: ProxyMode) -> None:
    """Guards against faults of a soak that are none."""

    async def scenario(proxy: FaultProxy, call: Callable[[], Awaitable[int]]) -> None:
        proxy.mode = mode
        with pytest.raises(HttpFailure):
            await call()

    _play(scenario)
