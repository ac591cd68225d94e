"""The share that one instance has of the rate cap of an upstream.

While an upstream warms up, the starts of all instances together stay at or below the cap in
every window of RATE_WINDOW_MS. With n known instances, cap / n has two cases:

* cap / n >= 1: the instance starts at most floor(cap / n) requests in any window.
* cap / n < 1: buckets that each hold one whole token would let n requests through at once,
  which exceeds a cap below n. The fleet therefore shares one bucket that every instance
  computes from the ramp alone: fractions accumulate per turn of TURN_MS, and a turn with a
  token belongs to the known instance with the highest rendezvous rank. Two instances that
  know each other never both own a turn, whichever dead instances they know. A token that is
  not used within its turn expires. An instance starts at most 1 request per window.

A mixture of both cases, from views of different size, stays below the cap too, because no
view is smaller than the number of live instances.
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

# A window of RATE_WINDOW_MS on clocks that differ by CLOCK_SKEW_MAX_MS touches the turns of
# CAP_LAG_MS; issuing the cap over this time instead of 1 s keeps the window below the cap.
_TURNS_PER_CAP = CAP_LAG_MS // TOKEN_INTERVAL_MS
_CREDIT_PER_TOKEN = 1_000 * _TURNS_PER_CAP
_WARM_BURST_MS = 250
# Rates may change meanwhile, and an upstream without a rate would never be looked at again.
_WAIT_MAX_MS = 1_000
_MS_PER_S = 1_000


class TokenSchedule:
    """The tokens of each turn of one ramp; the same on every instance."""

    __slots__ = ("_credit", "_rates", "_tokens", "_turn")

    def __init__(self, rates: RampRates) -> None:
        self._rates = rates
        self._turn = -1
        self._credit = 0
        self._tokens = 0

    def count_tokens(self, turn: int) -> int:
        """Returns the number of tokens of a turn; turns must not decrease between calls."""
        while self._turn < turn:
            self._turn += 1
            cap = self._rates.compute_cap(self._turn * TOKEN_INTERVAL_MS - CAP_LAG_MS)
            self._credit += math.floor(cap) * 1_000 if cap >= 1 else math.floor(cap * 1_000)
            self._tokens, self._credit = divmod(self._credit, _CREDIT_PER_TOKEN)
        return self._tokens if turn == self._turn else 0


class TokenBucket:
    """A bucket that holds whole and fractional tokens."""

    __slots__ = ("_filled_at_ms", "_tokens")

    def __init__(self, now_ms: int) -> None:
        self._tokens = 0.0
        self._filled_at_ms = now_ms

    def try_acquire(self, rate_per_s: float, now_ms: int) -> bool:
        """Takes a token if there is a whole one."""
        elapsed_ms = max(0, now_ms - self._filled_at_ms)
        depth = max(1.0, rate_per_s * _WARM_BURST_MS / _MS_PER_S)
        self._tokens = min(depth, self._tokens + rate_per_s * elapsed_ms / _MS_PER_S)
        self._filled_at_ms = max(self._filled_at_ms, now_ms)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def compute_wait_ms(self, rate_per_s: float) -> int:
        """Returns the time from the last call of `try_acquire` until a token is whole."""
        missing = max(0.0, 1 - self._tokens)
        if missing * _MS_PER_S >= rate_per_s * _WAIT_MAX_MS:
            return _WAIT_MAX_MS
        return math.ceil(missing * _MS_PER_S / rate_per_s)


class SharedRateLimiter:
    """Decides when this instance may start a request on one upstream."""

    __slots__ = ("_bucket", "_fleet", "_owned", "_ramp", "_schedule", "_schedule_key", "_starts")

    def __init__(self, ramp: ColdStartRamp, fleet: KnownInstances, now_ms: int) -> None:
        self._ramp = ramp
        self._fleet = fleet
        self._bucket = TokenBucket(now_ms)
        self._starts: collections.deque[int] = collections.deque()
        self._schedule = TokenSchedule(ramp.rates)
        self._schedule_key = (ramp.rates, ramp.cold_at_ms)
        self._owned = (-1, 0)

    def compute_share(self, now_ms: int) -> float:
        """Returns cap divided by the number of known instances, in work per second."""
        return self._ramp.compute_cap(now_ms) / self._fleet.count()

    def try_acquire(self, now_ms: int) -> bool:
        """Uses one start if the share has one left.

        Args:
            now_ms: Current time; a time before the previous call counts as that call's.
        """
        if self._starts:
            now_ms = max(now_ms, self._starts[-1])
        while self._starts and now_ms - self._starts[0] >= RATE_WINDOW_MS:
            self._starts.popleft()
        if self._ramp.is_warm(now_ms):
            is_free = self._bucket.try_acquire(self.compute_share(now_ms), now_ms)
        else:
            is_free = self._fleet.is_known_to_peers(now_ms) and self._try_take_cold(now_ms)
        if is_free:
            self._starts.append(now_ms)
        return is_free

    def compute_retry_at_ms(self, now_ms: int) -> int:
        """Returns when `try_acquire` may succeed again after it has failed."""
        if self._ramp.is_warm(now_ms):
            return now_ms + max(1, self._bucket.compute_wait_ms(self.compute_share(now_ms)))
        if self._compute_cold_share(now_ms) >= 1 and self._starts:
            return max(now_ms + 1, self._starts[0] + RATE_WINDOW_MS)
        elapsed_ms = now_ms - self._ramp.cold_at_ms
        return now_ms + TOKEN_INTERVAL_MS - elapsed_ms % TOKEN_INTERVAL_MS

    def count_recent_starts(self) -> int:
        """Returns the number of starts in the second before the latest call of `try_acquire`."""
        return len(self._starts)

    def _compute_cold_share(self, now_ms: int) -> float:
        return self._ramp.compute_cap(now_ms - CAP_LAG_MS) / self._fleet.count()

    def _try_take_cold(self, now_ms: int) -> bool:
        share = math.floor(self._compute_cold_share(now_ms))
        if share >= 1:
            return len(self._starts) < share
        return not self._starts and self._try_take_turn(now_ms)

    def _try_take_turn(self, now_ms: int) -> bool:
        elapsed_ms = now_ms - self._ramp.cold_at_ms
        if elapsed_ms < 0:
            return False
        turn = elapsed_ms // TOKEN_INTERVAL_MS
        key = (self._ramp.rates, self._ramp.cold_at_ms)
        if key != self._schedule_key:
            self._schedule = TokenSchedule(self._ramp.rates)
            self._schedule_key = key
            self._owned = (-1, 0)
        if self._owned[0] != turn:
            tokens = self._schedule.count_tokens(turn)
            is_owner = tokens > 0 and self._find_owner(turn) == self._fleet.instance
            self._owned = (turn, tokens if is_owner else 0)
        if self._owned[1] == 0:
            return False
        self._owned = (turn, self._owned[1] - 1)
        return True

    def _find_owner(self, turn: int) -> str:
        prefix = f"{self._ramp.upstream}\x00{turn}\x00"
        return max(self._fleet.list_names(), key=lambda name: (hash_text(prefix + name), name))
