"""Each check of the soak finds the fault that it is for, and only where its bound holds."""

import pytest

from catkinspread.deployment import (
    RequestKind,
    Route,
    RoutingConfiguration,
    ServiceAddress,
    ServiceShare,
)
from catkinspread.soak.calm import STORE, CalmBook
from catkinspread.soak.promises import (
    CONFIGURATION_MS,
    DRAIN_MS,
    STABLE_MS,
    Opening,
    PromiseBook,
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


class Book:
    """A promise book whose route goes to `pages`, and to `plates` from version 2 on."""

    def __init__(self) -> None:
        self.calm = CalmBook(STABLE_MS)
        self.promises = PromiseBook(self.calm, START_MS)
        self.promises.put_configuration(build_configuration(1, "pages"), START_MS - 10_000)
        self.promises.put_configuration(build_configuration(2, "plates"), START_MS)

    def list_broken(self) -> list[str]:
        return [violation.promise for violation in self.promises.violations]


def test_service_that_no_version_allows_breaks_the_route() -> None:
    """Guards against packets to another service that go unnoticed."""
    book = Book()
    book.promises.judge_service(build_opening(10, OTHER), "pages")
    assert book.list_broken() == ["route"]


@pytest.mark.parametrize(
    ("at_ms", "broken"), [(CONFIGURATION_MS, []), (CONFIGURATION_MS + 1, ["configuration"])]
)
def test_replaced_version_holds_until_its_bound(at_ms: int, broken: list[str]) -> None:
    """Guards against old versions that stay in force, and against alarms within the bound."""
    book = Book()
    book.promises.judge_service(build_opening(at_ms), "pages")
    assert book.list_broken() == broken


def test_reset_of_an_open_flow_needs_a_disturbed_upstream() -> None:
    """Guards against resets of flows whose upstream serves them, which go unnoticed."""
    book = Book()
    book.calm.begin("i-1")
    book.promises.judge_reset("i-1", "", START_MS)
    book.calm.end("i-1", START_MS)
    book.promises.judge_reset("i-1", "", START_MS + STABLE_MS - 1)
    assert book.list_broken() == []
    book.promises.judge_reset("i-1", "", START_MS + STABLE_MS)
    assert book.list_broken() == ["flow"]


def test_disturbed_instance_has_its_bound_later() -> None:
    """Guards against alarms about an instance that has just returned."""
    book = Book()
    book.calm.begin(INSTANCE)
    book.promises.judge_service(build_opening(20_000), "pages")
    book.calm.end(INSTANCE, START_MS + 20_000)
    late_ms = 20_000 + STABLE_MS + CONFIGURATION_MS
    book.promises.judge_service(build_opening(late_ms), "pages")
    assert book.list_broken() == []
    book.promises.judge_service(build_opening(late_ms + 1), "pages")
    assert book.list_broken() == ["configuration"]


def test_process_that_goes_back_to_an_older_version_regresses() -> None:
    """Guards against reversions within the bound of a change, but not across a restart."""
    book = Book()
    book.promises.judge_service(build_opening(100), "plates")
    book.promises.judge_service(build_opening(1_000, incarnation=2), "pages")
    assert book.list_broken() == []
    book.promises.judge_service(build_opening(1_000), "pages")
    assert book.list_broken() == ["regress"]


def test_late_flow_at_a_draining_upstream_counts_once_the_store_is_calm() -> None:
    """Guards against draining upstreams that still get flows."""
    book = Book()
    book.calm.begin(STORE)
    book.promises.judge_bound("drain", START_MS, DRAIN_MS, build_opening(9_000))
    book.calm.end(STORE, START_MS + 9_000)
    book.promises.judge_bound("drain", START_MS, DRAIN_MS, build_opening(10_000))
    assert book.list_broken() == []
    book.promises.judge_bound("drain", START_MS, DRAIN_MS, build_opening(17_000))
    assert book.list_broken() == ["drain"]


def test_cold_upstream_counts_flows_in_a_sliding_second() -> None:
    """Guards against cold upstreams that get more than they bear."""
    book = Book()
    for at_ms in (0, *range(50, 1_050, 100), 1_000):
        # Never more than 11 in a second, which is the bound for a rate of 4.
        book.promises.judge_cold("cold", 4.0, build_opening(at_ms))
    assert book.list_broken() == []
    book.promises.judge_cold("cold", 4.0, build_opening(1_001))
    assert book.list_broken() == ["cold"]


def test_second_run_breaks_at_most_once_unless_it_may_repeat() -> None:
    """Guards against orders that run twice."""
    book = Book()
    for request, may_repeat in (("page", True), ("page", True), ("order", False)):
        book.promises.note_run(request, may_repeat, START_MS)
    assert book.list_broken() == []
    book.promises.note_run("order", False, START_MS)
    assert book.list_broken() == ["at_most_once"]


def test_refused_request_that_ran_is_a_false_refusal() -> None:
    """Guards against "not run" that is not true."""
    book = Book()
    book.promises.judge_refusal("order", START_MS)
    assert book.list_broken() == []
    book.promises.note_run("order", False, START_MS)
    book.promises.judge_refusal("order", START_MS)
    assert book.list_broken() == ["refusal"]


def test_stray_packet_counts_through_a_calm_instance() -> None:
    """Guards against open flows that are sent to another upstream."""
    book = Book()
    book.calm.begin(INSTANCE)
    book.promises.judge_stray("flow", "upstream", INSTANCE, START_MS)
    assert book.list_broken() == []
    book.calm.end(INSTANCE, START_MS)
    book.promises.judge_stray("flow", "upstream", INSTANCE, START_MS + STABLE_MS)
    assert "flow" in book.list_broken()
