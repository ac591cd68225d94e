"""Recognises a sudden rise of the demand before the summaries of other instances show it.

Summaries count openings over the last second and are up to 3 s old. The own openings are known at
once, and callers spread evenly over the instances, so a sudden rise here is one everywhere.
"""

import collections

UPDATE_INTERVAL_MS = 250
# Updates whose openings count as recent.
_RECENT_UPDATES = 2
# Updates that are kept; covers the window of a summary and its lifetime.
_UPDATES_MAX = 16
# Time over which the demand in a summary is counted.
_SUMMARY_WINDOW_MS = 1_000
# A rise counts if it exceeds the usual variation of a Poisson process by this factor. About 2% of
# the updates without a rise do.
SIGNIFICANCE = 2.0


class DemandTrend:
    """Compares the recent openings of a service on this instance with those before."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: collections.deque[int] = collections.deque(maxlen=_UPDATES_MAX)

    def record(self, opening_count: int) -> None:
        """Adds the number of openings since the last update."""
        self._counts.append(opening_count)

    def estimate_growth(self, age_ms: int) -> float:
        """Returns the factor by which demand exceeds that of summaries of an age; at least 1."""
        counts = list(self._counts)
        covered = (_SUMMARY_WINDOW_MS + age_ms) // UPDATE_INTERVAL_MS
        # After a start, the openings before are unknown.
        if len(counts) < _SUMMARY_WINDOW_MS // UPDATE_INTERVAL_MS:
            return 1.0
        covered_counts = counts[-covered:]
        recent = sum(counts[-_RECENT_UPDATES:])
        usual = _RECENT_UPDATES * sum(covered_counts) / len(covered_counts)
        if recent < usual + SIGNIFICANCE * (usual**0.5 + 1):
            return 1.0
        return recent / usual
