"""Messages of the membership protocol and their codec.

A datagram is one byte with the protocol version, then a msgpack array whose first element is
a small number that identifies the kind of message.
"""

import enum

import msgspec

from catkinspread.framing import FrameCodec
from catkinspread.model import Endpoint

MEMBERSHIP_PROTOCOL_VERSION = 1
# Same limit as for datagrams of callers (`DATAGRAM_MAX_BYTES`); with headers it is below the usual
# MTU of 1,500 bytes.
MESSAGE_MAX_BYTES = 1_400


class MembershipMessageError(Exception):
    """A datagram has an invalid size, version or structure."""


class MemberState(enum.IntEnum):
    """State of a member.

    A member is live if it is alive or suspect, and has ended if it is dead or left. See
    `make_precedence_key` for which of two states is newer.

    Attributes:
        ALIVE: Not suspected.
        SUSPECT: Answered neither of two probes; can still refute.
        DEAD: Did not refute its suspicion in time; final for its incarnation.
        LEFT: Announced that it leaves; final for its incarnation.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """State of a member that the receiver is expected to know.

    Unlike in SWIM, refuting a suspicion increments `refutation`, not `incarnation`.

    Attributes:
        member: Id of the instance.
        incarnation: Start time of the instance in ms since the epoch, or a greater number if the
            instance has rejoined, as after it was declared dead.
        refutation: Number of suspicions that the incarnation has refuted.
        state: State of the member.
    """

    member: str
    incarnation: int
    refutation: int
    state: MemberState


class MemberRecord(msgspec.Struct, array_like=True, frozen=True):
    """Full description of a member, for receivers that may not know it.

    Attributes:
        member: Id of the instance.
        incarnation: See MemberUpdate.
        refutation: See MemberUpdate.
        state: State of the member.
        data_centre: Name of its data centre.
        host: Its IP address.
        port: Its UDP port.
        version: Last configuration version that it reported.
        ended_ago_s: Time since a dead or left member was found to be so; 0 for a live member.
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
        """Address at which the member receives messages."""
        return Endpoint(self.host, self.port)


class VersionReports(msgspec.Struct, array_like=True, frozen=True):
    """The live members that have reported a configuration version.

    Attributes:
        version: The configuration version.
        is_complete: Whether all live members have reported it; `members` is empty then.
        members: Bitmap, little-endian; bit i stands for live member i in order of id. Valid
            only for a receiver whose live members have the same digest.
    """

    version: int = 0
    is_complete: bool = False
    members: bytes = b""


class Heartbeat(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Shows that the sender is alive and carries member states for dissemination.

    Attributes:
        sender: Id of the sender.
        incarnation: Incarnation of the sender; see `MemberUpdate`.
        refutation: Refutation of the sender; see `MemberUpdate`.
        state: ALIVE, or LEFT when the sender leaves.
        version: Configuration version of the sender.
        sequence: Number of the heartbeat; its reply has the same number.
        is_reply: Whether this answers a heartbeat.
        digest: 32-bit digest of the sender's live members.
        reports: The sender's knowledge of reported configuration versions.
        updates: States of members that the receiver is expected to know.
        records: Descriptions of members that the receiver may not know.
        deaths: Dead members as concatenated 4-byte little-endian hashes of id and incarnation. A
            death is final for an incarnation, so the hash suffices; an update takes 24 bytes.
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
    """Asks the receiver to probe a target that has not replied to the sender.

    Attributes:
        sender: Id of the sender.
        target: Id of the member to probe.
        sequence: Number of the sender's probe; the answer has the same number.
    """

    sender: str
    target: str
    sequence: int


class ProbeAnswer(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Reports that the target of a probe request has replied to the sender.

    Attributes:
        sender: Id of the sender.
        target: Id of the probed member.
        sequence: Number of the probe request.
    """

    sender: str
    target: str
    sequence: int


class JoinRequest(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Announces the sender and requests the first page of the receiver's view.

    Attributes:
        record: Description of the sender.
    """

    record: MemberRecord


class ViewRequest(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Requests the next page of the receiver's view.

    Attributes:
        sender: Id of the sender.
        after: The page starts with the first id greater than this one.
    """

    sender: str
    after: str


class ViewPage(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """One page of a view, with the members in order of id.

    Attributes:
        sender: Id of the sender.
        records: The members of this page.
        is_last: Whether there are no more members.
    """

    sender: str
    records: tuple[MemberRecord, ...]
    is_last: bool


class SyncRequest(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """Requests the members of the buckets in which the views differ.

    Attributes:
        sender: Id of the sender.
        digests: Digests of all buckets, 4 bytes each; see `MemberTable`.
    """

    sender: str
    digests: bytes


class SyncReply(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """Random members of differing buckets, as many as fit into one message.

    Attributes:
        sender: Id of the sender.
        records: Descriptions of these members.
    """

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
    """Encodes a message as a datagram.

    Raises:
        MembershipMessageError: If the datagram would exceed MESSAGE_MAX_BYTES.
    """
    return _CODEC.encode(message)


def decode_membership_message(datagram: bytes) -> MembershipMessage:
    """Decodes a datagram.

    Raises:
        MembershipMessageError: If the size, version or structure is invalid.
    """
    return _CODEC.decode(datagram)


def measure_encoded_bytes(value: msgspec.Struct) -> int:
    """Returns the encoded size of a part of a message in bytes."""
    return _CODEC.measure_encoded_bytes(value)
