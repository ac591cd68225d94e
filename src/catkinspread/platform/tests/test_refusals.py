"""The log of objects that are not used."""

import anyio
import msgspec
import pytest

from catkinspread.clock import ManualClock
from catkinspread.deployment import StateKind
from catkinspread.eventlog import EventLog
from catkinspread.httpclient import HttpResponse
from catkinspread.model import Endpoint
from catkinspread.platform import RefusalLog, StoreClient
from catkinspread.platform.answers import RefusedObject
from catkinspread.platform.refusals import REMEMBERED_MAX
from catkinspread.platform.tests.deployment import Lines
from catkinspread.platform.tests.test_store import ScriptedClient


@pytest.fixture
def lines() -> Lines:
    return Lines()


@pytest.fixture
def refusals(lines: Lines) -> RefusalLog:
    clock = ManualClock(1_000_000)
    return RefusalLog(EventLog("one", lines, clock), clock)


def test_refused_object_is_logged_once(lines: Lines, refusals: RefusalLog) -> None:
    """Guards against an entry that nobody hears of, and one that fills the log at each read."""
    item = {"meta": {"name": "i-1", "revision": 4}, "spec": {"service": 5}}
    answer = HttpResponse(200, msgspec.json.encode({"items": [item], "at_rev": 5}))
    store = StoreClient(ScriptedClient(answer, answer), Endpoint("10.0.0.1", 80), refusals)
    for _ in range(2):
        anyio.run(store.list_records, StateKind.UPSTREAMS)
    (event,) = lines.find("object_refused")
    assert (event["kind"], event["name"], event["revision"]) == ("upstreams", "i-1", 4)
    assert "service" in event["reason"]
    assert refusals.count == 1


def test_memory_of_refusals_is_bounded(lines: Lines, refusals: RefusalLog) -> None:
    """Guards against a writer that fills the memory with ever new entries."""
    for revision in range(REMEMBERED_MAX + 1):
        refusals.record(RefusedObject(StateKind.UPSTREAMS, "i-1", revision, "reason"))
    assert len(refusals._remembered) == REMEMBERED_MAX
    assert refusals.count == REMEMBERED_MAX + 1
