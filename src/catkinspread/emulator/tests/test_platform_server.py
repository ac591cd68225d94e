"""Tests of the stand-in platform with the HTTP client over loopback."""

from collections.abc import Awaitable, Callable
from functools import partial

import anyio
import httpx
import msgspec
import pytest

from catkinspread.clock import ManualClock
from catkinspread.emulator.platform_api import PlatformCounters, PlatformFaults, PlatformSettings
from catkinspread.emulator.platform_server import BODY_DRAIN_MAX_BYTES, run_platform
from catkinspread.model import Endpoint
from catkinspread.objectstore import (
    VALUE_MAX_BYTES,
    AppendLog,
    AppendOutcome,
    HttpInstanceRegistry,
    HttpObjectStore,
    InstanceRecord,
    InstanceState,
    MemoryObjectStore,
    ObjectExists,
    ObjectNotFound,
    OutcomeUnknown,
    StoreUnavailable,
    ValueTooLarge,
    VersionConflict,
)


class Platform:
    """A running stand-in with its clock and its URL."""

    def __init__(self, endpoint: Endpoint, clock: ManualClock) -> None:
        self.endpoint = endpoint
        self.clock = clock
        self.url = f"http://{endpoint}"

    async def set_faults(self, **faults: object) -> None:
        body = msgspec.msgpack.encode(PlatformFaults(**faults))
        async with httpx.AsyncClient(base_url=self.url) as raw:
            assert (await raw.put("/control/faults", content=body)).status_code == 204

    async def read_counters(self) -> PlatformCounters:
        async with httpx.AsyncClient(base_url=self.url) as raw:
            answer = await raw.get("/control/counters")
        return msgspec.msgpack.decode(answer.content, type=PlatformCounters)


def run_with_platform(
    scenario: Callable[[Platform, HttpObjectStore], Awaitable[None]],
    answer_timeout_ms: int = 10_000,
    **settings: int,
) -> None:
    async def run() -> None:
        clock = ManualClock()
        serve = partial(run_platform, "127.0.0.1", 0, PlatformSettings(**settings), clock=clock)
        async with anyio.create_task_group() as tasks:
            platform = Platform(await tasks.start(serve), clock)
            async with HttpObjectStore(
                platform.url, response_timeout_ms=answer_timeout_ms
            ) as client:
                await scenario(platform, client)
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_calls_have_the_results_of_the_memory_store():
    """Guards against a mapping that confuses absent, taken and changed objects."""

    async def scenario(_: Platform, client: HttpObjectStore) -> None:
        for store in (client, MemoryObjectStore()):
            key = "a/./../é %2F?#/"
            assert await store.create(key, b"\x00one") == 1
            assert await store.update(key, b"two", 1) == 2
            stored = await store.get(key)
            assert (stored.key, stored.value, stored.version) == (key, b"two", 2)
            with pytest.raises(ObjectExists):
                await store.create(key, b"")
            with pytest.raises(VersionConflict):
                await store.update(key, b"", 1)
            with pytest.raises(VersionConflict):
                await store.delete(key, 1)
            with pytest.raises(ObjectNotFound):
                await store.update("b", b"", 1)
            with pytest.raises(ValueTooLarge):
                await store.create("large", b"x" * (VALUE_MAX_BYTES + 1))
            await store.create("full", b"x" * VALUE_MAX_BYTES)
            await store.create("a/b", b"")
            assert [found.key for found in await store.scan("a/")] == [key, "a/b"]
            assert [found.key for found in await store.scan("a/", after=key, limit=1)] == ["a/b"]
            assert [found.key for found in await store.watch("f", "", 10_000)] == ["full"]
            await store.delete(key, 2)
            with pytest.raises(ObjectNotFound):
                await store.get(key)

    run_with_platform(scenario)


def test_watch_reports_an_object_created_later():
    """Guards against watches that only end by their timeout."""

    async def scenario(platform: Platform, client: HttpObjectStore) -> None:
        found = []

        async def wait() -> None:
            found.extend(await client.watch("log/", "log/1", 60_000))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(wait)
            while (await platform.read_counters()).waiting_watches == 0:
                await anyio.sleep(0.001)
            await client.create("log/2", b"x")
        assert [stored.key for stored in found] == ["log/2"]
        assert (await platform.read_counters()).read_count == 1

    run_with_platform(scenario)


def test_lost_answers_and_lost_writes_leave_exactly_one_entry():
    """Guards against a change that is lost or doubled when the connection breaks."""

    async def scenario(platform: Platform, client: HttpObjectStore) -> None:
        log = AppendLog(client, "log")
        await platform.set_faults(lost_answers=1)
        assert await log.append(1, "a", b"") is AppendOutcome.WRITTEN
        await platform.set_faults(lost_writes=1)
        with pytest.raises(OutcomeUnknown):
            await log.append(2, "b", b"")
        assert [entry.entry_id for entry in await log.read_after(0)] == ["a"]

    run_with_platform(scenario)


def test_slow_platform_is_unavailable_for_reads_and_unknown_for_writes():
    """Guards against a slow write that is taken for one that had no effect."""

    async def scenario(platform: Platform, client: HttpObjectStore) -> None:
        await platform.set_faults(delay_ms=60_000)
        with pytest.raises(StoreUnavailable):
            await client.get("a")
        with pytest.raises(OutcomeUnknown):
            await client.create("a", b"")

    run_with_platform(scenario, answer_timeout_ms=50)


def test_refused_calls_are_unavailable_and_write_nothing():
    """Guards against a refused write that its caller must treat as unknown."""

    async def scenario(platform: Platform, client: HttpObjectStore) -> None:
        await client.create("a", b"")
        with pytest.raises(StoreUnavailable):
            await client.create("b", b"")
        platform.clock.advance(1_000)
        await client.create("b", b"")
        await platform.set_faults(is_down=True)
        platform.clock.advance(1_000)
        with pytest.raises(StoreUnavailable):
            await client.create("c", b"")
        await platform.set_faults()
        assert [stored.key for stored in await client.scan("")] == ["a", "b"]
        counters = await platform.read_counters()
        assert (counters.write_count, counters.refused_count) == (4, 1)

    run_with_platform(scenario, writes_per_s=1)


def test_closed_port_is_unavailable():
    """Guards against a write that is taken for unknown although it was never sent."""

    async def scenario(platform: Platform, _: HttpObjectStore) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        await listener.aclose()
        async with HttpObjectStore(f"http://127.0.0.1:{port}") as client:
            with pytest.raises(StoreUnavailable):
                await client.create("a", b"")

    run_with_platform(scenario)


def test_watch_that_ends_early_is_empty():
    """Guards against an early end of a watch that is reported as an error."""

    async def scenario(platform: Platform, client: HttpObjectStore) -> None:
        await platform.set_faults(watch_end_ms=0)
        assert await client.watch("a", "", 60_000) == []

    run_with_platform(scenario)


def test_list_of_instances_lags():
    """Guards against a stand-in whose list is fresher than that of the platform."""

    async def scenario(platform: Platform, _: HttpObjectStore) -> None:
        record = InstanceRecord("i-1", 7, "brum", "127.0.0.1", 9)
        leaving = msgspec.structs.replace(record, state=InstanceState.LEAVING)
        async with HttpInstanceRegistry(platform.url) as instances:
            await instances.register(record)
            assert await instances.list_instances() == []
            platform.clock.advance(3_000)
            assert await instances.list_instances() == [record]
            await instances.register(leaving)
            assert await instances.list_instances() == [record]
            platform.clock.advance(3_000)
            assert await instances.list_instances() == [leaving]
            await instances.remove("i-1")
            platform.clock.advance(3_000)
            assert await instances.list_instances() == []

    run_with_platform(scenario, instance_lag_ms=3_000)


_MALFORMED = [
    b"\x00\xff\r\n\r\n",
    b"GET /" + b"a" * 100_000,
    b"GET / HTTP/1.1\r\nHost: a\r\n" + b"X: y\r\n" * 20_000,
    b"GET / HTTP/9.9\r\n\r\n",
    b"PUT /objects/a HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
    b"PUT /objects/a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab",
    b"PUT /objects/a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"PUT /objects/%FF HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n",
    b"PUT /objects/a HTTP/1.1\r\nHost: a\r\nIf-None-Match: *\r\nContent-Length: 2\r\n\r\n\xc1\xff",
    b"PUT /instances/a HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n\x90",
    b"GET /objects?limit=-1 HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET /objects?" + b"a=b&" * 100 + b" HTTP/1.1\r\nHost: a\r\n\r\n",
    b"DELETE /objects/a HTTP/1.1\r\nHost: a\r\nIf-Match: \xb2\r\n\r\n",
    b"BREW /nothing HTTP/1.1\r\nHost: a\r\n\r\n",
    b"HEAD /objects/a HTTP/1.1\r\nHost: a\r\n\r\n",
    b"PUT /objects/a HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000\r\n\r\n"
    + b"x" * (BODY_DRAIN_MAX_BYTES + 1),
]


def test_malformed_input_does_not_end_the_server():
    """Guards against one broken client that stops the platform for all."""

    async def scenario(platform: Platform, client: HttpObjectStore) -> None:
        for data in _MALFORMED:
            stream = await anyio.connect_tcp(platform.endpoint.host, platform.endpoint.port)
            async with stream:
                try:
                    await stream.send(data)
                    await stream.send_eof()
                    while await stream.receive():
                        pass
                except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
                    pass
            await client.scan("")
        assert await client.create("a", b"") == 1

    run_with_platform(scenario, reads_per_s=1_000)


def test_oversized_value_is_refused_by_the_platform():
    """Guards against a stand-in that takes values which the platform refuses."""

    async def scenario(platform: Platform, client: HttpObjectStore) -> None:
        body = msgspec.msgpack.encode({"value": b"x" * (VALUE_MAX_BYTES + 1)})
        async with httpx.AsyncClient(base_url=platform.url) as raw:
            for content in (body, body * 3):
                headers = {"If-None-Match": "*"}
                answer = await raw.put("/objects/a", content=content, headers=headers)
                assert answer.status_code == 413
        with pytest.raises(ObjectNotFound):
            await client.get("a")

    run_with_platform(scenario)
