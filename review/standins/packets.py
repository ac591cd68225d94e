"""Packets between clients and targets, with a keyed sum that shows changes on the way."""

import dataclasses
import hashlib
import socket
import struct

HEAD = struct.Struct(">HIIIIHIHB5sI")
TARGET_KEY = struct.Struct(">Q")
DATA_MAX_BYTES = 1_200
SYN, ACK, FIN, RST = 32, 128, 64, 4
_SUM_KEY = b"stand-in"
MASK = 0xFFFF_FFFF


class Damaged(Exception):
    """A datagram is no packet, or not what its sender wrote."""


@dataclasses.dataclass(frozen=True)
class Packet:
    """One packet; `source` and `target` are pairs of an IPv4 number and a port."""

    source: tuple[int, int]
    target: tuple[int, int]
    flags: int
    sequence: int
    acknowledged: int
    echo: int = 0
    data: bytes = b""
    is_from_instance: bool = False


def to_number(host: str) -> int:
    """Returns an IPv4 address as an integer."""
    return int.from_bytes(socket.inet_aton(host), "big")


def to_host(number: int) -> str:
    """Returns an IPv4 address as text."""
    return socket.inet_ntoa(number.to_bytes(4, "big"))


def encode(packet: Packet) -> bytes:
    """Returns the datagram of a packet with its sum."""
    return (
        HEAD.pack(
            len(packet.data),
            packet.sequence & MASK,
            packet.acknowledged & MASK,
            packet.echo,
            packet.source[0],
            packet.target[1],
            packet.target[0],
            packet.source[1],
            packet.flags,
            bytes(5),
            _compute_sum(packet),
        )
        + packet.data
    )


def decode(datagram: bytes) -> Packet:
    """Returns the packet of a datagram; raises Damaged if it is not as its sender wrote it."""
    if len(datagram) < HEAD.size:
        raise Damaged(f"{len(datagram)} bytes")
    size, sequence, acknowledged, echo, source, port, target, source_port, flags, _, checksum = (
        HEAD.unpack_from(datagram)
    )
    data = datagram[HEAD.size :]
    if size != len(data):
        raise Damaged(f"{size} bytes stated, {len(data)} found")
    is_from_instance = flags == RST and checksum == 0 and not data
    packet = Packet(
        (source, source_port),
        (target, port),
        flags,
        sequence,
        acknowledged,
        echo,
        data,
        is_from_instance,
    )
    if not is_from_instance and checksum != _compute_sum(packet):
        raise Damaged("wrong sum")
    return packet


def _compute_sum(packet: Packet) -> int:
    """Sums all fields but the echo, which instances may change; never 0."""
    fields = (
        packet.source,
        packet.target,
        packet.flags,
        packet.sequence & MASK,
        packet.acknowledged & MASK,
    )
    text = repr(fields).encode() + packet.data
    return int.from_bytes(hashlib.blake2b(text, digest_size=4, key=_SUM_KEY).digest(), "big") or 1
