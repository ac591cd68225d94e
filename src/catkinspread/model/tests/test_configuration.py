"""Compares the packed exceptions of a slot with a dict."""

import hypothesis
from hypothesis import strategies

from catkinspread.model import SlotBase

# Hashes of only three distinct byte values make matches that are not aligned to 8 bytes likely.
_HASHES = strategies.lists(strategies.sampled_from((0, 1, 255)), min_size=8, max_size=8).map(
    lambda parts: int.from_bytes(bytes(parts), "big")
)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    strategies.dictionaries(_HASHES, strategies.sampled_from(("a", "b"))),
    strategies.lists(_HASHES),
)
def test_packed_exceptions_answer_like_a_dict(exceptions, others) -> None:
    """Guards against a hash that is found in the bytes of two adjacent hashes."""
    base = SlotBase.build("c", exceptions)
    assert base.exception_count == len(exceptions)
    for flow in (*exceptions, *others):
        assert base.find_upstream(flow) == exceptions.get(flow, "c")
    kept = {flow: name for flow, name in exceptions.items() if name != "a"}
    assert base.without_upstream("a") == SlotBase.build("c", kept)
