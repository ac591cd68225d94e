"""Tests of the summaries that an instance sends."""

import collections
import random

import pytest

from catkinspread.admission import RoomSummary, RouteDemand, ServiceInFlight
from catkinspread.admission.tests.cluster import Cluster, Instance
from catkinspread.admission.tests.site import ROUTE, SERVICE, START_MS, build_route
from catkinspread.deployment import ServiceShare
from catkinspread.peers import (
    Hello,
    Member,
    MemberStatus,
    PeerDirectory,
    decode_message,
    encode_message,
)
from catkinspread.runtime.room_reports import (
    BUSY_INTERVAL_MS,
    BYTES_PER_S_MAX,
    IDLE_INTERVAL_MS,
)

DATA_CENTRES = ("khomas-a", "khomas-b", "erongo-a", "erongo-b")
# Without demand, a report is due at START_MS, and then at the long interval.
IDLE_MS = 10_000


def _build(instances_per_data_centre: int = 3, upstreams: int = 10) -> Instance:
    counts = dict.fromkeys(DATA_CENTRES, instances_per_data_centre)
    return Cluster(counts, upstreams).list_instances()[0]


def _make_busy(instance: Instance, requests: int = 90) -> None:
    for number in range(10):
        instance.loads.get(f"khomas-a-{number}").in_flight = requests // 10


def _list_report_times(instance: Instance, duration_ms: int = IDLE_MS) -> list[int]:
    return [
        now_ms - START_MS
        for now_ms in range(START_MS, START_MS + duration_ms, 10)
        if instance.reporter.build_due_reports(now_ms)
    ]


def test_idle_instance_reports_once_a_second() -> None:
    """Guards against control traffic without load."""
    times = _list_report_times(_build())
    assert times == list(range(0, IDLE_MS, IDLE_INTERVAL_MS))


def test_busy_instance_reports_at_the_short_interval() -> None:
    """Guards against sums that follow an overload only after a second."""
    instance = _build(instances_per_data_centre=1, upstreams=10)
    instance.directory.members = instance.directory.members[:2]
    _make_busy(instance)
    assert _list_report_times(instance) == list(range(0, IDLE_MS, BUSY_INTERVAL_MS))


def test_reports_go_to_few_instances_of_each_data_centre() -> None:
    """Guards against traffic that grows with the number of instances."""
    instance = _build(instances_per_data_centre=40)
    recipients: set[str] = set()
    for second in range(200):
        partial_sum, own, aggregate = instance.reporter.build_due_reports(START_MS + second * 1_000)
        local_hosts = own.hosts + partial_sum.hosts
        assert [host.split("/")[0] for host in local_hosts] == ["khomas-a"] * 2
        assert len(set(local_hosts)) == 2
        assert sorted(host.split("/")[0] for host in aggregate.hosts) == sorted(DATA_CENTRES[1:])
        assert own.summary.instance_count == 1
        assert aggregate.summary.instance_count == 40
        assert own.summary.sequence == aggregate.summary.sequence == second + 1
        recipients.update(local_hosts, aggregate.hosts)
    # All are chosen in turn, but not the instance itself.
    assert len(recipients) > 150
    assert instance.member.host not in recipients


def test_small_data_centre_gets_no_partial_sums() -> None:
    """Guards against estimates where each instance hears from all others."""
    own, aggregate = _build().reporter.build_due_reports(START_MS)
    assert (len(own.hosts), own.summary.instance_count) == (2, 1)
    assert (len(aggregate.hosts), aggregate.summary.instance_count) == (3, 3)


def test_recipients_come_from_the_directory() -> None:
    """Guards against a list of peers of another data centre that holds those of the own one."""
    directory = PeerDirectory(Member("one", "khomas-a", "10.0.0.1", 1), random.Random(1))
    for number, data_centre in enumerate(DATA_CENTRES):
        member = Member(f"peer-{number}", data_centre, f"10.0.1.{number}", 1)
        directory.apply_message(Hello(MemberStatus(member, None, True, False, 0), 0), 0)
    assert [member.name for member in directory.list_remote_peers()] == [
        "peer-1",
        "peer-2",
        "peer-3",
    ]


def test_lone_instance_sends_nothing() -> None:
    """Guards against an exception where there is nobody to choose from."""
    instance = Cluster({"khomas-a": 1}).list_instances()[0]
    assert instance.reporter.build_due_reports(START_MS) == []


@pytest.mark.parametrize(
    ("routes", "services", "message_bytes_max", "rate_max"),
    [(1, 1, 160, 2_000), (3, 1, 240, 2_000), (6, 3, 400, 2_000), (64, 30, 1_700, 8_500)],
)
def test_bytes_a_second_are_bounded(
    routes: int, services: int, message_bytes_max: int, rate_max: int
) -> None:
    """Guards against messages that cost more than docs/design/overload.md states."""
    rates = {}
    for count in (3, 63):
        instance = _build(instances_per_data_centre=count)
        _make_busy(instance)
        rng = random.Random(1)
        for number in range(routes):
            service = f"service-{number % services}"
            route = build_route(f"route-{number}", (ServiceShare(service, 1.0),))
            for _ in range(rng.randrange(5, 300)):
                instance.meter.record_opening(route, START_MS)
        sizes = collections.Counter()
        # The demand stays in the window for one second.
        in_flight = tuple(
            ServiceInFlight(f"service-{service}", data_centre, rng.randrange(5, 200))
            for service in range(services)
            for data_centre in DATA_CENTRES
        )
        demands = tuple(instance.meter.list_demands(START_MS))
        summary = RoomSummary(instance.member.name, 1, "khomas-a", 1, demands, in_flight)
        instance.reporter._own_summary = _FixedSummary(summary)
        for now_ms in range(START_MS, START_MS + IDLE_MS, 50):
            for report in instance.reporter.build_due_reports(now_ms):
                datagram = encode_message(report.summary)
                assert decode_message(datagram) == report.summary
                sizes["messages"] += len(report.hosts)
                sizes["bytes"] += len(datagram) * len(report.hosts)
        rates[count] = sizes["bytes"] * 1_000 / IDLE_MS
        assert sizes["bytes"] / sizes["messages"] <= message_bytes_max
        # The interval is a multiple of the ticks of this test.
        assert rates[count] <= 1.02 * rate_max
    assert rates[63] <= 1.1 * rates[3]


class _FixedSummary:
    """Returns the same summary each time."""

    def __init__(self, summary: RoomSummary) -> None:
        self.summary = summary

    def build(self, sequence: int, now_ms: int) -> RoomSummary:
        return self.summary


def test_idle_bytes_a_second() -> None:
    """Guards against idle traffic above a quarter of that under load."""
    instance = _build()
    size_bytes = 0
    for now_ms in range(START_MS, START_MS + IDLE_MS, 50):
        if now_ms % 100 == 0:
            instance.meter.record_opening(ROUTE, now_ms)
        for report in instance.reporter.build_due_reports(now_ms):
            size_bytes += len(encode_message(report.summary)) * len(report.hosts)
    assert size_bytes * 1_000 / IDLE_MS <= BYTES_PER_S_MAX / 4


def test_work_is_learned_from_applied_summaries_only() -> None:
    """Guards against a dropped summary that still changes what an instance assumes."""
    instance = _build()
    demand = RouteDemand("front", SERVICE, 1, 80.0, 500.0, 0.0)
    summary = RoomSummary("edge-khomas-a-1", 5, "khomas-a", 1, (demand,), ())
    instance.reporter.apply_summary(summary, START_MS)
    assert instance.work.get_work_ms("front") == 80
    late = RouteDemand("front", SERVICE, 1, 20.0, 500.0, 0.0)
    instance.reporter.apply_summary(
        RoomSummary("edge-khomas-a-1", 4, "khomas-a", 1, (late,), ()), START_MS
    )
    assert instance.work.get_work_ms("front") == 80


def test_limited_services_are_told_and_learned() -> None:
    """Guards against a restarted instance that does not learn what the others limit."""
    instance = _build()
    instance.limits.own = (SERVICE,)
    reports = instance.reporter.build_due_reports(START_MS + IDLE_INTERVAL_MS)
    assert {report.summary.limited_services for report in reports} == {(SERVICE,)}
    for sequence, limited in ((5, (SERVICE,)), (4, ("late",))):
        instance.reporter.apply_summary(
            RoomSummary("edge-khomas-a-1", sequence, "khomas-a", 1, (), (), limited), START_MS
        )
    assert instance.limits.told == [SERVICE]
