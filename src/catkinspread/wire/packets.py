"""Datagrams between callers, instances and upstreams.

A packet is a decoded message; a datagram is the encoded packet. A datagram is one byte with the
protocol version, followed by a MessagePack array whose first element is the tag of the packet type.
Callers and upstreams use the same packet types. `flow` is 0 between callers and instances; instances
set it to the flow hash in packets to upstreams, which copy it into their replies.
"""

import enum

import msgspec

from catkinspread.framing import FrameCodec

PROTOCOL_VERSION = 1
# Stays below the usual link MTU of 1,500 bytes with the headers of IPv4 (20 bytes) and UDP (8 bytes)
# and up to 72 bytes of encapsulation, such as that of FabricPacket.
DATAGRAM_MAX_BYTES = 1_400
_HASH_MAX = 2**64 - 1


class PacketError(Exception):
    """A datagram has an invalid size or protocol version, or is malformed."""


class AnswerStatus(enum.Enum):
    """Outcome of a request.

    OK: the request was executed; the bodies of all parts together are the answer.
    NOT_RUN: the request has not been executed and never will be.
    OUTCOME_UNKNOWN: the request may have been executed.
    SHED: the upstream refused to execute it. Only upstreams send it, and only to instances.
    """

    OK = "ok"
    NOT_RUN = "not-run"
    OUTCOME_UNKNOWN = "outcome-unknown"
    SHED = "shed"


class Open(msgspec.Struct, array_like=True, frozen=True, tag="open"):
    """Opens a flow. Sent by the caller and passed on to the upstream.

    Attributes:
        flow: Flow hash; 0 in packets from callers.
    """

    flow: int = 0


class Accepted(msgspec.Struct, array_like=True, frozen=True, tag="accepted"):
    """Confirms that the flow is open. Sent by the upstream and passed on to the caller.

    Attributes:
        flow: Flow hash; 0 in packets to callers.
    """

    flow: int = 0


class Data(msgspec.Struct, array_like=True, frozen=True, tag="data"):
    """Carries payload bytes of a flow, from the caller to the upstream or back.

    Attributes:
        flow: Flow hash; 0 between callers and instances.
        body: Payload.
    """

    flow: int = 0
    body: bytes = b""


class Close(msgspec.Struct, array_like=True, frozen=True, tag="close"):
    """Closes a flow. Sent by the caller and passed on to the upstream; there is no reply.

    Attributes:
        flow: Flow hash; 0 in packets from callers.
    """

    flow: int = 0


class Reset(msgspec.Struct, array_like=True, frozen=True, tag="reset"):
    """Reports that a flow is unknown or was terminated. Sent by an instance or upstream to callers.

    Attributes:
        flow: Flow hash; 0 in packets to callers.
        reason: Why the flow was reset: a value of `routing.ResetReason` if an instance resets it, a
            text of the upstream otherwise.
    """

    flow: int = 0
    reason: str = ""


class Request(msgspec.Struct, array_like=True, frozen=True, tag="request"):
    """Request to the upstream of the flow.

    Attributes:
        flow: Flow hash, set by instances; 0 in packets from callers.
        caller_id: Name chosen by the caller, the same on all its flows.
        request_id: Unique among the requests of the caller; retries of a request share it.
        issued_at_ms: When the caller first sent the request, in ms since the Unix epoch.
        timeout_ms: Time from `issued_at_ms` until the caller stops waiting for the answer.
        idempotent: Whether it may be executed more than once without harm.
        priority: 0 is the highest; requests with larger numbers are shed first.
        body: Payload for the upstream.
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
        """Deadline for the answer in ms since the Unix epoch."""
        return self.issued_at_ms + self.timeout_ms


class Answer(msgspec.Struct, array_like=True, frozen=True, tag="answer"):
    """Answer to a request, or one part of it.

    Attributes:
        flow: Flow hash of the request.
        caller_id: Same as in the request.
        request_id: Same as in the request.
        status: Outcome of the request.
        part: Index of this part, starting at 0.
        part_count: Number of parts of the complete answer.
        body: Payload of this part.
        reason: Why the request was not executed or its outcome is unknown; empty for OK. Answers of
            instances take it from `requests.reasons` or from `limits.RefusalReason`.
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
    """Asks to abort a request whose answer is no longer needed.

    Sent by the caller, or by an instance to the upstream that executes the request.

    Attributes:
        flow: Flow hash of the request; 0 in packets from callers.
        caller_id: Same as in the request.
        request_id: Same as in the request.
    """

    flow: int
    caller_id: str
    request_id: str


Packet = Open | Accepted | Data | Close | Reset | Request | Answer | Cancel

_CODEC = FrameCodec(Packet, PROTOCOL_VERSION, DATAGRAM_MAX_BYTES, PacketError)


def encode_packet(packet: Packet) -> bytes:
    """Encodes a packet as a datagram.

    Raises:
        PacketError: If the datagram would exceed DATAGRAM_MAX_BYTES.
    """
    return _CODEC.encode(packet)


def decode_packet(datagram: bytes) -> Packet:
    """Decodes the packet in a datagram.

    Raises:
        PacketError: If the datagram has fewer than 2 or more than DATAGRAM_MAX_BYTES bytes or another
            protocol version, the packet is malformed, or its flow hash does not fit in 64 bits.
    """
    packet = _CODEC.decode(datagram)
    if not 0 <= packet.flow <= _HASH_MAX:
        raise PacketError(f"flow hash {packet.flow} does not fit in 64 bits")
    return packet
