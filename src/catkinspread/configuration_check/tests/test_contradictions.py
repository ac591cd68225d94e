"""Tests of the checks for limits that contradict each other."""

import pytest

from catkinspread.configuration_check import Severity, list_checks
from catkinspread.configuration_check.findings import FindingKind
from catkinspread.configuration_check.tests.builders import (
    IDLE_TIMEOUT_MS,
    PAGES,
    PLATES,
    build_draft,
    build_entry,
    observe,
)
from catkinspread.deployment import ServiceLimits, ServiceShare


@pytest.mark.parametrize(("objective_ms", "count"), [(0, 0), (2_000, 0), (2_001, 1)])
def test_objective_above_the_timeout(objective_ms, count):
    """Guards against an objective that is reported although an answer can meet it, or is not."""
    draft = build_draft(build_entry(timeout_ms=2_000, objective_ms=objective_ms))
    assert len(observe("objective-above-timeout", draft)) == count


def test_idle_timeout_is_reported_once_with_the_longest_timeout():
    """Guards against one finding for each of thousands of routes about the same limit."""
    draft = build_draft(
        build_entry("r1", timeout_ms=IDLE_TIMEOUT_MS),
        build_entry("r2", port=2, timeout_ms=IDLE_TIMEOUT_MS + 1),
        build_entry("r3", port=3, timeout_ms=IDLE_TIMEOUT_MS + 2),
        build_entry("r4", port=4, timeout_ms=IDLE_TIMEOUT_MS + 1),
    )
    (found,) = observe("idle-timeout-below-timeout", draft)
    assert "3 of 4 routes, the longest 15002 ms of route 'r3' (entry 2)" in found.message


def test_idle_timeout_equal_to_a_timeout_is_long_enough():
    """Guards against a finding about an idle time-out that no request can exceed."""
    draft = build_draft(build_entry(timeout_ms=IDLE_TIMEOUT_MS))
    assert observe("idle-timeout-below-timeout", draft) == []


@pytest.mark.parametrize(
    ("cold_rate_per_s", "connections_max", "codes"),
    [
        (0.5, 1, set()),
        (0.0, 1, {"no-cold-start-flows"}),
        (0.5, 0, {"no-connections"}),
        (0.0, 0, {"no-connections"}),
    ],
)
def test_limits_of_a_service(cold_rate_per_s, connections_max, codes):
    """Guards against limits that admit no flows, and against two findings about one cause."""
    draft = build_draft(services=(ServiceLimits("pages", cold_rate_per_s, connections_max),))
    checked = ("no-cold-start-flows", "no-connections")
    assert {code for code in checked if observe(code, draft)} == codes


def test_differing_priorities_of_a_service_are_information():
    """Guards against admission control that is turned on unnoticed by a shared service."""
    backends = (ServiceShare("plates", 1.0), ServiceShare("pages", 1.0))
    draft = build_draft(
        build_entry("r1", priority=0),
        build_entry("r2", port=2, priority=2, backends=backends),
        build_entry("r3", port=3, priority=2, service="plates"),
        services=(PAGES, PLATES),
    )
    (found,) = observe("admission-control", draft)
    assert (found.part.name, found.part.position) == ("pages", 0)
    assert "priorities 0, 2" in found.message
    (check,) = [
        item for item in list_checks(FindingKind.CONTRADICTION) if item.code == "admission-control"
    ]
    assert check.severity is Severity.INFORMATION
