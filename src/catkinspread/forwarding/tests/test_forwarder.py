"""Forwarding while instances, upstreams and the configuration change."""

import json

from catkinspread.forwarding.forwarder import REFUSAL_DELAY_AFTER_PAUSE_MS
from catkinspread.forwarding.retry_budget import RETRIES_PER_OPENING, RETRY_CAPACITY
from catkinspread.forwarding.tests.builders import (
    SEQUENCE,
    UNROUTED_ADDRESS,
    ForwarderHarness,
    build_configuration,
    build_opening_packet,
    build_packet,
    build_upstream,
)


def test_forwards_a_flow_to_the_upstream_that_answered() -> None:
    """Guards against sending the packets of one flow to two upstreams."""
    harness = ForwarderHarness(build_upstream("a"), build_upstream("b"))
    harness.send(build_opening_packet())
    first = harness.list_targets()[0]
    harness.send(build_packet(token=harness.encode_token(first), payload_size_bytes=10))
    harness.send(
        build_packet(
            token=harness.encode_token(first), sequence=SEQUENCE + 11, payload_size_bytes=10
        )
    )
    assert harness.list_targets() == [first] * 3


def test_another_instance_adopts_a_flow_by_its_token() -> None:
    """Guards against flows that break when the routers send them to another instance."""
    harness = ForwarderHarness(build_upstream("a"), build_upstream("b"))
    harness.send(build_packet(token=harness.encode_token("b"), payload_size_bytes=10))
    assert harness.list_targets() == ["b"]


def test_keeps_the_first_upstream_when_a_late_answer_changes_the_token() -> None:
    """Guards against moving a flow when a second upstream answers a retransmitted opening."""
    harness = ForwarderHarness(build_upstream("a"), build_upstream("b"))
    harness.send(build_opening_packet())
    first = harness.list_targets()[0]
    other = "b" if first == "a" else "a"
    harness.send(build_packet(token=harness.encode_token(first)))
    harness.send(build_packet(token=harness.encode_token(other), payload_size_bytes=10))
    assert harness.list_targets()[-1] == first


def test_late_retransmission_of_an_opening_packet_is_dropped() -> None:
    """Guards against a delayed retransmission that moves an established or adopted flow."""
    harness = ForwarderHarness(build_upstream("a"), build_upstream("b"))
    harness.send(build_opening_packet(1))
    first = harness.list_targets()[0]
    harness.send(build_packet(1, token=harness.encode_token(first), payload_size_bytes=10))
    harness.send(build_opening_packet(1, copy=1))
    harness.send(build_packet(2, token=harness.encode_token("a"), payload_size_bytes=10))
    harness.send(build_opening_packet(2, copy=1))
    assert harness.list_targets() == [first, first, "a"]
    assert harness.forwarder.counts["late_copy"] == 2


def test_opening_packets_delayed_together_count_once() -> None:
    """Guards against a back-off of an upstream because the instance itself was delayed.

    An opening packet and its retransmissions are read from the socket buffer at the same time.
    """
    harness = ForwarderHarness(build_upstream("a"), build_upstream("b"))
    harness.send(build_opening_packet(copy=0))
    harness.send(build_opening_packet(copy=1))
    harness.send(build_opening_packet(copy=2))
    assert len(harness.list_targets()) == 1
    assert not harness.loads.get(harness.list_targets()[0]).is_in_backoff(harness.now_ms)


def test_caller_may_reuse_a_port() -> None:
    """Guards against treating a new flow as a retransmission of an earlier one."""
    harness = ForwarderHarness(build_upstream("a"))
    harness.send(build_opening_packet())
    harness.send(build_packet(token=harness.encode_token("a"), is_close=True))
    harness.wait(1_000)
    harness.send(build_packet(is_opening=True, sequence=SEQUENCE + 500))
    assert harness.forwarder.counts["opened"] == 2


def test_late_packet_of_an_earlier_flow_does_not_take_a_reopened_port() -> None:
    """Guards against a new flow whose packets go to the upstream of an earlier one.

    The earlier flow had the same port; a retransmission of it arrives during the new handshake.
    """
    harness = ForwarderHarness(build_upstream("a"), build_upstream("b"))
    harness.send(build_packet(token=harness.encode_token("a"), payload_size_bytes=10))
    harness.wait(1_600)
    opening = SEQUENCE + 1_000_000
    harness.state.put_upstream(build_upstream("a", is_draining=True), harness.now_ms)
    harness.send(build_packet(is_opening=True, sequence=opening))
    harness.send(build_packet(token=harness.encode_token("a"), payload_size_bytes=10))
    harness.send(build_packet(token=harness.encode_token("b"), sequence=opening + 1))
    assert harness.list_targets() == ["a", "b", "b"]
    assert harness.forwarder.counts["dropped_earlier_flow"] == 1


def test_first_packets_of_a_flow_may_be_lost() -> None:
    """Guards against dropping the data of a flow because its first packet did not arrive."""
    harness = ForwarderHarness(build_upstream("a"))
    harness.send(build_opening_packet())
    sequence = SEQUENCE + 1 + 16 * 1_200
    harness.send(build_packet(token=harness.encode_token("a"), sequence=sequence))
    assert harness.list_targets() == ["a", "a"]


def test_tries_another_upstream_before_the_caller_retransmits() -> None:
    """Guards against callers that wait 200 ms because an upstream does not respond."""
    harness = ForwarderHarness(build_upstream("a"), build_upstream("b"))
    harness.send(build_opening_packet())
    harness.wait(150)
    assert sorted(harness.list_targets()) == ["a", "b"]


def test_retries_are_limited_when_no_upstream_responds() -> None:
    """Guards against an instance that sends each opening packet four times on a saturated link.

    The load is 200 flows in 2 s whose answers are all late.
    """
    harness = ForwarderHarness(*(build_upstream(name) for name in "abcdefgh"))
    for port in range(1, 201):
        harness.send(build_opening_packet(port))
        harness.wait(10)
    opened = harness.forwarder.counts["opened"]
    assert len(harness.list_targets()) - opened <= RETRY_CAPACITY + RETRIES_PER_OPENING * opened
    assert harness.forwarder.counts["repeat_withheld"] > 0


def test_retry_budget_covers_a_few_unresponsive_upstreams() -> None:
    """Guards against callers that wait because two of eight upstreams exhaust the budget."""
    harness = ForwarderHarness(*(build_upstream(name) for name in "abcdefgh"))
    for port in range(1, 201):
        harness.send(build_opening_packet(port))
        harness.wait(10)
        for packet, name in list(harness.output.forwarded):
            if name not in "ab":
                harness.send(build_packet(packet.key.caller_port, token=harness.encode_token(name)))
        harness.output.forwarded.clear()
    assert harness.forwarder.counts["repeat_withheld"] == 0


def test_flow_is_established_on_the_upstream_that_answers_first() -> None:
    """Guards against sending data to the second upstream when the first one answers late."""
    harness = ForwarderHarness(build_upstream("a"), build_upstream("b"))
    harness.send(build_opening_packet())
    first = harness.list_targets()[0]
    harness.wait(150)
    harness.send(build_packet(token=harness.encode_token(first), payload_size_bytes=10))
    assert harness.list_targets()[-1] == first


def test_avoids_an_upstream_that_did_not_answer() -> None:
    """Guards against sending further new flows to an upstream that timed out."""
    harness = ForwarderHarness(build_upstream("a"), build_upstream("b"))
    harness.send(build_opening_packet(1))
    unresponsive = harness.list_targets()[0]
    harness.wait(100)
    harness.output.forwarded.clear()
    for port in range(2, 12):
        harness.send(build_opening_packet(port))
    assert unresponsive not in harness.list_targets()


def test_refuses_at_once_without_a_route() -> None:
    """Guards against callers that wait for an address without a route."""
    harness = ForwarderHarness(build_upstream("a"))
    harness.send(build_opening_packet(address=UNROUTED_ADDRESS))
    assert len(harness.output.resets) == 1
    assert harness.list_targets() == []


def test_refuses_at_once_without_an_upstream() -> None:
    """Guards against delaying a flow that no upstream can accept."""
    harness = ForwarderHarness(build_upstream("a", is_draining=True))
    harness.send(build_opening_packet())
    assert len(harness.output.resets) == 1


def test_neither_refuses_nor_places_before_the_state_is_complete() -> None:
    """Guards against refusing callers between the start and the first complete state.

    After a refusal callers retry immediately and then give up; an unanswered opening packet is
    retransmitted after 200 ms.
    """
    harness = ForwarderHarness(is_state_complete=False)
    harness.send(build_opening_packet())
    assert harness.output.resets == []
    assert harness.list_targets() == []
    assert harness.forwarder.counts["dropped_no_state"] == 1


def test_refuses_nothing_by_the_state_of_before_a_pause() -> None:
    """Guards against a reset of a flow on a route that was added while the process was paused.

    The flow may be open through another instance, and a copy of its opening packet may have waited
    in the socket.
    """
    harness = ForwarderHarness(build_upstream("a"))
    harness.forwarder.handle_pause(harness.now_ms)
    harness.send(build_opening_packet(address=UNROUTED_ADDRESS))
    harness.send(build_opening_packet(1))
    assert harness.output.resets == []
    assert harness.list_targets() == ["a"]
    assert harness.forwarder.counts["dropped_outdated_state"] == 1
    harness.clock.advance(REFUSAL_DELAY_AFTER_PAUSE_MS)
    harness.send(build_opening_packet(address=UNROUTED_ADDRESS))
    assert len(harness.output.resets) == 1


def test_draining_upstream_keeps_its_flows_and_gets_no_new_ones() -> None:
    """Guards against breaking flows of a draining upstream or placing new ones on it."""
    harness = ForwarderHarness(build_upstream("a"))
    harness.send(build_opening_packet(1))
    harness.send(build_packet(1, token=harness.encode_token("a"), payload_size_bytes=5))
    harness.state.put_upstream(build_upstream("a", is_draining=True), harness.now_ms)
    harness.state.put_upstream(build_upstream("b"), harness.now_ms)
    harness.output.forwarded.clear()
    harness.send(
        build_packet(
            1, token=harness.encode_token("a"), sequence=SEQUENCE + 6, payload_size_bytes=5
        )
    )
    harness.send(build_opening_packet(2))
    assert harness.list_targets() == ["a", "b"]


def test_flow_outlives_the_record_of_its_upstream() -> None:
    """Guards against breaking flows whose upstream was removed but still serves them."""
    harness = ForwarderHarness(build_upstream("a", is_draining=True))
    token = harness.encode_token("a")
    harness.state.mark_upstream_missing("a", harness.now_ms)
    harness.state.expire_upstreams(harness.now_ms + 10_000, harness.now_ms)
    harness.send(build_packet(token=token, payload_size_bytes=5))
    assert harness.list_targets() == ["a"]


def test_packet_with_a_forged_token_is_dropped() -> None:
    """Guards against forwarding or resetting a packet whose token no upstream has."""
    harness = ForwarderHarness(build_upstream("a"))
    harness.send(build_packet(token=12_345, payload_size_bytes=5))
    assert harness.list_targets() == []
    assert harness.output.resets == []
    assert harness.forwarder.counts["dropped_unknown_token"] == 1


def test_established_flow_stays_when_its_route_changes_the_service() -> None:
    """Guards against moving established flows when the configuration changes."""
    harness = ForwarderHarness(build_upstream("a"), build_upstream("x", service="pages"))
    harness.send(build_opening_packet(1))
    harness.send(build_packet(1, token=harness.encode_token("a")))
    harness.state.put_configuration(build_configuration(version=2, service="pages"))
    harness.output.forwarded.clear()
    harness.send(build_packet(1, token=harness.encode_token("a"), payload_size_bytes=5))
    harness.send(build_opening_packet(2))
    assert harness.list_targets() == ["a", "x"]


def test_unanswered_request_stops_counting_as_load() -> None:
    """Guards against upstreams that appear loaded by requests of callers that are gone."""
    harness = ForwarderHarness(build_upstream("a"))
    harness.send(build_packet(token=harness.encode_token("a"), payload_size_bytes=5))
    assert harness.loads.list_in_flight() == {"a": 1}
    harness.wait(2_500)
    assert harness.loads.list_in_flight() == {}


def test_log_links_a_request_to_its_upstreams() -> None:
    """Guards against a failed request whose log lines cannot be joined by its identifier."""
    harness = ForwarderHarness(build_upstream("a"), build_upstream("b"))
    harness.send(build_opening_packet())
    harness.wait(100)
    answered = harness.list_targets()[-1]
    harness.send(build_packet(token=harness.encode_token(answered), payload_size_bytes=5))
    harness.wait(2_500)
    lines = [json.loads(line) for line in harness.lines.lines]
    events = {line["event"]: line for line in lines}
    assert events["request"]["request"] == "id-1"
    assert events["request"]["flow"] == events["open_unanswered"]["flow"]
    assert events["request_abandoned"]["upstream"] == answered


def test_late_answer_ends_the_back_off_that_its_time_out_began() -> None:
    """Guards against avoiding an upstream that answers, because its callers are far away."""
    harness = ForwarderHarness(build_upstream("a"), build_upstream("b"))
    harness.send(build_opening_packet())
    harness.wait(150)
    first = harness.list_targets()[0]
    assert harness.loads.get(first).is_in_backoff(harness.now_ms)
    harness.send(build_packet(token=harness.encode_token(first)))
    assert not harness.loads.get(first).is_in_backoff(harness.now_ms)


def test_answer_from_before_the_last_time_out_does_not_end_a_back_off() -> None:
    """Guards against trusting an upstream that answered once and is silent now."""
    harness = ForwarderHarness(build_upstream("a"))
    harness.send(build_opening_packet(1))
    harness.wait(10)
    harness.send(build_opening_packet(2))
    harness.clock.advance(60)
    harness.forwarder.send_due_retries(harness.now_ms)  # The one of port 1 has timed out.
    harness.wait(1_000)
    harness.send(build_opening_packet(3))
    harness.wait(100)
    assert harness.loads.get("a").is_in_backoff(harness.now_ms)
    harness.send(build_packet(2, token=harness.encode_token("a")))
    assert harness.loads.get("a").is_in_backoff(harness.now_ms)


def test_upstreams_of_distant_callers_have_the_time_of_a_usual_handshake() -> None:
    """Guards against several answers to each opening packet, all but one of them late."""
    harness = ForwarderHarness(build_upstream("a"), build_upstream("b"))
    for port in range(1, 60):
        harness.send(build_opening_packet(port))
        answered = harness.output.tokens[-1]
        harness.wait(200)
        harness.send(build_opening_packet(port, copy=1))
        harness.wait(40)
        harness.send(build_packet(port, token=answered))
    before = len(harness.list_targets())
    harness.send(build_opening_packet(100))
    harness.wait(200)
    harness.send(build_opening_packet(100, copy=1))
    harness.wait(40)
    first, second = harness.list_targets()[before:]
    assert first == second
    assert harness.output.tokens[-1] == harness.output.tokens[-2]
