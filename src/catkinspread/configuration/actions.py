"""Actions that a configuration replica returns for its caller to execute."""

import msgspec

from catkinspread.configuration.messages import ConfigurationMessage


class SendConfiguration(msgspec.Struct, frozen=True):
    """Send a configuration message to a member."""

    member: str
    message: ConfigurationMessage


class ReadLog(msgspec.Struct, frozen=True):
    """Read the log entries after a version from the platform and pass them to `handle_log`."""

    after: int


class ReadSnapshot(msgspec.Struct, frozen=True):
    """Load the newest snapshot from the platform and pass it to `load_snapshot`.

    Call `start_empty` if the platform has no snapshot. Do nothing if the read fails; the replica
    requests it again.
    """


class WriteSnapshot(msgspec.Struct, frozen=True):
    """Save a snapshot of the current version unless the platform has a recent one."""

    version: int


class VersionApplied(msgspec.Struct, frozen=True):
    """The replica has applied a new version; announce it to the other members."""

    version: int


class EntryRefused(msgspec.Struct, frozen=True):
    """An entry or a snapshot was rejected as corrupt, malformed or discontinuous; log it.

    Attributes:
        index: Index of the entry as stated by its sender, or the version of the snapshot.
        sender: Id of the member that sent it; empty for the log on the platform.
        reason: Cause of the rejection.
    """

    index: int
    sender: str
    reason: str


class ChainBroken(msgspec.Struct, frozen=True):
    """The log contradicts the entries applied by this instance; replace the instance.

    Attributes:
        index: Index of the first contradicting entry.
    """

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
