"""Builds and connects the parts of admission control of one instance."""

import random
from collections.abc import Callable

from catkinspread.admission import (
    AdmissionController,
    AdmissionMode,
    AdmissionSettings,
    DemandMeter,
    OwnSummaryBuilder,
    RoomEstimator,
    RoomSummary,
    SummaryTable,
    UpstreamCapacity,
    WorkEstimator,
    has_many_recent_starts,
)
from catkinspread.admission.demand_trend import UPDATE_INTERVAL_MS
from catkinspread.deployment import DeploymentState, RoutingConfiguration
from catkinspread.eventlog import EventLog
from catkinspread.forwarding import LoadTracker
from catkinspread.forwarding.admission_policy import AdmissionPolicy, AdmitAll
from catkinspread.peers import Member, PeerDirectory
from catkinspread.runtime.admission_log import log_admission_change
from catkinspread.runtime.admission_metrics import list_admission_metrics
from catkinspread.runtime.metrics import LabelledMetric
from catkinspread.runtime.periodic_tasks import PeriodicTasks
from catkinspread.runtime.room_reports import RoomReporter

EXPIRY_INTERVAL_MS = 500


class AdmissionParts:
    """Demand, room and admission of an instance.

    Args:
        member: This instance.
        settings: Mode and margins.
        state: State of the deployment.
        loads: Load of the upstreams.
        directory: Directory of the other instances.
        events: Log of the changes of admission.
        rng: Source of random choices.

    Attributes:
        controller: Decides which new flows are admitted.
        estimator: Tells the room of services.
    """

    __slots__ = (
        "_configuration",
        "_data_centre",
        "_events",
        "_is_enabled",
        "_meter",
        "_reporter",
        "_state",
        "_summaries",
        "controller",
        "estimator",
    )

    def __init__(
        self,
        member: Member,
        settings: AdmissionSettings,
        state: DeploymentState,
        loads: LoadTracker,
        directory: PeerDirectory,
        events: EventLog,
        rng: random.Random,
    ) -> None:
        self._is_enabled = settings.mode is not AdmissionMode.OFF
        self._state = state
        self._events = events
        self._data_centre = member.data_centre
        # The configuration whose routes the controller has.
        self._configuration: RoutingConfiguration | None = None
        capacity = UpstreamCapacity(state, loads)
        work = WorkEstimator()
        self._meter = DemandMeter(work)
        own_summary = OwnSummaryBuilder(
            member.name, member.data_centre, state, loads, capacity, self._meter
        )
        self._summaries = SummaryTable(member.name, member.data_centre, capacity.find_requests_max)
        self.estimator = RoomEstimator(
            member.data_centre,
            capacity,
            own_summary,
            self._summaries,
            lambda: 1 + len(directory.list_local_peers()),
            lambda now_ms: has_many_recent_starts(
                member.started_ms,
                [peer.started_ms for peer in directory.list_local_peers()],
                now_ms,
            ),
        )
        self.controller = AdmissionController(self.estimator, settings, self._meter, work)
        self._reporter = RoomReporter(
            own_summary,
            self._summaries,
            self.estimator,
            work,
            self.controller,
            directory,
            rng,
        )

    def add_tasks(
        self, tasks: PeriodicTasks, send: Callable[[RoomSummary, list[str]], None]
    ) -> None:
        """Adds the periodic tasks; none if the settings switch admission control off.

        Args:
            tasks: Runs them.
            send: Sends a summary to the addresses of other instances.
        """

        def send_due_reports(now_ms: int) -> None:
            for report in self._reporter.build_due_reports(now_ms):
                send(report.summary, report.hosts)

        if not self._is_enabled:
            return
        tasks.add("admission", self.update, UPDATE_INTERVAL_MS)
        tasks.add("room_reports", send_due_reports)
        tasks.add("room_expiry", self._summaries.expire, EXPIRY_INTERVAL_MS)

    @property
    def policy(self) -> AdmissionPolicy:
        """Decides about new flows for the forwarding, which asks it for each of them."""
        return self.controller if self._is_enabled else AdmitAll()

    def update(self, now_ms: int) -> None:
        """Computes the admission of all services anew and logs its changes."""
        configuration = self._state.configuration
        if configuration is not None and configuration is not self._configuration:
            self._configuration = configuration
            self.controller.replace_routes(configuration.routes)
        for change in self.controller.update(now_ms):
            shares = self._list_shares(change.service)
            log_admission_change(self._events, change, shares, now_ms)

    def apply_summary(self, summary: RoomSummary, now_ms: int) -> None:
        """Applies a summary of another instance; one that cannot be true changes nothing."""
        self._reporter.apply_summary(summary, now_ms)

    def read_counts(self) -> dict[str, int]:
        """Returns the number of received summaries by what became of them."""
        return {
            f"room_summary_{result.value}": count
            for result, count in self._summaries.counts.items()
        }

    def list_metrics(self, now_ms: int) -> list[LabelledMetric]:
        """Returns the metrics of room, demand and admission."""
        return list_admission_metrics(
            self.controller, self.estimator, self._meter, self._data_centre, now_ms
        )

    def _list_shares(self, service: str) -> dict[str, float]:
        """Returns the admitted share by route of a service."""
        routes = self._configuration.routes if self._configuration else ()
        names = {
            route.name
            for route in routes
            if any(share.service == service for share in route.shares)
        }
        return {
            found.route: found.share
            for found in self.controller.list_routes()
            if found.route in names
        }
