"""Priorities, deadlines and objectives of routes that are out of range."""

import anyio
import msgspec
import pytest

from catkinspread.clock import ManualClock
from catkinspread.deployment import StateKind
from catkinspread.deployment.bounds import AMOUNT_MAX
from catkinspread.eventlog import EventLog
from catkinspread.httpclient import HttpResponse
from catkinspread.model import Endpoint
from catkinspread.platform import RefusalLog, StoreClient
from catkinspread.platform.tests.deployment import ADDRESS, START_TIMEOUT_S, Deployment, Lines, play
from catkinspread.platform.tests.test_objects import CONFIGURATION, decode_record
from catkinspread.platform.tests.test_store import ScriptedClient

FIELDS = ("priority", "timeout_ms", "aim_ms")


def change_route(field: str, value: object) -> dict[str, object]:
    """Returns a configuration whose only route has another value in a field."""
    return {**CONFIGURATION, "routes": [{**CONFIGURATION["routes"][0], field: value}]}


@pytest.mark.parametrize("field", FIELDS)
@pytest.mark.parametrize("value", [-1, AMOUNT_MAX + 1, 1.5, "1", True, None])
def test_value_out_of_range_refuses_the_configuration(field: str, value: object) -> None:
    """Guards against an admission order or a deadline that nobody can have meant."""
    content = msgspec.json.encode({"meta": {"name": "main", "revision": 9}, "spec": None})
    item = content.replace(b"null", msgspec.json.encode(change_route(field, value)))
    lines = Lines()
    clock = ManualClock(1_000_000)
    refusals = RefusalLog(EventLog("one", lines, clock), clock)
    answer = HttpResponse(200, b'{"items":[%s],"at_rev":9}' % item)
    store = StoreClient(ScriptedClient(answer), Endpoint("10.0.0.1", 80), refusals)
    listing = anyio.run(store.list_records, StateKind.CONFIGURATION)
    (line,) = lines.find("object_refused")
    assert (line["kind"], line["name"], line["revision"]) == ("configuration", "main", 9)
    assert f"routes[0].{field}`" in line["reason"]
    assert [(change.record, change.is_unreadable) for change in listing.changes] == [(None, True)]


@pytest.mark.parametrize("field", FIELDS)
@pytest.mark.parametrize("value", [0, AMOUNT_MAX])
def test_value_at_the_end_of_its_range_is_used(field: str, value: int) -> None:
    """Guards against a bound that refuses a valid configuration."""
    name = {"aim_ms": "objective_ms"}.get(field, field)
    record = decode_record(StateKind.CONFIGURATION, "main", change_route(field, value))
    assert getattr(record.routes[0], name) == value


def test_last_good_configuration_stays_in_force() -> None:
    """Guards against callers that are refused because of one bad value of an operator."""

    async def scenario(deployment: Deployment) -> None:
        configuration = deployment.build_configuration(2, "gone")
        configuration["routes"][0]["priority"] = -1
        deployment.store.put_configuration(configuration)
        with anyio.fail_after(START_TIMEOUT_S):
            while not deployment.lines[0].find("object_refused"):
                await anyio.sleep(0.02)
        port, head = await deployment.caller.open(ADDRESS)
        answer = await deployment.caller.request(ADDRESS, port, head[3])
        assert answer.startswith(b"HTTP/1.1 200")

    play(scenario)
