"""The token field of packets."""

import pytest

from catkinspread.deployment import SHORT_TOKEN_MAX, DeploymentState, KnownUpstream
from catkinspread.forwarding.flow_tokens import (
    TokenStage,
    compute_attempt_age_ms,
    decode_stage,
    encode_flow_token,
    find_upstream,
    is_attempt_token,
    is_recent_attempt,
    names_upstream,
    replace_upstream,
)
from catkinspread.forwarding.tests.builders import START_MS, build_upstream

# Callers give up opening a flow after this time.
OPEN_TIMEOUT_MS = 1_400
FLOW_LIFETIME_MS = 60_000
ATTEMPTS = (TokenStage.FIRST_ATTEMPT, TokenStage.REPEATED_ATTEMPT)


def _build_state(count: int) -> DeploymentState:
    state = DeploymentState(flow_lifetime_max_ms=60_000)
    for number in range(count):
        state.put_upstream(build_upstream(f"i-{number}"), START_MS)
    return state


@pytest.mark.parametrize("stage", TokenStage)
def test_field_names_its_upstream_and_stage(stage: TokenStage) -> None:
    """Guards against packets of a flow at another upstream than the one that was written."""
    state = _build_state(500)
    one, other = state.list_upstreams()[:2]
    token = encode_flow_token(one, stage, START_MS)
    assert 0 <= token <= 0xFFFF_FFFF
    assert decode_stage(token) is stage
    assert is_attempt_token(token) == (stage in ATTEMPTS)
    assert find_upstream(state, token) is one
    assert names_upstream(token, one)
    assert not names_upstream(token, other)
    assert replace_upstream(token, other) == encode_flow_token(other, stage, START_MS)


@pytest.mark.parametrize("stage", ATTEMPTS)
def test_attempt_is_recent_as_long_as_its_handshake_can_last(stage: TokenStage) -> None:
    """Guards against the token of a late answer that is taken for that of a handshake.

    Flows whose handshake is under way must not be taken for old ones either.
    """
    upstream = KnownUpstream(build_upstream("a"), START_MS)
    for sent_at_ms in range(START_MS, START_MS + 70_000, 37):
        token = encode_flow_token(upstream, stage, sent_at_ms)
        for age_ms in (0, OPEN_TIMEOUT_MS):
            assert is_recent_attempt(token, sent_at_ms + age_ms)
        for age_ms in (2_000, 11_000, FLOW_LIFETIME_MS):
            assert not is_recent_attempt(token, sent_at_ms + age_ms)
            assert 0 <= compute_attempt_age_ms(token, sent_at_ms + age_ms) - age_ms <= 512


def test_ambiguous_short_token_names_no_upstream() -> None:
    """Guards against a flow that goes to another upstream whose token ends alike."""
    state = _build_state(0)
    names = (f"i-{number}" for number in range(1 << 20))
    seen: dict[int, str] = {}
    for name in names:
        known = KnownUpstream(build_upstream(name), START_MS)
        short_token = known.token & SHORT_TOKEN_MAX
        if short_token in seen:
            break
        seen[short_token] = name
    for found in (seen[short_token], name):
        state.put_upstream(build_upstream(found), START_MS)
    token = encode_flow_token(known, TokenStage.FIRST_ATTEMPT, START_MS)
    assert find_upstream(state, token) is None
    assert find_upstream(state, encode_flow_token(known, TokenStage.OPEN, START_MS)) is not None
