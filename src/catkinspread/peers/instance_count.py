"""Estimate of the number of instances, by which the rates of upstreams in cold start are divided.

An estimate that is too low lets the instances together exceed a rate, one that is too high only
leaves a part of it unused. The estimate is therefore the highest number that something speaks for:
the members that are known now and those that were lost without notice, or what another instance
says about these. An instance that knows of no other one assumes UNKNOWN_INSTANCE_COUNT, until it is
confirmed that it is the only one.
"""

# Assumed number of instances while nothing is known about it: the size that docs/CAPACITY.md plans
# for.
UNKNOWN_INSTANCE_COUNT = 640
# Time for which an instance counts after it was lost without notice. It may serve on beyond a
# partition, and partitions of regions last minutes.
LOST_TIMEOUT_MS = 3_600_000
# Maximum number of lost instances that are remembered; the oldest ones are dropped.
LOST_MAX = 4_096
# Time for which a number told by another instance counts; feeders are polled several times meanwhile.
TOLD_TIMEOUT_MS = 5_000
# Time for which a confirmation that there is no other instance holds: two checks of a lone instance
# and the time-outs of its calls; see `discovery.CHECK_INTERVAL_MAX_MS`.
ALONE_TIMEOUT_MS = 40_000


class InstanceCountEstimate:
    """Keeps what is known about the number of instances beyond the current members."""

    __slots__ = ("_alone_at_ms", "_lost_at_ms", "_told_at_ms", "_told_count")

    def __init__(self) -> None:
        self._lost_at_ms: dict[str, int] = {}
        self._told_count = 0
        self._told_at_ms = 0
        self._alone_at_ms: int | None = None

    def record_lost(self, name: str, now_ms: int) -> None:
        """Records that an instance timed out that had not said that it would leave."""
        self._lost_at_ms.pop(name, None)
        self._lost_at_ms[name] = now_ms
        if len(self._lost_at_ms) > LOST_MAX:
            del self._lost_at_ms[next(iter(self._lost_at_ms))]

    def record_found(self, name: str) -> None:
        """Records that an instance is a member."""
        self._lost_at_ms.pop(name, None)

    def record_told(self, count: int, now_ms: int) -> None:
        """Records the number that another instance told; the highest of the last seconds is kept."""
        if count >= self._told_count or now_ms - self._told_at_ms >= TOLD_TIMEOUT_MS:
            self._told_count = count
            self._told_at_ms = now_ms

    def confirm_alone(self, now_ms: int) -> None:
        """Records that a check found no trace of another instance."""
        self._alone_at_ms = now_ms

    def expire(self, now_ms: int) -> None:
        """Forgets instances that were lost LOST_TIMEOUT_MS ago."""
        for name, lost_at_ms in list(self._lost_at_ms.items()):
            if now_ms - lost_at_ms < LOST_TIMEOUT_MS:
                return
            del self._lost_at_ms[name]

    def count_known(self, member_count: int) -> int:
        """Returns the number of members and lost instances, which other instances are told.

        Args:
            member_count: Number of members, including this instance.
        """
        return member_count + len(self._lost_at_ms)

    def estimate(self, member_count: int, now_ms: int) -> int:
        """Returns the number of instances to divide a rate by.

        Args:
            member_count: Number of members, including this instance.
            now_ms: Current time.
        """
        count = self.count_known(member_count)
        if now_ms - self._told_at_ms < TOLD_TIMEOUT_MS:
            count = max(count, self._told_count)
        if count == 1 and not self._is_confirmed_alone(now_ms):
            return UNKNOWN_INSTANCE_COUNT
        return count

    def _is_confirmed_alone(self, now_ms: int) -> bool:
        return self._alone_at_ms is not None and now_ms - self._alone_at_ms < ALONE_TIMEOUT_MS
