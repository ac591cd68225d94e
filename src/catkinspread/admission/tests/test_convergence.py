"""Instances learn the same sums through a few random messages."""

import random
import statistics

import pytest

from catkinspread.admission.summaries import SUMMARY_TIMEOUT_MS
from catkinspread.admission.tests.cluster import TICK_MS, Cluster, Instance
from catkinspread.admission.tests.site import ROUTE, SERVICE
from catkinspread.peers import Member

# Occupancy of the largest data centre, at which summaries are sent at the short interval.
OCCUPANCY = 3.0
# Few upstreams with many work slots keep the tests fast.
UPSTREAMS = 4
REQUESTS_PER_INSTANCE = 24
OPENINGS_PER_TICK = 4
# Greatest part by which the load of an instance differs from the average.
SPREAD = 0.4
ERROR_MAX = 0.1


class _Load:
    """Steady load of each instance, different for each, with a service in all data centres."""

    def __init__(self, cluster: Cluster, seed: int = 5) -> None:
        self.cluster = cluster
        rng = random.Random(seed)
        self.factors = {
            instance.member.name: 1 - SPREAD + 2 * SPREAD * rng.random()
            for instance in cluster.list_instances()
        }
        self.rng = rng

    def generate(self, now_ms: int) -> None:
        for instance in self.cluster.list_instances():
            self.generate_for(instance, now_ms)

    def generate_for(self, instance: Instance, now_ms: int) -> None:
        factor = self.factors[instance.member.name]
        expected = OPENINGS_PER_TICK * factor
        openings = int(expected) + (self.rng.random() < expected % 1)
        for _ in range(openings):
            instance.meter.record_opening(ROUTE, now_ms)
        data_centre = instance.member.data_centre
        self.cluster.set_in_flight(instance, data_centre, round(REQUESTS_PER_INSTANCE * factor))


def _build(counts: dict[str, int], seed: int = 1) -> tuple[Cluster, _Load]:
    largest = max(counts.values())
    work_slots = round(largest * REQUESTS_PER_INSTANCE / OCCUPANCY / UPSTREAMS)
    cluster = Cluster(counts, UPSTREAMS, work_slots, seed)
    for instance in cluster.list_instances():
        instance.work.record_response(ROUTE, 40, 1, 2)
    return cluster, _Load(cluster)


def _read_truth(instances: list[Instance], now_ms: int) -> tuple[float, float]:
    summaries = [instance.own_summary.build(0, now_ms) for instance in instances]
    return (
        sum(d.offered_work_ms_per_s for summary in summaries for d in summary.demands),
        sum(entry.requests for summary in summaries for entry in summary.in_flight),
    )


def _list_errors(
    cluster: Cluster, instances: list[Instance], truth_over: list[Instance]
) -> list[float]:
    """Returns the greater relative error of demand and requests in flight, for each instance."""
    demand, in_flight = _read_truth(truth_over, cluster.now_ms)
    errors = []
    for instance in instances:
        room = instance.estimator.estimate(SERVICE, cluster.now_ms)
        offered = sum(d.offered_work_ms_per_s for d in room.demands)
        errors.append(max(abs(offered / demand - 1), abs(room.in_flight / in_flight - 1)))
    return errors


@pytest.mark.parametrize(
    "counts",
    [
        {"a": 3},
        {"a": 9},
        {"a": 63},
        {"a": 300},
        {"a": 1, "b": 1, "c": 1},
        {"a": 3, "b": 3, "c": 3},
        {"a": 21, "b": 21, "c": 21},
        {"a": 100, "b": 100, "c": 100},
    ],
    ids=str,
)
def test_merged_sums_are_close_to_the_truth(counts: dict[str, int]) -> None:
    """Guards against instances that admit more or less than the capacity together."""
    cluster, load = _build(counts)
    cluster.run(7_000, load.generate)
    instances = cluster.list_instances()
    errors = _list_errors(cluster, instances, instances)
    assert max(errors) <= ERROR_MAX


@pytest.mark.parametrize(
    ("counts", "delay_ms"),
    [
        ({"a": 3, "b": 3, "c": 3}, 2_000),
        ({"a": 9}, 2_500),
        ({"a": 21, "b": 21, "c": 21}, 4_000),
        ({"a": 100, "b": 100, "c": 100}, 5_000),
    ],
    ids=str,
)
def test_sums_follow_a_doubled_load(counts: dict[str, int], delay_ms: int) -> None:
    """Guards against sums that follow a burst only after it has ended."""
    cluster, load = _build(counts)
    cluster.run(6_000, load.generate)
    load.factors = {name: 2 * factor for name, factor in load.factors.items()}
    cluster.run(delay_ms, load.generate)
    instances = cluster.list_instances()
    assert statistics.mean(_list_errors(cluster, instances, instances)) <= ERROR_MAX


def test_lost_messages_do_not_bias_the_sums() -> None:
    """Guards against sums that shrink with the share of lost messages."""
    cluster, load = _build({"a": 9, "b": 9})
    cluster.is_delivered = lambda sender, receiver: cluster.rng.random() < 0.7
    cluster.run(4_000, load.generate)
    instances = cluster.list_instances()
    demand, _ = _read_truth(instances, cluster.now_ms)
    told = [
        sum(d.offered_work_ms_per_s for d in i.estimator.estimate(SERVICE, cluster.now_ms).demands)
        for i in instances
    ]
    assert statistics.mean(told) == pytest.approx(demand, rel=0.05)
    assert max(_list_errors(cluster, instances, instances)) <= 2 * ERROR_MAX


def test_restarted_instance_knows_the_sums_again() -> None:
    """Guards against an instance that stays without knowledge because nothing is kept on disk."""
    cluster, load = _build({"a": 3, "b": 3})
    cluster.run(4_000, load.generate)
    member = cluster.members[0]
    cluster.instances[member.host] = restarted = cluster.build_instance(member)
    cluster.run(SUMMARY_TIMEOUT_MS + 1_000, load.generate)
    instances = cluster.list_instances()
    assert restarted.work.get_work_ms("front") == pytest.approx(40, rel=0.05)
    assert max(_list_errors(cluster, instances, instances)) <= ERROR_MAX


@pytest.mark.parametrize("is_known", [False, True], ids=["unknown", "still known"])
def test_killed_instance_is_forgotten(is_known: bool) -> None:
    """Guards against the load of a killed instance that stays in the sums.

    Directories go on listing it for 20 s, while the others take over its callers.
    """
    cluster, load = _build({"a": 3, "b": 3})
    cluster.run(4_000, load.generate)
    killed = cluster.members[0]
    del cluster.instances[killed.host]
    if not is_known:
        cluster.members.remove(killed)
    # The sum that another data centre was told last may hold a summary that was about to expire.
    cluster.run(2 * SUMMARY_TIMEOUT_MS, load.generate)
    instances = cluster.list_instances()
    assert max(_list_errors(cluster, instances, instances)) <= ERROR_MAX


def _count_slots(cluster: Cluster) -> int:
    return sum(upstream.record.work_slots for upstream in cluster.state.list_upstreams())


def test_partition_between_data_centres_and_its_end() -> None:
    """Guards against sums over what is unreachable, and a partition that leaves traces."""
    cluster, load = _build({"a": 3, "b": 3})
    cluster.run(4_000, load.generate)
    everyone = cluster.list_instances()

    def list_side(data_centre: str) -> list[Instance]:
        return [i for i in everyone if i.member.data_centre == data_centre]

    cluster.is_delivered = lambda sender, receiver: sender.data_centre == receiver.data_centre
    for instance in everyone:
        other = "b" if instance.member.data_centre == "a" else "a"
        instance.loads.get(f"{other}-0").record_timeout(cluster.now_ms)
    cluster.run(6_000, load.generate)
    for data_centre in "ab":
        side = list_side(data_centre)
        assert max(_list_errors(cluster, side, side)) <= ERROR_MAX
        own_slots = _count_slots(cluster) / 2
        assert {i.estimator.estimate(SERVICE, cluster.now_ms).slots for i in side} == {own_slots}
    cluster.is_delivered = lambda sender, receiver: True
    cluster.run(2_000, load.generate)
    assert max(_list_errors(cluster, everyone, everyone)) <= ERROR_MAX
    slots = {i.estimator.estimate(SERVICE, cluster.now_ms).slots for i in everyone}
    assert slots == {_count_slots(cluster)}


def test_instance_cut_off_from_its_data_centre_assumes_its_own_load_for_the_others() -> None:
    """Guards against an instance that uses the capacity of the others because it hears none."""
    cluster, load = _build({"a": 3})
    cut_off = cluster.list_instances()[0]
    host = cut_off.member.host

    def is_delivered(sender: Member, receiver: Member) -> bool:
        return host not in (sender.host, receiver.host)

    cluster.run(4_000, load.generate)
    cluster.is_delivered = is_delivered
    cluster.run(SUMMARY_TIMEOUT_MS + TICK_MS, load.generate)
    room = cut_off.estimator.estimate(SERVICE, cluster.now_ms)
    _, own_in_flight = _read_truth([cut_off], cluster.now_ms)
    assert room.in_flight == pytest.approx(3 * own_in_flight)
    assert room.is_estimate
    cluster.is_delivered = lambda sender, receiver: True
    cluster.run(1_000, load.generate)
    instances = cluster.list_instances()
    assert max(_list_errors(cluster, instances, instances)) <= ERROR_MAX


def test_idle_instances_know_one_another_too() -> None:
    """Guards against summaries that expire at the long interval."""
    cluster, _ = _build({"a": 3, "b": 3})

    def generate(now_ms: int) -> None:
        for instance in cluster.list_instances():
            instance.meter.record_opening(ROUTE, now_ms)

    cluster.run(6_000, generate)
    for instance in cluster.list_instances():
        room = instance.estimator.estimate(SERVICE, cluster.now_ms)
        assert not room.is_estimate
        assert room.age_ms < SUMMARY_TIMEOUT_MS
        assert sum(d.offered_work_ms_per_s for d in room.demands) == pytest.approx(
            6 * 20 * 40, rel=ERROR_MAX
        )
