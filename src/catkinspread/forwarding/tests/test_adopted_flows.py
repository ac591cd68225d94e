"""Flows whose packets reach an instance that did not open them."""

import json

from catkinspread.deployment import KnownUpstream
from catkinspread.forwarding import CallerPacket, FlowKey, HandedOverFlow, TokenStage
from catkinspread.forwarding.flow_tokens import decode_stage
from catkinspread.forwarding.flows import SEQUENCE_TOLERANCE_BYTES
from catkinspread.forwarding.held_packets import HELD_PACKETS_MAX, HOLD_MS, HOLD_UNPROVEN_MS
from catkinspread.forwarding.tests.builders import (
    SEQUENCE,
    ForwarderHarness,
    build_opening_packet,
    build_packet,
    build_upstream,
)

HOSTS = ("10.0.0.2", "10.0.0.3")
UPSTREAMS = (build_upstream("a"), build_upstream("b"))


class _RecordingPeers:
    """Other instances that get announcements; the test answers for them."""

    def __init__(self) -> None:
        self.announced: list[CallerPacket] = []
        self.remembered: list[tuple[FlowKey, str]] = []
        self.handed_over: list[HandedOverFlow] = []

    def list_handed_over(self) -> list[tuple[FlowKey, str, bool]]:
        return [(f.key, f.upstream.record.name, f.is_open_here) for f in self.handed_over]

    def announce(self, packet: CallerPacket, needs_answers: bool) -> frozenset[str]:
        self.announced.append(packet)
        return frozenset(HOSTS)

    def is_uncontested(self, key: FlowKey, ignorant: frozenset[str], age_ms: int) -> bool:
        return ignorant.issuperset(HOSTS)

    def remember(self, key: FlowKey, sequence: int, upstream: KnownUpstream, age_ms: int) -> None:
        self.remembered.append((key, upstream.record.name))

    def hand_over(self, flows: list[HandedOverFlow]) -> None:
        self.handed_over = flows


def _build_harness() -> tuple[ForwarderHarness, _RecordingPeers]:
    peers = _RecordingPeers()
    return ForwarderHarness(*UPSTREAMS, peers=peers), peers


def _find(harness: ForwarderHarness, name: str) -> KnownUpstream:
    return next(k for k in harness.state.list_upstreams() if k.record.name == name)


def _encode(harness: ForwarderHarness, name: str, stage: TokenStage) -> int:
    return harness.encode_token(name, stage)


def _build_key() -> FlowKey:
    return build_packet().key


def test_end_of_a_handshake_at_another_instance_ends_the_retries() -> None:
    """Guards against repeats of the opening packet of an open flow.

    Their answers change the token of the caller, and the next instance follows it.
    """
    harness, _ = _build_harness()
    harness.send(build_opening_packet())
    first = harness.list_targets()[0]
    token = _encode(harness, first, TokenStage.FIRST_ATTEMPT)
    harness.adoption.record_opened_elsewhere(_build_key(), SEQUENCE + 1, 1, token, harness.now_ms)
    harness.wait(1_000)
    harness.send(build_packet(token=0, payload_size_bytes=10))
    assert harness.list_targets() == [first, first]
    assert harness.loads.list_in_flight() == {first: 1}


def test_announcement_of_an_earlier_flow_does_not_end_the_retries() -> None:
    """Guards against an opening packet that is not repeated because its port was used before."""
    harness, _ = _build_harness()
    harness.send(build_opening_packet())
    token = _encode(harness, "a", TokenStage.FIRST_ATTEMPT)
    harness.adoption.record_opened_elsewhere(
        _build_key(), SEQUENCE + 1_000_000, 1, token, harness.now_ms
    )
    harness.wait(150)
    assert sorted(harness.list_targets()) == ["a", "b"]


def test_tokens_tell_whether_the_flow_is_open() -> None:
    """Guards against an instance that cannot tell a late answer from one of the open flow."""
    harness, _ = _build_harness()
    harness.send(build_opening_packet())
    harness.wait(150)
    first, second = harness.list_targets()
    harness.send(build_packet(token=harness.output.tokens[1]))
    assert harness.list_targets() == [first, second, second]
    assert [decode_stage(token) for token in harness.output.tokens] == [
        TokenStage.FIRST_ATTEMPT,
        TokenStage.REPEATED_ATTEMPT,
        TokenStage.OPEN,
    ]


def test_copy_of_an_opening_packet_that_another_instance_sent_counts_as_a_repeat() -> None:
    """Guards against trusting the late answer to the copy when the first answer opened the flow."""
    harness, peers = _build_harness()
    harness.send(build_opening_packet(copy=1))
    assert decode_stage(harness.output.tokens[0]) is TokenStage.REPEATED_ATTEMPT
    harness.send(build_packet(token=harness.output.tokens[0]))
    assert len(peers.announced) == 1


def test_flow_with_the_token_of_a_repeat_goes_where_another_instance_knows_it() -> None:
    """Guards against packets of an open flow at the upstream that answered a repeat too late."""
    harness, peers = _build_harness()
    token = _encode(harness, "b", TokenStage.REPEATED_ATTEMPT)
    packets = [
        build_packet(token=token, payload_size_bytes=10),
        build_packet(token=token, sequence=SEQUENCE + 11, payload_size_bytes=10),
    ]
    for packet in packets:
        harness.send(packet)
    assert harness.list_targets() == []
    harness.adoption.record_flow_upstream(
        _build_key(), SEQUENCE + 1, harness.find_token("a"), harness.now_ms
    )
    assert harness.output.forwarded == [(packet, "a") for packet in packets]
    assert peers.announced == packets[:1]
    harness.wait(HOLD_MS)
    assert len(harness.list_targets()) == 2
    assert harness.forwarder.counts["corrected"] == 1


def test_flow_that_no_other_instance_knows_follows_its_token() -> None:
    """Guards against flows that stop because the instance that knew them was killed."""
    harness, _ = _build_harness()
    token = _encode(harness, "b", TokenStage.REPEATED_ATTEMPT)
    harness.send(build_packet(token=token, payload_size_bytes=10))
    harness.wait(HOLD_MS)
    assert harness.list_targets() == ["b"]


def test_flow_of_an_instance_without_peers_is_not_delayed() -> None:
    """Guards against a wait for answers that nobody can give."""
    harness = ForwarderHarness(*UPSTREAMS)
    token = _encode(harness, "b", TokenStage.REPEATED_ATTEMPT)
    harness.send(build_packet(token=token, payload_size_bytes=10))
    assert harness.list_targets() == ["b"]


def test_end_of_a_handshake_is_announced_and_waits_for_the_answers_only() -> None:
    """Guards against retries at the instance that got the opening packet, and against slow opens.

    The request that follows it keeps its place.
    """
    harness, peers = _build_harness()
    token = _encode(harness, "b", TokenStage.FIRST_ATTEMPT)
    packets = [build_packet(token=token), build_packet(token=token, payload_size_bytes=10)]
    for packet in packets:
        harness.send(packet)
    assert peers.announced == packets[:1]
    harness.adoption.record_flow_unknown(_build_key(), HOSTS[0], harness.now_ms)
    assert harness.list_targets() == []
    harness.adoption.record_flow_unknown(_build_key(), HOSTS[1], harness.now_ms)
    assert harness.output.forwarded == [(packet, "b") for packet in packets]
    assert peers.remembered == [(_build_key(), "b")]


def test_end_of_a_handshake_waits_no_longer_than_the_longest_hold() -> None:
    """Guards against slow opens while an instance that was killed still counts as one that answers."""
    harness, _ = _build_harness()
    harness.send(build_packet(token=_encode(harness, "b", TokenStage.FIRST_ATTEMPT)))
    harness.wait(HOLD_MS)
    assert harness.list_targets() == ["b"]


def test_acknowledgement_of_a_late_answer_goes_where_the_flow_is_open() -> None:
    """Guards against a packet without data that looks like the end of a handshake but is not.

    The first upstream answered after another one had opened the flow; the caller acknowledges that
    answer as well, and its packet reaches an instance that does not know the flow.
    """
    harness, _ = _build_harness()
    harness.send(build_packet(token=_encode(harness, "b", TokenStage.FIRST_ATTEMPT)))
    harness.adoption.record_flow_upstream(
        _build_key(), SEQUENCE + 1, harness.find_token("a"), harness.now_ms
    )
    assert harness.list_targets() == ["a"]


def test_close_with_the_token_of_a_late_answer_goes_where_the_flow_is_open() -> None:
    """Guards against a flow that is reset while its caller closes it."""
    harness, _ = _build_harness()
    token = _encode(harness, "b", TokenStage.FIRST_ATTEMPT)
    harness.send(build_packet(token=token, is_close=True))
    harness.adoption.record_flow_upstream(
        _build_key(), SEQUENCE + 1, harness.find_token("a"), harness.now_ms
    )
    assert harness.list_targets() == ["a"]


def test_flow_whose_handshake_ended_elsewhere_goes_where_another_instance_tells() -> None:
    """Guards against trusting a late token at the instance that sent the opening packet once."""
    harness, _ = _build_harness()
    harness.send(build_opening_packet())
    (first,) = harness.list_targets()
    other = "b" if first == "a" else "a"
    harness.adoption.record_flow_upstream(
        _build_key(), SEQUENCE + 1, harness.find_token(first), harness.now_ms
    )
    harness.wait(500)
    assert harness.list_targets() == [first]
    token = _encode(harness, other, TokenStage.REPEATED_ATTEMPT)
    harness.send(build_packet(token=token, payload_size_bytes=10))
    assert harness.list_targets() == [first, first]


def test_known_flow_is_announced_with_the_upstream_that_holds_it() -> None:
    """Guards against an announcement that settles a handshake elsewhere on a late answer."""
    harness, peers = _build_harness()
    harness.adoption.record_flow_upstream(
        _build_key(), SEQUENCE + 1, harness.find_token("a"), harness.now_ms
    )
    token = _encode(harness, "b", TokenStage.REPEATED_ATTEMPT)
    harness.send(build_packet(token=token, payload_size_bytes=10))
    (announced,) = peers.announced
    assert announced.token == _encode(harness, "a", TokenStage.REPEATED_ATTEMPT)


def test_moved_flow_that_is_open_is_neither_announced_nor_delayed() -> None:
    """Guards against messages in proportion to the open flows when the routers change."""
    harness, peers = _build_harness()
    token = _encode(harness, "b", TokenStage.OPEN)
    harness.send(build_packet(token=token, payload_size_bytes=10))
    assert harness.list_targets() == ["b"]
    assert peers.announced == []


def test_copy_of_the_opening_packet_of_a_held_flow_is_dropped() -> None:
    """Guards against a second flow at another upstream while the first one is looked up."""
    harness, _ = _build_harness()
    token = _encode(harness, "b", TokenStage.REPEATED_ATTEMPT)
    harness.send(build_packet(token=token, payload_size_bytes=10))
    harness.send(build_opening_packet(copy=1))
    harness.wait(HOLD_MS)
    assert harness.list_targets() == ["b"]
    assert harness.forwarder.counts["late_copy"] == 1


def test_held_packets_are_limited() -> None:
    """Guards against memory that grows with packets of unknown flows."""
    harness, _ = _build_harness()
    token = _encode(harness, "b", TokenStage.REPEATED_ATTEMPT)
    for number in range(HELD_PACKETS_MAX + 1):
        harness.send(build_packet(number + 1, token=token, payload_size_bytes=10))
    assert harness.forwarder.counts["dropped_too_many_held"] == 1
    harness.wait(HOLD_MS)
    assert len(harness.list_targets()) == HELD_PACKETS_MAX


def test_tells_only_the_upstream_of_the_same_open_flow() -> None:
    """Guards against an answer about an earlier flow of the same ports, or about a closed one."""
    harness, _ = _build_harness()
    find = harness.adoption.find_open_flow
    harness.send(build_opening_packet())
    assert find(_build_key(), SEQUENCE + 1) is None
    first = harness.list_targets()[0]
    harness.send(build_packet(token=harness.encode_token(first)))
    assert find(_build_key(), SEQUENCE + 1) is _find(harness, first)
    assert find(_build_key(), SEQUENCE + 2 + SEQUENCE_TOLERANCE_BYTES) is None
    harness.send(build_packet(token=harness.encode_token(first), is_close=True))
    assert find(_build_key(), SEQUENCE + 1) is None


def test_leaving_instance_leaves_retries_to_the_callers() -> None:
    """Guards against repeats of opening packets whose handshake ends at another instance.

    The caller's own copy still goes to another upstream.
    """
    harness, _ = _build_harness()
    harness.send(build_opening_packet())
    harness.forwarder.begin_leaving(harness.now_ms)
    harness.wait(190)
    assert len(harness.list_targets()) == 1
    harness.send(build_opening_packet(copy=1))
    assert sorted(harness.list_targets()) == ["a", "b"]


def test_packets_are_released_once_no_instance_knows_the_flow() -> None:
    """Guards against a full wait for each moved flow of a caller that never changes its token."""
    harness, _ = _build_harness()
    token = _encode(harness, "b", TokenStage.FIRST_ATTEMPT)
    harness.send(build_packet(token=token, payload_size_bytes=10))
    harness.adoption.record_flow_unknown(_build_key(), HOSTS[0], harness.now_ms)
    assert harness.list_targets() == []
    harness.adoption.record_flow_unknown(_build_key(), HOSTS[1], harness.now_ms)
    assert harness.list_targets() == ["b"]


def test_answer_of_an_instance_that_is_not_awaited_does_not_stand_for_another_one() -> None:
    """Guards against a restarted instance whose answer ends the wait for the one that knows."""
    harness, _ = _build_harness()
    token = _encode(harness, "b", TokenStage.REPEATED_ATTEMPT)
    harness.send(build_packet(token=token, payload_size_bytes=10))
    for host in (HOSTS[0], HOSTS[0], "10.0.0.9"):
        harness.adoption.record_flow_unknown(_build_key(), host, harness.now_ms)
    assert harness.list_targets() == []
    harness.adoption.record_flow_upstream(
        _build_key(), SEQUENCE + 1, harness.find_token("a"), harness.now_ms
    )
    assert harness.list_targets() == ["a"]


def test_remembers_a_flow_for_the_instance_that_held_it() -> None:
    """Guards against following a wrong token after the instance that knew better was killed."""
    harness, _ = _build_harness()
    harness.adoption.record_flow_upstream(
        _build_key(), SEQUENCE + 1, harness.find_token("a"), harness.now_ms
    )
    token = _encode(harness, "b", TokenStage.REPEATED_ATTEMPT)
    harness.send(build_packet(token=token, payload_size_bytes=10))
    assert harness.list_targets() == ["a"]


def test_contested_flows_are_told_to_others_at_once_and_before_a_stop() -> None:
    """Guards against a kill or a stop of the only instance that knows where such a flow is open."""
    harness, peers = _build_harness()
    harness.send(build_opening_packet())
    harness.wait(150)
    first, second = harness.list_targets()
    harness.send(build_packet(token=harness.output.tokens[0]))
    assert peers.remembered == [(_build_key(), first)]
    harness.forwarder.begin_leaving(harness.now_ms)
    assert peers.list_handed_over() == [(_build_key(), first, True)]


def test_flows_of_this_instance_are_handed_over_first_and_the_newest_before() -> None:
    """Guards against a limit that leaves out open flows and tells those that have ended long ago."""
    harness, peers = _build_harness()
    for port in (4_001, 4_002):
        key = build_packet(port).key
        harness.adoption.record_flow_upstream(
            key, SEQUENCE, harness.find_token("a"), harness.now_ms
        )
        harness.clock.advance(1_000)
    for port in (4_003, 4_004):
        harness.send(build_opening_packet(port))
        harness.wait(150)
        harness.send(build_packet(port, token=harness.output.tokens[-1]))
    harness.forwarder.begin_leaving(harness.now_ms)
    ports = [flow.key.caller_port for flow in peers.handed_over]
    assert ports == [4_004, 4_003, 4_002, 4_001]


def test_ordinary_flows_are_told_to_nobody() -> None:
    """Guards against a record of each flow at other instances."""
    harness, peers = _build_harness()
    harness.send(build_opening_packet())
    harness.send(build_packet(token=harness.output.tokens[0], payload_size_bytes=10))
    harness.forwarder.begin_leaving(harness.now_ms)
    assert (peers.announced, peers.remembered, peers.handed_over) == ([], [], [])


def test_question_about_a_flow_ends_the_retries_but_tells_no_upstream() -> None:
    """Guards against an answer with the wrong token that another instance asked about."""
    harness, _ = _build_harness()
    harness.send(build_opening_packet())
    harness.adoption.record_opened_elsewhere(
        _build_key(),
        SEQUENCE + 1,
        1,
        _encode(harness, "b", TokenStage.REPEATED_ATTEMPT),
        harness.now_ms,
        is_certain=False,
    )
    harness.wait(500)
    assert len(harness.list_targets()) == 1
    assert harness.adoption.find_open_flow(_build_key(), SEQUENCE + 1) is None


def test_flow_is_remembered_for_its_longest_life_only() -> None:
    """Guards against a record that instances pass on to each other for ever at their stops."""
    harness, peers = _build_harness()
    harness.adoption.record_flow_upstream(
        _build_key(), SEQUENCE, harness.find_token("a"), harness.now_ms, age_ms=40_000
    )
    harness.clock.advance(19_000)
    harness.forwarder.expire_flows(harness.now_ms)
    harness.forwarder.begin_leaving(harness.now_ms)
    assert peers.list_handed_over() == [(_build_key(), "a", False)]
    harness.clock.advance(1_000)
    harness.forwarder.expire_flows(harness.now_ms)
    assert harness.adoption.find_open_flow(_build_key(), SEQUENCE) is None


def test_flow_that_returns_before_its_handshake_expires_here_is_asked_about() -> None:
    """Guards against a late token in the first packet here of a flow that opened elsewhere.

    The announcement of the other instance was lost.
    """
    harness, _ = _build_harness()
    harness.send(build_opening_packet())
    harness.wait(150)
    first, second = harness.list_targets()
    harness.send(build_packet(token=harness.output.tokens[1], payload_size_bytes=10))
    assert harness.list_targets() == [first, second]
    harness.adoption.record_flow_upstream(
        _build_key(), SEQUENCE + 1, harness.find_token(first), harness.now_ms
    )
    assert harness.list_targets() == [first, second, first]
    assert harness.loads.list_in_flight() == {first: 1}


def test_others_are_asked_once_about_a_flow_whose_end_of_handshake_was_lost() -> None:
    """Guards against packets that wait while the others are asked again after each answer.

    The questions used up the budget for messages about flows, so that other flows followed tokens
    of late answers and were reset.
    """
    harness, peers = _build_harness()
    harness.send(build_opening_packet())
    harness.wait(150)
    first, second = harness.list_targets()
    data = build_packet(token=harness.output.tokens[1], payload_size_bytes=10)
    harness.send(data)
    for host in HOSTS:
        harness.adoption.record_flow_unknown(_build_key(), host, harness.now_ms)
    assert harness.list_targets() == [first, second, second]
    assert peers.announced == [data]


def test_log_and_counters_tell_what_an_adoption_is_based_on() -> None:
    """Guards against resets after a restart whose cause no log or metric tells from others."""
    harness, _ = _build_harness()
    attempt = _encode(harness, "b", TokenStage.REPEATED_ATTEMPT)
    key = {port: build_packet(port).key for port in range(1, 6)}
    harness.send(build_packet(1, token=_encode(harness, "b", TokenStage.OPEN)))
    for port in (2, 3, 4):
        harness.send(build_packet(port, token=attempt))
    location = (SEQUENCE + 1, harness.find_token("a"), harness.now_ms)
    harness.adoption.record_flow_upstream(key[2], *location)
    for host in HOSTS:
        harness.adoption.record_flow_unknown(key[3], host, harness.now_ms)
    harness.wait(HOLD_MS)
    harness.adoption.record_flow_upstream(key[5], *location)
    harness.send(build_packet(5, token=attempt))
    alone = ForwarderHarness(*UPSTREAMS)
    alone.send(build_packet(token=attempt))
    bases = [
        json.loads(line)["basis"]
        for found in (harness, alone)
        for line in found.lines.lines
        if b'"flow_adopted"' in line
    ]
    expected = ["open_token", "told", "known_to_none", "answers_missing", "remembered", "not_asked"]
    assert bases == expected
    counts = harness.forwarder.counts + alone.forwarder.counts
    assert {name: counts[f"adopted_{name}"] for name in expected} == dict.fromkeys(expected, 1)


def test_old_token_of_a_flow_that_nobody_knows_is_not_followed() -> None:
    """Guards against open flows that an upstream resets after all that knew them were killed.

    The first upstream had answered after another one had opened the flow. Its token, which the caller
    returns since then, is older than any handshake. The flow continues once an instance tells it.
    """
    for stage in (TokenStage.FIRST_ATTEMPT, TokenStage.REPEATED_ATTEMPT):
        harness, peers = _build_harness()
        token = harness.encode_token("b", stage)
        harness.clock.advance(5_000)
        packet = build_packet(token=token, payload_size_bytes=10)
        harness.send(packet)
        for host in HOSTS:
            harness.adoption.record_flow_unknown(_build_key(), host, harness.now_ms, 1_000)
        assert harness.list_targets() == []
        harness.send(packet)
        harness.wait(HOLD_UNPROVEN_MS)
        assert harness.list_targets() == []
        assert harness.forwarder.counts["dropped_unknown_flow"] == 2
        harness.send(packet)
        harness.adoption.record_flow_upstream(
            _build_key(), SEQUENCE + 1, harness.find_token("a"), harness.now_ms
        )
        assert harness.list_targets() == ["a"]
        assert len(peers.announced) == 3


def test_old_token_is_followed_if_those_that_would_know_better_do_not() -> None:
    """Guards against silence for callers that return the token of the answer that opened the flow."""
    harness, _ = _build_harness()
    token = harness.encode_token("b")
    harness.clock.advance(5_000)
    harness.send(build_packet(token=token, payload_size_bytes=10))
    for host in HOSTS:
        harness.adoption.record_flow_unknown(_build_key(), host, harness.now_ms, 6_000)
    assert harness.list_targets() == ["b"]


def test_instance_without_others_does_not_follow_an_old_token() -> None:
    """Guards against resets by an instance that has just started and knows no other one."""
    harness = ForwarderHarness(*UPSTREAMS)
    token = harness.encode_token("b")
    harness.clock.advance(5_000)
    harness.send(build_packet(token=token, payload_size_bytes=10))
    assert harness.list_targets() == []


def test_only_attempt_of_an_opening_packet_is_told() -> None:
    """Guards against a handshake that ends at another instance whose clock is wrong.

    That one takes the token for old and needs the answer of the instance that opened the flow.
    """
    harness, _ = _build_harness()
    find = harness.adoption.find_only_attempt
    harness.send(build_opening_packet())
    assert find(_build_key(), SEQUENCE + 1) is _find(harness, harness.list_targets()[0])
    harness.wait(150)
    assert len(harness.list_targets()) == 2
    assert find(_build_key(), SEQUENCE + 1) is None
    harness.send(build_opening_packet(5, copy=1))
    assert find(build_packet(5).key, SEQUENCE + 1) is None


def test_flow_whose_caller_returns_another_token_is_told_to_others() -> None:
    """Guards against a flow that is known only here although its token leads to another upstream."""
    harness, peers = _build_harness()
    harness.send(build_opening_packet())
    (first,) = harness.list_targets()
    other = "b" if first == "a" else "a"
    harness.send(build_packet(token=harness.output.tokens[0]))
    harness.send(build_packet(token=harness.encode_token(other), payload_size_bytes=10))
    assert peers.remembered == [(_build_key(), first)]
    assert harness.list_targets() == [first, first, first]


def test_answered_flow_with_the_token_of_its_attempt_is_handed_over() -> None:
    """Guards against silence after a planned stop for callers that never change their token."""
    harness, peers = _build_harness()
    harness.send(build_opening_packet())
    token = harness.output.tokens[0]
    harness.send(build_packet(token=token, payload_size_bytes=10))
    harness.send(build_packet(token=token, sequence=SEQUENCE + 11, acknowledged=101))
    harness.forwarder.begin_leaving(harness.now_ms)
    (handed_over,) = peers.handed_over
    assert (handed_over.is_open_here, handed_over.is_contested) == (True, False)


def test_flow_that_is_answered_during_a_stop_is_handed_over_later() -> None:
    """Guards against a flow of such a caller that opens after the others were told."""
    harness, peers = _build_harness()
    harness.forwarder.begin_leaving(harness.now_ms)
    harness.send(build_opening_packet())
    token = harness.output.tokens[0]
    harness.send(build_packet(token=token, payload_size_bytes=10))
    assert peers.handed_over == []
    for acknowledged in (101, 201):
        harness.send(build_packet(token=token, sequence=SEQUENCE + 11, acknowledged=acknowledged))
        assert len(peers.handed_over) == 1


def test_kept_flow_that_is_not_contested_is_passed_on_while_it_may_be_idle() -> None:
    """Guards against messages of a stop that grow with flows which have long come back."""
    harness, peers = _build_harness()
    for port, age_ms in ((1, 0), (2, 20_000)):
        harness.adoption.record_flow_upstream(
            build_packet(port).key,
            SEQUENCE,
            harness.find_token("a"),
            harness.now_ms,
            age_ms,
            is_contested=False,
        )
    harness.forwarder.begin_leaving(harness.now_ms)
    assert [flow.key.caller_port for flow in peers.handed_over] == [1]


def test_wait_of_a_flow_does_not_end_with_that_of_its_earlier_packets() -> None:
    """Guards against a second wait that is cut short by the end of the first one."""
    harness, _ = _build_harness()
    token = harness.encode_token("b")
    harness.clock.advance(5_000)
    packet = build_packet(token=token, payload_size_bytes=10)
    harness.send(packet)
    harness.wait(HOLD_UNPROVEN_MS - 20)
    for host in HOSTS:
        harness.adoption.record_flow_unknown(_build_key(), host, harness.now_ms)
    harness.send(packet)
    harness.wait(20)
    assert harness.adoption.is_holding(_build_key())
