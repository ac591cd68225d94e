"""Refusal of new flows for lack of room, and what the admission policy is told."""

import json

import pytest

from catkinspread.deployment import Route
from catkinspread.forwarding import AdmissionInputs, AdmissionVerdict
from catkinspread.forwarding.tests.builders import (
    SEQUENCE,
    SERVICE,
    ForwarderHarness,
    build_opening_packet,
    build_packet,
    build_upstream,
)

REFUSALS = (AdmissionVerdict.NO_ROOM, AdmissionVerdict.TOO_LATE)
CALLER_IP = 0x64400007


class ScriptedAdmission:
    """Returns a settable verdict and records what it is told."""

    def __init__(self, verdict: AdmissionVerdict = AdmissionVerdict.ADMITTED) -> None:
        self.verdict = verdict
        self.decisions: list[tuple[str, int, int, int]] = []
        self.requests: list[tuple[str, bool, int]] = []
        self.responses: list[tuple[str, int, float, int]] = []

    def decide(self, route: Route, caller_ip: int, copy: int, now_ms: int) -> AdmissionVerdict:
        self.decisions.append((route.name, caller_ip, copy, now_ms))
        return self.verdict

    def record_request(self, route: Route, is_first: bool, now_ms: int) -> None:
        self.requests.append((route.name, is_first, now_ms))

    def record_response(
        self, route: Route, processing_ms: int, occupied: float, work_slots: int
    ) -> None:
        self.responses.append((route.name, processing_ms, occupied, work_slots))

    def describe(self, route: Route) -> AdmissionInputs:
        return AdmissionInputs(SERVICE, route.priority, 0.25, 2.5)


@pytest.fixture
def admission() -> ScriptedAdmission:
    return ScriptedAdmission()


@pytest.fixture
def harness(admission: ScriptedAdmission) -> ForwarderHarness:
    return ForwarderHarness(build_upstream("a"), build_upstream("b"), admission=admission)


def open_flow(harness: ForwarderHarness, caller_port: int = 4_000) -> str:
    """Opens a flow and returns the name of its upstream."""
    harness.send(build_opening_packet(caller_port))
    name = harness.list_targets()[-1]
    harness.send(build_packet(caller_port, token=harness.encode_token(name)))
    return name


def send_request(
    harness: ForwarderHarness, sequence: int, acknowledged: int = 1, caller_port: int = 4_000
) -> None:
    harness.send(
        build_packet(
            caller_port, sequence=sequence, acknowledged=acknowledged, payload_size_bytes=10
        )
    )


@pytest.mark.parametrize("verdict", REFUSALS)
def test_new_flow_without_room_is_reset_at_once(
    harness: ForwarderHarness, admission: ScriptedAdmission, verdict: AdmissionVerdict
) -> None:
    """Guards against callers that wait, or reach an upstream, although there is no room."""
    admission.verdict = verdict
    packet = build_opening_packet()
    harness.send(packet)
    assert harness.output.resets == [(packet.key, 0)]
    assert harness.list_targets() == []
    assert harness.forwarder.counts[f"refused_{verdict.value}"] == 1
    assert harness.forwarder.refused_by_route["r1", verdict.value] == 1
    assert harness.forwarder.flow_count == 0
    assert admission.decisions == [("r1", CALLER_IP, 0, harness.now_ms)]


def test_refused_flow_takes_nothing_from_the_placement(
    harness: ForwarderHarness, admission: ScriptedAdmission
) -> None:
    """Guards against refused flows that use up the rate of a cold upstream or its turn."""
    admission.verdict = AdmissionVerdict.NO_ROOM
    harness.send(build_opening_packet())
    assert {harness.loads.get(name).last_placed_at_ms for name in "ab"} == {0}
    assert harness.loads.list_in_flight() == {}


def test_line_of_a_refusal_has_its_inputs(
    harness: ForwarderHarness, admission: ScriptedAdmission
) -> None:
    """Guards against a refusal that operators cannot explain."""
    admission.verdict = AdmissionVerdict.TOO_LATE
    harness.send(build_opening_packet())
    line = json.loads(harness.lines.lines[-1])
    assert (line["event"], line["reason"]) == ("flow_refused", "too_late")
    assert (line["service"], line["priority"]) == (SERVICE, 1)
    assert (line["share"], line["occupancy"]) == (0.25, 2.5)


@pytest.mark.parametrize("verdict", REFUSALS)
def test_open_flow_goes_on_without_room(
    harness: ForwarderHarness, admission: ScriptedAdmission, verdict: AdmissionVerdict
) -> None:
    """Guards against requests on open flows that are refused, although some may have run."""
    name = open_flow(harness)
    admission.verdict = verdict
    send_request(harness, SEQUENCE + 1)
    harness.send(build_opening_packet(copy=2))
    assert harness.list_targets() == [name] * 3
    assert harness.output.resets == []


def test_retransmission_of_an_admitted_opening_is_not_refused(
    harness: ForwarderHarness, admission: ScriptedAdmission
) -> None:
    """Guards against a reset that says that nothing ran, for a flow that an upstream may hold."""
    harness.send(build_opening_packet())
    admission.verdict = AdmissionVerdict.NO_ROOM
    harness.clock.advance(200)
    harness.send(build_opening_packet(copy=1))
    assert harness.output.resets == []
    assert len(harness.list_targets()) == 2
    assert len(admission.decisions) == 1


def test_timed_out_opening_is_sent_to_another_upstream_without_room(
    harness: ForwarderHarness, admission: ScriptedAdmission
) -> None:
    """Guards against an admitted flow that is lost because its first upstream is silent."""
    harness.send(build_opening_packet())
    admission.verdict = AdmissionVerdict.NO_ROOM
    harness.wait(150)
    assert sorted(harness.list_targets()) == ["a", "b"]


@pytest.mark.parametrize("verdict", REFUSALS)
def test_retransmission_of_an_opening_at_another_instance_is_not_refused(
    harness: ForwarderHarness, admission: ScriptedAdmission, verdict: AdmissionVerdict
) -> None:
    """Guards against a false reset: the other instance may have sent the first copy on."""
    admission.verdict = verdict
    harness.send(build_opening_packet(copy=1))
    assert harness.output.resets == []
    assert harness.list_targets() == []
    assert harness.forwarder.counts[f"dropped_{verdict.value}"] == 1
    assert harness.forwarder.refused_by_route == {}


def test_retransmission_of_an_opening_at_another_instance_is_admitted_with_room(
    harness: ForwarderHarness, admission: ScriptedAdmission
) -> None:
    """Guards against callers that are not served because their first copy was lost."""
    harness.send(build_opening_packet(copy=1))
    assert len(harness.list_targets()) == 1
    assert admission.decisions == [("r1", CALLER_IP, 1, harness.now_ms)]


def test_copy_of_a_flow_that_opened_elsewhere_is_not_refused(
    harness: ForwarderHarness, admission: ScriptedAdmission
) -> None:
    """Guards against a reset for a flow of the table whose handshake another instance ended."""
    packet = build_opening_packet()
    harness.send(packet)
    token = harness.encode_token(harness.list_targets()[0])
    harness.adoption.record_opened_elsewhere(
        packet.key, SEQUENCE + 1, 1, token, harness.now_ms, is_certain=False
    )
    admission.verdict = AdmissionVerdict.NO_ROOM
    harness.send(build_opening_packet())
    assert harness.output.resets == []


def test_new_flow_of_a_reused_port_is_refused(
    harness: ForwarderHarness, admission: ScriptedAdmission
) -> None:
    """Guards against a caller that gets past admission control by using one port again."""
    name = open_flow(harness)
    harness.send(build_packet(token=harness.encode_token(name), is_close=True))
    admission.verdict = AdmissionVerdict.NO_ROOM
    packet = build_packet(is_opening=True, sequence=SEQUENCE + 5_000_000, acknowledged=0)
    harness.send(packet)
    assert harness.output.resets == [(packet.key, 0)]


def test_nothing_is_refused_right_after_a_pause(
    harness: ForwarderHarness, admission: ScriptedAdmission
) -> None:
    """Guards against a reset for an opening that waited in the socket while its flow was opened."""
    admission.verdict = AdmissionVerdict.NO_ROOM
    harness.forwarder.handle_pause(harness.now_ms)
    harness.send(build_opening_packet())
    assert harness.output.resets == []
    assert harness.forwarder.counts["dropped_outdated_state"] == 1


def test_admission_is_not_asked_without_state_or_route(admission: ScriptedAdmission) -> None:
    """Guards against a refusal for lack of room by an instance that knows no upstreams yet."""
    admission.verdict = AdmissionVerdict.NO_ROOM
    harness = ForwarderHarness(admission=admission, is_state_complete=False)
    harness.send(build_opening_packet())
    assert admission.decisions == []
    assert harness.forwarder.counts["dropped_no_state"] == 1


def test_first_and_further_requests_are_told_apart(
    harness: ForwarderHarness, admission: ScriptedAdmission
) -> None:
    """Guards against demand that is counted as refusable although its flow is open."""
    open_flow(harness)
    send_request(harness, SEQUENCE + 1)
    send_request(harness, SEQUENCE + 1)
    send_request(harness, SEQUENCE + 11)
    now_ms = harness.now_ms
    assert admission.requests == [("r1", True, now_ms), ("r1", False, now_ms)]


def test_request_of_an_adopted_flow_is_a_further_one(
    harness: ForwarderHarness, admission: ScriptedAdmission
) -> None:
    """Guards against counting one request as demand of two instances that could refuse it."""
    token = harness.encode_token("a")
    harness.send(build_packet(token=token, payload_size_bytes=10))
    assert admission.requests == [("r1", False, harness.now_ms)]
    assert admission.decisions == []


def test_answer_is_reported_with_the_occupancy_at_its_request(
    harness: ForwarderHarness, admission: ScriptedAdmission
) -> None:
    """Guards against work that is learned from requests that waited in the upstream's queue."""
    name = open_flow(harness)
    harness.loads.apply_report("two", 1, {name: 3}, harness.now_ms)
    send_request(harness, SEQUENCE + 1)
    harness.loads.apply_report("two", 2, {name: 0}, harness.now_ms)
    harness.clock.advance(40)
    harness.send(build_packet(sequence=SEQUENCE + 11, acknowledged=500))
    harness.send(build_packet(sequence=SEQUENCE + 11, acknowledged=900))
    assert admission.responses == [("r1", 40, 4, 2)]


def test_work_is_learned_without_the_network_latency(
    harness: ForwarderHarness, admission: ScriptedAdmission
) -> None:
    """Guards against work that seems higher, and a lower share, the farther callers are."""
    for caller_port in range(4_001, 4_061):
        harness.send(build_opening_packet(caller_port))
        name = harness.list_targets()[-1]
        harness.clock.advance(30)
        harness.send(build_packet(caller_port, token=harness.encode_token(name)))
    send_request(harness, SEQUENCE + 1, caller_port=caller_port)
    harness.clock.advance(50)
    harness.send(build_packet(caller_port, sequence=SEQUENCE + 11, acknowledged=500))
    assert [processing_ms for _, processing_ms, _, _ in admission.responses] == [20]


def test_placed_flows_are_counted_by_route_and_data_centre(admission: ScriptedAdmission) -> None:
    """Guards against operators who cannot see that flows go to another data centre."""
    harness = ForwarderHarness(build_upstream("a", data_centre="west"), admission=admission)
    open_flow(harness)
    assert harness.forwarder.placed_by_route == {("r1", "west"): 1}
