"""Tests of the flow hash and of rendezvous ranking."""

from hypothesis import given, settings
from hypothesis import strategies as st

from catkinspread.hashing import hash_flow, rank_by_rendezvous


def test_hash_flow_is_deterministic_and_separates_fields():
    """Guards against equal flows with different hashes, and fields joined without a separator."""
    assert hash_flow("recipe-desk", "127.0.0.1", 40000) == hash_flow(
        "recipe-desk", "127.0.0.1", 40000
    )
    assert hash_flow("a", "b", 12) != hash_flow("ab", "", 12)


@settings(derandomize=True, max_examples=50)
@given(st.sets(st.text(min_size=1, max_size=8), min_size=2, max_size=12), st.text(max_size=8))
def test_removing_the_first_member_keeps_the_order_of_the_others(members, key):
    """Guards against ownership that moves between the remaining members when the owner leaves."""
    ranked = rank_by_rendezvous(key, members)
    removed = ranked[0]
    assert rank_by_rendezvous(key, members - {removed}) == ranked[1:]
