"""Actions that the replica of the configuration asks its task to carry out."""

import msgspec

from catkinspread.configuration.messages import ConfigurationMessage


class SendConfiguration(msgspec.Struct, frozen=True):
    """Send a message to a member."""

    member: str
    message: ConfigurationMessage


class ReadLog(msgspec.Struct, frozen=True):
    """Read the entries after a version from the platform and pass them to `handle_log`."""

    after: int


class ReadSnapshot(msgspec.Struct, frozen=True):
    """Load the newest snapshot from the platform and pass it to `load_snapshot`.

    If the platform has none, call `start_empty`; if it fails, do nothing.
    """


class WriteSnapshot(msgspec.Struct, frozen=True):
    """Save a snapshot of the present version, unless the platform has a recent one."""

    version: int


class VersionApplied(msgspec.Struct, frozen=True):
    """A new version is in force here; report it to the members."""

    version: int


class EntryRefused(msgspec.Struct, frozen=True):
    """An entry was damaged, malformed or does not continue the chain; log it.

    Attributes:
        index: Index that the entry claims.
        sender: Id of the member that sent it; empty for the platform's log.
        reason: Why it was refused.
    """

    index: int
    sender: str
    reason: str


class ChainBroken(msgspec.Struct, frozen=True):
    """The log does not continue what this instance applied; replace the instance."""

    index: int


ConfigurationAction = (
    SendConfiguration
    | ReadLog
    | ReadSnapshot
    | WriteSnapshot
    | VersionApplied
    | EntryRefused
    | ChainBroken
)
