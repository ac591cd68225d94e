"""A histogram of times with fixed bounds."""

import bisect

BOUNDS_MS = (5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000)


class LatencyHistogram:
    """Counts times by bucket.

    Attributes:
        sum_ms: Sum of all times.
    """

    __slots__ = ("_counts", "sum_ms")

    def __init__(self) -> None:
        self._counts = [0] * (len(BOUNDS_MS) + 1)
        self.sum_ms = 0

    def add(self, duration_ms: int) -> None:
        """Counts a time."""
        self._counts[bisect.bisect_left(BOUNDS_MS, duration_ms)] += 1
        self.sum_ms += duration_ms

    def list_cumulative(self) -> list[tuple[int | None, int]]:
        """Returns how many times were at most each bound; None stands for no bound."""
        total = 0
        found: list[tuple[int | None, int]] = []
        for bound, count in zip((*BOUNDS_MS, None), self._counts, strict=True):
            total += count
            found.append((bound, total))
        return found
