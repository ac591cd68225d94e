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

NOW_MS = 1_000_000
RESTORED_AT_MS = NOW_MS + 100
HEARTBEAT_MS = 1_200
RECORD = UpstreamRecord("i-1", 1, "pages", "east", "10.0.0.9", 80, 2, False, 0, 1, report_number=4)
DRAINING = msgspec.structs.replace(RECORD, is_draining=True, report_number=7)


class _NullSink:
    def write(self, line: bytes) -> bool:
        return True


class _Instance:
    """A state to which listings and changes are applied."""

    def __init__(self) -> None:
        self.state = DeploymentState(flow_lifetime_max_ms=60_000)
        events = EventLog("one", _NullSink(), ManualClock(NOW_MS))
        self.applier = StateApplier(self.state, events, HEARTBEAT_MS)

    def read(self, *records: UpstreamRecord | None) -> None:
        """Applies changes of the upstream i-1; None removes it."""
        changes = tuple(StateChange("i-1", record) for record in records)
        self.applier.apply_changes(StateKind.UPSTREAMS, StateChanges(changes, 9), NOW_MS)

    def restore(self, *records: UpstreamRecord, at_ms: int = RESTORED_AT_MS) -> None:
        """Applies a listing of a restored source that does not count as complete."""
        changes = tuple(StateChange(record.name, record) for record in records)
        listing = StateChanges(changes, 5, 2)
        self.applier.apply_listing(StateKind.UPSTREAMS, listing, at_ms, RESTORED_AT_MS)

    def is_eligible(self) -> bool:
        return bool(self.state.list_eligible_upstreams("pages"))


def test_draining_upstream_is_not_ready_again_by_an_older_copy() -> None:
    """Guards against new flows on an upstream that is about to exit."""
    instance = _Instance()
    instance.read(RECORD, DRAINING)
    instance.restore(RECORD)
    assert not instance.is_eligible()


def test_upstream_that_left_is_not_used_again_by_an_older_copy() -> None:
    """Guards against new flows on an upstream whose process has ended."""
    instance = _Instance()
    instance.read(RECORD, DRAINING, None)
    instance.restore(DRAINING)
    assert not instance.is_eligible()
    instance.restore(RECORD)
    assert not instance.is_eligible()


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


def test_upstream_that_the_copy_lacks_is_used_once_it_reports_again() -> None:
    """Guards against an upstream that stays out of use because it reports the same as before."""
    instance = _Instance()
    instance.read(RECORD)
    instance.restore()
    instance.restore(RECORD, at_ms=RESTORED_AT_MS + 900)
    assert instance.state.find_upstream("i-1").missing_since_ms is None


class _RestoredSource:
    """Evacuations of a source that loses one at its restoration and never gets it back."""

    def __init__(self) -> None:
        self.era = 1
        self.timeouts_ms: list[int] = []
        self.listings = 0

    async def list_records(self, kind: StateKind) -> StateChanges:
        self.listings += kind is StateKind.EVACUATIONS
        lists_east = kind is StateKind.EVACUATIONS and self.era == 1
        changes = (StateChange("east", "east"),) if lists_east else ()
        return StateChanges(changes, 9, self.era)

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
    source, state, clock = _RestoredSource(), DeploymentState(60_000), ManualClock(NOW_MS)
    events = EventLog("one", _NullSink(), clock)
    settings = SynchroniserSettings(10_000, 0, HEARTBEAT_MS)
    synchroniser = Synchroniser(
        source,
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
            assert source.timeouts_ms[-1] == settings.settling_ms
            clock.advance(settings.settling_ms)
            await wait_for_listings(3)
            assert state.list_evacuated_data_centres() == ()
            assert source.timeouts_ms[-1] == settings.timeout_ms
            group.cancel_scope.cancel()

    anyio.run(run)
