"""Calls of the platform's store, against scripted answers."""

import anyio
import msgspec
import pytest

from catkinspread.deployment import HistoryLost, SourcePosition, SourceUnavailable, StateKind
from catkinspread.httpclient import HttpFailure, HttpResponse
from catkinspread.model import Endpoint
from catkinspread.platform import StoreClient
from catkinspread.platform.tests.test_objects import SERVER


class ScriptedClient:
    """Stands in for the HTTP client."""

    def __init__(self, *answers: HttpResponse | HttpFailure) -> None:
        self._answers = list(answers)
        self.queries: list[dict[str, str]] = []

    async def get(
        self,
        endpoint: Endpoint,
        path: str,
        query: dict[str, str],
        connect_timeout_ms: int,
        response_timeout_ms: int,
    ) -> HttpResponse:
        self.queries.append(query)
        answer = self._answers.pop(0)
        if isinstance(answer, HttpFailure):
            raise answer
        return answer


def _answer(status: int, body: object, era: int | None = None) -> HttpResponse:
    headers = () if era is None else ((b"Store-Era", str(era).encode()),)
    return HttpResponse(status, msgspec.json.encode(body), headers)


def _object(name: str, spec: object = None) -> dict[str, object]:
    return {"meta": {"name": name, "revision": 3}, "spec": spec, "status": None}


def _client(*answers: HttpResponse | HttpFailure) -> tuple[StoreClient, ScriptedClient]:
    scripted = ScriptedClient(*answers)
    return StoreClient(scripted, Endpoint("10.0.0.1", 80)), scripted


def test_reads_a_listing_of_several_pages() -> None:
    """Guards against upstreams that are missing because only the first page was read."""
    store, scripted = _client(
        _answer(200, {"items": [_object("east", {})], "has_more": True, "at_rev": 5}),
        _answer(200, {"items": [_object("west", {})], "has_more": False, "at_rev": 6}),
    )
    listing = anyio.run(store.list_records, StateKind.EVACUATIONS)
    assert [change.name for change in listing.changes] == ["east", "west"]
    assert scripted.queries[1] == {"after": "east"}


def test_listing_counts_from_its_first_page() -> None:
    """Guards against missing a change that was made between two pages of a listing."""
    store, _ = _client(
        _answer(200, {"items": [_object("east", {})], "has_more": True, "at_rev": 5}),
        _answer(200, {"items": [_object("west", {})], "has_more": False, "at_rev": 9}),
    )
    assert anyio.run(store.list_records, StateKind.EVACUATIONS).revision == 5


def test_listing_across_a_restoration_is_not_used() -> None:
    """Guards against a listing whose pages are from before and after a restoration."""
    pages = [{"items": [_object(name, {})], "has_more": True, "at_rev": 5} for name in ("a", "b")]
    store, _ = _client(_answer(200, pages[0], era=1), _answer(200, pages[1], era=2))
    with pytest.raises(SourceUnavailable):
        anyio.run(store.list_records, StateKind.EVACUATIONS)


def test_answers_have_the_era_of_the_store() -> None:
    """Guards against a revision that was given out twice and counts as the same."""
    store, _ = _client(_answer(200, {"items": [], "at_rev": 5}, era=3))
    listing = anyio.run(store.list_records, StateKind.EVACUATIONS)
    assert listing.position == SourcePosition(3, 5)


def test_bad_entry_does_not_hide_the_others() -> None:
    """Guards against one entry of another writer that empties the list of upstreams."""
    store, _ = _client(
        _answer(200, {"items": [_object("i-1", "junk"), _object("i-2", None)], "at_rev": 5})
    )
    listing = anyio.run(store.list_records, StateKind.UPSTREAMS)
    assert [change.record for change in listing.changes] == [None, None]
    assert [change.is_unreadable for change in listing.changes] == [True, True]


def test_evacuation_needs_no_content() -> None:
    """Guards against an evacuation that is ignored because of what its object holds."""
    store, _ = _client(_answer(200, {"items": [_object("east", "junk")], "at_rev": 5}))
    listing = anyio.run(store.list_records, StateKind.EVACUATIONS)
    assert listing.changes[0].record == "east"


def test_reports_lost_history() -> None:
    """Guards against waiting at a revision that the store no longer has."""
    store, _ = _client(_answer(410, {}))
    with pytest.raises(HistoryLost):
        anyio.run(store.wait_for_changes, StateKind.UPSTREAMS, SourcePosition(0, 5), 100)


@pytest.mark.parametrize(
    "answer",
    [
        _answer(503, {}),
        _answer(429, {}),
        _answer(200, {"unexpected": 1}),
        HttpResponse(200, b"\xff"),
        HttpFailure("reset"),
    ],
)
def test_reports_an_outage(answer: HttpResponse | HttpFailure) -> None:
    """Guards against an outage that looks like an empty list."""
    store, _ = _client(answer)
    with pytest.raises(SourceUnavailable):
        anyio.run(store.list_records, StateKind.UPSTREAMS)


def test_removed_object_has_no_record() -> None:
    """Guards against an evacuation that lasts after it was taken back."""
    event = {"removed": True, "object": _object("east", {})}
    store, _ = _client(_answer(200, {"events": [event], "at_rev": 8}))
    changes = anyio.run(store.wait_for_changes, StateKind.EVACUATIONS, SourcePosition(0, 5), 100)
    assert changes.changes[0].record is None
    assert not changes.changes[0].is_unreadable
    assert changes.revision == 8


def _listing(*items: bytes) -> HttpResponse:
    return HttpResponse(200, b'{"items":[' + b",".join(items) + b'],"has_more":false,"at_rev":5}')


def test_deeply_nested_entry_costs_only_itself() -> None:
    """Guards against an entry of another writer that ends the process by a RecursionError."""
    nested = b"[" * 1_100 + b"]" * 1_100
    bad = b'{"meta":{"name":"i-ff","revision":4},"spec":{"service":"x","version":%b}}' % nested
    store, _ = _client(_listing(bad, msgspec.json.encode(_object("i-1a", SERVER))))
    listing = anyio.run(store.list_records, StateKind.UPSTREAMS)
    assert [change.name for change in listing.changes] == ["i-ff", "i-1a"]
    assert [change.is_unreadable for change in listing.changes] == [True, False]


@pytest.mark.parametrize(
    "content",
    [
        rb'{"service":"geb\udcfchr"}',
        b'{"service":"geb\xfchr"}',
        b'{"service":' + b'{"a":' * 1_100 + b"1" + b"}" * 1_100 + b"}",
        b'{"service":1' + b"0" * 5_000 + b"}",
        b'{"service":1e400}',
        b'{"service":nul}',
    ],
    ids=["lone surrogate", "latin-1", "nested", "5,000 digits", "infinite", "junk"],
)
@pytest.mark.parametrize("is_watch", [False, True])
def test_unreadable_entry_does_not_stop_the_reader(content: bytes, is_watch: bool) -> None:
    """Guards against a listing or a watch that fails for ever because of one entry."""
    bad = b'{"meta":{"name":"i-ff","revision":4},"spec":' + content + b"}"
    good = msgspec.json.encode(_object("i-1a", SERVER))
    if is_watch:
        body = b'{"events":[{"object":%b},{"object":%b}],"at_rev":5}' % (bad, good)
        store, _ = _client(HttpResponse(200, body))
        position = SourcePosition(0, 1)
        read = anyio.run(store.wait_for_changes, StateKind.UPSTREAMS, position, 100)
    else:
        store, _ = _client(_listing(bad, good))
        read = anyio.run(store.list_records, StateKind.UPSTREAMS)
    assert read.revision == 5
    assert [change.name for change in read.changes] == ["i-ff", "i-1a"]
    assert [change.is_unreadable for change in read.changes] == [True, False]


_LARGE_BYTES = 1_000_000
_DEEP = (b"[" * 1_100, b"]" * 1_100)
_LARGE = {
    "nested": b"[" * (_LARGE_BYTES // 2) + b"]" * (_LARGE_BYTES // 2),
    "nested objects": b'{"a":' * (_LARGE_BYTES // 6) + b"1" + b"}" * (_LARGE_BYTES // 6),
    "values between": b"[1," * (_LARGE_BYTES // 4) + b"1" + b"]" * (_LARGE_BYTES // 4),
    "empty lists": b"[],".join((_DEEP[0], *[b""] * (_LARGE_BYTES // 3), b"[]" + _DEEP[1])),
    "strings": _DEEP[0] + b'"a",' * (_LARGE_BYTES // 4) + b"1" + _DEEP[1],
    "lists of strings": _DEEP[0] + b'["a","b"],' * (_LARGE_BYTES // 10) + b"1" + _DEEP[1],
    "one string": _DEEP[0] + b'"%b"' % (b"x" * _LARGE_BYTES) + _DEEP[1],
    "escapes": _DEEP[0] + b'"%b"' % (rb"\"" * (_LARGE_BYTES // 2)) + _DEEP[1],
    "commas": _DEEP[0] + b"," * _LARGE_BYTES + _DEEP[1],
    "not closed": b"[" * _LARGE_BYTES,
    "string not closed": _DEEP[0] + b'"' + b"x" * _LARGE_BYTES,
}
# The longest step may read a tenth of such an object.
_LARGE_TURNS_MIN = 10


@pytest.mark.parametrize("content", _LARGE.values(), ids=_LARGE.keys())
@pytest.mark.parametrize("is_watch", [False, True])
def test_large_unreadable_entry_leaves_turns_to_other_tasks(content: bytes, is_watch: bool) -> None:
    """Guards against packets that wait for more than a second while one entry is read."""
    bad = b'{"meta":{"name":"i-ff","revision":4},"spec":{"version":%b}}' % content
    good = msgspec.json.encode(_object("i-1a", SERVER))
    events = b'{"events":[{"object":%b},{"object":%b}],"at_rev":5}' % (good, bad)
    answer = HttpResponse(200, events) if is_watch else _listing(good, bad)
    turns = 0

    async def count_turns() -> None:
        nonlocal turns
        while True:
            await anyio.sleep(0)
            turns += 1

    async def read() -> list[bool] | None:
        store, _ = _client(answer)
        async with anyio.create_task_group() as group:
            group.start_soon(count_turns)
            try:
                if is_watch:
                    position = SourcePosition(0, 1)
                    found = await store.wait_for_changes(StateKind.UPSTREAMS, position, 100)
                else:
                    found = await store.list_records(StateKind.UPSTREAMS)
            except SourceUnavailable:
                return None  # The entry takes what follows it with it.
            finally:
                group.cancel_scope.cancel()
        return [change.is_unreadable for change in found.changes]

    is_closed = content.endswith((b"]", b"}"))
    assert anyio.run(read) == ([False, True] if is_closed else None)
    if is_closed:
        assert turns >= _LARGE_TURNS_MIN


def test_removal_of_an_unreadable_entry_is_read() -> None:
    """Guards against an evacuation or an entry that stays because its last content is unreadable."""
    bad = b'{"meta":{"name":"east"},"spec":"\xfc"}'
    body = b'{"events":[{"object":%b,"removed":true}],"at_rev":5}' % bad
    store, _ = _client(HttpResponse(200, body))
    read = anyio.run(store.wait_for_changes, StateKind.EVACUATIONS, SourcePosition(0, 1), 100)
    assert [(change.record, change.is_unreadable) for change in read.changes] == [(None, False)]


@pytest.mark.parametrize(
    "answer",
    [
        HttpResponse(200, b'{"items":[{"meta":{"name":"i-1a"}}'),
        HttpResponse(200, b'{"items":[],"at_rev":18446744073709551616}'),
        HttpResponse(200, b'{"items":[],"at_rev":-1}'),
        HttpResponse(200, b'{"items":7,"at_rev":1}'),
        HttpResponse(200, b'{"at_rev":1}'),
        HttpResponse(200, b'{"items":' + b"[" * 2_000 + b"]" * 2_000 + b"}"),
        HttpResponse(200, b"[" * 100_000),
        HttpResponse(200, b'"' * 99_999),
        HttpResponse(200, b'{"items":[],"at_rev":1}', ((b"Store-Era", b"1" * 5_000),)),
        HttpResponse(200, b'{"items":[],"at_rev":1}', ((b"Store-Era", b"-1"),)),
    ],
    ids=[
        "half",
        "at_rev beyond 64 bits",
        "negative at_rev",
        "items of another type",
        "no items",
        "nested",
        "brackets",
        "quotes",
        "era of 5,000 digits",
        "negative era",
    ],
)
def test_answer_that_cannot_be_read_counts_as_an_outage(answer: HttpResponse) -> None:
    """Guards against an answer of the store as a whole that ends the reader."""
    store, _ = _client(answer)
    with pytest.raises(SourceUnavailable):
        anyio.run(store.list_records, StateKind.UPSTREAMS)


@pytest.mark.parametrize("name", ["east", "x"])
def test_pages_that_do_not_lead_on_end_the_listing(name: str) -> None:
    """Guards against a listing that goes on for ever and fills the memory."""
    page = {"items": [_object(name, {})], "has_more": True, "at_rev": 5}
    store, scripted = _client(*[_answer(200, page)] * 3)
    with pytest.raises(SourceUnavailable):
        anyio.run(store.list_records, StateKind.EVACUATIONS)
    assert len(scripted.queries) == 2
