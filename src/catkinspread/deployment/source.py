"""The interface that an instance reads the state of the deployment through."""

from typing import Protocol

import msgspec

from catkinspread.deployment.bounds import Count, Name
from catkinspread.deployment.records import (
    RoutingConfiguration,
    StateKind,
    UpstreamRecord,
)

StateRecord = RoutingConfiguration | UpstreamRecord | Name
"""A record of any kind; a string is the name of an evacuated data centre."""


class SourceUnavailable(Exception):
    """The source did not answer, or rejected the call."""


class HistoryLost(Exception):
    """The source does not hold the changes since the requested position."""


class SourcePosition(msgspec.Struct, frozen=True, order=True):
    """A point in the history of the source.

    Revisions are comparable only within an era: a source that was restored from a copy gives
    revisions out again.

    Attributes:
        era: Number of times that the source was restored, counted by the source; 0 if it does not
            tell.
        revision: Number of the last change; increases with each change of an era.
    """

    era: int
    revision: int


class StateChange(msgspec.Struct, frozen=True):
    """A record that was written or removed.

    Attributes:
        name: Name of the record.
        record: Current value of the record; None if it was removed, cannot be read or is not used.
        is_unreadable: Whether the source holds a record that cannot be read.
        is_held: Whether the record is older than the last one of the same upstream, which stays in
            use; see `ReportOrder`.
    """

    name: Name
    record: StateRecord | None
    is_unreadable: bool = False
    is_held: bool = False


class StateChanges(msgspec.Struct, frozen=True):
    """The records that one call to a source returns.

    `StateSource.list_records` returns a listing: one item for each existing record.
    `StateSource.wait_for_changes` returns the changes after a revision, in the order in which they
    were made.

    Attributes:
        changes: The items of the listing, or the changes.
        revision: Revision of the source up to which the listing or the changes are complete.
        era: Era of the revision; see `SourcePosition`.
        is_complete: Whether a listing holds all records. False for some time after the source was
            restored from a copy, until the writers of lost records have written them again.
    """

    changes: tuple[StateChange, ...]
    revision: Count
    era: Count = 0
    is_complete: bool = True

    @property
    def position(self) -> SourcePosition:
        """Position of the source up to which the listing or the changes are complete."""
        return SourcePosition(self.era, self.revision)


class StateSource(Protocol):
    """A linearizable source of records whose position increases with each change."""

    async def list_records(self, kind: StateKind) -> StateChanges:
        """Returns a listing of all records of a kind.

        Raises:
            SourceUnavailable: If the source did not return a valid response.
        """

    async def wait_for_changes(
        self, kind: StateKind, position: SourcePosition, timeout_ms: int
    ) -> StateChanges:
        """Waits for changes after a position and returns them in order.

        The changes may be of another era than the position if the source was restored; then they
        do not follow the position.

        Args:
            kind: Kind of the records.
            position: Position up to which the changes are already known.
            timeout_ms: Maximum time to wait, in ms. If nothing changes in this time, the result
                contains no changes.

        Raises:
            SourceUnavailable: If the source did not return a valid response.
            HistoryLost: If the source does not hold the changes since the position.
        """
