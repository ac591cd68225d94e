"""The calls of the stand-in platform without sockets: routes, limits, counts and faults."""

from collections import deque
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs, unquote

import anyio
import msgspec

from catkinspread.clock import Clock
from catkinspread.objectstore import (
    InstanceRecord,
    MemoryObjectStore,
    ObjectExists,
    ObjectNotFound,
    OutcomeUnknown,
    StoreFaults,
    StoreUnavailable,
    ValueTooLarge,
    VersionConflict,
)
from catkinspread.objectstore.http import ErrorBody, ValueBody, VersionBody
from catkinspread.transport import HttpRequest, HttpServerResponse

_WINDOW_MS = 1_000
# Longer waits are cut, so that a watch whose caller is gone ends.
WATCH_MAX_MS = 60_000
SCAN_MAX = 1_000
INSTANCES_MAX = 10_000
NAME_MAX_CHARACTERS = 512


class PlatformSettings(msgspec.Struct, frozen=True):
    """Limits of the stand-in.

    Attributes:
        writes_per_s: Writes that it takes in a second; the rest is answered 429.
        reads_per_s: Reads that it takes in a second; a watch counts as one.
        instance_lag_ms: Age of the list of instances that it returns.
    """

    writes_per_s: int = 500
    reads_per_s: int = 2_000
    instance_lag_ms: int = 1_000


class PlatformFaults(StoreFaults):
    """Faults that a test switches on over the control path.

    Attributes:
        watch_end_ms: Watches end after at most this long without an object; negative is off.
    """

    watch_end_ms: int = -1


class PlatformCounters(msgspec.Struct):
    """What the stand-in counted since it started.

    Attributes:
        read_count: Reads, watches included, refused ones too.
        write_count: Writes, refused ones too.
        watch_count: Watches, which are reads as well.
        refused_count: Calls over the rate, answered 429.
        malformed_count: Requests that were not valid HTTP or not a call of this API.
        waiting_watches: Watches that wait at this moment.
    """

    read_count: int = 0
    write_count: int = 0
    watch_count: int = 0
    refused_count: int = 0
    malformed_count: int = 0
    waiting_watches: int = 0


class BadRequest(Exception):
    """A request is not a call of this API."""


class RateLimit:
    """Limits the calls of each period of one second."""

    __slots__ = ("_clock", "_count", "_limit", "_window")

    def __init__(self, limit_per_s: int, clock: Clock) -> None:
        self._limit = limit_per_s
        self._clock = clock
        self._window = -1
        self._count = 0

    def try_take(self) -> bool:
        """Counts a call and returns whether it is within the limit."""
        window = self._clock.now_ms() // _WINDOW_MS
        if window != self._window:
            self._window = window
            self._count = 0
        if self._count >= self._limit:
            return False
        self._count += 1
        return True


class InstanceDirectory:
    """The list of instances as it was `lag_ms` ago."""

    __slots__ = ("_clock", "_lag_ms", "_listed", "_pending")

    def __init__(self, lag_ms: int, clock: Clock) -> None:
        self._lag_ms = lag_ms
        self._clock = clock
        self._listed: dict[str, InstanceRecord] = {}
        self._pending: deque[tuple[int, str, InstanceRecord | None]] = deque()

    def record(self, instance: str, record: InstanceRecord | None) -> None:
        """Notes a registration, or a removal if the record is None.

        Raises:
            StoreUnavailable: If too many changes wait to become visible.
        """
        self._settle()
        if len(self._pending) + len(self._listed) >= INSTANCES_MAX:
            raise StoreUnavailable("list of instances is full")
        self._pending.append((self._clock.now_ms() + self._lag_ms, instance, record))

    def list_instances(self) -> list[InstanceRecord]:
        """Returns the visible records in order of id."""
        self._settle()
        return [self._listed[instance] for instance in sorted(self._listed)]

    def _settle(self) -> None:
        now_ms = self._clock.now_ms()
        while self._pending and self._pending[0][0] <= now_ms:
            _, instance, record = self._pending.popleft()
            if record is None:
                self._listed.pop(instance, None)
            else:
                self._listed[instance] = record


_STATUS_BY_ERROR: dict[type[Exception], int] = {
    BadRequest: 400,
    ObjectNotFound: 404,
    ObjectExists: 412,
    VersionConflict: 412,
    ValueTooLarge: 413,
    StoreUnavailable: 503,
}


class PlatformApi:
    """Answers the calls of the platform.

    Attributes:
        store: The objects.
        counters: What was counted.
    """

    __slots__ = ("_directory", "_reads", "_writes", "counters", "store")

    def __init__(self, settings: PlatformSettings, store: MemoryObjectStore, clock: Clock) -> None:
        self.store = store
        self.store.faults = PlatformFaults()
        self.counters = PlatformCounters()
        self._directory = InstanceDirectory(settings.instance_lag_ms, clock)
        self._reads = RateLimit(settings.reads_per_s, clock)
        self._writes = RateLimit(settings.writes_per_s, clock)

    async def answer(self, request: HttpRequest) -> HttpServerResponse:
        """Returns the answer to a request; never raises for what the request contains."""
        try:
            return await self._dispatch(request)
        except OutcomeUnknown:
            return HttpServerResponse(status=500, is_dropped=True)
        except tuple(_STATUS_BY_ERROR) as error:
            if isinstance(error, BadRequest):
                self.counters.malformed_count += 1
            return encode_error(_STATUS_BY_ERROR[type(error)], str(error))

    async def _dispatch(self, request: HttpRequest) -> HttpServerResponse:
        path, _, query_text = request.target.partition("?")
        if path.startswith("/control/"):
            return self._control(request, path)
        call = self._select_call(request, path, query_text)
        if not self._take(request.method):
            self.counters.refused_count += 1
            return encode_error(429, "too many calls in this second")
        return await call()

    def _take(self, method: str) -> bool:
        if method == "GET":
            self.counters.read_count += 1
            return self._reads.try_take()
        self.counters.write_count += 1
        return self._writes.try_take()

    def _select_call(
        self, request: HttpRequest, path: str, query_text: str
    ) -> Callable[[], Awaitable[HttpServerResponse]]:
        method = request.method
        if path == "/objects" and method == "GET":
            query = _parse_query(query_text)
            return lambda: self._scan(query)
        if path == "/instances" and method == "GET":
            return self._list_instances
        if path.startswith("/objects/"):
            key = _parse_name(path.removeprefix("/objects/"))
            if method == "GET":
                return lambda: self._get(key)
            if method == "PUT":
                return self._select_put(request, key)
            if method == "DELETE":
                version = _parse_version(request.headers)
                return lambda: self._delete(key, version)
        if path.startswith("/instances/"):
            name = _parse_name(path.removeprefix("/instances/"))
            if method == "PUT":
                record = _decode(request.body, InstanceRecord)
                return lambda: self._record_instance(name, record)
            if method == "DELETE":
                return lambda: self._record_instance(name, None)
        raise BadRequest(f"there is no call {method} {path[:100]}")

    async def _get(self, key: str) -> HttpServerResponse:
        return _encode(await self.store.get(key))

    def _select_put(
        self, request: HttpRequest, key: str
    ) -> Callable[[], Awaitable[HttpServerResponse]]:
        value = _decode(request.body, ValueBody).value
        if request.headers.get("if-none-match") == "*":
            return lambda: self._put(self.store.create(key, value))
        version = _parse_version(request.headers)
        return lambda: self._put(self.store.update(key, value, version))

    async def _put(self, write: Awaitable[int]) -> HttpServerResponse:
        return _encode(VersionBody(await write))

    async def _delete(self, key: str, version: int) -> HttpServerResponse:
        await self.store.delete(key, version)
        return HttpServerResponse(status=204)

    async def _scan(self, query: dict[str, str]) -> HttpServerResponse:
        prefix = query.get("prefix", "")
        after = query.get("after", "")
        if "wait_ms" not in query:
            limit = _parse_number(query.get("limit", str(SCAN_MAX)))
            return _encode(await self.store.scan(prefix, after, min(limit, SCAN_MAX)))
        wait_ms = min(_parse_number(query["wait_ms"]), WATCH_MAX_MS)
        if self.store.faults.watch_end_ms >= 0:
            wait_ms = min(wait_ms, self.store.faults.watch_end_ms)
        self.counters.watch_count += 1
        self.counters.waiting_watches += 1
        try:
            return _encode(await self.store.watch(prefix, after, wait_ms))
        finally:
            self.counters.waiting_watches -= 1

    async def _list_instances(self) -> HttpServerResponse:
        await self._fail_if_down()
        return _encode(self._directory.list_instances())

    async def _record_instance(
        self, name: str, record: InstanceRecord | None
    ) -> HttpServerResponse:
        await self._fail_if_down()
        if record is not None and record.instance != name:
            raise BadRequest(f"record of {record.instance[:100]!r} was put at {name!r}")
        self._directory.record(name, record)
        return HttpServerResponse(status=204)

    async def _fail_if_down(self) -> None:
        if self.store.faults.delay_ms:
            await anyio.sleep(self.store.faults.delay_ms / 1000)
        if self.store.faults.is_down:
            raise StoreUnavailable("store does not answer")

    def _control(self, request: HttpRequest, path: str) -> HttpServerResponse:
        if path == "/control/faults" and request.method == "PUT":
            self.store.faults = _decode(request.body, PlatformFaults)
            return HttpServerResponse(status=204)
        if path == "/control/faults" and request.method == "GET":
            return _encode(self.store.faults)
        if path == "/control/counters" and request.method == "GET":
            return _encode(self.counters)
        raise BadRequest(f"there is no call {request.method} {path[:100]}")


def encode_error(status: int, message: str) -> HttpServerResponse:
    """Returns the answer to a call that failed."""
    return HttpServerResponse(status=status, body=msgspec.msgpack.encode(ErrorBody(message)))


def _encode(body: object) -> HttpServerResponse:
    return HttpServerResponse(status=200, body=msgspec.msgpack.encode(body))


def _decode(body: bytes, body_type: type):
    try:
        return msgspec.msgpack.decode(body, type=body_type)
    except msgspec.DecodeError as error:
        raise BadRequest(f"body is malformed: {error}") from error


def _parse_name(text: str) -> str:
    try:
        name = unquote(text, errors="strict")
    except UnicodeDecodeError as error:
        raise BadRequest("name is not UTF-8") from error
    if not 0 < len(name) <= NAME_MAX_CHARACTERS:
        raise BadRequest(f"name has {len(name)} characters")
    return name


def _parse_query(text: str) -> dict[str, str]:
    try:
        fields = parse_qs(text, keep_blank_values=True, max_num_fields=8, errors="strict")
    except ValueError as error:
        raise BadRequest(f"query is malformed: {error}") from error
    return {name: values[-1] for name, values in fields.items()}


def _parse_version(headers: dict[str, str]) -> int:
    return _parse_number(headers.get("if-match", "").strip('"'))


def _parse_number(text: str) -> int:
    if not (text.isascii() and text.isdigit() and len(text) <= 15):
        raise BadRequest(f"{text[:20]!r} is not a number")
    return int(text)
