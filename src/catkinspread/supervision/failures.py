"""Log and counters of the failures of a program's parts."""

import msgspec

from catkinspread.eventlog import EventLog
from catkinspread.supervision.errors import describe_error

# Interval between two lines of one event about the same part; all failures are counted.
LOG_INTERVAL_MS = 5_000


class PartState(msgspec.Struct):
    """What is known about one part that has failed at least once.

    Attributes:
        failures: Number of failures since the start of the process.
        failing_since_ms: When the current failure began; None while the part runs.
        logged_at_ms: When a failure was last logged.
        recovery_logged_at_ms: When a recovery was last logged.
    """

    failures: int = 0
    failing_since_ms: int | None = None
    logged_at_ms: int | None = None
    recovery_logged_at_ms: int | None = None


class FailureLog:
    """Counts and logs the failures of parts.

    Args:
        events: Receives `part_failed` and `part_recovered`.
    """

    __slots__ = ("_events", "_states")

    def __init__(self, events: EventLog) -> None:
        self._events = events
        self._states: dict[str, PartState] = {}

    @property
    def states(self) -> dict[str, PartState]:
        """State by name of each part that has failed at least once."""
        return self._states

    def is_failing(self, part: str) -> bool:
        """Whether a part has failed and does not run again yet."""
        state = self._states.get(part)
        return state is not None and state.failing_since_ms is not None

    def record_failure(
        self, part: str, error: Exception, now_ms: int, address: str = "", retry_in_ms: int = 0
    ) -> None:
        """Records that a part failed.

        Args:
            part: Name of the part.
            error: What it failed with.
            now_ms: Current time.
            address: Address that it serves; empty if none.
            retry_in_ms: Time until it runs again.
        """
        state = self._states.setdefault(part, PartState())
        state.failures += 1
        if state.failing_since_ms is None:
            state.failing_since_ms = now_ms
        if not _is_log_due(state.logged_at_ms, now_ms):
            return
        state.logged_at_ms = now_ms
        described = describe_error(error)
        self._events.write_always(
            "part_failed",
            now_ms,
            part=part,
            address=address,
            reason=described.reason,
            place=described.place,
            failures=state.failures,
            retry_in_ms=retry_in_ms,
        )

    def record_success(self, part: str, now_ms: int) -> None:
        """Records that a part runs; logged if it had failed."""
        state = self._states.get(part)
        if state is None or state.failing_since_ms is None:
            return
        failing_ms = now_ms - state.failing_since_ms
        state.failing_since_ms = None
        if _is_log_due(state.recovery_logged_at_ms, now_ms):
            state.recovery_logged_at_ms = now_ms
            self._events.write_always(
                "part_recovered",
                now_ms,
                part=part,
                failing_ms=failing_ms,
                failures=state.failures,
            )


def _is_log_due(logged_at_ms: int | None, now_ms: int) -> bool:
    return logged_at_ms is None or now_ms - logged_at_ms >= LOG_INTERVAL_MS
