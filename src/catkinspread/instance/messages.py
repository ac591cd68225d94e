"""The frames that instances exchange.

A frame is one byte with its kind, then either a membership or configuration message as its
part has encoded it, or a msgpack envelope around a message of another part.
"""

import enum

import msgspec

from catkinspread.limits import ColdStartNotice
from catkinspread.model import InstanceIncarnation
from catkinspread.operations import RecordLine
from catkinspread.requests import PeerMessage as RequestMessage
from catkinspread.routing import ForwardedPacket, ForwardHeader, RoutingMessage
from catkinspread.wire import Answer, Request


class FrameError(Exception):
    """A frame of another instance is malformed."""


class FrameKind(enum.IntEnum):
    """What follows the first byte of a frame."""

    MEMBERSHIP = 0
    ENVELOPE = 1
    CONFIGURATION = 2


class RelayedRequest(msgspec.Struct, array_like=True, frozen=True, tag="relayed-request"):
    """Asks a member of an owner group to send a request to the upstream of its flow.

    Attributes:
        relay: Number that a refusal repeats.
        header: What the routing needs.
        request: The request as the upstream gets it.
        not_after_ms: It must not be sent at or after this time, in ms since the epoch.
        is_idempotent: Whether a second run does no harm.
    """

    relay: int
    header: ForwardHeader
    request: Request
    not_after_ms: int
    is_idempotent: bool


class RelayedAnswer(msgspec.Struct, array_like=True, frozen=True, tag="relayed-answer"):
    """Returns a part of the answer to a relayed request."""

    answer: Answer


class RelayRefused(msgspec.Struct, array_like=True, frozen=True, tag="relay-refused"):
    """Tells that a relayed request was not sent and will not be."""

    relay: int
    reason: str


class RecordsAsked(msgspec.Struct, array_like=True, frozen=True, tag="records-asked"):
    """Asks for the records of a flow or of a request.

    Attributes:
        number: Number that the answer repeats.
        flow: Flow hash; 0 if a request is asked for.
        service: Service of the request.
        request_id: Id of the request; empty if a flow is asked for.
    """

    number: int
    flow: int = 0
    service: str = ""
    request_id: str = ""


class RecordsFound(msgspec.Struct, array_like=True, frozen=True, tag="records-found"):
    """Answers RecordsAsked; empty if this instance has no such record."""

    number: int
    lines: tuple[RecordLine, ...]


PeerBody = (
    ColdStartNotice
    | ForwardedPacket
    | RecordsAsked
    | RecordsFound
    | RelayRefused
    | RelayedAnswer
    | RelayedRequest
    | RequestMessage
    | RoutingMessage
)


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """A message with its sender.

    Attributes:
        sender: The run of the instance that sent it.
        incarnation: The only run of the receiver that may handle it; 0 for any.
        body: The message.
    """

    sender: InstanceIncarnation
    incarnation: int
    body: PeerBody


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Returns the frame of an envelope."""
    return bytes([FrameKind.ENVELOPE]) + _ENCODER.encode(envelope)


def encode_raw_frame(kind: FrameKind, content: bytes) -> bytes:
    """Returns the frame of a message that another part has encoded."""
    return bytes([kind]) + content


def split_frame(frame: bytes) -> tuple[FrameKind, bytes]:
    """Returns the kind and the content of a frame.

    Raises:
        FrameError: If the frame is empty or of an unknown kind.
    """
    if not frame:
        raise FrameError("frame is empty")
    try:
        return FrameKind(frame[0]), frame[1:]
    except ValueError:
        raise FrameError(f"frame has the unknown kind {frame[0]}") from None


def decode_envelope(content: bytes) -> Envelope:
    """Returns the envelope that a frame of its kind contains.

    Raises:
        FrameError: If it is malformed.
    """
    try:
        return _DECODER.decode(content)
    except msgspec.DecodeError as error:
        raise FrameError(f"envelope is malformed: {error}") from error
