"""In-memory cache of the deployment records, from which a feeder serves other instances."""

import collections

import anyio
import msgspec

from catkinspread.deployment import (
    HistoryLost,
    RoutingConfiguration,
    SourcePosition,
    SourceUnavailable,
    StateChange,
    StateChanges,
    StateKind,
    StateRecord,
    UpstreamRecord,
)
from catkinspread.peers.restored_listing import merge_restored_listing

# Batches of changes kept for instances that lag behind.
HISTORY_BATCHES = 256
# Removed upstreams that are remembered; a restored source lists those that left in the seconds since
# it was copied.
REMOVED_MAX = 1_024


class _CachedKind:
    """Records and recent changes of one kind.

    Changes of the era of `position` after `oldest_revision` are in the history; older ones have been
    discarded.

    Attributes:
        restored_at_ms: When the first incomplete listing was read; None while the records are
            complete.
        removed: Last records of upstreams that were removed, oldest first.
    """

    __slots__ = (
        "changed",
        "history",
        "oldest_revision",
        "position",
        "records",
        "removed",
        "restored_at_ms",
    )

    def __init__(self) -> None:
        self.records: dict[str, StateRecord] = {}
        self.removed: dict[str, UpstreamRecord] = {}
        self.restored_at_ms: int | None = None
        self.position: SourcePosition | None = None
        self.oldest_revision = 0
        self.history: collections.deque[StateChanges] = collections.deque(maxlen=HISTORY_BATCHES)
        self.changed = anyio.Event()

    def update_completeness(self, listing: StateChanges, now_ms: int, settling_ms: int) -> None:
        """Decides whether a new listing is complete or has to be merged with the records."""
        is_restored = self.position is not None and listing.era > self.position.era
        if is_restored or (self.restored_at_ms is None and not listing.is_complete):
            self.restored_at_ms = now_ms
            return
        since_ms = self.restored_at_ms
        if since_ms is not None and listing.is_complete and now_ms - since_ms >= settling_ms:
            self.restored_at_ms = None

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


def _coalesce(batches: list[StateChanges]) -> tuple[StateChange, ...]:
    """Returns the last change of each record, in the order of these changes.

    Intermediate versions of a record that changes in quick succession would only waste bandwidth.
    """
    latest: dict[str, StateChange] = {}
    for batch in batches:
        for change in batch.changes:
            latest.pop(change.name, None)
            latest[change.name] = change
    return tuple(latest.values())


class StateCache:
    """Holds the records at the positions of the source, and their recent changes.

    For some time after the source was restored from a copy, its listings are merged with the records
    known before and count as incomplete, so that neither this instance nor one that starts from its
    records goes back to the state of the copy. A configuration is replaced only by a newer one.

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
        return tuple(
            cached.history[-1].revision if cached.history else 0 for cached in self._cached.values()
        )

    def put_listing(self, kind: StateKind, listing: StateChanges, now_ms: int) -> StateChanges:
        """Replaces all records of a kind and discards its history.

        A record that cannot be read keeps its previous value.

        Returns:
            The listing, merged with the records known before if it is incomplete.
        """
        cached = self._cached[kind]
        cached.update_completeness(listing, now_ms, self._settling_ms)
        is_complete = cached.restored_at_ms is None
        changes = listing.changes
        if not is_complete:
            changes = merge_restored_listing(kind, listing, cached.records, cached.removed)
        self._replace_records(cached, changes, is_complete)
        cached.position = listing.position
        cached.oldest_revision = listing.revision
        cached.history.clear()
        self._notify_waiters(cached)
        return msgspec.structs.replace(listing, changes=changes, is_complete=is_complete)

    def _replace_records(
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
        for change in changes:
            if change.record is not None:
                cached.put_record(change.name, change.record)

    def put_changes(self, kind: StateKind, changes: StateChanges) -> None:
        """Applies changes that follow the cached position, in the same era."""
        cached = self._cached[kind]
        for change in changes.changes:
            if change.is_unreadable:
                continue
            if change.record is None:
                cached.remove_record(change.name)
            else:
                cached.put_record(change.name, change.record)
        cached.position = max(cached.position or changes.position, changes.position)
        if changes.changes:
            if len(cached.history) == HISTORY_BATCHES:
                cached.oldest_revision = cached.history[0].revision
            cached.history.append(changes)
            self._notify_waiters(cached)

    def list_records(self, kind: StateKind) -> StateChanges | None:
        """Returns all records of a kind; None if they have not been read yet."""
        cached = self._cached[kind]
        if cached.position is None:
            return None
        changes = tuple(StateChange(name, record) for name, record in cached.records.items())
        return StateChanges(
            changes,
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
                f"(cache at {cached.position}, with changes after {cached.oldest_revision})"
            )
        found = [batch for batch in cached.history if batch.revision > position.revision]
        latest = max(position, cached.position)
        return StateChanges(_coalesce(found), latest.revision, latest.era)

    def _is_history_lost(self, cached: _CachedKind, position: SourcePosition) -> bool:
        is_other_era = cached.position is not None and cached.position.era != position.era
        return is_other_era or position.revision < cached.oldest_revision

    def _has_newer(self, cached: _CachedKind, position: SourcePosition) -> bool:
        if self._is_history_lost(cached, position):
            return True
        return bool(cached.history) and cached.history[-1].position > position

    def _notify_waiters(self, cached: _CachedKind) -> None:
        cached.changed.set()
        cached.changed = anyio.Event()
