"""Which upstreams count as gone while the state is read through a feeder."""

from catkinspread.deployment import MISSING_GRACE_MS, SourceHealth, StateKind
from catkinspread.eventlog import EventLog
from catkinspread.forwarding.tests.builders import ForwarderHarness, build_upstream
from catkinspread.peers.directory import SOURCE_TIMEOUT_MS
from catkinspread.peers.tests.test_shared_source import (
    NullSink,
    ScriptedSource,
    SharedSourceHarness,
)
from catkinspread.runtime.upstream_monitor import UpstreamMonitor

STEP_MS = 100


class _Follower:
    """An instance that reads through a feeder and has just learned that an upstream is missing."""

    def __init__(self) -> None:
        self.reading = SharedSourceHarness(ScriptedSource(9), ScriptedSource(9))
        forwarding = ForwarderHarness(build_upstream("i-1"))
        self.state = forwarding.state
        health = SourceHealth()
        health.record_success(self.now_ms - 10_000, StateKind.UPSTREAMS)
        events = EventLog("me", NullSink(), self.reading.clock)
        self._monitor = UpstreamMonitor(
            "me",
            self.state,
            health,
            forwarding.forwarder,
            self.reading.directory,
            None,
            events,
            self.reading.clock,
        )
        self.reading.receive_peer_status(source_age_ms=STEP_MS)
        self.reading.clock.advance(MISSING_GRACE_MS)
        self.reading.receive_peer_status(source_age_ms=STEP_MS)
        self.state.mark_upstream_missing("i-1", self.now_ms)

    @property
    def now_ms(self) -> int:
        return self.reading.clock.now_ms()

    def is_gone_after(self, wait_ms: int, source_age_ms: int) -> bool:
        """Waits, receives a status of the feeder and returns whether the upstream is gone."""
        self.reading.clock.advance(wait_ms)
        self.reading.receive_peer_status(source_age_ms)
        self._monitor.expire(self.now_ms, self.reading.shared.find_answered_span())
        return self.state.list_upstreams()[0].is_gone


def test_upstream_is_not_gone_while_the_feeder_has_lost_the_source() -> None:
    """Guards against reset flows of a live upstream whose new record the feeder cannot read."""
    follower = _Follower()
    for age_ms in range(STEP_MS, SOURCE_TIMEOUT_MS, STEP_MS):
        assert not follower.is_gone_after(STEP_MS, age_ms)
    # The feeder is not followed any more; then it has the source again.
    assert not follower.is_gone_after(STEP_MS, SOURCE_TIMEOUT_MS)
    assert not follower.is_gone_after(STEP_MS, 0)
    assert not follower.is_gone_after(MISSING_GRACE_MS - 1, 0)
    assert follower.is_gone_after(1, 0)


def test_upstream_is_not_removed_at_once_after_the_feeder_had_lost_the_source() -> None:
    """Guards against a record that expired in an outage and ends the new flows of its upstream."""
    follower = _Follower()
    assert not follower.is_gone_after(STEP_MS, SOURCE_TIMEOUT_MS)
    assert not follower.is_gone_after(STEP_MS, 0)
    assert not follower.state.list_upstreams()[0].is_removed


def test_upstream_is_removed_at_once_while_the_source_answers_the_feeder() -> None:
    """Guards against new flows beyond the bound at instances that read through a feeder."""
    follower = _Follower()
    assert not follower.is_gone_after(STEP_MS, STEP_MS)
    assert follower.state.list_upstreams()[0].is_removed


def test_upstream_is_gone_once_the_source_answered_the_feeder_after_the_grace_period() -> None:
    """Guards against flows that stay on a crashed upstream while the source is available."""
    follower = _Follower()
    assert not follower.is_gone_after(MISSING_GRACE_MS, STEP_MS)
    assert follower.is_gone_after(STEP_MS, STEP_MS)
