"""The object API over HTTP with httpx, and the client of the platform's list of instances.

The mapping is described in `docs/objectstore.md`. Bodies are msgpack. The client never repeats
a call: a repeated write could take effect twice, and callers of reads have their own pace.
"""

import enum
from typing import Protocol, TypeVar
from urllib.parse import quote

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
from catkinspread.objectstore.store import VALUE_MAX_BYTES, StoredObject

CONNECT_TIMEOUT_MS = 1_000
RESPONSE_TIMEOUT_MS = 3_000
# Two watches, a claim batch, a record batch and the log are open at a time; the rest is reserve.
CONNECTIONS_MAX = 32

# With these errors no byte of the request has been sent.
_NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout, httpx.UnsupportedProtocol)
_REFUSED_STATUSES = frozenset({429, 503})


class ValueBody(msgspec.Struct, frozen=True):
    """Body of a PUT: the new value of an object."""

    value: bytes


class VersionBody(msgspec.Struct, frozen=True):
    """Answer to a PUT: the version that was written."""

    version: int


class ErrorBody(msgspec.Struct, frozen=True):
    """Answer to a call that failed."""

    message: str


class InstanceState(enum.Enum):
    """What the platform knows about an instance."""

    LIVE = "live"
    LEAVING = "leaving"


class InstanceRecord(msgspec.Struct, frozen=True):
    """An instance as the platform lists it.

    Attributes:
        instance: Id of the instance.
        incarnation: Number of this run; a restarted instance has a greater one.
        data_centre: Name of the data centre that it runs in.
        host: IP number for messages between instances.
        port: Port for messages between instances.
        state: Whether it has announced that it leaves.
    """

    instance: str
    incarnation: int
    data_centre: str
    host: str
    port: int
    state: InstanceState = InstanceState.LIVE


class InstanceRegistry(Protocol):
    """The platform's list of instances, which lags. Every method may raise StoreUnavailable."""

    async def register(self, record: InstanceRecord) -> None:
        """Adds an instance or replaces its record; leaving is announced by the state."""

    async def remove(self, instance: str) -> None:
        """Takes an instance off the list; it need not be on it."""

    async def list_instances(self) -> list[InstanceRecord]:
        """Returns the instances as they were some time ago, in order of id."""


_Body = TypeVar("_Body")


class _PlatformClient:
    """Sends calls and converts failures of the transport to errors of this layer."""

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
        # Proxy settings of the environment must not redirect control traffic.
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
            answer = await self._client.get(path, params=query, timeout=self._extend(wait_ms))
        except httpx.HTTPError as error:
            raise StoreUnavailable(f"read of {path} failed: {_describe(error)}") from error
        if answer.status_code == 404:
            raise ObjectNotFound(f"{path} does not exist")
        if answer.status_code in _REFUSED_STATUSES or answer.status_code >= 500:
            raise StoreUnavailable(f"read of {path} got status {answer.status_code}")
        if answer.status_code != 200:
            raise ObjectStoreError(f"read of {path} got status {answer.status_code}")
        try:
            return msgspec.msgpack.decode(answer.content, type=body_type)
        except msgspec.DecodeError as error:
            raise StoreUnavailable(f"answer to a read of {path} is malformed: {error}") from error

    async def _write(
        self, method: str, path: str, content: bytes, headers: dict[str, str]
    ) -> httpx.Response:
        try:
            answer = await self._client.request(method, path, content=content, headers=headers)
        except _NOT_SENT as error:
            raise StoreUnavailable(f"{method} {path} was not sent: {_describe(error)}") from error
        except httpx.HTTPError as error:
            raise OutcomeUnknown(
                f"answer to {method} {path} was lost: {_describe(error)}"
            ) from error
        if answer.status_code in _REFUSED_STATUSES:
            raise StoreUnavailable(f"{method} {path} was refused, status {answer.status_code}")
        # A gateway that answers 500, 502 or 504 does not tell whether the write was applied.
        if answer.status_code >= 500:
            raise OutcomeUnknown(f"{method} {path} got status {answer.status_code}")
        return answer

    def _extend(self, wait_ms: int) -> httpx.Timeout:
        timeout = self._client.timeout
        return httpx.Timeout(
            timeout.read + wait_ms / 1000, connect=timeout.connect, pool=timeout.pool
        )


class HttpObjectStore(_PlatformClient):
    """Implements ObjectStore over HTTP.

    Attributes are private; the arguments are the URL of the platform with a numeric address,
    the time to connect in ms and the time to wait for an answer in ms. A watch may take its own
    time in addition.
    """

    __slots__ = ()

    async def get(self, key: str) -> StoredObject:
        """Returns an object; see ObjectStore."""
        return await self._read(format_object_path(key), StoredObject)

    async def create(self, key: str, value: bytes) -> int:
        """Creates an object; see ObjectStore."""
        answer = await self._put(key, value, {"If-None-Match": "*"})
        if answer.status_code == 412:
            raise ObjectExists(f"object {key!r} exists already")
        return self._decode_version(key, answer)

    async def update(self, key: str, value: bytes, expected_version: int) -> int:
        """Replaces an object; see ObjectStore."""
        answer = await self._put(key, value, {"If-Match": f'"{expected_version}"'})
        if answer.status_code == 412:
            raise VersionConflict(f"object {key!r} does not have version {expected_version}")
        return self._decode_version(key, answer)

    async def delete(self, key: str, expected_version: int) -> None:
        """Deletes an object; see ObjectStore."""
        headers = {"If-Match": f'"{expected_version}"'}
        answer = await self._write("DELETE", format_object_path(key), b"", headers)
        if answer.status_code == 412:
            raise VersionConflict(f"object {key!r} does not have version {expected_version}")
        _check_status(key, answer, 204)

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[StoredObject]:
        """Returns objects in order of key; see ObjectStore."""
        query = {"prefix": prefix, "after": after, "limit": limit}
        return await self._read("/objects", list[StoredObject], query)

    async def watch(self, prefix: str, after: str, timeout_ms: int) -> list[StoredObject]:
        """Waits for objects; see ObjectStore. The platform may end a watch early."""
        query = {"prefix": prefix, "after": after, "wait_ms": timeout_ms}
        return await self._read("/objects", list[StoredObject], query, wait_ms=timeout_ms)

    async def _put(self, key: str, value: bytes, headers: dict[str, str]) -> httpx.Response:
        if len(value) > VALUE_MAX_BYTES:
            raise ValueTooLarge(f"value of {len(value)} bytes exceeds {VALUE_MAX_BYTES} bytes")
        content = msgspec.msgpack.encode(ValueBody(value))
        return await self._write("PUT", format_object_path(key), content, headers)

    def _decode_version(self, key: str, answer: httpx.Response) -> int:
        _check_status(key, answer, 200)
        try:
            return msgspec.msgpack.decode(answer.content, type=VersionBody).version
        except msgspec.DecodeError as error:
            raise OutcomeUnknown(f"answer to a write of {key!r} is malformed: {error}") from error


class HttpInstanceRegistry(_PlatformClient):
    """Implements InstanceRegistry over HTTP; the arguments are those of HttpObjectStore."""

    __slots__ = ()

    async def register(self, record: InstanceRecord) -> None:
        """Adds an instance or replaces its record; see InstanceRegistry."""
        content = msgspec.msgpack.encode(record)
        answer = await self._write("PUT", format_instance_path(record.instance), content, {})
        _check_status(record.instance, answer, 204)

    async def remove(self, instance: str) -> None:
        """Takes an instance off the list; see InstanceRegistry."""
        answer = await self._write("DELETE", format_instance_path(instance), b"", {})
        _check_status(instance, answer, 204)

    async def list_instances(self) -> list[InstanceRecord]:
        """Returns the instances as they were some time ago; see InstanceRegistry."""
        return await self._read("/instances", list[InstanceRecord])


def format_object_path(key: str) -> str:
    """Returns the path of an object; slashes of the key stay."""
    return f"/objects/{_quote(key)}"


def format_instance_path(instance: str) -> str:
    """Returns the path of an instance."""
    return f"/instances/{_quote(instance)}"


def _quote(name: str) -> str:
    # Clients and gateways remove "." and ".." from paths unless the dots are escaped.
    return quote(name, safe="/").replace(".", "%2E")


def _check_status(name: str, answer: httpx.Response, expected: int) -> None:
    if answer.status_code == expected:
        return
    if answer.status_code == 404:
        raise ObjectNotFound(f"object {name!r} does not exist")
    if answer.status_code == 413:
        raise ValueTooLarge(f"the platform refused the size of object {name!r}")
    raise ObjectStoreError(f"write of {name!r} got status {answer.status_code}")


def _describe(error: Exception) -> str:
    return f"{type(error).__name__} {error}".strip()
