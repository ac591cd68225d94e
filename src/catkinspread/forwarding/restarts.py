"""Upstreams that may have started again without the source telling it.

An upstream that starts again under its name is cold and says so in its record. While the source does
not answer, nobody can read that record. All that an instance sees is that opening packets were not
answered for some time and that later ones are. A lost packet, an overload or a pause of the upstream
and a restart look alike, and a restarted upstream bears few flows.

An upstream that left an opening packet unanswered is silent until one of these tells more:

* The source has answered since. Then the record tells a restart, and nothing is assumed.
* It answers on a flow that it held before, here or at another instance. Then its process still runs.
* It accepts a connection at once. Then it is busy, or the packet was lost: a process that has ended
  refuses connections until its successor starts.
* It answers a later opening packet, and the source has not answered since. Then it counts as cold for
  the time that its service takes to warm up.

A silent upstream that the source cannot tell about gets new flows only at the rate of a cold one. All
instances together must keep that rate, also those that sent nothing to the upstream meanwhile, so what
is found is told to the others.
"""

import collections
import enum
from collections.abc import Callable

import msgspec

from catkinspread.deployment import DeploymentState, KnownUpstream
from catkinspread.forwarding.flows import Flow
from catkinspread.forwarding.packets import CallerPacket
from catkinspread.forwarding.upstream_answers import (
    ProcessSpan,
    UpstreamAnswers,
    compute_answered_at_ms,
)

# Time for which the answer of the source is awaited before the others are told of a silence. Within it
# a feeder asks the source and tells its status.
SOURCE_ANSWER_WAIT_MS = 150
# Two messages about one silence may differ by this time, since they were under way.
MESSAGE_DELAY_MAX_MS = 20
# Share of the upstreams of a service that may be silent or taken for cold. If there are more, the
# service is overloaded or the links are bad, and limiting them all would refuse most flows.
SUSPECTED_SHARE_MAX = 0.5
# Silences of an upstream of which the end is kept. Each instance may notice one of its own.
SETTLED_KEPT = 8
# Upstreams whose answers are kept before any are dropped.
FORGET_COUNT_MIN = 64
# Rate of the flows that find out whether a silent upstream answers, where the service allows none to a
# cold one, in flows/s over all instances.
PROBE_RATE_MIN_PER_S = 1.0


class RestartStage(enum.IntEnum):
    """What an instance has found out about an upstream."""

    # It does not answer, and the source cannot tell why.
    SILENT = 0
    # It answers again, and may have started again.
    ANSWERED = 1
    # Its process has run all the time.
    RUNNING = 2


class RestartReport(msgspec.Struct, frozen=True):
    """What an instance tells others about an upstream.

    Attributes:
        upstream: The upstream.
        stage: What was found out.
        silent_since_ms: When the first packet was sent that it did not answer.
        cold_until_ms: Until when it counts as cold; 0 unless it answers again.
    """

    upstream: KnownUpstream
    stage: RestartStage
    silent_since_ms: int
    cold_until_ms: int = 0


class _SettledSilence(msgspec.Struct, frozen=True):
    """A silence of an upstream of which the end is known.

    Attributes:
        since_ms: When it began.
        is_running: Whether the process ran when it began, and at its end; it may have started again
            otherwise.
    """

    since_ms: int
    is_running: bool

    def is_same(self, since_ms: int) -> bool:
        """Whether a message about a silence since a time is about this one."""
        return abs(since_ms - self.since_ms) <= MESSAGE_DELAY_MAX_MS

    def covers(self, since_ms: int) -> bool:
        """Whether a silence since a time needs no further attention.

        A process that ran at one time may have started again after an earlier silence.
        """
        if self.is_running:
            return self.is_same(since_ms)
        return since_ms <= self.since_ms + MESSAGE_DELAY_MAX_MS


class _Silence:
    """Silence of an upstream.

    Attributes:
        upstream: The upstream.
        since_ms: When the first packet was sent that it did not answer.
        last_sent_at_ms: When the last one was sent.
        noticed_at_ms: When this instance learned of it.
        is_told: Whether the others know of it.
        checked_since_ms: When it began, as far as was known when a connection was tried; None if none
            was.
    """

    __slots__ = (
        "checked_since_ms",
        "is_told",
        "last_sent_at_ms",
        "noticed_at_ms",
        "since_ms",
        "upstream",
    )

    def __init__(
        self, upstream: KnownUpstream, since_ms: int, noticed_at_ms: int, is_told: bool
    ) -> None:
        self.upstream = upstream
        self.since_ms = since_ms
        self.last_sent_at_ms = since_ms
        self.noticed_at_ms = noticed_at_ms
        self.is_told = is_told
        self.checked_since_ms: int | None = None


class RestartTracker:
    """Tracks which upstreams may have started again. Times are in ms on one clock.

    Args:
        state: State of the deployment.
        has_source_answered: Returns whether the source is known to have answered at a time or later.
        request_source_check: Asks the source for an answer soon, directly or through the feeder.
        request_connection_check: Checks whether an upstream accepts a connection; the result is passed
            to `record_connection_check`.
        tell: Tells other instances what was found out.
    """

    __slots__ = (
        "_answers",
        "_cold_until_ms",
        "_forget_at_count",
        "_has_source_answered",
        "_request_connection_check",
        "_request_source_check",
        "_settled",
        "_silences",
        "_state",
        "_tell",
    )

    def __init__(
        self,
        state: DeploymentState,
        has_source_answered: Callable[[int], bool] = lambda since_ms: True,
        request_source_check: Callable[[], None] = lambda: None,
        tell: Callable[[RestartReport], None] = lambda report: None,
        request_connection_check: Callable[[KnownUpstream], None] = lambda upstream: None,
    ) -> None:
        self._state = state
        self._has_source_answered = has_source_answered
        self._request_source_check = request_source_check
        self._tell = tell
        self._request_connection_check = request_connection_check
        self._silences: dict[str, _Silence] = {}
        self._answers: dict[str, UpstreamAnswers] = collections.defaultdict(UpstreamAnswers)
        # Number of upstreams with answers at which those of unknown ones are dropped.
        self._forget_at_count = FORGET_COUNT_MIN
        # By name of the upstream. Messages about these silences may still be under way.
        self._settled: dict[str, collections.deque[_SettledSilence]] = collections.defaultdict(
            lambda: collections.deque(maxlen=SETTLED_KEPT)
        )
        # Until when upstreams count as cold because they may have started again, by name.
        self._cold_until_ms: dict[str, int] = {}

    @property
    def has_silences(self) -> bool:
        """Whether any upstream is silent, also if the source has answered since."""
        return bool(self._silences)

    def list_warm(self, upstreams: list[KnownUpstream], now_ms: int) -> list[KnownUpstream]:
        """Returns those of some upstreams that are not cold."""
        if not self._cold_until_ms:
            return [upstream for upstream in upstreams if now_ms >= upstream.cold_until_ms]
        return [upstream for upstream in upstreams if not self.is_cold(upstream, now_ms)]

    def is_cold(self, upstream: KnownUpstream, now_ms: int) -> bool:
        """Whether an upstream is cold, as its record says or because it may have started again."""
        if now_ms < upstream.cold_until_ms:
            return True
        assumed_until_ms = self._cold_until_ms.get(upstream.name, 0)
        return now_ms < assumed_until_ms and not self._are_most_suspected(upstream.record.service)

    def is_silent(self, upstream: KnownUpstream) -> bool:
        """Whether an upstream gets new flows only at the rate of a cold one, to see if it answers."""
        silence = self._silences.get(upstream.name)
        if silence is None or self._has_source_answered(silence.since_ms):
            return False
        return not self._are_most_suspected(upstream.record.service)

    def get_probe_rate_per_s(self, upstream: KnownUpstream) -> float:
        """Returns the rate of new flows to a silent upstream, in flows/s over all instances."""
        limits = self._state.find_service_limits(upstream.record.service)
        return max(PROBE_RATE_MIN_PER_S, limits.cold_rate_per_s)

    def record_unanswered(self, upstream: KnownUpstream, sent_at_ms: int, now_ms: int) -> None:
        """Records that an opening packet was not answered in time."""
        name = upstream.name
        answers = self._answers[name]
        if answers.is_continuous_at(sent_at_ms) or answers.is_running_at(sent_at_ms):
            return
        silence = self._silences.get(name)
        if silence is not None:
            silence.last_sent_at_ms = max(silence.last_sent_at_ms, sent_at_ms)
            return
        silence = self._silences[name] = _Silence(upstream, sent_at_ms, now_ms, is_told=False)
        if not self._has_source_answered(sent_at_ms):
            silence.checked_since_ms = sent_at_ms
            self._request_source_check()
            self._request_connection_check(upstream)

    def record_connection_check(self, name: str, is_accepted: bool | None, now_ms: int) -> None:
        """Records the result of a connection check.

        It tells nothing about a silence that had begun earlier at another instance.

        Args:
            name: Name of the upstream.
            is_accepted: Whether the upstream accepted the connection; None if that is not known.
            now_ms: Current time.
        """
        silence = self._silences.get(name)
        if silence is not None and is_accepted and silence.checked_since_ms == silence.since_ms:
            self._end_silence(silence, now_ms)

    def record_opened(self, upstream: KnownUpstream, sent_at_ms: int, now_ms: int) -> None:
        """Records that an opening packet was answered.

        Args:
            upstream: The upstream.
            sent_at_ms: When the packet was sent.
            now_ms: Current time.
        """
        answers = self._answers[upstream.name]
        answers.record_opened(sent_at_ms)
        silence = self._silences.get(upstream.name)
        if silence is None or sent_at_ms < silence.since_ms:
            return
        if sent_at_ms == silence.since_ms or answers.is_continuous_at(silence.since_ms):
            # The packet was lost, or its own answer was late.
            self._end_silence(silence, sent_at_ms)
        else:
            self._record_answered_again(silence, now_ms)

    def record_answer(self, flow: Flow, packet: CallerPacket, latency_ms: int, now_ms: int) -> None:
        """Records that a caller acknowledged the answer to a request.

        Args:
            flow: The flow, before the answer is recorded there.
            packet: Packet of the caller.
            latency_ms: Longest usual time from the upstream by the caller to this instance.
            now_ms: Current time.
        """
        name = flow.upstream.name
        until_ms = compute_answered_at_ms(flow, packet, latency_ms, now_ms)
        self._answers[name].spans.append(ProcessSpan(flow.created_at_ms, until_ms))
        silence = self._silences.get(name)
        if silence is not None and flow.created_at_ms < silence.since_ms < until_ms:
            self._end_silence(silence, until_ms)
        if name not in self._cold_until_ms:
            return
        for settled in list(self._settled[name]):
            at_ms = settled.since_ms - MESSAGE_DELAY_MAX_MS
            if not settled.is_running and flow.created_at_ms < at_ms < until_ms:
                self._record_running(flow.upstream, settled.since_ms)

    def apply_report(self, report: RestartReport, now_ms: int) -> None:
        """Applies what another instance has found out, and tells it further if it is new here."""
        name, since_ms = report.upstream.name, report.silent_since_ms
        if report.stage is RestartStage.RUNNING:
            self._apply_running(report)
            return
        if any(settled.covers(since_ms) for settled in self._settled[name]):
            return
        if self._answers[name].is_running_at(since_ms, MESSAGE_DELAY_MAX_MS):
            self._record_running(report.upstream, since_ms)
        elif self._has_source_answered(since_ms):
            return
        elif report.stage is RestartStage.SILENT:
            self._apply_silence(report, now_ms)
        else:
            self._settled[name].append(_SettledSilence(since_ms, is_running=False))
            self._silences.pop(name, None)
            self._cold_until_ms[name] = report.cold_until_ms
            self._tell(report)

    def update(self, now_ms: int) -> None:
        """Tells the others of silences that the source has not explained, and drops the rest."""
        for name, silence in list(self._silences.items()):
            if self._state.find_upstream(name) is not silence.upstream:
                del self._silences[name]
            elif self._has_source_answered(silence.since_ms):
                # The record tells a restart from now on.
                if now_ms - silence.noticed_at_ms >= SOURCE_ANSWER_WAIT_MS:
                    del self._silences[name]
            elif not silence.is_told and now_ms - silence.noticed_at_ms >= SOURCE_ANSWER_WAIT_MS:
                silence.is_told = True
                self._tell(RestartReport(silence.upstream, RestartStage.SILENT, silence.since_ms))
        for name, cold_until_ms in list(self._cold_until_ms.items()):
            if now_ms >= cold_until_ms:
                del self._cold_until_ms[name]
        if len(self._answers) > self._forget_at_count:
            self._forget_unknown()

    def _forget_unknown(self) -> None:
        """Drops the data about upstreams that the state no longer knows."""
        for name in list(self._answers):
            if self._state.find_upstream(name) is None:
                del self._answers[name]
                self._settled.pop(name, None)
        self._forget_at_count = 2 * len(self._answers) + FORGET_COUNT_MIN

    def _are_most_suspected(self, service: str) -> bool:
        """Whether more upstreams of a service are silent or taken for cold than can have restarted."""
        eligible = self._state.list_eligible_upstreams(service)
        suspected = sum(
            upstream.name in self._silences or upstream.name in self._cold_until_ms
            for upstream in eligible
        )
        return suspected > max(1, SUSPECTED_SHARE_MAX * len(eligible))

    def _record_answered_again(self, silence: _Silence, now_ms: int) -> None:
        """Handles the first answer after a silence."""
        upstream = silence.upstream
        del self._silences[upstream.name]
        if self._has_source_answered(silence.since_ms):
            return
        limits = self._state.find_service_limits(upstream.record.service)
        cold_until_ms = now_ms + limits.cold_start_ms
        self._settled[upstream.name].append(_SettledSilence(silence.since_ms, is_running=False))
        self._cold_until_ms[upstream.name] = cold_until_ms
        self._tell(RestartReport(upstream, RestartStage.ANSWERED, silence.since_ms, cold_until_ms))

    def _end_silence(self, silence: _Silence, running_until_ms: int) -> None:
        """Handles that the process ran during a silence, until a given time at least."""
        name = silence.upstream.name
        del self._silences[name]
        self._settled[name].append(_SettledSilence(silence.since_ms, is_running=True))
        if silence.is_told:
            self._tell(RestartReport(silence.upstream, RestartStage.RUNNING, silence.since_ms))
        if silence.last_sent_at_ms > running_until_ms:
            since_ms = silence.last_sent_at_ms
            self._silences[name] = _Silence(silence.upstream, since_ms, since_ms, is_told=False)

    def _record_running(self, upstream: KnownUpstream, since_ms: int) -> None:
        """Ends what is assumed because of a silence during which the process ran."""
        name = upstream.name
        silence = self._silences.get(name)
        if silence is not None and abs(silence.since_ms - since_ms) <= MESSAGE_DELAY_MAX_MS:
            del self._silences[name]
        settled = self._settled[name]
        for earlier in [found for found in settled if found.is_same(since_ms)]:
            settled.remove(earlier)
            if not earlier.is_running:
                self._cold_until_ms.pop(name, None)
        settled.append(_SettledSilence(since_ms, is_running=True))
        self._tell(RestartReport(upstream, RestartStage.RUNNING, since_ms))

    def _apply_running(self, report: RestartReport) -> None:
        """Applies that the process ran; a message that is not about a known silence is ignored."""
        name, since_ms = report.upstream.name, report.silent_since_ms
        same = [settled for settled in self._settled[name] if settled.is_same(since_ms)]
        if any(settled.is_running for settled in same):
            return
        silence = self._silences.get(name)
        is_silence = silence is not None and (
            abs(silence.since_ms - since_ms) <= MESSAGE_DELAY_MAX_MS
        )
        if same or is_silence:
            self._record_running(report.upstream, since_ms)

    def _apply_silence(self, report: RestartReport, now_ms: int) -> None:
        name = report.upstream.name
        silence = self._silences.get(name)
        if silence is None:
            since_ms = report.silent_since_ms
            self._silences[name] = _Silence(report.upstream, since_ms, now_ms, is_told=True)
            self._tell(report)
            return
        silence.since_ms = min(silence.since_ms, report.silent_since_ms)
        silence.is_told = True
