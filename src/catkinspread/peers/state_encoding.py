"""Encoding of the state changes that a feeder serves to other instances: compressed MessagePack.

Compression shrinks a configuration of some hundred routes to about a tenth, which matters on slow
links when one feeder serves all other instances of its data centre.
"""

import zlib

import msgspec

from catkinspread.deployment import StateChanges
from catkinspread.peers.compression import decompress_completely

# The fastest level; higher levels gain little, because the records are very similar.
_COMPRESSION_LEVEL = 1
# Maximum size of decompressed state changes, which also applies to corrupt input; larger ones raise
# StateEncodingError.
DECOMPRESSED_MAX_BYTES = 64 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(StateChanges)


class StateEncodingError(Exception):
    """State changes cannot be encoded or decoded."""


def encode_state_changes(changes: StateChanges) -> bytes:
    """Encodes and compresses changes or a listing.

    Raises:
        StateEncodingError: If a value exceeds what the encoding can hold.
    """
    try:
        return zlib.compress(_encoder.encode(changes), _COMPRESSION_LEVEL)
    except (msgspec.EncodeError, OverflowError, RecursionError, TypeError, ValueError) as error:
        raise StateEncodingError(f"cannot encode state changes: {error}") from error


def decode_state_changes(encoded: bytes) -> StateChanges:
    """Decodes changes or a listing.

    Raises:
        StateEncodingError: If the input is corrupt or incomplete, has anything after its end, holds
            a value beyond its bound, or exceeds DECOMPRESSED_MAX_BYTES when decompressed.
    """
    try:
        return _decoder.decode(decompress_completely(encoded, DECOMPRESSED_MAX_BYTES))
    except (
        zlib.error,
        msgspec.DecodeError,
        OverflowError,
        RecursionError,
        ValueError,
    ) as error:
        raise StateEncodingError(
            f"cannot decode {len(encoded)} bytes of state changes "
            f"(at most {DECOMPRESSED_MAX_BYTES} bytes decompressed): {error}"
        ) from error
