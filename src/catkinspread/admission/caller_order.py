"""Order in which the callers of a route are admitted while a service has too little room.

Each caller has a position in [0, 1), which all instances compute alike. Callers whose position is
below the share of their route are admitted.
"""

import xxhash

# Period in which the position of each caller takes every value once. It is several times the 1.4 s
# in which a caller opens a flow, so that an admitted caller stays admitted over its next flows, and
# short enough that no caller is refused for long.
ROTATION_MS = 10_000
_HASH_RANGE = 1 << 64
_IP_BYTES = 4


def compute_position(caller_ip: int, now_ms_since_epoch: int) -> float:
    """Returns the position of a caller in [0, 1).

    It decreases with time and starts again below 1 after 0, so the refused callers with the lowest
    positions are admitted next. The hash is part of the agreement between instances: instances with
    different hashes would admit different callers.

    Args:
        caller_ip: IPv4 address of the caller as an integer. The port has no influence, so that a
            caller who returns from a new port keeps the position.
        now_ms_since_epoch: Current wall-clock time.
    """
    start = xxhash.xxh3_64_intdigest(caller_ip.to_bytes(_IP_BYTES, "big")) * ROTATION_MS
    elapsed = now_ms_since_epoch % ROTATION_MS * _HASH_RANGE
    # Integer arithmetic, divided once after a right shift to 53 bits, so that the result is never
    # rounded up to 1.0.
    position = (start - elapsed) // ROTATION_MS % _HASH_RANGE
    return (position >> 11) / (1 << 53)
