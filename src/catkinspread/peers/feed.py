"""Server and client for the deployment records that a feeder serves over HTTP."""

from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from absl import logging

from catkinspread.deployment import (
    HistoryLost,
    SourcePosition,
    SourceUnavailable,
    StateChanges,
    StateKind,
)
from catkinspread.httpclient import HttpClient, HttpFailure
from catkinspread.model import Endpoint
from catkinspread.peers.state_cache import StateCache
from catkinspread.peers.state_encoding import (
    StateEncodingError,
    decode_state_changes,
    encode_state_changes,
)
from catkinspread.transport.http_server import HttpRequest, HttpServerResponse

_OK = 200
_GONE = 410
_BAD_REQUEST = 400
_NOT_FOUND = 404
_UNAVAILABLE = 503
_PATH_PREFIX = "/state/"
# Longest wait of a long poll; a longer `wait_ms` is reduced to it.
WAIT_MAX_MS = 10_000
# Time-out for connecting to a peer, for a listing, and for a long poll in addition to its wait. Round
# trips between data centres take milliseconds, so a peer that exceeds it counts as unreachable.
_RESPONSE_TIMEOUT_MS = 700
FEED_REQUEST_MAX_BYTES = 1_024
UNENCODABLE_LOG_INTERVAL_S = 10


# Position that a reader asked from, None for a listing; position of the answer; whether it is a
# complete listing, which may differ from an incomplete one at the same position.
_BodyKey = tuple[SourcePosition | None, SourcePosition, bool]


class FeedServer:
    """Serves the cached records to other instances.

    Args:
        cache: Cache of the records.
    """

    __slots__ = ("_cache", "_encoded_bodies")

    def __init__(self, cache: StateCache) -> None:
        self._cache = cache
        self._encoded_bodies: dict[StateKind, tuple[_BodyKey, bytes]] = {}

    async def answer(self, request: HttpRequest) -> HttpServerResponse:
        """Answers `GET /state/KIND`; with `era`, `after` and `wait_ms`, a long poll for changes."""
        try:
            target = urlsplit(request.target)
        except ValueError:
            return HttpServerResponse(_BAD_REQUEST)
        try:
            kind = StateKind(target.path.removeprefix(_PATH_PREFIX))
        except ValueError:
            return HttpServerResponse(_NOT_FOUND)
        query = parse_qs(target.query)
        if "after" not in query:
            listing = self._cache.list_records(kind)
            if listing is None:
                return HttpServerResponse(_UNAVAILABLE)
            return self._build_answer(kind, None, listing)
        try:
            position = self._read_position(kind, query)
            wait_ms = min(WAIT_MAX_MS, int(query.get("wait_ms", ["0"])[0]))
        except ValueError:
            return HttpServerResponse(_BAD_REQUEST)
        if position is None:
            return HttpServerResponse(_GONE)
        try:
            changes = await self._cache.wait_for_changes(kind, position, wait_ms)
        except HistoryLost:
            return HttpServerResponse(_GONE)
        except SourceUnavailable:
            return HttpServerResponse(_UNAVAILABLE)
        return self._build_answer(kind, position, changes)

    def _read_position(self, kind: StateKind, query: dict[str, list[str]]) -> SourcePosition | None:
        """Returns the position of the reader; None if it has to list the records again.

        Readers of an earlier version of this program tell no era. Theirs is taken to be that of the
        cache, unless their revision is not reached in it.

        Raises:
            ValueError: If a parameter is not a number.
        """
        revision = int(query["after"][0])
        if "era" in query:
            return SourcePosition(int(query["era"][0]), revision)
        cached = self._cache.get_position(kind)
        if cached is None or revision > cached.revision:
            return None
        return SourcePosition(cached.era, revision)

    def _build_answer(
        self, kind: StateKind, after: SourcePosition | None, changes: StateChanges
    ) -> HttpServerResponse:
        """Returns the answer; its body is encoded once for all readers at the same position."""
        key = (after, changes.position, changes.is_complete)
        cached = self._encoded_bodies.get(kind)
        if cached is None or cached[0] != key:
            try:
                cached = (key, encode_state_changes(changes))
            except StateEncodingError as error:
                # Readers leave a feeder that does not answer.
                logging.log_every_n_seconds(
                    logging.ERROR,
                    "feed: %s at %s are not served: %s",
                    UNENCODABLE_LOG_INTERVAL_S,
                    kind.value,
                    changes.position,
                    error,
                )
                return HttpServerResponse(_UNAVAILABLE)
            self._encoded_bodies[kind] = cached
        return HttpServerResponse(_OK, cached[1])


class PeerSource:
    """State source that reads the records cached by another instance.

    Args:
        client: HTTP client.
        endpoint: Address of the feed server of the other instance.
        on_received: Called with the size in bytes of each response.
    """

    __slots__ = ("_client", "_endpoint", "_on_received")

    def __init__(
        self, client: HttpClient, endpoint: Endpoint, on_received: Callable[[int], None]
    ) -> None:
        self._client = client
        self._endpoint = endpoint
        self._on_received = on_received

    async def list_records(self, kind: StateKind) -> StateChanges:
        """Returns all records of a kind; see `StateSource`."""
        return await self._get(kind, {}, _RESPONSE_TIMEOUT_MS)

    async def wait_for_changes(
        self, kind: StateKind, position: SourcePosition, timeout_ms: int
    ) -> StateChanges:
        """Returns the changes after a position; see `StateSource`."""
        query = {
            "era": str(position.era),
            "after": str(position.revision),
            "wait_ms": str(timeout_ms),
        }
        return await self._get(kind, query, timeout_ms + _RESPONSE_TIMEOUT_MS)

    async def _get(self, kind: StateKind, query: dict[str, str], timeout_ms: int) -> StateChanges:
        try:
            response = await self._client.get(
                self._endpoint, _PATH_PREFIX + kind.value, query, _RESPONSE_TIMEOUT_MS, timeout_ms
            )
            self._on_received(len(response.body))
            if response.status == _GONE:
                raise HistoryLost(
                    f"peer {self._endpoint} no longer holds changes of {kind.value} "
                    f"after revision {query.get('after')} of era {query.get('era')}"
                )
            if response.status != _OK:
                raise SourceUnavailable(
                    f"GET http://{self._endpoint}{_PATH_PREFIX}{kind.value} "
                    f"returned status {response.status}, expected {_OK}"
                )
            return decode_state_changes(response.body)
        except (HttpFailure, StateEncodingError) as error:
            raise SourceUnavailable(
                f"cannot read {kind.value} from peer {self._endpoint}: {error}"
            ) from error
