"""Tests of the packet codec."""

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinspread.wire import (
    DATAGRAM_MAX_BYTES,
    Data,
    PacketError,
    Request,
    decode_packet,
    encode_packet,
)


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=DATAGRAM_MAX_BYTES + 10))
def test_arbitrary_bytes_raise_no_error_but_packet_error(datagram):
    """Guards against a malformed datagram whose exception ends the receiving task."""
    with contextlib.suppress(PacketError):
        decode_packet(datagram)


@settings(derandomize=True, max_examples=100)
@given(st.integers(0, 2**64 - 1), st.binary(max_size=1000), st.integers(1, 50))
def test_round_trip_and_truncation(flow, body, removed_bytes):
    """Guards against a truncated packet that is accepted as complete."""
    datagram = encode_packet(Data(flow=flow, body=body))
    assert decode_packet(datagram) == Data(flow=flow, body=body)
    with pytest.raises(PacketError):
        decode_packet(datagram[: max(0, len(datagram) - removed_bytes)])


def test_wrong_version_and_size_are_rejected():
    """Guards against packets of another protocol version and oversized packets."""
    with pytest.raises(PacketError, match="protocol version is 9, expected 1"):
        decode_packet(b"\x09" + encode_packet(Data())[1:])
    with pytest.raises(PacketError, match="exceeds 1400 bytes"):
        encode_packet(Data(body=bytes(DATAGRAM_MAX_BYTES)))


def test_deadline_is_computed_from_the_issue_time():
    """Guards against a deadline that is extended by each retry of the request."""
    request = Request(0, "press", "7", 1_000, 500, False, 0, b"")
    assert request.deadline_ms == 1_500
