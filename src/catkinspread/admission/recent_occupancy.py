"""Occupancy of the upstreams of a service as the own answered requests show it.

It covers only the upstreams that this instance chose. It is known within the time of one answer,
while summaries of other instances are up to 3 s old.
"""

import collections

# Intervals between updates whose answers are used, each 250 ms.
_INTERVALS_MAX = 4
# With fewer answers there is no estimate.
SAMPLES_MIN = 3


class RecentOccupancy:
    """Mean occupancy of the upstreams when the answered requests were forwarded to them."""

    __slots__ = ("_intervals", "_sample_count", "_total")

    def __init__(self) -> None:
        self._intervals: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=_INTERVALS_MAX
        )
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
