"""Bounds the opening packets that an instance repeats by itself.

If many upstreams seem silent at once, it is rather the instance that is late, for example behind a
full link. More packets would make that worse, so repeats are a bounded share of all openings.
"""

# Repeats that each opening packet of a caller allows.
REPEATS_PER_OPENING = 0.2
# Repeats that are allowed at once, so that one silent upstream costs no caller its time.
BURST = 24.0


class RetryBudget:
    """Counts openings and repeats."""

    __slots__ = ("_allowance",)

    def __init__(self) -> None:
        self._allowance = BURST

    def record_opening(self) -> None:
        """Notes an opening packet of a caller."""
        self._allowance = min(BURST, self._allowance + REPEATS_PER_OPENING)

    def spend(self) -> bool:
        """Takes one repeat, or returns False if none is left."""
        if self._allowance < 1.0:
            return False
        self._allowance -= 1.0
        return True
