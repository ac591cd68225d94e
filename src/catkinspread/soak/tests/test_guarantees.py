"""Each check of the soak finds the fault that it is for, and only where its bound holds."""

import pytest

from catkinspread.deployment import (
    RequestKind,
    Route,
    RoutingConfiguration,
    ServiceAddress,
    ServiceShare,
)
from catkinspread.soak.disturbances import STORE, DisturbanceTracker
from catkinspread.soak.guarantees import (
    CONFIGURATION_MS,
    DRAIN_MS,
    STABLE_MS,
    GuaranteeChecker,
    Opening,
)

ADDRESS = ServiceAddress(1, 443)
OTHER = ServiceAddress(2, 443)
START_MS = 100_000
INSTANCE = "instance-1"


def build_configuration(version: int, service: str) -> RoutingConfiguration:
    route = Route("r", ADDRESS, (ServiceShare(service, 1.0),), RequestKind.IDEMPOTENT, 1_000, 0)
    return RoutingConfiguration(version, (route,), (), 15_000)


def build_opening(at_ms: int, address: ServiceAddress = ADDRESS, incarnation: int = 1) -> Opening:
    return Opening(address, START_MS + at_ms, START_MS + at_ms + 1, INSTANCE, incarnation)


class Checker:
    """A guarantee checker whose route goes to `pages`, and to `plates` from version 2 on."""

    def __init__(self) -> None:
        self.disturbances = DisturbanceTracker(STABLE_MS)
        self.guarantees = GuaranteeChecker(self.disturbances, START_MS)
        self.guarantees.put_configuration(build_configuration(1, "pages"), START_MS - 10_000)
        self.guarantees.put_configuration(build_configuration(2, "plates"), START_MS)

    def list_violated(self) -> list[str]:
        return [violation.guarantee for violation in self.guarantees.violations]


def test_service_that_no_version_allows_breaks_the_route() -> None:
    """Guards against packets to another service that go unnoticed."""
    checker = Checker()
    checker.guarantees.check_service(build_opening(10, OTHER), "pages")
    assert checker.list_violated() == ["route"]


@pytest.mark.parametrize(
    ("at_ms", "broken"), [(CONFIGURATION_MS, []), (CONFIGURATION_MS + 1, ["configuration"])]
)
def test_replaced_version_holds_until_its_bound(at_ms: int, broken: list[str]) -> None:
    """Guards against old versions that stay in force, and against alarms within the bound."""
    checker = Checker()
    checker.guarantees.check_service(build_opening(at_ms), "pages")
    assert checker.list_violated() == broken


def test_reset_of_an_open_flow_needs_a_disturbed_upstream() -> None:
    """Guards against resets of flows whose upstream serves them, which go unnoticed."""
    checker = Checker()
    checker.disturbances.begin("i-1")
    checker.guarantees.check_reset("i-1", "", START_MS)
    checker.disturbances.end("i-1", START_MS)
    checker.guarantees.check_reset("i-1", "", START_MS + STABLE_MS - 1)
    assert checker.list_violated() == []
    checker.guarantees.check_reset("i-1", "", START_MS + STABLE_MS)
    assert checker.list_violated() == ["flow"]


def test_disturbed_instance_has_its_bound_later() -> None:
    """Guards against alarms about an instance that has just returned."""
    checker = Checker()
    checker.disturbances.begin(INSTANCE)
    checker.guarantees.check_service(build_opening(20_000), "pages")
    checker.disturbances.end(INSTANCE, START_MS + 20_000)
    late_ms = 20_000 + STABLE_MS + CONFIGURATION_MS
    checker.guarantees.check_service(build_opening(late_ms), "pages")
    assert checker.list_violated() == []
    checker.guarantees.check_service(build_opening(late_ms + 1), "pages")
    assert checker.list_violated() == ["configuration"]


def test_process_that_goes_back_to_an_older_version_regresses() -> None:
    """Guards against reversions within the bound of a change, but not across a restart."""
    checker = Checker()
    checker.guarantees.check_service(build_opening(100), "plates")
    checker.guarantees.check_service(build_opening(1_000, incarnation=2), "pages")
    assert checker.list_violated() == []
    checker.guarantees.check_service(build_opening(1_000), "pages")
    assert checker.list_violated() == ["regress"]


def test_late_flow_at_a_draining_upstream_counts_once_the_store_is_stable() -> None:
    """Guards against draining upstreams that still get flows."""
    checker = Checker()
    checker.disturbances.begin(STORE)
    checker.guarantees.check_bound("drain", START_MS, DRAIN_MS, build_opening(9_000))
    checker.disturbances.end(STORE, START_MS + 9_000)
    checker.guarantees.check_bound("drain", START_MS, DRAIN_MS, build_opening(10_000))
    assert checker.list_violated() == []
    checker.guarantees.check_bound("drain", START_MS, DRAIN_MS, build_opening(17_000))
    assert checker.list_violated() == ["drain"]


def test_cold_upstream_counts_flows_in_a_sliding_second() -> None:
    """Guards against cold upstreams that get more than they bear."""
    checker = Checker()
    for at_ms in (0, *range(50, 1_050, 100), 1_000):
        # Never more than 11 in a second, which is the bound for a rate of 4.
        checker.guarantees.check_cold("cold", 4.0, build_opening(at_ms))
    assert checker.list_violated() == []
    checker.guarantees.check_cold("cold", 4.0, build_opening(1_001))
    assert checker.list_violated() == ["cold"]


def test_second_run_breaks_at_most_once_unless_it_may_repeat() -> None:
    """Guards against orders that run twice."""
    checker = Checker()
    for request, may_repeat in (("page", True), ("page", True), ("order", False)):
        checker.guarantees.record_run(request, may_repeat, START_MS)
    assert checker.list_violated() == []
    checker.guarantees.record_run("order", False, START_MS)
    assert checker.list_violated() == ["at_most_once"]


def test_refused_request_that_ran_is_a_false_refusal() -> None:
    """Guards against "not run" that is not true."""
    checker = Checker()
    checker.guarantees.check_refusal("order", START_MS)
    assert checker.list_violated() == []
    checker.guarantees.record_run("order", False, START_MS)
    checker.guarantees.check_refusal("order", START_MS)
    assert checker.list_violated() == ["refusal"]


def test_misrouted_packet_counts_at_an_undisturbed_instance() -> None:
    """Guards against open flows that are sent to another upstream."""
    checker = Checker()
    checker.disturbances.begin(INSTANCE)
    checker.guarantees.check_misrouted("flow", "upstream", INSTANCE, START_MS)
    assert checker.list_violated() == []
    checker.disturbances.end(INSTANCE, START_MS)
    checker.guarantees.check_misrouted("flow", "upstream", INSTANCE, START_MS + STABLE_MS)
    assert "flow" in checker.list_violated()
