"""Decompression of what other instances send, within a bound."""

import zlib


def decompress_completely(compressed: bytes, size_max_bytes: int) -> bytes:
    """Decompresses data in the zlib format.

    Raises:
        zlib.error: If the data is corrupt.
        ValueError: If it is incomplete, has anything after its end or is larger than the bound.
    """
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(compressed, size_max_bytes)
    if not decompressor.eof:
        raise ValueError(f"compressed data is incomplete or exceeds {size_max_bytes} bytes")
    if decompressor.unused_data:
        raise ValueError("compressed data has something after its end")
    return data
