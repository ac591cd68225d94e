"""Detection of an instance that is isolated and cannot serve its callers.

An instance is isolated while its data centre lacks upstreams for most of the traffic and no
instance of another data centre answers. It then reports that it is not ready and leaves the rotation.
This assumes that the routers still reach other data centres and send the traffic there once the
readiness check fails.
"""

from catkinspread.eventlog import EventLog
from catkinspread.forwarding import LocalAvailability
from catkinspread.peers import PeerDirectory


class IsolationCheck:
    """Checks whether the instance is isolated.

    Args:
        local_availability: Tells whether the local data centre lacks upstreams.
        directory: Tells whether other data centres answer.
        events: Log of changes.

    Attributes:
        is_isolated: Whether the instance was isolated at the last update.
    """

    __slots__ = ("_directory", "_events", "_local_availability", "is_isolated")

    def __init__(
        self, local_availability: LocalAvailability, directory: PeerDirectory, events: EventLog
    ) -> None:
        self._local_availability = local_availability
        self._directory = directory
        self._events = events
        self.is_isolated = False

    def update(self, now_ms: int) -> None:
        """Updates the state; polls other data centres only while the local one lacks upstreams.

        `LocalAvailability.update` is called separately, because it needs a longer interval.
        """
        lacks_upstreams = self._local_availability.lacks_upstreams
        self._directory.set_remote_polling(lacks_upstreams, now_ms)
        is_isolated = lacks_upstreams and self._directory.is_partitioned(now_ms)
        if is_isolated != self.is_isolated:
            self.is_isolated = is_isolated
            self._events.write_always("isolated" if is_isolated else "isolation_ended", now_ms)
