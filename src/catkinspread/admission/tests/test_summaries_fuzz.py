"""Random summaries leave finite sums within bounds, and raise nothing.

FUZZ_EXAMPLES in the environment sets the number of random examples; without it, they are the same
in each run.
"""

import math
import os

from hypothesis import given, settings
from hypothesis import strategies as st

from catkinspread.admission.summaries import SummaryTable, shorten_numbers
from catkinspread.admission.tests.site import START_MS
from catkinspread.admission.types import RoomSummary, RouteDemand, ServiceInFlight
from catkinspread.deployment.bounds import AMOUNT_MAX
from catkinspread.peers import decode_message, encode_message

EXAMPLES = os.environ.get("FUZZ_EXAMPLES")
SETTINGS = settings(
    max_examples=int(EXAMPLES or 300),
    derandomize=EXAMPLES is None,
    deadline=None,
    database=None,
)
NAMES = st.sampled_from(["a", "b", "c", "pages"])
AMOUNTS = st.floats(allow_nan=True) | st.sampled_from([0.0, 1.0, 5e-324, 2.0**53, 2.0**54])
DEMANDS = st.builds(RouteDemand, NAMES, NAMES, st.integers(0, 9), AMOUNTS, AMOUNTS, AMOUNTS)
SUMMARIES = st.builds(
    RoomSummary,
    NAMES,
    st.integers(0, 40) | st.sampled_from([2**62, 2**63 - 1]),
    st.sampled_from(["east", "west", "north"]),
    st.integers(0, 40) | st.sampled_from([2**53]),
    st.lists(DEMANDS, max_size=3).map(tuple),
    st.lists(st.builds(ServiceInFlight, NAMES, NAMES, AMOUNTS), max_size=3).map(tuple),
)
OWN = RoomSummary("me", 1, "east", 1, (RouteDemand("a", "a", 1, 20.0, 50.0, 5.0),), ())


@SETTINGS
@given(
    st.lists(st.tuples(SUMMARIES, st.integers(0, 2_000)), max_size=12),
    st.integers(1, 5_000),
)
def test_random_summaries_leave_sums_that_can_be_sent(
    received: list[tuple[RoomSummary, int]], known: int
) -> None:
    """Guards against a summary that ends the process or makes a sum that others refuse."""
    table = SummaryTable("me", "east", lambda service, data_centre, now_ms: None)
    now_ms = START_MS
    for summary, delay_ms in received:
        now_ms += delay_ms
        table.apply(summary, now_ms)
        merged = table.merge(OWN, known, now_ms)
        for demands in merged.demands_by_service.values():
            for demand in demands:
                assert 1 <= demand.work_ms < math.inf
                assert 0 <= demand.offered_work_ms_per_s <= AMOUNT_MAX
        assert all(0 < requests <= AMOUNT_MAX for requests in merged.in_flight.values())
        assert 0 <= merged.age_ms < 3_000
        for built in (
            table.build_aggregate(OWN, known, now_ms),
            table.build_partial_sum(OWN, now_ms),
        ):
            shortened = shorten_numbers(built)
            assert decode_message(encode_message(shortened)) == shortened
            receiver = SummaryTable("z", "south", lambda service, data_centre, now_ms: None)
            assert receiver.apply(shortened, now_ms)
    table.expire(now_ms + 3_000)
    assert not table._local_sum._demands
    assert not table._local_sum._in_flight
    assert table._local_count == 0
