"""Tests of the datagram codec."""

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinspread.wire import (
    PACKET_MAX_BYTES,
    Data,
    PacketError,
    Request,
    decode_packet,
    encode_packet,
)


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=PACKET_MAX_BYTES + 10))
def test_arbitrary_bytes_never_raise_another_error(datagram):
    """Guards against a datagram from outside that ends a task."""
    with contextlib.suppress(PacketError):
        decode_packet(datagram)


@settings(derandomize=True, max_examples=100)
@given(st.integers(0, 2**64 - 1), st.binary(max_size=1000), st.integers(1, 50))
def test_round_trip_and_truncation(flow, body, cut):
    """Guards against a truncated packet that is taken for a whole one."""
    datagram = encode_packet(Data(flow=flow, body=body))
    assert decode_packet(datagram) == Data(flow=flow, body=body)
    with pytest.raises(PacketError):
        decode_packet(datagram[: max(0, len(datagram) - cut)])


def test_wrong_version_and_size_are_refused():
    """Guards against packets of another release and oversized ones."""
    with pytest.raises(PacketError, match="protocol version is 9, expected 1"):
        decode_packet(b"\x09" + encode_packet(Data())[1:])
    with pytest.raises(PacketError, match="exceeds 1400 bytes"):
        encode_packet(Data(body=bytes(PACKET_MAX_BYTES)))


def test_deadline_follows_from_the_request_itself():
    """Guards against a deadline that starts anew with every repeat of the request."""
    request = Request(0, "press", "7", 1_000, 500, False, 0, b"")
    assert request.deadline_ms == 1_500
