"""Encoding of the records that a feeder serves to other instances: compressed MessagePack.

Compression shrinks a configuration of some hundred routes to about a tenth, which matters on slow
links when one feeder serves all other instances of its data centre.
"""

import zlib

import msgspec

from catkinspread.deployment import StateChanges

# The fastest level; higher levels gain little, because the records are very similar.
_COMPRESSION_LEVEL = 1
# Limits the decompressed size of a corrupt body.
DECOMPRESSED_MAX_BYTES = 64 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(StateChanges)


class StateEncodingError(Exception):
    """A body cannot be decoded."""


def encode_state_changes(changes: StateChanges) -> bytes:
    """Encodes changes or a listing."""
    return zlib.compress(_encoder.encode(changes), _COMPRESSION_LEVEL)


def decode_state_changes(body: bytes) -> StateChanges:
    """Decodes changes or a listing.

    Raises:
        StateEncodingError: If the body cannot be decoded.
    """
    try:
        return _decoder.decode(zlib.decompressobj().decompress(body, DECOMPRESSED_MAX_BYTES))
    except (zlib.error, msgspec.DecodeError) as error:
        raise StateEncodingError(str(error)) from error
