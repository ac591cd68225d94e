"""Writer of changes to the configuration log."""

import msgspec
from expression import Error, Ok, Result

from catkinspread.configuration.effects import (
    ChangeEntry,
    Effect,
    decode_entry,
    encode_entry,
)
from catkinspread.configuration.messages import hash_payload
from catkinspread.objectstore import (
    AppendLog,
    AppendOutcome,
    LogEntry,
    ObjectStoreError,
    OutcomeUnknown,
    StoreUnavailable,
)

CONFIGURATION_LOG_PREFIX = "configuration/log"


class Change(msgspec.Struct, frozen=True):
    """A change to be written; see ChangeEntry for the fields."""

    change_id: str
    actor: str
    command: str
    reason: str
    effects: tuple[Effect, ...]


class ChangeWritten(msgspec.Struct, frozen=True):
    """The change is in the log.

    Attributes:
        version: Version that results from the change.
        entry: The entry. Pass it to `ConfigurationReplica.handle_log` of this instance, which
            then pushes it to peers without waiting for a watch of the log.
    """

    version: int
    entry: LogEntry


class ChangeConflict(msgspec.Struct, frozen=True):
    """Another change already occupies version `version`; this change will never be written.

    Attributes:
        version: Version that results from the other change.
        actor: Author of the other change.
        command: Command of the other change; empty for automatic steps.
        change_id: Id of the other change.
        written_at_ms: Time of writing of the other change, in ms since the epoch.
    """

    version: int
    actor: str
    command: str
    change_id: str
    written_at_ms: int


class ChangeUnavailable(msgspec.Struct, frozen=True):
    """The platform failed before the change was sent, so the change was not written.

    Attributes:
        message: Error message of the object store.
    """

    message: str


class ChangeOutcomeUnknown(msgspec.Struct, frozen=True):
    """The change may or may not have been written; call `find_outcome` later.

    Attributes:
        change_id: Id of the change.
        expected_version: Version that the change was conditional on.
    """

    change_id: str
    expected_version: int


class VersionAhead(msgspec.Struct, frozen=True):
    """The log has not reached the expected version, so the change was not written.

    Attributes:
        expected_version: Version that the change was conditional on.
    """

    expected_version: int


ChangeFailure = ChangeConflict | ChangeUnavailable | ChangeOutcomeUnknown | VersionAhead
ChangeResult = Result[ChangeWritten, ChangeFailure]


class ConfigurationWriter:
    """Appends changes, each conditional on the version for which it was planned."""

    __slots__ = ("_log",)

    def __init__(self, log: AppendLog) -> None:
        self._log = log

    async def write(self, change: Change, expected_version: int, now_ms: int) -> ChangeResult:
        """Writes a change if the log ends at the expected version.

        The previous entry is read from the log rather than from the replica, so that the hash
        chain continues from the stored entry.

        Args:
            change: The change. Calls with the same change id and the same `expected_version` are
                idempotent.
            expected_version: Version for which the change was planned.
            now_ms: Time of writing to store in the entry, in ms since the epoch.

        Returns:
            ChangeWritten if the change is in the log, otherwise ChangeConflict if another change
            follows the expected version, VersionAhead if the log ends before it,
            ChangeUnavailable if the platform failed before the change was sent, or
            ChangeOutcomeUnknown if it failed afterwards.

        Raises:
            EntryError: If the payload of the conflicting entry is malformed.
            msgspec.DecodeError: If a log entry cannot be decoded.
            ValueTooLarge: If the entry exceeds the value limit of the platform.
        """
        try:
            previous_entry, next_entry = await self._read_adjacent(expected_version)
        except ObjectStoreError as error:
            return Error(ChangeUnavailable(str(error)))
        if next_entry is not None:
            return _resolve_outcome(next_entry, change.change_id)
        if previous_entry is None and expected_version > 0:
            return Error(VersionAhead(expected_version))
        payload = encode_entry(
            ChangeEntry(
                change_id=change.change_id,
                actor=change.actor,
                command=change.command,
                reason=change.reason,
                written_at_ms=now_ms,
                previous_hash=0 if previous_entry is None else hash_payload(previous_entry.payload),
                effects=change.effects,
            )
        )
        try:
            outcome = await self._log.append(expected_version + 1, change.change_id, payload)
        except (OutcomeUnknown, StoreUnavailable):
            # Neither error is taken to mean that nothing was written: the reply to the write may
            # have been lost, so the outcome is read from the log.
            return await self.find_outcome(change.change_id, expected_version)
        if outcome is AppendOutcome.WRITTEN:
            entry = LogEntry(expected_version + 1, change.change_id, payload)
            return Ok(ChangeWritten(entry.index, entry))
        return await self.find_outcome(change.change_id, expected_version)

    async def find_outcome(self, change_id: str, expected_version: int) -> ChangeResult:
        """Determines the outcome of a change.

        The expected version fixes the log position of a change. Once that position holds an
        entry, the outcome is final.

        Returns:
            ChangeWritten or ChangeConflict if the position holds an entry; ChangeOutcomeUnknown
            while it is free, or if the log cannot be read.

        Raises:
            EntryError: If the payload of the conflicting entry is malformed.
            msgspec.DecodeError: If a log entry cannot be decoded.
        """
        unknown = ChangeOutcomeUnknown(change_id, expected_version)
        try:
            _, next_entry = await self._read_adjacent(expected_version)
        except ObjectStoreError:
            return Error(unknown)
        if next_entry is None:
            return Error(unknown)
        return _resolve_outcome(next_entry, change_id)

    async def _read_adjacent(self, version: int) -> tuple[LogEntry | None, LogEntry | None]:
        found = await self._log.read_after(max(0, version - 1), limit=2)
        by_index = {entry.index: entry for entry in found}
        if version in by_index and version + 1 not in by_index and len(found) == 1:
            # The platform limits the size of a scan, so the second entry may be missing.
            found = await self._log.read_after(version, limit=1)
            by_index.update((entry.index, entry) for entry in found)
        return by_index.get(version), by_index.get(version + 1)


def _resolve_outcome(entry: LogEntry, change_id: str) -> ChangeResult:
    if entry.entry_id == change_id:
        return Ok(ChangeWritten(entry.index, entry))
    other = decode_entry(entry.payload)
    return Error(
        ChangeConflict(
            entry.index, other.actor, other.command, other.change_id, other.written_at_ms
        )
    )
