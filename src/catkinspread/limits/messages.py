"""Message that informs other instances about the cold start of an upstream."""

import msgspec


class ColdStartNoticeError(Exception):
    """A cold start notice cannot be decoded."""


class ColdStartNotice(msgspec.Struct, array_like=True, frozen=True, tag="cold-start"):
    """Reports that an upstream became cold.

    Attributes:
        upstream: Name of the upstream.
        sequence: Increases with each cold start of the upstream; a notice with a sequence lower
            than the latest known one is stale.
        cold_at_ms: When the upstream became cold, in ms since the epoch.
        reporter: Name of the instance that detected the cold start.
    """

    upstream: str
    sequence: int
    cold_at_ms: int
    reporter: str


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(ColdStartNotice)


def encode_notice(notice: ColdStartNotice) -> bytes:
    """Encodes a notice as MessagePack."""
    return _ENCODER.encode(notice)


def decode_notice(payload: bytes) -> ColdStartNotice:
    """Decodes a notice from MessagePack.

    Raises:
        ColdStartNoticeError: If the payload is malformed.
    """
    try:
        return _DECODER.decode(payload)
    except msgspec.DecodeError as error:
        raise ColdStartNoticeError(
            f"cold start notice of {len(payload)} bytes is malformed: {error}"
        ) from error
