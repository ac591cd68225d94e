"""Handshake time-outs, estimated from the handshake times of each data centre."""

# Bounds of the time-out of an opening packet. The lower bound allows for the network latency to
# callers and for timers that fire late.
TIMEOUT_MIN_MS = 50
TIMEOUT_MAX_MS = 150
_TIMEOUT_MULTIPLIER = 3.0
_SMOOTHING_FACTOR = 0.1
_INITIAL_AVERAGE_MS = 20.0


class HandshakeEstimator:
    """Estimates handshake times as exponential moving averages per data centre.

    A handshake lasts from the opening packet to the next packet of the caller.
    """

    __slots__ = ("_average_ms",)

    def __init__(self) -> None:
        self._average_ms: dict[str, float] = {}

    def record(self, data_centre: str, duration_ms: int) -> None:
        """Records the duration of a handshake with an upstream of a data centre."""
        average_ms = self._average_ms.get(data_centre, _INITIAL_AVERAGE_MS)
        self._average_ms[data_centre] = average_ms + _SMOOTHING_FACTOR * (duration_ms - average_ms)

    def compute_timeout_ms(self, data_centre: str) -> int:
        """Returns the time after which an opening packet has timed out."""
        expected_ms = _TIMEOUT_MULTIPLIER * self._average_ms.get(data_centre, _INITIAL_AVERAGE_MS)
        return int(min(TIMEOUT_MAX_MS, max(TIMEOUT_MIN_MS, expected_ms)))
