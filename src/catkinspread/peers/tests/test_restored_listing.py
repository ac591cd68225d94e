"""Merging of what is known with the records of a source that was restored from a copy."""

import random

import anyio
import msgspec
import pytest

from catkinspread.clock import ManualClock
from catkinspread.deployment import (
    DeploymentState,
    HistoryLost,
    SourceHealth,
    SourcePosition,
    StateApplier,
    StateChange,
    StateChanges,
    StateKind,
    Synchroniser,
    SynchroniserSettings,
    UpstreamRecord,
)
from catkinspread.eventlog import EventLog
from catkinspread.peers import StateCache
from catkinspread.peers.state_encoding import decode_state_changes, encode_state_changes
from catkinspread.peers.tests.test_shared_source import (
    SETTLING_MS,
    NullSink,
    ScriptedSource,
    SharedSourceHarness,
)

NOW_MS = 1_000_000
RESTORED_AT_MS = NOW_MS + 100
HEARTBEAT_MS = 1_200
EAST = StateChange("east", "east")
RECORD = UpstreamRecord("i-1", 1, "pages", "east", "10.0.0.9", 80, 2, False, 0, 1, report_number=4)
DRAINING = msgspec.structs.replace(RECORD, is_draining=True, report_number=7)


class _Instance:
    """An instance that has read all records."""

    def __init__(self, listing: StateChanges | None = None) -> None:
        self.state = DeploymentState(flow_lifetime_max_ms=60_000)
        events = EventLog("one", NullSink(), ManualClock(NOW_MS))
        self.applier = StateApplier(self.state, events, HEARTBEAT_MS)
        self.cache = StateCache(SETTLING_MS)
        self.list(listing or StateChanges((), 1, 1), NOW_MS)

    def read(self, *records: UpstreamRecord | None) -> None:
        """Applies changes of the upstream i-1; None removes it."""
        changes = StateChanges(tuple(StateChange("i-1", record) for record in records), 9, 1)
        self.cache.put_changes(StateKind.UPSTREAMS, changes, NOW_MS)
        self.applier.apply_changes(StateKind.UPSTREAMS, changes, NOW_MS)

    def list(self, listing: StateChanges, now_ms: int) -> None:
        """Applies a listing of upstreams."""
        merged = self.cache.put_listing(StateKind.UPSTREAMS, listing, now_ms)
        self.applier.apply_listing(StateKind.UPSTREAMS, merged, now_ms)

    def restore(self, *records: UpstreamRecord, at_ms: int = RESTORED_AT_MS) -> None:
        """Applies a listing of a restored source."""
        changes = tuple(StateChange(record.name, record) for record in records)
        self.list(StateChanges(changes, 5, 2), at_ms)

    def start_another(self) -> "_Instance":
        """Returns an instance that starts with the records of this one."""
        listing = self.cache.list_records(StateKind.UPSTREAMS)
        return _Instance(decode_state_changes(encode_state_changes(listing)))

    def is_eligible(self) -> bool:
        return bool(self.state.list_eligible_upstreams("pages"))


def test_draining_upstream_is_not_ready_again_by_an_older_copy() -> None:
    """Guards against new flows on an upstream that is about to exit."""
    instance = _Instance()
    instance.read(RECORD, DRAINING)
    instance.restore(RECORD)
    assert not instance.is_eligible()
    assert not instance.start_another().is_eligible()


def test_upstream_that_left_is_not_used_again_by_an_older_copy() -> None:
    """Guards against new flows on an upstream whose process has ended."""
    instance = _Instance()
    instance.read(RECORD, DRAINING, None)
    for listed in (DRAINING, RECORD):
        instance.restore(listed)
        assert not instance.is_eligible()


def test_instance_that_starts_after_a_restoration_uses_no_upstream_that_left() -> None:
    """Guards against a restart after which an upstream that had left is in use again."""
    instance = _Instance()
    instance.read(RECORD, None)
    instance.restore(RECORD)
    assert not instance.start_another().is_eligible()


@pytest.mark.parametrize(
    "newer",
    [
        msgspec.structs.replace(RECORD, report_number=8),
        msgspec.structs.replace(RECORD, born_ms=2, report_number=1),
    ],
    ids=["later report", "restarted"],
)
def test_upstream_that_reports_after_the_restoration_is_used(newer: UpstreamRecord) -> None:
    """Guards against an upstream that lives and is taken for one that left."""
    instance = _Instance()
    instance.read(RECORD, DRAINING, None)
    instance.restore(newer)
    assert instance.is_eligible()
    assert instance.start_another().is_eligible()


def test_upstream_that_the_copy_lacks_is_used_once_it_reports_again() -> None:
    """Guards against an upstream that stays out of use because it reports the same as before."""
    instance = _Instance()
    instance.read(RECORD)
    instance.restore()
    instance.restore(RECORD, at_ms=RESTORED_AT_MS + 900)
    (known,) = instance.state.list_upstreams()
    assert known.missing_since_ms is None


def test_wrong_guess_about_an_older_record_ends_with_the_complete_listing() -> None:
    """Guards against an upstream that stays out of use because its clock was set back."""
    instance = _Instance()
    instance.read(RECORD, DRAINING, None)
    instance.restore(RECORD)
    instance.restore(RECORD, at_ms=RESTORED_AT_MS + SETTLING_MS - 1)
    assert not instance.is_eligible()
    instance.restore(RECORD, at_ms=RESTORED_AT_MS + SETTLING_MS)
    assert instance.is_eligible()
    assert instance.cache.list_records(StateKind.UPSTREAMS).is_complete


def test_second_restoration_during_the_first_is_merged_for_its_full_time() -> None:
    """Guards against a second copy that is taken as it is because the first one was completed."""
    instance = _Instance()
    instance.read(RECORD, DRAINING, None)
    instance.restore(RECORD)
    again_ms = RESTORED_AT_MS + SETTLING_MS
    listing = StateChanges((StateChange("i-1", RECORD),), 4, 3)
    instance.list(listing, again_ms)
    assert not instance.is_eligible()
    instance.list(listing, again_ms + SETTLING_MS)
    assert instance.is_eligible()


def test_incomplete_listing_of_a_feeder_is_repeated_until_the_feeder_has_a_complete_one() -> None:
    """Guards against a follower that keeps what its feeder only kept until it was written again."""
    feeder, follower = StateCache(SETTLING_MS), StateCache(SETTLING_MS)
    kind = StateKind.EVACUATIONS
    feeder.put_listing(kind, StateChanges((EAST,), 9, 1), NOW_MS)
    follower.put_listing(kind, StateChanges((), 5, 2), NOW_MS)
    feeder.put_listing(kind, StateChanges((), 5, 2), RESTORED_AT_MS)
    for age_ms, is_complete in ((1, False), (SETTLING_MS, False), (SETTLING_MS + 1, True)):
        now_ms = RESTORED_AT_MS + age_ms
        if is_complete:
            feeder.put_listing(kind, StateChanges((), 5, 2), now_ms)
        read = follower.put_listing(kind, feeder.list_records(kind), now_ms)
        assert read.changes == (() if is_complete else (EAST,))
        assert read.is_complete == is_complete


class _EarlierChanges(msgspec.Struct, frozen=True):
    """State changes in messages of a version that knows neither eras nor completeness."""

    changes: tuple[StateChange, ...]
    revision: int


def test_state_changes_are_read_by_and_from_an_earlier_version() -> None:
    """Guards against instances that cannot follow each other while the program is replaced."""
    sent = StateChanges((EAST,), 9, 2, is_complete=False)
    earlier = msgspec.msgpack.decode(msgspec.msgpack.encode(sent), type=_EarlierChanges)
    assert earlier == _EarlierChanges((EAST,), 9)
    received = msgspec.msgpack.decode(msgspec.msgpack.encode(earlier), type=StateChanges)
    assert received == StateChanges((EAST,), 9)


class _EvacuationSource(ScriptedSource):
    """Lists an evacuation that it loses at its restoration and never gets back."""

    def __init__(self) -> None:
        super().__init__(9, era=1)
        self.timeouts_ms: list[int] = []
        self.listings = 0

    async def list_records(self, kind: StateKind) -> StateChanges:
        self.listings += kind is StateKind.EVACUATIONS
        lists_east = kind is StateKind.EVACUATIONS and self.era == 1
        return StateChanges((EAST,) if lists_east else (), 9, self.era)

    async def wait_for_changes(
        self, kind: StateKind, position: SourcePosition, timeout_ms: int
    ) -> StateChanges:
        await anyio.sleep(0.005)
        if kind is StateKind.EVACUATIONS:
            self.timeouts_ms.append(timeout_ms)
        if position.era != self.era:
            raise HistoryLost("restored")
        return StateChanges((), 9, self.era)


def test_evacuation_lasts_until_the_restored_source_is_complete_again() -> None:
    """Guards against flows to an evacuated data centre before the operator has repeated the order."""
    source, state = _EvacuationSource(), DeploymentState(60_000)
    harness = SharedSourceHarness(source, ScriptedSource(0))
    for kind in StateKind:
        harness.cache.put_listing(kind, StateChanges((), 1, 1), NOW_MS)
    clock = harness.clock
    events = EventLog("one", NullSink(), clock)
    settings = SynchroniserSettings(800, 0, SETTLING_MS)
    synchroniser = Synchroniser(
        harness.shared,
        StateApplier(state, events, HEARTBEAT_MS),
        SourceHealth(),
        settings,
        events,
        clock,
        random.Random(1),
    )

    async def wait_for_listings(count: int) -> None:
        with anyio.fail_after(5):
            while source.listings < count:
                await anyio.sleep(0.005)
            await anyio.sleep(0.05)

    async def run() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(synchroniser.run)
            await wait_for_listings(1)
            source.era = 2
            await wait_for_listings(2)
            assert state.list_evacuated_data_centres() == ("east",)
            clock.advance(SETTLING_MS - 300)
            await anyio.sleep(0.05)
            assert source.timeouts_ms[-1] == 300
            clock.advance(300)
            await wait_for_listings(3)
            assert state.list_evacuated_data_centres() == ()
            assert source.timeouts_ms[-1] == settings.timeout_ms
            group.cancel_scope.cancel()

    anyio.run(run)
