"""Rate cap of an upstream as a function of the time since its last cold start."""

import enum

import msgspec

from catkinspread.limits.messages import ColdStartNotice
from catkinspread.model import Upstream

# Maximum difference between the clocks of two instances; `clock_skew_max_ms` in docs/design.md,
# section 6.
CLOCK_SKEW_MAX_MS = 500
# Window in which request starts are limited.
RATE_WINDOW_MS = 1_000
# Period in which one instance may use the shared tokens.
TOKEN_INTERVAL_MS = 100
# Limiting the rate to the cap of CAP_LAG_MS ago keeps the starts in every window of
# RATE_WINDOW_MS at or below the cap at the start of that window, even if the local clock is
# CLOCK_SKEW_MAX_MS ahead.
CAP_LAG_MS = RATE_WINDOW_MS + CLOCK_SKEW_MAX_MS + TOKEN_INTERVAL_MS
# Instances that detect the same cold start do so within this time of each other.
DUPLICATE_REPORT_WINDOW_MS = 5_000


class NoticeResult(enum.Enum):
    """Effect of a received notice on the ramp.

    RESTARTED: the ramp now starts at a later time than before.
    UNCHANGED: the start of the ramp was not moved to a later time.
    STALE: the sequence is lower than the current one; the sender should get the current notice.
    SUPERSEDED: the notice was superseded, because this instance knows a later cold start; its own
        notice got a higher sequence and must be distributed.
    INVALID: the notice names another upstream or a time in the future.
    """

    RESTARTED = "restarted"
    UNCHANGED = "known"
    STALE = "stale"
    SUPERSEDED = "raised"
    INVALID = "invalid"


class RampRates(msgspec.Struct, frozen=True):
    """Configured request rates of an upstream.

    Attributes:
        cold_rate_per_s: Request starts per second immediately after a cold start.
        warm_rate_per_s: Request starts per second once the upstream is warm.
        warmup_ms: Time from a cold start until the upstream is warm.
    """

    cold_rate_per_s: float
    warm_rate_per_s: float
    warmup_ms: int

    @classmethod
    def from_upstream(cls, upstream: Upstream) -> "RampRates":
        """Returns the rates that the configuration sets for an upstream."""
        return cls(upstream.cold_rate_per_s, upstream.warm_rate_per_s, upstream.warmup_ms)

    def compute_cap_after(self, elapsed_ms: int) -> float:
        """Returns the cap, in request starts per second, `elapsed_ms` after the cold start."""
        if elapsed_ms >= self.warmup_ms or self.warmup_ms <= 0:
            return self.warm_rate_per_s
        gain = self.warm_rate_per_s - self.cold_rate_per_s
        return self.cold_rate_per_s + gain * max(0, elapsed_ms) / self.warmup_ms


class ColdStartRamp:
    """Rate cap of one upstream, which rises linearly after each cold start.

    Once a cold start is known, sequence and time never decrease, so instances that exchange
    notices in any order converge to the same ramp. A new instance starts with sequence 0 and
    assumes that the upstream is cold.

    Attributes:
        upstream: Name of the upstream.
        rates: Current rates.
        sequence: Sequence of the latest known cold start.
        cold_at_ms: When that cold start occurred, in ms since the epoch.
    """

    __slots__ = ("cold_at_ms", "rates", "sequence", "upstream")

    def __init__(self, upstream: str, rates: RampRates, cold_at_ms: int, sequence: int = 0):
        self.upstream = upstream
        self.rates = rates
        self.cold_at_ms = cold_at_ms
        self.sequence = sequence

    def compute_cap_at(self, now_ms: int) -> float:
        """Returns the cap of all instances together, in request starts per second.

        Args:
            now_ms: Time in ms since the epoch.
        """
        return self.rates.compute_cap_after(now_ms - self.cold_at_ms)

    def is_ramp_over(self, now_ms: int) -> bool:
        """Whether the upstream has been warm for CAP_LAG_MS.

        Until then the rate limiter uses the cap of CAP_LAG_MS ago, which is still on the ramp.
        """
        return now_ms - self.cold_at_ms >= self.rates.warmup_ms + CAP_LAG_MS

    def apply_announcement(self, cold_at_ms: int, reporter: str) -> ColdStartNotice | None:
        """Restarts the ramp for a cold start announced by the configuration.

        Args:
            cold_at_ms: Time of the announced cold start in ms since the epoch.
            reporter: Name of the instance that sends the notice.

        Returns:
            The notice to distribute, or None if the current cold start is not earlier, e.g. when
            a new instance replays the configuration log.
        """
        if cold_at_ms <= self.cold_at_ms:
            return None
        return self.restart(cold_at_ms, reporter)

    def restart(self, cold_at_ms: int, reporter: str) -> ColdStartNotice:
        """Restarts the ramp for a cold start and returns the notice to distribute.

        Args:
            cold_at_ms: Time of the cold start in ms since the epoch. A time before the latest
                known cold start leaves the ramp unchanged, but the sequence still rises.
            reporter: Name of the instance that sends the notice.
        """
        self.sequence += 1
        self.cold_at_ms = max(self.cold_at_ms, cold_at_ms)
        return self.build_notice(reporter)

    def build_notice(self, reporter: str) -> ColdStartNotice:
        """Returns a notice for the latest known cold start in the name of `reporter`."""
        return ColdStartNotice(self.upstream, self.sequence, self.cold_at_ms, reporter)

    def apply_notice(self, notice: ColdStartNotice, now_ms: int) -> NoticeResult:
        """Merges a notice from another instance into the ramp.

        Stale, superseded and invalid notices are not merged. A notice dated more than
        CLOCK_SKEW_MAX_MS in the future is rejected as invalid, because it could keep the cap low
        for an arbitrarily long time.

        Args:
            notice: The received notice.
            now_ms: Current time in ms since the epoch.

        Returns:
            The effect of the notice, as described in `NoticeResult`.
        """
        is_future = notice.cold_at_ms > now_ms + CLOCK_SKEW_MAX_MS
        if notice.upstream != self.upstream or is_future:
            return NoticeResult.INVALID
        if notice.sequence < self.sequence:
            return NoticeResult.STALE
        if notice.sequence > self.sequence and self._knows_later_start(notice):
            self.sequence = notice.sequence + 1
            return NoticeResult.SUPERSEDED
        previous_ms = self.cold_at_ms
        self.cold_at_ms = self._merge_time(notice)
        self.sequence = notice.sequence
        is_later = self.cold_at_ms > previous_ms
        return NoticeResult.RESTARTED if is_later else NoticeResult.UNCHANGED

    def _merge_time(self, notice: ColdStartNotice) -> int:
        # Sequence 0 stands for the initial assumption of a new instance that the upstream is
        # cold. It is replaced by any detected cold start and by an earlier such assumption.
        if self.sequence > 0:
            return max(self.cold_at_ms, notice.cold_at_ms)
        if notice.sequence > 0:
            return notice.cold_at_ms
        return min(self.cold_at_ms, notice.cold_at_ms)

    def _knows_later_start(self, notice: ColdStartNotice) -> bool:
        return (
            self.sequence > 0 and self.cold_at_ms > notice.cold_at_ms + DUPLICATE_REPORT_WINDOW_MS
        )
