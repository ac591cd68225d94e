"""What an instance tells others before a planned stop."""

import collections
import random

from catkinspread.deployment import KnownUpstream
from catkinspread.forwarding import HandedOverFlow
from catkinspread.forwarding.tests.builders import SEQUENCE, build_packet, build_upstream
from catkinspread.peers import FlowLocation, Hello, Member, MemberStatus, PeerDirectory
from catkinspread.runtime.flow_handover import (
    MESSAGES_MAX,
    MESSAGES_PER_STEP,
    RECIPIENTS_OF_OPEN,
    FlowHandover,
)

PEERS = 5


class _RecordingExchange:
    def __init__(self) -> None:
        self.sent: list[tuple[int, str]] = []

    def send_report(self, report: FlowLocation, hosts: list[str]) -> None:
        self.sent.extend((report.caller_port, host) for host in hosts)


def _build_directory(peers: int) -> PeerDirectory:
    """Returns a directory with other instances, of which the first one leaves."""
    directory = PeerDirectory(Member("one", "east", "10.0.0.1", 1), random.Random(1))
    for number in range(peers):
        member = Member(f"peer-{number}", "east", f"10.0.1.{number}", 1)
        directory.apply_message(Hello(MemberStatus(member, None, True, number == 0, 0), 0), 0)
    return directory


def _build(
    peers: int = PEERS, directory: PeerDirectory | None = None
) -> tuple[FlowHandover, _RecordingExchange]:
    directory = directory or _build_directory(peers)
    exchange = _RecordingExchange()
    return FlowHandover(directory, exchange, random.Random(1)), exchange  # type: ignore[arg-type]


def _build_flow(port: int, is_open_here: bool = True) -> HandedOverFlow:
    upstream = KnownUpstream(build_upstream("a"), 0)
    return HandedOverFlow(build_packet(port).key, SEQUENCE, upstream, 0, is_open_here)


def test_messages_are_sent_in_steps() -> None:
    """Guards against messages that are lost because they overflow the socket of a receiver."""
    handover, exchange = _build()
    handover.start(_build_flow(port) for port in range(100))
    handover.send_due(0)
    assert len(exchange.sent) == MESSAGES_PER_STEP
    for _ in range(10):
        handover.send_due(0)
    assert len(exchange.sent) == handover.sent_count == 100 * RECIPIENTS_OF_OPEN


def test_open_flow_is_told_to_two_instances_that_stay_and_a_kept_one_to_one() -> None:
    """Guards against a flow that is forgotten with one more stop, and against needless copies."""
    handover, exchange = _build()
    handover.start([_build_flow(1), _build_flow(2, is_open_here=False)])
    handover.send_due(0)
    hosts = collections.defaultdict(set)
    for port, host in exchange.sent:
        hosts[port].add(host)
    assert [len(hosts[1]), len(hosts[2])] == [2, 1]
    assert not any("10.0.1.0" in found for found in hosts.values())


def test_messages_of_a_stop_are_limited_and_the_first_flows_are_told() -> None:
    """Guards against control traffic in proportion to the flows, and a limit that drops new flows."""
    handover, exchange = _build()
    count = MESSAGES_MAX // RECIPIENTS_OF_OPEN
    handover.start(_build_flow(port) for port in range(count + 10))
    for _ in range(count):
        handover.send_due(0)
    assert {port for port, _ in exchange.sent} == set(range(count))
    assert handover.withheld_count == 10 * RECIPIENTS_OF_OPEN


def test_messages_without_an_instance_that_stays_are_counted() -> None:
    """Guards against flows that are dropped without a trace when all instances stop at once."""
    handover, exchange = _build(peers=1)
    handover.start([_build_flow(1)])
    handover.send_due(0)
    assert exchange.sent == []
    assert handover.withheld_count == RECIPIENTS_OF_OPEN


def test_flows_are_told_to_an_instance_that_starts_again_during_the_stop() -> None:
    """Guards against open flows that are reset after both instances of a data centre restarted.

    The first one had just left when the second one was stopped, and was back before that one ended.
    """
    directory = _build_directory(peers=1)
    handover, exchange = _build(directory=directory)
    handover.start([_build_flow(1)])
    handover.send_due(0)
    started = Member("peer-0", "east", "10.0.1.0", 1_000)
    directory.apply_message(Hello(MemberStatus(started, None, False, False, 0), 0), 1_000)
    handover.send_due(1_000)
    assert set(exchange.sent) == {(1, "10.0.1.0")}
    assert handover.withheld_count == 0
