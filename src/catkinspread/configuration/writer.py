"""Writes changes to the configuration log."""

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
    """A change that is to be written; see ChangeEntry for the fields."""

    change_id: str
    actor: str
    command: str
    reason: str
    effects: tuple[Effect, ...]


class ChangeWritten(msgspec.Struct, frozen=True):
    """The change is in the log.

    Attributes:
        version: Version that the change leads to.
        entry: The entry. Pass it to `ConfigurationReplica.handle_log` of this instance, which
            then pushes it to peers at once, however slow the watches are.
    """

    version: int
    entry: LogEntry


class ChangeConflict(msgspec.Struct, frozen=True):
    """Another change came first, so this one was not written and will not be.

    Attributes:
        version: Version that the other change led to.
        actor: Who asked for the other change.
        command: The other command; empty for automatic steps.
        change_id: Id of the other change.
        written_at_ms: When it was written, in ms since the epoch.
    """

    version: int
    actor: str
    command: str
    change_id: str
    written_at_ms: int


class ChangeUnavailable(msgspec.Struct, frozen=True):
    """The platform did not answer before anything was sent; the change was not written."""

    message: str


class ChangeOutcomeUnknown(msgspec.Struct, frozen=True):
    """The change may or may not be written; ask `find_outcome` later.

    Attributes:
        change_id: Id of the change.
        expected_version: Version that the change was conditional on.
    """

    change_id: str
    expected_version: int


class VersionAhead(msgspec.Struct, frozen=True):
    """The change is conditional on a version that the log does not have."""

    expected_version: int


ChangeFailure = ChangeConflict | ChangeUnavailable | ChangeOutcomeUnknown | VersionAhead
ChangeResult = Result[ChangeWritten, ChangeFailure]


class ConfigurationWriter:
    """Appends changes, each conditional on the version it was planned for."""

    __slots__ = ("_log",)

    def __init__(self, log: AppendLog) -> None:
        self._log = log

    async def write(self, change: Change, expected_version: int, now_ms: int) -> ChangeResult:
        """Writes a change if no other one came after a version.

        The previous entry is read from the log, not from the replica, so that the chain of
        hashes continues what is stored.

        Args:
            change: The change; repeating a call with the same change id is safe.
            expected_version: Version that the change was planned for.
            now_ms: Time to note in the entry.
        """
        try:
            previous, following = await self._read_around(expected_version)
        except ObjectStoreError as error:
            return Error(ChangeUnavailable(str(error)))
        if following is not None:
            return _judge(following, change.change_id)
        if previous is None and expected_version > 0:
            return Error(VersionAhead(expected_version))
        payload = encode_entry(
            ChangeEntry(
                change_id=change.change_id,
                actor=change.actor,
                command=change.command,
                reason=change.reason,
                written_at_ms=now_ms,
                previous_hash=0 if previous is None else hash_payload(previous.payload),
                effects=change.effects,
            )
        )
        try:
            outcome = await self._log.append(expected_version + 1, change.change_id, payload)
        except (OutcomeUnknown, StoreUnavailable):
            # The log also reports StoreUnavailable when the answer to the write was lost and
            # reading back failed, so neither error shows that nothing was written.
            return await self.find_outcome(change.change_id, expected_version)
        if outcome is AppendOutcome.WRITTEN:
            entry = LogEntry(expected_version + 1, change.change_id, payload)
            return Ok(ChangeWritten(entry.index, entry))
        return await self.find_outcome(change.change_id, expected_version)

    async def find_outcome(self, change_id: str, expected_version: int) -> ChangeResult:
        """Returns what became of a change.

        The log position of a change is fixed by the version it was conditional on. Once any
        entry is there, the outcome is final.
        """
        unknown = ChangeOutcomeUnknown(change_id, expected_version)
        try:
            _, following = await self._read_around(expected_version)
        except ObjectStoreError:
            return Error(unknown)
        if following is None:
            return Error(unknown)
        return _judge(following, change_id)

    async def _read_around(self, version: int) -> tuple[LogEntry | None, LogEntry | None]:
        found = await self._log.read_after(max(0, version - 1), limit=2)
        by_index = {entry.index: entry for entry in found}
        if version in by_index and version + 1 not in by_index and len(found) == 1:
            # The platform limits the bytes of a scan, so the second entry may be left out.
            found = await self._log.read_after(version, limit=1)
            by_index.update((entry.index, entry) for entry in found)
        return by_index.get(version), by_index.get(version + 1)


def _judge(entry: LogEntry, change_id: str) -> ChangeResult:
    if entry.entry_id == change_id:
        return Ok(ChangeWritten(entry.index, entry))
    first = decode_entry(entry.payload)
    return Error(
        ChangeConflict(
            entry.index, first.actor, first.command, first.change_id, first.written_at_ms
        )
    )
