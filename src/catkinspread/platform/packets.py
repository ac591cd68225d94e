"""The packet format of the prepared machines.

Decodes the head of a packet into `CallerPacket` and builds the datagrams that are sent on. The
head has 36 bytes, big-endian; data follows.
"""

import struct

from catkinspread.deployment import KnownUpstream, ServiceAddress
from catkinspread.forwarding import CallerPacket, FlowKey

HEAD_BYTES = 36
DATA_MAX_BYTES = 1_200
# Data size, sequence, acknowledgement, token, source IP, destination port, destination IP,
# source port, flags, padding, checksum.
HEAD = struct.Struct(">HIIIIHIHB5sI")
_TOKEN = struct.Struct(">I")
_TOKEN_OFFSET = 10
_TOKEN_END = _TOKEN_OFFSET + _TOKEN.size
# Names the upstream that a datagram is meant for; others at the same address ignore it.
UPSTREAM_KEY = struct.Struct(">Q")

FLAG_SYN = 32
FLAG_ACK = 128
FLAG_FIN = 64
FLAG_RST = 4
_REQUEST_ID_HEADER = b"\r\nx-catkinspread-attempt-id:"


class MalformedPacket(Exception):
    """A datagram is not a packet of a caller."""


def decode_packet(datagram: bytes) -> CallerPacket:
    """Returns the packet of a datagram.

    Raises:
        MalformedPacket: If the size or the flags are impossible.
    """
    if len(datagram) < HEAD_BYTES:
        raise MalformedPacket(f"{len(datagram)} bytes are fewer than a head")
    (size, sequence, acknowledged, token, source_ip, port, ip, source_port, flags, _, _) = (
        HEAD.unpack_from(datagram)
    )
    if size != len(datagram) - HEAD_BYTES or size > DATA_MAX_BYTES:
        raise MalformedPacket(f"data of {len(datagram) - HEAD_BYTES} bytes, stated are {size}")
    is_opening = bool(flags & FLAG_SYN)
    if is_opening and flags & (FLAG_ACK | FLAG_FIN | FLAG_RST):
        raise MalformedPacket(f"flags {flags:#04x} exclude each other")
    return CallerPacket(
        key=FlowKey(source_ip, source_port, ServiceAddress(ip, port)),
        is_opening=is_opening,
        is_close=bool(flags & FLAG_FIN),
        is_reset=bool(flags & FLAG_RST),
        sequence=sequence,
        acknowledged=acknowledged,
        token=token,
        payload_size_bytes=size,
        datagram=datagram,
    )


def encode_for_upstream(packet: CallerPacket, upstream: KnownUpstream, token: int) -> bytes:
    """Returns the datagram for an upstream; only the token field of the packet is replaced."""
    datagram = packet.datagram
    return b"".join(
        (
            UPSTREAM_KEY.pack(upstream.record.key),
            datagram[:_TOKEN_OFFSET],
            _TOKEN.pack(token),
            datagram[_TOKEN_END:],
        )
    )


def encode_reset(key: FlowKey, sequence: int) -> bytes:
    """Returns the datagram that tells a caller that its flow ends.

    Args:
        key: Key of the flow.
        sequence: On an open flow the caller accepts only a reset with a sequence number close to
            the one that it acknowledged last.
    """
    return HEAD.pack(
        0,
        sequence,
        0,
        0,
        key.address.ip,
        key.caller_port,
        key.caller_ip,
        key.address.port,
        FLAG_RST,
        bytes(5),
        0,
    )


def read_request_id(packet: CallerPacket) -> str:
    """Returns the identifier of the request whose head starts in a packet; empty if none does."""
    lowered = packet.datagram[HEAD_BYTES:].lower()
    start = lowered.find(_REQUEST_ID_HEADER)
    if start < 0:
        return ""
    start += HEAD_BYTES + len(_REQUEST_ID_HEADER)
    end = packet.datagram.find(b"\r\n", start)
    return packet.datagram[start : end if end >= 0 else None].strip().decode("latin-1")
