"""Load that instances tell each other."""

import random

from catkinspread.deployment import DeploymentState, UpstreamRecord
from catkinspread.forwarding import LoadBook
from catkinspread.peers import (
    Hello,
    LoadReport,
    Member,
    MemberStatus,
    PeerDirectory,
    decode_message,
    encode_message,
)
from catkinspread.runtime.load_reports import FAN_OUT, INTERVAL_MS, REPEAT_MS, LoadReporter


def _build(name: str, peers: int = 1) -> tuple[LoadReporter, LoadBook]:
    state = DeploymentState(flow_lifetime_max_ms=60_000)
    state.put_upstream(UpstreamRecord("i-1", 1, "pages", "east", "10.0.0.9", 1, 2, False, 0, 1), 0)
    loads = LoadBook()
    directory = PeerDirectory(Member(name, "east", "10.0.0.1", 1), random.Random(1))
    for number in range(peers):
        member = Member(f"peer-{number}", "east", f"10.0.1.{number}", 1)
        directory.apply_status(Hello(MemberStatus(member, None, True, False), 0), 0)
    return LoadReporter(directory._member, state, loads, directory, random.Random(1)), loads


def test_report_reaches_the_placement_of_another_instance() -> None:
    """Guards against load that is lost between the instances."""
    sender, sent = _build("one")
    receiver, received = _build("two")
    sent.get("i-1").in_flight = 3
    report = sender.compose(1_000)
    assert report is not None
    message = decode_message(encode_message(report))
    assert isinstance(message, LoadReport)
    receiver.take(message, 1_005)
    assert received.get("i-1").peer_in_flight == 3


def test_reports_no_more_often_than_agreed() -> None:
    """Guards against control traffic that grows with the requests."""
    reporter, loads = _build("one")
    loads.get("i-1").in_flight = 1
    assert reporter.compose(1_000) is not None
    loads.get("i-1").in_flight = 2
    assert reporter.compose(1_000 + INTERVAL_MS - 1) is None
    assert reporter.compose(1_000 + INTERVAL_MS) is not None
    assert reporter.compose(1_000 + 2 * INTERVAL_MS) is None
    assert reporter.compose(1_000 + INTERVAL_MS + REPEAT_MS) is not None


def test_fan_out_is_bounded() -> None:
    """Guards against reports in proportion to the square of the instances."""
    reporter, _ = _build("one", peers=80)
    assert len(reporter.choose_hosts()) == FAN_OUT


def test_report_of_a_restarted_instance_counts() -> None:
    """Guards against ignoring an instance whose sequence begins anew."""
    receiver, loads = _build("two")
    token = next(iter(receiver._state.list_upstreams())).token
    receiver.take(LoadReport("one", 500, {token: 4}), 1_000)
    receiver.take(LoadReport("one", 1, {token: 1}), 1_010)
    assert loads.get("i-1").peer_in_flight == 1
