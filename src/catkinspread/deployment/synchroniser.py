"""Keeps the state of the deployment up to date with its source.

One task for each kind lists all records once and then waits for changes. An outage of the source
changes nothing in the state: the instance goes on with what it knows and asks again at growing
intervals.
"""

import random

import anyio
import msgspec

from catkinspread.clock import Clock
from catkinspread.deployment.records import RoutingConfiguration, StateKind, UpstreamRecord
from catkinspread.deployment.source import (
    HistoryLost,
    SourceUnavailable,
    StateChange,
    StateChanges,
    StateSource,
)
from catkinspread.deployment.state import ApplyOutcome, DeploymentState
from catkinspread.eventlog import EventLog

RETRY_FIRST_MS = 100
RETRY_MAX_MS = 1_000
# Calls that have failed for this long are an outage to the instances that follow this one.
OUTAGE_AFTER_MS = 600
_MS_PER_S = 1_000


class SynchroniserSettings(msgspec.Struct, frozen=True):
    """Periods of the synchroniser.

    Attributes:
        wait_ms: Longest wait of one call for changes.
        pause_ms: Pause after changes, so that those of one moment come with one call.
        heartbeat_ms: Interval at which upstreams report.
    """

    wait_ms: int
    pause_ms: int
    heartbeat_ms: int


class SourceHealth:
    """Whether the source answers.

    Attributes:
        available_since_ms: Since when it answers; None while it does not.
        answered_at_ms: When it answered last; 0 before the first answer.
    """

    __slots__ = ("_failing_since_ms", "answered_at_ms", "available_since_ms")

    def __init__(self) -> None:
        self.available_since_ms: int | None = None
        self.answered_at_ms = 0
        self._failing_since_ms: int | None = None

    @property
    def is_failing(self) -> bool:
        """Whether the last call failed."""
        return self._failing_since_ms is not None

    def record_success(self, now_ms: int) -> bool:
        """Notes an answer and returns whether it ends an outage."""
        self.answered_at_ms = now_ms
        self._failing_since_ms = None
        if self.available_since_ms is not None:
            return False
        self.available_since_ms = now_ms
        return True

    def record_failure(self, now_ms: int) -> bool:
        """Notes a failure and returns whether it begins an outage."""
        if self.is_failing:
            return False
        self._failing_since_ms = now_ms
        self.available_since_ms = None
        return True

    def get_answer_age_ms(self, now_ms: int) -> int | None:
        """Returns the time since the last answer; None in an outage or before the first.

        A single failure is no outage yet, because the source may only have closed connections.
        """
        since_ms = self._failing_since_ms
        if self.answered_at_ms == 0 or (
            since_ms is not None and now_ms - since_ms >= OUTAGE_AFTER_MS
        ):
            return None
        return now_ms - self.answered_at_ms


class StateApplier:
    """Applies changes to the state and logs each difference.

    Args:
        state: The state.
        events: Takes a line for each change.
        heartbeat_ms: Interval at which upstreams report.
    """

    __slots__ = ("_events", "_heartbeat_ms", "_state")

    def __init__(self, state: DeploymentState, events: EventLog, heartbeat_ms: int) -> None:
        self._state = state
        self._events = events
        self._heartbeat_ms = heartbeat_ms

    def apply_listing(self, kind: StateKind, listing: StateChanges, now_ms: int) -> None:
        """Replaces all records of a kind."""
        usable = {change.name for change in listing.changes if change.record is not None}
        if kind is StateKind.UPSTREAMS:
            for known in self._state.list_upstreams():
                if known.record.name not in usable:
                    self._apply(kind, StateChange(known.record.name, None), now_ms)
            self._state.upstreams_loaded = True
        if kind is StateKind.EVACUATIONS:
            for name in self._state.list_evacuated_data_centres():
                if name not in usable:
                    self._apply(kind, StateChange(name, None), now_ms)
            self._state.evacuations_loaded = True
        self.apply_changes(kind, listing, now_ms)

    def apply_changes(self, kind: StateKind, changes: StateChanges, now_ms: int) -> None:
        """Applies changes in order."""
        for change in changes.changes:
            self._apply(kind, change, now_ms)

    def _apply(self, kind: StateKind, change: StateChange, now_ms: int) -> None:
        outcome = self._put(kind, change, now_ms)
        if outcome is not None and outcome.is_changed:
            self._events.write(
                "state_changed", now_ms, kind=kind.value, name=change.name, detail=outcome.detail
            )

    def _put(self, kind: StateKind, change: StateChange, now_ms: int) -> ApplyOutcome | None:
        record = change.record
        if kind is StateKind.EVACUATIONS:
            return self._set_evacuated(change.name, record is not None, now_ms)
        if isinstance(record, RoutingConfiguration):
            return self._state.put_configuration(record)
        if isinstance(record, UpstreamRecord):
            return self._state.put_upstream(record, now_ms)
        if kind is StateKind.UPSTREAMS:
            return self._state.remove_upstream(change.name, now_ms)
        return None

    def _set_evacuated(self, data_centre: str, is_evacuated: bool, now_ms: int) -> ApplyOutcome:
        outcome = self._state.set_evacuated(data_centre, is_evacuated)
        if outcome.is_changed and not is_evacuated:
            # Upstreams that became cold meanwhile say so with their next report.
            self._state.extend_cold_start(
                data_centre, now_ms + self._heartbeat_ms + self._heartbeat_ms // 2
            )
        return outcome


class Synchroniser:
    """Reads one source into the state.

    Args:
        source: Where the records are read.
        applier: Takes what was read.
        health: Takes whether the source answers.
        settings: Periods.
        events: Takes a line for each outage.
        clock: Source of the time.
        rng: Spreads the calls of instances that fail at the same time.
    """

    __slots__ = ("_applier", "_clock", "_events", "_health", "_rng", "_settings", "_source")

    def __init__(
        self,
        source: StateSource,
        applier: StateApplier,
        health: SourceHealth,
        settings: SynchroniserSettings,
        events: EventLog,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._source = source
        self._applier = applier
        self._health = health
        self._settings = settings
        self._events = events
        self._clock = clock
        self._rng = rng

    async def run(self) -> None:
        """Reads all kinds until cancelled."""
        async with anyio.create_task_group() as group:
            for kind in StateKind:
                group.start_soon(self._run_kind, kind)

    async def _run_kind(self, kind: StateKind) -> None:
        revision: int | None = None
        retry_ms = RETRY_FIRST_MS
        while True:
            was_waiting = revision is not None
            try:
                revision = await self._read_once(kind, revision)
            except HistoryLost as error:
                self._events.write("history_lost", self._clock.now_ms(), reason=str(error))
                revision = None
                # Should the new listing be behind too, the next one must not follow at once.
                await self._pause(retry_ms)
                retry_ms = min(RETRY_MAX_MS, 2 * retry_ms)
            except SourceUnavailable as error:
                self._note_failure(kind, error)
                await self._pause(retry_ms)
                retry_ms = min(RETRY_MAX_MS, 2 * retry_ms)
            else:
                if was_waiting:
                    retry_ms = RETRY_FIRST_MS

    async def _pause(self, duration_ms: int) -> None:
        await anyio.sleep(duration_ms * (0.5 + self._rng.random()) / _MS_PER_S)

    async def _read_once(self, kind: StateKind, revision: int | None) -> int:
        if revision is None:
            listing = await self._source.list_records(kind)
            self._note_answer()
            self._applier.apply_listing(kind, listing, self._clock.now_ms())
            return listing.revision
        changes = await self._source.wait_for_changes(kind, revision, self._settings.wait_ms)
        self._note_answer()
        self._applier.apply_changes(kind, changes, self._clock.now_ms())
        if changes.changes and self._settings.pause_ms:
            await anyio.sleep(self._settings.pause_ms / _MS_PER_S)
        return changes.revision

    def _note_answer(self) -> None:
        now_ms = self._clock.now_ms()
        if self._health.record_success(now_ms):
            self._events.write_always("source_available", now_ms)

    def _note_failure(self, kind: StateKind, error: SourceUnavailable) -> None:
        now_ms = self._clock.now_ms()
        if self._health.record_failure(now_ms):
            self._events.write_always("source_lost", now_ms, kind=kind.value, reason=str(error))
