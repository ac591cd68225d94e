"""Who knows whom, without each instance talking to each other one."""

import random

from catkinspread.peers import Hello, HelloReply, KnownMember, Member, MemberStatus, PeerDirectory
from catkinspread.peers.directory import REMOTE_TIMEOUT_MS

COUNT = 60
SPREAD_ROUNDS = 80
ROUND_MS = 900


def _status(member: Member) -> MemberStatus:
    return MemberStatus(member, None, True, False)


class _Crowd:
    """Instances that exchange statuses with one random other each round."""

    def __init__(self, count: int) -> None:
        self.members = [
            Member(f"n{number}", "east", f"10.0.0.{number}", 1) for number in range(count)
        ]
        self.directories = {
            member.host: PeerDirectory(member, random.Random(number))
            for number, member in enumerate(self.members)
        }
        self.now_ms = 1_000_000
        for member in self.members[1:]:
            self.exchange(member, self.members[0])

    def exchange(self, asking: Member, asked: Member) -> None:
        own, other = self.directories[asking.host], self.directories[asked.host]
        sample = own.list_known_members(self.now_ms, is_sample=True)
        other.apply_status(Hello(_status(asking), own.digest, sample), self.now_ms)
        is_same = own.digest == other.digest
        members = other.list_known_members(self.now_ms, is_sample=is_same)
        own.apply_status(HelloReply(_status(asked), members), self.now_ms)

    def run_round(self, live: list[Member]) -> list[str]:
        lost = []
        self.now_ms += ROUND_MS
        for member in live:
            directory = self.directories[member.host]
            partners = [*directory.list_feeders(), directory.choose_random_peer()]
            for partner in partners:
                if partner is not None and partner in live:
                    self.exchange(member, partner)
        for member in live:
            lost.extend(self.directories[member.host].expire_members(self.now_ms))
        return lost


def test_live_instances_stay_known_to_all() -> None:
    """Guards against forgetting instances of a large deployment that are only rarely met."""
    crowd = _Crowd(COUNT)
    lost = [name for _ in range(SPREAD_ROUNDS) for name in crowd.run_round(crowd.members)]
    assert lost == []
    assert {crowd.directories[m.host].count_members() for m in crowd.members} == {COUNT}


def test_dead_instance_is_forgotten_by_all() -> None:
    """Guards against an instance that lives on in hearsay."""
    crowd = _Crowd(COUNT)
    for _ in range(SPREAD_ROUNDS):
        crowd.run_round(crowd.members)
    live = crowd.members[1:]
    for _ in range(2 * SPREAD_ROUNDS):
        crowd.run_round(live)
    assert {crowd.directories[m.host].count_members() for m in live} == {COUNT - 1}


def test_all_instances_choose_the_same_first_feeder() -> None:
    """Guards against many readers of the source in one data centre."""
    crowd = _Crowd(COUNT)
    for _ in range(SPREAD_ROUNDS):
        crowd.run_round(crowd.members)
    firsts = [m for m in crowd.members if crowd.directories[m.host].is_first_feeder()]
    feeders = [m for m in crowd.members if crowd.directories[m.host].is_feeder()]
    assert (len(firsts), len(feeders)) == (1, 3)


def test_feeder_that_does_not_answer_gives_its_place_to_another() -> None:
    """Guards against a data centre without a reader because the chosen ones are gone."""
    crowd = _Crowd(5)
    for _ in range(SPREAD_ROUNDS):
        crowd.run_round(crowd.members)
    last = next(m for m in crowd.members if not crowd.directories[m.host].is_feeder())
    for _ in range(8):
        crowd.run_round([last])
    assert crowd.directories[last.host].is_first_feeder()


def test_asks_the_feeders_elsewhere_while_its_own_data_centre_has_none() -> None:
    """Guards against an instance that serves an old state for seconds.

    The load: the source turns away all instances of a data centre, and the others still read it.
    Their feeders have to be asked as often as the own ones, or their status is never fresh.
    """
    directory = PeerDirectory(Member("me", "east", "10.0.0.1", 1), random.Random(1))
    for number in range(20):
        member = Member(f"w{number}", "west", f"10.0.1.{number}", 1)
        directory.apply_status(Hello(_status(member), 0), 1_000)
    directory.choose_feeder(100, 1_000)
    assert directory.list_feeders() == []
    directory.choose_feeder(None, 1_000)
    asked = directory.list_feeders()
    assert 1 <= len(asked) <= 3
    reader = MemberStatus(asked[0], 50, True, False)
    directory.apply_status(HelloReply(reader, ()), 1_100)
    assert directory.choose_feeder(None, 1_100) == asked[0]
    assert directory.list_feeders() == asked


def test_restarted_instance_replaces_its_status() -> None:
    """Guards against following an instance on the word of the process before."""
    directory = PeerDirectory(Member("me", "east", "10.0.0.1", 1), random.Random(1))
    old = MemberStatus(Member("other", "east", "10.0.0.2", 1), 10, True, False)
    directory.apply_status(Hello(old, 0), 1_000)
    assert directory.list_peers_with_state(1_000)
    new = MemberStatus(Member("other", "east", "10.0.0.2", 2), None, False, False)
    directory.apply_status(Hello(new, 0), 1_010)
    assert not directory.list_peers_with_state(1_010)


def test_cut_off_while_no_other_data_centre_answers_although_it_is_asked() -> None:
    """Guards against an alarm that comes from not asking, and one that stays after the cut."""
    directory = PeerDirectory(Member("me", "east", "10.0.0.1", 1), random.Random(1))
    far = Member("far", "west", "10.0.0.2", 1)
    now_ms = 1_000_000
    directory.apply_status(Hello(_status(far), 0), now_ms)
    assert not directory.is_partitioned(now_ms + 60_000)
    directory.is_polling_remote = True
    assert far in directory.list_feeders()
    assert not directory.is_partitioned(now_ms + REMOTE_TIMEOUT_MS - 1)
    assert directory.is_partitioned(now_ms + REMOTE_TIMEOUT_MS)
    directory.apply_status(Hello(_status(far), 0), now_ms + 2_000)
    assert not directory.is_partitioned(now_ms + 2_100)
    directory.is_polling_remote = False
    assert far not in directory.list_feeders()


def test_new_instance_is_cut_off_until_another_data_centre_answers() -> None:
    """Guards against an instance that starts behind a cut and takes flows that it can't place."""
    directory = PeerDirectory(Member("me", "east", "10.0.0.1", 1), random.Random(1))
    near, far = Member("near", "east", "10.0.0.3", 1), Member("far", "west", "10.0.0.2", 1)
    now_ms = 1_000_000
    directory.is_polling_remote = True
    directory.apply_status(HelloReply(_status(near), ()), now_ms)
    assert not directory.is_partitioned(now_ms)
    directory.apply_status(HelloReply(_status(near), (KnownMember(far, 100),)), now_ms)
    assert directory.is_partitioned(now_ms)
    directory.apply_status(Hello(_status(far), 0), now_ms)
    assert not directory.is_partitioned(now_ms)
