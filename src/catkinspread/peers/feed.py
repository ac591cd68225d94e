"""Passes the records of the deployment from one instance to another over HTTP."""

from urllib.parse import parse_qs, urlsplit

from catkinspread.deployment import (
    HistoryLost,
    SourceUnavailable,
    StateChanges,
    StateKind,
)
from catkinspread.httpclient import HttpClient, HttpFailure
from catkinspread.model import Endpoint
from catkinspread.peers.bodies import BodyError, decode_body, encode_body
from catkinspread.peers.state_cache import StateCache
from catkinspread.transport.http_server import HttpAnswer, HttpRequest

_OK = 200
_GONE = 410
_BAD_REQUEST = 400
_NOT_FOUND = 404
_UNAVAILABLE = 503
_PATH = "/state/"
WAIT_MAX_MS = 10_000
# An instance in another data centre is milliseconds away; one that does not answer is cut off.
_ANSWER_TIMEOUT_MS = 700
FEED_BODY_MAX_BYTES = 1_024


class FeedServer:
    """Answers other instances from the cache.

    Args:
        cache: The records.
    """

    __slots__ = ("_bodies", "_cache")

    def __init__(self, cache: StateCache) -> None:
        self._cache = cache
        self._bodies: dict[StateKind, tuple[tuple[int | None, int], bytes]] = {}

    async def answer(self, request: HttpRequest) -> HttpAnswer:
        """Answers `GET /state/KIND`, with `after` and `wait_ms` to wait for changes."""
        target = urlsplit(request.target)
        try:
            kind = StateKind(target.path.removeprefix(_PATH))
        except ValueError:
            return HttpAnswer(_NOT_FOUND)
        query = parse_qs(target.query)
        if "after" not in query:
            listing = self._cache.list_records(kind)
            if listing is None:
                return HttpAnswer(_UNAVAILABLE)
            return self._answer_with(kind, None, listing)
        try:
            revision = int(query["after"][0])
            wait_ms = min(WAIT_MAX_MS, int(query.get("wait_ms", ["0"])[0]))
        except ValueError:
            return HttpAnswer(_BAD_REQUEST)
        try:
            changes = await self._cache.wait_for_changes(kind, revision, wait_ms)
        except HistoryLost:
            return HttpAnswer(_GONE)
        return self._answer_with(kind, revision, changes)

    def _answer_with(self, kind: StateKind, after: int | None, changes: StateChanges) -> HttpAnswer:
        """Returns the answer; instances that follow closely ask for the same body."""
        key = (after, changes.revision)
        held = self._bodies.get(kind)
        if held is None or held[0] != key:
            held = (key, encode_body(changes))
            self._bodies[kind] = held
        return HttpAnswer(_OK, held[1])


class PeerSource:
    """Reads the records that another instance holds.

    Args:
        client: Makes the calls.
        endpoint: Address of the feed of the other instance.
    """

    __slots__ = ("_client", "_endpoint")

    def __init__(self, client: HttpClient, endpoint: Endpoint) -> None:
        self._client = client
        self._endpoint = endpoint

    async def list_records(self, kind: StateKind) -> StateChanges:
        """Returns all records of a kind; see `StateSource`."""
        return await self._get(kind, {}, _ANSWER_TIMEOUT_MS)

    async def wait_for_changes(
        self, kind: StateKind, revision: int, timeout_ms: int
    ) -> StateChanges:
        """Returns the changes after a revision; see `StateSource`."""
        query = {"after": str(revision), "wait_ms": str(timeout_ms)}
        return await self._get(kind, query, timeout_ms + _ANSWER_TIMEOUT_MS)

    async def _get(self, kind: StateKind, query: dict[str, str], timeout_ms: int) -> StateChanges:
        try:
            result = await self._client.get(
                self._endpoint, _PATH + kind.value, query, _ANSWER_TIMEOUT_MS, timeout_ms
            )
            if result.status == _GONE:
                raise HistoryLost(f"{self._endpoint} has no changes of {kind.value} at {query}")
            if result.status != _OK:
                raise SourceUnavailable(f"{self._endpoint} answered {result.status}")
            return decode_body(result.body)
        except (HttpFailure, BodyError) as error:
            raise SourceUnavailable(f"{self._endpoint}: {error}") from error
