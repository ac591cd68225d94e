"""Rate limiter that divides the rate cap of an upstream among the known instances.

While an upstream warms up, the starts of all instances together stay at or below the cap in
every window of RATE_WINDOW_MS. With n known instances, there are two cases:

* cap / n >= 1: the instance starts at most floor(cap / n) requests in any window.
* cap / n < 1: separate token buckets must hold one whole token each and would therefore admit
  n requests at once, which exceeds the cap. Instead, all instances share one virtual bucket
  that each of them computes from the ramp alone. Fractions of tokens accumulate per interval
  of TOKEN_INTERVAL_MS, and an interval with tokens belongs to the known instance with the
  highest rendezvous rank. Two instances that know each other never both own an interval,
  whichever failed instances they know. Tokens not used within their interval expire. An
  instance starts at most 1 request per window.

If both cases occur at once because the instances know sets of different sizes, the starts still
stay at or below the cap, because no set is smaller than the number of live instances.
"""

import collections
import math

from catkinspread.hashing import hash_text
from catkinspread.limits.cold_start import (
    CAP_LAG_MS,
    RATE_WINDOW_MS,
    TOKEN_INTERVAL_MS,
    ColdStartRamp,
    RampRates,
)
from catkinspread.limits.fleet import KnownInstances

# With clocks that differ by CLOCK_SKEW_MAX_MS, a window of RATE_WINDOW_MS overlaps the intervals
# of CAP_LAG_MS. Spreading the tokens of 1 s over CAP_LAG_MS keeps the window at or below the cap.
_INTERVALS_PER_CAP = CAP_LAG_MS // TOKEN_INTERVAL_MS
# Credit that an interval adds for a cap of one start per second. Credit is counted in thousandths,
# as integers, so that all instances agree. It is rounded down (a cap of 1/s or more to a whole
# number), so that the tokens never exceed the cap.
_CREDIT_PER_START_PER_S = 1_000
_CREDIT_PER_TOKEN = _CREDIT_PER_START_PER_S * _INTERVALS_PER_CAP
# Time whose tokens the bucket of a warm upstream may accumulate.
_WARM_BURST_MS = 250
# Bounds the wait, because rates may change and a rate of 0 would otherwise never be re-checked.
_WAIT_MAX_MS = 1_000
_MS_PER_S = 1_000


class TokenSchedule:
    """Number of tokens in each interval of one ramp, which is the same on every instance."""

    __slots__ = ("_credit", "_interval", "_rates", "_tokens")

    def __init__(self, rates: RampRates) -> None:
        self._rates = rates
        self._interval = -1
        self._credit = 0
        self._tokens = 0

    def count_tokens(self, interval: int) -> int:
        """Returns the tokens of an interval; intervals must not decrease between calls."""
        while self._interval < interval:
            self._interval += 1
            cap = self._rates.compute_cap_after(self._interval * TOKEN_INTERVAL_MS - CAP_LAG_MS)
            self._credit += (
                math.floor(cap) * _CREDIT_PER_START_PER_S
                if cap >= 1
                else math.floor(cap * _CREDIT_PER_START_PER_S)
            )
            self._tokens, self._credit = divmod(self._credit, _CREDIT_PER_TOKEN)
        return self._tokens if interval == self._interval else 0


class TokenBucket:
    """Token bucket that accumulates fractional tokens."""

    __slots__ = ("_refilled_at_ms", "_tokens")

    def __init__(self, now_ms: int) -> None:
        self._tokens = 0.0
        self._refilled_at_ms = now_ms

    def try_acquire(self, rate_per_s: float, now_ms: int) -> bool:
        """Takes a token if at least one whole token is available."""
        elapsed_ms = max(0, now_ms - self._refilled_at_ms)
        bucket_capacity = max(1.0, rate_per_s * _WARM_BURST_MS / _MS_PER_S)
        self._tokens = min(bucket_capacity, self._tokens + rate_per_s * elapsed_ms / _MS_PER_S)
        self._refilled_at_ms = max(self._refilled_at_ms, now_ms)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def compute_wait_ms(self, rate_per_s: float) -> int:
        """Returns the time from the last call of `try_acquire` until a whole token is available.

        The result is in ms and at most 1 s, even if the token is available later.
        """
        missing = max(0.0, 1 - self._tokens)
        if missing * _MS_PER_S >= rate_per_s * _WAIT_MAX_MS:
            return _WAIT_MAX_MS
        return math.ceil(missing * _MS_PER_S / rate_per_s)


class SharedRateLimiter:
    """Decides when this instance may start a request to one upstream."""

    __slots__ = (
        "_bucket",
        "_known_instances",
        "_owned_tokens",
        "_ramp",
        "_schedule",
        "_schedule_key",
        "_starts",
    )

    def __init__(self, ramp: ColdStartRamp, known_instances: KnownInstances, now_ms: int) -> None:
        self._ramp = ramp
        self._known_instances = known_instances
        self._bucket = TokenBucket(now_ms)
        self._starts: collections.deque[int] = collections.deque()
        self._schedule = TokenSchedule(ramp.rates)
        self._schedule_key = (ramp.rates, ramp.cold_at_ms)
        # An interval, and the tokens in it that this instance may still use.
        self._owned_tokens = (-1, 0)

    def compute_share(self, now_ms: int) -> float:
        """Returns the cap divided by the number of known instances, in starts per second."""
        return self._ramp.compute_cap_at(now_ms) / self._known_instances.count()

    def try_acquire(self, now_ms: int) -> bool:
        """Records the start of a request and returns True if the rate limit allows it.

        Args:
            now_ms: Current time; a time before the last start counts as the time of that start.
        """
        if self._starts:
            now_ms = max(now_ms, self._starts[-1])
        while self._starts and now_ms - self._starts[0] >= RATE_WINDOW_MS:
            self._starts.popleft()
        if self._ramp.is_ramp_over(now_ms):
            is_allowed = self._bucket.try_acquire(self.compute_share(now_ms), now_ms)
        else:
            is_allowed = self._known_instances.is_known_to_peers(now_ms) and self._try_acquire_cold(
                now_ms
            )
        if is_allowed:
            self._starts.append(now_ms)
        return is_allowed

    def compute_retry_at_ms(self, now_ms: int) -> int:
        """Returns when to call `try_acquire` again after a failure.

        The time is in ms since the epoch; the attempt may fail again.
        """
        if self._ramp.is_ramp_over(now_ms):
            return now_ms + max(1, self._bucket.compute_wait_ms(self.compute_share(now_ms)))
        if self._compute_cold_share(now_ms) >= 1 and self._starts:
            return max(now_ms + 1, self._starts[0] + RATE_WINDOW_MS)
        elapsed_ms = now_ms - self._ramp.cold_at_ms
        return now_ms + TOKEN_INTERVAL_MS - elapsed_ms % TOKEN_INTERVAL_MS

    def count_recent_starts(self) -> int:
        """Returns the number of starts in the second before the latest `try_acquire` call."""
        return len(self._starts)

    def _compute_cold_share(self, now_ms: int) -> float:
        return self._ramp.compute_cap_at(now_ms - CAP_LAG_MS) / self._known_instances.count()

    def _try_acquire_cold(self, now_ms: int) -> bool:
        share = math.floor(self._compute_cold_share(now_ms))
        if share >= 1:
            return len(self._starts) < share
        return not self._starts and self._try_acquire_interval_token(now_ms)

    def _try_acquire_interval_token(self, now_ms: int) -> bool:
        elapsed_ms = now_ms - self._ramp.cold_at_ms
        if elapsed_ms < 0:
            return False
        interval = elapsed_ms // TOKEN_INTERVAL_MS
        key = (self._ramp.rates, self._ramp.cold_at_ms)
        if key != self._schedule_key:
            self._schedule = TokenSchedule(self._ramp.rates)
            self._schedule_key = key
            self._owned_tokens = (-1, 0)
        if self._owned_tokens[0] != interval:
            tokens = self._schedule.count_tokens(interval)
            is_owner = tokens > 0 and self._find_owner(interval) == self._known_instances.instance
            self._owned_tokens = (interval, tokens if is_owner else 0)
        if self._owned_tokens[1] == 0:
            return False
        self._owned_tokens = (interval, self._owned_tokens[1] - 1)
        return True

    def _find_owner(self, interval: int) -> str:
        prefix = f"{self._ramp.upstream}\x00{interval}\x00"
        return max(
            self._known_instances.list_names(), key=lambda name: (hash_text(prefix + name), name)
        )
