"""Where an instance reads the state while peers and the source come and go."""

import random

import anyio

from catkinspread.clock import ManualClock
from catkinspread.deployment import (
    HistoryLost,
    SourceHealth,
    SourceUnavailable,
    StateChange,
    StateChanges,
    StateKind,
)
from catkinspread.eventlog import EventLog
from catkinspread.peers import (
    Hello,
    Member,
    MemberStatus,
    PeerDirectory,
    SharedSource,
    StateCache,
)

KIND = StateKind.EVACUATIONS


class ScriptedSource:
    """A source whose answers are set by the test."""

    def __init__(self, revision: int, history_from: int = 0) -> None:
        self.revision = revision
        self.history_from = history_from
        self.is_down = False
        self.lists = 0
        self.waits = 0

    async def list_records(self, kind: StateKind) -> StateChanges:
        self.lists += 1
        if self.is_down:
            raise SourceUnavailable("down")
        return StateChanges((StateChange("east", "east"),), self.revision)

    async def wait_for_changes(
        self, kind: StateKind, revision: int, timeout_ms: int
    ) -> StateChanges:
        self.waits += 1
        if self.is_down:
            raise SourceUnavailable("down")
        if revision < self.history_from:
            raise HistoryLost(str(revision))
        return StateChanges((), self.revision)


class SilentWriter:
    """Drops log lines."""

    def write(self, line: bytes) -> bool:
        return True


class Rig:
    """A shared source with one peer."""

    def __init__(self, source: ScriptedSource, peer: ScriptedSource) -> None:
        self.clock = ManualClock(1_000_000)
        self.directory = PeerDirectory(Member("me", "east", "10.0.0.1", 1), random.Random(1))
        self.health = SourceHealth()
        self.cache = StateCache()
        self.shared = SharedSource(
            source,
            lambda member: peer,
            self.directory,
            self.cache,
            self.health,
            EventLog("me", SilentWriter(), self.clock),
            self.clock,
        )

    def hear_peer(self, source_age_ms: int | None, data_centre: str = "east") -> None:
        """Lets the peer say that it has state."""
        member = Member("other", data_centre, "10.0.0.2", 1)
        status = MemberStatus(member, source_age_ms, True, False)
        self.directory.take(Hello(status, 0), self.clock.now_ms())
        self.shared.choose_feeder()


def test_lists_from_the_source_after_it_lost_its_history() -> None:
    """Guards against a peer that is as far behind being listed again and again."""
    source, peer = ScriptedSource(90, history_from=80), ScriptedSource(50)
    rig = Rig(source, peer)
    rig.hear_peer(source_age_ms=None)

    async def read() -> StateChanges:
        first = await rig.shared.list_records(KIND)
        try:
            await rig.shared.wait_for_changes(KIND, first.revision, 100)
        except HistoryLost:
            return await rig.shared.list_records(KIND)
        raise AssertionError("the history was not lost")

    assert anyio.run(read).revision == 90
    assert peer.lists == 1


def test_new_instance_takes_the_state_of_a_peer_while_the_source_is_down() -> None:
    """Guards against an instance that cannot serve because it started in an outage."""
    source, peer = ScriptedSource(90), ScriptedSource(50)
    source.is_down = True
    rig = Rig(source, peer)
    rig.hear_peer(source_age_ms=None)
    assert anyio.run(rig.shared.list_records, KIND).revision == 50
    assert source.lists == 0


def test_follows_the_feeder_of_its_data_centre() -> None:
    """Guards against calls of the source in proportion to instances."""
    source, peer = ScriptedSource(90), ScriptedSource(90)
    rig = Rig(source, peer)
    rig.directory._ranks = ["other", "me"]
    rig.hear_peer(source_age_ms=100)
    anyio.run(rig.shared.wait_for_changes, KIND, 90, 10)
    assert (source.waits, peer.waits) == (0, 1)


def test_reads_the_source_when_the_feeder_lost_it() -> None:
    """Guards against a stale state behind a feeder that is cut off from the source."""
    source, peer = ScriptedSource(90), ScriptedSource(90)
    rig = Rig(source, peer)
    rig.directory._ranks = ["other", "me"]
    rig.hear_peer(source_age_ms=100)
    rig.hear_peer(source_age_ms=None)
    anyio.run(rig.shared.wait_for_changes, KIND, 90, 10)
    assert (source.waits, peer.waits) == (1, 0)


def test_follows_another_data_centre_when_the_source_turns_it_away() -> None:
    """Guards against a data centre without news while others still have them."""
    source, peer = ScriptedSource(90), ScriptedSource(95)
    source.is_down = True
    rig = Rig(source, peer)
    rig.health.record_failure(rig.clock.now_ms() - 1_000)
    rig.hear_peer(source_age_ms=100, data_centre="west")
    assert anyio.run(rig.shared.wait_for_changes, KIND, 90, 10).revision == 95


def test_one_failed_call_does_not_make_the_instances_change_places() -> None:
    """Guards against all instances changing their feeder when the source cuts its connections."""
    rig = Rig(ScriptedSource(90), ScriptedSource(90))
    now_ms = rig.clock.now_ms()
    rig.health.record_success(now_ms)
    rig.health.record_failure(now_ms)
    assert rig.health.get_last_success_age_ms(now_ms + 300) == 300
    assert rig.health.get_last_success_age_ms(now_ms + 700) is None
    rig.health.record_success(now_ms + 800)
    assert rig.health.get_last_success_age_ms(now_ms + 800) == 0


def test_feeder_that_falls_silent_is_left() -> None:
    """Guards against waiting for a feeder that was killed."""
    rig = Rig(ScriptedSource(90), ScriptedSource(90))
    rig.directory._ranks = ["other", "me"]
    rig.hear_peer(source_age_ms=100)
    now_ms = rig.clock.now_ms()
    assert rig.directory.choose_feeder(None, now_ms) is not None
    assert rig.directory.choose_feeder(None, now_ms + 2_000) is None


def test_cache_gives_changes_in_order_and_reports_lost_history() -> None:
    """Guards against an instance that misses a change when it begins to follow another."""
    cache = StateCache()
    cache.put_listing(KIND, StateChanges((StateChange("east", "east"),), 10))
    cache.put_changes(KIND, StateChanges((StateChange("west", "west"),), 12))
    cache.put_changes(KIND, StateChanges((StateChange("east", None),), 15))

    async def read() -> tuple[StateChanges, bool]:
        changes = await cache.wait_for_changes(KIND, 10, 10)
        try:
            await cache.wait_for_changes(KIND, 5, 10)
        except HistoryLost:
            return changes, True
        return changes, False

    changes, is_lost = anyio.run(read)
    assert [change.name for change in changes.changes] == ["west", "east"]
    assert changes.revision == 15
    assert is_lost
    listing = cache.list_records(KIND)
    assert listing is not None
    assert [change.name for change in listing.changes] == ["west"]


def test_cache_passes_on_only_the_latest_of_many_versions() -> None:
    """Guards against links that fill with versions that are out of date already."""
    cache = StateCache()
    cache.put_listing(KIND, StateChanges((), 10))
    for revision in range(11, 40):
        name = "east" if revision % 2 else "west"
        cache.put_changes(KIND, StateChanges((StateChange(name, f"v{revision}"),), revision))
    changes = anyio.run(cache.wait_for_changes, KIND, 10, 10)
    assert [change.record for change in changes.changes] == ["v38", "v39"]
    assert changes.revision == 39


def test_holders_of_the_state_share_those_that_start() -> None:
    """Guards against one instance that gets the calls of all others after a loss of power."""
    asked = set()
    for seed in range(20):
        directory = PeerDirectory(Member("me", "east", "10.0.0.1", 1), random.Random(seed))
        for number in range(4):
            data_centre = "east" if number else "west"
            member = Member(f"other-{number}", data_centre, f"10.0.0.{number + 2}", 1)
            directory.take(Hello(MemberStatus(member, 10, True, False), 0), 1_000)
        found = directory.find_any_with_state(1_000)
        asked.add(found[0].name)
        assert found[-1].name == "other-0"
    assert asked == {"other-1", "other-2", "other-3"}
