"""Packets exchanged with callers, upstreams and the fabric, and their codecs."""

from catkinspread.wire.fabric import (
    FabricPacket,
    decode_fabric_packet,
    encode_fabric_packet,
)
from catkinspread.wire.packets import (
    DATAGRAM_MAX_BYTES,
    PROTOCOL_VERSION,
    Accepted,
    Answer,
    AnswerStatus,
    Cancel,
    Close,
    Data,
    Open,
    Packet,
    PacketError,
    Request,
    Reset,
    decode_packet,
    encode_packet,
)

__all__ = [
    "DATAGRAM_MAX_BYTES",
    "PROTOCOL_VERSION",
    "Accepted",
    "Answer",
    "AnswerStatus",
    "Cancel",
    "Close",
    "Data",
    "FabricPacket",
    "Open",
    "Packet",
    "PacketError",
    "Request",
    "Reset",
    "decode_fabric_packet",
    "decode_packet",
    "encode_fabric_packet",
    "encode_packet",
]
