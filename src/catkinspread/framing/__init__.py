"""Messages as frames: a protocol version followed by MessagePack."""

from catkinspread.framing.codec import FrameCodec

__all__ = ["FrameCodec"]
