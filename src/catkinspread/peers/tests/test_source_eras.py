"""Reading through feeders while the source begins a new era because it was restored from a copy."""

import anyio
import msgspec
import pytest

from catkinspread.deployment import (
    HistoryLost,
    SourcePosition,
    SourceUnavailable,
    StateChange,
    StateChanges,
    StateKind,
)
from catkinspread.peers import FeedServer, Member, StateCache
from catkinspread.peers.messages import Hello, decode_message, encode_message
from catkinspread.peers.state_encoding import decode_state_changes
from catkinspread.peers.tests.test_messages import STATUS
from catkinspread.peers.tests.test_shared_source import (
    KIND,
    NOW_MS,
    SETTLING_MS,
    ScriptedSource,
    SharedSourceHarness,
)
from catkinspread.transport.http_server import HttpRequest, HttpServerResponse

OTHER_KIND = StateKind.UPSTREAMS
GONE = 410
UNAVAILABLE = 503


class _EarlierStatus(msgspec.Struct, frozen=True, array_like=True):
    """The status in messages of a version that knows no eras."""

    member: Member
    source_age_ms: int | None
    has_state: bool
    is_leaving: bool


class _EarlierHello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    status: _EarlierStatus
    digest: int


def _list(cache: StateCache, era: int, revision: int, *names: str, now_ms: int = NOW_MS) -> None:
    changes = tuple(StateChange(name, name) for name in names)
    cache.put_listing(KIND, StateChanges(changes, revision, era), now_ms)


def _build_started(source: ScriptedSource, peer: ScriptedSource) -> SharedSourceHarness:
    """Returns a shared source that has listed two kinds from the source."""
    harness = SharedSourceHarness(source, peer)
    for kind in (KIND, OTHER_KIND):
        harness.cache.put_listing(kind, StateChanges((), 1), NOW_MS)
        anyio.run(harness.shared.list_records, kind)
    return harness


def _ask_feed(cache: StateCache, query: str) -> HttpServerResponse:
    request = HttpRequest("GET", f"/state/{KIND.value}{query}", {}, b"")
    return anyio.run(FeedServer(cache).answer, request)


def test_follower_of_an_earlier_era_lists_again_from_its_feeder() -> None:
    """Guards against a follower that is stuck at a revision that its feeder has yet to reach."""
    cache = StateCache(SETTLING_MS)
    _list(cache, 2, 14, "east")
    assert _ask_feed(cache, "?era=1&after=15&wait_ms=50").status == GONE
    assert _ask_feed(cache, "?era=1&after=14&wait_ms=50").status == GONE
    assert decode_state_changes(_ask_feed(cache, "").body).position == SourcePosition(2, 14)


def test_waiting_follower_is_told_of_a_new_era_at_the_same_revision() -> None:
    """Guards against a wait that goes on because the revision of the feeder did not change."""
    cache = StateCache(SETTLING_MS)
    _list(cache, 1, 14, "east")

    async def list_in_new_era() -> None:
        await anyio.sleep(0.02)
        _list(cache, 2, 14, "west")

    async def wait() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(list_in_new_era)
            with pytest.raises(HistoryLost):
                await cache.wait_for_changes(KIND, SourcePosition(1, 14), 1_000)

    anyio.run(wait)


def test_feeder_does_not_serve_a_body_of_an_earlier_era() -> None:
    """Guards against a listing that was encoded before it changed, at the same revision."""
    cache = StateCache(SETTLING_MS)
    server = FeedServer(cache)
    request = HttpRequest("GET", f"/state/{KIND.value}", {}, b"")
    _list(cache, 1, 14, "east")
    anyio.run(server.answer, request)
    for now_ms, names in ((NOW_MS, ["east", "west"]), (NOW_MS + SETTLING_MS, ["west"])):
        _list(cache, 2, 14, "west", now_ms=now_ms)
        listing = decode_state_changes(anyio.run(server.answer, request).body)
        assert listing.position == SourcePosition(2, 14)
        assert sorted(change.name for change in listing.changes) == names


def test_feeder_that_missed_the_restoration_serves_no_reader_of_the_new_era() -> None:
    """Guards against changes of before the restoration that are applied after it."""
    cache = StateCache(SETTLING_MS)
    _list(cache, 1, 30, "east")
    assert _ask_feed(cache, "?era=2&after=14&wait_ms=50").status == UNAVAILABLE


def test_reader_of_an_earlier_version_is_not_left_beyond_the_feeder() -> None:
    """Guards against an instance of the old program that waits for a revision of before."""
    cache = StateCache(SETTLING_MS)
    _list(cache, 2, 14, "east")
    assert _ask_feed(cache, "?after=15&wait_ms=50").status == GONE
    assert _ask_feed(cache, "?after=14&wait_ms=0").status == 200


@pytest.mark.parametrize("source_era", [1, None], ids=["earlier era", "earlier version"])
def test_feeder_that_may_lack_the_restoration_is_not_followed(source_era: int | None) -> None:
    """Guards against a feeder that was cut off while the source came back, or knows no eras."""
    source, peer = ScriptedSource(9, era=2), ScriptedSource(30, era=1)
    harness = _build_started(source, peer)
    harness.directory._ranked_names = ["other", "me"]
    harness.receive_peer_status(source_age_ms=100, source_era=source_era)
    anyio.run(harness.shared.wait_for_changes, KIND, SourcePosition(2, 9), 10)
    assert (source.wait_calls, peer.wait_calls) == (1, 0)


def test_all_kinds_are_listed_again_once_one_shows_the_new_era() -> None:
    """Guards against a watch of another kind that goes on at a revision of the earlier era."""
    source = ScriptedSource(9, era=1)
    harness = _build_started(source, ScriptedSource(0))
    source.era = 2
    for kind in (KIND, OTHER_KIND):
        with pytest.raises(HistoryLost):
            anyio.run(harness.shared.wait_for_changes, kind, SourcePosition(1, 9), 10)
    assert source.wait_calls == 1
    assert anyio.run(harness.shared.list_records, OTHER_KIND).position == SourcePosition(2, 9)


def test_source_that_comes_back_twice_is_listed_twice() -> None:
    """Guards against a second restoration that is taken for the first."""
    source = ScriptedSource(9, era=1)
    harness = _build_started(source, ScriptedSource(0))
    for era in (2, 3):
        position = anyio.run(harness.shared.list_records, KIND).position
        source.era = era
        with pytest.raises(HistoryLost):
            anyio.run(harness.shared.wait_for_changes, KIND, position, 10)
    assert anyio.run(harness.shared.list_records, KIND).position == SourcePosition(3, 9)


def test_late_listing_of_an_earlier_era_is_rejected() -> None:
    """Guards against an answer of before the restoration that arrives after it."""
    source = ScriptedSource(9, era=2)
    harness = _build_started(source, ScriptedSource(0))
    source.era = 1
    with pytest.raises(SourceUnavailable):
        anyio.run(harness.shared.list_records, KIND)


def test_instance_that_starts_lists_again_if_its_peer_missed_the_restoration() -> None:
    """Guards against a start with records that only a peer of the earlier era still has."""
    sources = {"other": ScriptedSource(50, era=1), "feeder": ScriptedSource(14, era=2)}
    harness = SharedSourceHarness(ScriptedSource(14, era=2), sources["other"])
    harness.shared._open_peer_source = lambda member: sources[member.name]
    harness.receive_peer_status(source_age_ms=None, source_era=1)
    harness.shared._feeder = Member("feeder", "east", "10.0.0.3", 1)
    listing = anyio.run(harness.shared.list_records, KIND)
    assert listing.position == SourcePosition(2, 14)


def test_messages_are_read_by_and_from_a_version_without_eras() -> None:
    """Guards against instances that do not hear each other while the program is replaced."""
    hello = Hello(STATUS, 7)
    earlier = msgspec.msgpack.decode(encode_message(hello), type=_EarlierHello)
    assert earlier.status.member == STATUS.member
    received = decode_message(msgspec.msgpack.encode(earlier))
    assert isinstance(received, Hello)
    assert received.status.source_era is None


def test_feeder_that_is_behind_is_not_listed_again() -> None:
    """Guards against an upstream that had left and is in use again once a history was lost."""
    source, peer = ScriptedSource(30, era=1), ScriptedSource(20, era=1)
    harness = _build_started(source, peer)
    harness.shared._feeder = Member("other", "east", "10.0.0.2", 1)
    assert anyio.run(harness.shared.list_records, KIND).position == SourcePosition(1, 30)
    peer.revision = 31
    assert anyio.run(harness.shared.list_records, KIND).position == SourcePosition(1, 31)
    assert (peer.list_calls, source.list_calls) == (2, 3)
