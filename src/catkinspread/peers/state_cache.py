"""In-memory cache of the deployment records, from which a feeder serves other instances."""

import anyio
import msgspec

from catkinspread.deployment import (
    HistoryLost,
    ReportOrder,
    RoutingConfiguration,
    SourcePosition,
    SourceUnavailable,
    StateChange,
    StateChanges,
    StateKind,
    StateRecord,
    UpstreamRecord,
    Verdict,
)
from catkinspread.peers.change_index import ChangeIndex
from catkinspread.peers.restored_listing import merge_restored_listing

# Removed upstreams that are remembered; a restored source lists those that left in the seconds since
# it was copied.
REMOVED_MAX = 1_024


class _CachedKind:
    """Records of one kind, and which of them have changed since they were listed.

    The values of earlier changes are not kept: a reader that lags behind gets the last value of each
    record that has changed.

    Attributes:
        changes: Names and revisions of the changes, of the era of `position`.
        unreadable: Names in `changes` whose last change cannot be read.
        restored_at_ms: When the first incomplete listing was read; None while the records are
            complete.
        removed: Last records of upstreams that were removed, oldest first.
        reports: Decides which reports of upstreams are applied.
    """

    __slots__ = (
        "changed",
        "changes",
        "position",
        "records",
        "removed",
        "reports",
        "restored_at_ms",
        "unreadable",
    )

    def __init__(self) -> None:
        self.records: dict[str, StateRecord] = {}
        self.removed: dict[str, UpstreamRecord] = {}
        self.restored_at_ms: int | None = None
        self.position: SourcePosition | None = None
        self.changes = ChangeIndex()
        self.unreadable: set[str] = set()
        self.reports = ReportOrder()
        self.changed = anyio.Event()

    def update_completeness(self, listing: StateChanges, now_ms: int, settling_ms: int) -> bool:
        """Decides whether a new listing is complete or has to be merged with the records.

        Returns:
            Whether it is the first complete one after a restoration.
        """
        is_restored = self.position is not None and listing.era > self.position.era
        if is_restored or (self.restored_at_ms is None and not listing.is_complete):
            self.restored_at_ms = now_ms
            return False
        since_ms = self.restored_at_ms
        if since_ms is not None and listing.is_complete and now_ms - since_ms >= settling_ms:
            self.restored_at_ms = None
            return True
        return False

    def put_record(self, name: str, record: StateRecord) -> None:
        """Adds or replaces a record; a configuration is replaced only by a newer one."""
        current = self.records.get(name)
        if isinstance(record, RoutingConfiguration) and isinstance(current, RoutingConfiguration):
            if record.is_newer_than(current):
                self.records[name] = record
            return
        self.records[name] = record
        self.removed.pop(name, None)

    def remove_record(self, name: str) -> None:
        """Removes a record if there is one."""
        record = self.records.pop(name, None)
        if not isinstance(record, UpstreamRecord):
            return
        self.removed[name] = record
        if len(self.removed) > REMOVED_MAX:
            del self.removed[next(iter(self.removed))]

    def apply_change(
        self, change: StateChange, now_ms: int, *, is_settled: bool = False
    ) -> StateChange:
        """Applies a change.

        Args:
            change: The change, as it was read.
            now_ms: Current time.
            is_settled: Whether no earlier write can be executed any more, so that nothing is held
                back.

        Returns:
            The change as it is to be applied to the state.
        """
        name, record = change.name, change.record
        if isinstance(record, UpstreamRecord):
            change = self._judge_report(change, record, now_ms, is_settled)
        self.unreadable.discard(name)
        if change.is_held:
            return change
        if change.is_unreadable:
            self.unreadable.add(name)
            self.reports.discard_held(name)
        elif change.record is None:
            self.remove_record(name)
            self.reports.discard_held(name)
        else:
            self.put_record(name, change.record)
        return change

    def _judge_report(
        self, change: StateChange, record: UpstreamRecord, now_ms: int, is_settled: bool
    ) -> StateChange:
        """Returns a report as it is to be applied; one that is refused counts as unreadable."""
        name = record.name
        last = self._find_last_report(name)
        verdict = self.reports.judge(record, last, now_ms)
        if verdict is Verdict.REFUSED:
            return StateChange(name, None, is_unreadable=True)
        is_held_by_peer = change.is_held and record != last
        if is_held_by_peer or (verdict is Verdict.HELD and not is_settled):
            self.reports.hold(record, now_ms)
            return StateChange(name, record, is_held=True)
        self.reports.record_applied(record, last, now_ms)
        return StateChange(name, record)

    def _find_last_report(self, name: str) -> UpstreamRecord | None:
        record = self.records.get(name) or self.removed.get(name)
        return record if isinstance(record, UpstreamRecord) else None

    def record_change(self, name: str, revision: int) -> None:
        """Notes for readers that a record has changed or is held back."""
        has_record = name in self.unreadable or name in self.records
        self.changes.record_change(name, revision, has_record)

    def list_changes(self, revision: int) -> tuple[StateChange, ...]:
        """Returns the last change of each record after a revision, in the order of the changes."""
        changes: list[StateChange] = []
        for name in self.changes.list_changed(revision):
            changes.extend(self._build_changes(name))
        return tuple(changes)

    def _build_changes(self, name: str) -> list[StateChange]:
        if name in self.unreadable:
            return [StateChange(name, None, is_unreadable=True)]
        changes = [StateChange(name, self.records.get(name))]
        held = self.reports.find_held(name)
        if held is not None:
            changes.append(StateChange(name, held, is_held=True))
        return changes


class StateCache:
    """Holds the records at the positions of the source, and which of them have changed.

    For some time after the source was restored from a copy, its listings are merged with the records
    known before and count as incomplete, so that neither this instance nor one that starts from its
    records goes back to the state of the copy. A configuration is replaced only by a newer one.

    All that an instance reads passes through here, whether it comes from the source, from a feeder or
    from a peer. So this is the one place at which a report of an upstream is applied or held back.

    Args:
        settling_ms: Time after a restoration until listings count as complete again, in ms.

    Attributes:
        era: Highest era of the source that this instance knows of.
    """

    __slots__ = ("_cached", "_settling_ms", "era")

    def __init__(self, settling_ms: int) -> None:
        self._cached = {kind: _CachedKind() for kind in StateKind}
        self._settling_ms = settling_ms
        self.era = 0

    @property
    def is_complete(self) -> bool:
        """Whether the records of every kind have been read."""
        return all(cached.position is not None for cached in self._cached.values())

    def get_position(self, kind: StateKind) -> SourcePosition | None:
        """Returns the position of the records of a kind; None if they have not been read yet."""
        return self._cached[kind].position

    def list_changed_revisions(self) -> tuple[int, ...]:
        """Returns the revisions of the last cached changes, in the order of `StateKind`.

        The revision is 0 for a kind without changes since its last listing.
        """
        return tuple(cached.changes.latest_revision for cached in self._cached.values())

    def put_listing(self, kind: StateKind, listing: StateChanges, now_ms: int) -> StateChanges:
        """Replaces all records of a kind and forgets which have changed before.

        A record that cannot be read keeps its previous value.

        Returns:
            The listing as it is to be applied: merged with the records known before if it is
            incomplete, and with the last record of each upstream whose report is held back.
        """
        cached = self._cached[kind]
        is_settled = cached.update_completeness(listing, now_ms, self._settling_ms)
        is_complete = cached.restored_at_ms is None
        changes = listing.changes
        if not is_complete:
            changes = merge_restored_listing(kind, listing, cached.records, cached.removed)
        self._drop_unlisted(cached, changes, is_complete)
        changes = self._apply_listed(cached, changes, now_ms, is_settled)
        cached.position = listing.position
        cached.changes.reset(listing.revision)
        cached.unreadable.clear()
        self._notify_waiters(cached)
        return msgspec.structs.replace(listing, changes=changes, is_complete=is_complete)

    def _drop_unlisted(
        self, cached: _CachedKind, changes: tuple[StateChange, ...], is_complete: bool
    ) -> None:
        listed = {
            change.name for change in changes if change.is_unreadable or change.record is not None
        }
        for name, record in list(cached.records.items()):
            if name in listed or isinstance(record, RoutingConfiguration):
                continue
            if is_complete:
                cached.remove_record(name)
            else:
                # It was not removed: the copy may be older than the record.
                del cached.records[name]

    def _apply_listed(
        self,
        cached: _CachedKind,
        changes: tuple[StateChange, ...],
        now_ms: int,
        is_settled: bool,
    ) -> tuple[StateChange, ...]:
        applied: list[StateChange] = []
        for change in changes:
            if change.record is None:
                applied.append(change)
                continue
            result = cached.apply_change(change, now_ms, is_settled=is_settled)
            last = cached.records.get(change.name)
            if result.is_held and last is not None:
                applied.append(StateChange(change.name, last))
            applied.append(result)
        cached.reports.keep_held({change.name for change in applied if change.is_held})
        return tuple(applied)

    def put_changes(self, kind: StateKind, changes: StateChanges, now_ms: int) -> StateChanges:
        """Applies changes that follow the cached position, in the same era.

        Returns:
            The changes as they are to be applied to the state.
        """
        cached = self._cached[kind]
        applied = []
        for change in changes.changes:
            applied.append(cached.apply_change(change, now_ms))
            cached.record_change(change.name, changes.revision)
        cached.position = max(cached.position or changes.position, changes.position)
        if changes.changes:
            self._notify_waiters(cached)
        return msgspec.structs.replace(changes, changes=tuple(applied))

    def restart_holding(self, kind: StateKind, now_ms: int) -> None:
        """Holds all held reports for the full time, because upstreams cannot write at present."""
        self._cached[kind].reports.restart_holding(now_ms)

    def release_held(
        self, kind: StateKind, answered_at_ms: int, now_ms: int
    ) -> tuple[StateChange, ...]:
        """Applies the reports that were held back long enough, and returns them as changes.

        Readers hold the same reports and release them themselves, so the position stays.

        Args:
            kind: Kind of the records.
            answered_at_ms: When the source last answered. What it held later is not known.
            now_ms: Current time.
        """
        cached = self._cached[kind]
        released = []
        for record in cached.reports.list_due(answered_at_ms):
            change = StateChange(record.name, record)
            released.append(cached.apply_change(change, now_ms, is_settled=True))
        return tuple(released)

    def find_release_ms(self, kind: StateKind) -> int | None:
        """Returns when the next held report is to be released; None if there is none."""
        return self._cached[kind].reports.find_next_due_ms()

    def list_records(self, kind: StateKind) -> StateChanges | None:
        """Returns all records of a kind; None if they have not been read yet."""
        cached = self._cached[kind]
        if cached.position is None:
            return None
        changes = [StateChange(name, record) for name, record in cached.records.items()]
        changes += [
            StateChange(record.name, record, is_held=True) for record in cached.reports.list_held()
        ]
        return StateChanges(
            tuple(changes),
            cached.position.revision,
            cached.position.era,
            is_complete=cached.restored_at_ms is None,
        )

    async def wait_for_changes(
        self, kind: StateKind, position: SourcePosition, timeout_ms: int
    ) -> StateChanges:
        """Returns the changes after a position; empty if there are none within the wait time.

        Raises:
            SourceUnavailable: If the cached records are of an earlier era than the position.
            HistoryLost: If the changes after the position are not cached because they were
                discarded or the position is of an earlier era; after the wait time, also if no
                records of the kind have been read yet.
        """
        cached = self._cached[kind]
        if cached.position is not None and cached.position.era < position.era:
            raise SourceUnavailable(
                f"{kind.value} are cached at {cached.position}, of an earlier era than {position}"
            )
        with anyio.move_on_after(timeout_ms / 1_000):
            while not self._has_newer(cached, position):
                await cached.changed.wait()
        if cached.position is None or self._is_history_lost(cached, position):
            raise HistoryLost(
                f"changes of {kind.value} after {position} are not cached "
                f"(cache at {cached.position}, with changes after {cached.changes.oldest_revision})"
            )
        latest = max(position, cached.position)
        changes = cached.list_changes(position.revision)
        return StateChanges(changes, latest.revision, latest.era)

    def _is_history_lost(self, cached: _CachedKind, position: SourcePosition) -> bool:
        is_other_era = cached.position is not None and cached.position.era != position.era
        return is_other_era or position.revision < cached.changes.oldest_revision

    def _has_newer(self, cached: _CachedKind, position: SourcePosition) -> bool:
        if self._is_history_lost(cached, position):
            return True
        return cached.changes.latest_revision > position.revision

    def _notify_waiters(self, cached: _CachedKind) -> None:
        cached.changed.set()
        cached.changed = anyio.Event()
