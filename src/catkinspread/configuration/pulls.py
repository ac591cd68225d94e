"""When and from whom a replica asks for what it lacks."""

# Longer than a round trip between regions plus the transfer of a large entry.
PULL_TIMEOUT_MS = 1_000
_INFORMANTS_MAX = 8


class PullState:
    """Keeps one request under way at a time and remembers who has newer versions.

    Attributes:
        attempt: How many requests were sent since the last one that had an answer.
        highest: Highest version that any member reported.
        is_under_way: Whether a request waits for its answer.
    """

    __slots__ = ("_due_ms", "_informants", "attempt", "highest", "is_under_way")

    def __init__(self, now_ms: int) -> None:
        self.highest = 0
        self.is_under_way = False
        self.attempt = 0
        self._due_ms = now_ms
        self._informants: dict[str, int] = {}

    @property
    def has_informants(self) -> bool:
        """Whether any member has reported a version."""
        return bool(self._informants)

    def note_informant(self, member: str, version: int) -> None:
        """Notes the version of a member; the platform's log has no name."""
        self.highest = max(self.highest, version)
        if not member:
            return
        self._informants.pop(member, None)
        self._informants[member] = version
        while len(self._informants) > _INFORMANTS_MAX:
            self._informants.pop(next(iter(self._informants)))

    def choose_informant(self, above: int, attempt: int) -> str | None:
        """Returns a member with a version above another, a different one for each attempt."""
        found = [member for member, version in self._informants.items() if version > above]
        return found[-1 - attempt % len(found)] if found else None

    def is_due(self, now_ms: int) -> bool:
        """Whether no request is under way or the last one had no answer in time."""
        return not self.is_under_way or now_ms >= self._due_ms

    def begin(self, now_ms: int) -> int:
        """Starts a request and returns how many before it had no answer."""
        attempt = self.attempt
        self.attempt += 1
        self.extend(now_ms)
        self.is_under_way = True
        return attempt

    def extend(self, now_ms: int) -> None:
        """Gives the request under way its whole time again."""
        self._due_ms = now_ms + PULL_TIMEOUT_MS

    def finish(self, now_ms: int) -> None:
        """Ends the request under way."""
        self.is_under_way = False
        self.attempt = 0
        self._due_ms = now_ms
