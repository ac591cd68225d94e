"""The rate cap of an upstream over time."""

import enum

import msgspec

from catkinspread.limits.messages import ColdStartNotice
from catkinspread.model import Upstream

# Largest difference between the clocks of two instances (`clock_skew_max_ms` of the design).
CLOCK_SKEW_MAX_MS = 500
RATE_WINDOW_MS = 1_000
TOKEN_INTERVAL_MS = 100
# A rule that looks at the cap this long ago keeps every window of RATE_WINDOW_MS at or below
# the cap at the start of the window, also on a clock that is CLOCK_SKEW_MAX_MS ahead.
CAP_LAG_MS = RATE_WINDOW_MS + CLOCK_SKEW_MAX_MS + TOKEN_INTERVAL_MS
# Two instances that notice the same cold start do so within this time.
DUPLICATE_REPORT_WINDOW_MS = 5_000


class NoticeResult(enum.Enum):
    """What a notice did to the ramp.

    RESTARTED: the ramp runs from a later time than before.
    KNOWN: nothing new.
    STALE: the sequence is lower than the known one; the sender should get the known notice.
    RAISED: the sender had not heard of a later cold start; the own notice got a new sequence
        and must be spread.
    INVALID: the notice names another upstream or a time in the future.
    """

    RESTARTED = "restarted"
    UNCHANGED = "known"
    STALE = "stale"
    SUPERSEDED = "raised"
    INVALID = "invalid"


class RampRates(msgspec.Struct, frozen=True):
    """The rates of an upstream.

    Attributes:
        cold_rate_per_s: New work per second just after a cold start.
        warm_rate_per_s: New work per second when warm.
        warmup_ms: Time from the cold start until it is warm.
    """

    cold_rate_per_s: float
    warm_rate_per_s: float
    warmup_ms: int

    @classmethod
    def from_upstream(cls, upstream: Upstream) -> "RampRates":
        """Returns the rates that a configuration states for an upstream."""
        return cls(upstream.cold_rate_per_s, upstream.warm_rate_per_s, upstream.warmup_ms)

    def compute_cap(self, elapsed_ms: int) -> float:
        """Returns the cap in work per second at a time after the cold start."""
        if elapsed_ms >= self.warmup_ms or self.warmup_ms <= 0:
            return self.warm_rate_per_s
        gain = self.warm_rate_per_s - self.cold_rate_per_s
        return self.cold_rate_per_s + gain * max(0, elapsed_ms) / self.warmup_ms


class ColdStartRamp:
    """Cap of one upstream; it rises linearly from each cold start on.

    Sequence and time only grow once a cold start is known, so instances that exchange notices
    in any order end with the same ramp. A new instance starts with sequence 0 and the
    assumption that the upstream is cold.

    Attributes:
        upstream: Name of the upstream.
        rates: The rates in force.
        sequence: Sequence of the latest known cold start.
        cold_at_ms: When that cold start happened, in ms since the epoch.
    """

    __slots__ = ("cold_at_ms", "rates", "sequence", "upstream")

    def __init__(self, upstream: str, rates: RampRates, cold_at_ms: int, sequence: int = 0):
        self.upstream = upstream
        self.rates = rates
        self.cold_at_ms = cold_at_ms
        self.sequence = sequence

    def compute_cap(self, now_ms: int) -> float:
        """Returns the cap of the whole fleet in work per second."""
        return self.rates.compute_cap(now_ms - self.cold_at_ms)

    def is_warm(self, now_ms: int) -> bool:
        """Whether the ramp has ended, CAP_LAG_MS included."""
        return now_ms - self.cold_at_ms >= self.rates.warmup_ms + CAP_LAG_MS

    def apply_announcement(self, cold_at_ms: int, reporter: str) -> ColdStartNotice | None:
        """Restarts the ramp for a cold start that the configuration announces.

        Returns:
            The notice to spread, or None if a later or equal cold start is known, e.g. when
            a new instance replays the log.
        """
        if cold_at_ms <= self.cold_at_ms:
            return None
        return self.restart(cold_at_ms, reporter)

    def restart(self, cold_at_ms: int, reporter: str) -> ColdStartNotice:
        """Restarts the ramp for a cold start noticed here and returns the notice to spread."""
        self.sequence += 1
        self.cold_at_ms = max(self.cold_at_ms, cold_at_ms)
        return self.build_notice(reporter)

    def build_notice(self, reporter: str) -> ColdStartNotice:
        """Returns the notice of the latest known cold start."""
        return ColdStartNotice(self.upstream, self.sequence, self.cold_at_ms, reporter)

    def apply_notice(self, notice: ColdStartNotice, now_ms: int) -> NoticeResult:
        """Takes over what another instance knows, unless it is older than what is known here.

        A notice dated more than CLOCK_SKEW_MAX_MS in the future would hold the cap down for
        as long as its sender likes, so it is refused.
        """
        is_future = notice.cold_at_ms > now_ms + CLOCK_SKEW_MAX_MS
        if notice.upstream != self.upstream or is_future:
            return NoticeResult.INVALID
        if notice.sequence < self.sequence:
            return NoticeResult.STALE
        if notice.sequence > self.sequence and self._is_own_start_later(notice):
            self.sequence = notice.sequence + 1
            return NoticeResult.SUPERSEDED
        previous_ms = self.cold_at_ms
        self.cold_at_ms = self._merge_time(notice)
        self.sequence = notice.sequence
        is_later = self.cold_at_ms > previous_ms
        return NoticeResult.RESTARTED if is_later else NoticeResult.UNCHANGED

    def _merge_time(self, notice: ColdStartNotice) -> int:
        # Sequence 0 is the assumption of a new instance that the upstream is cold. An instance
        # that has seen more, or the same for longer, replaces it.
        if self.sequence > 0:
            return max(self.cold_at_ms, notice.cold_at_ms)
        if notice.sequence > 0:
            return notice.cold_at_ms
        return min(self.cold_at_ms, notice.cold_at_ms)

    def _is_own_start_later(self, notice: ColdStartNotice) -> bool:
        return (
            self.sequence > 0 and self.cold_at_ms > notice.cold_at_ms + DUPLICATE_REPORT_WINDOW_MS
        )
