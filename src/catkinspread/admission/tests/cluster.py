"""Instances that exchange summaries over a simulated network, for tests."""

import random
from collections.abc import Callable, Iterable

from catkinspread.admission.capacity import UpstreamCapacity
from catkinspread.admission.demand import DemandMeter
from catkinspread.admission.own_summary import OwnSummaryBuilder
from catkinspread.admission.room import RoomEstimator
from catkinspread.admission.summaries import SummaryTable
from catkinspread.admission.tests.site import SERVICE, START_MS, build_state
from catkinspread.admission.work import WorkEstimator
from catkinspread.deployment import DeploymentState
from catkinspread.forwarding.load import LoadTracker
from catkinspread.peers import Member, decode_message, encode_message
from catkinspread.runtime.room_reports import RoomReporter

TICK_MS = 50


class FixedDirectory:
    """The part of `PeerDirectory` that a reporter uses, with members that do not change."""

    def __init__(self, member: Member, members: list[Member]) -> None:
        self.member = member
        self.members = members

    def list_local_peers(self) -> list[Member]:
        return [
            other
            for other in self.members
            if other.data_centre == self.member.data_centre and other != self.member
        ]

    def list_remote_peers(self) -> list[Member]:
        return [other for other in self.members if other.data_centre != self.member.data_centre]


class _Limits:
    """The services that an instance limits, set by tests, and those that others told."""

    def __init__(self) -> None:
        self.own: tuple[str, ...] = ()
        self.told: list[str] = []

    def list_limited_services(self) -> tuple[str, ...]:
        return self.own

    def record_remote_limits(self, services: Iterable[str], now_ms: int) -> None:
        self.told += services


class Instance:
    """The parts of one instance that learn the room of services."""

    def __init__(
        self, member: Member, members: list[Member], state: DeploymentState, rng: random.Random
    ) -> None:
        self.member = member
        self.state = state
        self.directory = FixedDirectory(member, members)
        self.loads = LoadTracker()
        self.work = WorkEstimator()
        self.meter = DemandMeter(self.work)
        self.capacity = UpstreamCapacity(state, self.loads)
        self.own_summary = OwnSummaryBuilder(
            member.name, member.data_centre, state, self.loads, self.capacity, self.meter
        )
        self.summaries = SummaryTable(
            member.name, member.data_centre, self.capacity.find_requests_max
        )
        self.estimator = RoomEstimator(
            member.data_centre,
            self.capacity,
            self.own_summary,
            self.summaries,
            lambda: len(self.directory.list_local_peers()) + 1,
            lambda now_ms: False,
        )
        self.limits = _Limits()
        self.reporter = RoomReporter(
            self.own_summary,
            self.summaries,
            self.estimator,
            self.work,
            self.limits,
            self.directory,
            rng,
        )


class Cluster:
    """Instances of some data centres.

    Args:
        counts: Number of instances by data centre.
        upstreams_per_data_centre: Number of upstreams of SERVICE in each of them.
        work_slots: Work slots of each upstream.
        seed: Seed of all random choices.

    Attributes:
        is_delivered: Tells whether a message between two members arrives.
        sent_bytes: Bytes of the messages so far, by name of the sender.
    """

    def __init__(
        self,
        counts: dict[str, int],
        upstreams_per_data_centre: int = 10,
        work_slots: int = 2,
        seed: int = 1,
    ) -> None:
        self.rng = random.Random(seed)
        self.now_ms = START_MS
        self.state = build_state(dict.fromkeys(counts, upstreams_per_data_centre), work_slots)
        self.members = [
            Member(f"edge-{data_centre}-{number}", data_centre, f"{data_centre}/{number}", 1)
            for data_centre, count in counts.items()
            for number in range(count)
        ]
        self.instances = {member.host: self.build_instance(member) for member in self.members}
        self.is_delivered: Callable[[Member, Member], bool] = lambda sender, receiver: True
        self.sent_bytes = dict.fromkeys((member.name for member in self.members), 0)

    def build_instance(self, member: Member) -> Instance:
        """Returns an instance that has just started."""
        return Instance(member, self.members, self.state, random.Random(self.rng.random()))

    def list_instances(self) -> list[Instance]:
        """Returns the instances of all data centres."""
        return list(self.instances.values())

    def set_in_flight(self, instance: Instance, data_centre: str, requests: int) -> None:
        """Sets the requests of an instance to the upstreams of a data centre."""
        upstreams = [
            upstream.record.name
            for upstream in self.state.list_eligible_upstreams(SERVICE)
            if upstream.record.data_centre == data_centre
        ]
        for number, name in enumerate(upstreams):
            share, rest = divmod(requests, len(upstreams))
            instance.loads.get(name).in_flight = share + (number < rest)

    def run(self, duration_ms: int, generate: Callable[[int], None] | None = None) -> None:
        """Lets time pass and exchanges the reports that become due.

        Args:
            duration_ms: The time.
            generate: Called with the time in each tick, to generate the demand.
        """
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            if generate:
                generate(self.now_ms)
            for sender in self.list_instances():
                self._exchange(sender)

    def _exchange(self, sender: Instance) -> None:
        for report in sender.reporter.build_due_reports(self.now_ms):
            datagram = encode_message(report.summary)
            for host in report.hosts:
                self.sent_bytes[sender.member.name] += len(datagram)
                receiver = self.instances.get(host)
                if receiver and self.is_delivered(sender.member, receiver.member):
                    receiver.reporter.apply_summary(decode_message(datagram), self.now_ms)
