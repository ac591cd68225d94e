"""Codec for frames that consist of a protocol version and a MessagePack message."""

from catkinspread.framing.codec import FrameCodec

__all__ = ["FrameCodec"]
