"""Metrics of an instance in the format of Prometheus."""

from collections.abc import Callable, Iterator
from http import HTTPStatus

import msgspec
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from catkinspread.instance.core import InstanceCore
from catkinspread.transport import HttpRequest, HttpServerResponse
from catkinspread.transport.peers import PeerTransport

_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class InstanceFigures(msgspec.Struct, frozen=True):
    """What an instance reports at one moment.

    Attributes:
        configuration_version: Version in force.
        live_instances: Live instances in its view, itself included.
        known_flows: Flows whose caller address is remembered.
        open_requests: Requests that wait or were sent and not answered.
        slots_in_transition: Slots that are decided by owner groups.
        routing_exceptions: Flows that stay on another upstream than their slot.
        owned_pins: Pins that this instance keeps.
        slow_requests: Requests answered slowly so far.
        refused_requests: Requests refused or with unknown outcome so far.
        peer_sent_bytes: Payload sent to peers so far.
        peer_received_bytes: Payload received from peers so far.
        dropped_packets: Dropped packets so far, by reason.
        dropped_records: Records that never reached the platform.
    """

    configuration_version: int
    live_instances: int
    known_flows: int
    open_requests: int
    slots_in_transition: int
    routing_exceptions: int
    owned_pins: int
    slow_requests: int
    refused_requests: int
    peer_sent_bytes: int
    peer_received_bytes: int
    dropped_packets: dict[str, int]
    dropped_records: int


_GAUGES = (
    ("configuration_version", "Version of the configuration in force."),
    ("live_instances", "Live instances in the view of this instance."),
    ("known_flows", "Flows whose caller address is remembered."),
    ("open_requests", "Requests that wait or were sent and not answered."),
    ("slots_in_transition", "Slots that are decided by owner groups."),
    ("routing_exceptions", "Flows that stay on another upstream than their slot."),
    ("owned_pins", "Pins of flows that this instance keeps."),
)
_COUNTERS = (
    ("slow_requests", "Requests answered more than 1 s after they arrived."),
    ("refused_requests", "Requests refused or with unknown outcome."),
    ("peer_sent_bytes", "Payload bytes sent to other instances."),
    ("peer_received_bytes", "Payload bytes received from other instances."),
    ("dropped_records", "Records that never reached the platform."),
)


class InstanceCollector:
    """Turns the figures of an instance into metrics when they are asked for."""

    __slots__ = ("_read",)

    def __init__(self, read: Callable[[], InstanceFigures]) -> None:
        self._read = read

    def collect(self) -> Iterator[Metric]:
        """Yields all metrics."""
        figures = self._read()
        for name, text in _GAUGES:
            yield GaugeMetricFamily(f"catkinspread_{name}", text, value=getattr(figures, name))
        for name, text in _COUNTERS:
            yield CounterMetricFamily(f"catkinspread_{name}", text, value=getattr(figures, name))
        drops = CounterMetricFamily(
            "catkinspread_dropped_packets", "Packets dropped, by reason.", labels=["reason"]
        )
        for reason, count in sorted(figures.dropped_packets.items()):
            drops.add_metric([reason], count)
        yield drops


def read_figures(core: InstanceCore, peer_port: PeerTransport, now_ms: int) -> InstanceFigures:
    """Returns the figures of an instance at this moment."""
    state = core.state
    tables = state.configuration.slot_tables.values()
    return InstanceFigures(
        configuration_version=state.configuration.version,
        live_instances=len(state.members),
        known_flows=len(core.packets.flows),
        open_requests=core.requests.count_open(now_ms),
        slots_in_transition=sum(len(table.transitions) for table in tables),
        routing_exceptions=sum(base.exception_count for table in tables for base in table.bases),
        owned_pins=len(state.router.owner.pins),
        slow_requests=state.recorder.slow_count,
        refused_requests=state.recorder.refused_count,
        peer_sent_bytes=peer_port.sent_bytes,
        peer_received_bytes=peer_port.received_bytes,
        dropped_packets=dict(state.drops),
        dropped_records=state.recorder.store.count().dropped,
    )


class MetricsApi:
    """Serves `GET /metrics`."""

    __slots__ = ("_registry",)

    def __init__(self, read: Callable[[], InstanceFigures]) -> None:
        self._registry = CollectorRegistry()
        self._registry.register(InstanceCollector(read))

    async def answer(self, request: HttpRequest) -> HttpServerResponse:
        """Returns the answer to a request."""
        if request.method != "GET" or request.target.partition("?")[0] != "/metrics":
            return HttpServerResponse(
                HTTPStatus.NOT_FOUND, b"not found\n", content_type="text/plain"
            )
        return HttpServerResponse(
            HTTPStatus.OK, generate_latest(self._registry), content_type=_CONTENT_TYPE
        )
