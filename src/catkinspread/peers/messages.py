"""Messages between instances, encoded as MessagePack."""

import msgspec


class MessageError(Exception):
    """A datagram is not a message of an instance."""


class Member(msgspec.Struct, frozen=True):
    """An instance as others know it.

    Attributes:
        name: Unique name.
        data_centre: Where it runs.
        host: Its IP address.
        started_ms: Start of its process in ms since the epoch; tells restarts apart.
    """

    name: str
    data_centre: str
    host: str
    started_ms: int


class MemberStatus(msgspec.Struct, frozen=True):
    """What an instance says of itself.

    Attributes:
        member: The instance.
        source_age_ms: Time since the source answered it last; None if it does not read the
            source itself or has no answer.
        has_state: Whether it knows enough to pass on.
        is_leaving: Whether it stops soon.
    """

    member: Member
    source_age_ms: int | None
    has_state: bool
    is_leaving: bool


class KnownMember(msgspec.Struct, frozen=True):
    """A member that was heard of.

    Attributes:
        member: The member.
        age_ms: Time since anyone heard from it.
    """

    member: Member
    age_ms: int


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """Asks an instance for its status and tells the own one.

    Attributes:
        status: Status of the sender.
        digest: Digest of the members that the sender knows.
        members: A few members that it heard of lately.
    """

    status: MemberStatus
    digest: int
    members: tuple[KnownMember, ...] = ()


class HelloReply(msgspec.Struct, frozen=True, tag="reply"):
    """Answers a hello.

    Attributes:
        status: Status of the sender.
        members: Members that it knows: all that fit if the digests differ, else a few.
    """

    status: MemberStatus
    members: tuple[KnownMember, ...]


class LoadReport(msgspec.Struct, frozen=True, tag="load"):
    """Requests that an instance has in flight.

    Attributes:
        sender: Name of the instance.
        sequence: Grows with each report of one process.
        in_flight: Requests by token of the upstream; upstreams without any are left out.
    """

    sender: str
    sequence: int
    in_flight: dict[int, int]


PeerMessage = Hello | HelloReply | LoadReport

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """Returns the datagram of a message."""
    return _encoder.encode(message)


def decode_message(datagram: bytes) -> PeerMessage:
    """Returns the message of a datagram.

    Raises:
        MessageError: If it is not a message.
    """
    try:
        return _decoder.decode(datagram)
    except (msgspec.DecodeError, ValueError) as error:
        raise MessageError(str(error)) from error
