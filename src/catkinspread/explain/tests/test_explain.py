"""Explanations of failed requests from log lines."""

import json
import pathlib

import pytest

from catkinspread.console.main import main
from catkinspread.explain import (
    CallerUnknownError,
    LogIndex,
    build_report,
    format_caller_story,
    format_report,
    format_request_story,
    read_log_lines,
)
from catkinspread.explain.refusals import DESCRIPTIONS, DROP_DESCRIPTIONS
from catkinspread.explain.request_story import RequestUnknownError
from catkinspread.forwarding import RejectionReason

START_MS = 1_000_000


def _write(at_ms: int, event: str, instance: str = "one", **fields: object) -> str:
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


def _refuse(at_ms: int, port: int, reason: str, instance: str = "one", **fields: object) -> str:
    flow = f"100.64.0.7:{port}>198.18.0.1:443"
    return _write(at_ms, "flow_refused", instance, flow=flow, reason=reason, **fields)


def _change(at_ms: int, service: str, is_limited: bool, instance: str = "one") -> str:
    return _write(
        at_ms, "admission_changed", instance, service=service, is_limited=is_limited, slots=4
    )


PAGES = {"service": "pages", "priority": 2, "share": 0.25, "occupancy": 2.5}
REFUSED_LOG = (
    _change(10, "pages", True),
    _change(11, "plates", True),
    _change(12, "pages", True, "two"),
    _refuse(20, 1_024, "no_room", **PAGES),
    _change(30, "pages", False),
    _refuse(40, 1_025, "too_late", "two", **{**PAGES, "occupancy": None}),
    _refuse(50, 1_026, "no_route"),
    _write(60, "flow_refused", flow="100.64.0.70:1024>198.18.0.1:443", reason="no_room", **PAGES),
)


def test_report_counts_refusals_for_lack_of_room_by_service_and_priority() -> None:
    """Guards against a shortage of one service that hides among the refusals of all."""
    report = build_report(_index(*REFUSED_LOG))
    assert report.refusals == {"no_room": 2, "too_late": 1, "no_route": 1}
    found = [(row.service, row.priority, row.reason, row.count) for row in report.room_refusals]
    assert found == [("pages", 2, "no_room", 2), ("pages", 2, "too_late", 1)]
    text = format_report(report)
    assert "2 openings refused for lack of room: service pages, priority 2, no_room" in text
    assert "1 openings refused: no_route: no route has the service address" in text


def test_story_of_a_caller_tells_what_decided_each_refused_flow() -> None:
    """Guards against naming the admission of another service, instance or time as the cause."""
    lines = format_caller_story(_index(*REFUSED_LOG), "100.64.0.7").splitlines()
    assert [json.loads(line)["at_ms"] - START_MS for line in lines if line[0] == "{"] == [
        10,
        20,
        12,
        40,
        50,
    ]
    sentences = [line for line in lines if line[0] != "{"]
    assert sentences[0].endswith(
        "service pages, priority 2, 25.0% of the callers of the route admitted, "
        "requests in flight: 2.50 per work slot"
    )
    assert sentences[1].endswith("requests in flight: no work slots")
    assert sentences[2] == "no_route: no route has the service address"


def test_story_of_a_caller_may_be_of_one_port() -> None:
    """Guards against a busy caller whose refused flow cannot be found among others."""
    story = format_caller_story(_index(*REFUSED_LOG), "100.64.0.7:1026")
    assert len(story.splitlines()) == 2


def test_story_of_a_caller_has_packets_that_were_dropped() -> None:
    """Guards against a caller without any answer whose packets no line seems to name."""
    flow = "100.64.0.8:1024>198.18.0.1:443"
    story = format_caller_story(
        _index(
            _write(10, "packet_dropped", flow=flow, reason="outdated_state"),
            _write(20, "packet_dropped", flow=flow, reason="no_room"),
        ),
        "100.64.0.8",
    ).splitlines()
    assert story[1].startswith("outdated_state: the process had been paused")
    assert story[3].endswith("another instance may have sent the first copy on")


def test_caller_without_a_refused_flow_is_an_error() -> None:
    """Guards against an empty story that looks like an answer."""
    with pytest.raises(CallerUnknownError, match=r"100\.64\.0\.9"):
        format_caller_story(_index(*REFUSED_LOG), "100.64.0.9")


def test_each_reason_of_a_refusal_has_a_description() -> None:
    """Guards against a reason that is added or renamed and that operators have to guess."""
    described = {*DESCRIPTIONS, *DROP_DESCRIPTIONS}
    # A retry that is not sent has no line.
    described.add(RejectionReason.TRIES_EXHAUSTED.value)
    assert described == {reason.value for reason in RejectionReason}


def test_command_prints_the_story_of_a_caller(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against an option of the command that is not connected."""
    file = tmp_path / "one.log"
    file.write_text("".join(REFUSED_LOG))
    assert main(["explain", str(file), "--caller", "100.64.0.7:1024"]) == 0
    assert "no_room: the service had too little room" in capsys.readouterr().out
    assert main(["explain", str(file), "--caller", "100.64.0.9"]) == 1
