"""Tests of the parts of the bench `imbalance`, on small inputs."""

import pytest

from catkinspread.bench import find_bench
from catkinspread.bench.imbalance import run_imbalance
from catkinspread.bench.imbalance.cold_start import LOW_RATES, measure_buckets, measure_shares
from catkinspread.bench.imbalance.placement import (
    DURATION_S,
    EVENT_S,
    Flow,
    Modulo,
    Scenario,
    Slots,
    build_trace,
    run_placement,
)


def test_bench_is_registered():
    """Guards against a bench that the command line does not find."""
    assert find_bench("imbalance") is run_imbalance


def test_figures_of_a_trace_counted_by_hand():
    """Guards against figures that are right only by accident.

    Even slots belong to upstream 0 and odd ones to upstream 1. Three flows are on upstream 0,
    one is on upstream 1, so the largest load is 1.5 and the deviation 0.5 times the mean.
    """
    trace = [Flow(flow_hash, 0, DURATION_S + 1, 1.0) for flow_hash in (0, 2, 4, 1)]
    found = run_placement(Slots(2, flows_per_s=1.0), trace, 2, Scenario.STEADY)
    assert (found.max_over_mean, found.deviation) == (1.5, 0.5)


def test_modulo_breaks_flows_that_slots_keep():
    """Guards against a comparison that hides the flows broken by a drain."""
    trace = [Flow(flow_hash, 0, DURATION_S + 1, 1.0) for flow_hash in range(600)]
    modulo = run_placement(Modulo(), trace, 3, Scenario.DRAIN)
    slots = run_placement(Slots(3, flows_per_s=1.0), trace, 3, Scenario.DRAIN)
    assert modulo.broken_share == pytest.approx(2 / 3, abs=0.01)
    assert slots.broken_share == 0


def test_slots_return_no_faster_than_the_cap():
    """Guards G3 at the planner: all slots at once would exceed the cap of a cold upstream."""
    slots = Slots(3, flows_per_s=300.0)
    slots.update(0, [1, 2], [0.0] * 3)
    counts = []
    for second in range(EVENT_S, EVENT_S + 10):
        slots.update(second, [0, 1, 2], [0.0] * 3)
        counts.append(sum(slots.choose(Flow(n, 0, 1, 1.0), [0.0] * 3) == 0 for n in range(1_024)))
    assert counts[0] == int(5.0 * 1_024 / 300)
    assert counts[-1] == 1_024 // 3
    assert counts == sorted(counts)


def test_trace_is_the_same_for_a_seed():
    """Guards against figures that cannot be repeated."""
    first = build_trace("plate-vault", 3, Scenario.HEAVY, 5)
    assert first == build_trace("plate-vault", 3, Scenario.HEAVY, 5)
    assert first != build_trace("plate-vault", 3, Scenario.HEAVY, 6)


def test_excess_of_the_naive_versions_is_seen():
    """Guards against a bench that reports a cap as kept whatever happens."""
    assert measure_shares(LOW_RATES, 3).excess_max_ratio == 0
    assert measure_buckets(LOW_RATES, 3, divisor=9).excess_max_ratio > 0.3
    assert measure_buckets(LOW_RATES, 3, divisor=1).excess_max_ratio > 5
