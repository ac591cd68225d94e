"""The packet format, against the bytes of the platform's pages."""

import pytest

from catkinspread.deployment import KnownUpstream, ServiceAddress, UpstreamRecord
from catkinspread.platform.packets import (
    MalformedPacket,
    decode_packet,
    encode_for_upstream,
    encode_reset,
    read_request_id,
)

OPENING = bytes.fromhex("00001122334400000000000000006440000701bbc61200019c41200000000000a1b2c3d5")
RESET = bytes.fromhex("0000000000000000000000000000c61200019c416440000701bb04000000000000000000")
UPSTREAM = KnownUpstream(
    UpstreamRecord("i-7f3a91c2", 0x7F3A91C2, "pages", "east", "10.0.0.9", 80, 2, False, 0, 1), 0
)


def _build(data: bytes, flags: int = 128, size: int | None = None) -> bytes:
    head = bytearray(OPENING)
    head[0:2] = (len(data) if size is None else size).to_bytes(2, "big")
    head[26] = flags
    return bytes(head) + data


def test_decodes_the_documented_opening_packet() -> None:
    """Guards against a wrong offset or width in the head."""
    packet = decode_packet(OPENING)
    assert packet.is_opening
    assert packet.sequence == 0x11223344
    assert packet.key.caller_ip == 0x64400007
    assert packet.key.caller_port == 40_001
    assert packet.key.address == ServiceAddress(0xC6120001, 443)
    assert (packet.token, packet.payload_size_bytes) == (0, 0)


def test_builds_the_documented_reset() -> None:
    """Guards against a reset that callers ignore."""
    assert encode_reset(decode_packet(OPENING).key, 0) == RESET


def test_changes_nothing_but_the_token() -> None:
    """Guards against packets that upstreams refuse because a field was changed."""
    datagram = encode_for_upstream(decode_packet(OPENING), UPSTREAM, 0x8BADF00D)
    assert datagram[:8] == (0x7F3A91C2).to_bytes(8, "big")
    assert datagram[8:18] == OPENING[:10]
    assert datagram[18:22] == (0x8BADF00D).to_bytes(4, "big")
    assert datagram[22:] == OPENING[14:]


@pytest.mark.parametrize(
    "datagram",
    [
        b"",
        OPENING[:35],
        _build(b"abc", size=4),
        _build(b"", size=1),
        _build(bytes(1_201)),
        _build(b"", flags=32 | 4),
        _build(b"", flags=32 | 64),
    ],
)
def test_refuses_what_is_no_packet(datagram: bytes) -> None:
    """Guards against exceptions and guesses for cut or forged datagrams."""
    with pytest.raises(MalformedPacket):
        decode_packet(datagram)


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"GET / HTTP/1.1\r\nX-Catkinspread-Attempt-Id: ab12\r\nHost: x\r\n\r\n", "ab12"),
        (b"GET / HTTP/1.1\r\nx-catkinspread-attempt-id:ab12\r\n\r\n", "ab12"),
        (b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", ""),
        (b"", ""),
    ],
)
def test_reads_the_identifier_of_a_request(data: bytes, expected: str) -> None:
    """Guards against failed requests that the log cannot name."""
    assert read_request_id(decode_packet(_build(data))) == expected
