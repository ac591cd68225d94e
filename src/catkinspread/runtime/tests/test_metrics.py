"""Tests of the metrics page."""

import anyio

from catkinspread.clock import ManualClock
from catkinspread.eventlog import EventLog
from catkinspread.forwarding import LatencyHistogram
from catkinspread.forwarding.tests.builders import LineRecorder
from catkinspread.runtime.metrics import LabelledMetric, MetricsPage
from catkinspread.supervision import FailureLog
from catkinspread.transport.http_server import HttpRequest


def _build_failures() -> FailureLog:
    return FailureLog(EventLog("one", LineRecorder(), ManualClock(1_000)))


def test_page_has_counters_gauges_and_histograms() -> None:
    """Guards against metrics that are missing or renamed on the page."""
    histogram = LatencyHistogram()
    failures = _build_failures()
    failures.record_failure("feed", OSError(), 1_000)
    for took_ms in (4, 40, 40, 9_000):
        histogram.add(took_ms)
    refused = LabelledMetric(
        "refused_flows", "Refused.", True, ("route", "reason"), {("r1", "no_room"): 5}
    )
    limited = LabelledMetric("limited", "Limited.", False, ("service",), {('a"b',): 1})
    page = MetricsPage(
        lambda: {"opened": 7},
        lambda: {"flows": 3},
        lambda: [refused, limited],
        {"response": histogram},
        failures,
        "0f1e",
    )
    answer = anyio.run(page.answer, HttpRequest("GET", "/metrics", {}, b""))
    text = answer.body.decode()
    assert 'catkinspread_events_total{event="opened"} 7.0' in text
    assert "catkinspread_flows 3.0" in text
    assert 'catkinspread_refused_flows_total{reason="no_room",route="r1"} 5.0' in text
    assert 'catkinspread_limited{service="a\\"b"} 1.0' in text
    assert 'catkinspread_build_info{source="0f1e"} 1.0' in text
    assert 'catkinspread_part_failures_total{part="feed"} 1.0' in text
    assert 'catkinspread_part_failing{part="feed"} 1.0' in text
    assert 'catkinspread_response_seconds_bucket{le="0.05"} 3.0' in text
    assert 'catkinspread_response_seconds_bucket{le="+Inf"} 4.0' in text
    assert "catkinspread_response_seconds_sum 9.084" in text


def test_other_paths_are_not_found() -> None:
    """Guards against serving metrics under other paths."""
    page = MetricsPage(dict, dict, list, {}, _build_failures(), "0f1e")
    assert anyio.run(page.answer, HttpRequest("GET", "/", {}, b"")).status == 404
