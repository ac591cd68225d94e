"""Tests of load reports between instances."""

import random

from catkinspread.deployment import DeploymentState, UpstreamRecord
from catkinspread.forwarding import LoadTracker
from catkinspread.peers import (
    Hello,
    LoadReport,
    Member,
    MemberStatus,
    PeerDirectory,
    decode_message,
    encode_message,
)
from catkinspread.runtime.load_reports import (
    RECIPIENTS_MAX,
    REPEAT_INTERVAL_MS,
    REPORT_INTERVAL_MS,
    LoadReporter,
)


def _build(name: str, peers: int = 1) -> tuple[LoadReporter, LoadTracker]:
    state = DeploymentState(flow_lifetime_max_ms=60_000)
    state.put_upstream(UpstreamRecord("i-1", 1, "pages", "east", "10.0.0.9", 1, 2, False, 0, 1), 0)
    loads = LoadTracker()
    directory = PeerDirectory(Member(name, "east", "10.0.0.1", 1), random.Random(1))
    for number in range(peers):
        member = Member(f"peer-{number}", "east", f"10.0.1.{number}", 1)
        directory.apply_message(Hello(MemberStatus(member, None, True, False, 0), 0), 0)
    return LoadReporter(directory._member, state, loads, directory, random.Random(1)), loads


def test_report_is_applied_by_another_instance() -> None:
    """Guards against reported load that is missing at the receiver."""
    sender, sent = _build("one")
    receiver, received = _build("two")
    sent.get("i-1").in_flight = 3
    report = sender.build_due_report(1_000)
    assert report is not None
    message = decode_message(encode_message(report))
    assert isinstance(message, LoadReport)
    receiver.apply_report(message, 1_005)
    assert received.get("i-1").peer_in_flight == 3


def test_reports_are_rate_limited() -> None:
    """Guards against control traffic that grows with the rate of requests."""
    reporter, loads = _build("one")
    loads.get("i-1").in_flight = 1
    assert reporter.build_due_report(1_000) is not None
    loads.get("i-1").in_flight = 2
    assert reporter.build_due_report(1_000 + REPORT_INTERVAL_MS - 1) is None
    assert reporter.build_due_report(1_000 + REPORT_INTERVAL_MS) is not None
    assert reporter.build_due_report(1_000 + 2 * REPORT_INTERVAL_MS) is None
    assert reporter.build_due_report(1_000 + REPORT_INTERVAL_MS + REPEAT_INTERVAL_MS) is not None


def test_number_of_recipients_is_limited() -> None:
    """Guards against traffic that grows with the square of the number of instances."""
    reporter, _ = _build("one", peers=80)
    assert len(reporter.choose_recipients()) == RECIPIENTS_MAX


def test_report_of_a_restarted_instance_is_applied() -> None:
    """Guards against ignoring an instance whose sequence numbers restart."""
    receiver, loads = _build("two")
    token = next(iter(receiver._state.list_upstreams())).token
    receiver.apply_report(LoadReport("one", 500, {token: 4}), 1_000)
    receiver.apply_report(LoadReport("one", 1, {token: 1}), 1_010)
    assert loads.get("i-1").peer_in_flight == 1
