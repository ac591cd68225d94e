"""Handshake time-outs, estimated from the handshake times of each data centre."""

# Bounds of the time-out of an opening packet. The lower bound allows for the network latency to
# callers and for timers that fire late. The upper bound is below the 200 ms after which callers
# retransmit the packet; it does not hold where a usual handshake takes longer.
TIMEOUT_MIN_MS = 50
TIMEOUT_MAX_MS = 150
# Time that an attempt has at least, as a multiple of the average handshake time.
_USUAL_MULTIPLIER = 1.25
# Callers give up opening a flow after 1.4 s.
USUAL_MAX_MS = 700
# Time-out as a multiple of the average handshake time.
_TIMEOUT_MULTIPLIER = 3.0
# Weight of a new sample in the moving average.
_SMOOTHING_FACTOR = 0.1
# Average of a data centre before its first sample.
_INITIAL_AVERAGE_MS = 20.0
# An average counts as measured once the part that stems from its initial value is at most this,
# which it is after five handshakes.
_INITIAL_WEIGHT_MAX = 0.6


class HandshakeEstimator:
    """Estimates handshake times as exponential moving averages per data centre.

    A handshake lasts from the opening packet to the next packet of the caller.
    """

    __slots__ = ("_average_ms", "_initial_weight")

    def __init__(self) -> None:
        self._average_ms: dict[str, float] = {}
        # Part of each average that still stems from its initial value.
        self._initial_weight: dict[str, float] = {}

    def record(self, data_centre: str, duration_ms: int) -> None:
        """Records the duration of a handshake with an upstream of a data centre."""
        average_ms = self._average_ms.get(data_centre, _INITIAL_AVERAGE_MS)
        self._average_ms[data_centre] = average_ms + _SMOOTHING_FACTOR * (duration_ms - average_ms)
        initial_weight = self._initial_weight.get(data_centre, 1.0)
        self._initial_weight[data_centre] = initial_weight * (1.0 - _SMOOTHING_FACTOR)

    def find_average_ms(self, data_centre: str) -> float | None:
        """Returns the average of the measured handshakes alone; None if there are too few."""
        initial_weight = self._initial_weight.get(data_centre, 1.0)
        if initial_weight > _INITIAL_WEIGHT_MAX:
            return None
        average_ms = self._average_ms[data_centre]
        return (average_ms - initial_weight * _INITIAL_AVERAGE_MS) / (1.0 - initial_weight)

    def compute_timeout_ms(self, data_centre: str) -> int:
        """Returns the time after which an opening packet has timed out."""
        timeout_ms = _TIMEOUT_MULTIPLIER * self._average_ms.get(data_centre, _INITIAL_AVERAGE_MS)
        if timeout_ms < TIMEOUT_MIN_MS:
            return TIMEOUT_MIN_MS
        if timeout_ms < TIMEOUT_MAX_MS:
            return int(timeout_ms)  # A usual handshake takes less, by the ratio of the multipliers.
        return max(TIMEOUT_MAX_MS, self.compute_usual_ms(data_centre))

    def compute_usual_ms(self, data_centre: str) -> int:
        """Returns the time within which most handshakes end."""
        average_ms = self._average_ms.get(data_centre, _INITIAL_AVERAGE_MS)
        return int(min(USUAL_MAX_MS, _USUAL_MULTIPLIER * average_ms))
