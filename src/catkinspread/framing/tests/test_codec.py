"""Tests of the frame codec with a protocol of one message type."""

import msgspec
import pytest

from catkinspread.framing import FrameCodec


class Note(msgspec.Struct, frozen=True):
    """A message with one field."""

    text: str


class NoteError(Exception):
    """Exception type of the protocol under test."""


CODEC = FrameCodec(Note, version=3, max_bytes=40, error_type=NoteError, frame_name="note")


def test_frame_round_trip() -> None:
    """Guards against a version byte that is decoded as part of the message."""
    frame = CODEC.encode(Note("hello"))
    assert frame[0] == 3
    assert CODEC.decode(frame) == Note("hello")


@pytest.mark.parametrize(
    ("frame", "message"),
    [
        (b"", "note has 0 bytes, allowed are 2 to 40"),
        (bytes(41), "note has 41 bytes"),
        (b"\x04\x80", "protocol version is 4, expected 3"),
        (b"\x03\xff", "note is malformed"),
    ],
)
def test_invalid_frame_raises_the_error_type_of_the_protocol(frame: bytes, message: str) -> None:
    """Guards against exceptions of msgspec that reach the layers above."""
    with pytest.raises(NoteError, match=message):
        CODEC.decode(frame)


def test_oversized_message_is_not_encoded() -> None:
    """Guards against frames that every receiver rejects because of their size."""
    with pytest.raises(NoteError, match="exceeds 40 bytes"):
        CODEC.encode(Note("x" * 40))
