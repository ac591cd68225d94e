"""Bench `forwarding-cost`: processor time and memory of the decisions of a forwarding instance.

It measures how the cost of opening a flow grows with the upstreams of a service and with all
upstreams, and the cost of data packets and of the memory of open flows. Sockets, parsing and log
lines are not included.
"""

import random
import time
import tracemalloc

from catkinspread.bench.registry import BenchReport, register_bench
from catkinspread.clock import ManualClock
from catkinspread.deployment import (
    DeploymentState,
    KnownUpstream,
    RequestKind,
    Route,
    RoutingConfiguration,
    ServiceAddress,
    ServiceLimits,
    ServiceShare,
    UpstreamRecord,
)
from catkinspread.eventlog import EventLog
from catkinspread.forwarding import (
    CallerPacket,
    ColdStartLimiter,
    DecisionLog,
    FlowKey,
    Forwarder,
    LoadTracker,
    LocalAvailability,
    Placement,
)

# Upstreams of the service that flows are opened to, and of all other services together.
_SERVICE_SIZES = (10, 100, 1_000)
_OTHER_UPSTREAMS = (0, 7_000)
_FLOWS = 10_000
_DATA_PACKETS = 50_000
_START_MS = 1_000_000
_ADDRESS = ServiceAddress(0xC6120001, 443)
_SERVICE = "measured"
_PAYLOAD_BYTES = 200
_MICROSECONDS_PER_S = 1e6


class _NullSink:
    """Discards log lines."""

    def write(self, line: bytes) -> bool:
        return True


class _CountingOutput:
    """Counts the packets in place of sending them."""

    def __init__(self) -> None:
        self.count = 0

    def forward(self, packet: CallerPacket, upstream: KnownUpstream, token: int) -> None:
        self.count += 1

    def reset(self, key: FlowKey, sequence: int) -> None:
        self.count += 1


@register_bench("forwarding-cost")
def measure_forwarding(seed: int) -> BenchReport:
    """Opens flows and forwards data, against a random choice of the upstream."""
    figures: dict[str, float] = {}
    for other_count in _OTHER_UPSTREAMS:
        for size in _SERVICE_SIZES:
            forwarder = build_forwarder(size, other_count, seed)
            name = f"open_{size}_of_{size + other_count}_us"
            figures[name] = _measure_us(forwarder, build_openings(_FLOWS // 10))
    forwarder = build_forwarder(_SERVICE_SIZES[0], 0, seed)
    tracemalloc.start()
    for packet in build_openings(_FLOWS):
        forwarder.handle(packet, _START_MS)
    figures["memory_bytes_per_flow"] = tracemalloc.get_traced_memory()[0] / _FLOWS
    tracemalloc.stop()
    figures["data_us"] = _measure_us(forwarder, _build_data(seed))
    naive_us = _measure_naive_us(seed)
    return BenchReport("forwarding-cost", seed, figures, {"open_10_of_10_us": naive_us})


def build_forwarder(service_size: int, other_count: int, seed: int) -> Forwarder:
    """Returns a forwarder whose state has a service and upstreams of other services.

    Args:
        service_size: Number of upstreams of the service.
        other_count: Number of upstreams of other services, ten each.
        seed: Seed of the random choices.
    """
    state = _build_state(service_size, other_count)
    loads = LoadTracker()
    rng = random.Random(seed)
    placement = Placement("east", state, loads, ColdStartLimiter(1, rng), rng)
    events = EventLog("bench", _NullSink(), ManualClock(_START_MS))
    return Forwarder(
        state,
        placement,
        loads,
        LocalAvailability("east", state),
        _CountingOutput(),
        DecisionLog(events, state),
        lambda packet: "",
    )


def build_openings(count: int) -> list[CallerPacket]:
    """Returns the opening packets of flows from different callers."""
    return [_build_packet(index, is_opening=True) for index in range(count)]


def _build_state(service_size: int, other_count: int) -> DeploymentState:
    state = DeploymentState(flow_lifetime_max_ms=60_000)
    share = ServiceShare(_SERVICE, 1.0)
    route = Route("r", _ADDRESS, (share,), RequestKind.IDEMPOTENT, 2_000, 1)
    limits = ServiceLimits(_SERVICE, 0.0, 2_000)
    state.put_configuration(RoutingConfiguration(1, (route,), (limits,), 15_000))
    for index in range(service_size):
        state.put_upstream(_build_upstream(f"m-{index}", _SERVICE), _START_MS)
    for index in range(other_count):
        state.put_upstream(_build_upstream(f"o-{index}", f"other-{index // 10}"), _START_MS)
    state.upstreams_loaded = True
    state.evacuations_loaded = True
    return state


def _build_upstream(name: str, service: str) -> UpstreamRecord:
    return UpstreamRecord(name, 1, service, "east", "10.0.0.1", 80, 2, False, 0, 1)


def _build_packet(
    index: int, is_opening: bool = False, sequence: int = 1_000, token: int = 0
) -> CallerPacket:
    return CallerPacket(
        key=FlowKey(0x64400000 + index, 40_000, _ADDRESS),
        is_opening=is_opening,
        is_close=False,
        is_reset=False,
        sequence=sequence,
        acknowledged=0 if is_opening else 1,
        token=token,
        payload_size_bytes=0 if is_opening else _PAYLOAD_BYTES,
        datagram=b"",
    )


def _build_data(seed: int) -> list[CallerPacket]:
    rng = random.Random(seed)
    positions = [0] * _FLOWS
    packets = []
    for _ in range(_DATA_PACKETS):
        index = rng.randrange(_FLOWS)
        packets.append(_build_packet(index, sequence=1_001 + positions[index]))
        positions[index] += _PAYLOAD_BYTES
    return packets


def _measure_us(forwarder: Forwarder, packets: list[CallerPacket]) -> float:
    started_s = time.process_time()
    for packet in packets:
        forwarder.handle(packet, _START_MS)
    return (time.process_time() - started_s) * _MICROSECONDS_PER_S / len(packets)


def _measure_naive_us(seed: int) -> float:
    """Chooses an upstream at random for each flow, without load, limits or log lines."""
    rng = random.Random(seed)
    table: dict[FlowKey, int] = {}
    packets = build_openings(_FLOWS)
    started_s = time.process_time()
    for packet in packets:
        table[packet.key] = rng.randrange(_SERVICE_SIZES[0])
    return (time.process_time() - started_s) * _MICROSECONDS_PER_S / len(packets)
