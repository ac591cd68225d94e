"""Log lines under load and with a reader that is behind."""

import json
import os

from catkinspread.clock import ManualClock
from catkinspread.eventlog import EventLog, LineWriter
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


def test_lines_are_json_with_time_instance_and_inputs() -> None:
    """Guards against lines that tools cannot read."""
    recorder = _Recorder()
    EventLog("one", recorder, ManualClock(5)).write("placed", 7, upstream="a", attempt=2)
    assert json.loads(recorder.lines[0]) == {
        "at_ms": 7,
        "instance": "one",
        "event": "placed",
        "upstream": "a",
        "attempt": 2,
    }


def test_volume_is_bounded_and_the_loss_is_counted() -> None:
    """Guards against a log that takes the processor from forwarding in a burst."""
    recorder = _Recorder()
    log = EventLog("one", recorder, ManualClock(0))
    for _ in range(10 * BURST_LINES):
        log.write("placed", 0)
    assert len(recorder.lines) == BURST_LINES
    log.write("placed", 1_000)
    assert json.loads(recorder.lines[-1])["dropped_lines"] == 9 * BURST_LINES
    assert LINES_PER_S < BURST_LINES * 10


def test_reader_that_is_behind_never_blocks() -> None:
    """Guards against an instance that stops because nobody reads its log."""
    reader, writer = os.pipe()
    try:
        log = EventLog("one", LineWriter(writer), ManualClock(0))
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
