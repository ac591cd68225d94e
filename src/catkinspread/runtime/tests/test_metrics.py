"""Tests of the metrics page."""

import anyio

from catkinspread.forwarding import LatencyHistogram
from catkinspread.runtime.metrics import MetricsPage
from catkinspread.transport.http_server import HttpRequest


def test_page_has_counters_gauges_and_histograms() -> None:
    """Guards against metrics that are missing or renamed on the page."""
    histogram = LatencyHistogram()
    for took_ms in (4, 40, 40, 9_000):
        histogram.add(took_ms)
    page = MetricsPage(lambda: {"opened": 7}, lambda: {"flows": 3}, {"response": histogram})
    answer = anyio.run(page.answer, HttpRequest("GET", "/metrics", {}, b""))
    text = answer.body.decode()
    assert 'catkinspread_events_total{event="opened"} 7.0' in text
    assert "catkinspread_flows 3.0" in text
    assert 'catkinspread_response_seconds_bucket{le="0.05"} 3.0' in text
    assert 'catkinspread_response_seconds_bucket{le="+Inf"} 4.0' in text
    assert "catkinspread_response_seconds_sum 9.084" in text


def test_other_paths_are_not_found() -> None:
    """Guards against serving metrics under other paths."""
    page = MetricsPage(dict, dict, {})
    assert anyio.run(page.answer, HttpRequest("GET", "/", {}, b"")).status == 404
