"""Rate limit for new flows to upstreams in cold start.

The rate of a cold upstream is a limit for the sum over all instances, and instances do not
coordinate single flows. The limit is therefore divided equally by the number of instances. If some
of them get no flows, the actual total rate is lower than the limit.
"""

import random

from catkinspread.deployment import KnownUpstream

_MS_PER_S = 1_000
# A number of instances below this part of the previous one schedules all flows anew. Small changes,
# as in a rolling restart, do not, because flows that are rarer than the changes would never be due.
_DROP_FACTOR = 0.5


class _Wait:
    """Wait of an upstream for its next flow.

    Attributes:
        since_ms: Start of the wait.
        intervals: Its length, as a multiple of the interval between flows.
    """

    __slots__ = ("intervals", "since_ms")

    def __init__(self, since_ms: int, intervals: float) -> None:
        self.since_ms = since_ms
        self.intervals = intervals


class ColdStartLimiter:
    """Limits the rate at which this instance opens flows to each cold upstream.

    Args:
        instance_count: Initial number of instances that share the rate; at least 1.
        rng: Random source for the delay of the first flow.
    """

    __slots__ = ("_instance_count", "_rng", "_waits")

    def __init__(self, instance_count: int, rng: random.Random) -> None:
        self._instance_count = instance_count
        self._rng = rng
        self._waits: dict[str, _Wait] = {}

    def set_instance_count(self, instance_count: int) -> None:
        """Sets the number of instances that share the rate, which also changes waits that run.

        Instances that learn at the same moment that they are fewer wait again, so that they do not
        all send the flows that became due.
        """
        if instance_count < self._instance_count * _DROP_FACTOR:
            self._waits.clear()
        self._instance_count = instance_count

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
        wait = self._waits.get(name)
        if wait is None:
            # A random delay keeps the instances from sending their first flows at the same time.
            wait = self._waits[name] = _Wait(now_ms, self._rng.random())
        return now_ms - wait.since_ms >= wait.intervals * self._interval_ms(rate_per_s)

    def record_flow(self, upstream: KnownUpstream, rate_per_s: float, now_ms: int) -> None:
        """Records that a flow is opened to a cold upstream, with the arguments of `allows`."""
        self._waits[upstream.record.name] = _Wait(now_ms, 1.0)

    def _interval_ms(self, rate_per_s: float) -> float:
        return _MS_PER_S * self._instance_count / rate_per_s
