"""In-memory cache of the deployment records, from which a feeder serves other instances."""

import collections

import anyio

from catkinspread.deployment import (
    HistoryLost,
    StateChange,
    StateChanges,
    StateKind,
    StateRecord,
)

# Batches of changes kept for instances that lag behind.
HISTORY_BATCHES = 256


class _CachedKind:
    """Records and recent changes of one kind.

    Changes after `oldest_revision` are in the history; older ones have been discarded.
    """

    __slots__ = ("changed", "history", "oldest_revision", "records", "revision")

    def __init__(self) -> None:
        self.records: dict[str, StateRecord] = {}
        self.revision: int | None = None
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
    """Holds the records at the revisions of the source, and their recent changes."""

    __slots__ = ("_cached",)

    def __init__(self) -> None:
        self._cached = {kind: _CachedKind() for kind in StateKind}

    @property
    def is_complete(self) -> bool:
        """Whether the records of every kind have been read."""
        return all(cached.revision is not None for cached in self._cached.values())

    def put_listing(self, kind: StateKind, listing: StateChanges) -> None:
        """Replaces all records of a kind and discards its history.

        A record that cannot be read keeps its previous value.
        """
        cached = self._cached[kind]
        previous = cached.records
        cached.records = {}
        for change in listing.changes:
            if change.is_unreadable and change.name in previous:
                cached.records[change.name] = previous[change.name]
            elif change.record is not None:
                cached.records[change.name] = change.record
        cached.revision = listing.revision
        cached.oldest_revision = listing.revision
        cached.history.clear()
        self._notify_waiters(cached)

    def put_changes(self, kind: StateKind, changes: StateChanges) -> None:
        """Applies changes that follow the cached revision."""
        cached = self._cached[kind]
        for change in changes.changes:
            if change.is_unreadable:
                continue
            if change.record is None:
                cached.records.pop(change.name, None)
            else:
                cached.records[change.name] = change.record
        cached.revision = max(cached.revision or 0, changes.revision)
        if changes.changes:
            if len(cached.history) == HISTORY_BATCHES:
                cached.oldest_revision = cached.history[0].revision
            cached.history.append(changes)
            self._notify_waiters(cached)

    def list_records(self, kind: StateKind) -> StateChanges | None:
        """Returns all records of a kind; None if they have not been read yet."""
        cached = self._cached[kind]
        if cached.revision is None:
            return None
        changes = tuple(StateChange(name, record) for name, record in cached.records.items())
        return StateChanges(changes, cached.revision)

    async def wait_for_changes(
        self, kind: StateKind, revision: int, timeout_ms: int
    ) -> StateChanges:
        """Returns the changes after a revision; empty if there are none within the wait time.

        Raises:
            HistoryLost: If the changes after the revision are no longer cached; after the wait time,
                also if no records of the kind have been read yet.
        """
        cached = self._cached[kind]
        with anyio.move_on_after(timeout_ms / 1_000):
            while not self._has_newer(cached, revision):
                await cached.changed.wait()
        if cached.revision is None or revision < cached.oldest_revision:
            raise HistoryLost(
                f"changes of {kind.value} after revision {revision} are not cached "
                f"(cache at revision {cached.revision}, with changes after {cached.oldest_revision})"
            )
        found = [batch for batch in cached.history if batch.revision > revision]
        return StateChanges(_coalesce(found), max(revision, cached.revision))

    def _has_newer(self, cached: _CachedKind, revision: int) -> bool:
        if revision < cached.oldest_revision:
            return True
        return bool(cached.history) and cached.history[-1].revision > revision

    def _notify_waiters(self, cached: _CachedKind) -> None:
        cached.changed.set()
        cached.changed = anyio.Event()
