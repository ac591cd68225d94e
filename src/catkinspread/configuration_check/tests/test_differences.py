"""Tests of the comparison with the configuration in force."""

import msgspec
import pytest

from catkinspread.configuration_check import ConfigurationField, ConfigurationPart, ObjectKind
from catkinspread.configuration_check.tests.builders import (
    PAGES,
    PLATES,
    build_draft,
    build_entry,
    observe,
)
from catkinspread.deployment import DeploymentState, ServiceShare

IN_FORCE = build_draft(
    build_entry("r1"), build_entry("r2", port=9443), services=(PAGES, PLATES), version=6
)
CODES = (
    "route-added",
    "route-removed",
    "route-changed",
    "service-added",
    "service-removed",
    "service-changed",
    "limits-changed",
)


@pytest.mark.parametrize(("version", "is_ignored"), [(5, True), (6, True), (7, False)])
def test_version_is_an_error_exactly_if_instances_ignore_it(version, is_ignored):
    """Guards against an object that is sent without effect, or reported although it has one."""
    draft = build_draft(version=version)
    state = DeploymentState(flow_lifetime_max_ms=1)
    state.put_configuration(IN_FORCE.configuration)
    assert state.put_configuration(draft.configuration).is_changed is not is_ignored
    assert bool(observe("version-not-higher", draft, IN_FORCE)) is is_ignored


def test_higher_version_alone_is_no_difference():
    """Guards against differences that are reported between equal routes, services and limits."""
    draft = build_draft(
        build_entry("r1"), build_entry("r2", port=9443), services=(PAGES, PLATES), version=7
    )
    assert [code for code in CODES if observe(code, draft, IN_FORCE)] == []


def test_moved_entries_are_no_difference():
    """Guards against differences that are reported because entries are in another order."""
    draft = build_draft(
        build_entry("r2", port=9443), build_entry("r1"), services=(PLATES, PAGES), version=7
    )
    assert [code for code in CODES if observe(code, draft, IN_FORCE)] == []


def test_added_and_removed_entries_are_named():
    """Guards against a route or a service that disappears unnoticed."""
    tables = msgspec.structs.replace(PLATES, name="tables")
    draft = build_draft(
        build_entry("r3", port=9444), build_entry("r1"), services=(PAGES, tables), version=7
    )
    parts = {
        code: [str(item.part) for item in observe(code, draft, IN_FORCE)]
        for code in CODES
        if observe(code, draft, IN_FORCE)
    }
    assert parts == {
        "route-added": ["route 'r3' (entry 0)"],
        "route-removed": ["route 'r2'"],
        "service-added": ["service 'tables' (entry 1)"],
        "service-removed": ["service 'plates'"],
    }


@pytest.mark.parametrize(
    ("change", "field", "message"),
    [
        ({"ip": "198.18.0.9"}, ConfigurationField.IP, "from 198.18.0.1 to 198.18.0.9"),
        ({"port": 80}, ConfigurationField.PORT, "from 8443 to 80"),
        ({"request_kind": "unsafe"}, ConfigurationField.REQUEST_KIND, "from 'safe' to 'unsafe'"),
        ({"service": "plates"}, ConfigurationField.SERVICE, "from 'pages' to 'plates'"),
        (
            {"backends": (ServiceShare("pages", 0.0), ServiceShare("plates", 1.5))},
            ConfigurationField.BACKENDS,
            "from none to 'pages' 0, 'plates' 1.5",
        ),
        ({"timeout_ms": 3_000}, ConfigurationField.TIMEOUT, "from 2000 ms to 3000 ms"),
        ({"objective_ms": 0}, ConfigurationField.OBJECTIVE, "from 500 ms to 0 ms"),
        ({"priority": 0}, ConfigurationField.PRIORITY, "from 1 to 0"),
    ],
)
def test_each_field_of_a_route_is_compared(change, field, message):
    """Guards against a field whose change is not listed."""
    draft = build_draft(build_entry(**change), build_entry("r2", port=9443), version=7)
    (found,) = observe("route-changed", draft, IN_FORCE)
    assert found.part == ConfigurationPart(ObjectKind.ROUTE, "r1", 0)
    assert (found.field, found.message) == (field, f"changes {message}")


def test_backends_that_differ_in_the_last_digit_are_different():
    """Guards against weights that are rounded before they are compared."""
    before = build_draft(build_entry(backends=(ServiceShare("pages", 0.1),)), version=6)
    after = build_draft(build_entry(backends=(ServiceShare("pages", 0.1 + 1e-16),)), version=7)
    assert len(observe("route-changed", after, before)) == 1


def test_each_field_of_a_service_and_the_limits_are_compared():
    """Guards against a limit whose change is not listed."""
    pages = msgspec.structs.replace(PAGES, cold_rate_per_s=5.0, connections_max=1)
    draft = build_draft(services=(pages, PLATES), version=7, idle_timeout_ms=20_000)
    found = observe("service-changed", draft, IN_FORCE) + observe("limits-changed", draft, IN_FORCE)
    assert [(item.field, item.message) for item in found] == [
        (ConfigurationField.COLD_RATE, "changes from 4.5 per s to 5 per s"),
        (ConfigurationField.CONNECTIONS_MAX, "changes from 2000 to 1"),
        (ConfigurationField.IDLE_TIMEOUT, "changes from 15000 ms to 20000 ms"),
    ]


def test_routes_with_one_name_are_paired_in_their_order():
    """Guards against a second route of a name that is compared with the first, or not at all."""
    before = build_draft(build_entry("r1"), build_entry("r1", port=2), version=6)
    after = build_draft(
        build_entry("r1"), build_entry("r1", port=3), build_entry("r1", port=4), version=7
    )
    (changed,) = observe("route-changed", after, before)
    (added,) = observe("route-added", after, before)
    assert (changed.part.position, changed.message) == (1, "changes from 2 to 3")
    assert added.part.position == 2
