"""The interface through which an instance reads the state of the deployment."""

from typing import Protocol

import msgspec

from catkinspread.deployment.records import (
    RoutingConfiguration,
    StateKind,
    UpstreamRecord,
)

StateRecord = RoutingConfiguration | UpstreamRecord | str
"""A record of a kind; a string is the name of an evacuated data centre."""


class SourceUnavailable(Exception):
    """The source did not answer or refused the call."""


class HistoryLost(Exception):
    """The source no longer has the changes since the revision asked for."""


class StateChange(msgspec.Struct, frozen=True):
    """A record that was written or removed.

    Attributes:
        name: Name of the record.
        record: The record as it is now; None if it was removed or cannot be used.
    """

    name: str
    record: StateRecord | None


class StateChanges(msgspec.Struct, frozen=True):
    """Changes in order.

    Attributes:
        changes: The changes, or for a listing all records there are.
        revision: Revision of the source up to which they are complete.
    """

    changes: tuple[StateChange, ...]
    revision: int


class StateSource(Protocol):
    """A linearizable source of records with a revision that grows with each change."""

    async def list_records(self, kind: StateKind) -> StateChanges:
        """Returns all records of a kind.

        Raises:
            SourceUnavailable: If there was no usable answer.
        """

    async def wait_for_changes(self, kind: StateKind, revision: int, wait_ms: int) -> StateChanges:
        """Returns the changes after a revision, empty if there were none in time.

        Raises:
            SourceUnavailable: If there was no usable answer.
            HistoryLost: If the changes since the revision are no longer known.
        """
