"""Client of the platform's metadata store."""

import contextlib
import socket
from typing import TypeVar

import anyio
import httpx
import msgspec
from absl import logging

from catkinspread.deployment import (
    HistoryLost,
    SourceUnavailable,
    StateChange,
    StateChanges,
    StateKind,
)
from catkinspread.model import Endpoint
from catkinspread.platform.objects import KIND_PATHS, ObjectShapeError, decode_record

_BASE_PATH = "/catkinspread/objects/"
_GONE = 410
_OK = 200
_CONNECT_TIMEOUT_S = 1.0
_ANSWER_TIMEOUT_S = 1.5
_MS_PER_S = 1_000
# Finds a connection that went silent without an answer to a waiting call.
_KEEPALIVE_OPTIONS = [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2_000),
]


_Shape = TypeVar("_Shape")


class _Meta(msgspec.Struct):
    name: str
    revision: int = 0


class _Object(msgspec.Struct):
    meta: _Meta
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Event(msgspec.Struct):
    object: _Object
    removed: bool = False


class _Listing(msgspec.Struct):
    at_rev: int
    items: list[_Object] = []
    has_more: bool = False


class _Watched(msgspec.Struct):
    at_rev: int
    events: list[_Event] = []


class StoreClient:
    """Reads the deployment from the platform's store.

    Attributes:
        call_count: Calls made since the start.
    """

    __slots__ = ("_client", "call_count")

    def __init__(self, endpoint: Endpoint) -> None:
        """Creates a client; use it as an asynchronous context manager."""
        transport = httpx.AsyncHTTPTransport(
            verify=False, trust_env=False, socket_options=_KEEPALIVE_OPTIONS
        )
        self._client = httpx.AsyncClient(
            base_url=f"http://{endpoint}", transport=transport, trust_env=False
        )
        self.call_count = 0

    async def __aenter__(self) -> "StoreClient":
        return self

    async def __aexit__(self, *_: object) -> None:
        with contextlib.suppress(OSError):
            await self._client.aclose()

    async def list_records(self, kind: StateKind) -> StateChanges:
        """Returns all records of a kind; see `StateSource`."""
        changes: list[StateChange] = []
        parameters: dict[str, str] = {}
        while True:
            body = await self._call(kind, parameters, _ANSWER_TIMEOUT_S)
            listing = _decode(body, _Listing)
            changes.extend(_convert(kind, item, False) for item in listing.items)
            if not listing.has_more or not listing.items:
                return StateChanges(tuple(changes), listing.at_rev)
            parameters = {"after": listing.items[-1].meta.name}

    async def wait_for_changes(self, kind: StateKind, revision: int, wait_ms: int) -> StateChanges:
        """Returns the changes after a revision; see `StateSource`."""
        parameters = {"watch": str(revision), "wait_ms": str(wait_ms)}
        timeout_s = wait_ms / _MS_PER_S + _ANSWER_TIMEOUT_S
        watched = _decode(await self._call(kind, parameters, timeout_s), _Watched)
        changes = tuple(_convert(kind, event.object, event.removed) for event in watched.events)
        return StateChanges(changes, watched.at_rev)

    async def _call(self, kind: StateKind, parameters: dict[str, str], timeout_s: float) -> bytes:
        self.call_count += 1
        try:
            with anyio.fail_after(timeout_s + _CONNECT_TIMEOUT_S):
                response = await self._client.get(
                    _BASE_PATH + KIND_PATHS[kind],
                    params=parameters,
                    timeout=httpx.Timeout(timeout_s, connect=_CONNECT_TIMEOUT_S),
                )
        except (httpx.HTTPError, TimeoutError, OSError) as error:
            raise SourceUnavailable(f"{type(error).__name__}: {error}") from error
        if response.status_code == _GONE:
            raise HistoryLost(f"no history of {kind.value} at {parameters}")
        if response.status_code != _OK:
            raise SourceUnavailable(f"status {response.status_code}")
        return response.content


def _decode(body: bytes, shape: type[_Shape]) -> _Shape:
    try:
        return msgspec.json.decode(body, type=shape)
    except msgspec.DecodeError as error:
        raise SourceUnavailable(f"answer cannot be read: {error}") from error


def _convert(kind: StateKind, item: _Object, is_removed: bool) -> StateChange:
    name = item.meta.name
    if is_removed:
        return StateChange(name, None)
    try:
        return StateChange(name, decode_record(kind, name, msgspec.json.decode(item.spec)))
    except (ObjectShapeError, msgspec.DecodeError) as error:
        logging.warning(
            "platform: object %s at revision %d is not used: %s", name, item.meta.revision, error
        )
        return StateChange(name, None)
