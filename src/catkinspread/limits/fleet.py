"""Tracks the instances that share the rate cap of an upstream."""

# How long an instance that is no longer seen still counts in the division of the cap.
INSTANCE_RETENTION_MS = 3_600_000
# Time within which all instances learn about a new one; the bound of guarantee G10 in
# docs/design.md, section 2.
MEMBERSHIP_CONVERGENCE_MS = 5_000


class KnownInstances:
    """Names of the instances seen within INSTANCE_RETENTION_MS, including failed ones.

    Counting failed instances keeps the sum of all shares at or below the cap when the instances
    know different sets: each set contains all live instances, so none is smaller than the number
    of live instances.

    Attributes:
        instance: Name of this instance.
    """

    __slots__ = ("_last_seen_ms", "_names", "_started_at_ms", "instance")

    def __init__(self, instance: str, started_at_ms: int) -> None:
        self.instance = instance
        self._started_at_ms = started_at_ms
        self._last_seen_ms: dict[str, int] = {instance: started_at_ms}
        self._names: tuple[str, ...] | None = (instance,)

    def observe(self, instance: str, seen_at_ms: int) -> None:
        """Records that an instance was seen, directly or through a peer.

        Args:
            instance: Name of the instance.
            seen_at_ms: When it was seen, in ms since the epoch, by the clock of this instance.
        """
        if instance not in self._last_seen_ms:
            self._names = None
        self._last_seen_ms[instance] = max(seen_at_ms, self._last_seen_ms.get(instance, 0))

    def remove_expired(self, now_ms: int) -> None:
        """Removes the instances that were not seen within INSTANCE_RETENTION_MS."""
        oldest_ms = now_ms - INSTANCE_RETENTION_MS
        expired = [
            name
            for name, last_seen_ms in self._last_seen_ms.items()
            if last_seen_ms < oldest_ms and name != self.instance
        ]
        for name in expired:
            del self._last_seen_ms[name]
        if expired:
            self._names = None

    def list_names(self) -> tuple[str, ...]:
        """Returns the sorted names of all known instances, including this one."""
        if self._names is None:
            self._names = tuple(sorted(self._last_seen_ms))
        return self._names

    def count(self) -> int:
        """Returns the number of known instances, at least 1."""
        return len(self._last_seen_ms)

    def is_known_to_peers(self, now_ms: int) -> bool:
        """Whether the other instances have had enough time to learn about this one.

        Until then they divide the cap among themselves, and a share for this instance would
        exceed it.
        """
        return now_ms - self._started_at_ms >= MEMBERSHIP_CONVERGENCE_MS
