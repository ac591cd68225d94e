"""Tests of the answer matcher: a caller receives only the complete answer to its own request."""

import itertools

import msgspec
import pytest

from catkinspread.requests import AnswerMatcher, Attempt, RequestIdentity, RequestParameters
from catkinspread.wire import Answer, AnswerStatus

PARTS = [
    Answer(7, "caller", "1", AnswerStatus.OK, part=part, part_count=3, body=b"%d" % part)
    for part in range(3)
]


def make_attempt(number=1, flow=7):
    return Attempt(RequestIdentity("caller", "1", 0), flow, number, is_idempotent=True)


def make_matcher(*attempts, **parameters):
    matcher = AnswerMatcher(RequestParameters(**parameters))
    for attempt in attempts:
        assert matcher.expect(attempt, expires_at_ms=1_000)
    return matcher


@pytest.mark.parametrize("order", list(itertools.permutations(range(3))))
def test_duplicated_parts_in_any_order_give_one_complete_answer(order):
    """Guards against partial, reordered and duplicate answers."""
    matcher = make_matcher(make_attempt())
    matched = [matcher.accept(PARTS[part]) for part in order for _ in range(2)]
    complete = [item for item in matched if item is not None]
    assert [item.answer.parts for item in complete] == [(b"0", b"1", b"2")]
    assert matcher.unmatched_count == 1


@pytest.mark.parametrize("change", [{"flow": 8}, {"caller_id": "x"}, {"request_id": "2"}])
def test_misrouted_answer_matches_no_attempt(change):
    """Guards against returning the answer of another flow, caller or request."""
    matcher = make_matcher(make_attempt())
    answer = msgspec.structs.replace(PARTS[0], part_count=1, **change)
    assert matcher.accept(answer) is None
    assert matcher.unmatched_count == 1


def test_parts_of_two_attempts_are_not_combined():
    """Guards against an answer with parts of two executions of an idempotent request."""
    matcher = make_matcher(make_attempt(1), make_attempt(2))
    retried = [msgspec.structs.replace(part, request_id="1\x1f2") for part in PARTS]
    assert matcher.accept(PARTS[0]) is None
    assert matcher.accept(retried[1]) is None
    assert matcher.accept(PARTS[2]) is None
    assert matcher.accept(PARTS[1]).attempt.number == 1


def test_answer_after_its_expiry_is_dropped():
    """Guards against a table that grows with each request that is never answered."""
    matcher = make_matcher(make_attempt())
    matcher.tick(1_000)
    assert len(matcher) == 0
    assert matcher.accept(PARTS[0]) is None


@pytest.mark.parametrize(
    "change",
    [{"part": 3}, {"part": -1}, {"part_count": 2}, {"part_count": 0}, {"body": b"x" * 99}],
)
def test_inconsistent_or_oversized_part_is_dropped(change):
    """Guards against answers of the wrong length and unbounded memory use."""
    matcher = make_matcher(make_attempt(), answer_bytes_max=50)
    assert matcher.accept(PARTS[0]) is None
    wrong = msgspec.structs.replace(PARTS[1], **change)
    assert matcher.accept(wrong) is None
    assert matcher.invalid_count == 1
    assert matcher.accept(PARTS[1]) is None
    assert matcher.accept(PARTS[2]) is not None


def test_full_table_rejects_further_attempts():
    """Guards against unbounded memory use when upstreams do not answer."""
    matcher = make_matcher(make_attempt(), pending_max=1)
    assert not matcher.expect(make_attempt(flow=8), expires_at_ms=1_000)
