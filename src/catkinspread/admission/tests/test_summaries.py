"""Tests of the summaries of other instances."""

import random

import msgspec
import pytest

from catkinspread.admission.summaries import (
    INSTANCE_COUNT_MAX,
    PARTIAL_SUM_AGE_MAX_MS,
    PARTIAL_SUM_MAX,
    SILENCE_MS,
    SUMMARY_REORDER_MAX,
    SUMMARY_TIMEOUT_MS,
    SummaryResult,
    SummaryTable,
    shorten_numbers,
)
from catkinspread.admission.tests.site import START_MS
from catkinspread.admission.types import (
    DEMANDS_MAX,
    IN_FLIGHT_MAX,
    RoomSummary,
    RouteDemand,
    ServiceInFlight,
)

REQUESTS_MAX = 500.0


def build_summary(
    sender: str = "b",
    sequence: int = 1,
    data_centre: str = "east",
    instance_count: int = 1,
    offered: float = 1_000.0,
    requests: float = 10.0,
) -> RoomSummary:
    """Returns a summary with one demand and the requests in flight of one service."""
    return RoomSummary(
        sender,
        sequence,
        data_centre,
        instance_count,
        (RouteDemand("front", "pages", 1, 20.0, offered, offered / 4),),
        (ServiceInFlight("pages", "east", requests),),
    )


OWN = build_summary("a", offered=400.0, requests=4.0)


def build_table() -> SummaryTable:
    """Returns the table of instance `a` in data centre `east`."""
    return SummaryTable(
        "a",
        "east",
        lambda service, data_centre, now_ms: REQUESTS_MAX if service == "pages" else None,
    )


def read(table: SummaryTable, known: int, now_ms: int) -> tuple[float, float]:
    """Returns the offered work and the requests in flight that a table merges."""
    merged = table.merge(OWN, known, now_ms)
    offered = sum(d.offered_work_ms_per_s for d in merged.demands_by_service["pages"])
    return offered, merged.in_flight.get(("pages", "east"), 0.0)


def test_own_figures_are_scaled_while_nothing_is_heard() -> None:
    """Guards against an instance cut off from its data centre that takes the whole capacity."""
    table = build_table()
    merged = table.merge(OWN, 3, START_MS)
    assert read(table, 3, START_MS) == (1_200, 12)
    assert merged.is_estimate
    assert merged.age_ms == 0


def test_instance_that_is_alone_is_no_estimate() -> None:
    """Guards against a single instance that always tells an estimate."""
    merged = build_table().merge(OWN, 1, START_MS)
    assert not merged.is_estimate


def test_sum_is_scaled_to_the_known_instances() -> None:
    """Guards against capacity that unheard instances use without being counted."""
    table = build_table()
    assert table.apply(build_summary("b", offered=800, requests=8), START_MS)
    assert read(table, 4, START_MS + 700) == (2_400, 24)
    merged = table.merge(OWN, 4, START_MS + 700)
    assert merged.age_ms == 700
    assert not merged.is_estimate
    assert table.merge(OWN, 5, START_MS + 700).is_estimate


def test_silent_instance_of_a_small_data_centre_is_not_replaced() -> None:
    """Guards against the load of a killed instance that counts again while it is still listed."""
    table = build_table()
    table.apply(build_summary("b", requests=8), START_MS)
    assert read(table, 3, START_MS)[1] == 12
    # An instance that has left is still heard, but no longer listed.
    table.apply(build_summary("c", requests=12), START_MS)
    assert read(table, 2, START_MS)[1] == 16


def test_work_of_a_request_is_averaged_over_requests() -> None:
    """Guards against an average by instances, which gives idle ones the same weight."""
    table = build_table()
    heavy = RouteDemand("front", "pages", 1, 80.0, 8_000.0, 0.0)
    table.apply(msgspec.structs.replace(build_summary(), demands=(heavy,)), START_MS)
    (demand,) = table.merge(OWN, 2, START_MS).demands_by_service["pages"]
    # 25 requests a second of 20 ms and 100 of 80 ms.
    assert demand.work_ms == pytest.approx(68, rel=1e-3)


def test_lost_summaries_leave_the_last_ones_until_they_expire() -> None:
    """Guards against a single lost datagram that changes the sum, and against stale figures."""
    table = build_table()
    table.apply(build_summary(requests=8), START_MS)
    assert read(table, 2, START_MS + SUMMARY_TIMEOUT_MS - 1)[1] == 12
    assert read(table, 2, START_MS + SUMMARY_TIMEOUT_MS)[1] == 8
    assert table.merge(OWN, 3, START_MS + SUMMARY_TIMEOUT_MS).is_estimate


def test_late_and_duplicate_summaries_are_dropped() -> None:
    """Guards against figures that go back in time or keep a dead instance alive."""
    table = build_table()
    assert table.apply(build_summary(sequence=30, requests=8), START_MS)
    assert not table.apply(build_summary(sequence=30, requests=80), START_MS + 10)
    assert not table.apply(build_summary(sequence=29, requests=80), START_MS + 20)
    assert read(table, 2, START_MS + 20)[1] == 12
    assert table.counts[SummaryResult.STALE] == 2
    assert read(table, 2, START_MS + SUMMARY_TIMEOUT_MS)[1] == 8


def test_restarted_sender_is_applied() -> None:
    """Guards against ignoring an instance whose sequence numbers start again."""
    table = build_table()
    table.apply(build_summary(sequence=500, requests=80), START_MS)
    assert table.apply(build_summary(sequence=1, requests=8), START_MS + 10)
    assert read(table, 2, START_MS + 10)[1] == 12


def test_sender_that_restarts_early_is_applied_after_the_expiry() -> None:
    """Guards against an instance that is ignored for ever, because it restarted soon."""
    table = build_table()
    table.apply(build_summary(sequence=SUMMARY_REORDER_MAX - 1), START_MS)
    assert not table.apply(build_summary(sequence=1), START_MS + 1_000)
    assert table.apply(build_summary(sequence=2), START_MS + SUMMARY_TIMEOUT_MS)


def test_sequence_from_the_future_has_no_effect() -> None:
    """Guards against a sequence after which the real ones of the sender look stale."""
    table = build_table()
    table.apply(build_summary(sequence=10, requests=8), START_MS)
    assert not table.apply(build_summary(sequence=1 << 62, requests=80), START_MS + 250)
    assert table.counts[SummaryResult.FUTURE] == 1
    assert read(table, 2, START_MS + 250)[1] == 12
    assert table.apply(build_summary(sequence=11, requests=9), START_MS + 500)


def test_sequence_that_advances_while_summaries_are_lost_is_applied() -> None:
    """Guards against a sender that counts as from the future after some losses."""
    table = build_table()
    table.apply(build_summary(sequence=10), START_MS)
    assert table.apply(build_summary(sequence=10 + 8), START_MS + 2_000)


def _change_demand(**change: object) -> RoomSummary:
    demand = msgspec.structs.replace(build_summary().demands[0], **change)
    return msgspec.structs.replace(build_summary(), demands=(demand,))


IMPOSSIBLE = {
    "own name": build_summary("a"),
    "no instances": build_summary(instance_count=0),
    "too large a partial sum": build_summary(instance_count=PARTIAL_SUM_MAX + 1),
    "too many instances": build_summary(data_centre="west", instance_count=INSTANCE_COUNT_MAX + 1),
    "more requests than the upstreams hold": build_summary(requests=REQUESTS_MAX + 1),
    "negative requests": build_summary(requests=-1.0),
    "requests that are no number": build_summary(requests=float("nan")),
    "infinite requests": build_summary(requests=float("inf")),
    "negative offered work": _change_demand(offered_work_ms_per_s=-1.0),
    "infinite offered work": _change_demand(offered_work_ms_per_s=float("inf")),
    "committed work that is no number": _change_demand(committed_work_ms_per_s=float("nan")),
    "negative committed work": _change_demand(committed_work_ms_per_s=-1.0),
    "requests without work": _change_demand(work_ms=0.0),
    "tiny work": _change_demand(work_ms=5e-324),
    "work that is no number": _change_demand(work_ms=float("nan")),
    "infinite work": _change_demand(work_ms=float("inf")),
    "route twice": msgspec.structs.replace(build_summary(), demands=build_summary().demands * 2),
    "service twice": msgspec.structs.replace(
        build_summary(), in_flight=build_summary().in_flight * 2
    ),
}


@pytest.mark.parametrize("summary", IMPOSSIBLE.values(), ids=IMPOSSIBLE)
def test_impossible_summary_has_no_effect(summary: RoomSummary) -> None:
    """Guards against one broken instance that makes all others refuse or admit everything."""
    table = build_table()
    table.apply(build_summary(sequence=0, requests=8), START_MS)
    before = read(table, 2, START_MS)
    assert not table.apply(summary, START_MS)
    assert read(table, 2, START_MS) == before
    assert table.counts[SummaryResult.IMPOSSIBLE] == 1


def test_senders_and_data_centres_are_limited() -> None:
    """Guards against invented names that fill the memory."""
    table = build_table()
    for number in range(INSTANCE_COUNT_MAX + 5):
        table.apply(build_summary(f"n{number}", data_centre=f"d{number}"), START_MS)
    assert len(table._by_data_centre) == 64
    for number in range(INSTANCE_COUNT_MAX + 5):
        table.apply(build_summary(f"m{number}"), START_MS)
    assert len(table._by_sender) == INSTANCE_COUNT_MAX
    table.expire(START_MS + 600_000)
    assert not table._by_sender
    assert not table._by_data_centre


def test_other_data_centres_are_used_as_they_are() -> None:
    """Guards against a sum of another data centre that is scaled, or counted for each sender."""
    table = build_table()
    table.apply(build_summary("w1", 5, "west", 9, requests=90), START_MS)
    table.apply(build_summary("w2", 7, "west", 9, requests=70), START_MS + 100)
    assert read(table, 3, START_MS + 200)[1] == 12 + 70
    merged = table.merge(OWN, 3, START_MS + 200)
    assert merged.fresh_data_centres == {"west"}
    assert merged.age_ms == 100
    assert read(table, 3, START_MS + 100 + SUMMARY_TIMEOUT_MS)[1] == 12


def test_silence_depends_on_the_sizes_of_the_data_centres() -> None:
    """Guards against a small data centre that a large one takes for cut off."""
    table = build_table()
    assert not table.is_silent("west", 9, START_MS)
    table.apply(build_summary("w1", 5, "west", 3), START_MS)
    assert not table.is_silent("west", 3, START_MS + SILENCE_MS - 1)
    assert table.is_silent("west", 3, START_MS + SILENCE_MS)
    assert not table.is_silent("west", 9, START_MS + 3 * SILENCE_MS - 1)
    assert table.is_silent("west", 9, START_MS + 3 * SILENCE_MS)
    table.apply(build_summary("w1", 99, "west", 3), START_MS + 60_000)
    assert not table.is_silent("west", 3, START_MS + 60_001)


def test_aggregate_is_the_scaled_sum_of_the_data_centre_only() -> None:
    """Guards against other data centres that are counted again by the receivers."""
    table = build_table()
    table.apply(build_summary("b", requests=8, offered=800), START_MS)
    table.apply(build_summary("w", 1, "west", 3), START_MS)
    aggregate = table.build_aggregate(msgspec.structs.replace(OWN, sequence=77), 4, START_MS)
    assert (aggregate.sender, aggregate.sequence) == ("a", 77)
    assert (aggregate.data_centre, aggregate.instance_count) == ("east", 4)
    assert aggregate.demands == (RouteDemand("front", "pages", 1, 20.0, 2_400.0, 600.0),)
    assert aggregate.in_flight == (ServiceInFlight("pages", "east", 24.0),)


def test_partial_sum_weighs_as_its_instances() -> None:
    """Guards against a sum over several instances that counts as the load of one."""
    table = build_table()
    assert table.apply(build_summary("b", requests=8), START_MS)
    assert table.apply(build_summary("c", instance_count=3, requests=36), START_MS)
    # Five instances have 4 + 8 + 36 requests.
    assert read(table, 10, START_MS)[1] == pytest.approx(96)
    assert not table.merge(OWN, 10, START_MS).is_estimate
    assert table.merge(OWN, 11, START_MS).is_estimate
    table.expire(START_MS + SUMMARY_TIMEOUT_MS)
    assert table._local_count == 0


def test_partial_sum_holds_recent_single_instances_only() -> None:
    """Guards against figures that go round in partial sums and never expire."""
    table = build_table()
    now_ms = START_MS + PARTIAL_SUM_AGE_MAX_MS
    table.apply(build_summary("old", requests=100), START_MS)
    table.apply(build_summary("b", requests=8), START_MS + 1)
    table.apply(build_summary("c", instance_count=3, requests=36), now_ms)
    table.apply(build_summary("w", data_centre="west", requests=50), now_ms)
    partial_sum = table.build_partial_sum(OWN, now_ms)
    assert partial_sum.instance_count == 2
    assert partial_sum.in_flight == (ServiceInFlight("pages", "east", 12.0),)
    assert (partial_sum.sender, partial_sum.data_centre) == ("a", "east")


def test_partial_sum_is_accepted_by_others() -> None:
    """Guards against a partial sum beyond the bound that its receivers check."""
    table = build_table()
    for number in range(3 * PARTIAL_SUM_MAX):
        table.apply(build_summary(f"n{number}", requests=1), START_MS)
    partial_sum = table.build_partial_sum(OWN, START_MS)
    assert partial_sum.instance_count == PARTIAL_SUM_MAX
    receiver = SummaryTable("z", "east", lambda service, data_centre, now_ms: REQUESTS_MAX)
    assert receiver.apply(partial_sum, START_MS)


def test_aggregate_keeps_the_largest_entries() -> None:
    """Guards against a message beyond its bounds, and against one that leaves out the most work."""
    table = build_table()
    demands = [
        RouteDemand(f"r{number}", "other", 1, 10.0, float(number), 0.0)
        for number in range(2 * DEMANDS_MAX)
    ]
    in_flight = [
        ServiceInFlight(f"s{number}", "east", float(number)) for number in range(2 * IN_FLIGHT_MAX)
    ]
    for half, sender in enumerate("bc"):
        summary = RoomSummary(
            sender,
            1,
            "east",
            1,
            tuple(demands[half::2]),
            tuple(in_flight[half::2]),
        )
        assert table.apply(summary, START_MS)
    aggregate = table.build_aggregate(build_summary("a", offered=0, requests=0), 3, START_MS)
    assert [d.route for d in aggregate.demands] == [
        f"r{number}" for number in range(2 * DEMANDS_MAX - 1, DEMANDS_MAX - 1, -1)
    ]
    assert len(aggregate.in_flight) == IN_FLIGHT_MAX
    assert aggregate.in_flight[-1].service == f"s{IN_FLIGHT_MAX}"


def test_sums_are_exact_after_many_summaries() -> None:
    """Guards against rounding errors that accumulate while summaries replace one another."""
    table = build_table()
    rng = random.Random(7)
    for sequence in range(3_000):
        sender = f"n{rng.randrange(20)}"
        summary = build_summary(
            sender, sequence, offered=rng.random() * 1e6, requests=rng.random() * REQUESTS_MAX
        )
        table.apply(summary, START_MS + sequence)
    heard = table._by_sender.values()
    expected = 4.0 + sum(entry.summary.in_flight[0].requests for entry in heard)
    assert read(table, len(heard) + 1, START_MS + 3_000)[1] == pytest.approx(expected, abs=0.02)
    table.expire(START_MS + 10_000)
    assert not table._local_sum._demands
    assert not table._local_sum._in_flight


def test_shortened_numbers_are_close() -> None:
    """Guards against rounding that changes small figures, and against whole numbers as floats."""
    summary = shorten_numbers(
        RoomSummary(
            "a",
            1,
            "east",
            1,
            (RouteDemand("front", "pages", 1, 1.4, 1_200.4, 0.0),),
            (ServiceInFlight("pages", "east", 0.3),),
        )
    )
    (demand,) = summary.demands
    assert (demand.work_ms, demand.offered_work_ms_per_s) == (1.4, 1_200)
    assert isinstance(demand.offered_work_ms_per_s, int)
    assert isinstance(demand.committed_work_ms_per_s, int)
    assert summary.in_flight[0].requests == 0.3
