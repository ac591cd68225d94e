"""Metrics of placed and refused flows by route."""

from collections.abc import Mapping

from catkinspread.runtime.metrics import LabelledMetric


def list_flow_metrics(
    placed_by_route: Mapping[tuple[str, str], int],
    refused_by_route: Mapping[tuple[str, str], int],
    data_centre: str,
) -> list[LabelledMetric]:
    """Returns the counters of placed and refused flows.

    Args:
        placed_by_route: Opened flows by name of the route and data centre of the upstream.
        refused_by_route: Refused flows by name of the route and reason.
        data_centre: Data centre of this instance.
    """
    placed = {
        (route, found, "local" if found == data_centre else "remote"): count
        for (route, found), count in placed_by_route.items()
    }
    return [
        LabelledMetric(
            "placed_flows",
            "Flows whose opening packet was sent to an upstream, by its data centre.",
            True,
            ("route", "data_centre", "place"),
            placed,
        ),
        LabelledMetric(
            "refused_flows",
            "Flows that were refused with a reset.",
            True,
            ("route", "reason"),
            refused_by_route,
        ),
    ]
