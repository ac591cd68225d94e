"""Packets of flows as PROTOCOL.md describes them, with a sum of the stand-ins' own."""

import asyncio
import socket
import struct
import zlib

HEAD = struct.Struct(">HIIIIHIHB5sI")
HEAD_BYTES = HEAD.size
SYN, ACK, FIN, RST = 32, 128, 64, 4
SUM_KEY = b"stand-in"
SEQ = 1 << 32  # Sequence numbers are below this.
RETRANSMIT_FIRST_S, RETRANSMIT_MAX_S, RETRANSMIT_COUNT = 0.2, 1.6, 8


def ip_number(ip):
    return struct.unpack(">I", socket.inet_aton(ip))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    """One packet of a flow."""

    __slots__ = ("ack", "data", "dport", "dst", "echo", "flags", "seq", "sport", "src", "sum")

    def __init__(self, src, sport, dst, dport, flags, seq, ack, echo, data=b""):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.echo, self.data = flags, seq, ack, echo, data
        self.sum = None

    def compute_sum(self):
        fields = struct.pack(
            ">HIIIHIHB",
            len(self.data),
            self.seq,
            self.ack,
            self.src,
            self.dport,
            self.dst,
            self.sport,
            self.flags,
        )
        return zlib.crc32(SUM_KEY + fields + self.data) or 1

    def encode(self):
        return (
            HEAD.pack(
                len(self.data),
                self.seq,
                self.ack,
                self.echo,
                self.src,
                self.dport,
                self.dst,
                self.sport,
                self.flags,
                bytes(5),
                self.compute_sum(),
            )
            + self.data
        )

    @classmethod
    def decode(cls, raw):
        if len(raw) < HEAD_BYTES:
            raise ValueError("short packet")
        size, seq, ack, echo, src, dport, dst, sport, flags, _, total = HEAD.unpack_from(raw)
        if size != len(raw) - HEAD_BYTES:
            raise ValueError("wrong length")
        packet = cls(src, sport, dst, dport, flags, seq, ack, echo, raw[HEAD_BYTES:])
        packet.sum = total
        return packet

    @property
    def is_genuine(self):
        return self.sum == self.compute_sum()


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, handle):
        self._handle = handle

    def datagram_received(self, data, addr):
        self._handle(data)

    def error_received(self, exc):
        pass


async def open_udp(ip, port, handle):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: _Datagrams(handle), local_addr=(ip, port)
    )
    return transport
