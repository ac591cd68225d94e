"""Tests of when an instance counts as isolated and leaves the rotation."""

import random

import pytest

from catkinspread.eventlog import EventLog
from catkinspread.forwarding.tests.builders import ForwarderHarness, build_upstream
from catkinspread.peers import Hello, Member, MemberStatus, PeerDirectory
from catkinspread.peers.directory import REMOTE_TIMEOUT_MS
from catkinspread.runtime.isolation import IsolationCheck

REMOTE_MEMBER = Member("far", "west", "10.0.0.2", 1)


class IsolationHarness:
    """An instance in `east` that has received a status of one in `west`."""

    def __init__(self) -> None:
        self.forwarding = ForwarderHarness(
            build_upstream("near"), build_upstream("far", data_centre="west")
        )
        self.directory = PeerDirectory(Member("me", "east", "10.0.0.1", 1), random.Random(1))
        events = EventLog("me", self.forwarding.lines, self.forwarding.clock)
        self.check = IsolationCheck(self.forwarding.local_availability, self.directory, events)
        self.receive_remote_status()

    def receive_remote_status(self) -> None:
        status = MemberStatus(REMOTE_MEMBER, None, True, False, 0)
        self.directory.apply_message(Hello(status, 0), self.forwarding.now_ms)

    def update(self) -> bool:
        self.forwarding.local_availability.update(self.forwarding.now_ms)
        self.check.update(self.forwarding.now_ms)
        return self.check.is_isolated


@pytest.mark.parametrize(
    ("is_evacuated", "is_partitioned", "is_isolated"),
    [(False, False, False), (True, False, False), (False, True, False), (True, True, True)],
)
def test_isolated_only_without_local_upstreams_and_remote_contact(
    is_evacuated: bool, is_partitioned: bool, is_isolated: bool
) -> None:
    """Guards against leaving the rotation while this instance can still serve callers."""
    harness = IsolationHarness()
    harness.forwarding.state.set_evacuated("east", is_evacuated)
    harness.update()
    harness.forwarding.clock.advance(REMOTE_TIMEOUT_MS)
    if not is_partitioned:
        harness.receive_remote_status()
    assert harness.update() == is_isolated


def test_old_status_does_not_isolate_when_an_evacuation_begins() -> None:
    """Guards against leaving the rotation because other data centres were not polled before."""
    harness = IsolationHarness()
    harness.forwarding.clock.advance(REMOTE_TIMEOUT_MS)
    harness.forwarding.state.set_evacuated("east", True)
    assert not harness.update()
    harness.forwarding.clock.advance(REMOTE_TIMEOUT_MS)
    assert harness.update()


def test_isolation_ends_with_the_first_remote_status_and_both_changes_are_logged() -> None:
    """Guards against an instance that stays out of the rotation after a partition has healed."""
    harness = IsolationHarness()
    harness.forwarding.state.set_evacuated("east", True)
    harness.update()
    harness.forwarding.clock.advance(REMOTE_TIMEOUT_MS)
    assert harness.update()
    harness.receive_remote_status()
    assert not harness.update()
    lines = b"".join(harness.forwarding.lines.lines)
    assert b'"isolated"' in lines
    assert b'"isolation_ended"' in lines
