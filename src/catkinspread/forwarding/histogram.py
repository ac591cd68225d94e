"""A latency histogram with fixed bucket bounds."""

import bisect

BOUNDS_MS = (5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000)


class LatencyHistogram:
    """Counts latencies by bucket.

    Attributes:
        sum_ms: Sum of all latencies.
    """

    __slots__ = ("_counts", "sum_ms")

    def __init__(self) -> None:
        self._counts = [0] * (len(BOUNDS_MS) + 1)
        self.sum_ms = 0

    def add(self, latency_ms: int) -> None:
        """Adds one latency."""
        self._counts[bisect.bisect_left(BOUNDS_MS, latency_ms)] += 1
        self.sum_ms += latency_ms

    def list_cumulative(self) -> list[tuple[int | None, int]]:
        """Returns pairs of an upper bound in ms and the number of latencies up to it.

        The bound of the last pair is None, as its bucket has no upper bound.
        """
        total = 0
        buckets: list[tuple[int | None, int]] = []
        for bound, count in zip((*BOUNDS_MS, None), self._counts, strict=True):
            total += count
            buckets.append((bound, total))
        return buckets
