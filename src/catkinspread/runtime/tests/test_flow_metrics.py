"""Tests of the metrics of flows by route."""

from catkinspread.runtime.flow_metrics import list_flow_metrics


def test_flows_to_other_data_centres_are_told_apart() -> None:
    """Guards against flows that spill over without a metric that shows it."""
    placed, refused = list_flow_metrics(
        {("r1", "east"): 5, ("r1", "west"): 2}, {("r1", "no_room"): 3, ("", "no_route"): 1}, "east"
    )
    assert placed.values == {("r1", "east", "local"): 5, ("r1", "west", "remote"): 2}
    assert refused.values == {("r1", "no_room"): 3, ("", "no_route"): 1}
