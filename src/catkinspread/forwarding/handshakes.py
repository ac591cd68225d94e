"""How long upstreams take to answer an opening packet, by data centre."""

# Bounds of the time after which an opening packet counts as unanswered. The lower one leaves
# room for the way to callers and for timers that fire late.
TIMEOUT_MIN_MS = 50
TIMEOUT_MAX_MS = 150
_TIMEOUT_FACTOR = 3.0
_STEP = 0.1
_FIRST_MS = 20.0


class HandshakeTimes:
    """Moving averages of the time from the opening packet to the next one of the caller."""

    __slots__ = ("_average_ms",)

    def __init__(self) -> None:
        self._average_ms: dict[str, float] = {}

    def add(self, data_centre: str, took_ms: int) -> None:
        """Takes the time of one handshake with an upstream of a data centre."""
        average_ms = self._average_ms.get(data_centre, _FIRST_MS)
        self._average_ms[data_centre] = average_ms + _STEP * (took_ms - average_ms)

    def compute_timeout_ms(self, data_centre: str) -> int:
        """Returns the time after which an opening packet counts as unanswered."""
        expected_ms = _TIMEOUT_FACTOR * self._average_ms.get(data_centre, _FIRST_MS)
        return int(min(TIMEOUT_MAX_MS, max(TIMEOUT_MIN_MS, expected_ms)))
