"""Rate limit for new flows to upstreams in cold start.

The rate of a cold upstream is a limit for the sum over all instances, and instances do not
coordinate single flows. The limit is therefore divided equally by the number of instances. If some
of them get no flows, the actual total rate is lower than the limit.
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
        """Whether the rate allows a new flow to a cold upstream now.

        The first call for an upstream schedules its first flow after a random delay.

        Args:
            upstream: Upstream in cold start.
            rate_per_s: Maximum rate of new flows to it in flows/s, summed over all instances.
            now_ms: Current time.
        """
        if rate_per_s <= 0.0:
            return False
        name = upstream.record.name
        if name not in self._next_at_ms:
            # A random delay keeps the instances from sending their first flows at the same time.
            self._next_at_ms[name] = now_ms + self._rng.random() * self._interval_ms(rate_per_s)
        return now_ms >= self._next_at_ms[name]

    def record_flow(self, upstream: KnownUpstream, rate_per_s: float, now_ms: int) -> None:
        """Records that a flow is opened to a cold upstream, with the arguments of `allows`."""
        self._next_at_ms[upstream.record.name] = now_ms + self._interval_ms(rate_per_s)

    def _interval_ms(self, rate_per_s: float) -> float:
        return _MS_PER_S * self.instance_count / rate_per_s
