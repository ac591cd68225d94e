"""Resets of flows whose upstream no longer serves them, and flows that must not be reset."""

import pytest

from catkinspread.deployment import KnownUpstream
from catkinspread.forwarding.reachability import (
    CHECK_INTERVAL_MS,
    EVIDENCE_TIMEOUT_MS,
    RECOVERED_MIN,
    RECOVERY_WINDOW_MS,
    UNANSWERED_MIN,
)
from catkinspread.forwarding.tests.builders import (
    SEQUENCE,
    ForwarderHarness,
    build_opening_packet,
    build_packet,
    build_upstream,
)

REQUEST_BYTES = 10
DEAD, LIVE = "dead", "live"
CALLER_PORT = 4_000
# Acknowledgement numbers of a caller before and after the first answer on a flow.
OPENED, ANSWERED = 1, 500


class ResetHarness(ForwarderHarness):
    """Two upstreams and others; connections succeed only to those that are in `reachable`."""

    def __init__(self, *others: str) -> None:
        super().__init__(*map(build_upstream, (DEAD, LIVE, *others)))
        self.reachable = {LIVE}
        self.checked: list[str] = []

    def find(self, name: str) -> KnownUpstream:
        return next(known for known in self.state.list_upstreams() if known.record.name == name)

    def send_on_flow(
        self, upstream: str, port: int = CALLER_PORT, acknowledged: int = OPENED, size: int = 0
    ) -> None:
        """Sends a packet on a flow of an upstream; with data, the first request of the flow."""
        token = self.encode_token(upstream)
        self.send(
            build_packet(port, acknowledged=acknowledged, token=token, payload_size_bytes=size)
        )

    def answer_live(self) -> None:
        """Lets a caller acknowledge an answer of the live upstream."""
        self.send_on_flow(LIVE, port=9, size=REQUEST_BYTES)
        self.send_on_flow(LIVE, port=9, acknowledged=self.now_ms)

    def run_checks(self) -> None:
        """Runs the due checks twice, because the second one follows a failed one at once."""
        reachability = self.forwarder.reachability
        for _ in range(2):
            for check in self.forwarder.take_due_checks(self.now_ms):
                name = check.upstream.record.name
                self.checked.append(name)
                reachability.record_check(name, name in self.reachable, self.now_ms)
        self.forwarder.reset_flows_of_unreachable(self.now_ms)

    def leave_unanswered(self) -> None:
        """Sends a request to the dead upstream and its retransmissions after 200 and 600 ms."""
        self.send_on_flow(DEAD, size=REQUEST_BYTES)
        for wait_ms in (200, 400):
            self.wait(wait_ms)
            self.send_on_flow(DEAD, size=REQUEST_BYTES)

    def list_reset_ports(self) -> list[int]:
        return sorted(key.caller_port for key, _ in self.output.resets)


def test_flows_of_a_crashed_upstream_are_reset_before_the_deadline() -> None:
    """Guards against callers that wait on a dead upstream, and idle flows that stay on it."""
    harness = ResetHarness()
    harness.send_on_flow(DEAD, port=5, acknowledged=7)
    harness.leave_unanswered()
    harness.answer_live()
    harness.run_checks()
    assert harness.list_reset_ports() == [5, CALLER_PORT]
    assert {key.caller_port: sequence for key, sequence in harness.output.resets}[5] == 7
    assert harness.loads.list_in_flight() == {}


def test_flow_is_reset_when_its_next_request_goes_to_an_unreachable_upstream() -> None:
    """Guards against a flow of another instance that is adopted and left on a dead upstream."""
    harness = ResetHarness()
    harness.leave_unanswered()
    harness.answer_live()
    harness.run_checks()
    harness.send_on_flow(DEAD, port=6, size=REQUEST_BYTES)
    assert harness.list_reset_ports() == [6, CALLER_PORT]
    assert (DEAD, 6) not in [
        (name, packet.key.caller_port) for packet, name in harness.output.forwarded
    ]


def test_busy_upstream_keeps_its_flows() -> None:
    """Guards against resetting flows of an upstream that answers late but accepts connections."""
    harness = ResetHarness()
    harness.reachable.add(DEAD)
    harness.leave_unanswered()
    harness.answer_live()
    harness.run_checks()
    assert harness.checked == [DEAD]
    assert harness.output.resets == []


def test_failed_connections_alone_do_not_reset_flows() -> None:
    """Guards against a reset because of one lost packet on a link that loses connections."""
    harness = ResetHarness()
    harness.send_on_flow(DEAD, size=REQUEST_BYTES)
    harness.wait(200)
    harness.send_on_flow(DEAD, size=REQUEST_BYTES)
    harness.answer_live()
    harness.run_checks()
    assert harness.checked == [DEAD, DEAD]
    assert harness.output.resets == []


def test_answer_on_any_flow_keeps_all_flows() -> None:
    """Guards against resets while packets pass one way only and connections therefore fail."""
    harness = ResetHarness()
    harness.leave_unanswered()
    harness.answer_live()
    harness.send_on_flow(DEAD, port=7, size=REQUEST_BYTES)
    harness.send_on_flow(DEAD, port=7, acknowledged=ANSWERED)
    harness.run_checks()
    assert harness.output.resets == []


def test_no_reset_while_no_other_upstream_answers() -> None:
    """Guards against resets when a link of this instance fails or the data centre is cut off.

    Once another upstream answers, the flows are reset.
    """
    harness = ResetHarness()
    harness.leave_unanswered()
    harness.run_checks()
    assert harness.checked == []
    assert harness.output.resets == []
    harness.answer_live()
    harness.run_checks()
    assert harness.list_reset_ports() == [CALLER_PORT]


def test_draining_upstream_is_no_alternative() -> None:
    """Guards against a reset whose caller could not open a new flow."""
    harness = ResetHarness()
    harness.leave_unanswered()
    harness.answer_live()
    harness.state.put_upstream(build_upstream(LIVE, is_draining=True), harness.now_ms)
    harness.run_checks()
    assert harness.output.resets == []


def test_checks_of_a_busy_upstream_are_rate_limited() -> None:
    """Guards against load on slow upstreams by the checks of their reachability."""
    harness = ResetHarness()
    harness.reachable.add(DEAD)
    for _ in range(20):
        harness.send_on_flow(DEAD, size=REQUEST_BYTES)
        harness.answer_live()
        harness.run_checks()
        harness.wait(100)
    assert len(harness.checked) == 2_000 // CHECK_INTERVAL_MS


def test_upstream_without_open_flows_is_not_checked() -> None:
    """Guards against checks by instances that have nothing to reset, also after a report."""
    harness = ResetHarness()
    harness.send(build_opening_packet(1))
    harness.wait(500)
    harness.forwarder.record_unreachable_report(
        harness.find(DEAD), harness.now_ms - 600, harness.now_ms
    )
    harness.run_checks()
    assert harness.checked == []


def test_report_of_another_instance_is_confirmed_by_own_checks() -> None:
    """Guards against flows that are reset because of a false report, and against ignoring one."""
    harness = ResetHarness()
    harness.send_on_flow(DEAD)
    harness.wait(EVIDENCE_TIMEOUT_MS)
    harness.answer_live()
    harness.reachable.add(DEAD)
    report = (harness.find(DEAD), harness.now_ms - 600, harness.now_ms)
    harness.forwarder.record_unreachable_report(*report)
    harness.run_checks()
    assert harness.output.resets == []
    harness.reachable.discard(DEAD)
    harness.wait(CHECK_INTERVAL_MS)
    harness.answer_live()
    harness.forwarder.record_unreachable_report(
        harness.find(DEAD), harness.now_ms - 600, harness.now_ms
    )
    harness.run_checks()
    assert harness.list_reset_ports() == [CALLER_PORT]


def test_evidence_is_forgotten() -> None:
    """Guards against a reset because of single lost packets that are minutes apart."""
    harness = ResetHarness()
    for _ in range(4):
        harness.send_on_flow(DEAD, size=REQUEST_BYTES)
        harness.answer_live()
        harness.run_checks()
        harness.wait(EVIDENCE_TIMEOUT_MS)
    assert harness.output.resets == []


def _recover(
    harness: ResetHarness, names: list[str], unanswered_count: int = UNANSWERED_MIN
) -> None:
    """Lets upstreams leave packets unanswered and answer a later one."""
    for number in range(1 + unanswered_count):
        for port, name in enumerate(names, 5_000):
            harness.send_on_flow(name, port=port, size=REQUEST_BYTES)
        harness.wait(200 if number < unanswered_count else 0)
    for port, name in enumerate(names, 5_000):
        harness.send_on_flow(name, port=port, acknowledged=ANSWERED + harness.now_ms)


def test_upstreams_of_an_overloaded_service_keep_their_flows() -> None:
    """Guards against resets of open flows whose upstream has a full queue of new connections.

    An upstream that is down after the overload is found.
    """
    busy = [f"busy-{number}" for number in range(RECOVERED_MIN)]
    harness = ResetHarness(*busy)
    harness.leave_unanswered()
    _recover(harness, busy)
    harness.answer_live()
    harness.run_checks()
    assert harness.checked == []
    assert harness.output.resets == []
    harness.wait(RECOVERY_WINDOW_MS)
    harness.leave_unanswered()
    harness.answer_live()
    harness.run_checks()
    assert harness.list_reset_ports() == [CALLER_PORT]


def test_checks_that_failed_before_an_overload_was_seen_reset_nothing() -> None:
    """Guards against resets at the start of an overload, by the checks of its first moments."""
    busy = [f"busy-{number}" for number in range(RECOVERED_MIN)]
    harness = ResetHarness(*busy)
    harness.leave_unanswered()
    harness.answer_live()
    for _ in range(2):
        for check in harness.forwarder.take_due_checks(harness.now_ms):
            name = check.upstream.record.name
            harness.forwarder.reachability.record_check(name, False, harness.now_ms)
    _recover(harness, busy)
    harness.forwarder.reset_flows_of_unreachable(harness.now_ms)
    assert harness.output.resets == []


@pytest.mark.parametrize(
    ("busy_count", "unanswered_count", "dead_count"),
    [
        (RECOVERED_MIN - 1, UNANSWERED_MIN, 1),
        (4 * RECOVERED_MIN, UNANSWERED_MIN - 1, 1),
        (RECOVERED_MIN, UNANSWERED_MIN, 2 * RECOVERED_MIN + 1),
    ],
    ids=["few", "single losses", "many dead"],
)
def test_upstreams_that_answer_again_do_not_hide_those_that_are_down(
    busy_count: int, unanswered_count: int, dead_count: int
) -> None:
    """Guards against callers that wait on dead upstreams because others lost packets."""
    busy = [f"busy-{number}" for number in range(busy_count)]
    dead = [f"dead-{number}" for number in range(dead_count - 1)]
    harness = ResetHarness(*busy, *dead)
    harness.leave_unanswered()
    for port, name in enumerate(dead, 6_000):
        for _ in range(3):
            harness.send_on_flow(name, port=port, size=REQUEST_BYTES)
    _recover(harness, busy, unanswered_count)
    harness.answer_live()
    harness.run_checks()
    assert harness.list_reset_ports()[0] == CALLER_PORT
    assert len(harness.output.resets) == dead_count


def _remove_record(harness: ResetHarness) -> None:
    harness.wait(10)
    harness.state.mark_upstream_missing(DEAD, harness.now_ms)
    harness.wait(3_000)


def _expire(harness: ResetHarness) -> None:
    for upstream in harness.state.expire_upstreams(harness.now_ms, harness.now_ms - 10_000):
        harness.forwarder.reset_flows_of_gone(upstream, harness.now_ms)


def test_evidence_from_before_a_pause_is_discarded() -> None:
    """Guards against resets because the instance itself was paused while answers arrived."""
    harness = ResetHarness()
    harness.leave_unanswered()
    harness.forwarder.handle_pause(harness.now_ms)
    harness.answer_live()
    harness.run_checks()
    assert harness.checked == []
    assert harness.output.resets == []


def test_opening_packets_get_a_new_timeout_after_a_pause() -> None:
    """Guards against a back-off of all upstreams because the instance itself was paused."""
    harness = ForwarderHarness(build_upstream("a"), build_upstream("b"))
    harness.send(build_opening_packet())
    harness.clock.advance(3_000)
    harness.forwarder.handle_pause(harness.now_ms)
    harness.forwarder.send_due_retries(harness.now_ms)
    assert len(harness.list_targets()) == 1
    harness.wait(200)
    assert len(harness.list_targets()) == 2


def test_idle_flows_of_an_upstream_that_is_gone_are_reset() -> None:
    """Guards against an order that is lost on a flow whose upstream shut down long ago."""
    harness = ResetHarness()
    harness.send_on_flow(DEAD, size=REQUEST_BYTES)
    harness.send_on_flow(DEAD, acknowledged=ANSWERED)
    _remove_record(harness)
    _expire(harness)
    assert harness.list_reset_ports() == [CALLER_PORT]


def test_upstream_that_answers_without_a_record_keeps_its_flows() -> None:
    """Guards against breaking flows whose upstream lost its record but still serves them."""
    harness = ResetHarness()
    _remove_record(harness)
    harness.send_on_flow(DEAD, size=REQUEST_BYTES)
    harness.send_on_flow(DEAD, acknowledged=ANSWERED)
    _expire(harness)
    harness.send_on_flow(DEAD, size=REQUEST_BYTES)
    assert harness.output.resets == []


def test_flow_adopted_after_its_upstream_is_gone_is_reset_when_it_is_not_answered() -> None:
    """Guards against a caller that waits for an upstream that another instance knew to be gone."""
    harness = ResetHarness()
    _remove_record(harness)
    _expire(harness)
    harness.send_on_flow(DEAD, size=REQUEST_BYTES)
    assert harness.output.resets == []
    harness.wait(200)
    harness.send_on_flow(DEAD, size=REQUEST_BYTES)
    assert harness.list_reset_ports() == [CALLER_PORT]
    harness.send_on_flow(DEAD, size=REQUEST_BYTES)
    assert harness.forwarder.counts["after_reset"] == 1


def test_reopened_port_ends_the_wait_of_the_earlier_flow() -> None:
    """Guards against an upstream that seems loaded by a request of a flow that was replaced."""
    harness = ResetHarness()
    harness.send_on_flow(DEAD, size=REQUEST_BYTES)
    harness.wait(1_600)
    assert harness.loads.list_in_flight() == {DEAD: 1}
    harness.state.put_upstream(build_upstream(DEAD, is_draining=True), harness.now_ms)
    harness.send(build_packet(is_opening=True, sequence=SEQUENCE + 9_000))
    assert harness.loads.list_in_flight() == {LIVE: 1}


def test_answer_after_a_refusal_does_not_end_the_wait_of_another_flow() -> None:
    """Guards against an upstream that seems idle because a refused flow was counted twice."""
    harness = ForwarderHarness(build_upstream("a"))
    harness.send(build_opening_packet(1))
    harness.wait(1_000)
    harness.send(build_opening_packet(1, copy=1))
    harness.send(build_packet(2, token=harness.encode_token("a"), payload_size_bytes=REQUEST_BYTES))
    harness.send(build_packet(1, token=harness.encode_token("a")))
    harness.send(build_packet(1, acknowledged=ANSWERED, token=harness.encode_token("a")))
    assert harness.loads.list_in_flight() == {"a": 1}
