"""Frame codec of the versioned MessagePack protocols.

A frame is one byte with the protocol version, followed by the message in MessagePack. Each protocol
has its own version, size limit and exception type. The packets of callers and upstreams and the
membership and configuration messages of instances are frames; `wire.FabricPacket` is encoded without
a version.
"""

from typing import Generic, TypeVar

import msgspec

# The version and at least one byte of MessagePack.
_MIN_BYTES = 2

Message = TypeVar("Message")


class FrameCodec(Generic[Message]):
    """Encodes and decodes the messages of one protocol.

    Args:
        message_type: Type of the messages, usually a union of tagged structs.
        version: Version of the protocol, 0 to 255.
        max_bytes: Maximum size of a frame, including the version.
        error_type: Exception type raised for frames that are too large or cannot be decoded.
        frame_name: Term of the protocol for a frame, used in error messages; the default is for
            protocols that send each frame as one datagram.
    """

    __slots__ = ("_decoder", "_encoder", "_error_type", "_max_bytes", "_frame_name", "_version")

    def __init__(
        self,
        message_type: type[Message],
        version: int,
        max_bytes: int,
        error_type: type[Exception],
        frame_name: str = "datagram",
    ) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(message_type)
        self._version = version
        self._max_bytes = max_bytes
        self._error_type = error_type
        self._frame_name = frame_name

    def encode(self, message: Message) -> bytes:
        """Encodes a message as a frame.

        Raises:
            Exception: An `error_type`, if the frame would exceed `max_bytes`.
        """
        frame = bytes([self._version]) + self._encoder.encode(message)
        if len(frame) > self._max_bytes:
            raise self._error_type(
                f"{self._frame_name} of {len(frame)} bytes exceeds {self._max_bytes} bytes"
            )
        return frame

    def decode(self, frame: bytes) -> Message:
        """Decodes the message of a frame.

        Raises:
            Exception: An `error_type`, if the frame has fewer than 2 or more than `max_bytes`
                bytes, has another protocol version, or its message does not match `message_type`.
        """
        if not _MIN_BYTES <= len(frame) <= self._max_bytes:
            raise self._error_type(
                f"{self._frame_name} has {len(frame)} bytes, allowed are"
                f" {_MIN_BYTES} to {self._max_bytes}"
            )
        if frame[0] != self._version:
            raise self._error_type(f"protocol version is {frame[0]}, expected {self._version}")
        try:
            return self._decoder.decode(memoryview(frame)[1:])
        except msgspec.DecodeError as error:
            raise self._error_type(f"{self._frame_name} is malformed: {error}") from error

    def measure_encoded_bytes(self, value: object) -> int:
        """Returns the size in bytes of a part of a message in MessagePack."""
        return len(self._encoder.encode(value))
