"""Adaptive limit on the concurrent requests to one upstream."""

import msgspec

_MS_PER_S = 1_000


class ConcurrencySettings(msgspec.Struct, frozen=True):
    """Bounds and step sizes of the concurrency limit.

    The default step sizes suit an upstream that is offered twice its capacity while its
    configured rates are too high; see docs/decisions/0003-limits-and-balance.md.

    Attributes:
        limit_initial: Initial limit.
        limit_min: Lower bound of the limit; it keeps requests going to an upstream, so that its
            recovery is detected.
        limit_max: Upper bound of the limit.
        limit_increase: Increase of the limit per `limit` successful responses while the limit is
            reached.
        decrease_factor: Factor that the limit is multiplied by after a shed response; at the
            minimum limit, the pause is divided by it.
        pause_min_ms: First pause after a shed response at the minimum limit. A pause that has
            shrunk below this value is set to 0.
        pause_max_ms: Upper bound of the pause, and so of the time without a request to an
            upstream.
        start_rate_increase_per_s2: Increase of the start rate, in starts per second per second,
            while the pause shrinks. It is constant, because an increase proportional to the rate
            would preserve the advantage of an instance with a higher rate.
    """

    limit_initial: float = 4.0
    limit_min: int = 1
    limit_max: int = 64
    limit_increase: float = 0.1
    decrease_factor: float = 0.5
    pause_min_ms: float = 16.0
    pause_max_ms: float = 1_000.0
    start_rate_increase_per_s2: float = 10.0


class ConcurrencyLimiter:
    """Adapts the limit by additive increase and multiplicative decrease (AIMD).

    The limit grows by `limit_increase` for every `limit` successful responses while it is
    reached. It decreases once for all shed responses to requests that were started before the
    last decrease.

    If there are more instances than work slots, e.g. 9 instances and 2 work slots, a limit of 1
    per instance still overloads the upstream. At the minimum limit, shed responses therefore
    lengthen a pause between the end of a request and the start of the next one, and successful
    responses shorten it.

    Reference: Chiu and Jain, "Analysis of the increase and decrease algorithms for congestion
    avoidance in computer networks", 1989.

    Attributes:
        in_flight: Number of requests that have started and not yet ended.
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
        self._limit = float(self._settings.limit_initial)
        self._decreased_at_ms = -1
        self._pause_ms = 0.0
        self._paused_until_ms = -1
        self.in_flight = 0

    @property
    def limit(self) -> int:
        """Maximum number of concurrent requests."""
        return int(self._limit)

    @property
    def pause_ms(self) -> int:
        """The pause before the next start in ms; 0 unless the limit is at its minimum."""
        return int(self._pause_ms)

    def has_capacity(self, now_ms: int) -> bool:
        """Whether another request may start now."""
        return self.in_flight < self.limit and now_ms >= self._paused_until_ms

    def compute_ready_at_ms(self, now_ms: int) -> int | None:
        """Returns the earliest time at which a request may start.

        Returns:
            The time in ms since the epoch, which is `now_ms` if there is no pause, or None if a
            request must end first.
        """
        return max(now_ms, self._paused_until_ms) if self.in_flight < self.limit else None

    def record_start(self) -> None:
        """Records that a request was started."""
        self.in_flight += 1

    def record_success(self, now_ms: int) -> None:
        """Records a successful response."""
        settings = self._settings
        pause_s = self._pause_ms / _MS_PER_S
        # Raises the start rate, 1 / pause_s, by start_rate_increase_per_s2 * pause_s.
        self._pause_ms /= 1 + settings.start_rate_increase_per_s2 * pause_s**2
        if self._pause_ms < settings.pause_min_ms:
            self._pause_ms = 0.0
            if self.in_flight >= self.limit:
                self._limit = min(
                    float(settings.limit_max), self._limit + settings.limit_increase / self._limit
                )
        self.in_flight -= 1
        self._paused_until_ms = now_ms + self.pause_ms

    def record_shed(self, started_at_ms: int, now_ms: int) -> None:
        """Records that the upstream shed a request."""
        settings = self._settings
        self.in_flight -= 1
        if started_at_ms > self._decreased_at_ms:
            if self._limit <= settings.limit_min:
                longer_ms = max(settings.pause_min_ms, self._pause_ms / settings.decrease_factor)
                self._pause_ms = min(settings.pause_max_ms, longer_ms)
            self._limit = max(float(settings.limit_min), self._limit * settings.decrease_factor)
            self._decreased_at_ms = now_ms
        self._paused_until_ms = now_ms + self.pause_ms

    def record_no_response(self) -> None:
        """Records that a request ended without a usable response from the upstream."""
        self.in_flight -= 1
