"""In-memory cache of the deployment records, from which a feeder serves other instances."""

import collections

import anyio

from catkinspread.deployment import (
    HistoryLost,
    RoutingConfiguration,
    SourcePosition,
    SourceUnavailable,
    StateChange,
    StateChanges,
    StateKind,
    StateRecord,
)

# Batches of changes kept for instances that lag behind.
HISTORY_BATCHES = 256


class _CachedKind:
    """Records and recent changes of one kind.

    Changes of the era of `position` after `oldest_revision` are in the history; older ones have been
    discarded.
    """

    __slots__ = ("changed", "history", "oldest_revision", "position", "records")

    def __init__(self) -> None:
        self.records: dict[str, StateRecord] = {}
        self.position: SourcePosition | None = None
        self.oldest_revision = 0
        self.history: collections.deque[StateChanges] = collections.deque(maxlen=HISTORY_BATCHES)
        self.changed = anyio.Event()


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

    A configuration is replaced only by a newer one, so that an instance that starts does not get the
    older one of a source that was restored from a copy.

    Attributes:
        era: Highest era of the source that this instance knows of.
    """

    __slots__ = ("_cached", "era")

    def __init__(self) -> None:
        self._cached = {kind: _CachedKind() for kind in StateKind}
        self.era = 0

    @property
    def is_complete(self) -> bool:
        """Whether the records of every kind have been read."""
        return all(cached.position is not None for cached in self._cached.values())

    def get_position(self, kind: StateKind) -> SourcePosition | None:
        """Returns the position of the records of a kind; None if they have not been read yet."""
        return self._cached[kind].position

    def put_listing(self, kind: StateKind, listing: StateChanges) -> None:
        """Replaces all records of a kind and discards its history.

        A record that cannot be read keeps its previous value.
        """
        cached = self._cached[kind]
        previous = cached.records
        cached.records = {
            name: record
            for name, record in previous.items()
            if isinstance(record, RoutingConfiguration)
        }
        for change in listing.changes:
            if change.is_unreadable and change.name in previous:
                cached.records[change.name] = previous[change.name]
            elif change.record is not None:
                _put_record(cached.records, change.name, change.record)
        cached.position = listing.position
        cached.oldest_revision = listing.revision
        cached.history.clear()
        self._notify_waiters(cached)

    def put_changes(self, kind: StateKind, changes: StateChanges) -> None:
        """Applies changes that follow the cached position, in the same era."""
        cached = self._cached[kind]
        for change in changes.changes:
            if change.is_unreadable:
                continue
            if change.record is None:
                cached.records.pop(change.name, None)
            else:
                _put_record(cached.records, change.name, change.record)
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
        return StateChanges(changes, cached.position.revision, cached.position.era)

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


def _put_record(records: dict[str, StateRecord], name: str, record: StateRecord) -> None:
    if isinstance(record, RoutingConfiguration):
        current = records.get(name)
        if isinstance(current, RoutingConfiguration) and not record.is_newer_than(current):
            return
    records[name] = record
