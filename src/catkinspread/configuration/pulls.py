"""Scheduling and peer selection for requests of missing entries and snapshots."""

# Exceeds a round trip between regions plus the transfer of a large entry.
PULL_TIMEOUT_MS = 1_000
_MEMBER_VERSIONS_MAX = 8


class PullState:
    """State of the only request in flight, and the versions that members reported.

    Attributes:
        attempt_count: Number of requests sent since the last completed one.
        highest_version: Highest version that the log or any member reported.
        is_in_flight: Whether a request awaits its reply.
    """

    __slots__ = ("_due_ms", "_versions", "attempt_count", "highest_version", "is_in_flight")

    def __init__(self, now_ms: int) -> None:
        self.highest_version = 0
        self.is_in_flight = False
        self.attempt_count = 0
        self._due_ms = now_ms
        self._versions: dict[str, int] = {}

    @property
    def has_member_versions(self) -> bool:
        """Whether any member has reported its version."""
        return bool(self._versions)

    def record_version(self, member: str, version: int) -> None:
        """Records the version of a member, or of the platform's log if the name is empty."""
        self.highest_version = max(self.highest_version, version)
        if not member:
            return
        self._versions.pop(member, None)
        self._versions[member] = version
        while len(self._versions) > _MEMBER_VERSIONS_MAX:
            self._versions.pop(next(iter(self._versions)))

    def choose_newer_member(self, version: int, attempt: int) -> str | None:
        """Returns a member with a later version, starting from the latest report.

        Args:
            version: Version that the member must exceed.
            attempt: Number of preceding attempts; each attempt selects the next member.
        """
        newer = [member for member, known in self._versions.items() if known > version]
        return newer[-1 - attempt % len(newer)] if newer else None

    def is_due(self, now_ms: int) -> bool:
        """Whether no request is in flight, or the one in flight has timed out."""
        return not self.is_in_flight or now_ms >= self._due_ms

    def begin(self, now_ms: int) -> int:
        """Starts a request and returns the number of unanswered requests before it."""
        attempt = self.attempt_count
        self.attempt_count += 1
        self.restart_timeout(now_ms)
        self.is_in_flight = True
        return attempt

    def restart_timeout(self, now_ms: int) -> None:
        """Restarts the timeout of the request in flight."""
        self._due_ms = now_ms + PULL_TIMEOUT_MS

    def finish(self, now_ms: int) -> None:
        """Completes the request in flight."""
        self.is_in_flight = False
        self.attempt_count = 0
        self._due_ms = now_ms
