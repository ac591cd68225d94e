"""Keeps the state of the deployment up to date with its source.

One task per kind lists all records once and then waits for changes. An outage of the source does
not change the state: the instance continues with the state that it has and retries with
exponential back-off.

A source that was restored from a copy lacks the latest changes until their writers write them again,
which takes seconds. Its listings are marked as incomplete for that time; after it, all records are
listed again.
"""

import random

import anyio
import anyio.abc
import msgspec

from catkinspread.clock import Clock
from catkinspread.deployment.records import RoutingConfiguration, StateKind, UpstreamRecord
from catkinspread.deployment.source import (
    HistoryLost,
    SourcePosition,
    SourceUnavailable,
    StateChange,
    StateChanges,
    StateSource,
)
from catkinspread.deployment.state import ApplyOutcome, DeploymentState
from catkinspread.eventlog import EventLog

# Bounds of the exponential back-off after failed calls. Each delay is multiplied by a random factor
# between 0.5 and 1.5.
RETRY_DELAY_INITIAL_MS = 100
RETRY_DELAY_MAX_MS = 1_000
# Calls that fail for at least this long count as an outage of the source. Shorter failures may be
# closed connections. Other instances may read the state through this one instead of the source;
# this is the time after which they treat the source of this instance as unavailable.
OUTAGE_THRESHOLD_MS = 600
_MS_PER_S = 1_000


class SynchroniserSettings(msgspec.Struct, frozen=True):
    """Time settings of the synchroniser.

    Attributes:
        timeout_ms: Maximum time that one call waits for changes, in ms.
        batching_delay_ms: Delay after changes before the next call, so that one call returns
            several changes that occur close together.
        settling_ms: Time after an incomplete listing until all records are listed again, in ms.
    """

    timeout_ms: int
    batching_delay_ms: int
    settling_ms: int


class _KindProgress:
    """How far the records of a kind have been read.

    Attributes:
        position: Position up to which they are known; None if they have to be listed.
        list_again_at_ms: When to list them again because the last listing was incomplete; None if
            it was complete.
        retry_delay_ms: Delay after the next failed call, before jitter.
    """

    __slots__ = ("list_again_at_ms", "position", "retry_delay_ms")

    def __init__(self) -> None:
        self.position: SourcePosition | None = None
        self.list_again_at_ms: int | None = None
        self.retry_delay_ms = RETRY_DELAY_INITIAL_MS

    def is_listing_due(self, now_ms: int) -> bool:
        """Whether an incomplete listing has to be repeated."""
        return self.list_again_at_ms is not None and now_ms >= self.list_again_at_ms


class SourceHealth:
    """Availability of the source.

    Attributes:
        available_since_ms: Start of the current period of availability; None if the last call
            failed or none was made.
        last_success_at_ms: Time of the last successful call; 0 before the first one.
    """

    __slots__ = (
        "_failing_kinds_since_ms",
        "_failing_since_ms",
        "available_since_ms",
        "last_success_at_ms",
    )

    def __init__(self) -> None:
        self.available_since_ms: int | None = None
        self.last_success_at_ms = 0
        self._failing_since_ms: int | None = None
        # Since when the calls for a kind have failed, whatever became of the others.
        self._failing_kinds_since_ms: dict[StateKind, int] = {}

    @property
    def is_failing(self) -> bool:
        """Whether the last call failed."""
        return self._failing_since_ms is not None

    def is_kind_failing(self, kind: StateKind) -> bool:
        """Whether the last call for a kind failed."""
        return kind in self._failing_kinds_since_ms

    def record_success(self, now_ms: int, kind: StateKind) -> bool:
        """Records a successful call.

        Args:
            now_ms: Current time.
            kind: Kind of the records that were read.

        Returns:
            Whether the source was not available before.
        """
        self.last_success_at_ms = now_ms
        self._failing_since_ms = None
        self._failing_kinds_since_ms.pop(kind, None)
        if self.available_since_ms is not None:
            return False
        self.available_since_ms = now_ms
        return True

    def record_failure(self, now_ms: int, kind: StateKind) -> bool:
        """Records a failed call.

        Args:
            now_ms: Current time.
            kind: Kind of the records that were requested.

        Returns:
            Whether this is the first failure since the last success.
        """
        self._failing_kinds_since_ms.setdefault(kind, now_ms)
        if self.is_failing:
            return False
        self._failing_since_ms = now_ms
        self.available_since_ms = None
        return True

    def require_new_success(self) -> None:
        """Treats the source as unavailable until the next successful call.

        Used after a pause of the process, when the results of earlier calls are outdated.
        """
        self.available_since_ms = None

    def get_last_success_age_ms(self, now_ms: int) -> int | None:
        """Returns the time since the last successful call.

        Returns None before the first success and once the calls for any kind have failed for
        OUTAGE_THRESHOLD_MS: records of that kind are outdated although others are read. A single
        failure does not count as an outage, because the source may only have closed its
        connections.
        """
        failing_since_ms = [*self._failing_kinds_since_ms.values()]
        if self._failing_since_ms is not None:
            failing_since_ms.append(self._failing_since_ms)
        if self.last_success_at_ms == 0 or any(
            now_ms - since_ms >= OUTAGE_THRESHOLD_MS for since_ms in failing_since_ms
        ):
            return None
        return now_ms - self.last_success_at_ms


class StateApplier:
    """Applies changes to the state and logs each difference.

    Args:
        state: State to update.
        events: Log that each change is written to.
        heartbeat_ms: Interval at which upstreams write their records.
    """

    __slots__ = ("_events", "_heartbeat_ms", "_state")

    def __init__(self, state: DeploymentState, events: EventLog, heartbeat_ms: int) -> None:
        self._state = state
        self._events = events
        self._heartbeat_ms = heartbeat_ms

    def apply_listing(self, kind: StateKind, listing: StateChanges, now_ms: int) -> None:
        """Applies a listing of all records of a kind.

        Upstreams that are not in the listing are marked as missing, and evacuations that are not
        in it end. A configuration is replaced only by a newer one: a listing without one leaves it
        as it is. Upstreams and evacuations count as loaded afterwards.
        """
        listed = {
            change.name
            for change in listing.changes
            if (change.record is not None and not change.is_held) or change.is_unreadable
        }
        if kind is StateKind.UPSTREAMS:
            for known in self._state.list_upstreams():
                if known.record.name not in listed:
                    self._apply_change(kind, StateChange(known.record.name, None), listing, now_ms)
            self._state.upstreams_loaded = True
        if kind is StateKind.EVACUATIONS:
            for name in self._state.list_evacuated_data_centres():
                if name not in listed:
                    self._apply_change(kind, StateChange(name, None), listing, now_ms)
            self._state.evacuations_loaded = True
        self.apply_changes(kind, listing, now_ms)

    def apply_changes(self, kind: StateKind, changes: StateChanges, now_ms: int) -> None:
        """Applies a list of changes in order."""
        for change in changes.changes:
            self._apply_change(kind, change, changes, now_ms)

    def _apply_change(
        self, kind: StateKind, change: StateChange, read: StateChanges, now_ms: int
    ) -> None:
        """Applies a change; `read` is what it was read with, for the log."""
        outcome = self._apply_to_state(kind, change, now_ms)
        if outcome is not None and outcome.is_changed:
            self._events.write(
                "state_changed",
                now_ms,
                kind=kind.value,
                name=change.name,
                detail=outcome.detail,
                era=read.era,
                revision=read.revision,
            )

    def _apply_to_state(
        self, kind: StateKind, change: StateChange, now_ms: int
    ) -> ApplyOutcome | None:
        record = change.record
        if change.is_unreadable:
            return self._apply_unreadable(kind, change.name, now_ms)
        if kind is StateKind.EVACUATIONS:
            return self._apply_evacuation(change.name, record is not None, now_ms)
        if isinstance(record, RoutingConfiguration):
            return self._apply_configuration(record, now_ms)
        if isinstance(record, UpstreamRecord):
            if change.is_held:
                return self._state.note_held_report(record, now_ms)
            return self._state.put_upstream(record, now_ms)
        if kind is StateKind.UPSTREAMS:
            return self._state.mark_upstream_missing(change.name, now_ms)
        return None

    def _apply_configuration(
        self, configuration: RoutingConfiguration, now_ms: int
    ) -> ApplyOutcome:
        """Applies a configuration; an older one than the current one is logged and ignored."""
        current = self._state.configuration
        if current is not None and current.is_newer_than(configuration):
            self._events.write(
                "outdated_configuration",
                now_ms,
                version=configuration.version,
                current_version=current.version,
            )
        return self._state.put_configuration(configuration)

    def _apply_unreadable(self, kind: StateKind, name: str, now_ms: int) -> ApplyOutcome | None:
        """Keeps what was read before; an upstream is used only as a last resort meanwhile."""
        if kind is StateKind.UPSTREAMS:
            return self._state.mark_upstream_unreadable(name, now_ms)
        return None

    def _apply_evacuation(self, data_centre: str, is_evacuated: bool, now_ms: int) -> ApplyOutcome:
        outcome = self._state.set_evacuated(data_centre, is_evacuated)
        if outcome.is_changed and not is_evacuated:
            # Upstreams whose cold start began during the evacuation report it with their next
            # heartbeat. Until one and a half heartbeat intervals have passed, all upstreams of the
            # data centre are treated as cold.
            self._state.extend_cold_start(
                data_centre, now_ms + self._heartbeat_ms + self._heartbeat_ms // 2
            )
        return outcome


class Synchroniser:
    """Reads records from a source and applies them to the state.

    Args:
        source: Source of the records.
        applier: Applies the records to the state.
        health: Tracks the availability of the source.
        settings: Time settings.
        events: Log that outages are written to.
        clock: Clock for timestamps.
        rng: Random source for the jitter of retries, which keeps instances whose calls failed
            at the same time from retrying at the same time.
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
        """Synchronises all kinds until cancelled."""
        async with anyio.create_task_group() as group:
            for kind in StateKind:
                group.start_soon(self.run_kind, kind)

    async def run_kind(
        self, kind: StateKind, *, task_status: anyio.abc.TaskStatus = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Synchronises one kind until cancelled.

        Args:
            kind: Kind of the records.
            task_status: Notified at the start.
        """
        task_status.started()
        progress = _KindProgress()
        while True:
            was_watching = progress.position is not None
            try:
                await self._read_once(kind, progress)
            except HistoryLost as error:
                self._events.write(
                    "history_lost",
                    self._clock.now_ms(),
                    kind=kind.value,
                    position=progress.position,
                    reason=str(error),
                )
                progress.position = None
                # The new listing may be outdated as well; the delay prevents a tight loop.
                await self._back_off(progress)
            except SourceUnavailable as error:
                self._record_failure(kind, error)
                await self._back_off(progress)
            else:
                # A successful listing does not reset the delay: the next watch may fail again.
                if was_watching:
                    progress.retry_delay_ms = RETRY_DELAY_INITIAL_MS

    async def _back_off(self, progress: _KindProgress) -> None:
        await anyio.sleep(progress.retry_delay_ms * (0.5 + self._rng.random()) / _MS_PER_S)
        progress.retry_delay_ms = min(RETRY_DELAY_MAX_MS, 2 * progress.retry_delay_ms)

    async def _read_once(self, kind: StateKind, progress: _KindProgress) -> None:
        now_ms = self._clock.now_ms()
        if progress.position is None or progress.is_listing_due(now_ms):
            await self._list(kind, progress)
            return
        timeout_ms = self._settings.timeout_ms
        if progress.list_again_at_ms is not None:
            timeout_ms = min(timeout_ms, progress.list_again_at_ms - now_ms)
        changes = await self._source.wait_for_changes(kind, progress.position, timeout_ms)
        self._record_success(kind)
        self._applier.apply_changes(kind, changes, self._clock.now_ms())
        progress.position = changes.position
        if changes.changes and self._settings.batching_delay_ms:
            await anyio.sleep(self._settings.batching_delay_ms / _MS_PER_S)

    async def _list(self, kind: StateKind, progress: _KindProgress) -> None:
        listing = await self._source.list_records(kind)
        self._record_success(kind)
        now_ms = self._clock.now_ms()
        progress.position = listing.position
        progress.list_again_at_ms = None
        if not listing.is_complete:
            progress.list_again_at_ms = now_ms + self._settings.settling_ms
        self._events.write(
            "state_listed",
            now_ms,
            kind=kind.value,
            records=len(listing.changes),
            era=listing.era,
            revision=listing.revision,
            is_complete=listing.is_complete,
        )
        self._applier.apply_listing(kind, listing, now_ms)

    def _record_success(self, kind: StateKind) -> None:
        now_ms = self._clock.now_ms()
        if self._health.record_success(now_ms, kind):
            self._events.write_always("source_available", now_ms)

    def _record_failure(self, kind: StateKind, error: SourceUnavailable) -> None:
        now_ms = self._clock.now_ms()
        if self._health.record_failure(now_ms, kind):
            self._events.write_always("source_lost", now_ms, kind=kind.value, reason=str(error))
