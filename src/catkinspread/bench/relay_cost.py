"""Bench `relay-cost`: processor time of a packet and memory of a flow in an instance."""

import random
import time
import tracemalloc

from catkinspread.bench.registry import BenchReport, register_bench
from catkinspread.configuration import (
    ChangeEntry,
    DataCentreSet,
    ServiceSet,
    SlotMove,
    SlotsMoved,
    UpstreamSet,
    apply_entry,
)
from catkinspread.instance import InstanceCore
from catkinspread.model import (
    SLOT_COUNT,
    Configuration,
    DataCentre,
    Endpoint,
    InstanceIncarnation,
    OwnerGroup,
    Service,
    Upstream,
)
from catkinspread.records import RecordStore
from catkinspread.routing import MemberView
from catkinspread.wire import Data, FabricPacket, Open, encode_packet

_FLOWS = (10_000, 20_000, 40_000)
_PACKETS = 100_000
_UPSTREAMS = 7
_START_MS = 1_000_000
_SETTLED_MS = _START_MS + 10_000
_SERVICE = Endpoint("127.0.0.1", 9_000)


@register_bench("relay-cost")
def measure_relay(seed: int) -> BenchReport:
    """Relays data packets of open flows, against a plain dict from caller to upstream."""
    randomizer = random.Random(seed)
    figures: dict[str, float] = {}
    memory_mb: list[float] = []
    for count in _FLOWS:
        core = build_core(2 * count)
        packets = [_make_packet(index, encode_packet(Open())) for index in range(count)]
        tracemalloc.start()
        for packet in packets:
            core.handle_caller(packet, _SETTLED_MS)
        memory_mb.append(tracemalloc.get_traced_memory()[0] / 1e6)
        tracemalloc.stop()
        figures[f"flows_{count}_memory_mb"] = memory_mb[-1]
    gained_mb = memory_mb[-1] - memory_mb[0]
    figures["slope_bytes_per_flow"] = gained_mb * 1e6 / (_FLOWS[-1] - _FLOWS[0])
    data = encode_packet(Data(body=bytes(200)))
    packets = [_make_packet(randomizer.randrange(_FLOWS[-1]), data) for _ in range(_PACKETS)]
    figures["relayed_packets_per_core_s"] = _measure_rate(core, packets)
    naive_rate = _measure_naive_rate(packets)
    figures["rate_to_naive"] = figures["relayed_packets_per_core_s"] / naive_rate
    return BenchReport("relay-cost", seed, figures, {"relayed_packets_per_core_s": naive_rate})


def _measure_rate(core: InstanceCore, packets: list[FabricPacket]) -> float:
    started_s = time.process_time()
    for packet in packets:
        core.handle_caller(packet, _SETTLED_MS)
    return len(packets) / (time.process_time() - started_s)


def _measure_naive_rate(packets: list[FabricPacket]) -> float:
    """Relays by a local table without checks, claims or records."""
    table: dict[Endpoint, int] = {}
    started_s = time.process_time()
    for packet in packets:
        table.setdefault(packet.caller, hash(packet.caller) % _UPSTREAMS)
    return len(packets) / (time.process_time() - started_s)


def _make_packet(index: int, datagram: bytes) -> FabricPacket:
    host = f"127.{index >> 16 & 255}.{index >> 8 & 255}.{index & 255}"
    return FabricPacket(_SERVICE.host, _SERVICE.port, host, 40_000, datagram)


def build_core(flows_max: int) -> InstanceCore:
    """Returns an instance that routes to the upstreams of one service."""
    member = InstanceIncarnation("i1", 1)
    core = InstanceCore(
        member, flows_max, RecordStore("i1", _START_MS), random.Random(1), _START_MS
    )
    core.apply(_build_configuration(), _START_MS)
    core.set_members([MemberView("i1", 1, "dc-1", version=1)], _START_MS)
    core.state.router.record_contact(1, _START_MS)
    for now_ms in range(_START_MS, _SETTLED_MS + 1, 1_000):
        core.tick(now_ms)
    return core


def _build_configuration() -> Configuration:
    names = [f"u-{index}" for index in range(_UPSTREAMS)]
    upstreams = [
        UpstreamSet(Upstream(name, "s", "dc-1", Endpoint("127.0.0.1", 9_100 + index)))
        for index, name in enumerate(names)
    ]
    moves = tuple(
        SlotMove(name, tuple(range(index, SLOT_COUNT, _UPSTREAMS)))
        for index, name in enumerate(names)
    )
    effects = (
        DataCentreSet(DataCentre("dc-1", "r-1")),
        ServiceSet(Service("s", _SERVICE)),
        *upstreams,
        SlotsMoved("s", moves, OwnerGroup(())),
    )
    return apply_entry(Configuration(), 1, ChangeEntry("c", "op", "", "", 1, 0, effects))
