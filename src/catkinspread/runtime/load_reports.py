"""Tells the other instances of the data centre which requests are in flight here."""

import random

from catkinspread.deployment import DeploymentState, compute_token
from catkinspread.forwarding import LoadBook
from catkinspread.peers import LoadReport, Member, PeerDirectory

# Load changes with each request; reports more often than this cost more than they help.
INTERVAL_MS = 40
# A report without news is repeated before the others drop it.
REPEAT_MS = 200
# Instances that get one report; bounds the cost in a large data centre.
FAN_OUT = 8


class LoadReporter:
    """Composes reports and applies those of others.

    Args:
        member: The instance itself.
        state: The deployment, to find upstreams by token.
        loads: The load that is reported and completed.
        directory: Knows the other instances.
        rng: Source of random choices.
    """

    __slots__ = (
        "_directory",
        "_loads",
        "_member",
        "_reported",
        "_reported_at_ms",
        "_rng",
        "_sequence",
        "_state",
    )

    def __init__(
        self,
        member: Member,
        state: DeploymentState,
        loads: LoadBook,
        directory: PeerDirectory,
        rng: random.Random,
    ) -> None:
        self._member = member
        self._state = state
        self._loads = loads
        self._directory = directory
        self._rng = rng
        self._sequence = 0
        self._reported: dict[int, int] = {}
        self._reported_at_ms = 0

    def compose(self, now_ms: int) -> LoadReport | None:
        """Returns the report that is due; None if there is nothing to tell."""
        age_ms = now_ms - self._reported_at_ms
        if age_ms < INTERVAL_MS:
            return None
        in_flight = {
            compute_token(name): count for name, count in self._loads.list_in_flight().items()
        }
        if in_flight == self._reported and (not in_flight or age_ms < REPEAT_MS):
            return None
        self._sequence += 1
        self._reported = in_flight
        self._reported_at_ms = now_ms
        return LoadReport(self._member.name, self._sequence, in_flight)

    def choose_hosts(self) -> list[str]:
        """Returns the addresses that get a report."""
        hosts = [member.host for member in self._directory.list_local_peers()]
        return self._rng.sample(hosts, FAN_OUT) if len(hosts) > FAN_OUT else hosts

    def take(self, report: LoadReport, now_ms: int) -> None:
        """Applies a report of another instance."""
        in_flight = {}
        for token, count in report.in_flight.items():
            upstream = self._state.find_by_token(token)
            if upstream is not None:
                in_flight[upstream.record.name] = count
        self._loads.take_report(report.sender, report.sequence, in_flight, now_ms)
