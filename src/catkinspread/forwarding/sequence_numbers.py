"""Arithmetic on the 32-bit sequence numbers of flows, which wrap around."""

_MODULUS = 1 << 32
_HALF = 1 << 31


def advance_sequence(sequence: int, count: int) -> int:
    """Returns the sequence number that is `count` bytes after another."""
    return (sequence + count) % _MODULUS


def compute_sequence_distance(sequence: int, other: int) -> int:
    """Returns the number of bytes from `other` forward to `sequence`, 0 to 2**32 - 1."""
    return (sequence - other) % _MODULUS


def is_sequence_after(sequence: int, other: int) -> bool:
    """Whether a sequence number comes after another."""
    return 0 < compute_sequence_distance(sequence, other) < _HALF
