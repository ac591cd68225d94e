"""Summaries of demand and load for the other instances.

The summary of this instance goes to two random instances of its data centre; in a large one, one of
them gets a partial sum instead, see `catkinspread.admission.summaries`. The sum over the data
centre goes to one random instance of each other data centre. The cost does not grow with the number
of instances.
"""

import random
from collections.abc import Iterable
from typing import Protocol

import msgspec

from catkinspread.admission import RoomSummary
from catkinspread.admission.own_summary import OwnSummaryBuilder
from catkinspread.admission.room import RoomEstimator
from catkinspread.admission.service_level import BUSY_OCCUPANCY
from catkinspread.admission.summaries import PARTIAL_SUMS_MIN, SummaryTable, shorten_numbers
from catkinspread.admission.work import WorkEstimator
from catkinspread.peers import PeerDirectory, encode_message

# Interval between summaries while a service has more requests than work slots, and otherwise.
BUSY_INTERVAL_MS = 250
IDLE_INTERVAL_MS = 1_000
# Instances of the own data centre that receive the summary.
LOCAL_RECIPIENTS = 2
# Bytes per second that the summaries may cost. Larger ones are sent less often, but at least once
# in IDLE_INTERVAL_MS, because they expire after 3 s. With four data centres the limit holds up to
# 400 bytes for a message; 12 routes of 6 services take 340.
BYTES_PER_S_MAX = 2_000
_MS_PER_S = 1_000


class DueReport(msgspec.Struct, frozen=True):
    """A summary and where it goes.

    Attributes:
        summary: The summary.
        hosts: Addresses of the recipients; at least one.
    """

    summary: RoomSummary
    hosts: list[str]


class LimitExchange(Protocol):
    """Services that this instance and others limit; the controller implements it."""

    def list_limited_services(self) -> tuple[str, ...]:
        """Returns the services that this instance limits."""

    def record_remote_limits(self, services: Iterable[str], now_ms: int) -> None:
        """Records which services another instance limits."""


class RoomReporter:
    """Builds the summaries that this instance sends.

    Args:
        own_summary: Builds the summary of this instance.
        summaries: Summaries of the other instances.
        estimator: Tells the occupancy of services.
        work: Learns the work that other instances tell.
        limits: Tells and learns which services are limited.
        directory: Directory of the other instances.
        rng: Source of random choices.
    """

    __slots__ = (
        "_checked_at_ms",
        "_directory",
        "_estimator",
        "_interval_min_ms",
        "_last_report_at_ms",
        "_limits",
        "_own_summary",
        "_rng",
        "_sequence",
        "_summaries",
        "_work",
    )

    def __init__(
        self,
        own_summary: OwnSummaryBuilder,
        summaries: SummaryTable,
        estimator: RoomEstimator,
        work: WorkEstimator,
        limits: LimitExchange,
        directory: PeerDirectory,
        rng: random.Random,
    ) -> None:
        self._own_summary = own_summary
        self._summaries = summaries
        self._estimator = estimator
        self._work = work
        self._limits = limits
        self._directory = directory
        self._rng = rng
        self._sequence = 0
        self._last_report_at_ms = 0
        # When the occupancy was last looked at, which visits all upstreams.
        self._checked_at_ms = 0
        self._interval_min_ms = BUSY_INTERVAL_MS

    def build_due_reports(self, now_ms: int) -> list[DueReport]:
        """Returns the reports that are due; empty if none is.

        Returned reports count as sent: the sequence number and the time of the last report advance.
        """
        age_ms = now_ms - self._last_report_at_ms
        if age_ms < self._interval_min_ms:
            return []
        if age_ms < IDLE_INTERVAL_MS:
            if now_ms - self._checked_at_ms < BUSY_INTERVAL_MS:
                return []
            self._checked_at_ms = now_ms
            if not self._is_any_service_busy(now_ms):
                return []
        self._sequence += 1
        self._last_report_at_ms = now_ms
        reports = self._build_reports(now_ms)
        size_bytes = sum(
            len(encode_message(report.summary)) * len(report.hosts) for report in reports
        )
        interval_ms = size_bytes * _MS_PER_S // BYTES_PER_S_MAX
        self._interval_min_ms = max(BUSY_INTERVAL_MS, min(IDLE_INTERVAL_MS, interval_ms))
        return reports

    def apply_summary(self, summary: RoomSummary, now_ms: int) -> None:
        """Applies a summary of another instance."""
        if self._summaries.apply(summary, now_ms):
            for demand in summary.demands:
                self._work.record_told(demand.route, demand.work_ms)
            self._limits.record_remote_limits(summary.limited_services, now_ms)

    def _build_reports(self, now_ms: int) -> list[DueReport]:
        own = self._own_summary.build(self._sequence, now_ms)
        local_peers = self._directory.list_local_peers()
        reports = []
        if local_peers:
            chosen = self._rng.sample(local_peers, min(LOCAL_RECIPIENTS, len(local_peers)))
            hosts = [peer.host for peer in chosen]
            if len(local_peers) >= PARTIAL_SUMS_MIN:
                partial_sum = self._summaries.build_partial_sum(own, now_ms)
                reports.append(DueReport(self._prepare(partial_sum), [hosts.pop()]))
            reports.append(DueReport(self._prepare(own), hosts))
        remote_hosts = self._choose_remote_hosts()
        if remote_hosts:
            aggregate = self._summaries.build_aggregate(own, len(local_peers) + 1, now_ms)
            reports.append(DueReport(self._prepare(aggregate), remote_hosts))
        return reports

    def _prepare(self, summary: RoomSummary) -> RoomSummary:
        """Returns a summary as it is sent."""
        return msgspec.structs.replace(
            shorten_numbers(summary), limited_services=self._limits.list_limited_services()
        )

    def _choose_remote_hosts(self) -> list[str]:
        """Returns the address of a random instance of each other data centre."""
        hosts_by_data_centre: dict[str, list[str]] = {}
        for peer in self._directory.list_remote_peers():
            hosts_by_data_centre.setdefault(peer.data_centre, []).append(peer.host)
        return [self._rng.choice(hosts) for hosts in hosts_by_data_centre.values()]

    def _is_any_service_busy(self, now_ms: int) -> bool:
        return any(
            self._estimator.estimate(service, now_ms).occupancy > BUSY_OCCUPANCY
            for service in self._estimator.list_loaded_services(now_ms)
        )
