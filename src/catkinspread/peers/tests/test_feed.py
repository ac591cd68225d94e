"""Answers of the feed server."""

import anyio

from catkinspread.deployment import StateChange, StateChanges, StateKind, UpstreamRecord
from catkinspread.peers import FeedServer, StateCache
from catkinspread.transport.http_server import HttpRequest

UNENCODABLE = UpstreamRecord("i-1", 2**64, "pages", "east", "10.0.0.9", 80, 2, False, 0, 1)


def test_records_that_cannot_be_encoded_are_answered_with_unavailable() -> None:
    """Guards against a connection that breaks off, which looks like a network fault to readers."""
    cache = StateCache(settling_ms=4_800)
    cache.put_listing(
        StateKind.UPSTREAMS, StateChanges((StateChange("i-1", UNENCODABLE),), 5), 1_000_000
    )
    request = HttpRequest("GET", "/state/upstreams", {}, b"")
    assert anyio.run(FeedServer(cache).answer, request).status == 503


def test_target_that_cannot_be_parsed_is_answered() -> None:
    """Guards against a connection that breaks off, with a traceback in the log, for a bad target."""
    request = HttpRequest("GET", "//[/state/upstreams", {}, b"")
    assert anyio.run(FeedServer(StateCache(settling_ms=4_800)).answer, request).status == 400
