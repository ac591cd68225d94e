"""Scheduling and peer selection for requests of missing entries and snapshots."""

# Exceeds a round trip between regions plus the transfer of a large entry.
PULL_TIMEOUT_MS = 1_000
# Number of most recently reported versions that are kept.
_MEMBER_VERSIONS_MAX = 8


class PullState:
    """Schedules requests to peers and the platform, at most one at a time.

    A repeated attempt may ask a peer and the platform together; both count as one request.

    Attributes:
        attempt_count: Number of requests sent since the last completed one.
        highest_version: Highest version that the log or any member reported.
        is_in_flight: Whether a request awaits its reply.
    """

    __slots__ = ("_timeout_at_ms", "_versions", "attempt_count", "highest_version", "is_in_flight")

    def __init__(self, now_ms: int) -> None:
        self.highest_version = 0
        self.is_in_flight = False
        self.attempt_count = 0
        self._timeout_at_ms = now_ms
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

    def choose_newer_member(self, version: int, previous_attempts: int) -> str | None:
        """Returns a member with a later version, starting from the latest report.

        Args:
            version: Version that the member must exceed.
            previous_attempts: Number of preceding attempts; each one selects the next member.
        """
        newer = [member for member, known in self._versions.items() if known > version]
        return newer[-1 - previous_attempts % len(newer)] if newer else None

    def can_send(self, now_ms: int) -> bool:
        """Whether no request is in flight, or the one in flight has timed out."""
        return not self.is_in_flight or now_ms >= self._timeout_at_ms

    def begin(self, now_ms: int) -> int:
        """Starts a request and returns the number of attempts before it."""
        previous_attempts = self.attempt_count
        self.attempt_count += 1
        self.restart_timeout(now_ms)
        self.is_in_flight = True
        return previous_attempts

    def restart_timeout(self, now_ms: int) -> None:
        """Restarts the timeout of the request in flight."""
        self._timeout_at_ms = now_ms + PULL_TIMEOUT_MS

    def finish(self, now_ms: int) -> None:
        """Completes the request in flight."""
        self.is_in_flight = False
        self.attempt_count = 0
        self._timeout_at_ms = now_ms
