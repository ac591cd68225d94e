"""Exponential back-off with jitter."""

import random


class BackOff:
    """Delays between the attempts of one activity.

    Each delay is multiplied by a random factor between 0.5 and 1.5, which keeps instances that failed
    at the same time from trying again at the same time.

    Args:
        initial_ms: First delay, before the random factor.
        max_ms: Upper limit of the delays, before the random factor.
        rng: Source of the random factor.
    """

    __slots__ = ("_delay_ms", "_initial_ms", "_max_ms", "_rng")

    def __init__(self, initial_ms: int, max_ms: int, rng: random.Random) -> None:
        self._initial_ms = initial_ms
        self._max_ms = max_ms
        self._rng = rng
        self._delay_ms = initial_ms

    def next_ms(self) -> int:
        """Returns the next delay, and doubles the one after it up to the limit."""
        delay_ms = round(self._delay_ms * (0.5 + self._rng.random()))
        self._delay_ms = min(self._max_ms, 2 * self._delay_ms)
        return delay_ms

    def reset(self) -> None:
        """Starts again with the first delay."""
        self._delay_ms = self._initial_ms
