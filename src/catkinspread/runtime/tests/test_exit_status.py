"""Tests of the line that explains why the program ended."""

import json

import pytest

from catkinspread.forwarding.tests.builders import LineRecorder
from catkinspread.ini import parse_name
from catkinspread.runtime.exit_status import ExitStatus, report_unexpected_error
from catkinspread.supervision import (
    Part,
    RequiredPartFailed,
    describe_error,
    list_leaf_errors,
)


def _catch(text: str) -> ValueError:
    try:
        parse_name(text)
    except ValueError as error:
        return error
    raise AssertionError("not reached")


def test_place_of_an_error_in_a_library_names_our_line_too() -> None:
    """Guards against a line that only names the standard library."""
    try:
        json.loads("{")
    except ValueError as error:
        description = str(describe_error(error))
    assert "json/decoder.py:" in description
    assert f", from {__file__}:" in description


def test_errors_of_nested_groups_are_counted_and_named_once() -> None:
    """Guards against a line about the task group in place of its errors."""
    errors = [_catch(f"name {number}") for number in range(5)]
    group = ExceptionGroup("outer", [errors[0], ExceptionGroup("inner", errors[1:])])
    assert list_leaf_errors(group) == errors
    recorder = LineRecorder()
    assert report_unexpected_error(recorder, "one", group) == ExitStatus.UNEXPECTED_ERROR
    line = json.loads(recorder.lines[0])
    assert line["error_count"] == 5
    assert len(line["errors"]) == 3
    assert "ini/fields.py:" in line["errors"][0]


def test_error_while_the_event_loop_ends_does_not_hide_the_first_one() -> None:
    """Guards against a line that names only a consequence of the fault."""
    later = RuntimeError("cannot start a thread")
    later.__context__ = ExceptionGroup("tasks", [MemoryError()])
    recorder = LineRecorder()
    report_unexpected_error(recorder, "one", later)
    first, second = json.loads(recorder.lines[0])["errors"]
    assert first.startswith("MemoryError")
    assert second.startswith("RuntimeError")


def test_line_breaks_of_a_message_are_removed() -> None:
    """Guards against one failure that looks like several lines."""
    assert str(describe_error(ValueError("a\nb"))) == "ValueError: a b at an unknown place"


_PACKETS = Part("packets", None, "10.0.0.1:8172", is_required=True)


@pytest.mark.parametrize(
    ("error", "status", "text"),
    [
        (ValueError("a reason"), ExitStatus.UNEXPECTED_ERROR, "ValueError: a reason"),
        (
            ExceptionGroup("", [ExceptionGroup("", [RequiredPartFailed(_PACKETS, "no socket")])]),
            ExitStatus.REQUIRED_PART_FAILED,
            "packets at 10.0.0.1:8172 failed: no socket",
        ),
    ],
)
def test_status_tells_a_failed_packet_port_from_an_unexpected_error(
    error: Exception, status: ExitStatus, text: str
) -> None:
    """Guards against an operator who cannot tell from the status why an instance ended."""
    lines = LineRecorder()
    assert report_unexpected_error(lines, "one", error) == status
    (line,) = map(json.loads, lines.lines)
    assert line["event"] == "ended_by_error"
    assert line["status"] == status
    assert text in line["errors"][0]
