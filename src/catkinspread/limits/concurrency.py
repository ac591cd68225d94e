"""Limit on the concurrent requests of one upstream."""

import msgspec

_MS_PER_S = 1_000


class ConcurrencySettings(msgspec.Struct, frozen=True):
    """Bounds and steps of the limit.

    The steps are the best of those tried under twice the load with wrong rates; see
    docs/decisions/0003-limits-and-balance.md.

    Attributes:
        initial: Limit at the start.
        minimum: Never below this, so that an upstream that recovers is always tried again.
        maximum: Never above this.
        increase: Gain of the limit for each `limit` good answers while it is in use.
        decrease_factor: Factor on a shed answer.
        pause_min_ms: First pause after a shed answer at the lowest limit.
        pause_max_ms: Longest pause; it bounds how long an upstream is not tried.
        growth_per_s2: Starts per second gained in each second while the pause shrinks. A gain
            in proportion to the rate would let an instance that is ahead stay ahead.
    """

    initial: float = 4.0
    minimum: int = 1
    maximum: int = 64
    increase: float = 0.1
    decrease_factor: float = 0.5
    pause_min_ms: float = 16.0
    pause_max_ms: float = 1_000.0
    growth_per_s2: float = 10.0


class ConcurrencyLimiter:
    """Adapts the limit by additive increase and multiplicative decrease.

    The limit grows by 1 for each `limit` good answers while it is in use, and shrinks once for
    all shed answers to requests that were started before the last decrease.

    Nine instances with a limit of 1 still exceed the 2 work slots of an upstream. At the lowest
    limit, shed answers therefore lengthen a pause between the end of a request and the next
    start, and good answers shorten it.

    Reference: Chiu and Jain, "Analysis of the increase and decrease algorithms for congestion
    avoidance in computer networks", 1989.

    Attributes:
        in_flight: Requests started and not ended.
    """

    __slots__ = (
        "_decreased_at_ms",
        "_limit",
        "_pause_ms",
        "_paused_until_ms",
        "_settings",
        "in_flight",
    )

    def __init__(self, settings: ConcurrencySettings | None = None) -> None:
        self._settings = settings or ConcurrencySettings()
        self._limit = float(self._settings.initial)
        self._decreased_at_ms = -1
        self._pause_ms = 0.0
        self._paused_until_ms = -1
        self.in_flight = 0

    @property
    def limit(self) -> int:
        """The number of requests that may run at once."""
        return int(self._limit)

    @property
    def pause_ms(self) -> int:
        """The pause before the next start in ms; 0 unless the limit is at its minimum."""
        return int(self._pause_ms)

    def has_capacity(self, now_ms: int) -> bool:
        """Whether one more request may start."""
        return self.in_flight < self.limit and now_ms >= self._paused_until_ms

    def compute_ready_at_ms(self, now_ms: int) -> int | None:
        """Returns when the pause ends, or None if an answer must come first."""
        return max(now_ms, self._paused_until_ms) if self.in_flight < self.limit else None

    def record_start(self) -> None:
        """Counts a started request."""
        self.in_flight += 1

    def record_success(self, now_ms: int) -> None:
        """Counts a request that was answered."""
        settings = self._settings
        pause_s = self._pause_ms / _MS_PER_S
        self._pause_ms /= 1 + settings.growth_per_s2 * pause_s**2
        if self._pause_ms < settings.pause_min_ms:
            self._pause_ms = 0.0
            if self.in_flight >= self.limit:
                self._limit = min(
                    float(settings.maximum), self._limit + settings.increase / self._limit
                )
        self.in_flight -= 1
        self._paused_until_ms = now_ms + self.pause_ms

    def record_shed(self, started_at_ms: int, now_ms: int) -> None:
        """Counts a request that the upstream shed."""
        settings = self._settings
        self.in_flight -= 1
        if started_at_ms > self._decreased_at_ms:
            if self._limit <= settings.minimum:
                longer_ms = max(settings.pause_min_ms, self._pause_ms / settings.decrease_factor)
                self._pause_ms = min(settings.pause_max_ms, longer_ms)
            self._limit = max(float(settings.minimum), self._limit * settings.decrease_factor)
            self._decreased_at_ms = now_ms
        self._paused_until_ms = now_ms + self.pause_ms

    def record_no_response(self) -> None:
        """Counts a request that ended without a verdict of the upstream."""
        self.in_flight -= 1
