"""Estimate of how many refused openings are first attempts.

Refused callers return with new flows, up to two more for each request. If each of them counted as
demand, the share that is admitted would be too small and upstreams would be idle: with twice the
demand and two retries, two thirds of the refused openings are retries. Positions of callers are
uniform, so the openings of admitted callers, who have no reason to return, show how many first
attempts the refused callers make.
"""

import math

# Time constant of the decaying sums: half a rotation of the positions. It is long enough for a
# route with few openings on one of many instances. A longer one leaves work slots idle.
MEMORY_MS = 5_000
# Openings without retries that the sums start with; avoids wild estimates from few openings.
PRIOR_OPENINGS = 2.0
# Below this share, too few callers are admitted to tell how many are refused.
SHARE_MIN = 0.01


class RetryShare:
    """Estimates the share of first attempts among the refused openings of a route."""

    __slots__ = ("_decayed_at_ms", "_expected", "_refused")

    def __init__(self) -> None:
        self._expected = 0.0
        self._refused = 0.0
        self._decayed_at_ms = 0

    def record(self, is_admitted: bool, share: float) -> None:
        """Records the decision about an opening while a share of the callers is admitted."""
        if not SHARE_MIN <= share < 1:
            return
        if is_admitted:
            self._expected += (1 - share) / share
        else:
            self._refused += 1

    def decay(self, now_ms: int) -> None:
        """Lets older openings count less."""
        factor = math.exp((self._decayed_at_ms - now_ms) / MEMORY_MS)
        self._decayed_at_ms = now_ms
        self._expected *= factor
        self._refused *= factor

    def estimate_first_share(self) -> float:
        """Returns the share of first attempts among refused openings, more than 0, at most 1."""
        return min(1.0, (self._expected + PRIOR_OPENINGS) / (self._refused + PRIOR_OPENINGS))
