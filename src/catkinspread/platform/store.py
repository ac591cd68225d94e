"""Client of the platform's metadata store."""

import collections
from typing import TypeVar

import msgspec
from absl import logging

from catkinspread.deployment import (
    HistoryLost,
    SourcePosition,
    SourceUnavailable,
    StateChange,
    StateChanges,
    StateKind,
)
from catkinspread.httpclient import HttpClient, HttpFailure, HttpResponse
from catkinspread.model import Endpoint
from catkinspread.platform.objects import KIND_PATHS, ObjectShapeError, decode_record

BASE_PATH = "/catkinspread/objects/"
_GONE = 410
_OK = 200
CONNECT_TIMEOUT_MS = 700
ANSWER_TIMEOUT_MS = 700
# Counts how often the store was restored from a copy; part of each answer.
_ERA_HEADER = b"store-era"
# A listing may be large, and the store may be slow.
LIST_TIMEOUT_MS = 1_500

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

    Args:
        client: Makes the calls.
        endpoint: Address of the store.

    Attributes:
        call_counts: Number of calls by `list_KIND` and `watch_KIND`.
    """

    __slots__ = ("_client", "_endpoint", "call_counts")

    def __init__(self, client: HttpClient, endpoint: Endpoint) -> None:
        self._client = client
        self._endpoint = endpoint
        self.call_counts: collections.Counter[str] = collections.Counter()

    async def list_records(self, kind: StateKind) -> StateChanges:
        """Returns all records of a kind; see `StateSource`."""
        changes: list[StateChange] = []
        parameters: dict[str, str] = {}
        first: SourcePosition | None = None
        while True:
            answer = await self._call(kind, parameters, LIST_TIMEOUT_MS)
            listing = _decode(answer.body, _Listing)
            changes.extend(_convert(kind, item, False) for item in listing.items)
            position = SourcePosition(_read_era(answer), listing.at_rev)
            if first is None:
                # Later pages are newer; changes since the first one are asked for again.
                first = position
            if position.era != first.era:
                raise SourceUnavailable(f"{kind.value}: the store was restored between two pages")
            if not listing.has_more or not listing.items:
                return StateChanges(tuple(changes), first.revision, first.era)
            parameters = {"after": listing.items[-1].meta.name}

    async def wait_for_changes(
        self, kind: StateKind, position: SourcePosition, timeout_ms: int
    ) -> StateChanges:
        """Returns the changes after a position; see `StateSource`."""
        parameters = {"watch": str(position.revision), "wait_ms": str(timeout_ms)}
        answer = await self._call(kind, parameters, timeout_ms + ANSWER_TIMEOUT_MS)
        watched = _decode(answer.body, _Watched)
        changes = tuple(_convert(kind, event.object, event.removed) for event in watched.events)
        return StateChanges(changes, watched.at_rev, _read_era(answer))

    async def _call(
        self, kind: StateKind, parameters: dict[str, str], timeout_ms: int
    ) -> HttpResponse:
        path = BASE_PATH + KIND_PATHS[kind]
        self.call_counts[f"{'watch' if 'watch' in parameters else 'list'}_{kind.value}"] += 1
        try:
            result = await self._client.get(
                self._endpoint, path, parameters, CONNECT_TIMEOUT_MS, timeout_ms
            )
        except HttpFailure as error:
            raise SourceUnavailable(str(error)) from error
        if result.status == _GONE:
            raise HistoryLost(f"no history of {kind.value} at {parameters}")
        if result.status != _OK:
            raise SourceUnavailable(f"{path} answered {result.status}")
        return result


def _read_era(answer: HttpResponse) -> int:
    value = answer.find_header(_ERA_HEADER)
    if value is None:
        return 0
    try:
        return int(value)
    except ValueError as error:
        raise SourceUnavailable(f"era {value!r} of the store is not a number") from error


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
        # The content of an evacuation has no meaning; the object alone requests it.
        spec = None if kind is StateKind.EVACUATIONS else msgspec.json.decode(item.spec)
        return StateChange(name, decode_record(kind, name, spec))
    except (ObjectShapeError, msgspec.DecodeError) as error:
        logging.warning(
            "platform: object %s at revision %d is not used: %s", name, item.meta.revision, error
        )
        return StateChange(name, None, is_unreadable=True)
