"""Explanations of failed requests from log lines."""

import json

import pytest

from catkinspread.explain import (
    LogIndex,
    build_report,
    format_report,
    format_request_story,
    read_log_lines,
)
from catkinspread.explain.request_story import RequestUnknownError

START_MS = 1_000_000


def _write(at_ms: int, event: str, instance: str = "one", **fields: str) -> str:
    line = {"at_ms": START_MS + at_ms, "instance": instance, "event": event, **fields}
    return f"  12.5 {instance} {json.dumps(line)}\n"


def _forward(request: str, at_ms: int = 0, instance: str = "one") -> str:
    return _write(at_ms, "request", instance, request=request, flow=f"f-{request}", upstream="i-1")


def _index(*lines: str) -> LogIndex:
    return LogIndex(read_log_lines(lines))


LOG = (
    _forward("answered"),
    _write(20, "answered", "two", request="answered"),
    _forward("unreachable", 100),
    _write(700, "flow_reset", request="unreachable", reason="upstream_unreachable"),
    _forward("gone", 100),
    _write(800, "flow_reset", request="gone", reason="upstream_gone"),
    _forward("killed", 100, instance="three"),
    _write(2_000, "started", "three"),
    _forward("planned", 100, instance="four"),
    _write(150, "leaving", "four"),
    _write(1_500, "caller_gave_up", "four", request="planned"),
    _write(2_000, "started", "four"),
    _write(60_000, "request", request="lost", flow="f-lost", upstream="i-9"),
    _write(63_000, "state_changed", name="i-9", detail="missing"),
    _write(90_000, "request", request="silent", flow="f-silent", upstream="i-5"),
    _write(90_010, "flow_refused", flow="f-other", reason="no_route"),
    "other text\n",
    "{cut off\n",
)


def test_each_request_without_an_answer_has_one_cause() -> None:
    """Guards against shares that do not add up, and against blaming a planned stop."""
    report = build_report(_index(*LOG))
    assert (report.request_count, report.unanswered_count) == (7, 6)
    assert {found.cause: found.example for found in report.causes} == {
        "reset_unreachable": "unreachable",
        "reset_gone": "gone",
        "instance_lost": "killed",
        "no_answer": "planned",
        "upstream_lost": "lost",
        "unknown": "silent",
    }
    assert sum(found.share for found in report.causes) == pytest.approx(1)
    assert report.refusals == {"no_route": 1}
    assert "6 without an answer" in format_report(report)


def test_story_has_the_lines_of_flow_and_upstream() -> None:
    """Guards against a story that lacks the line with the cause."""
    story = format_request_story(_index(*LOG), "lost")
    assert '"missing"' in story
    assert story.endswith("upstream_lost: the upstream disappeared while the request waited")
    assert format_request_story(_index(*LOG), "answered").endswith("answered")


def test_unknown_request_is_an_error() -> None:
    """Guards against an empty story that looks like an answer."""
    with pytest.raises(RequestUnknownError, match="'nobody'"):
        format_request_story(_index(*LOG), "nobody")


def test_no_lines_give_an_empty_report() -> None:
    """Guards against a division by zero for an empty log."""
    assert build_report(_index()).unanswered_count == 0
