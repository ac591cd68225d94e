"""Tests of membership gossip and the selection of feeders."""

import random

from catkinspread.peers import Hello, HelloReply, KnownMember, Member, MemberStatus, PeerDirectory
from catkinspread.peers.directory import REMOTE_EXCHANGES_PER_S, REMOTE_TIMEOUT_MS
from catkinspread.peers.member_lists import (
    NEWEST_MEMBERS_MAX,
    RANKED_MEMBERS_MAX,
    RECENT_MEMBERS_MAX,
    SAMPLE_MEMBERS_MAX,
)

INSTANCES = 60
GOSSIP_ROUNDS = 80
ROUND_MS = 900


def _status(member: Member) -> MemberStatus:
    return MemberStatus(member, None, True, False, 0)


class _Cluster:
    """Instances that exchange statuses with the feeders and one random peer in each round."""

    def __init__(self, count: int, data_centres: tuple[str, ...] = ("east",)) -> None:
        self.members = [
            Member(f"n{number}", data_centres[number % len(data_centres)], f"10.0.0.{number}", 1)
            for number in range(count)
        ]
        self.directories = {
            member.host: PeerDirectory(member, random.Random(number))
            for number, member in enumerate(self.members)
        }
        self.now_ms = 1_000_000
        self.listed_members = 0
        self.remote_exchanges = 0
        for member in self.members[1:]:
            self.exchange(member, self.members[0])

    def exchange(self, sender: Member, receiver: Member, is_gossip: bool = True) -> None:
        own, other = self.directories[sender.host], self.directories[receiver.host]
        sample = own.sample_members(self.now_ms) if is_gossip else ()
        hello = Hello(_status(sender), own.digest, sample)
        other.apply_message(hello, self.now_ms)
        members = other.list_members_for_reply(hello, self.now_ms)
        self.listed_members = max(self.listed_members, len(members))
        own.apply_message(HelloReply(_status(receiver), members), self.now_ms)

    def run_round(self, live: list[Member]) -> list[str]:
        lost = []
        self.now_ms += ROUND_MS
        for member in live:
            directory = self.directories[member.host]
            for feeder in directory.list_feeders_to_poll():
                if feeder in live:
                    self.exchange(member, feeder, is_gossip=False)
            partner = directory.choose_random_peer()
            if partner is not None and partner in live:
                self.exchange(member, partner)
                self.remote_exchanges += partner.data_centre != member.data_centre
        for member in live:
            lost.extend(self.directories[member.host].expire_members(self.now_ms))
        return lost


def test_live_instances_stay_known_to_all() -> None:
    """Guards against removing live instances that are only rarely contacted directly."""
    cluster = _Cluster(INSTANCES)
    lost = [name for _ in range(GOSSIP_ROUNDS) for name in cluster.run_round(cluster.members)]
    assert lost == []
    assert {cluster.directories[m.host].count_members() for m in cluster.members} == {INSTANCES}


def test_cost_of_membership_does_not_grow_with_the_number_of_instances() -> None:
    """Guards against feeders and links between data centres that are busy with membership.

    All instances stay known although few exchanges cross between data centres.
    """
    cluster = _Cluster(200, ("east", "west", "north", "south", "centre"))
    lost = [name for _ in range(GOSSIP_ROUNDS) for name in cluster.run_round(cluster.members)]
    assert lost == []
    assert {cluster.directories[m.host].count_members() for m in cluster.members} == {200}
    remote_per_s = cluster.remote_exchanges * 1_000 / (GOSSIP_ROUNDS * ROUND_MS)
    assert remote_per_s <= 1.2 * 5 * REMOTE_EXCHANGES_PER_S
    assert cluster.listed_members <= SAMPLE_MEMBERS_MAX + NEWEST_MEMBERS_MAX


def test_starting_instance_is_told_the_feeders_of_its_data_centre() -> None:
    """Guards against starting instances that all read the source because they know no feeder."""
    cluster = _Cluster(100, ("east", "west"))
    for _ in range(GOSSIP_ROUNDS):
        cluster.run_round(cluster.members)
    feeders = {
        m.name
        for m in cluster.members
        if m.data_centre == "east" and cluster.directories[m.host].is_feeder()
    }
    status = MemberStatus(Member("new", "east", "10.0.9.9", 1), None, False, False, 0)
    seed = next(m for m in cluster.members if m.data_centre == "west")
    reply = cluster.directories[seed.host].list_members_for_reply(Hello(status, 0), cluster.now_ms)
    assert feeders <= {known.member.name for known in reply}
    assert len(reply) <= RANKED_MEMBERS_MAX + RECENT_MEMBERS_MAX


def test_standby_feeders_are_polled_less_often() -> None:
    """Guards against the cost of statuses that nobody uses, and against polling only one feeder."""
    cluster = _Cluster(INSTANCES)
    for _ in range(GOSSIP_ROUNDS):
        cluster.run_round(cluster.members)
    directory = next(d for d in cluster.directories.values() if not d.is_feeder())
    feeders = directory.list_feeders_to_poll()
    fresh = MemberStatus(feeders[0], 10, True, False, 0)
    directory.apply_message(Hello(fresh, 0), cluster.now_ms)
    assert directory.select_feeder(None, cluster.now_ms) == feeders[0]
    assert directory.list_feeders_to_poll(include_standby=False) == [feeders[0]]
    assert directory.list_feeders_to_poll(include_standby=True) == feeders
    directory.select_feeder(None, cluster.now_ms + 10_000)
    assert directory.list_feeders_to_poll(include_standby=False) == feeders


def test_dead_instance_is_removed_by_all() -> None:
    """Guards against a dead instance that gossip keeps alive."""
    cluster = _Cluster(INSTANCES)
    for _ in range(GOSSIP_ROUNDS):
        cluster.run_round(cluster.members)
    live = cluster.members[1:]
    for _ in range(2 * GOSSIP_ROUNDS):
        cluster.run_round(live)
    assert {cluster.directories[m.host].count_members() for m in live} == {INSTANCES - 1}


def test_all_instances_choose_the_same_first_feeder() -> None:
    """Guards against too many instances of one data centre reading the source."""
    cluster = _Cluster(INSTANCES)
    for _ in range(GOSSIP_ROUNDS):
        cluster.run_round(cluster.members)
    firsts = [m for m in cluster.members if cluster.directories[m.host].is_first_feeder()]
    feeders = [m for m in cluster.members if cluster.directories[m.host].is_feeder()]
    assert (len(firsts), len(feeders)) == (1, 3)


def test_unresponsive_feeder_is_replaced() -> None:
    """Guards against a data centre where nothing reads the source because its feeders are gone."""
    cluster = _Cluster(5)
    for _ in range(GOSSIP_ROUNDS):
        cluster.run_round(cluster.members)
    last = next(m for m in cluster.members if not cluster.directories[m.host].is_feeder())
    for _ in range(8):
        cluster.run_round([last])
    assert cluster.directories[last.host].is_first_feeder()


def test_polls_remote_feeders_while_no_local_feeder_has_the_source() -> None:
    """Guards against an instance that serves a stale state for seconds.

    The source rejects all instances of one data centre, while those of others still read it. Remote
    feeders must then be polled as often as local ones, or their statuses are always too old.
    """
    directory = PeerDirectory(Member("me", "east", "10.0.0.1", 1), random.Random(1))
    for number in range(20):
        member = Member(f"w{number}", "west", f"10.0.1.{number}", 1)
        directory.apply_message(Hello(_status(member), 0), 1_000)
    directory.select_feeder(100, 1_000)
    assert directory.list_feeders_to_poll() == []
    directory.select_feeder(None, 1_000)
    polled = directory.list_feeders_to_poll()
    assert 1 <= len(polled) <= 3
    status = MemberStatus(polled[0], 50, True, False, 0)
    directory.apply_message(HelloReply(status, ()), 1_100)
    assert directory.select_feeder(None, 1_100) == polled[0]
    assert directory.list_feeders_to_poll() == polled


def test_restart_discards_the_old_status() -> None:
    """Guards against following an instance because of the status of its previous process."""
    directory = PeerDirectory(Member("me", "east", "10.0.0.1", 1), random.Random(1))
    old = MemberStatus(Member("other", "east", "10.0.0.2", 1), 10, True, False, 0)
    directory.apply_message(Hello(old, 0), 1_000)
    assert directory.list_peers_with_state(1_000)
    new = MemberStatus(Member("other", "east", "10.0.0.2", 2), None, False, False, 0)
    directory.apply_message(Hello(new, 0), 1_010)
    assert not directory.list_peers_with_state(1_010)


def test_restart_after_the_wall_clock_was_set_back_is_followed() -> None:
    """Guards against messages to an address that a restarted instance no longer has."""
    directory = PeerDirectory(Member("me", "east", "10.0.0.1", 1), random.Random(1))
    old = Member("other", "east", "10.0.0.2", 5_000_000)
    new = Member("other", "east", "10.0.0.9", 2_600_000)
    directory.apply_message(Hello(_status(old), 0), 1_000)
    directory.apply_message(Hello(_status(new), 0), 2_000)
    assert directory.list_local_peers() == [new]


def test_partitioned_while_no_polled_data_centre_answers() -> None:
    """Guards against a partition reported without polling, or reported after it has healed."""
    directory = PeerDirectory(Member("me", "east", "10.0.0.1", 1), random.Random(1))
    far = Member("far", "west", "10.0.0.2", 1)
    now_ms = 1_000_000
    directory.apply_message(Hello(_status(far), 0), now_ms)
    assert not directory.is_partitioned(now_ms + 60_000)
    directory.set_remote_polling(True, now_ms)
    assert far in directory.list_feeders_to_poll()
    assert not directory.is_partitioned(now_ms + REMOTE_TIMEOUT_MS - 1)
    assert directory.is_partitioned(now_ms + REMOTE_TIMEOUT_MS)
    directory.apply_message(Hello(_status(far), 0), now_ms + 2_000)
    assert not directory.is_partitioned(now_ms + 2_100)
    directory.set_remote_polling(False, now_ms)
    assert far not in directory.list_feeders_to_poll()


def test_new_instance_is_partitioned_until_another_data_centre_answers() -> None:
    """Guards against an instance that starts in a partition and accepts flows it cannot place."""
    directory = PeerDirectory(Member("me", "east", "10.0.0.1", 1), random.Random(1))
    near, far = Member("near", "east", "10.0.0.3", 1), Member("far", "west", "10.0.0.2", 1)
    now_ms = 1_000_000
    directory.set_remote_polling(True, now_ms)
    directory.apply_message(HelloReply(_status(near), ()), now_ms)
    assert not directory.is_partitioned(now_ms)
    directory.apply_message(HelloReply(_status(near), (KnownMember(far, 100),)), now_ms)
    assert directory.is_partitioned(now_ms)
    directory.apply_message(Hello(_status(far), 0), now_ms)
    assert not directory.is_partitioned(now_ms)
