"""Tests of log lines under load and with a slow reader."""

import json
import os

import pytest

from catkinspread.clock import ManualClock
from catkinspread.eventlog import EventLog, FileDescriptorSink
from catkinspread.eventlog.event_log import BURST_LINES, LINES_PER_S


class _Recorder:
    def __init__(self) -> None:
        self.lines: list[bytes] = []
        self.is_full = False

    def write(self, line: bytes) -> bool:
        if self.is_full:
            return False
        self.lines.append(line)
        return True


def test_lines_are_json_with_time_instance_and_fields() -> None:
    """Guards against lines that are not valid JSON or lack a field."""
    recorder = _Recorder()
    EventLog("one", recorder, ManualClock(5)).write("placed", 7, upstream="a", attempt=2)
    assert json.loads(recorder.lines[0]) == {
        "at_ms": 7,
        "instance": "one",
        "event": "placed",
        "upstream": "a",
        "attempt": 2,
    }


def test_rate_is_limited_and_dropped_lines_are_counted() -> None:
    """Guards against logging that slows down forwarding during a burst of events."""
    recorder = _Recorder()
    log = EventLog("one", recorder, ManualClock(0))
    for _ in range(10 * BURST_LINES):
        log.write("placed", 0)
    assert len(recorder.lines) == BURST_LINES
    log.write("placed", 1_000)
    assert json.loads(recorder.lines[-1])["dropped_lines"] == 9 * BURST_LINES
    assert LINES_PER_S < BURST_LINES * 10


def test_slow_reader_does_not_block() -> None:
    """Guards against an instance that blocks because nothing reads its standard output."""
    reader, writer = os.pipe()
    try:
        log = EventLog("one", FileDescriptorSink(writer), ManualClock(0))
        for step in range(5_000):
            log.write_always("placed", step, text="x" * 100)
        assert log.dropped_count > 0
        received = os.read(reader, 1 << 20)
        for step in range(200):
            log.write_always("later", step)
        received += os.read(reader, 1 << 20)
        lines = received.split(b"\n")[:-1]
        assert all(json.loads(line) for line in lines)
        assert any("dropped_lines" in json.loads(line) for line in lines)
    finally:
        os.close(reader)
        os.close(writer)


@pytest.mark.parametrize("value", ["\udc80", {"key": object()}], ids=["surrogate", "object"])
def test_value_that_is_not_encodable_does_not_raise(value: object) -> None:
    """Guards against a log line with content of another writer that ends the process."""
    recorder = _Recorder()
    EventLog("one", recorder, ManualClock(5)).write("placed", 7, text="kept", value=value)
    line = json.loads(recorder.lines[0])
    assert (line["at_ms"], line["text"]) == (7, "kept")
    assert "is not encodable" in line["value"]


def test_descriptor_without_non_blocking_mode_drops_lines() -> None:
    """Guards against an end of the process, or a block, where the mode cannot be set."""
    reader, writer = os.pipe()
    os.close(reader)
    os.close(writer)
    assert not FileDescriptorSink(writer).write(b"line\n")
