"""The interface that an instance reads the state of the deployment through."""

from typing import Protocol

import msgspec

from catkinspread.deployment.records import (
    RoutingConfiguration,
    StateKind,
    UpstreamRecord,
)

StateRecord = RoutingConfiguration | UpstreamRecord | str
"""A record of any kind; a string is the name of an evacuated data centre."""


class SourceUnavailable(Exception):
    """The source did not answer, or rejected the call."""


class HistoryLost(Exception):
    """The source no longer holds the changes since the requested revision."""


class StateChange(msgspec.Struct, frozen=True):
    """A record that was written or removed.

    Attributes:
        name: Name of the record.
        record: Current value of the record; None if it was removed or is not usable.
    """

    name: str
    record: StateRecord | None


class StateChanges(msgspec.Struct, frozen=True):
    """A listing of records, or an ordered list of changes to them.

    Attributes:
        changes: The changes in order; in a listing, one entry for each existing record.
        revision: Revision of the source up to which the list is complete.
    """

    changes: tuple[StateChange, ...]
    revision: int


class StateSource(Protocol):
    """A linearizable source of records whose revision increases with each change."""

    async def list_records(self, kind: StateKind) -> StateChanges:
        """Returns all records of a kind.

        Raises:
            SourceUnavailable: If the source did not return a valid response.
        """

    async def wait_for_changes(
        self, kind: StateKind, revision: int, timeout_ms: int
    ) -> StateChanges:
        """Waits for changes after a revision and returns them.

        The list is empty if nothing changed within `timeout_ms`.

        Raises:
            SourceUnavailable: If the source did not return a valid response.
            HistoryLost: If the source no longer holds the changes since the revision.
        """
