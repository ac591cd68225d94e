"""Tests of the log line for a change of admission."""

import json

from catkinspread.admission import AdmissionChange
from catkinspread.clock import ManualClock
from catkinspread.eventlog import EventLog
from catkinspread.explain import LogIndex, read_log_lines
from catkinspread.forwarding.tests.builders import LineRecorder
from catkinspread.runtime.admission_log import SHARES_MAX, log_admission_change

CHANGE = AdmissionChange(
    service="pages",
    at_ms=1_000,
    is_limited=True,
    admitted_share=0.66666,
    trim=0.95,
    slots=4.0,
    in_flight=9.0,
    demand_ms_per_s={0: 1_000.4, 2: 5_000.0},
    age_ms=250,
    is_estimate=False,
)


def _write(shares: dict[str, float]) -> str:
    lines = LineRecorder()
    events = EventLog("one", lines, ManualClock(1_000))
    log_admission_change(events, CHANGE, shares, 1_000)
    return lines.lines[0].decode()


def test_line_has_the_change_and_its_inputs() -> None:
    """Guards against a change of admission that operators cannot explain."""
    line = json.loads(_write({"r1": 1.0, "r2": 0.33333}))
    assert line == {
        "at_ms": 1_000,
        "instance": "one",
        "event": "admission_changed",
        "service": "pages",
        "is_limited": True,
        "admitted_share": 0.667,
        "slots": 4.0,
        "in_flight": 9.0,
        "demand_ms_per_s": {"0": 1_000, "2": 5_000},
        "shares": {"r2": 0.333, "r1": 1.0},
        "trim": 0.95,
        "age_ms": 250,
        "is_estimate": False,
    }


def test_line_of_a_service_with_many_routes_is_bounded() -> None:
    """Guards against lines that fill the log, and against leaving out the refused routes."""
    shares = {f"r{number}": 1.0 for number in range(500)} | {"refused": 0.1}
    found = json.loads(_write(shares))["shares"]
    assert len(found) == SHARES_MAX
    assert found["refused"] == 0.1


def test_explain_finds_the_line() -> None:
    """Guards against field names that differ between the line and its reader."""
    index = LogIndex(read_log_lines([_write({})]))
    assert index.find_admission_change("one", "pages", 1_000) is not None
