"""The parts of admission control of one instance, connected."""

import random

import msgspec
import pytest

from catkinspread.admission import (
    AdmissionMode,
    AdmissionSettings,
    RoomSummary,
    RouteDemand,
    ServiceInFlight,
)
from catkinspread.admission.tests.site import ROUTE, SERVICE, START_MS, build_state
from catkinspread.clock import ManualClock
from catkinspread.eventlog import EventLog
from catkinspread.forwarding import AdmissionVerdict, LoadTracker
from catkinspread.peers import Hello, Member, MemberStatus, PeerDirectory
from catkinspread.runtime.admission_parts import UPDATE_INTERVAL_MS, AdmissionParts
from catkinspread.runtime.metrics import LabelledMetric

DEMAND = RouteDemand(ROUTE.name, SERVICE, ROUTE.priority, 50.0, 9_000.0, 0.0)
SUMMARY = RoomSummary("two", 1, "east", 1, (DEMAND,), (ServiceInFlight(SERVICE, "east", 9.0),))


class Lines:
    """Keeps log lines."""

    def __init__(self) -> None:
        self.events: list[dict[str, object]] = []

    def write(self, line: bytes) -> bool:
        self.events.append(msgspec.json.decode(line))
        return True

    def find(self, event: str) -> list[dict[str, object]]:
        return [found for found in self.events if found["event"] == event]


@pytest.fixture(name="lines")
def build_lines() -> Lines:
    return Lines()


def _build_parts(lines: Lines, mode: AdmissionMode) -> AdmissionParts:
    rng = random.Random(1)
    member = Member("one", "east", "10.1.0.1", 1)
    directory = PeerDirectory(member, rng)
    status = MemberStatus(Member("two", "east", "10.1.0.2", 1), None, True, False)
    directory.apply_message(Hello(status, 0), START_MS)
    parts = AdmissionParts(
        member,
        AdmissionSettings(mode=mode),
        build_state({"east": 2, "west": 1}),
        LoadTracker(),
        directory,
        EventLog("one", lines, ManualClock(START_MS)),
        rng,
    )
    parts.update(START_MS)
    return parts


@pytest.fixture(name="parts")
def build_parts(lines: Lines) -> AdmissionParts:
    return _build_parts(lines, AdmissionMode.ALWAYS)


def _offer(parts: AdmissionParts, at_ms: int, callers: int = 100) -> list[AdmissionVerdict]:
    """Lets callers open flows."""
    return [parts.controller.decide(ROUTE, 7 * caller, 0, at_ms) for caller in range(callers)]


def _overload(parts: AdmissionParts) -> int:
    """Lets another instance report overload until the service is limited; returns the time."""
    at_ms = START_MS
    for sequence in range(1, 5):
        at_ms += UPDATE_INTERVAL_MS
        _offer(parts, at_ms)
        entry = ServiceInFlight(SERVICE, "east", 30.0)
        parts.apply_summary(
            msgspec.structs.replace(SUMMARY, sequence=sequence, in_flight=(entry,)), at_ms
        )
        parts.update(at_ms)
    return at_ms


def _find(metrics: list[LabelledMetric], name: str) -> dict[tuple[str, ...], float]:
    return dict(next(metric.values for metric in metrics if metric.name == name))


def test_summary_of_another_instance_limits_the_service(
    parts: AdmissionParts, lines: Lines
) -> None:
    """Guards against parts that are built but not connected."""
    assert set(_offer(parts, START_MS)) == {AdmissionVerdict.ADMITTED}
    at_ms = _overload(parts)
    assert AdmissionVerdict.NO_ROOM in _offer(parts, at_ms)
    inputs = parts.controller.describe(ROUTE)
    assert (inputs.service, inputs.priority) == (SERVICE, ROUTE.priority)
    assert inputs.share < 1
    assert inputs.occupancy > 2
    line = lines.find("admission_changed")[0]
    assert (line["service"], line["is_limited"]) == (SERVICE, True)
    assert set(line["shares"]) == {ROUTE.name}


@pytest.mark.parametrize(
    ("change", "count"),
    [
        ({"in_flight": (ServiceInFlight(SERVICE, "east", 1e12),)}, "room_summary_impossible"),
        ({"instance_count": 0}, "room_summary_impossible"),
        ({"sender": "one"}, "room_summary_impossible"),
        ({"demands": (DEMAND, DEMAND)}, "room_summary_impossible"),
        (
            {"demands": (msgspec.structs.replace(DEMAND, offered_work_ms_per_s=-1.0),)},
            "room_summary_impossible",
        ),
        ({"sequence": 1}, "room_summary_stale"),
        ({"sequence": 1 << 40}, "room_summary_future"),
    ],
)
def test_impossible_summary_is_counted_and_changes_nothing(
    parts: AdmissionParts, change: dict[str, object], count: str
) -> None:
    """Guards against callers that are refused because one instance reports nonsense."""
    parts.apply_summary(SUMMARY, START_MS)
    before = parts.estimator.estimate(SERVICE, START_MS + 100)
    bad = msgspec.structs.replace(SUMMARY, **{"sequence": 2, **change})
    parts.apply_summary(bad, START_MS + 150)
    after = parts.estimator.estimate(SERVICE, START_MS + 200)
    assert msgspec.structs.replace(after, age_ms=before.age_ms) == before
    assert parts.read_counts()[count] == 1


def test_metrics_tell_room_demand_and_admission(parts: AdmissionParts) -> None:
    """Guards against figures under the wrong labels."""
    at_ms = _overload(parts)
    _offer(parts, at_ms)
    metrics = parts.list_metrics(at_ms)
    assert _find(metrics, "room_slots") == {(SERVICE, "east"): 4.0, (SERVICE, "west"): 2.0}
    assert _find(metrics, "room_in_flight")[SERVICE, "east"] == pytest.approx(30.0)
    assert _find(metrics, "admission_limited") == {(SERVICE,): 1.0}
    assert _find(metrics, "admitted_share")[ROUTE.name,] < 1
    offered = _find(metrics, "offered_flows")
    assert offered[ROUTE.name, "east", "no_room"] > 0
    assert offered[ROUTE.name, "east", "admitted"] > 0
    labels = (ROUTE.name, SERVICE, "east", str(ROUTE.priority))
    assert _find(metrics, "demand_slots")[*labels, "offered"] > 0
    assert _find(metrics, "demand_slots")[*labels, "committed"] == 0
    assert _find(metrics, "room_is_estimate") == {(SERVICE,): 0.0}


def test_new_configuration_is_taken_over(parts: AdmissionParts) -> None:
    """Guards against admission by priorities that the operator has changed."""
    _overload(parts)
    configuration = parts._state.configuration
    other = msgspec.structs.replace(ROUTE, name="other")
    parts._state.put_configuration(
        msgspec.structs.replace(configuration, version=2, routes=(other,))
    )
    parts.update(START_MS + 2_000)
    metrics = parts.list_metrics(START_MS + 2_000)
    assert set(_find(metrics, "admitted_share")) == {("other",)}


@pytest.mark.parametrize("mode", AdmissionMode)
def test_forwarding_asks_the_controller_unless_it_is_off(lines: Lines, mode: AdmissionMode) -> None:
    """Guards against the cost of admission control on each packet where it is switched off."""
    parts = _build_parts(lines, mode)
    assert (parts.policy is parts.controller) is (mode is not AdmissionMode.OFF)
