"""Upstreams whose names have the same token."""

import itertools

import msgspec

from catkinspread.deployment import (
    DeploymentState,
    KnownUpstream,
    UpstreamRecord,
    compute_token,
)

NOW_MS = 1_000_000
# Their tokens are equal.
FIRST_NAME = "i-000000102c"
SECOND_NAME = "i-0000010614"
FIRST = UpstreamRecord(FIRST_NAME, 1, "orders", "east", "10.0.0.1", 80, 2, False, 0, 100)
SECOND = UpstreamRecord(SECOND_NAME, 2, "pages", "east", "10.0.0.2", 80, 2, False, 0, 200)


def _build(*records: UpstreamRecord) -> DeploymentState:
    state = DeploymentState(flow_lifetime_max_ms=60_000)
    for record in records:
        state.put_upstream(record, NOW_MS)
    return state


def _find(state: DeploymentState, name: str) -> KnownUpstream:
    return next(known for known in state.list_upstreams() if known.record.name == name)


def test_flows_of_colliding_upstreams_are_told_apart() -> None:
    """Guards against an adopted flow that goes to the upstream that was added last."""
    assert compute_token(FIRST_NAME) == compute_token(SECOND_NAME)
    for records in itertools.permutations((FIRST, SECOND)):
        state = _build(*records)
        for name in (FIRST_NAME, SECOND_NAME):
            known = _find(state, name)
            assert state.find_upstream_by_token(known.token) is known


def test_all_instances_use_the_same_tokens() -> None:
    """Guards against tokens that depend on the order in which an instance learned of upstreams."""
    one, other = _build(FIRST, SECOND), _build(SECOND, FIRST)
    for name in (FIRST_NAME, SECOND_NAME):
        assert _find(one, name).token == _find(other, name).token


def test_upstream_that_is_added_later_takes_no_flows() -> None:
    """Guards against open flows that move when a colliding upstream is added."""
    state = _build(FIRST)
    token = _find(state, FIRST_NAME).token
    state.put_upstream(SECOND, NOW_MS)
    assert state.find_upstream_by_token(token) is _find(state, FIRST_NAME)


def test_restart_of_the_first_upstream_moves_no_flow_of_the_second() -> None:
    """Guards against flows of a running upstream that follow a change of the order of births."""
    state = _build(FIRST, SECOND)
    second = _find(state, SECOND_NAME)
    token = second.token
    state.put_upstream(msgspec.structs.replace(FIRST, born_ms=300), NOW_MS)
    assert state.find_upstream_by_token(token) is second
    assert state.find_upstream_by_token(second.token) is second


def test_flows_of_the_second_upstream_stay_when_the_first_is_deleted() -> None:
    """Guards against alternative tokens that end with the collision, here or at other instances."""
    both, alone = _build(FIRST, SECOND), _build(SECOND)
    token = _find(both, SECOND_NAME).token
    both.put_upstream(msgspec.structs.replace(FIRST, is_draining=True), NOW_MS)
    both.mark_upstream_missing(FIRST_NAME, NOW_MS)
    both.expire_upstreams(NOW_MS + 60_000, NOW_MS)
    for state in (both, alone):
        known = _find(state, SECOND_NAME)
        assert state.find_upstream_by_token(token) is known
        assert state.find_upstream_by_token(compute_token(SECOND_NAME)) is known
