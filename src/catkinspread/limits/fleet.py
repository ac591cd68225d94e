"""The instances that share the rate cap of an upstream."""

INSTANCE_RETENTION_MS = 3_600_000
# Bound within which every instance has heard of a new one (the 5 s of guarantee G10).
MEMBERSHIP_CONVERGENCE_MS = 5_000


class KnownInstances:
    """Names of the instances heard of in the last hour, dead ones included.

    Counting dead instances keeps the sum of the shares at or below the cap when views differ:
    every live instance is in every view, so no view is smaller than the live fleet.
    """

    __slots__ = ("_heard_at_ms", "_names", "_started_at_ms", "instance")

    def __init__(self, instance: str, started_at_ms: int) -> None:
        self.instance = instance
        self._started_at_ms = started_at_ms
        self._heard_at_ms: dict[str, int] = {instance: started_at_ms}
        self._names: tuple[str, ...] | None = (instance,)

    def observe(self, instance: str, now_ms: int) -> None:
        """Notes that an instance was heard of, directly or from a peer."""
        if instance not in self._heard_at_ms:
            self._names = None
        self._heard_at_ms[instance] = max(now_ms, self._heard_at_ms.get(instance, 0))

    def remove_expired(self, now_ms: int) -> None:
        """Drops the instances that were not heard of for INSTANCE_MEMORY_MS."""
        oldest_ms = now_ms - INSTANCE_RETENTION_MS
        old = [
            name
            for name, heard_at_ms in self._heard_at_ms.items()
            if heard_at_ms < oldest_ms and name != self.instance
        ]
        for name in old:
            del self._heard_at_ms[name]
        if old:
            self._names = None

    def list_names(self) -> tuple[str, ...]:
        """Returns the known names in order, the own one included."""
        if self._names is None:
            self._names = tuple(sorted(self._heard_at_ms))
        return self._names

    def count(self) -> int:
        """Returns the number of known instances, at least 1."""
        return len(self._heard_at_ms)

    def is_known_to_peers(self, now_ms: int) -> bool:
        """Whether the other instances have had the time to hear of this one.

        Until then their shares leave no room for a share of this instance.
        """
        return now_ms - self._started_at_ms >= MEMBERSHIP_CONVERGENCE_MS
