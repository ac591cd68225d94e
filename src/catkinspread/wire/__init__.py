"""Packets of callers and upstreams, and their codec."""

from catkinspread.wire.packets import (
    PACKET_MAX_BYTES,
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
    "PACKET_MAX_BYTES",
    "PROTOCOL_VERSION",
    "Accepted",
    "Answer",
    "AnswerStatus",
    "Cancel",
    "Close",
    "Data",
    "Open",
    "Packet",
    "PacketError",
    "Request",
    "Reset",
    "decode_packet",
    "encode_packet",
]
