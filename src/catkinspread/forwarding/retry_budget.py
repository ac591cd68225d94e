"""Limits the retries of opening packets by an instance, with a token bucket.

If many upstreams seem unresponsive at once, the cause is more likely on the side of the instance,
for example a saturated link. More packets would make that worse, so retries are limited to a
fraction of all opening packets.
"""

# Retries that each opening packet of a caller adds to the budget.
RETRIES_PER_OPENING = 0.2
# Capacity of the budget, which is full at the start. It covers the retries of 100 new flows/s while
# two of eight upstreams are unresponsive, so that these do not delay callers.
RETRY_CAPACITY = 24.0


class RetryBudget:
    """A token bucket that opening packets fill and retries drain."""

    __slots__ = ("_available",)

    def __init__(self) -> None:
        self._available = RETRY_CAPACITY

    def record_opening(self) -> None:
        """Adds the share of one opening packet to the budget."""
        available = self._available + RETRIES_PER_OPENING
        self._available = available if available < RETRY_CAPACITY else RETRY_CAPACITY

    def try_spend(self) -> bool:
        """Takes one retry from the budget; returns False if none is left."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True
