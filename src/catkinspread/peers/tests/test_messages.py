"""Encoding of the messages between instances."""

import zlib

import pytest

from catkinspread.peers import (
    FlowAnnouncement,
    FlowLocation,
    Hello,
    HelloReply,
    KnownMember,
    LoadReport,
    Member,
    MemberStatus,
    MessageError,
    decode_message,
    encode_message,
)
from catkinspread.peers.messages import MESSAGE_MAX_BYTES, PeerMessage

MEMBERS = tuple(
    KnownMember(Member(f"edge-{number}", "khomas-a", f"10.1.0.{number}", 1_772_510_508_150), number)
    for number in range(16)
)
STATUS = MemberStatus(MEMBERS[0].member, 120, True, False, 0)


@pytest.mark.parametrize(
    "message",
    [
        Hello(STATUS, 1 << 63),
        HelloReply(STATUS, MEMBERS),
        LoadReport("edge-1", 7, {(1 << 31) + number: 3 for number in range(100)}),
        FlowAnnouncement(0xFFFFFFFF, 65_535, 0xFFFFFFFF, 65_535, 1 << 31, 1 << 31, 1 << 31, True),
        FlowLocation(0xFFFFFFFF, 65_535, 0xFFFFFFFF, 65_535, 1 << 31, 1 << 29, 60_000),
    ],
    ids=["small", "members", "loads", "flow", "location"],
)
def test_round_trip_is_lossless(message: PeerMessage) -> None:
    """Guards against a compressed or plain message that is read as another one."""
    assert decode_message(encode_message(message)) == message


def test_members_are_compressed() -> None:
    """Guards against the cost of membership on links between data centres."""
    assert len(encode_message(HelloReply(STATUS, MEMBERS))) < 40 * len(MEMBERS)


@pytest.mark.parametrize(
    "datagram",
    [
        b"",
        b"x\x01broken",
        zlib.compress(b"\x91\xa5hello", 1),
        zlib.compress(bytes(2 * MESSAGE_MAX_BYTES), 1),
        encode_message(HelloReply(STATUS, MEMBERS))[:-20],
    ],
    ids=["empty", "corrupt", "incomplete", "too large", "truncated"],
)
def test_datagram_that_is_no_message_raises(datagram: bytes) -> None:
    """Guards against a datagram of another program that ends the instance or fills its memory."""
    with pytest.raises(MessageError):
        decode_message(datagram)
