"""Monitors the upstreams: expiry of missing ones, checks of unreachable ones, reports to peers."""

import anyio
import anyio.abc

from catkinspread.clock import Clock
from catkinspread.deployment import DeploymentState, SourceHealth
from catkinspread.eventlog import EventLog
from catkinspread.forwarding import Forwarder
from catkinspread.peers import AnsweredSpan, PeerDirectory, PeerExchange, UnreachableReport
from catkinspread.runtime.upstream_checks import UpstreamChecker

# Recipients of the report of an unreachable upstream. Each of them reports it too once its own checks
# fail, so the report reaches all instances in a few steps, whatever their number.
REPORT_RECIPIENTS = 8


class UpstreamMonitor:
    """Ends the use of upstreams that are gone or unreachable.

    Args:
        instance: Name of this instance.
        state: State of the deployment.
        source_health: Tells since when the source has been available.
        forwarder: Tracks the reachability of upstreams and resets their flows.
        directory: Directory of the other instances, which get the reports.
        exchange: Sends the reports.
        events: Log of the upstreams that are gone or unreachable.
        clock: Source of the time for the results of checks.
    """

    __slots__ = (
        "_checker",
        "_directory",
        "_events",
        "_exchange",
        "_forwarder",
        "_instance",
        "_source_health",
        "_state",
    )

    def __init__(
        self,
        instance: str,
        state: DeploymentState,
        source_health: SourceHealth,
        forwarder: Forwarder,
        directory: PeerDirectory,
        exchange: PeerExchange,
        events: EventLog,
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._state = state
        self._source_health = source_health
        self._forwarder = forwarder
        self._directory = directory
        self._exchange = exchange
        self._events = events
        self._checker = UpstreamChecker(forwarder.reachability.record_check, clock)

    async def run_checks(
        self, *, task_status: anyio.abc.TaskStatus = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs the requested checks until cancelled.

        Args:
            task_status: Notified at the start.
        """
        task_status.started()
        await self._checker.run()

    def update(self, now_ms: int) -> None:
        """Requests the checks that are due and resets the flows of unreachable upstreams."""
        for check in self._forwarder.take_due_checks(now_ms):
            self._checker.request(check)
        reachability = self._forwarder.reachability
        for upstream in self._forwarder.reset_flows_of_unreachable(now_ms):
            name = upstream.record.name
            since_ms = reachability.find_unreachable_since_ms(name) or now_ms
            self._events.write(
                "upstream_unreachable", now_ms, name=name, unanswered_ms=now_ms - since_ms
            )
            report = UnreachableReport(self._instance, upstream.token, now_ms - since_ms)
            self._exchange.send_report(
                report, self._directory.choose_random_hosts(REPORT_RECIPIENTS)
            )

    def expire(self, now_ms: int, answered: AnsweredSpan | None) -> None:
        """Resets the flows of upstreams that are gone since the last call.

        Args:
            now_ms: Current time.
            answered: Time in which the source is known to have answered; None if it does not.
        """
        since_ms = self._source_health.available_since_ms
        until_ms = now_ms
        if answered is None:
            since_ms = None
        elif since_ms is not None:
            since_ms = max(since_ms, answered.since_ms)
            until_ms = answered.until_ms
        for upstream in self._state.expire_upstreams(now_ms, since_ms, until_ms):
            self._events.write("upstream_gone", now_ms, name=upstream.record.name)
            self._forwarder.reset_flows_of_gone(upstream, now_ms)

    def apply_report(self, report: UnreachableReport, now_ms: int) -> None:
        """Applies the report of another instance; one about an unknown upstream is ignored."""
        upstream = self._state.find_upstream_by_token(report.token)
        if upstream is not None:
            since_ms = now_ms - report.unanswered_ms
            self._forwarder.record_unreachable_report(upstream, since_ms, now_ms)
