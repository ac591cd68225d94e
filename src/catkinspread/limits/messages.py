"""Message that spreads a cold start between instances."""

import msgspec


class MessageError(Exception):
    """A message of this layer is malformed."""


class ColdStartNotice(msgspec.Struct, array_like=True, frozen=True, tag="cold-start"):
    """Tells that an upstream became cold.

    Attributes:
        upstream: Name of the upstream.
        sequence: Grows with each cold start of the upstream; a notice with a lower sequence
            than the known one is stale.
        cold_at_ms: When the upstream became cold, in ms since the epoch.
        reporter: Name of the instance that noticed it.
    """

    upstream: str
    sequence: int
    cold_at_ms: int
    reporter: str


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(ColdStartNotice)


def encode_notice(notice: ColdStartNotice) -> bytes:
    """Returns the encoded form of a notice."""
    return _ENCODER.encode(notice)


def decode_notice(payload: bytes) -> ColdStartNotice:
    """Returns the notice of an encoded form.

    Raises:
        MessageError: If the payload is malformed.
    """
    try:
        return _DECODER.decode(payload)
    except msgspec.DecodeError as error:
        raise MessageError(f"cold start notice is malformed: {error}") from error
