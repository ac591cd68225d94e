"""Whether an instance can serve its callers at all.

It cannot while its data centre has no upstream for most of what callers ask for and no instance of
another data centre answers. The routers can reach other data centres then, so it leaves the rotation.
"""

from catkinspread.eventlog import EventLog
from catkinspread.forwarding import LocalService
from catkinspread.peers import PeerDirectory


class IsolationCheck:
    """Decides at intervals whether the instance is isolated.

    Args:
        local_service: Whether the own data centre lacks upstreams.
        directory: Whether other data centres answer.
        events: Takes a line for each change.

    Attributes:
        is_isolated: As of the last update.
    """

    __slots__ = ("_directory", "_events", "_local_service", "is_isolated")

    def __init__(
        self, local_service: LocalService, directory: PeerDirectory, events: EventLog
    ) -> None:
        self._local_service = local_service
        self._directory = directory
        self._events = events
        self.is_isolated = False

    def update(self, now_ms: int) -> None:
        """Decides anew; other data centres are watched only while the own one lacks upstreams."""
        self._local_service.update(now_ms)
        is_lacking = self._local_service.is_lacking
        self._directory.is_polling_remote = is_lacking
        is_isolated = is_lacking and self._directory.is_partitioned(now_ms)
        if is_isolated != self.is_isolated:
            self.is_isolated = is_isolated
            self._events.write_always("isolated" if is_isolated else "isolation_ended", now_ms)
