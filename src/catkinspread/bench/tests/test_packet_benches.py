"""The benches of packets build what they measure."""

from catkinspread.bench.forwarding_cost import build_forwarder, build_openings
from catkinspread.bench.relay_cost import build_core


def test_forwarding_bench_opens_flows() -> None:
    """Guards against a bench that measures packets which are dropped or refused."""
    forwarder = build_forwarder(service_size=3, other_count=20, seed=1)
    for packet in build_openings(6):
        forwarder.handle(packet, 1_000_000)
    assert forwarder.counts["opened"] == 6
    assert forwarder.flow_count == 6


def test_relay_bench_builds_its_instance() -> None:
    """Guards against a bench that fails because the instance was changed."""
    assert build_core(flows_max=10).state.router is not None
