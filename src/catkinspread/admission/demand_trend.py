"""Recognises a sudden rise or fall of the demand before the summaries of others show it.

Summaries count openings over the last second and are up to 3 s old. The own openings are known at
once, and callers spread evenly over the instances, so a sudden change here is one everywhere.
"""

import collections

UPDATE_INTERVAL_MS = 250
# Numbers of updates whose openings count as recent: one shows a large rise at once, two show a
# small one.
_RECENT_UPDATES = (1, 2)
# Number of updates that show a fall.
_FALL_UPDATES = 2
# Updates that are kept; covers the window of a summary and its lifetime.
_UPDATES_MAX = 16
# Time over which the demand in a summary is counted.
_SUMMARY_WINDOW_MS = 1_000


class DemandTrend:
    """Compares the recent openings of a service on this instance with those before."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: collections.deque[int] = collections.deque(maxlen=_UPDATES_MAX)

    def record(self, opening_count: int) -> None:
        """Adds the number of openings since the last update."""
        self._counts.append(opening_count)

    def estimate_growth(self, age_ms: int, significance: float) -> float:
        """Returns the factor by which demand exceeds the one that summaries show; at least 1.

        Args:
            age_ms: Age of the oldest of these summaries.
            significance: Standard deviations of a Poisson process by which the recent openings must
                exceed their usual number; a smaller rise counts as none.
        """
        counts, mean = self._list_covered_counts(age_ms)
        return max(
            _compute_growth(counts[-length:], mean, significance) for length in _RECENT_UPDATES
        )

    def estimate_fall(self, age_ms: int, significance: float) -> float:
        """Returns the factor by which demand is lower than the one in summaries; at most 1.

        Two updates must show the fall, as callers may pause for one.

        Args:
            age_ms: Age of the oldest of these summaries.
            significance: Standard deviations of a Poisson process by which the recent openings must
                fall short of their usual number.
        """
        counts, mean = self._list_covered_counts(age_ms)
        recent = sum(counts[-_FALL_UPDATES:])
        usual = _FALL_UPDATES * mean
        if recent > usual - significance * (usual**0.5 + 1):
            return 1.0
        return max(recent, 1) / usual

    def _list_covered_counts(self, age_ms: int) -> tuple[list[int], float]:
        """Returns the counts that summaries of an age cover, and their mean.

        After a start, there are too few openings to compare with.
        """
        counts = list(self._counts)
        if len(counts) < _SUMMARY_WINDOW_MS // UPDATE_INTERVAL_MS:
            return [], 0.0
        covered = counts[-((_SUMMARY_WINDOW_MS + age_ms) // UPDATE_INTERVAL_MS) :]
        return covered, sum(covered) / len(covered)


def _compute_growth(recent_counts: list[int], mean: float, significance: float) -> float:
    recent = sum(recent_counts)
    usual = len(recent_counts) * mean
    if recent < usual + significance * (usual**0.5 + 1):
        return 1.0
    return recent / usual
