"""Messages about upstreams that may have started again."""

import random

import anyio
import pytest

from catkinspread.clock import ManualClock
from catkinspread.deployment import KnownUpstream, SourcePosition, StateChanges, StateKind
from catkinspread.eventlog import EventLog
from catkinspread.forwarding import RestartStage
from catkinspread.forwarding.tests.builders import ForwarderHarness, build_upstream
from catkinspread.peers import (
    Hello,
    Member,
    MemberStatus,
    PeerDirectory,
    RestartMessage,
    SourceCheckRequest,
)
from catkinspread.peers.messages import PeerMessage
from catkinspread.peers.shared_source import SOURCE_PROBE_KIND
from catkinspread.peers.tests.test_shared_source import (
    NullSink,
    ScriptedSource,
    SharedSourceHarness,
)
from catkinspread.runtime.restart_reports import MESSAGE_RECIPIENTS, RestartReporter

START_MS = 1_000_000
SILENT_MS = 700
FEEDER = Member("other", "east", "10.0.0.2", 1)


class _RecordingExchange:
    def __init__(self) -> None:
        self.sent: list[tuple[PeerMessage, list[str]]] = []
        self.status_hosts: list[str] = []

    def send_status(self, hosts: list[str]) -> None:
        self.status_hosts.extend(hosts)

    def send_report(self, report: PeerMessage, hosts: list[str]) -> None:
        self.sent.append((report, hosts))


class _Reporting:
    """A reporter of an instance that knows 20 others and one upstream."""

    def __init__(self) -> None:
        self.reading = SharedSourceHarness(ScriptedSource(90), ScriptedSource(90))
        self.state = ForwarderHarness(build_upstream("a")).state
        self.exchange = _RecordingExchange()
        directory = PeerDirectory(Member("one", "east", "10.0.0.1", 1), random.Random(1))
        for number in range(20):
            member = Member(f"n-{number}", "east", f"10.0.1.{number}", 1)
            directory.apply_message(Hello(MemberStatus(member, None, True, False, 0), 0), START_MS)
        self.clock = ManualClock(START_MS)
        self.reporter = RestartReporter(
            "one",
            self.state,
            directory,
            self.exchange,  # type: ignore[arg-type]
            EventLog("one", NullSink(), self.clock),
            self.clock,
        )
        self.reporter.set_source(self.reading.shared)

    @property
    def upstream(self) -> KnownUpstream:
        return self.state.list_upstreams()[0]


def test_follower_asks_its_feeder_whether_the_source_answers() -> None:
    """Guards against a lost packet that is taken for a restart because the status is older."""
    reporting = _Reporting()
    reporting.reading.shared._feeder = FEEDER
    reporting.reporter.tracker.record_unanswered(reporting.upstream, START_MS, START_MS)
    assert reporting.exchange.sent == [(SourceCheckRequest("one"), [FEEDER.host])]


def test_instance_that_reads_the_source_asks_it_once_for_many_requests() -> None:
    """Guards against a call to the source for each lost packet of each follower."""
    reporting = _Reporting()
    reading = reporting.reading
    reading.cache.put_listing(SOURCE_PROBE_KIND, StateChanges((), 90), START_MS)
    waits_ms = []

    async def wait_for_changes(
        kind: StateKind, position: SourcePosition, timeout_ms: int
    ) -> StateChanges:
        waits_ms.append(timeout_ms)
        return StateChanges((), 90)

    reading.shared._source.wait_for_changes = wait_for_changes

    async def check() -> None:
        async with anyio.create_task_group() as group:
            on_answer = reporting.reporter.tell_source_answer
            group.start_soon(reading.shared.run_checks, on_answer)
            for number in range(10):
                reporting.reporter.request_source_check(f"10.0.0.{number}")
            await anyio.wait_all_tasks_blocked()
            group.cancel_scope.cancel()

    anyio.run(check)
    assert waits_ms == [0]
    assert len(reporting.exchange.status_hosts) == 10
    assert reading.shared.has_answered_since(reading.clock.now_ms())


def _play(stage: RestartStage) -> RestartMessage:
    """Returns what an instance tells that has found out a stage."""
    reporting = _Reporting()
    tracker = reporting.reporter.tracker
    tracker.record_unanswered(reporting.upstream, START_MS, START_MS)
    now_ms = reporting.clock.advance(SILENT_MS)
    tracker.update(now_ms)
    if stage is not RestartStage.SILENT:
        sent_at_ms = now_ms if stage is RestartStage.ANSWERED else START_MS
        tracker.record_opened(reporting.upstream, sent_at_ms, now_ms)
    message, hosts = reporting.exchange.sent[-1]
    assert isinstance(message, RestartMessage)
    assert (message.stage, message.silent_ms, len(hosts)) == (stage, SILENT_MS, MESSAGE_RECIPIENTS)
    return message


@pytest.mark.parametrize("stage", RestartStage)
def test_message_reaches_the_tracker_of_another_instance(stage: RestartStage) -> None:
    """Guards against a restart that only the instance that noticed it acts on."""
    receiving = _Reporting()
    tracker, upstream = receiving.reporter.tracker, receiving.upstream
    if stage is RestartStage.RUNNING:
        receiving.reporter.apply_message(_play(RestartStage.ANSWERED), START_MS)
    receiving.reporter.apply_message(_play(stage), START_MS)
    assert tracker.is_silent(upstream) == (stage is RestartStage.SILENT)
    assert tracker.is_cold(upstream, START_MS) == (stage is RestartStage.ANSWERED)


def test_message_about_an_unknown_upstream_or_with_a_long_time_is_bounded() -> None:
    """Guards against a wrong message that keeps upstreams out of use."""
    reporting = _Reporting()
    reporting.reporter.apply_message(RestartMessage(12345, 1, 0, 2_000), START_MS)
    message = RestartMessage(reporting.upstream.token, 1, 0, 1 << 40)
    reporting.reporter.apply_message(message, START_MS)
    limits = reporting.state.find_service_limits(reporting.upstream.record.service)
    tracker = reporting.reporter.tracker
    assert tracker.is_cold(reporting.upstream, START_MS)
    assert not tracker.is_cold(reporting.upstream, START_MS + limits.cold_start_ms)
