"""Tests of the room of services."""

import msgspec
import pytest

from catkinspread.admission.capacity import ANSWER_MAX_AGE_MS
from catkinspread.admission.room import MERGE_INTERVAL_MS, compute_mean_work_ms
from catkinspread.admission.settling import SETTLING_MS, has_many_recent_starts
from catkinspread.admission.summaries import SILENCE_MS, SUMMARY_TIMEOUT_MS
from catkinspread.admission.tests.cluster import Cluster, Instance
from catkinspread.admission.tests.site import (
    COLD_RATE_PER_S,
    CONNECTIONS_MAX,
    ROUTE,
    SERVICE,
    START_MS,
    build_state,
)
from catkinspread.admission.types import RoomSummary, RouteDemand, ServiceInFlight

LATER_MS = START_MS + MERGE_INTERVAL_MS


def _build(**counts: int) -> Instance:
    """Returns the first instance of data centre `east`; each has 10 upstreams of 2 slots."""
    return Cluster(counts or {"east": 1}).list_instances()[0]


def _tell(
    instance: Instance, data_centre: str, requests: float, sequence: int, now_ms: int
) -> bool:
    summary = RoomSummary(
        f"edge-{data_centre}",
        sequence,
        data_centre,
        1,
        (RouteDemand("front", SERVICE, 1, 40.0, 500.0, 0.0),),
        (ServiceInFlight(SERVICE, data_centre, requests),),
    )
    return instance.summaries.apply(summary, now_ms)


def test_room_counts_all_data_centres() -> None:
    """Guards against room that leaves out the upstreams or requests of another data centre."""
    instance = _build(east=1, west=1)
    for number in range(6):
        instance.loads.get(f"east-{number}").in_flight = 2
    instance.meter.record_opening(ROUTE, START_MS)
    assert _tell(instance, "west", 28, 1, START_MS)
    room = instance.estimator.estimate(SERVICE, START_MS)
    assert (room.slots, room.in_flight, room.occupancy) == (40, 40, 1.0)
    assert room.age_ms == 0
    assert not room.is_estimate
    (demand,) = room.demands
    assert demand.offered_work_ms_per_s == pytest.approx(545)


def test_age_grows_between_merges() -> None:
    """Guards against an age that does not count the time since the merge."""
    instance = _build(east=1, west=1)
    _tell(instance, "west", 28, 1, START_MS)
    instance.estimator.estimate(SERVICE, START_MS + 500)
    assert instance.estimator.estimate(SERVICE, START_MS + 530).age_ms == 530


def test_service_that_is_unknown_has_no_room() -> None:
    """Guards against an exception about a service that was just added or removed."""
    room = _build().estimator.estimate("none", START_MS)
    assert (room.slots, room.in_flight, room.demands) == (0, 0, ())


def test_unusable_upstreams_and_their_requests_do_not_count() -> None:
    """Guards against the capacity of lost upstreams, and against requests that wait for them."""
    instance = _build()
    state = instance.state
    for number in range(10):
        instance.loads.get(f"east-{number}").in_flight = 1
    state.mark_upstream_missing("east-0", START_MS)
    record = state.find_upstream("east-1").record
    state.put_upstream(msgspec.structs.replace(record, is_draining=True), START_MS)
    instance.loads.get("east-2").record_timeout(START_MS)
    room = instance.estimator.estimate(SERVICE, START_MS)
    assert (room.slots, room.in_flight) == (14, 7)


def test_upstream_that_is_full_counts_while_it_answers_requests() -> None:
    """Guards against room that shrinks in an overload, when no opening packets are answered."""
    instance = _build()
    load = instance.loads.get("east-0")
    load.record_response_time(100, START_MS)
    load.record_timeout(START_MS)
    load.in_flight = 10
    room = instance.estimator.estimate(SERVICE, START_MS)
    assert (room.slots, room.in_flight) == (20, 10)
    load.record_timeout(START_MS + 900)
    room = instance.estimator.estimate(SERVICE, START_MS + ANSWER_MAX_AGE_MS)
    assert (room.slots, room.in_flight) == (18, 0)


def test_evacuated_data_centre_leaves_the_room() -> None:
    """Guards against capacity that no new flow may use."""
    instance = _build(east=1, west=1)
    _tell(instance, "west", 30, 1, START_MS)
    instance.state.set_evacuated("west", True)
    room = instance.estimator.estimate(SERVICE, START_MS)
    assert (room.slots, room.in_flight) == (20, 0)


def test_room_settles_after_the_upstreams_of_a_data_centre_are_lost() -> None:
    """Guards against refusals for callers who were cut off with the upstreams, and ask elsewhere.

    The summaries of their data centre are used until they expire.
    """
    instance = _build(east=1, west=1)
    _tell(instance, "west", 10, 1, START_MS)
    assert not instance.estimator.estimate(SERVICE, START_MS).is_settling
    for number in range(10):
        instance.loads.get(f"west-{number}").record_timeout(LATER_MS)
    assert instance.estimator.estimate(SERVICE, LATER_MS).is_settling
    assert not instance.estimator.estimate(SERVICE, START_MS + SUMMARY_TIMEOUT_MS).is_settling


def test_room_settles_for_a_bounded_time() -> None:
    """Guards against a service without limits as the upstreams of one data centre stay lost."""
    instance = _build(east=1, west=1)
    for now_ms in range(START_MS, START_MS + SETTLING_MS + 500, 500):
        _tell(instance, "west", 0, 1 + (now_ms - START_MS) // 500, now_ms)
        for number in range(10):
            instance.state.mark_upstream_missing(f"west-{number}", START_MS)
        is_settling = instance.estimator.estimate(SERVICE, now_ms).is_settling
        assert is_settling is (now_ms < START_MS + SETTLING_MS)


@pytest.mark.parametrize(
    ("own_ms", "peers_ms", "expected"),
    [
        (-1_000, [-90_000] * 9, True),
        (-SETTLING_MS, [-90_000] * 9, False),
        (-90_000, [-1_000] * 2 + [-90_000] * 7, False),
        (-90_000, [-1_000] * 3 + [-90_000] * 7, True),
        (-90_000, [-1_000, -90_000], False),
        (-90_000, [-1_000, -1_000], True),
        (-90_000, [90_000] * 9, False),
        (-90_000, [], False),
    ],
)
def test_many_recent_starts(own_ms: int, peers_ms: list[int], expected: bool) -> None:
    """Guards against refusals after many restarts, and against a clock that is ahead."""
    peers = [START_MS + peer_ms for peer_ms in peers_ms]
    assert has_many_recent_starts(START_MS + own_ms, peers, START_MS) is expected


def test_upstream_in_cold_start_counts_with_its_rate() -> None:
    """Guards against a full share of demand for upstreams that take 4 flows a second."""
    instance = _build()
    state = build_state({"east": 10}, cold_remaining_ms=8_000)
    instance.capacity._state = state
    for _ in range(3):
        instance.work.record_response(ROUTE, 100, 1, 2)
    instance.meter.record_opening(ROUTE, START_MS)
    room = instance.estimator.estimate(SERVICE, START_MS)
    assert room.slots == pytest.approx(10 * COLD_RATE_PER_S * 0.1)
    assert instance.estimator.estimate(SERVICE, START_MS + 8_000).slots == 20


def test_occupancy_of_one_data_centre() -> None:
    """Guards against spilling to a data centre that is full, or about which nothing is known."""
    instance = _build(east=1, west=1)
    estimator = instance.estimator
    instance.loads.get("east-0").in_flight = 5
    assert estimator.find_occupancy(SERVICE, "east", START_MS) == 0.25
    assert estimator.find_occupancy(SERVICE, "west", START_MS) is None
    _tell(instance, "west", 30, 1, START_MS)
    assert estimator.find_occupancy(SERVICE, "west", LATER_MS) == 1.5
    assert estimator.find_occupancy("none", "west", LATER_MS) is None
    assert estimator.find_occupancy(SERVICE, "north", LATER_MS) is None
    assert estimator.find_occupancy(SERVICE, "west", START_MS + SUMMARY_TIMEOUT_MS) is None


def test_packets_do_not_merge_again() -> None:
    """Guards against a cost of each packet that grows with routes or instances."""
    instance = _build(east=1, west=1)
    builds = []
    build = instance.own_summary.build

    class CountingBuilder:
        def build(self, sequence: int, now_ms: int) -> RoomSummary:
            builds.append(now_ms)
            return build(sequence, now_ms)

    instance.estimator._own_summary = CountingBuilder()
    for _ in range(100):
        instance.estimator.find_occupancy(SERVICE, "west", START_MS)
        instance.estimator.estimate(SERVICE, START_MS + MERGE_INTERVAL_MS - 1)
    assert builds == [START_MS]


def test_silent_data_centre_with_unanswering_upstreams_leaves_the_room() -> None:
    """Guards against capacity beyond a partition, of which only some upstreams were tried."""
    instance = _build(east=1, west=1)
    _tell(instance, "west", 10, 1, START_MS)
    now_ms = START_MS + SILENCE_MS
    assert instance.estimator.estimate(SERVICE, now_ms).slots == 40
    instance.loads.get("west-3").record_timeout(now_ms)
    # The first back-off has ended, and the upstream was not tried again.
    now_ms += 1_000
    assert instance.estimator.estimate(SERVICE, now_ms).slots == 20
    assert instance.estimator.find_occupancy(SERVICE, "west", now_ms) is None
    _tell(instance, "west", 10, 900, now_ms)
    assert instance.estimator.estimate(SERVICE, now_ms + MERGE_INTERVAL_MS).slots == 40


def test_answer_ends_the_doubt_about_a_data_centre() -> None:
    """Guards against capacity that stays out after an upstream of a quiet data centre answers."""
    instance = _build(east=1, west=1)
    _tell(instance, "west", 10, 1, START_MS)
    load = instance.loads.get("west-3")
    load.record_timeout(START_MS + SILENCE_MS)
    now_ms = START_MS + SILENCE_MS + 1_000
    assert load.has_timed_out
    assert instance.estimator.estimate(SERVICE, now_ms).slots == 20
    load.record_response(now_ms)
    assert not load.has_timed_out
    assert instance.estimator.estimate(SERVICE, now_ms + MERGE_INTERVAL_MS).slots == 40


def test_timed_out_upstream_of_the_own_data_centre_costs_only_itself() -> None:
    """Guards against a data centre that takes itself for cut off."""
    instance = _build()
    instance.loads.get("east-0").record_timeout(START_MS)
    assert instance.estimator.estimate(SERVICE, START_MS).slots == 18


def test_bound_of_requests_follows_the_upstreams() -> None:
    """Guards against a summary with more requests than upstreams hold, and a fixed bound."""
    instance = _build(east=1, west=1)
    bound = 4 * 10 * CONNECTIONS_MAX
    assert instance.capacity.find_requests_max(SERVICE, "west", START_MS) == bound
    assert instance.capacity.find_requests_max(SERVICE, "north", START_MS) is None
    assert instance.capacity.find_requests_max("none", "west", START_MS) is None
    assert not _tell(instance, "west", bound + 1, 1, START_MS)
    assert _tell(instance, "west", bound, 2, START_MS)


def test_mean_work_is_weighted_by_requests() -> None:
    """Guards against a rare heavy route that determines the expected wait."""
    demands = [
        RouteDemand("light", SERVICE, 1, 10.0, 900.0, 0.0),
        RouteDemand("heavy", SERVICE, 1, 100.0, 500.0, 500.0),
    ]
    assert compute_mean_work_ms(demands) == pytest.approx(19)
    assert compute_mean_work_ms([]) == 45
