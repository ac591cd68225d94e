"""Tests of the rate cap, the cold start ramp and the shared rate limiter."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinspread.limits import (
    ColdStartNotice,
    ColdStartNoticeError,
    ColdStartRamp,
    KnownInstances,
    NoticeResult,
    RampRates,
    SharedRateLimiter,
    TokenBucket,
    decode_notice,
    encode_notice,
)

RATES = RampRates(cold_rate_per_s=5.0, warm_rate_per_s=500.0, warmup_ms=30_000)
STARTED_AT_MS = -10_000


def build_known_instances(instance, others, started_at_ms=STARTED_AT_MS):
    known_instances = KnownInstances(instance, started_at_ms)
    for other in others:
        known_instances.observe(other, 0)
    return known_instances


def collect_starts(rates, known_sets, clock_offsets_ms, duration_ms, step_ms=20):
    """Returns the start times of instances that always have a request to start."""
    limiters = []
    for known_instances in known_sets:
        ramp = ColdStartRamp("u", rates, cold_at_ms=0, sequence=1)
        limiters.append(SharedRateLimiter(ramp, known_instances, 0))
    starts = []
    for now_ms in range(0, duration_ms, step_ms):
        for limiter, offset_ms in zip(limiters, clock_offsets_ms, strict=True):
            while len(starts) < 10_000 and limiter.try_acquire(now_ms + offset_ms):
                starts.append(now_ms)
    return starts


def find_excess(rates, starts):
    """Returns the largest number of starts above the cap in any window of 1 s."""
    excess = 0
    for first in starts:
        count = sum(first <= start < first + 1_000 for start in starts)
        excess = max(excess, count - max(1, rates.compute_cap_after(first)))
    return excess


@settings(derandomize=True, max_examples=150, deadline=None)
@given(data=st.data())
def test_starts_of_all_instances_stay_below_the_cap(data):
    """Guards against exceeding the cap after a cold start, with bursts and clock skew.

    The instances know different sets of failed instances.
    """
    live = [f"i{number}" for number in range(data.draw(st.integers(2, 9)))]
    failed = [f"dead{number}" for number in range(4)]
    known_failed = st.sets(st.sampled_from(failed))
    known_sets = [build_known_instances(name, [*live, *data.draw(known_failed)]) for name in live]
    offsets_ms = [data.draw(st.sampled_from([0, 0, 250, 500])) for _ in live]
    cold = len(live) * data.draw(st.floats(0.2, 2.5))
    warm = cold * data.draw(st.sampled_from([1, 1, 3, 10]))
    rates = RampRates(cold, warm, warmup_ms=6_000)
    starts = collect_starts(rates, known_sets, offsets_ms, 4_000)
    assert find_excess(rates, starts) <= 0


@pytest.mark.parametrize("cap", [5.0, 9.0])
def test_shares_of_at_most_one_start_per_second_stay_below_the_cap(cap):
    """Guards against exceeding a low cap, and against starvation with a share below 1/s.

    Nine instances run for a minute, with clocks that differ by 500 ms. With 9/s, some of them
    know 9 instances (a share of 1) and others 10 (a share of 0.9).
    """
    names = [f"i{number}" for number in range(9)]
    flat = RampRates(cap, cap, warmup_ms=600_000)
    known_sets = [
        build_known_instances(name, [*names, "dead"][: 9 + index % 2])
        for index, name in enumerate(names)
    ]
    starts = collect_starts(flat, known_sets, [0, 500, 0, 500, 0, 500, 0, 500, 0], 60_000)
    assert find_excess(flat, starts) <= 0
    assert len(starts) > 60 * 2


def test_new_instance_waits_until_the_others_count_it():
    """Guards against exceeding the cap while others still divide it without the new instance."""
    rates = RampRates(18.0, 18.0, warmup_ms=60_000)
    names = [f"i{number}" for number in range(9)]
    known_sets = [build_known_instances(name, names) for name in names]
    known_sets.append(build_known_instances("new", names, started_at_ms=0))
    assert find_excess(rates, collect_starts(rates, known_sets, [0] * 10, 4_000)) <= 0


def test_failed_instance_counts_for_an_hour():
    """Guards against shares that grow while other instances still count a failed instance."""
    known_instances = build_known_instances("a", ["b"])
    known_instances.remove_expired(3_600_000)
    assert known_instances.count() == 2
    known_instances.remove_expired(3_600_001)
    assert known_instances.list_names() == ("a",)


def test_token_bucket_accumulates_fractions():
    """Guards against a warm share below 1/s that never accumulates a whole token."""
    bucket = TokenBucket(0)
    taken = sum(bucket.try_acquire(0.25, now_ms) for now_ms in range(0, 40_001, 100))
    assert taken == 10


def test_stale_notice_does_not_restart_the_ramp():
    """Guards against a delayed or repeated notice that restarts the ramp of a warm upstream."""
    ramp = ColdStartRamp("u", RATES, cold_at_ms=0, sequence=3)
    stale = ColdStartNotice("u", 2, 90_000, "b")
    assert ramp.apply_notice(stale, 100_000) is NoticeResult.STALE
    repeated = ColdStartNotice("u", 3, 0, "b")
    assert ramp.apply_notice(repeated, 100_000) is NoticeResult.UNCHANGED
    assert ramp.compute_cap_at(100_000) == 500.0
    fresh = ColdStartNotice("u", 4, 99_000, "b")
    assert ramp.apply_notice(fresh, 100_000) is NoticeResult.RESTARTED
    assert ramp.compute_cap_at(99_000) == 5.0


def test_notice_from_the_future_is_rejected():
    """Guards against one wrong clock that keeps the cap of all instances low."""
    ramp = ColdStartRamp("u", RATES, cold_at_ms=0, sequence=1)
    notice = ColdStartNotice("u", 2, 100_501, "b")
    assert ramp.apply_notice(notice, 100_000) is NoticeResult.INVALID
    assert ramp.sequence == 1


def test_cold_start_detected_by_an_instance_with_an_old_sequence_is_not_lost():
    """Guards against a new instance whose notice all others ignore as stale."""
    old = ColdStartRamp("u", RATES, cold_at_ms=0, sequence=7)
    new = ColdStartRamp("u", RATES, cold_at_ms=0)
    notice = new.restart(60_000, "new")
    assert old.apply_notice(notice, 60_100) is NoticeResult.STALE
    assert new.apply_notice(old.build_notice("old"), 60_200) is NoticeResult.SUPERSEDED
    assert old.apply_notice(new.build_notice("new"), 60_300) is NoticeResult.RESTARTED
    assert (old.sequence, old.cold_at_ms) == (new.sequence, new.cold_at_ms) == (8, 60_000)


@settings(derandomize=True, max_examples=100)
@given(
    st.lists(st.tuples(st.integers(1, 4), st.integers(0, 4_000)), min_size=1, max_size=6),
    st.randoms(use_true_random=False),
)
def test_notices_in_any_order_converge_to_one_ramp(values, random):
    """Guards against instances that apply different ramps to one upstream."""
    notices = [ColdStartNotice("u", sequence, at_ms, "x") for sequence, at_ms in values]
    final_sequences = set()
    for _ in range(3):
        ramp = ColdStartRamp("u", RATES, cold_at_ms=0, sequence=1)
        for notice in [*notices, *notices]:
            ramp.apply_notice(notice, 10_000)
        final_sequences.add(ramp.sequence)
        random.shuffle(notices)
    assert final_sequences == {max(notice.sequence for notice in notices)}


def test_notice_round_trip_and_malformed_payload():
    """Guards against a notice decoded to a different one, and a malformed one that is accepted."""
    notice = ColdStartNotice("u", 4, 99_000, "b")
    assert decode_notice(encode_notice(notice)) == notice
    with pytest.raises(ColdStartNoticeError, match="malformed"):
        decode_notice(b"\x91\x01")


def test_zero_warmup_or_zero_rates_do_not_divide_by_zero():
    """Guards against a division by zero for an upstream without warm-up time or rate."""
    instant = ColdStartRamp("u", RampRates(5.0, 50.0, warmup_ms=0), cold_at_ms=0, sequence=1)
    limiter = SharedRateLimiter(instant, build_known_instances("a", []), 0)
    assert instant.compute_cap_at(-1) == 50.0
    assert limiter.try_acquire(0)
    closed = ColdStartRamp("u", RampRates(0.0, 0.0, warmup_ms=100), cold_at_ms=0, sequence=1)
    limiter = SharedRateLimiter(closed, build_known_instances("a", []), 0)
    for now_ms in range(0, 60_000, 50):
        assert not limiter.try_acquire(now_ms)
        assert limiter.compute_retry_at_ms(now_ms) > now_ms


def test_old_starts_are_discarded_when_warm():
    """Guards against memory use that grows with every request."""
    limiter = SharedRateLimiter(ColdStartRamp("u", RATES, 0, 1), build_known_instances("a", []), 0)
    taken = sum(limiter.try_acquire(now_ms) for now_ms in range(100_000, 200_000, 10))
    assert taken == 10_000
    assert limiter.count_recent_starts() <= 100
