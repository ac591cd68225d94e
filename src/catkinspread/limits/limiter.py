"""Limit on the concurrent requests of one upstream."""

import msgspec


class LimiterSettings(msgspec.Struct, frozen=True):
    """Bounds and steps of the limit.

    Attributes:
        initial: Limit at the start.
        minimum: Never below this, so that an upstream that recovers is always tried again.
        maximum: Never above this.
        decrease_factor: Factor on a shed answer.
    """

    initial: float = 4.0
    minimum: int = 1
    maximum: int = 64
    decrease_factor: float = 0.5


class UpstreamLimiter:
    """Adapts the limit by additive increase and multiplicative decrease.

    The limit grows by 1 for each `limit` good answers while it is in use, and shrinks once for
    all shed answers to requests that were started before the last decrease.

    Reference: Chiu and Jain, "Analysis of the increase and decrease algorithms for congestion
    avoidance in computer networks", 1989.

    Attributes:
        in_flight: Requests started and not ended.
    """

    __slots__ = ("_decreased_at_ms", "_limit", "_settings", "in_flight")

    def __init__(self, settings: LimiterSettings | None = None) -> None:
        self._settings = settings or LimiterSettings()
        self._limit = float(self._settings.initial)
        self._decreased_at_ms = -1
        self.in_flight = 0

    @property
    def limit(self) -> int:
        """The number of requests that may run at once."""
        return int(self._limit)

    def has_room(self) -> bool:
        """Whether one more request may start."""
        return self.in_flight < self.limit

    def begin(self) -> None:
        """Counts a started request."""
        self.in_flight += 1

    def end_good(self) -> None:
        """Counts a request that was answered."""
        if self.in_flight >= self.limit:
            grown = self._limit + 1 / self._limit
            self._limit = min(float(self._settings.maximum), grown)
        self.in_flight -= 1

    def end_shed(self, started_at_ms: int, now_ms: int) -> None:
        """Counts a request that the upstream shed."""
        self.in_flight -= 1
        if started_at_ms <= self._decreased_at_ms:
            return
        shrunk = self._limit * self._settings.decrease_factor
        self._limit = max(float(self._settings.minimum), shrunk)
        self._decreased_at_ms = now_ms

    def end_unknown(self) -> None:
        """Counts a request that ended without a verdict of the upstream."""
        self.in_flight -= 1
