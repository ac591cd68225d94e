"""Prometheus metrics of a forwarding instance.

The Prometheus library is imported at the first scrape, so that it does not delay the start.
"""

from collections.abc import Callable, Iterable, Mapping

import msgspec

from catkinspread.forwarding import LatencyHistogram
from catkinspread.supervision import FailureLog
from catkinspread.transport.http_server import HttpRequest, HttpServerResponse

METRICS_PATH = "/metrics"
METRICS_REQUEST_MAX_BYTES = 1_024
METRICS_CONNECTIONS_MAX = 64
_OK = 200
_NOT_FOUND = 404
_MS_PER_S = 1_000


class LabelledMetric(msgspec.Struct, frozen=True):
    """A metric with one value for each combination of labels.

    Attributes:
        name: Name without the prefix, and without `_total` for a counter.
        description: What it counts or measures, in one sentence.
        is_counter: Whether it only grows during the life of the process.
        labels: Names of the labels.
        values: Values by the values of the labels, in the order of `labels`.
    """

    name: str
    description: str
    is_counter: bool
    labels: tuple[str, ...]
    values: Mapping[tuple[str, ...], float]


class MetricsPage:
    """HTTP handler for scrapes.

    Args:
        read_counts: Returns the counters by name.
        read_gauges: Returns the gauges by name.
        read_labelled: Returns the metrics with labels.
        histograms: Latency histograms by name.
        failures: Failures of the parts of the program.
        source_digest: Digest of the source that the program was built from.
    """

    __slots__ = (
        "_failures",
        "_histograms",
        "_read_counts",
        "_read_gauges",
        "_read_labelled",
        "_source_digest",
    )

    def __init__(
        self,
        read_counts: Callable[[], Mapping[str, int]],
        read_gauges: Callable[[], Mapping[str, float]],
        read_labelled: Callable[[], Iterable[LabelledMetric]],
        histograms: Mapping[str, LatencyHistogram],
        failures: FailureLog,
        source_digest: str,
    ) -> None:
        self._failures = failures
        self._source_digest = source_digest
        self._read_counts = read_counts
        self._read_gauges = read_gauges
        self._read_labelled = read_labelled
        self._histograms = histograms

    async def answer(self, request: HttpRequest) -> HttpServerResponse:
        """Answers `GET /metrics`."""
        if request.target != METRICS_PATH:
            return HttpServerResponse(_NOT_FOUND)
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return HttpServerResponse(_OK, generate_latest(registry), content_type="text/plain")

    def collect(self) -> Iterable[object]:
        """Yields the metric families; part of the collector interface of the Prometheus library."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        events = CounterMetricFamily(
            "catkinspread_events", "Decisions and faults by name.", labels=["event"]
        )
        for name, count in sorted(self._read_counts().items()):
            events.add_metric([name], count)
        yield events
        build = GaugeMetricFamily(
            "catkinspread_build_info", "Source that the program was built from.", labels=["source"]
        )
        build.add_metric([self._source_digest], 1)
        yield build
        yield from self._collect_failures()
        for name, value in self._read_gauges().items():
            yield GaugeMetricFamily(f"catkinspread_{name}", name.replace("_", " "), value)
        for metric in self._read_labelled():
            kind = CounterMetricFamily if metric.is_counter else GaugeMetricFamily
            family = kind(f"catkinspread_{metric.name}", metric.description, labels=metric.labels)
            for values, value in sorted(metric.values.items()):
                family.add_metric(values, value)
            yield family
        for name, histogram in self._histograms.items():
            buckets = [
                ("+Inf" if bound is None else str(bound / _MS_PER_S), count)
                for bound, count in histogram.list_cumulative()
            ]
            yield HistogramMetricFamily(
                f"catkinspread_{name}_seconds",
                name.replace("_", " "),
                buckets=buckets,
                sum_value=histogram.sum_ms / _MS_PER_S,
            )

    def _collect_failures(self) -> Iterable[object]:
        """Yields a counter and a gauge with one value for each part that has failed."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        failures = CounterMetricFamily(
            "catkinspread_part_failures", "Failures of parts of the program.", labels=["part"]
        )
        failing = GaugeMetricFamily(
            "catkinspread_part_failing", "Whether a part is failing now.", labels=["part"]
        )
        for part, state in sorted(self._failures.states.items()):
            failures.add_metric([part], state.failures)
            failing.add_metric([part], state.failing_since_ms is not None)
        yield failures
        yield failing
