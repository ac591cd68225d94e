"""Tests of the rate limit for upstreams in cold start, summed over all instances."""

import random

import pytest

from catkinspread.deployment import KnownUpstream, UpstreamRecord
from catkinspread.forwarding import ColdStartLimiter
from catkinspread.peers import UNKNOWN_INSTANCE_COUNT

RATE_PER_S = 20.0
# The users' bound: 1.5 times the rate and 5 more in any second.
BOUND = RATE_PER_S * 1.5 + 5
ESTABLISHED = 9
STEP_MS = 5
RECORD = UpstreamRecord(
    name="i-1a",
    key=0x1A,
    service="plates",
    data_centre="east",
    host="10.0.0.1",
    port=80,
    work_slots=2,
    is_draining=False,
    cold_remaining_ms=60_000,
    born_ms=1,
    report_number=1,
)


class _Fleet:
    """Instances that each get more flows than the rate allows."""

    def __init__(self, counts: list[int]) -> None:
        self.limiters = [
            ColdStartLimiter(count, random.Random(number)) for number, count in enumerate(counts)
        ]
        self.upstream = KnownUpstream(RECORD, 0)
        self.now_ms = 0
        self.opened_at_ms: list[int] = []

    def run(self, duration_ms: int) -> None:
        for _ in range(duration_ms // STEP_MS):
            self.now_ms += STEP_MS
            for limiter in self.limiters:
                if limiter.allows(self.upstream, RATE_PER_S, self.now_ms):
                    limiter.record_flow(self.upstream, RATE_PER_S, self.now_ms)
                    self.opened_at_ms.append(self.now_ms)

    def set_count(self, count: int) -> None:
        for limiter in self.limiters:
            limiter.set_instance_count(count)

    def find_highest_rate(self) -> int:
        """Returns the largest number of flows in any second."""
        starts = self.opened_at_ms
        return max(sum(start <= at < start + 1_000 for at in starts) for start in starts)


@pytest.mark.parametrize("added", [1, 3, 9])
def test_instances_that_know_of_no_other_keep_the_rate_of_a_cold_upstream(added: int) -> None:
    """Guards against added instances that use a whole rate each (review case 5)."""
    fleet = _Fleet([ESTABLISHED] * ESTABLISHED + [UNKNOWN_INSTANCE_COUNT] * added)
    fleet.run(20_000)
    assert fleet.find_highest_rate() <= BOUND


@pytest.mark.parametrize("added", [1, 3, 9])
def test_instances_that_find_the_others_keep_the_rate_of_a_cold_upstream(added: int) -> None:
    """Guards against added instances that send the flows that become due when they join."""
    fleet = _Fleet([ESTABLISHED] * ESTABLISHED + [UNKNOWN_INSTANCE_COUNT] * added)
    fleet.run(5_000)
    fleet.set_count(ESTABLISHED + added)
    fleet.run(5_000)
    assert fleet.find_highest_rate() <= BOUND


def test_higher_number_of_instances_also_holds_for_flows_that_are_scheduled() -> None:
    """Guards against an instance that uses its earlier share after it learned of nine others."""
    limiter = ColdStartLimiter(1, random.Random(1))
    upstream = KnownUpstream(RECORD, 0)
    limiter.record_flow(upstream, RATE_PER_S, 0)
    limiter.set_instance_count(10)
    assert not limiter.allows(upstream, RATE_PER_S, 499)
    assert limiter.allows(upstream, RATE_PER_S, 500)


def test_first_share_after_joining_does_not_wait_for_the_interval_of_before() -> None:
    """Guards against an instance that warms nothing for half a minute after it has joined."""
    limiter = ColdStartLimiter(UNKNOWN_INSTANCE_COUNT, random.Random(1))
    upstream = KnownUpstream(RECORD, 0)
    assert not limiter.allows(upstream, RATE_PER_S, 0)
    limiter.set_instance_count(10)
    assert not limiter.allows(upstream, RATE_PER_S, 1)
    assert limiter.allows(upstream, RATE_PER_S, 501)


def test_small_decreases_do_not_delay_flows() -> None:
    """Guards against rare flows that are never due because instances restart more often."""
    limiter = ColdStartLimiter(10, random.Random(1))
    upstream = KnownUpstream(RECORD, 0)
    limiter.record_flow(upstream, RATE_PER_S, 0)
    limiter.set_instance_count(9)
    assert limiter.allows(upstream, RATE_PER_S, 450)
