"""Datagrams between callers, instances and upstreams.

A datagram is one byte with the protocol version, then a msgpack array whose first element
names the kind. The same packets travel on both sides of an instance; towards an upstream
`flow` is filled in with the flow hash, so that answers name their flow.
"""

import enum

import msgspec

from catkinspread.framing import FrameCodec

PROTOCOL_VERSION = 1
# Stays below the usual 1,500-byte link MTU with IP, UDP and tunnel headers.
PACKET_MAX_BYTES = 1_400
_HASH_MAX = 2**64 - 1


class PacketError(Exception):
    """A datagram has a wrong size, version or shape."""


class AnswerStatus(enum.Enum):
    """How a request ended.

    OK: the body holds the whole answer.
    NOT_RUN: the request has not run and will not run.
    OUTCOME_UNKNOWN: the request may have run.
    SHED: the upstream refused to start it; only between upstreams and instances.
    """

    OK = "ok"
    NOT_RUN = "not-run"
    OUTCOME_UNKNOWN = "outcome-unknown"
    SHED = "shed"


class Open(msgspec.Struct, array_like=True, frozen=True, tag="open"):
    """Starts a flow."""

    flow: int = 0


class Accepted(msgspec.Struct, array_like=True, frozen=True, tag="accepted"):
    """Tells the caller that the upstream holds the flow."""

    flow: int = 0


class Data(msgspec.Struct, array_like=True, frozen=True, tag="data"):
    """Carries bytes of a flow in either direction."""

    flow: int = 0
    body: bytes = b""


class Close(msgspec.Struct, array_like=True, frozen=True, tag="close"):
    """Ends a flow."""

    flow: int = 0


class Reset(msgspec.Struct, array_like=True, frozen=True, tag="reset"):
    """Tells that a flow does not exist or was given up."""

    flow: int = 0
    reason: str = ""


class Request(msgspec.Struct, array_like=True, frozen=True, tag="request"):
    """Asks the upstream of the flow to do something.

    Attributes:
        flow: Flow hash, set by instances; 0 from callers.
        caller_id: Name the caller gives itself; the same on all its flows.
        request_id: Unique for the caller; a repeat of the request has the same.
        issued_at_ms: When the caller first sent it, in ms since the epoch.
        timeout_ms: Time from `issued_at_ms` after which the answer is of no use.
        idempotent: Whether running it twice does no harm.
        priority: 0 is served first.
        body: Content for the upstream.
    """

    flow: int
    caller_id: str
    request_id: str
    issued_at_ms: int
    timeout_ms: int
    idempotent: bool
    priority: int
    body: bytes

    @property
    def deadline_ms(self) -> int:
        """When the request must have been answered, in ms since the epoch."""
        return self.issued_at_ms + self.timeout_ms


class Answer(msgspec.Struct, array_like=True, frozen=True, tag="answer"):
    """Ends a request, in one or several parts.

    Attributes:
        flow: Flow hash of the request.
        caller_id: From the request.
        request_id: From the request.
        status: How the request ended.
        part: Index of this part, from 0.
        part_count: Number of parts of the whole answer.
        body: Content of this part.
        reason: Why the request was refused; empty for OK.
    """

    flow: int
    caller_id: str
    request_id: str
    status: AnswerStatus
    part: int = 0
    part_count: int = 1
    body: bytes = b""
    reason: str = ""


class Cancel(msgspec.Struct, array_like=True, frozen=True, tag="cancel"):
    """Asks the upstream to stop work on a request whose caller has gone."""

    flow: int
    caller_id: str
    request_id: str


Packet = Open | Accepted | Data | Close | Reset | Request | Answer | Cancel

_CODEC = FrameCodec(Packet, PROTOCOL_VERSION, PACKET_MAX_BYTES, PacketError)


def encode_packet(packet: Packet) -> bytes:
    """Returns the datagram of a packet.

    Raises:
        PacketError: If the datagram would exceed PACKET_MAX_BYTES.
    """
    return _CODEC.encode(packet)


def decode_packet(datagram: bytes) -> Packet:
    """Returns the packet of a datagram.

    Raises:
        PacketError: If the size, version or shape is wrong.
    """
    packet = _CODEC.decode(datagram)
    if not 0 <= packet.flow <= _HASH_MAX:
        raise PacketError(f"flow {packet.flow} is no 64-bit hash")
    return packet
