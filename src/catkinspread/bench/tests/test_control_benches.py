"""Tests of the harness of the benches of control traffic."""

import pytest

from catkinspread.bench.configuration_fleet import ConfigurationFleet
from catkinspread.bench.events import EventQueue
from catkinspread.bench.least_squares import fit_slope
from catkinspread.bench.naive_heartbeats import NaiveMembership, count_naive_bytes_per_s
from catkinspread.bench.naive_polling import PollingFleet
from catkinspread.configuration.tests.builders import make_change


def test_slope_of_a_line_is_found():
    """Guards against a wrong figure for the growth of a cost."""
    assert fit_slope([1, 2, 5], [7, 9, 15]) == pytest.approx(2)


def test_polling_fleet_reverts_when_answers_overtake_each_other():
    """Guards against a bench whose naive version cannot show the fault."""
    queue = EventQueue()
    fleet = PollingFleet(queue, 1, ["a", "b", "c"])
    fleet.latency_ms = (200, 25_000)
    for version in range(1, 60):
        fleet.stored = version
        queue.run_until(version * 3_000)
    assert fleet.reversions > 0


def test_fleet_counts_a_reversion_across_a_restart():
    """Guards against a bench that reports no reversions because it sees none."""
    fleet = ConfigurationFleet(1)
    fleet.start_all()
    fleet.run(1_000)
    for version in range(2):
        fleet.platform.write(make_change(version), version)
        fleet.wake_watchers()
        fleet.run(2_000)
    name = "dc-1-000"
    fleet.kill(name)
    fleet.start(name)
    fleet.replicas[name].start_empty(fleet.now_ms)
    fleet.replicas[name].handle_log([], fleet.now_ms)
    assert fleet.replicas[name].is_ready
    fleet.after_tick(fleet.nodes[name])
    assert fleet.reversions == 1


def test_naive_heartbeats_grow_with_the_fleet():
    """Guards against a comparison with a naive version that does not send to all."""
    node, peer = NaiveMembership("a", ["b", "c"]), NaiveMembership("b", ["a", "c"])
    datagrams = node.make_heartbeats(5)
    assert len(datagrams) == 2
    peer.handle(datagrams[0], 5)
    assert (peer.list_live(2_005), peer.list_live(2_006)) == (["a"], [])
    assert count_naive_bytes_per_s(640) == pytest.approx(count_naive_bytes_per_s(65) * 639 / 64)
