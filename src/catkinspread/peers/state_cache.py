"""The records of the deployment as they were read, kept to be passed on to other instances."""

import collections

import anyio

from catkinspread.deployment import (
    HistoryLost,
    StateChange,
    StateChanges,
    StateKind,
    StateRecord,
)

# Batches of changes that are kept for instances that are behind.
HISTORY_BATCHES = 256


class _Shelf:
    """The records of one kind."""

    __slots__ = ("changed", "floor", "history", "records", "revision")

    def __init__(self) -> None:
        self.records: dict[str, StateRecord] = {}
        self.revision: int | None = None
        self.floor = 0
        self.history: collections.deque[StateChanges] = collections.deque(maxlen=HISTORY_BATCHES)
        self.changed = anyio.Event()


def _keep_latest(batches: list[StateChanges]) -> tuple[StateChange, ...]:
    """Returns the last change of each record, in the order of these changes.

    While a record changes in quick succession, the versions in between would fill the links.
    """
    latest: dict[str, StateChange] = {}
    for batch in batches:
        for change in batch.changes:
            latest.pop(change.name, None)
            latest[change.name] = change
    return tuple(latest.values())


class StateCache:
    """Holds all records with the revisions of the source and the latest changes."""

    __slots__ = ("_shelves",)

    def __init__(self) -> None:
        self._shelves = {kind: _Shelf() for kind in StateKind}

    @property
    def is_complete(self) -> bool:
        """Whether every kind was read."""
        return all(shelf.revision is not None for shelf in self._shelves.values())

    def put_listing(self, kind: StateKind, listing: StateChanges) -> None:
        """Takes all records of a kind."""
        shelf = self._shelves[kind]
        shelf.records = {
            change.name: change.record for change in listing.changes if change.record is not None
        }
        shelf.revision = listing.revision
        shelf.floor = listing.revision
        shelf.history.clear()
        self._notify(shelf)

    def put_changes(self, kind: StateKind, changes: StateChanges) -> None:
        """Takes changes that follow what is held."""
        shelf = self._shelves[kind]
        for change in changes.changes:
            if change.record is None:
                shelf.records.pop(change.name, None)
            else:
                shelf.records[change.name] = change.record
        shelf.revision = max(shelf.revision or 0, changes.revision)
        if changes.changes:
            if len(shelf.history) == HISTORY_BATCHES:
                shelf.floor = shelf.history[0].revision
            shelf.history.append(changes)
            self._notify(shelf)

    def list_records(self, kind: StateKind) -> StateChanges | None:
        """Returns all records of a kind; None if they were not read yet."""
        shelf = self._shelves[kind]
        if shelf.revision is None:
            return None
        changes = tuple(StateChange(name, record) for name, record in shelf.records.items())
        return StateChanges(changes, shelf.revision)

    async def wait_for_changes(
        self, kind: StateKind, revision: int, timeout_ms: int
    ) -> StateChanges:
        """Returns the changes after a revision; empty if there are none in time.

        Raises:
            HistoryLost: If the changes since the revision are not held any more.
        """
        shelf = self._shelves[kind]
        with anyio.move_on_after(timeout_ms / 1_000):
            while not self._has_later(shelf, revision):
                await shelf.changed.wait()
        if shelf.revision is None or revision < shelf.floor:
            raise HistoryLost(f"changes of {kind.value} since {revision} are not held")
        found = [batch for batch in shelf.history if batch.revision > revision]
        return StateChanges(_keep_latest(found), max(revision, shelf.revision))

    def _has_later(self, shelf: _Shelf, revision: int) -> bool:
        if revision < shelf.floor:
            return True
        return bool(shelf.history) and shelf.history[-1].revision > revision

    def _notify(self, shelf: _Shelf) -> None:
        shelf.changed.set()
        shelf.changed = anyio.Event()
