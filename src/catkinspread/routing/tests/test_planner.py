"""Tests of the planner against independently computed shares and numbers of moves."""

import hypothesis
from hypothesis import strategies

from catkinspread.model import SLOT_COUNT, OwnerGroup, SlotBase, SlotTable, SlotTransition
from catkinspread.routing import (
    apportion_slots,
    current_upstream,
    plan_rebalance,
    plan_rebalance_step,
)

_NAMES = ("a", "b", "c", "d", "e")


def _table(names: list[str]) -> SlotTable:
    return SlotTable(bases=tuple(SlotBase(default=name) for name in names))


def _apply(table: SlotTable, moves) -> SlotTable:
    names = [current_upstream(table, slot) for slot in range(SLOT_COUNT)]
    for move in moves:
        for slot in move.slots:
            names[slot] = move.target
    return _table(names)


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(
    strategies.randoms(use_true_random=False),
    strategies.dictionaries(strategies.sampled_from(_NAMES), strategies.integers(0, 1000)),
)
def test_plan_reaches_the_shares_with_the_fewest_moves(random, weights) -> None:
    """Guards against wrong shares and unnecessary moves."""
    table = _table([random.choice(("", *_NAMES)) for _ in range(SLOT_COUNT)])
    moves = plan_rebalance(table, weights)
    after = _apply(table, moves)
    held = {name: sum(base.default == name for base in table.bases) for name in _NAMES}
    shares = apportion_slots(weights, held)
    total = sum(weights.values())
    owned = dict.fromkeys(("", *_NAMES), 0)
    for slot in range(SLOT_COUNT):
        owned[current_upstream(after, slot)] += 1
    if not shares:
        assert owned[""] == SLOT_COUNT
        return
    assert {name: count for name, count in owned.items() if count} == {
        name: count for name, count in shares.items() if count
    }
    for name, share in shares.items():
        assert abs(share - SLOT_COUNT * weights[name] / total) < 1
    before = {name: sum(base.default == name for base in table.bases) for name in shares}
    needed = sum(max(0, shares[name] - before[name]) for name in shares)
    assert sum(len(move.slots) for move in moves) == needed


def test_target_of_a_transition_counts_as_current() -> None:
    """Guards against a second change that counts a slot in transition by its old upstream."""
    transition = SlotTransition(target="b", group=OwnerGroup(()), version=1, started_at_ms=0)
    table = SlotTable(
        bases=(SlotBase(default="a"),) * SLOT_COUNT,
        transitions=dict.fromkeys(range(512), transition),
    )
    assert plan_rebalance(table, {"a": 1, "b": 1}) == ()


def test_steps_respect_the_limit_and_end_at_the_plan() -> None:
    """Guards against a cold upstream that receives all its slots in one step."""
    weights = {"a": 100, "b": 100, "c": 100}
    table = _table(["a", "b"] * (SLOT_COUNT // 2))
    steps = 0
    while moves := plan_rebalance_step(table, weights, {"c": 100}):
        assert sum(len(move.slots) for move in moves if move.target == "c") <= 100
        table = _apply(table, moves)
        steps += 1
    assert steps == 4
    assert plan_rebalance(table, weights) == ()


def test_step_empties_an_upstream_that_loses_its_weight() -> None:
    """Guards against a draining upstream that keeps slots while the others warm up."""
    table = _table(["a", "b"] * (SLOT_COUNT // 2))
    after = _apply(table, plan_rebalance_step(table, {"b": 100, "c": 100}, {"c": 8}))
    names = [base.default for base in after.bases]
    assert (names.count("a"), names.count("c")) == (0, 8)


def test_ties_leave_slots_where_they_are() -> None:
    """Guards against moves that only change which upstream has the additional slot."""
    table = _table(["a"] * 341 + ["b"] * 341 + ["c"] * 342)
    assert plan_rebalance(table, {"a": 1, "b": 1, "c": 1}) == ()
