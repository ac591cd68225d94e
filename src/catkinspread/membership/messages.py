"""Messages of the membership protocol and their codec.

A datagram is one byte with the protocol version, then a msgpack array whose first element is
a small number that names the kind.
"""

import enum

import msgspec

from catkinspread.framing import FrameCodec
from catkinspread.model import Endpoint

MEMBERSHIP_PROTOCOL_VERSION = 1
# Same limit as for packets of callers: below the usual 1,500-byte MTU with headers.
MESSAGE_MAX_BYTES = 1_400


class MembershipMessageError(Exception):
    """A datagram has a wrong size, version or shape."""


class MemberState(enum.IntEnum):
    """State of a member; of two records of one refutation, the greater state is newer."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """State of a member that the receiver is expected to know.

    Attributes:
        member: Id of the instance.
        incarnation: Chosen when the instance starts, and anew after it was declared dead.
        refutation: How many suspicions the incarnation has refuted.
        state: State of the member.
    """

    member: str
    incarnation: int
    refutation: int
    state: MemberState


class MemberRecord(msgspec.Struct, array_like=True, frozen=True):
    """All that is known of a member, for receivers that do not know it.

    Attributes:
        member: Id of the instance.
        incarnation: See MemberUpdate.
        refutation: See MemberUpdate.
        state: State of the member.
        data_centre: Name of the data centre it runs in.
        host: Its IP number.
        port: Its UDP port.
        version: Configuration version that it reported last.
        ended_ago_s: For a dead or left member, how long ago that was noticed; else 0.
    """

    member: str
    incarnation: int
    refutation: int
    state: MemberState
    data_centre: str
    host: str
    port: int
    version: int = 0
    ended_ago_s: int = 0

    @property
    def endpoint(self) -> Endpoint:
        """Where the member receives messages."""
        return Endpoint(self.host, self.port)


class VersionReports(msgspec.Struct, array_like=True, frozen=True):
    """Which live members have reported a configuration version.

    Attributes:
        version: The configuration version.
        is_complete: Whether all live members have reported it; `members` is empty then.
        members: Bit i, little-endian, stands for live member i in order of id. It has a
            meaning only for a receiver whose live members have the same digest.
    """

    version: int = 0
    is_complete: bool = False
    members: bytes = b""


class Heartbeat(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Shows that the sender is alive and carries news.

    Attributes:
        sender: Id of the sender.
        incarnation: Of the sender.
        refutation: Of the sender.
        state: ALIVE, or LEFT when the sender leaves.
        version: Configuration version of the sender.
        sequence: Number that the reply repeats.
        is_reply: Whether this answers a heartbeat.
        digest: 32-bit digest of the sender's live members.
        reports: What the sender knows of reported versions.
        updates: News of known members.
        records: News of members that may be unknown.
        deaths: Dead members, 4 bytes each: a hash of id and incarnation. A death is final for
            an incarnation, so it needs no more; an update takes 24 bytes.
    """

    sender: str
    incarnation: int
    refutation: int
    state: MemberState
    version: int
    sequence: int
    is_reply: bool
    digest: int
    reports: VersionReports | None = None
    updates: tuple[MemberUpdate, ...] = ()
    records: tuple[MemberRecord, ...] = ()
    deaths: bytes = b""


class ProbeRequest(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Asks the receiver to send a heartbeat to a target that does not reply to the sender."""

    sender: str
    target: str
    sequence: int


class ProbeAnswer(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Tells that the target replied to the receiver of a probe request."""

    sender: str
    target: str
    sequence: int


class JoinRequest(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Introduces the sender and asks for the first page of the view."""

    record: MemberRecord


class ViewRequest(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Asks for the members whose id is greater than `after`."""

    sender: str
    after: str


class ViewPage(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """Members in order of id.

    Attributes:
        sender: Id of the sender.
        records: The members of this page.
        is_last: Whether there are no more members.
    """

    sender: str
    records: tuple[MemberRecord, ...]
    is_last: bool


class SyncRequest(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """Asks for the members in which the receiver's view differs.

    Attributes:
        sender: Id of the sender.
        digests: 4 bytes for each bucket of members, see `MemberTable`.
    """

    sender: str
    digests: bytes


class SyncReply(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """Members of differing buckets, as many as fit into one message."""

    sender: str
    records: tuple[MemberRecord, ...]


MembershipMessage = (
    Heartbeat
    | ProbeRequest
    | ProbeAnswer
    | JoinRequest
    | ViewRequest
    | ViewPage
    | SyncRequest
    | SyncReply
)

_CODEC = FrameCodec(
    MembershipMessage, MEMBERSHIP_PROTOCOL_VERSION, MESSAGE_MAX_BYTES, MembershipMessageError
)


def encode_membership_message(message: MembershipMessage) -> bytes:
    """Returns the datagram of a message.

    Raises:
        MembershipMessageError: If the datagram would exceed MESSAGE_MAX_BYTES.
    """
    return _CODEC.encode(message)


def decode_membership_message(datagram: bytes) -> MembershipMessage:
    """Returns the message of a datagram.

    Raises:
        MembershipMessageError: If the size, version or shape is wrong.
    """
    return _CODEC.decode(datagram)


def measure_encoded_bytes(value: msgspec.Struct) -> int:
    """Returns how many bytes a part of a message takes."""
    return _CODEC.measure_encoded_bytes(value)
