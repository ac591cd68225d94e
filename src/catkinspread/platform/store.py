"""Client of the platform's metadata store."""

import collections

import anyio

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
from catkinspread.platform.answers import (
    AnswerError,
    ReadAnswer,
    Steps,
    read_changes_in_steps,
    read_listing_in_steps,
)
from catkinspread.platform.objects import KIND_PATHS
from catkinspread.platform.refusals import RefusalLog

BASE_PATH = "/catkinspread/objects/"
_GONE = 410
_OK = 200
CONNECT_TIMEOUT_MS = 700
ANSWER_TIMEOUT_MS = 700
# Counts how often the store was restored from a copy; part of each answer.
_ERA_HEADER = b"store-era"
# A listing may be large, and the store may be slow.
LIST_TIMEOUT_MS = 1_500

# Most objects of one listing; far above the largest deployment. A store whose pages never end would
# fill the memory otherwise.
LISTING_OBJECTS_MAX = 100_000
# A longer era is not a number of 64 bits.
_ERA_DIGITS_MAX = 18


class StoreClient:
    """Reads the deployment from the platform's store.

    Args:
        client: Makes the calls.
        endpoint: Address of the store.
        refusals: Logs the objects that are not used; None for a log of its own.

    Attributes:
        call_counts: Number of calls by `list_KIND` and `watch_KIND`.
    """

    __slots__ = ("_client", "_endpoint", "_refusals", "call_counts")

    def __init__(
        self, client: HttpClient, endpoint: Endpoint, refusals: RefusalLog | None = None
    ) -> None:
        self._client = client
        self._endpoint = endpoint
        self._refusals = refusals or RefusalLog()
        self.call_counts: collections.Counter[str] = collections.Counter()

    async def list_records(self, kind: StateKind) -> StateChanges:
        """Returns all records of a kind; see `StateSource`."""
        changes: list[StateChange] = []
        parameters: dict[str, str] = {}
        first: SourcePosition | None = None
        while True:
            answer = await self._call(kind, parameters, LIST_TIMEOUT_MS)
            page = await self._read(read_listing_in_steps(kind, answer.body), kind)
            changes.extend(page.changes)
            position = SourcePosition(_read_era(answer), page.revision)
            if first is None:
                # Later pages are newer; changes since the first one are asked for again.
                first = position
            if position.era != first.era:
                raise SourceUnavailable(f"{kind.value}: the store was restored between two pages")
            if not page.has_more or not (page.changes or page.refused):
                return StateChanges(tuple(changes), first.revision, first.era)
            parameters = {"after": _find_next_page(kind, page, parameters.get("after", ""))}
            if len(changes) > LISTING_OBJECTS_MAX:
                raise SourceUnavailable(
                    f"{kind.value}: more than {LISTING_OBJECTS_MAX} objects in one listing"
                )

    async def wait_for_changes(
        self, kind: StateKind, position: SourcePosition, timeout_ms: int
    ) -> StateChanges:
        """Returns the changes after a position; see `StateSource`."""
        parameters = {"watch": str(position.revision), "wait_ms": str(timeout_ms)}
        answer = await self._call(kind, parameters, timeout_ms + ANSWER_TIMEOUT_MS)
        watched = await self._read(read_changes_in_steps(kind, answer.body), kind)
        return StateChanges(watched.changes, watched.revision, _read_era(answer))

    async def _read(self, steps: Steps[ReadAnswer], kind: StateKind) -> ReadAnswer:
        """Reads an answer; the event loop goes on between the steps."""
        try:
            result = await _run_steps(steps)
        except AnswerError as error:
            raise SourceUnavailable(f"{kind.value}: {error}") from error
        for refused in result.refused:
            self._refusals.record(refused)
        return result

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


def _find_next_page(kind: StateKind, page: ReadAnswer, previous: str) -> str:
    """Returns the name after which the next page begins.

    Raises:
        SourceUnavailable: If the page does not lead on from the previous one.
    """
    name = page.changes[-1].name if page.changes else ""
    if not name or name == previous:
        raise SourceUnavailable(f"{kind.value}: the page after {previous!r} does not lead on")
    return name


def _read_era(answer: HttpResponse) -> int:
    value = answer.find_header(_ERA_HEADER)
    if value is None:
        return 0
    if not value.isdigit() or len(value) > _ERA_DIGITS_MAX:
        raise SourceUnavailable(f"era {value[:_ERA_DIGITS_MAX]!r} of the store is not a number")
    return int(value)


async def _run_steps(steps: Steps[ReadAnswer]) -> ReadAnswer:
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value
        await anyio.sleep(0)
