"""HTTP clients of the platform's object store and instance registry.

`docs/objectstore.md` describes the mapping to HTTP; bodies are encoded with MessagePack. The
clients never retry: a repeated write could take effect twice, and the callers of reads schedule
their own retries.
"""

import enum
from typing import Protocol, TypeVar
from urllib.parse import quote, unquote

import httpx
import msgspec

from catkinspread.objectstore.errors import (
    ObjectExists,
    ObjectNotFound,
    ObjectStoreError,
    OutcomeUnknown,
    StoreUnavailable,
    ValueTooLarge,
    VersionConflict,
)
from catkinspread.objectstore.store import DEFAULT_SCAN_LIMIT, VALUE_MAX_BYTES, StoredObject

CONNECT_TIMEOUT_MS = 1_000
RESPONSE_TIMEOUT_MS = 3_000
# Maximum number of open connections per client. Further requests wait for a free one and fail after
# `connect_timeout_ms`. About five requests are open at the same time, two of them watches; the other
# connections are a reserve.
CONNECTIONS_MAX = 32

# With these exceptions, no byte of the request has been sent.
_NOT_SENT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)
# The server did not execute a request that it answered with one of these.
_REFUSED_STATUSES = frozenset({429, 503})


class ValueBody(msgspec.Struct, frozen=True):
    """Body of a PUT request: the new value of an object."""

    value: bytes


class VersionBody(msgspec.Struct, frozen=True):
    """Body of a PUT response: the version that was written."""

    version: int


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of an error response."""

    message: str


class InstanceState(enum.Enum):
    """State of an instance in the registry."""

    LIVE = "live"
    LEAVING = "leaving"


class InstanceRecord(msgspec.Struct, frozen=True):
    """The entry of an instance in the registry.

    Attributes:
        instance: Name of the instance.
        incarnation: Incarnation number; increases with every restart of the instance.
        data_centre: Name of the data centre that it runs in.
        host: IP address for messages between instances.
        port: Port for messages between instances.
        state: Whether the instance is live or has announced that it is leaving.
    """

    instance: str
    incarnation: int
    data_centre: str
    host: str
    port: int
    state: InstanceState = InstanceState.LIVE


class InstanceRegistry(Protocol):
    """The platform's registry of instances, whose listing may be out of date.

    Every method may raise StoreUnavailable, or ObjectStoreError for any other error of the
    registry. Every write may also raise OutcomeUnknown.
    """

    async def register(self, record: InstanceRecord) -> None:
        """Adds an instance or replaces its record.

        An instance that is leaving registers again with the state LEAVING.
        """

    async def remove(self, instance: str) -> None:
        """Removes an instance; has no effect if it is not registered."""

    async def list_instances(self) -> list[InstanceRecord]:
        """Returns the registered instances, sorted by name; the result may be out of date."""


_Body = TypeVar("_Body")


class _PlatformClient:
    """Sends HTTP requests and converts failures to subclasses of ObjectStoreError."""

    __slots__ = ("_client",)

    def __init__(
        self,
        base_url: str,
        connect_timeout_ms: int = CONNECT_TIMEOUT_MS,
        response_timeout_ms: int = RESPONSE_TIMEOUT_MS,
    ) -> None:
        connect_s = connect_timeout_ms / 1000
        timeout = httpx.Timeout(response_timeout_ms / 1000, connect=connect_s, pool=connect_s)
        limits = httpx.Limits(max_connections=CONNECTIONS_MAX)
        # Ignore the proxy variables of the environment: requests must reach the platform directly.
        self._client = httpx.AsyncClient(
            base_url=base_url, timeout=timeout, limits=limits, trust_env=False
        )

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exception) -> None:
        await self.aclose()

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._client.aclose()

    async def _read(
        self, path: str, body_type: type[_Body], query: dict | None = None, wait_ms: int = 0
    ) -> _Body:
        try:
            response = await self._client.get(
                path, params=query, timeout=self._extend_timeout(wait_ms)
            )
        except httpx.HTTPError as error:
            raise StoreUnavailable(
                f"GET {error.request.url} failed: {_describe(error)} (time-outs: "
                f"{self._client.timeout.connect * 1000:.0f} ms to connect, "
                f"{self._extend_timeout(wait_ms).read * 1000:.0f} ms to read the response)"
            ) from error
        if response.status_code == 404:
            raise ObjectNotFound(
                f"{unquote(path).removeprefix('/objects/')!r} does not exist (GET {response.url})"
            )
        if response.status_code in _REFUSED_STATUSES or response.status_code >= 500:
            raise StoreUnavailable(
                f"GET {response.url} returned status {response.status_code}, expected 200"
            )
        if response.status_code != 200:
            raise ObjectStoreError(
                f"GET {response.url} returned status {response.status_code}, expected 200"
            )
        try:
            return msgspec.msgpack.decode(response.content, type=body_type)
        except msgspec.DecodeError as error:
            raise StoreUnavailable(
                f"response to GET {response.url} is malformed: {error}"
            ) from error

    async def _write(
        self, method: str, path: str, content: bytes, headers: dict[str, str]
    ) -> httpx.Response:
        try:
            response = await self._client.request(method, path, content=content, headers=headers)
        except _NOT_SENT_ERRORS as error:
            raise StoreUnavailable(
                f"{method} {error.request.url} was not sent: {_describe(error)} "
                f"(time-out {self._client.timeout.connect * 1000:.0f} ms)"
            ) from error
        except httpx.HTTPError as error:
            raise OutcomeUnknown(
                f"response to {method} {error.request.url} was lost: {_describe(error)} "
                f"(time-out {self._client.timeout.read * 1000:.0f} ms)"
            ) from error
        if response.status_code in _REFUSED_STATUSES:
            raise StoreUnavailable(
                f"{method} {response.url} was refused with status {response.status_code}"
            )
        # Any other 5xx status leaves open whether the write took effect, also 502 and 504 of a gateway.
        if response.status_code >= 500:
            raise OutcomeUnknown(f"{method} {response.url} returned status {response.status_code}")
        return response

    def _extend_timeout(self, wait_ms: int) -> httpx.Timeout:
        timeout = self._client.timeout
        return httpx.Timeout(
            timeout.read + wait_ms / 1000, connect=timeout.connect, pool=timeout.pool
        )


class HttpObjectStore(_PlatformClient):
    """Implements ObjectStore over HTTP.

    Args:
        base_url: URL of the platform, with an IP address as its host.
        connect_timeout_ms: Time-out in ms to open a connection, and to get a free one of the pool.
        response_timeout_ms: Maximum time in ms without progress while the request is sent or the
            response is received; the whole response may take longer. For a watch, the time-out of
            the watch is added.
    """

    __slots__ = ()

    async def get(self, key: str) -> StoredObject:
        """Returns an object; see ObjectStore."""
        return await self._read(format_object_path(key), StoredObject)

    async def create(self, key: str, value: bytes) -> int:
        """Creates an object; see ObjectStore."""
        response = await self._put(key, value, {"If-None-Match": "*"})
        if response.status_code == 412:
            raise ObjectExists(f"object {key!r} already exists")
        return self._decode_version(key, response)

    async def update(self, key: str, value: bytes, expected_version: int) -> int:
        """Replaces an object; see ObjectStore."""
        response = await self._put(key, value, {"If-Match": f'"{expected_version}"'})
        if response.status_code == 412:
            raise VersionConflict(f"object {key!r} does not have version {expected_version}")
        return self._decode_version(key, response)

    async def delete(self, key: str, expected_version: int) -> None:
        """Deletes an object; see ObjectStore."""
        headers = {"If-Match": f'"{expected_version}"'}
        response = await self._write("DELETE", format_object_path(key), b"", headers)
        if response.status_code == 412:
            raise VersionConflict(f"object {key!r} does not have version {expected_version}")
        _raise_for_status(key, response, 204)

    async def scan(
        self, prefix: str, after: str = "", limit: int = DEFAULT_SCAN_LIMIT
    ) -> list[StoredObject]:
        """Returns objects in key order; see ObjectStore."""
        query = {"prefix": prefix, "after": after, "limit": limit}
        return await self._read("/objects", list[StoredObject], query)

    async def watch(self, prefix: str, after: str, timeout_ms: int) -> list[StoredObject]:
        """Waits for objects; see ObjectStore.

        The platform may end a watch before the time-out.
        """
        query = {"prefix": prefix, "after": after, "wait_ms": timeout_ms}
        return await self._read("/objects", list[StoredObject], query, wait_ms=timeout_ms)

    async def _put(self, key: str, value: bytes, headers: dict[str, str]) -> httpx.Response:
        if len(value) > VALUE_MAX_BYTES:
            raise ValueTooLarge(
                f"value of object {key!r} has {len(value)} bytes; the limit is {VALUE_MAX_BYTES} bytes"
            )
        content = msgspec.msgpack.encode(ValueBody(value))
        return await self._write("PUT", format_object_path(key), content, headers)

    def _decode_version(self, key: str, response: httpx.Response) -> int:
        _raise_for_status(key, response, 200)
        try:
            return msgspec.msgpack.decode(response.content, type=VersionBody).version
        except msgspec.DecodeError as error:
            raise OutcomeUnknown(
                f"response to the write of object {key!r} is malformed: {error}"
            ) from error


class HttpInstanceRegistry(_PlatformClient):
    """Implements InstanceRegistry over HTTP; the arguments are those of HttpObjectStore."""

    __slots__ = ()

    async def register(self, record: InstanceRecord) -> None:
        """Adds an instance or replaces its record; see InstanceRegistry."""
        content = msgspec.msgpack.encode(record)
        response = await self._write("PUT", format_instance_path(record.instance), content, {})
        _raise_for_status(record.instance, response, 204)

    async def remove(self, instance: str) -> None:
        """Removes an instance; see InstanceRegistry."""
        response = await self._write("DELETE", format_instance_path(instance), b"", {})
        _raise_for_status(instance, response, 204)

    async def list_instances(self) -> list[InstanceRecord]:
        """Returns the registered instances; see InstanceRegistry."""
        return await self._read("/instances", list[InstanceRecord])


def format_object_path(key: str) -> str:
    """Returns the percent-encoded URL path of an object; slashes are kept, dots are escaped."""
    return f"/objects/{_quote(key)}"


def format_instance_path(instance: str) -> str:
    """Returns the percent-encoded URL path of an instance; slashes are kept, dots are escaped."""
    return f"/instances/{_quote(instance)}"


def _quote(name: str) -> str:
    # Clients and gateways remove the path segments "." and ".." unless the dots are escaped.
    return quote(name, safe="/").replace(".", "%2E")


def _raise_for_status(name: str, response: httpx.Response, expected_status: int) -> None:
    if response.status_code == expected_status:
        return
    if response.status_code == 404:
        raise ObjectNotFound(f"{name!r} does not exist ({response.request.method} {response.url})")
    if response.status_code == 413:
        raise ValueTooLarge(
            f"value of {name!r} exceeds the size limit of the platform "
            f"({response.request.method} {response.url})"
        )
    raise ObjectStoreError(
        f"{response.request.method} {response.url} returned status {response.status_code}, "
        f"expected {expected_status}"
    )


def _describe(error: Exception) -> str:
    return f"{type(error).__name__} {error}".strip()
