"""The share of this instance in what cold upstreams bear.

The rate of a cold upstream is a limit over all instances, which do not agree on each flow. Every
instance therefore takes an equal share, counted as if all instances were in use.
"""

import random

from catkinspread.deployment import KnownUpstream

_MS_PER_S = 1_000


class ColdStartLimiter:
    """Spaces out the flows that this instance opens to cold upstreams.

    Attributes:
        instances: How many instances share the rate, at least 1.
    """

    __slots__ = ("_next_at_ms", "_rng", "instance_count")

    def __init__(self, instance_count: int, rng: random.Random) -> None:
        self.instance_count = instance_count
        self._rng = rng
        self._next_at_ms: dict[str, float] = {}

    def allows(self, upstream: KnownUpstream, rate_per_s: float, now_ms: int) -> bool:
        """Whether a flow may be opened to a cold upstream now."""
        if rate_per_s <= 0.0:
            return False
        name = upstream.record.name
        if name not in self._next_at_ms:
            # A random start keeps the instances from sending their first flow all at once.
            self._next_at_ms[name] = now_ms + self._rng.random() * self._interval_ms(rate_per_s)
        return now_ms >= self._next_at_ms[name]

    def record_flow(self, upstream: KnownUpstream, rate_per_s: float, now_ms: int) -> None:
        """Counts a flow that is opened to a cold upstream."""
        self._next_at_ms[upstream.record.name] = now_ms + self._interval_ms(rate_per_s)

    def _interval_ms(self, rate_per_s: float) -> float:
        return _MS_PER_S * self.instance_count / rate_per_s
