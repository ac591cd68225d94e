"""UDP messages between instances, encoded as MessagePack arrays and compressed if they are large.

Messages list many members whose names are alike, so compression shrinks them to about a third.
"""

import zlib

import msgspec

# Smaller messages are sent as they are; compression would gain little.
COMPRESSION_MIN_BYTES = 256
# The fastest level; higher levels gain little.
_COMPRESSION_LEVEL = 1
# First byte of compressed data in the zlib format. No message starts with it, because each is a
# MessagePack array.
_ZLIB_FIRST_BYTE = 0x78
# Maximum size of a decompressed message; larger ones raise MessageError.
MESSAGE_MAX_BYTES = 64 * 1024


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

    name: str
    data_centre: str
    host: str
    started_ms: int


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
    """

    member: Member
    source_age_ms: int | None
    has_state: bool
    is_leaving: bool
    source_era: int | None = None


class KnownMember(msgspec.Struct, frozen=True, array_like=True):
    """A member and the time since it was last heard from.

    Attributes:
        member: The member.
        age_ms: Time in ms since it was last heard from, directly or through gossip.
    """

    member: Member
    age_ms: int


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """Reports the status of the sender and requests that of the receiver.

    Attributes:
        status: Status of the sender.
        digest: 64-bit hash of the sorted names of all members that the sender knows; see
            `PeerDirectory.digest`.
        members: A random sample of the members that the sender knows; may be empty.
    """

    status: MemberStatus
    digest: int
    members: tuple[KnownMember, ...] = ()


class HelloReply(msgspec.Struct, frozen=True, array_like=True, tag="reply"):
    """Reply to a hello.

    Attributes:
        status: Status of the sender.
        members: Some of the members that the sender knows; see `PeerDirectory`.
    """

    status: MemberStatus
    members: tuple[KnownMember, ...]


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag="load"):
    """Number of requests that an instance has in flight per upstream.

    Attributes:
        sender: Name of the reporting instance.
        sequence: Sequence number; increases with each report of a process.
        in_flight: Requests in flight, keyed by `compute_token(name)` of the upstream; upstreams
            without any are omitted.
    """

    sender: str
    sequence: int
    in_flight: dict[int, int]


class UnreachableReport(msgspec.Struct, frozen=True, array_like=True, tag="unreachable"):
    """Tells that an upstream does not answer the sender.

    Attributes:
        sender: Name of the reporting instance.
        token: `compute_token(name)` of the upstream.
        unanswered_ms: Time in ms for which the upstream has not answered the sender.
    """

    sender: str
    token: int
    unanswered_ms: int


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

    caller_ip: int
    caller_port: int
    service_ip: int
    service_port: int
    sequence: int
    acknowledged: int
    token: int
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
        age_ms: Time in ms since an instance saw the flow and told its upstream.
    """

    caller_ip: int
    caller_port: int
    service_ip: int
    service_port: int
    sequence: int
    token: int
    age_ms: int


# Messages that are sent when something happens, not at intervals.
Report = LoadReport | UnreachableReport | FlowAnnouncement | FlowLocation
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
        MessageError: If it is not a valid message, or larger than MESSAGE_MAX_BYTES.
    """
    try:
        if datagram[:1] == bytes([_ZLIB_FIRST_BYTE]):
            datagram = zlib.decompressobj().decompress(datagram, MESSAGE_MAX_BYTES)
        return _decoder.decode(datagram)
    except (msgspec.DecodeError, zlib.error, ValueError) as error:
        raise MessageError(str(error)) from error
