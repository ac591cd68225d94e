"""Output of a configuration replica: actions for its caller to execute and events to report.

`SendConfiguration`, `ReadLog`, `ReadSnapshot` and `WriteSnapshot` are actions; `VersionApplied`,
`EntryRefused` and `ChainBroken` are events.
"""

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
    """Save a snapshot of the current version with `SnapshotStore.save`.

    The caller sets the minimum number of versions since the latest snapshot.

    Attributes:
        version: Version of the replica when the action was returned.
    """

    version: int


class VersionApplied(msgspec.Struct, frozen=True):
    """Event: the replica has applied a new version; announce it to the other members."""

    version: int


class EntryRefused(msgspec.Struct, frozen=True):
    """Event: an entry or a snapshot part was rejected; log it.

    An entry is rejected if it is corrupt, malformed, cannot be applied or does not continue the
    hash chain. A snapshot part is rejected if the snapshot is corrupt or malformed, or if the
    peer does not have the requested snapshot.

    Attributes:
        index: Index of the entry as stated by its sender, or the version of the snapshot; 0 if
            the peer does not have the requested snapshot.
        sender: Id of the member that sent it; empty for the log on the platform.
        reason: Cause of the rejection.
    """

    index: int
    sender: str
    reason: str


class ChainBroken(msgspec.Struct, frozen=True):
    """Event: the log has diverged from the entries applied by this instance.

    A log entry that cannot be decoded or applied counts as divergence, too. The replica stops
    applying entries and answering peers; replace the instance.

    Attributes:
        index: Index of the log entry at which the divergence was detected.
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
