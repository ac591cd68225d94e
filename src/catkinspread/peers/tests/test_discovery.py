"""Tests of the discovery of instances that the seeds do not lead to."""

import random

import anyio
import pytest

from catkinspread.clock import ManualClock
from catkinspread.eventlog import EventLog
from catkinspread.peers import (
    UNKNOWN_INSTANCE_COUNT,
    ContactList,
    Hello,
    HelloReply,
    Member,
    MemberStatus,
    PeerDirectory,
    PeerDiscovery,
    RegistryUnavailable,
)
from catkinspread.peers.directory import MEMBER_TIMEOUT_MS
from catkinspread.peers.discovery import ROUND_INTERVAL_MS
from catkinspread.peers.instance_count import ALONE_TIMEOUT_MS

STALE_HOST = "10.9.9.9"


class _Sink:
    def write(self, line: bytes) -> bool:
        return True


class _Registry:
    """Keeps the lists in memory."""

    def __init__(self) -> None:
        self.lists: dict[str, ContactList] = {}
        self.revision = 1
        self.reads = 0
        self.writes = 0
        self.is_down = False
        self.loses_writes = False

    async def list_contacts(self, may_be_outdated: bool) -> tuple[ContactList, ...]:
        self.reads += 1
        if self.is_down:
            raise RegistryUnavailable("down")
        return tuple(self.lists.values())

    async def put_contacts(
        self, data_centre: str, hosts: tuple[str, ...], replaced: ContactList | None
    ) -> bool:
        self.writes += 1
        if self.is_down:
            raise RegistryUnavailable("down")
        if self.lists.get(data_centre) != replaced:
            return False
        if not self.loses_writes:
            self.revision += 1
            self.lists[data_centre] = ContactList(data_centre, hosts, self.revision)
        return True


class _Site:
    """Instances that reach each other, a registry, and a clock for all."""

    def __init__(self) -> None:
        self.clock = ManualClock(1_000_000)
        self.registry = _Registry()
        self.directories: dict[str, PeerDirectory] = {}
        self.members: dict[str, Member] = {}
        self.cut_hosts: set[str] = set()
        self._discoveries: list[PeerDiscovery] = []
        self._rng = random.Random(1)

    def add(self, number: int, data_centre: str = "east") -> PeerDirectory:
        member = Member(f"n{number}", data_centre, f"10.0.0.{number}", 1)
        directory = PeerDirectory(member, self._rng)
        self.members[member.host] = member
        self.directories[member.host] = directory
        discovery = PeerDiscovery(
            member,
            self.registry,
            directory,
            lambda hosts: self._contact(member.host, hosts),
            EventLog(member.name, _Sink(), self.clock),
            self.clock,
            self._rng,
        )
        self._discoveries.append(discovery)
        return directory

    def _contact(self, sender: str, hosts: list[str]) -> None:
        for host in hosts:
            is_cut = (sender in self.cut_hosts) != (host in self.cut_hosts)
            if host in self.directories and not is_cut:
                self._exchange(sender, host)

    def _exchange(self, sender: str, receiver: str) -> None:
        now_ms = self.clock.now_ms()
        own, other = self.directories[sender], self.directories[receiver]
        hello = Hello(self._status(sender), own.digest, own.sample_members(now_ms))
        other.apply_message(hello, now_ms)
        reply = HelloReply(self._status(receiver), other.sample_members(now_ms))
        own.apply_message(reply, now_ms)

    def _status(self, host: str) -> MemberStatus:
        known_count = self.directories[host].count_known_instances()
        return MemberStatus(self.members[host], 10, True, False, 0, known_count)

    def gossip(self) -> None:
        """Lets each instance exchange statuses with all that it knows."""
        for host, directory in self.directories.items():
            self._contact(host, directory.list_hosts())

    def run(self, rounds: int) -> None:
        async def play() -> None:
            for _ in range(rounds):
                self.clock.advance(ROUND_INTERVAL_MS)
                for discovery in self._discoveries:
                    await discovery.run_round()
                self.gossip()
                for directory in self.directories.values():
                    directory.expire_members(self.clock.now_ms())

        anyio.run(play)

    def estimate_counts(self) -> set[int]:
        now_ms = self.clock.now_ms()
        return {found.estimate_instance_count(now_ms) for found in self.directories.values()}


@pytest.mark.parametrize("added", [1, 3, 9])
def test_instances_without_usable_seeds_find_the_others(added: int) -> None:
    """Guards against added instances that stay alone, and others that do not count them."""
    site = _Site()
    for number in range(9):
        site.add(number, f"dc{number % 3}")
    site.run(4)
    assert site.estimate_counts() == {9}
    for number in range(9, 9 + added):
        site.add(number, f"dc{number % 3}")
    site.run(4)
    assert site.estimate_counts() == {9 + added}


def test_only_instance_uses_the_whole_rate() -> None:
    """Guards against a lone instance that warms no upstream."""
    site = _Site()
    directory = site.add(1)
    site.run(3)
    assert directory.estimate_instance_count(site.clock.now_ms()) == 1
    site.run(120)
    assert directory.estimate_instance_count(site.clock.now_ms()) == 1
    assert site.registry.writes == 1


def test_only_instance_takes_over_the_list_of_the_one_that_it_replaces() -> None:
    """Guards against contacts that have left for good and keep a lone instance from its rate."""
    site = _Site()
    site.registry.lists["east"] = ContactList("east", (STALE_HOST,), 1)
    directory = site.add(1)
    site.run(2)
    assert site.registry.lists["east"].hosts == (STALE_HOST,)
    site.run(8)
    assert site.registry.lists["east"].hosts == ("10.0.0.1",)
    assert directory.estimate_instance_count(site.clock.now_ms()) == 1


def test_silent_contacts_elsewhere_keep_an_instance_from_the_whole_rate() -> None:
    """Guards against an instance that is cut off and takes itself for the only one."""
    site = _Site()
    site.registry.lists["west"] = ContactList("west", (STALE_HOST,), 1)
    directory = site.add(1)
    site.run(60)
    assert directory.estimate_instance_count(site.clock.now_ms()) == UNKNOWN_INSTANCE_COUNT


def test_confirmation_ends_while_the_registry_is_down() -> None:
    """Guards against a lone instance that misses those that are added in an outage."""
    site = _Site()
    directory = site.add(1)
    site.run(3)
    site.registry.is_down = True
    site.run(1 + ALONE_TIMEOUT_MS // ROUND_INTERVAL_MS)
    assert directory.estimate_instance_count(site.clock.now_ms()) == UNKNOWN_INSTANCE_COUNT


def test_registry_that_keeps_nothing_confirms_nothing() -> None:
    """Guards against trust in an empty list that the instance has not seen itself in."""
    site = _Site()
    site.registry.loses_writes = True
    directory = site.add(1)
    site.run(60)
    assert directory.estimate_instance_count(site.clock.now_ms()) == UNKNOWN_INSTANCE_COUNT
    assert site.registry.writes < 10


def test_groups_meet_again_after_a_long_partition() -> None:
    """Guards against two groups without common seeds that stay apart."""
    site = _Site()
    for number in range(6):
        site.add(number)
    site.run(4)
    site.cut_hosts = {"10.0.0.0", "10.0.0.1", "10.0.0.2"}
    site.run(2 * MEMBER_TIMEOUT_MS // ROUND_INTERVAL_MS)
    assert {directory.count_members() for directory in site.directories.values()} == {3}
    assert site.estimate_counts() == {6}
    site.cut_hosts = set()
    site.run(35)
    assert {directory.count_members() for directory in site.directories.values()} == {6}


def test_followers_make_no_calls() -> None:
    """Guards against calls to the store that grow with the number of instances."""
    site = _Site()
    for number in range(12):
        site.add(number)
    site.run(4)
    site.registry.reads = site.registry.writes = 0
    site.run(120)
    assert site.registry.reads <= 4
    assert site.registry.writes <= 1
