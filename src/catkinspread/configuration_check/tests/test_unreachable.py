"""Tests of the checks for entries that have no effect."""

import msgspec

from catkinspread.configuration_check import ConfigurationField
from catkinspread.configuration_check.tests.builders import (
    PAGES,
    PLATES,
    build_draft,
    build_entry,
    observe,
)
from catkinspread.deployment import DeploymentState, RoutingConfiguration, ServiceShare


def load(configuration: RoutingConfiguration) -> DeploymentState:
    """Returns the state of an instance with a configuration."""
    state = DeploymentState(flow_lifetime_max_ms=1)
    state.put_configuration(configuration)
    return state


def test_shadowed_routes_are_those_that_instances_do_not_use():
    """Guards against a finding that names the wrong route as the one that gets the flows."""
    entries = [build_entry(name) for name in ("r1", "r2", "r3")]
    draft = build_draft(*entries, build_entry("r4", port=9443))
    winner = load(draft.configuration).find_route(entries[0].route.address)
    found = observe("shadowed-route", draft)
    assert winner.name == "r3"
    assert [item.part.name for item in found] == ["r1", "r2"]
    assert all("route 'r3' (entry 2) has the same address" in item.message for item in found)


def test_shadowed_services_are_those_that_instances_do_not_use():
    """Guards against a finding that calls the limits unused that instances use."""
    second = msgspec.structs.replace(PAGES, cold_rate_per_s=9.0)
    draft = build_draft(services=(PAGES, second))
    (found,) = observe("shadowed-service", draft)
    assert load(draft.configuration).find_service_limits("pages") == second
    assert found.part.position == 0


def test_service_without_a_route_in_effect_is_unused():
    """Guards against a service that counts as used because of a route that gets no flows."""
    shadowed = build_entry("r1", service="plates")
    draft = build_draft(shadowed, build_entry("r2"), services=(PAGES, PLATES))
    assert [item.part.name for item in observe("unused-service", draft)] == ["plates"]


def test_service_of_a_backend_is_used():
    """Guards against services that count as unused because only backends name them."""
    entry = build_entry(backends=(ServiceShare("pages", 90.0), ServiceShare("plates", 10.0)))
    assert observe("unused-service", build_draft(entry, services=(PAGES, PLATES))) == []


def test_each_backend_of_weight_zero_is_reported():
    """Guards against a backend without flows that is left out because the decoder drops it."""
    shares = (ServiceShare("pages", 0.0), ServiceShare("pages", 1.0), ServiceShare("plates", 0.0))
    draft = build_draft(build_entry(backends=shares), services=(PAGES, PLATES))
    found = observe("zero-weight", draft)
    assert [item.field for item in found] == [ConfigurationField.WEIGHT] * 2
    assert "'pages' (entry 0)" in found[0].message
    assert "'plates' (entry 2)" in found[1].message
    assert [item.part.name for item in observe("unused-service", draft)] == ["plates"]


def test_service_beside_backends_is_reported_only_while_a_backend_gets_flows():
    """Guards against a note that calls a service ignored although it gets all flows."""
    in_use = build_entry(backends=(ServiceShare("plates", 1.0),))
    without_flows = build_entry("r2", port=9443, backends=(ServiceShare("plates", 0.0),))
    draft = build_draft(in_use, without_flows, services=(PAGES, PLATES))
    assert [item.part.name for item in observe("ignored-service", draft)] == ["r1"]


def test_unknown_service_is_reported_once_for_each_route_with_its_field():
    """Guards against a misspelt service that is reported for a field that does not name it."""
    twice = (ServiceShare("pagse", 1.0), ServiceShare("pagse", 2.0), ServiceShare("pages", 3.0))
    draft = build_draft(
        build_entry("r1", service="pagse"), build_entry("r2", port=9443, backends=twice)
    )
    assert load(draft.configuration).find_service_limits("pagse").cold_rate_per_s == 0
    found = observe("unknown-service", draft)
    assert [(item.part.name, item.field) for item in found] == [
        ("r1", ConfigurationField.SERVICE),
        ("r2", ConfigurationField.BACKENDS),
    ]
