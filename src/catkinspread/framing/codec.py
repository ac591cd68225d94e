"""One codec for the frames of all protocols between processes.

A frame is a byte with the version of its protocol and the message as MessagePack. Each protocol has
its own version, size limit and error.
"""

from typing import Generic, TypeVar

import msgspec

_MIN_BYTES = 2

Message = TypeVar("Message")


class FrameCodec(Generic[Message]):
    """Encodes and decodes the messages of one protocol.

    Args:
        message_type: Type of the messages, usually a union of tagged structs.
        version: Version of the protocol, 0 to 255.
        max_bytes: Largest frame.
        error_type: Raised for frames that cannot be used.
        frame_name: What the protocol calls a frame, for error messages.
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
        """Returns the frame of a message.

        Raises:
            Exception: Of the error type, if the frame would be too large.
        """
        frame = bytes([self._version]) + self._encoder.encode(message)
        if len(frame) > self._max_bytes:
            raise self._error_type(
                f"{self._frame_name} of {len(frame)} bytes exceeds {self._max_bytes} bytes"
            )
        return frame

    def decode(self, frame: bytes) -> Message:
        """Returns the message of a frame.

        Raises:
            Exception: Of the error type, if the size, version or shape is wrong.
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
        """Returns how many bytes a part of a message takes."""
        return len(self._encoder.encode(value))
