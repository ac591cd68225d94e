"""Logs and counts the objects of the store that are not used."""

import collections

from absl import logging

from catkinspread.clock import Clock
from catkinspread.eventlog import EventLog
from catkinspread.platform.answers import RefusedObject

# Refusals that are remembered so that each is logged once; the oldest is forgotten first.
REMEMBERED_MAX = 1_024


class RefusalLog:
    """Logs each refused object once for each of its revisions.

    Args:
        events: Log of the instance; None to write warnings instead.
        clock: Source of the time; required with `events`.

    Attributes:
        count: Number of different refusals so far.
    """

    __slots__ = ("_clock", "_events", "_remembered", "count")

    def __init__(self, events: EventLog | None = None, clock: Clock | None = None) -> None:
        self._events = events
        self._clock = clock
        self._remembered: collections.OrderedDict[RefusedObject, None] = collections.OrderedDict()
        self.count = 0

    def record(self, refused: RefusedObject) -> None:
        """Logs and counts a refusal unless it is remembered."""
        if refused in self._remembered:
            self._remembered.move_to_end(refused)
            return
        self._remembered[refused] = None
        if len(self._remembered) > REMEMBERED_MAX:
            self._remembered.popitem(last=False)
        self.count += 1
        if self._events is None or self._clock is None:
            logging.warning("platform: %s is not used", refused)
            return
        self._events.write(
            "object_refused",
            self._clock.now_ms(),
            kind=refused.kind.value,
            name=refused.name,
            revision=refused.revision,
            reason=refused.reason,
        )
