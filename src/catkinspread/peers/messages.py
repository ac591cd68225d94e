"""UDP messages between instances, encoded as MessagePack arrays and compressed if they are large.

Messages list many members whose names are alike, so compression shrinks them to about a third.
"""

import zlib
from typing import Annotated

import msgspec

from catkinspread.admission.types import RoomSummary
from catkinspread.deployment import StateKind
from catkinspread.deployment.bounds import (
    PORT_MAX,
    Amount,
    Count,
    HostAddress,
    Ip,
    Name,
    Unsigned64,
)
from catkinspread.peers.compression import decompress_completely

# Smaller messages are sent as they are; compression would gain little.
COMPRESSION_MIN_BYTES = 256
# The fastest level; higher levels gain little.
_COMPRESSION_LEVEL = 1
# First byte of compressed data in the zlib format. No message starts with it, because each is a
# MessagePack array.
_ZLIB_FIRST_BYTE = 0x78
# Maximum size of a decompressed message; larger ones raise MessageError.
MESSAGE_MAX_BYTES = 64 * 1024
# Members in one message; `member_lists` lists fewer.
_MEMBERS_MAX = 256
# Upstreams in one report; as many as MESSAGE_MAX_BYTES can hold.
_LOADS_MAX = 32 * 1024
_Field32 = Annotated[int, msgspec.Meta(ge=0, le=0xFFFF_FFFF)]
_Token = _Field32
_RestartStage = Annotated[int, msgspec.Meta(ge=0, le=2)]
# A packet may hold 0.
_PortField = Annotated[int, msgspec.Meta(ge=0, le=PORT_MAX)]


_Revisions = Annotated[tuple[Count, ...], msgspec.Meta(max_length=len(StateKind))]


class MessageError(Exception):
    """A datagram is not a valid message."""


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Identity of an instance.

    Attributes:
        name: Unique name of the instance.
        data_centre: Data centre in which it runs.
        host: Its IP address.
        started_ms: Start time of its process in ms since the epoch; distinguishes restarts.
    """

    name: Name
    data_centre: Name
    host: HostAddress
    started_ms: Count


class MemberStatus(msgspec.Struct, frozen=True, array_like=True):
    """Status that an instance reports about itself.

    Attributes:
        member: The instance.
        source_age_ms: Time in ms since its last successful call to the source; grows while it reads
            from a feeder. None before the first successful call, and once its calls have failed for
            `OUTAGE_THRESHOLD_MS` of `catkinspread.deployment.synchroniser`.
        has_state: Whether it holds the complete deployment state and can serve it to others.
        is_leaving: Whether it is shutting down.
        source_era: Highest era of the source that it knows of; None from an instance of a version
            that does not tell.
        known_instances: Number of instances that it knows of, including itself and those that it
            lost without notice; 0 from an instance of a version that does not tell.
        changed_revisions: Revisions of the last changes that it can serve, in the order of
            `StateKind` and of the era `source_era`; empty from an instance of a version that does
            not tell.
    """

    member: Member
    source_age_ms: Count | None
    has_state: bool
    is_leaving: bool
    source_era: Count | None = None
    known_instances: Count = 0
    changed_revisions: _Revisions = ()


class KnownMember(msgspec.Struct, frozen=True, array_like=True):
    """A member and the time since it was last heard from.

    Attributes:
        member: The member.
        age_ms: Time in ms since it was last heard from, directly or through gossip.
    """

    member: Member
    age_ms: Count


_Members = Annotated[tuple[KnownMember, ...], msgspec.Meta(max_length=_MEMBERS_MAX)]


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """Reports the status of the sender and requests that of the receiver.

    Attributes:
        status: Status of the sender.
        digest: 64-bit hash of the sorted names of all members that the sender knows; see
            `PeerDirectory.digest`.
        members: A random sample of the members that the sender knows; may be empty.
    """

    status: MemberStatus
    digest: Unsigned64
    members: _Members = ()


class HelloReply(msgspec.Struct, frozen=True, array_like=True, tag="reply"):
    """Reply to a hello.

    Attributes:
        status: Status of the sender.
        members: Some of the members that the sender knows; see `PeerDirectory`.
    """

    status: MemberStatus
    members: _Members


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag="load"):
    """Number of requests that an instance has in flight per upstream.

    Attributes:
        sender: Name of the reporting instance.
        sequence: Sequence number; increases with each report of a process.
        in_flight: Requests in flight, keyed by `compute_token(name)` of the upstream; upstreams
            without any are omitted.
    """

    sender: Name
    sequence: Count
    in_flight: Annotated[dict[_Token, Amount], msgspec.Meta(max_length=_LOADS_MAX)]


class UnreachableReport(msgspec.Struct, frozen=True, array_like=True, tag="unreachable"):
    """Tells that an upstream does not answer the sender.

    Attributes:
        sender: Name of the reporting instance.
        token: `compute_token(name)` of the upstream.
        unanswered_ms: Time in ms for which the upstream has not answered the sender.
    """

    sender: Name
    token: _Token
    unanswered_ms: Count


class RestartMessage(msgspec.Struct, frozen=True, array_like=True, tag="restart"):
    """Tells what the sender found out about an upstream that the source cannot tell about.

    Attributes:
        token: `compute_token(name)` of the upstream.
        stage: Value of `RestartStage` of `catkinspread.forwarding`.
        silent_ms: Time in ms since the first packet was sent that it did not answer.
        cold_remaining_ms: Time in ms for which it counts as cold; 0 unless it answers again.
    """

    token: _Token
    stage: _RestartStage
    silent_ms: Count
    cold_remaining_ms: Amount


class SourceCheckRequest(msgspec.Struct, frozen=True, array_like=True, tag="check"):
    """Asks a feeder whether the source answers now; it sends its status once the source has answered.

    Attributes:
        sender: Name of the asking instance.
    """

    sender: Name


class FlowAnnouncement(msgspec.Struct, frozen=True, array_like=True, tag="flow"):
    """Tells that a caller has ended the handshake of a flow.

    Attributes:
        caller_ip: IPv4 address of the caller as an integer.
        caller_port: Port of the caller.
        service_ip: IPv4 address that the flow was opened to, as an integer.
        service_port: Port that the flow was opened to.
        sequence: Sequence number of the packet that the sender got.
        acknowledged: Acknowledgement number of that packet.
        token: Token field of that packet.
        needs_answer: Whether the receiver answers with a `FlowLocation`.
    """

    caller_ip: Ip
    caller_port: _PortField
    service_ip: Ip
    service_port: _PortField
    sequence: _Field32
    acknowledged: _Field32
    token: _Field32
    needs_answer: bool


class FlowLocation(msgspec.Struct, frozen=True, array_like=True, tag="flow_at"):
    """Tells where a flow is open, as an answer or before it is asked for.

    Attributes:
        caller_ip: IPv4 address of the caller as an integer.
        caller_port: Port of the caller.
        service_ip: IPv4 address that the flow was opened to, as an integer.
        service_port: Port that the flow was opened to.
        sequence: Sequence number of a packet of the flow.
        token: Token of the upstream; 0 if the sender does not know it.
        age_ms: Time in ms since an instance saw the flow and told its upstream. If the sender does
            not know the upstream, the time for which it has kept flows.
        is_contested: Whether another upstream may have answered the opening packet of the flow.
    """

    caller_ip: Ip
    caller_port: _PortField
    service_ip: Ip
    service_port: _PortField
    sequence: _Field32
    token: _Field32
    age_ms: Count
    is_contested: bool = True


# Messages about traffic, which are counted apart from those about membership.
Report = (
    LoadReport
    | UnreachableReport
    | RestartMessage
    | SourceCheckRequest
    | FlowAnnouncement
    | FlowLocation
    | RoomSummary
)
PeerMessage = Hello | HelloReply | Report

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """Encodes a message as a datagram."""
    encoded = _encoder.encode(message)
    if len(encoded) < COMPRESSION_MIN_BYTES:
        return encoded
    return zlib.compress(encoded, _COMPRESSION_LEVEL)


def decode_message(datagram: bytes) -> PeerMessage:
    """Decodes a datagram.

    Raises:
        MessageError: If it is not a valid message, holds a value beyond its bound, or is larger
            than MESSAGE_MAX_BYTES.
    """
    try:
        if datagram[:1] == bytes([_ZLIB_FIRST_BYTE]):
            datagram = decompress_completely(datagram, MESSAGE_MAX_BYTES)
        return _decoder.decode(datagram)
    except (
        msgspec.DecodeError,
        zlib.error,
        OverflowError,
        RecursionError,
        ValueError,
    ) as error:
        raise MessageError(str(error)) from error
