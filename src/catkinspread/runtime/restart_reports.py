"""Messages about upstreams that may have started again without the source telling it."""

import anyio
import anyio.abc

from catkinspread.clock import Clock
from catkinspread.deployment import DeploymentState, KnownUpstream
from catkinspread.eventlog import EventLog
from catkinspread.forwarding import RestartReport, RestartStage, RestartTracker, UpstreamCheck
from catkinspread.peers import (
    PeerDirectory,
    PeerExchange,
    RestartMessage,
    SharedSource,
    SourceCheckRequest,
)
from catkinspread.runtime.upstream_checks import UpstreamChecker

# Recipients of a message. Each of them tells it further once if it is new to it, so it reaches all
# instances in a few steps, whatever their number.
MESSAGE_RECIPIENTS = 8


class RestartReporter:
    """Connects the tracker of restarts to the source and to the other instances.

    Args:
        instance: Name of this instance.
        state: State of the deployment.
        directory: Directory of the other instances.
        exchange: Sends the messages.
        events: Log of what is found out.
        clock: Source of the time.

    Attributes:
        tracker: Tracks the restarts.
        sent_count: Messages that were sent.
    """

    __slots__ = (
        "_checker",
        "_clock",
        "_directory",
        "_events",
        "_exchange",
        "_instance",
        "_source",
        "_state",
        "_waiting_hosts",
        "sent_count",
        "tracker",
    )

    def __init__(
        self,
        instance: str,
        state: DeploymentState,
        directory: PeerDirectory,
        exchange: PeerExchange,
        events: EventLog,
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._state = state
        self._directory = directory
        self._exchange = exchange
        self._events = events
        self._clock = clock
        self._source: SharedSource | None = None
        self._waiting_hosts: set[str] = set()
        self.sent_count = 0
        self.tracker = RestartTracker(
            state,
            self._has_source_answered,
            self._request_source_check,
            self._tell,
            self._request_connection_check,
        )
        self._checker = UpstreamChecker(self.tracker.record_connection_check, clock)

    async def run_checks(
        self, *, task_status: anyio.abc.TaskStatus = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs the requested connection checks until cancelled.

        Args:
            task_status: Notified at the start.
        """
        task_status.started()
        await self._checker.run()

    def set_source(self, source: SharedSource) -> None:
        """Sets the source that the state is read from, which is opened later."""
        self._source = source

    def request_source_check(self, host: str) -> None:
        """Handles the request of another instance.

        Args:
            host: Its address, which gets the status of this instance once the source has answered.
        """
        if self._source is not None:
            self._waiting_hosts.add(host)
            self._source.request_check()

    def tell_source_answer(self) -> None:
        """Sends the status to the instances that have asked whether the source answers."""
        self._exchange.send_status(sorted(self._waiting_hosts))
        self._waiting_hosts.clear()

    def apply_message(self, message: RestartMessage, now_ms: int) -> None:
        """Applies the message of another instance; one about an unknown upstream is ignored."""
        upstream = self._state.find_upstream_by_token(message.token)
        if upstream is None:
            return
        remaining_ms = message.cold_remaining_ms
        limits = self._state.find_service_limits(upstream.record.service)
        report = RestartReport(
            upstream,
            RestartStage(message.stage),
            now_ms - message.silent_ms,
            now_ms + min(remaining_ms, limits.cold_start_ms) if remaining_ms else 0,
        )
        self.tracker.apply_report(report, now_ms)

    def _has_source_answered(self, since_ms: int) -> bool:
        return self._source is not None and self._source.has_answered_since(since_ms)

    def _request_source_check(self) -> None:
        if self._source is None:
            return
        feeder = self._source.get_feeder()
        if feeder is None:
            self._source.request_check()
        else:
            self._exchange.send_report(SourceCheckRequest(self._instance), [feeder.host])

    def _request_connection_check(self, upstream: KnownUpstream) -> None:
        for control in self._state.list_eligible_upstreams(upstream.record.service):
            if control is not upstream:
                self._checker.request(UpstreamCheck(upstream, control))
                return

    def _tell(self, report: RestartReport) -> None:
        now_ms = self._clock.now_ms()
        message = RestartMessage(
            report.upstream.token,
            report.stage,
            max(0, now_ms - report.silent_since_ms),
            max(0, report.cold_until_ms - now_ms),
        )
        hosts = self._directory.choose_random_hosts(MESSAGE_RECIPIENTS)
        self.sent_count += len(hosts)
        self._events.write(
            "restart_suspected",
            now_ms,
            name=report.upstream.name,
            stage=report.stage.name.lower(),
            silent_ms=message.silent_ms,
            cold_ms=message.cold_remaining_ms,
        )
        self._exchange.send_report(message, hosts)
