"""Tests of the choice between the source and a feeder."""

import random

import anyio
import pytest

from catkinspread.clock import ManualClock
from catkinspread.deployment import (
    HistoryLost,
    RoutingConfiguration,
    SourceHealth,
    SourcePosition,
    SourceUnavailable,
    StateChange,
    StateChanges,
    StateKind,
)
from catkinspread.deployment.synchroniser import OUTAGE_THRESHOLD_MS, RETRY_DELAY_INITIAL_MS
from catkinspread.eventlog import EventLog
from catkinspread.peers import (
    Hello,
    Member,
    MemberStatus,
    PeerDirectory,
    SharedSource,
    StateCache,
    shared_source,
)
from catkinspread.peers.directory import FAILED_FEEDER_PAUSE_MS
from catkinspread.peers.shared_source import (
    FEEDER_ANSWER_DELAY_MAX_MS,
    FEEDER_FAILURES_MAX,
)
from catkinspread.peers.shared_source import SOURCE_PROBE_KIND as PROBE_KIND
from catkinspread.platform.store import ANSWER_TIMEOUT_MS
from catkinspread.runtime.instance import SYNC_PAUSE_MS

KIND = StateKind.EVACUATIONS
# Time within which a change of the configuration or a drain has to be in force.
CONFIGURATION_BOUND_MS = 3_000
NOW_MS = 1_000_000
SETTLING_MS = 4_800


class ScriptedSource:
    """A source whose answers are set by the test."""

    def __init__(self, revision: int, oldest_revision: int = 0, era: int = 0) -> None:
        self.revision = revision
        self.era = era
        self.oldest_revision = oldest_revision
        self.is_down = False
        self.list_calls = 0
        self.wait_calls = 0

    async def list_records(self, kind: StateKind) -> StateChanges:
        self.list_calls += 1
        if self.is_down:
            raise SourceUnavailable("down")
        return StateChanges((StateChange("east", "east"),), self.revision, self.era)

    async def wait_for_changes(
        self, kind: StateKind, position: SourcePosition, timeout_ms: int
    ) -> StateChanges:
        self.wait_calls += 1
        if self.is_down:
            raise SourceUnavailable("down")
        if position.revision < self.oldest_revision:
            raise HistoryLost(str(position))
        return StateChanges((), self.revision, self.era)


class NullSink:
    """Discards log lines."""

    def write(self, line: bytes) -> bool:
        return True


class SharedSourceHarness:
    """A shared source with a single peer."""

    def __init__(self, source: ScriptedSource, peer: ScriptedSource) -> None:
        self.clock = ManualClock(NOW_MS)
        self.directory = PeerDirectory(Member("me", "east", "10.0.0.1", 1), random.Random(1))
        self.health = SourceHealth()
        self.cache = StateCache(SETTLING_MS)
        self.shared = SharedSource(
            source,
            lambda member: peer,
            self.directory,
            self.cache,
            self.health,
            EventLog("me", NullSink(), self.clock),
            self.clock,
        )

    def receive_peer_status(
        self,
        source_age_ms: int | None,
        data_centre: str = "east",
        source_era: int | None = 0,
        changed_revisions: tuple[int, ...] = (),
    ) -> None:
        """Delivers a status of the peer that reports state."""
        member = Member("other", data_centre, "10.0.0.2", 1)
        status = MemberStatus(member, source_age_ms, True, False, source_era, 0, changed_revisions)
        self.directory.apply_message(Hello(status, 0), self.clock.now_ms())
        self.shared.update_feeder()


def test_lists_from_the_source_after_lost_history() -> None:
    """Guards against listing again and again from a peer that lags as far behind."""
    source, peer = ScriptedSource(90, oldest_revision=80), ScriptedSource(50)
    harness = SharedSourceHarness(source, peer)
    harness.receive_peer_status(source_age_ms=None)

    async def read() -> StateChanges:
        first = await harness.shared.list_records(KIND)
        try:
            await harness.shared.wait_for_changes(KIND, first.position, 100)
        except HistoryLost:
            return await harness.shared.list_records(KIND)
        raise AssertionError("the history was not lost")

    assert anyio.run(read).revision == 90
    assert peer.list_calls == 1


def test_new_instance_lists_from_a_peer_while_the_source_is_down() -> None:
    """Guards against an instance that has no state because it started during an outage."""
    source, peer = ScriptedSource(90), ScriptedSource(50)
    source.is_down = True
    harness = SharedSourceHarness(source, peer)
    harness.receive_peer_status(source_age_ms=None)
    assert anyio.run(harness.shared.list_records, KIND).revision == 50
    assert source.list_calls == 0


def test_starting_instance_gets_the_changes_that_its_peer_lacks() -> None:
    """Guards against a restart after which an upstream that had left is in use again.

    The peer that the state is read from has had no access to the source for a while.
    """
    feeder = Member("feeder", "east", "10.0.0.3", 1)
    removal = StateChanges((StateChange("east", None),), 90)
    sources = {"other": ScriptedSource(50), "feeder": ScriptedSource(90)}
    harness = SharedSourceHarness(ScriptedSource(90), sources["other"])
    harness.shared._open_peer_source = lambda member: sources[member.name]
    harness.receive_peer_status(source_age_ms=None)
    harness.directory.apply_message(
        Hello(MemberStatus(feeder, 10, False, False, 0), 0), harness.clock.now_ms()
    )
    harness.shared._feeder = feeder

    async def wait_for_changes(
        kind: StateKind, position: SourcePosition, timeout_ms: int
    ) -> StateChanges:
        assert (position, timeout_ms) == (SourcePosition(0, 50), 0)
        return removal

    sources["feeder"].wait_for_changes = wait_for_changes
    listing = anyio.run(harness.shared.list_records, KIND)
    assert listing.revision == 90
    assert listing.changes[-1] == StateChange("east", None)
    assert harness.cache.list_records(KIND) == StateChanges((), 90)


def test_follows_the_feeder_of_its_data_centre() -> None:
    """Guards against source calls that grow with the number of instances."""
    source, peer = ScriptedSource(90), ScriptedSource(90)
    harness = SharedSourceHarness(source, peer)
    harness.directory._ranked_names = ["other", "me"]
    harness.receive_peer_status(source_age_ms=100)
    anyio.run(harness.shared.wait_for_changes, KIND, SourcePosition(0, 90), 10)
    assert (source.wait_calls, peer.wait_calls) == (0, 1)


def test_reads_the_source_when_the_feeder_has_lost_it() -> None:
    """Guards against a stale state from a feeder that cannot reach the source."""
    source, peer = ScriptedSource(90), ScriptedSource(90)
    harness = SharedSourceHarness(source, peer)
    harness.directory._ranked_names = ["other", "me"]
    harness.receive_peer_status(source_age_ms=100)
    harness.receive_peer_status(source_age_ms=None)
    anyio.run(harness.shared.wait_for_changes, KIND, SourcePosition(0, 90), 10)
    assert (source.wait_calls, peer.wait_calls) == (1, 0)


def test_follows_a_remote_feeder_when_the_source_rejects_the_data_centre() -> None:
    """Guards against a data centre without updates that other data centres receive."""
    source, peer = ScriptedSource(90), ScriptedSource(95)
    source.is_down = True
    harness = SharedSourceHarness(source, peer)
    harness.health.record_failure(harness.clock.now_ms() - 1_000, KIND)
    harness.receive_peer_status(source_age_ms=100, data_centre="west")
    assert (
        anyio.run(harness.shared.wait_for_changes, KIND, SourcePosition(0, 90), 10).revision == 95
    )


def test_single_failed_call_is_not_an_outage() -> None:
    """Guards against all instances changing their feeder when the source closes connections."""
    harness = SharedSourceHarness(ScriptedSource(90), ScriptedSource(90))
    now_ms = harness.clock.now_ms()
    harness.health.record_success(now_ms, KIND)
    harness.health.record_failure(now_ms, KIND)
    assert harness.health.get_last_success_age_ms(now_ms + 300) == 300
    assert harness.health.get_last_success_age_ms(now_ms + 700) is None
    harness.health.record_success(now_ms + 800, KIND)
    assert harness.health.get_last_success_age_ms(now_ms + 800) == 0


class LosingSource(ScriptedSource):
    """Loses the answer to the first poll for one kind; the polls for the others are answered.

    Attributes:
        waits_ms: Waits that were requested, by kind.
    """

    def __init__(self, lost_kind: StateKind) -> None:
        super().__init__(90)
        self._lost_kind = lost_kind
        self.waits_ms: dict[StateKind, list[int]] = {kind: [] for kind in StateKind}

    async def wait_for_changes(
        self, kind: StateKind, position: SourcePosition, timeout_ms: int
    ) -> StateChanges:
        waits_ms = self.waits_ms[kind]
        waits_ms.append(timeout_ms)
        if kind is self._lost_kind and len(waits_ms) == 1:
            raise SourceUnavailable("no answer")
        return await super().wait_for_changes(kind, position, timeout_ms)


@pytest.mark.parametrize("kind", StateKind)
def test_lost_answer_of_the_source_is_asked_for_again_within_the_bound(kind: StateKind) -> None:
    """Guards against an old configuration for 10 s because one answer of the source was lost.

    Only the end of the poll shows the loss, since the connection and the other polls live. The
    change has to be in force 3 s after it was acknowledged.
    """
    source = LosingSource(kind)
    harness = SharedSourceHarness(source, ScriptedSource(90))

    async def read() -> None:
        for number in range(2):
            for polled in [kind, *(other for other in StateKind if other is not kind)]:
                try:
                    await harness.shared.wait_for_changes(polled, SourcePosition(0, 90), 10_000)
                except SourceUnavailable:
                    assert (polled, number) == (kind, 0)

    harness.health.record_success(NOW_MS, kind)
    with pytest.MonkeyPatch.context() as patch:
        # The pause of the polls that wait for the end of the outage is skipped.
        patch.setattr(shared_source, "OUTAGE_POLL_INTERVAL_MS", 1)
        anyio.run(read)
    first_wait_ms, second_wait_ms = source.waits_ms[kind][:2]
    detected_ms = first_wait_ms + ANSWER_TIMEOUT_MS
    retried_ms = detected_ms + 1.5 * RETRY_DELAY_INITIAL_MS + source.waits_ms[PROBE_KIND][0]
    if kind is PROBE_KIND:
        retried_ms = detected_ms + 1.5 * RETRY_DELAY_INITIAL_MS
    assert retried_ms + second_wait_ms + SYNC_PAUSE_MS <= CONFIGURATION_BOUND_MS
    assert second_wait_ms == 0
    assert not harness.health.is_kind_failing(kind)


def test_instance_that_fails_to_read_one_kind_is_not_followed() -> None:
    """Guards against followers of a feeder that reads evacuations but no configuration."""
    harness = SharedSourceHarness(ScriptedSource(90), ScriptedSource(90))
    now_ms = harness.clock.now_ms()
    harness.health.record_failure(now_ms, StateKind.CONFIGURATION)
    harness.health.record_success(now_ms + OUTAGE_THRESHOLD_MS, StateKind.EVACUATIONS)
    assert harness.health.get_last_success_age_ms(now_ms + OUTAGE_THRESHOLD_MS) is None
    harness.health.record_success(now_ms + OUTAGE_THRESHOLD_MS, StateKind.CONFIGURATION)
    assert harness.health.get_last_success_age_ms(now_ms + OUTAGE_THRESHOLD_MS) == 0


@pytest.mark.parametrize("kind", StateKind)
def test_lost_answer_of_the_feeder_is_asked_for_again(kind: StateKind) -> None:
    """Guards against a follower that waits 10 s for an answer that its feeder has given."""
    source, peer = ScriptedSource(90), ScriptedSource(90)
    harness = SharedSourceHarness(source, peer)
    harness.directory._ranked_names = ["other", "me"]
    revisions = tuple(95 if changed is kind else 0 for changed in StateKind)
    polls = 0

    async def wait_for_changes(
        polled: StateKind, position: SourcePosition, timeout_ms: int
    ) -> StateChanges:
        nonlocal polls
        polls += 1
        if polls == 1:
            await anyio.sleep_forever()
        return StateChanges((StateChange("west", "west"),), 95)

    peer.wait_for_changes = wait_for_changes

    async def follow() -> list[int]:
        position = SourcePosition(0, 90)
        harness.cache.put_listing(kind, StateChanges((), 90), NOW_MS)
        harness.receive_peer_status(10, changed_revisions=revisions)
        read: list[int] = []

        async def poll() -> None:
            while len(read) < 2:
                changes = await harness.shared.wait_for_changes(kind, position, 10_000)
                read.append(changes.revision)

        with anyio.fail_after(5):
            async with anyio.create_task_group() as group:
                group.start_soon(poll)
                await anyio.wait_all_tasks_blocked()
                harness.shared.update_feeder()
                harness.clock.advance(FEEDER_ANSWER_DELAY_MAX_MS)
                harness.shared.update_feeder()
        return read

    # The interrupted poll returns without changes, the repeated one with them.
    assert anyio.run(follow) == [90, 95]


def test_unresponsive_feeder_is_abandoned() -> None:
    """Guards against waiting for a feeder whose process was killed."""
    harness = SharedSourceHarness(ScriptedSource(90), ScriptedSource(90))
    harness.directory._ranked_names = ["other", "me"]
    harness.receive_peer_status(source_age_ms=100)
    now_ms = harness.clock.now_ms()
    assert harness.directory.select_feeder(None, now_ms) is not None
    assert harness.directory.select_feeder(None, now_ms + 2_000) is None


def test_cache_returns_changes_in_order_and_reports_lost_history() -> None:
    """Guards against an instance that misses a change when it switches to a feeder."""
    cache = StateCache(SETTLING_MS)
    cache.put_listing(KIND, StateChanges((StateChange("east", "east"),), 10), NOW_MS)
    cache.put_changes(KIND, StateChanges((StateChange("west", "west"),), 12), NOW_MS)
    cache.put_changes(KIND, StateChanges((StateChange("east", None),), 15), NOW_MS)

    async def read() -> tuple[StateChanges, bool]:
        changes = await cache.wait_for_changes(KIND, SourcePosition(0, 10), 10)
        try:
            await cache.wait_for_changes(KIND, SourcePosition(0, 5), 10)
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


def test_cache_coalesces_versions_of_a_record() -> None:
    """Guards against bandwidth spent on versions that are already superseded."""
    cache = StateCache(SETTLING_MS)
    cache.put_listing(KIND, StateChanges((), 10), NOW_MS)
    for revision in range(11, 40):
        name = "east" if revision % 2 else "west"
        cache.put_changes(
            KIND, StateChanges((StateChange(name, f"v{revision}"),), revision), NOW_MS
        )
    changes = anyio.run(cache.wait_for_changes, KIND, SourcePosition(0, 10), 10)
    assert [change.record for change in changes.changes] == ["v38", "v39"]
    assert changes.revision == 39


def test_unreadable_record_keeps_its_previous_value_in_the_cache() -> None:
    """Guards against a starting instance that lacks an upstream because of another writer."""
    cache = StateCache(SETTLING_MS)
    cache.put_listing(KIND, StateChanges((StateChange("east", "east"),), 10), NOW_MS)
    unreadable = StateChanges((StateChange("east", None, is_unreadable=True),), 11)
    cache.put_changes(KIND, unreadable, NOW_MS)
    assert cache.list_records(KIND).changes == (StateChange("east", "east"),)
    cache.put_listing(KIND, unreadable, NOW_MS)
    assert cache.list_records(KIND).changes == (StateChange("east", "east"),)


def test_cache_keeps_the_newest_configuration() -> None:
    """Guards against a starting instance that gets an older version from a restored source."""
    kind, cache = StateKind.CONFIGURATION, StateCache(SETTLING_MS)
    newest = StateChange("main", RoutingConfiguration(13, (), (), 1))
    older = StateChange("main", RoutingConfiguration(10, (), (), 1))
    cache.put_listing(kind, StateChanges((newest,), 15, 1), NOW_MS)
    cache.put_listing(kind, StateChanges((older,), 8, 2), NOW_MS)
    cache.put_changes(kind, StateChanges((older,), 9, 2), NOW_MS)
    assert cache.list_records(kind) == StateChanges((newest,), 9, 2, is_complete=False)
    cache.put_listing(kind, StateChanges((), 10, 2), NOW_MS + SETTLING_MS)
    assert cache.list_records(kind) == StateChanges((newest,), 10, 2)


def test_starting_instances_are_spread_over_peers_with_state() -> None:
    """Guards against one instance that serves all others after a power failure."""
    first_choices = set()
    for seed in range(20):
        directory = PeerDirectory(Member("me", "east", "10.0.0.1", 1), random.Random(seed))
        for number in range(4):
            data_centre = "east" if number else "west"
            member = Member(f"other-{number}", data_centre, f"10.0.0.{number + 2}", 1)
            directory.apply_message(Hello(MemberStatus(member, 10, True, False, 0), 0), 1_000)
        found = directory.list_peers_with_state(1_000)
        first_choices.add(found[0].name)
        assert found[-1].name == "other-0"
    assert first_choices == {"other-1", "other-2", "other-3"}


def test_follower_leaves_a_feeder_whose_answers_fail() -> None:
    """Guards against followers of a feeder that cannot encode its records but has a good status."""
    source, peer = ScriptedSource(90), ScriptedSource(50)
    harness = SharedSourceHarness(source, peer)
    harness.directory.set_remote_polling(False, NOW_MS)
    harness.receive_peer_status(source_age_ms=10)
    harness.shared._feeder = Member("other", "east", "10.0.0.2", 1)
    position = SourcePosition(0, 50)

    async def fail() -> None:
        peer.is_down = True
        for _ in range(FEEDER_FAILURES_MAX - 1):
            with pytest.raises(SourceUnavailable):
                await harness.shared.wait_for_changes(KIND, position, 10)
        assert harness.shared._feeder is not None
        with pytest.raises(SourceUnavailable):
            await harness.shared.wait_for_changes(KIND, position, 10)

    anyio.run(fail)
    assert harness.shared._feeder is None
    peer.is_down = False
    harness.clock.advance(FAILED_FEEDER_PAUSE_MS)
    harness.receive_peer_status(source_age_ms=10)
    assert harness.directory.select_feeder(None, harness.clock.now_ms()) is not None


def test_failures_of_different_kinds_do_not_add_up() -> None:
    """Guards against leaving a good feeder because of one lost connection."""
    source, peer = ScriptedSource(90), ScriptedSource(50)
    harness = SharedSourceHarness(source, peer)
    harness.receive_peer_status(source_age_ms=10)
    harness.shared._feeder = Member("other", "east", "10.0.0.2", 1)

    async def fail() -> None:
        for _ in range(FEEDER_FAILURES_MAX - 1):
            peer.is_down = True
            for kind in StateKind:
                with pytest.raises(SourceUnavailable):
                    await harness.shared.wait_for_changes(kind, SourcePosition(0, 50), 10)
        peer.is_down = False
        for kind in StateKind:
            await harness.shared.wait_for_changes(kind, SourcePosition(0, 50), 10)

    anyio.run(fail)
    assert harness.shared._feeder is not None
