"""Rate limit and sizes of the messages about flows."""

import random

from catkinspread.clock import ManualClock
from catkinspread.deployment import KnownUpstream
from catkinspread.forwarding.tests.builders import SEQUENCE, build_packet, build_upstream
from catkinspread.peers import (
    FlowAnnouncement,
    FlowLocation,
    Hello,
    Member,
    MemberStatus,
    PeerDirectory,
    encode_message,
)
from catkinspread.runtime.flow_announcer import (
    ANNOUNCEMENT_BYTES,
    BURST_BYTES,
    BYTES_PER_S,
    LOCATION_BYTES,
    REMEMBERING_INSTANCES,
    RESERVED_BYTES,
    FlowAnnouncer,
)
from catkinspread.runtime.graceful_shutdown import SHUTDOWN_MIN_MS

PEERS = 100
START_MS = 1_000


class _RecordingExchange:
    """Records the messages in place of sending them."""

    def __init__(self) -> None:
        self.sent: list[tuple[FlowAnnouncement | FlowLocation, list[str]]] = []

    @property
    def sent_bytes(self) -> int:
        """Bytes of all messages."""
        return sum(len(encode_message(message)) * len(hosts) for message, hosts in self.sent)

    def send_report(self, report: FlowAnnouncement | FlowLocation, hosts: list[str]) -> None:
        self.sent.append((report, hosts))


def _build() -> tuple[FlowAnnouncer, _RecordingExchange, ManualClock]:
    directory = PeerDirectory(Member("one", "east", "10.0.0.1", 1), random.Random(1))
    for number in range(PEERS):
        member = Member(f"peer-{number}", "east", f"10.0.1.{number}", 1)
        directory.apply_message(
            Hello(MemberStatus(member, None, True, number == 0, 0), 0), START_MS
        )
    exchange, clock = _RecordingExchange(), ManualClock(START_MS)
    announcer = FlowAnnouncer(directory, exchange, clock, random.Random(1))  # type: ignore[arg-type]
    return announcer, exchange, clock


def test_messages_stay_within_their_budget() -> None:
    """Guards against control traffic that grows with the number of flows that move."""
    announcer, exchange, clock = _build()
    for _ in range(600):
        announcer.announce(build_packet(payload_size_bytes=10), needs_answers=True)
        announcer.announce(build_packet(), needs_answers=False)
        clock.advance(100)
    assert exchange.sent_bytes <= 1.2 * (BURST_BYTES + 60 * BYTES_PER_S)
    assert announcer.withheld_count > 0


def test_sizes_of_the_messages_are_not_underestimated() -> None:
    """Guards against a budget that is kept by the estimates only."""
    largest = 0xFFFF_FFFF
    announcement = FlowAnnouncement(
        largest, 65_535, largest, 65_535, largest, largest, largest, True
    )
    location = FlowLocation(largest, 65_535, largest, 65_535, largest, largest, 60_000)
    assert len(encode_message(announcement)) <= ANNOUNCEMENT_BYTES
    assert len(encode_message(location)) <= LOCATION_BYTES


def test_questions_leave_a_reserve_for_the_end_of_handshakes() -> None:
    """Guards against retries that go on because the budget went to flows that need no answer."""
    announcer, exchange, _ = _build()
    while announcer.announce(build_packet(payload_size_bytes=10), needs_answers=True):
        pass
    assert exchange.sent_bytes <= BURST_BYTES - RESERVED_BYTES
    assert announcer.announce(build_packet(), needs_answers=False)


def test_instances_that_leave_are_awaited_while_their_process_still_runs() -> None:
    """Guards against a wrong token that is followed before the only instance that knows has answered.

    Later on, no packet waits for the answer of a process that has ended.
    """
    announcer, exchange, clock = _build()
    assert len(announcer.announce(build_packet(), needs_answers=False)) == PEERS
    clock.advance(SHUTDOWN_MIN_MS)
    assert len(announcer.announce(build_packet(), needs_answers=False)) == PEERS - 1
    assert len(exchange.sent[0][1]) == PEERS


def test_contested_flow_is_told_to_a_few_instances_that_stay() -> None:
    """Guards against a copy of each contested flow at all instances."""
    announcer, exchange, _ = _build()
    upstream = KnownUpstream(build_upstream("a"), 0)
    for port in range(100):
        announcer.remember(build_packet(port).key, SEQUENCE, upstream, age_ms=0)
    hosts = [found for _, found in exchange.sent]
    assert {len(found) for found in hosts} == {REMEMBERING_INSTANCES}
    assert not any("10.0.1.0" in found for found in hosts)
