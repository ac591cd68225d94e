"""How far nine instances together exceed the cap of an upstream that warms up.

Each instance always has work after an idle time, knows all nine instances and perhaps dead
ones, and has a clock that is up to 500 ms ahead.
"""

import random
from collections.abc import Callable

import msgspec

from catkinspread.limits import (
    ColdStartRamp,
    KnownInstances,
    RampRates,
    SharedRateLimiter,
    TokenBucket,
)

INSTANCE_COUNT = 9
RATES = RampRates(cold_rate_per_s=5.0, warm_rate_per_s=500.0, warmup_ms=30_000)
LOW_RATES = RampRates(cold_rate_per_s=5.0, warm_rate_per_s=50.0, warmup_ms=30_000)
_STEP_MS = 10
_WINDOW_MS = 1_000
_IDLE_MS = 3_000
_LONG_AGO_MS = -10_000
_DEAD_MAX = 3

TryTake = Callable[[int], bool]


class CapFigures(msgspec.Struct, frozen=True):
    """Starts of all instances against the cap.

    Attributes:
        excess_max_ratio: Starts in the worst window of 1 s above the cap at its start, over
            that cap; 0 if the cap was always kept.
        exceeded_share: Share of the windows in which the cap was exceeded.
        used_share: Starts over the integral of the cap.
    """

    excess_max_ratio: float
    exceeded_share: float
    used_share: float


def measure_shares(rates: RampRates, seed: int) -> CapFigures:
    """Measures SharedRateLimiter, with views that differ in the dead instances."""
    source = random.Random(f"{seed}/shares")
    takers: list[TryTake] = []
    for name in _list_names():
        fleet = KnownInstances(name, _LONG_AGO_MS)
        for other in _list_names():
            fleet.observe(other, 0)
        for number in range(source.randint(0, _DEAD_MAX)):
            fleet.observe(f"dead-{number}", 0)
        share = SharedRateLimiter(ColdStartRamp("u", rates, cold_at_ms=0, sequence=1), fleet, 0)
        takers.append(share.try_acquire)
    return _measure(rates, takers, source)


def measure_buckets(rates: RampRates, seed: int, divisor: int) -> CapFigures:
    """Measures a token bucket per instance.

    Args:
        rates: Rates of the upstream.
        seed: Seed of the run.
        divisor: Number that the cap is divided by; 1 for the naive version in which each
            instance sends the whole allowance.
    """
    source = random.Random(f"{seed}/shares")

    def build() -> TryTake:
        bucket = TokenBucket(0)
        return lambda now_ms: bucket.try_acquire(rates.compute_cap_after(now_ms) / divisor, now_ms)

    return _measure(rates, [build() for _ in range(INSTANCE_COUNT)], source)


def _list_names() -> list[str]:
    return [f"instance-{number}" for number in range(INSTANCE_COUNT)]


def _measure(rates: RampRates, takers: list[TryTake], source: random.Random) -> CapFigures:
    offsets_ms = [source.choice([0, 100, 250, 500]) for _ in takers]
    begins_ms = [source.randrange(_IDLE_MS) for _ in takers]
    starts_ms: list[int] = []
    for now_ms in range(0, rates.warmup_ms, _STEP_MS):
        for taker, offset_ms, begin_ms in zip(takers, offsets_ms, begins_ms, strict=True):
            while now_ms >= begin_ms and taker(now_ms + offset_ms):
                starts_ms.append(now_ms)
    return _compare(rates, starts_ms)


def _compare(rates: RampRates, starts_ms: list[int]) -> CapFigures:
    steps = rates.warmup_ms // _STEP_MS
    counts = [0] * (steps + 1)
    for start_ms in starts_ms:
        counts[start_ms // _STEP_MS + 1] += 1
    total = [0] * (steps + 1)
    for index in range(1, steps + 1):
        total[index] = total[index - 1] + counts[index]
    window = _WINDOW_MS // _STEP_MS
    ratios: list[float] = []
    for index in range(steps - window + 1):
        cap = rates.compute_cap_after(index * _STEP_MS)
        ratios.append((total[index + window] - total[index]) / cap - 1)
    mean_cap = (rates.cold_rate_per_s + rates.warm_rate_per_s) / 2
    return CapFigures(
        excess_max_ratio=max(0.0, *ratios),
        exceeded_share=sum(ratio > 0 for ratio in ratios) / len(ratios),
        used_share=len(starts_ms) * 1_000 / (mean_cap * rates.warmup_ms),
    )
