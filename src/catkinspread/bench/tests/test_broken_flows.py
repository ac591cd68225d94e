"""Tests of the cluster model behind the benches, with few flows."""

from catkinspread.bench.broken_flows import Change, Fault, Scenario, list_scenarios, run_scenario
from catkinspread.bench.cluster import ClusterOptions
from catkinspread.bench.deployments import KALAHARI, MIDLAND
from catkinspread.routing import RoutingLimits

_DRAIN_AND_OUT = Scenario((Change.DRAIN, Change.TAKE_OUT), 2_500, Fault.OWNER_DIES, 3_000)


def test_every_change_alone_and_in_pairs_is_covered() -> None:
    """Guards against a bench that keeps its bounds because it skips a change."""
    scenarios = list_scenarios()
    assert {scenario.changes for scenario in scenarios if len(scenario.changes) == 1} == {
        (change,) for change in Change
    }
    assert len({scenario.changes for scenario in scenarios}) == len(Change) * (1 + len(Change))
    assert {scenario.fault for scenario in scenarios} == set(Fault)


def test_runs_are_repeatable_and_break_only_the_naive_versions() -> None:
    """Guards G1, G2, G4 and G8 in the model, and its determinism."""
    first = run_scenario(MIDLAND, _DRAIN_AND_OUT, seed=7, flows=300)
    assert first == run_scenario(MIDLAND, _DRAIN_AND_OUT, seed=7, flows=300)
    assert (first.broken, first.other_service, first.late_draining, first.late_out) == (0, 0, 0, 0)
    assert first.flows == 300
    assert first.given_up > 0
    assert first.broken_modulo > 0


def test_oracle_notices_broken_flows() -> None:
    """Guards against an oracle that counts nothing: a short HOLD and SPLIT break some."""
    limits = RoutingLimits(hold_min_ms=0, hold_max_ms=600, flow_idle_timeout_ms=1_000)
    options = ClusterOptions(limits=limits)
    scenario = Scenario((Change.DRAIN,), 0, Fault.NONE, 0)
    # About 1 in 100 flows is on the moved slots when the list is made.
    assert run_scenario(KALAHARI, scenario, seed=7, options=options, flows=1_500).broken > 0
