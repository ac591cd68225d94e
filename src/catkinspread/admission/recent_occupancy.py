"""Occupancy of the upstreams of a service as the own answered requests show it.

It covers only upstreams that this instance chose, but is known within the time of one answer, while
summaries of other instances are up to 3 s old.
"""

import collections

# Updates whose answers are used: the last second.
_UPDATES = 4
# With fewer answers there is no estimate.
SAMPLES_MIN = 3


class RecentOccupancy:
    """Mean occupancy that requests found on their upstream."""

    __slots__ = ("_intervals", "_sample_count", "_total")

    def __init__(self) -> None:
        self._intervals: collections.deque[tuple[float, int]] = collections.deque(maxlen=_UPDATES)
        self._total = 0.0
        self._sample_count = 0

    def record(self, occupancy: float) -> None:
        """Adds the requests in flight per work slot that an answered request found."""
        self._total += occupancy
        self._sample_count += 1

    def end_interval(self) -> None:
        """Ends the interval between two updates."""
        self._intervals.append((self._total, self._sample_count))
        self._total = 0.0
        self._sample_count = 0

    def estimate(self) -> float | None:
        """Returns the mean over the most recent intervals; None with too few answers.

        It uses no more intervals than it needs for SAMPLES_MIN answers.
        """
        total = 0.0
        count = 0
        for interval_total, interval_count in reversed(self._intervals):
            total += interval_total
            count += interval_count
            if count >= SAMPLES_MIN:
                return total / count
        return None
