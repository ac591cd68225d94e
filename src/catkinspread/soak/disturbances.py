"""Tracks which parts of a run are disturbed, and since when the others are not."""

import collections

STORE = "store"


class DisturbanceTracker:
    """Counts the disturbances of each part and records when the last one ended.

    Args:
        stable_ms: Time without a disturbance after which bounds apply.
    """

    __slots__ = ("_ended_at_ms", "_ongoing", "_stable_ms")

    def __init__(self, stable_ms: int) -> None:
        self._stable_ms = stable_ms
        self._ongoing: collections.Counter[str] = collections.Counter()
        self._ended_at_ms: dict[str, int] = {}

    def begin(self, part: str) -> None:
        """Records that a disturbance of a part begins."""
        self._ongoing[part] += 1

    def end(self, part: str, now_ms: int) -> None:
        """Records that a disturbance of a part has ended."""
        self._ongoing[part] -= 1
        self._ended_at_ms[part] = now_ms

    def find_stable_since_ms(self, *parts: str) -> int | None:
        """Returns since when bounds apply to all the parts; None if one is disturbed."""
        if any(self._ongoing[part] for part in parts):
            return None
        return max(self._ended_at_ms.get(part, 0) + self._stable_ms for part in parts)

    def is_stable(self, now_ms: int, *parts: str) -> bool:
        """Whether bounds apply to all the parts."""
        since_ms = self.find_stable_since_ms(*parts)
        return since_ms is not None and now_ms >= since_ms
