"""Rate limit for new flows to upstreams in cold start.

The rate of a cold upstream is a limit across all instances, and instances do not coordinate single
flows. Each instance therefore uses an equal share, as if all instances received flows.
"""

import random

from catkinspread.deployment import KnownUpstream

_MS_PER_S = 1_000


class ColdStartLimiter:
    """Limits the rate at which this instance opens flows to each cold upstream.

    Args:
        instance_count: Initial number of instances.
        rng: Random source for the delay of the first flow.

    Attributes:
        instance_count: Number of instances that share the rate; at least 1.
    """

    __slots__ = ("_next_at_ms", "_rng", "instance_count")

    def __init__(self, instance_count: int, rng: random.Random) -> None:
        self.instance_count = instance_count
        self._rng = rng
        self._next_at_ms: dict[str, float] = {}

    def allows(self, upstream: KnownUpstream, rate_per_s: float, now_ms: int) -> bool:
        """Whether the rate allows a new flow to a cold upstream now."""
        if rate_per_s <= 0.0:
            return False
        name = upstream.record.name
        if name not in self._next_at_ms:
            # A random delay keeps the instances from sending their first flows at the same time.
            self._next_at_ms[name] = now_ms + self._rng.random() * self._interval_ms(rate_per_s)
        return now_ms >= self._next_at_ms[name]

    def record_flow(self, upstream: KnownUpstream, rate_per_s: float, now_ms: int) -> None:
        """Records that a flow is opened to a cold upstream."""
        self._next_at_ms[upstream.record.name] = now_ms + self._interval_ms(rate_per_s)

    def _interval_ms(self, rate_per_s: float) -> float:
        return _MS_PER_S * self.instance_count / rate_per_s
