"""The form in which records pass from one instance to another: compressed MessagePack.

A configuration of some hundred routes shrinks to about a tenth, which matters on small links when
one instance passes it on to all others of its data centre.
"""

import zlib

import msgspec

from catkinspread.deployment import StateChanges

# The fastest level; higher ones gain little on records that resemble each other.
_COMPRESSION_LEVEL = 1
# Bounds what a damaged body may expand to.
BODY_MAX_BYTES = 64 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(StateChanges)


class BodyError(Exception):
    """A body does not hold records."""


def encode_body(changes: StateChanges) -> bytes:
    """Returns the body that holds changes or a listing."""
    return zlib.compress(_encoder.encode(changes), _COMPRESSION_LEVEL)


def decode_body(body: bytes) -> StateChanges:
    """Returns the changes or the listing of a body.

    Raises:
        BodyError: If it cannot be read.
    """
    try:
        return _decoder.decode(zlib.decompressobj().decompress(body, BODY_MAX_BYTES))
    except (zlib.error, msgspec.DecodeError) as error:
        raise BodyError(str(error)) from error
