"""The packets of both ends of a flow, with a checksum that shows changes on the way."""

import zlib

import msgspec

from catkinspread.platform.packets import (
    FLAG_ACK,
    FLAG_FIN,
    FLAG_RST,
    FLAG_SYN,
    HEAD,
    HEAD_BYTES,
    UPSTREAM_KEY,
)

_CHECKSUM_SEED = 0x5EED
_PADDING = bytes(5)
_REQUEST_ID_FIELD = "X-Catkinspread-Attempt-Id: "


class PacketDamaged(Exception):
    """A datagram is no packet, or it is not what its sender wrote."""


class FlowPacket(msgspec.Struct, frozen=True):
    """A packet between a caller and an upstream.

    Attributes:
        source_ip: IPv4 number of the sender's end.
        source_port: Port of the sender's end.
        target_ip: IPv4 number of the other end.
        target_port: Port of the other end.
        sequence: Number of the first byte of data.
        acknowledged: Number of the next byte that is expected.
        token: What the sender received as token last.
        is_open: Whether it opens the flow.
        has_acknowledgement: Whether `acknowledged` holds.
        is_close: Whether no data follows.
        is_reset: Whether the flow ends at once.
        data: Content.
        is_from_instance: Whether an instance made it; only decoded packets say so.
    """

    source_ip: int
    source_port: int
    target_ip: int
    target_port: int
    sequence: int
    acknowledged: int
    token: int = 0
    is_open: bool = False
    has_acknowledgement: bool = False
    is_close: bool = False
    is_reset: bool = False
    data: bytes = b""
    is_from_instance: bool = False


def encode_flow_packet(packet: FlowPacket) -> bytes:
    """Returns the datagram of a packet of an end, with its checksum."""
    flags = (
        FLAG_SYN * packet.is_open
        | FLAG_ACK * packet.has_acknowledgement
        | FLAG_FIN * packet.is_close
        | FLAG_RST * packet.is_reset
    )
    head = HEAD.pack(
        len(packet.data),
        packet.sequence,
        packet.acknowledged,
        packet.token,
        packet.source_ip,
        packet.target_port,
        packet.target_ip,
        packet.source_port,
        flags,
        _PADDING,
        _compute_checksum(packet, flags),
    )
    return head + packet.data


def decode_flow_packet(datagram: bytes) -> FlowPacket:
    """Returns the packet of a datagram.

    Raises:
        PacketDamaged: If it is too short, has the wrong size or another content than the
            sender's.
    """
    if len(datagram) < HEAD_BYTES:
        raise PacketDamaged(f"{len(datagram)} bytes are fewer than a head")
    size, sequence, acknowledged, token, source, port, target, source_port, flags, _, checksum = (
        HEAD.unpack_from(datagram)
    )
    data = datagram[HEAD_BYTES:]
    if size != len(data):
        raise PacketDamaged(f"data of {len(data)} bytes, stated are {size}")
    is_reset = bool(flags & FLAG_RST)
    packet = FlowPacket(
        source_ip=source,
        source_port=source_port,
        target_ip=target,
        target_port=port,
        sequence=sequence,
        acknowledged=acknowledged,
        token=token,
        is_open=bool(flags & FLAG_SYN),
        has_acknowledgement=bool(flags & FLAG_ACK),
        is_close=bool(flags & FLAG_FIN),
        is_reset=is_reset,
        data=data,
        is_from_instance=is_reset and checksum == 0 and not data,
    )
    if not packet.is_from_instance and checksum != _compute_checksum(packet, flags):
        raise PacketDamaged("the checksum does not match")
    return packet


def encode_request(request_id: str, is_idempotent: bool) -> bytes:
    """Returns the data of a request."""
    method = "GET" if is_idempotent else "POST"
    head = f"{method} / HTTP/1.1\r\n{_REQUEST_ID_FIELD}{request_id}\r\n\r\n"
    return head.encode()


def decode_request(data: bytes) -> tuple[str, bool]:
    """Returns the identifier of a request and whether it may be repeated."""
    method, field = data.decode().split("\r\n")[:2]
    return field.removeprefix(_REQUEST_ID_FIELD), method.startswith("GET")


def split_upstream_datagram(datagram: bytes) -> tuple[int, bytes]:
    """Returns the key of the upstream that a datagram is meant for, and the packet in it."""
    (key,) = UPSTREAM_KEY.unpack_from(datagram)
    return key, datagram[UPSTREAM_KEY.size :]


def _compute_checksum(packet: FlowPacket, flags: int) -> int:
    fields = (
        packet.source_ip,
        packet.source_port,
        packet.target_ip,
        packet.target_port,
        packet.sequence,
        packet.acknowledged,
        flags,
    )
    # 0 is left to the resets of instances.
    return zlib.crc32(repr(fields).encode() + packet.data, _CHECKSUM_SEED) or 1
