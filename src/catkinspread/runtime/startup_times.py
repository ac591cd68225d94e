"""Times of the steps of a startup, for the log."""

from catkinspread.eventlog import EventLog


class StartupTimes:
    """Logs when the state was complete and when the first packet was handled.

    Args:
        opened_at_ms: When the packet socket was opened, on the clock of `now_ms`.
    """

    __slots__ = ("_has_packet", "_has_state", "opened_at_ms")

    def __init__(self, opened_at_ms: int) -> None:
        self.opened_at_ms = opened_at_ms
        self._has_state = False
        self._has_packet = False

    def record_state(self, events: EventLog, now_ms: int) -> None:
        """Logs the time until the state of the deployment was complete."""
        if not self._has_state:
            self._has_state = True
            events.write_always("state_complete", now_ms, after_ms=now_ms - self.opened_at_ms)

    def record_packet(self, events: EventLog, now_ms: int) -> None:
        """Logs the time until the first packet of a caller was handled."""
        if not self._has_packet:
            self._has_packet = True
            events.write_always("first_packet", now_ms, after_ms=now_ms - self.opened_at_ms)
