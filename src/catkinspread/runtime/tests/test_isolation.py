"""When an instance leaves the rotation although it runs well."""

import random

import pytest

from catkinspread.eventlog import EventLog
from catkinspread.forwarding.tests.builders import Rig, build_upstream
from catkinspread.peers import Hello, Member, MemberStatus, PeerDirectory
from catkinspread.peers.directory import REMOTE_TIMEOUT_MS
from catkinspread.runtime.isolation import IsolationCheck

FAR = Member("far", "west", "10.0.0.2", 1)


class Fixture:
    """An instance of `east` that has heard of one in `west`."""

    def __init__(self) -> None:
        self.rig = Rig(build_upstream("near"), build_upstream("far", data_centre="west"))
        self.directory = PeerDirectory(Member("me", "east", "10.0.0.1", 1), random.Random(1))
        events = EventLog("me", self.rig.lines, self.rig.clock)
        self.check = IsolationCheck(self.rig.local_service, self.directory, events)
        self.hear_far()

    def hear_far(self) -> None:
        status = MemberStatus(FAR, None, True, False)
        self.directory.apply_status(Hello(status, 0), self.rig.now_ms)

    def update(self) -> bool:
        self.check.update(self.rig.now_ms)
        return self.check.is_isolated


@pytest.mark.parametrize(
    ("is_evacuated", "is_partitioned", "is_isolated"),
    [(False, False, False), (True, False, False), (False, True, False), (True, True, True)],
)
def test_isolated_only_without_upstreams_here_and_contact_elsewhere(
    is_evacuated: bool, is_partitioned: bool, is_isolated: bool
) -> None:
    """Guards against leaving the rotation while callers can still be served from here."""
    fixture = Fixture()
    fixture.rig.state.set_evacuated("east", is_evacuated)
    fixture.update()
    fixture.rig.clock.advance(REMOTE_TIMEOUT_MS)
    if not is_partitioned:
        fixture.hear_far()
    assert fixture.update() == is_isolated


def test_returns_with_the_first_answer_and_logs_both_changes() -> None:
    """Guards against an instance that stays out of the rotation after the cut."""
    fixture = Fixture()
    fixture.rig.state.set_evacuated("east", True)
    fixture.rig.clock.advance(REMOTE_TIMEOUT_MS)
    assert fixture.update()
    fixture.hear_far()
    assert not fixture.update()
    lines = b"".join(fixture.rig.lines.lines)
    assert b'"isolated"' in lines
    assert b'"isolation_ended"' in lines
