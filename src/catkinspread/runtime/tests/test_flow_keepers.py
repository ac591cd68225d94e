"""Instances that keep contested flows."""

import random

import pytest

from catkinspread.clock import ManualClock
from catkinspread.deployment import KnownUpstream
from catkinspread.forwarding.tests.builders import SEQUENCE, build_packet, build_upstream
from catkinspread.peers import FlowLocation, Hello, Member, MemberStatus, PeerDirectory
from catkinspread.peers.directory import MEMBER_TIMEOUT_MS
from catkinspread.runtime.flow_announcer import FlowAnnouncer
from catkinspread.runtime.flow_keepers import REMOTE_COPIES, FlowKeepers

START_MS = 1_000_000
FLOWS = 40


class _RecordingExchange:
    def __init__(self) -> None:
        self.hosts: list[str] = []

    def send_report(self, report: FlowLocation, hosts: list[str]) -> None:
        self.hosts.extend(hosts)


def _build_members(data_centres: int, instances: int) -> list[Member]:
    return [
        Member(f"n-{number}-{k}", f"dc-{number}", f"10.0.{number}.{k}", START_MS)
        for number in range(data_centres)
        for k in range(instances)
    ]


def _build_directory(member: Member, members: list[Member], leaving: str = "") -> PeerDirectory:
    directory = PeerDirectory(member, random.Random(1))
    for other in members:
        status = MemberStatus(other, None, True, other.name == leaving, 0)
        directory.apply_message(Hello(status, 0), START_MS)
    return directory


@pytest.mark.parametrize(("data_centres", "instances"), [(2, 2), (3, 3), (8, 10)])
def test_instances_of_all_data_centres_ask_one_that_keeps_the_flow(
    data_centres: int, instances: int
) -> None:
    """Guards against a flow that is known but not found after its data centre is lost.

    Its caller may also have moved to another data centre.
    """
    members = _build_members(data_centres, instances)
    for home in members[::instances]:
        keepers = FlowKeepers(_build_directory(home, members))
        for port in range(FLOWS):
            key = build_packet(port).key
            told = set(keepers.choose_remote_to_tell(key, START_MS))
            assert len(told) == REMOTE_COPIES
            for asking in members[1::instances]:
                directory = _build_directory(asking, members)
                asked = set(FlowKeepers(directory).choose_remote_to_ask(key, START_MS))
                local = {member.host for member in directory.list_local_peers()}
                assert told & (asked | local | {asking.host})


def test_keeper_that_stops_tells_one_that_is_asked_then() -> None:
    """Guards against a copy that is handed to an instance which nobody of another data centre asks."""
    members = _build_members(2, 5)
    home = _build_directory(members[0], members)
    for port in range(FLOWS):
        key = build_packet(port).key
        keeper_host = FlowKeepers(home).choose_remote_to_tell(key, START_MS)[0]
        keeper = next(member for member in members if member.host == keeper_host)
        successor = FlowKeepers(_build_directory(keeper, members)).choose_successor(key)
        asked = FlowKeepers(home).choose_remote_to_ask(key, START_MS)
        assert successor in asked


def test_leaving_instances_are_asked_but_not_told() -> None:
    """Guards against a copy that ends with its keeper, and one that is not asked for in time."""
    members = _build_members(2, 3)
    directory = _build_directory(members[0], members, leaving="n-1-0")
    keepers = FlowKeepers(directory)
    keys = [build_packet(port).key for port in range(FLOWS)]
    told = {host for key in keys for host in keepers.choose_remote_to_tell(key, START_MS)}
    asked = {host for key in keys for host in keepers.choose_remote_to_ask(key, START_MS)}
    assert told == {"10.0.1.1", "10.0.1.2"}
    assert asked == {"10.0.1.0", "10.0.1.1", "10.0.1.2"}


def _build_announcer(
    members: list[Member], now_ms: int
) -> tuple[FlowAnnouncer, PeerDirectory, ManualClock, _RecordingExchange]:
    directory = _build_directory(members[0], members)
    exchange, clock = _RecordingExchange(), ManualClock(now_ms)
    announcer = FlowAnnouncer(directory, exchange, clock, random.Random(1))  # type: ignore[arg-type]
    return announcer, directory, clock, exchange


def test_contested_flow_is_told_to_other_data_centres() -> None:
    """Guards against contested flows that nobody knows after their data centre is lost."""
    members = _build_members(3, 3)
    announcer, _, _, exchange = _build_announcer(members, START_MS)
    upstream = KnownUpstream(build_upstream("a"), 0)
    announcer.remember(build_packet().key, SEQUENCE, upstream, age_ms=0)
    assert {host.split(".")[2] for host in exchange.hosts} == {"0", "1", "2"}


@pytest.mark.parametrize(
    ("instances", "ignorant", "age_ms", "is_uncontested"),
    [
        # All others have restarted since; this one would hold the flow if it were contested.
        (2, 0, 5_000, True),
        # This one and all others have restarted since.
        (2, 0, 60_000, False),
        # Three of five may hold the flow: two of the others, or this one and two others.
        (5, 1, 5_000, False),
        (5, 2, 5_000, True),
    ],
)
def test_flow_is_uncontested_only_if_one_that_would_know_is_still_there(
    instances: int, ignorant: int, age_ms: int, is_uncontested: bool
) -> None:
    """Guards against answers of restarted instances that are taken for knowledge."""
    members = _build_members(1, instances)
    announcer, _, _, _ = _build_announcer(members, START_MS + 30_000)
    hosts = frozenset(member.host for member in members[1 : 1 + ignorant])
    assert announcer.is_uncontested(build_packet().key, hosts, age_ms) is is_uncontested


def test_lost_instances_count_among_those_that_may_have_known() -> None:
    """Guards against a wrong conclusion once the killed instances are removed from the directory."""
    members = _build_members(1, 4)
    announcer, directory, clock, _ = _build_announcer(members, START_MS + 30_000)
    key = build_packet().key
    assert not announcer.is_uncontested(key, frozenset(), 5_000)
    clock.advance(2 * MEMBER_TIMEOUT_MS)
    directory.expire_members(clock.now_ms())
    assert directory.list_local_peers() == []
    assert not announcer.is_uncontested(key, frozenset(), 5_000)


def test_keepers_in_other_data_centres_prove_that_a_flow_is_not_contested() -> None:
    """Guards against silence after all instances of a data centre were killed."""
    members = _build_members(3, 2)
    announcer, directory, clock, _ = _build_announcer(members, START_MS)
    key = build_packet().key
    keepers = FlowKeepers(directory).choose_remote_to_tell(key, clock.now_ms())
    assert announcer.is_uncontested(key, frozenset(keepers), 5_000)
    assert not announcer.is_uncontested(key, frozenset(keepers[:1]), 5_000)
