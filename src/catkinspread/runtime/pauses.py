"""Detection of pauses of the process."""

from collections.abc import Callable

# A run of the periodic tasks that is late by this time shows that the process was paused.
PAUSE_MIN_MS = 500


class PauseDetector:
    """Notices that the process was paused, from the time at which it should have run next.

    Packets that waited in the socket may be handled before the periodic tasks run, so both check.

    Args:
        now_ms: Current time.
        on_pause: Called once after each pause with its length in ms and the time.

    Attributes:
        due_ms: When the process should run next.
    """

    __slots__ = ("_on_pause", "due_ms")

    def __init__(self, now_ms: int, on_pause: Callable[[int, int], None]) -> None:
        self._on_pause = on_pause
        self.due_ms = now_ms

    def check(self, now_ms: int) -> None:
        """Reports a pause that has just ended."""
        pause_ms = now_ms - self.due_ms
        if pause_ms < PAUSE_MIN_MS:
            return
        self.due_ms = now_ms
        self._on_pause(pause_ms, now_ms)
