"""Handling of the messages between instances."""

import random

from catkinspread.admission import RoomSummary, RouteDemand, ServiceInFlight
from catkinspread.clock import ManualClock
from catkinspread.model import Endpoint
from catkinspread.peers import Member, MemberStatus, PeerDirectory, PeerExchange, encode_message
from catkinspread.transport.traffic import TrafficMeter

NOW_MS = 1_800_000_000_000
SUMMARY = RoomSummary(
    "edge-2",
    7,
    "khomas-a",
    1,
    (RouteDemand("front", "pages", 1, 40.0, 500.0, 0.0),),
    (ServiceInFlight("pages", "khomas-a", 3.0),),
)


def _build(received: list[tuple[RoomSummary, int]], traffic: TrafficMeter) -> PeerExchange:
    me = Member("edge-1", "khomas-a", "10.1.0.1", 1)
    return PeerExchange(
        me,
        7_720,
        (),
        PeerDirectory(me, random.Random(1)),
        lambda: MemberStatus(me, None, True, False, 0),
        lambda: True,
        *[lambda *arguments: None] * 6,
        lambda summary, now_ms: received.append((summary, now_ms)),
        traffic,
        ManualClock(NOW_MS),
        random.Random(1),
    )


def test_room_summary_is_passed_on_with_its_arrival() -> None:
    """Guards against a summary that is answered or applied as a status."""
    received: list[tuple[RoomSummary, int]] = []
    traffic = TrafficMeter()
    exchange = _build(received, traffic)
    exchange._receive(encode_message(SUMMARY), Endpoint("10.1.0.2", 7_720))
    assert received == [(SUMMARY, NOW_MS)]
    assert exchange.malformed_count == 0
    assert not traffic.bytes_by_name


def test_room_summary_counts_as_a_report() -> None:
    """Guards against traffic that operators find under membership."""
    traffic = TrafficMeter()
    _build([], traffic).send_report(SUMMARY, ["10.1.0.2", "10.1.0.3"])
    assert traffic.bytes_by_name == {"reports_remote": 2 * len(encode_message(SUMMARY))}


def test_room_summary_beyond_its_bounds_is_malformed() -> None:
    """Guards against a summary that reaches the estimator unchecked."""
    received: list[tuple[RoomSummary, int]] = []
    exchange = _build(received, TrafficMeter())
    broken = RoomSummary("edge-2", 7, "khomas-a", -1, (), ())
    exchange._receive(encode_message(broken), Endpoint("10.1.0.2", 7_720))
    assert received == []
    assert exchange.malformed_count == 1
