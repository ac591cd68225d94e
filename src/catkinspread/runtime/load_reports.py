"""Reports of in-flight requests to the other instances of the data centre."""

import random

from catkinspread.deployment import DeploymentState, compute_token
from catkinspread.forwarding import LoadTracker
from catkinspread.peers import LoadReport, Member, PeerDirectory

# Minimum interval between reports. The load changes with each request; more frequent reports would
# cost more than they improve placement.
REPORT_INTERVAL_MS = 40
# Interval at which an unchanged report is repeated, so that it does not expire at the other
# instances; must be below `REPORT_TIMEOUT_MS` of `catkinspread.forwarding.load`.
REPEAT_INTERVAL_MS = 200
# Recipients of a report; limits the cost in a large data centre.
RECIPIENTS_MAX = 8


class LoadReporter:
    """Builds the load reports of this instance and applies those of others.

    Args:
        member: This instance.
        state: State of the deployment, to look up upstreams by token.
        loads: Load of the upstreams, from which reports are built and to which they are applied.
        directory: Directory of the other instances.
        rng: Source of random choices.
    """

    __slots__ = (
        "_directory",
        "_last_in_flight",
        "_last_report_at_ms",
        "_loads",
        "_member",
        "_rng",
        "_sequence",
        "_state",
    )

    def __init__(
        self,
        member: Member,
        state: DeploymentState,
        loads: LoadTracker,
        directory: PeerDirectory,
        rng: random.Random,
    ) -> None:
        self._member = member
        self._state = state
        self._loads = loads
        self._directory = directory
        self._rng = rng
        self._sequence = 0
        self._last_in_flight: dict[int, int] = {}
        self._last_report_at_ms = 0

    def build_due_report(self, now_ms: int) -> LoadReport | None:
        """Returns the report that is due; None if none is.

        A returned report counts as sent: the sequence number and the time of the last report
        advance.
        """
        age_ms = now_ms - self._last_report_at_ms
        if age_ms < REPORT_INTERVAL_MS:
            return None
        in_flight = {
            compute_token(name): count for name, count in self._loads.list_in_flight().items()
        }
        if in_flight == self._last_in_flight and (not in_flight or age_ms < REPEAT_INTERVAL_MS):
            return None
        self._sequence += 1
        self._last_in_flight = in_flight
        self._last_report_at_ms = now_ms
        return LoadReport(self._member.name, self._sequence, in_flight)

    def choose_recipients(self) -> list[str]:
        """Returns the addresses that receive a report: all local peers, or a random sample."""
        hosts = [member.host for member in self._directory.list_local_peers()]
        return self._rng.sample(hosts, RECIPIENTS_MAX) if len(hosts) > RECIPIENTS_MAX else hosts

    def apply_report(self, report: LoadReport, now_ms: int) -> None:
        """Applies a report of another instance; unknown upstreams are ignored."""
        in_flight = {}
        for token, count in report.in_flight.items():
            upstream = self._state.find_upstream_by_token(token)
            if upstream is not None:
                in_flight[upstream.record.name] = count
        self._loads.apply_report(report.sender, report.sequence, in_flight, now_ms)
