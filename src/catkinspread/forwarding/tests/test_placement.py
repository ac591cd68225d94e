"""Selection of upstreams for new flows."""

import collections

import msgspec

from catkinspread.deployment import ServiceShare
from catkinspread.forwarding.tests.builders import (
    SEQUENCE,
    START_MS,
    ForwarderHarness,
    build_configuration,
    build_opening_packet,
    build_packet,
    build_upstream,
)


def _place(harness: ForwarderHarness, count: int, first_port: int = 1) -> collections.Counter[str]:
    harness.output.forwarded.clear()
    for port in range(first_port, first_port + count):
        harness.send(build_opening_packet(port))
    return collections.Counter(harness.list_targets())


def test_spreads_evenly_over_equal_upstreams() -> None:
    """Guards against placing all load on one of several equal upstreams."""
    harness = ForwarderHarness(*(build_upstream(name) for name in "abc"))
    assert set(_place(harness, 12).values()) == {4}


def test_prefers_the_local_data_centre_while_it_has_free_slots() -> None:
    """Guards against unnecessary paid traffic between data centres."""
    harness = ForwarderHarness(build_upstream("near"), build_upstream("far", data_centre="west"))
    assert _place(harness, 2) == {"near": 2}


def test_uses_another_data_centre_once_local_upstreams_queue() -> None:
    """Guards against queues in one data centre while upstreams in another are idle."""
    harness = ForwarderHarness(build_upstream("near"), build_upstream("far", data_centre="west"))
    placed = _place(harness, 12)
    assert placed["far"] >= 4


def test_takes_the_load_of_other_instances_into_account() -> None:
    """Guards against two instances that both choose the same upstream."""
    harness = ForwarderHarness(build_upstream("a"), build_upstream("b"))
    harness.loads.apply_report("two", 1, {"a": 6}, harness.now_ms)
    assert _place(harness, 2) == {"b": 2}


def test_report_replaces_the_previous_one_and_expires() -> None:
    """Guards against load that accumulates with each report or outlives its instance."""
    harness = ForwarderHarness(build_upstream("a"))
    harness.loads.apply_report("two", 1, {"a": 6}, harness.now_ms)
    harness.loads.apply_report("two", 2, {"a": 1}, harness.now_ms)
    assert harness.loads.get("a").peer_in_flight == 1
    harness.loads.expire_reports(harness.now_ms + 1_000)
    assert harness.loads.get("a").peer_in_flight == 0


def test_slow_upstream_gets_fewer_flows() -> None:
    """Guards against an equal share for an upstream that is five times slower."""
    harness = ForwarderHarness(build_upstream("slow"), build_upstream("quick"))
    for _ in range(20):
        harness.loads.get("slow").record_response_time(225, harness.now_ms)
    placed = _place(harness, 8)
    assert placed["quick"] >= 6


def test_cold_upstream_gets_no_flows_while_others_are_available() -> None:
    """Guards against load on an upstream that has just started."""
    harness = ForwarderHarness(
        build_upstream("cold", cold_remaining_ms=2_000), build_upstream("warm")
    )
    assert _place(harness, 10) == {"warm": 10}
    harness.wait(2_010)
    assert _place(harness, 10, first_port=100)["cold"] > 0


def test_cold_upstreams_get_flows_at_their_rate_when_no_other_is_available() -> None:
    """Guards against exceeding the rate of a cold upstream and against not using it at all."""
    harness = ForwarderHarness(build_upstream("cold", cold_remaining_ms=60_000))
    harness.state.put_configuration(build_configuration(version=2, cold_rate_per_s=10.0))
    served = 0
    for port in range(1, 301):
        harness.output.forwarded.clear()
        harness.send(build_opening_packet(port))
        served += len(harness.list_targets())
        harness.clock.advance(10)
    assert 25 <= served <= 31


def test_evacuated_data_centre_gets_no_new_flows() -> None:
    """Guards against new flows to a data centre that operators evacuated."""
    harness = ForwarderHarness(build_upstream("a"), build_upstream("b", data_centre="west"))
    harness.state.set_evacuated("east", True)
    assert _place(harness, 4) == {"b": 4}


def test_refuses_at_once_when_no_upstream_answers() -> None:
    """Guards against callers that wait until their deadline while no upstream can serve them.

    A data centre is partitioned from the others while its own upstreams are evacuated. The load is
    20 new flows per second for 3 s.
    """
    harness = ForwarderHarness(*(build_upstream(name, data_centre="west") for name in "abc"))
    for port in range(1, 61):
        harness.send(build_opening_packet(port))
        harness.wait(50)
    refused = [key.caller_port for key, _ in harness.output.resets]
    assert len(refused) >= 30
    attempts = collections.Counter(harness.list_targets())
    assert min(attempts.values()) >= 4, "each upstream must be probed repeatedly"


def test_serves_again_once_an_upstream_answers() -> None:
    """Guards against refusing callers for seconds after a partition has ended."""
    harness = ForwarderHarness(build_upstream("a", data_centre="west"))
    for port in range(1, 41):
        harness.send(build_opening_packet(port))
        harness.wait(50)
    harness.output.forwarded.clear()
    harness.wait(500)
    harness.send(build_opening_packet(100))
    assert harness.list_targets() == ["a"]
    harness.send(build_packet(100, token=harness.encode_token("a")))
    assert _place(harness, 3, first_port=200) == {"a": 3}


def test_upstream_with_a_missing_record_is_the_last_resort() -> None:
    """Guards against refusing callers when all records expire in an outage of the source."""
    harness = ForwarderHarness(build_upstream("a"), build_upstream("b"))
    harness.state.mark_upstream_missing("a", START_MS)
    assert _place(harness, 4) == {"b": 4}
    harness.state.mark_upstream_missing("b", START_MS)
    assert sum(_place(harness, 4, first_port=50).values()) == 4


def test_in_flight_falls_when_the_caller_acknowledges_the_answer() -> None:
    """Guards against counting the time that a caller takes to read its answer as load."""
    harness = ForwarderHarness(build_upstream("a"))
    token = harness.encode_token("a")
    harness.send(build_opening_packet(1))
    harness.send(build_packet(1, token=token, acknowledged=500, payload_size_bytes=5))
    assert harness.loads.list_in_flight() == {"a": 1}
    harness.send(build_packet(1, token=token, acknowledged=900, sequence=1_006))
    assert harness.loads.list_in_flight() == {}


def _share_route(harness: ForwarderHarness, **weights: float) -> None:
    shares = tuple(ServiceShare(service, weight) for service, weight in weights.items())
    current = build_configuration(version=2)
    route = msgspec.structs.replace(current.routes[0], shares=shares)
    harness.state.put_configuration(msgspec.structs.replace(current, routes=(route,)))


def test_flows_of_a_shared_route_are_distributed_by_weight() -> None:
    """Guards against sending all flows of a shared route to one service."""
    harness = ForwarderHarness(build_upstream("a"), build_upstream("x", service="pages"))
    _share_route(harness, orders=90.0, pages=10.0)
    placed = _place(harness, 1_000)
    assert 60 <= placed["x"] <= 140


def test_retransmissions_of_an_opening_packet_go_to_the_same_service() -> None:
    """Guards against instances that send a retransmission to a different service."""
    targets = []
    for seed in (1, 2):
        harness = ForwarderHarness(
            build_upstream("a"), build_upstream("x", service="pages"), seed=seed
        )
        _share_route(harness, orders=50.0, pages=50.0)
        for port in range(1, 50):
            harness.send(build_opening_packet(port))
        targets.append(harness.list_targets())
    assert targets[0] == targets[1]
    assert set(targets[0]) == {"a", "x"}


def test_another_service_of_the_route_is_the_fallback() -> None:
    """Guards against refusing flows that another service of the route can accept."""
    harness = ForwarderHarness(build_upstream("x", service="pages"))
    _share_route(harness, orders=90.0, pages=10.0)
    assert _place(harness, 20) == {"x": 20}


def test_upstream_that_does_not_answer_all_requests_gets_fewer_flows() -> None:
    """Guards against an equal share for an upstream that answers only every other request.

    The load is one flow every 50 ms; callers retransmit the request after 200 and 600 ms.
    """
    harness = ForwarderHarness(build_upstream("flaky"), build_upstream("reliable"))
    placed: collections.Counter[str] = collections.Counter()
    due: list[tuple[int, int]] = []
    for port in range(1, 201):
        harness.output.forwarded.clear()
        harness.send(build_opening_packet(port))
        name = harness.list_targets()[0]
        placed[name] += 1
        token = harness.encode_token(name)
        harness.send(build_packet(port, token=token, payload_size_bytes=10))
        is_answered = name == "reliable" or placed["flaky"] % 2 == 0
        if not is_answered:
            due.extend(((harness.now_ms + 200, port), (harness.now_ms + 600, port)))
        harness.wait(30)
        if is_answered:
            harness.send(build_packet(port, token=token, sequence=SEQUENCE + 11, acknowledged=50))
        harness.wait(20)
        for at_ms, repeated in [entry for entry in due if entry[0] <= harness.now_ms]:
            harness.send(
                build_packet(repeated, token=harness.encode_token("flaky"), payload_size_bytes=10)
            )
            due.remove((at_ms, repeated))
    assert placed["flaky"] <= 50


def test_data_centre_lacks_upstreams_while_it_is_evacuated() -> None:
    """Guards against an instance that reports ready although it can only refuse flows.

    The data centre is evacuated while callers are still sent there. The result must not depend on
    new opening packets.
    """
    harness = ForwarderHarness(build_upstream("near"), build_upstream("far", data_centre="west"))
    _place(harness, 4)
    harness.local_availability.update(harness.now_ms)
    assert not harness.local_availability.lacks_upstreams
    harness.state.set_evacuated("east", True)
    harness.local_availability.update(harness.now_ms)
    assert harness.local_availability.lacks_upstreams
    harness.state.set_evacuated("east", False)
    harness.local_availability.update(harness.now_ms)
    assert not harness.local_availability.lacks_upstreams


def test_new_instance_in_an_evacuated_data_centre_lacks_upstreams_before_the_first_flow() -> None:
    """Guards against an instance that has to refuse flows before it detects the situation."""
    harness = ForwarderHarness(build_upstream("near"), build_upstream("far", data_centre="west"))
    harness.local_availability.update(harness.now_ms)
    assert not harness.local_availability.lacks_upstreams
    harness.state.set_evacuated("east", True)
    harness.local_availability.update(harness.now_ms)
    assert harness.local_availability.lacks_upstreams


def test_rarely_used_service_without_a_local_upstream_is_ignored() -> None:
    """Guards against moving all flows because a rarely used service has no local upstream."""
    harness = ForwarderHarness(
        build_upstream("near"), build_upstream("far", data_centre="west", service="pages")
    )
    for service, count in (("orders", 9), ("pages", 1)):
        for _ in range(count):
            harness.local_availability.record_opening(service)
    harness.local_availability.update(harness.now_ms)
    assert not harness.local_availability.lacks_upstreams
