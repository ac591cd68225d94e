"""The token field of the packets of a flow: an upstream and how far the handshake has come.

Both ends return the field that they received last. An answer to an opening packet may reach the
caller after the flow is open and then replaces what the caller returns, so an instance that has no
entry for the flow must not rely on such a field alone. The two highest bits of the field therefore
hold a `TokenStage`.

Of an open flow, the other bits hold the token of the upstream. Of an attempt, they hold 8 bits of the
time at which the opening packet was sent, and 22 bits of the token. The time tells whether the
handshake can still be under way. It repeats after 65 s, which is longer than a flow lives.
"""

import enum

from catkinspread.deployment import (
    SHORT_TOKEN_BITS,
    SHORT_TOKEN_MAX,
    TOKEN_BITS,
    TOKEN_MAX,
    DeploymentState,
    KnownUpstream,
)

_STAGE_MASK = 0b11
# Unit of the time in the token of an attempt, as a power of two: 256 ms.
_TIME_UNIT_SHIFT = 8
_TIME_MASK = (1 << (TOKEN_BITS - SHORT_TOKEN_BITS)) - 1
# Callers give up opening a flow after 1.4 s, which is at most 6 units.
_RECENT_UNITS = 6
# Units by which the clock of the instance that sent the opening packet may be ahead.
_AHEAD_UNITS = 2


class TokenStage(enum.IntEnum):
    """What the system knew about the flow when it wrote the field."""

    # First attempt of the opening packet. Another upstream may hold the flow.
    FIRST_ATTEMPT = 0
    # Any later attempt. Another upstream is likely to hold the flow if the answer was late.
    REPEATED_ATTEMPT = 1
    # The flow is open on this upstream.
    OPEN = 2
    # Not written by this version; treated as OPEN, because earlier versions used all bits for the
    # upstream.
    UNKNOWN = 3


# Read for each packet. Reading a member from its enumeration takes longer than a comparison.
_OPEN = TokenStage.OPEN
_OPEN_MIN = TokenStage.OPEN << TOKEN_BITS


def encode_flow_token(upstream: KnownUpstream, stage: TokenStage, now_ms: int) -> int:
    """Returns the value of the token field that is sent to an upstream.

    Args:
        upstream: The upstream.
        stage: Stage of the handshake.
        now_ms: Current time, when the opening packet is sent; not used for an open flow.
    """
    if stage >= _OPEN:
        return stage << TOKEN_BITS | upstream.token
    time_units = now_ms >> _TIME_UNIT_SHIFT & _TIME_MASK
    short_token = upstream.token & SHORT_TOKEN_MAX
    return stage << TOKEN_BITS | time_units << SHORT_TOKEN_BITS | short_token


def replace_upstream(token: int, upstream: KnownUpstream) -> int:
    """Returns a token field with another upstream and the same stage and time."""
    if is_attempt_token(token):
        return token & ~SHORT_TOKEN_MAX | upstream.token & SHORT_TOKEN_MAX
    return token & ~TOKEN_MAX | upstream.token


def decode_stage(token: int) -> TokenStage:
    """Returns the stage in a token field received from a caller."""
    return TokenStage(token >> TOKEN_BITS & _STAGE_MASK)


def is_attempt_token(token: int) -> bool:
    """Whether a token field comes from an answer to an opening packet, and so proves little."""
    return token < _OPEN_MIN


def is_recent_attempt(token: int, now_ms: int) -> bool:
    """Whether the handshake of an attempt can still be under way.

    The caller of an open flow returns an older attempt only if an upstream answered its opening
    packet late, or if it has received nothing on the flow since it opened.
    """
    age_units = _compute_age_units(token, now_ms)
    return age_units <= _RECENT_UNITS or age_units > _TIME_MASK - _AHEAD_UNITS


def compute_attempt_age_ms(token: int, now_ms: int) -> int:
    """Returns the longest time, in ms, since the opening packet of an attempt can have been sent."""
    return (_compute_age_units(token, now_ms) + 1) << _TIME_UNIT_SHIFT


def find_upstream(state: DeploymentState, token: int) -> KnownUpstream | None:
    """Returns the upstream that a token field names; None if there is none or it is ambiguous."""
    if is_attempt_token(token):
        return state.find_upstream_by_short_token(token & SHORT_TOKEN_MAX)
    return state.find_upstream_by_token(token)


def names_upstream(token: int, upstream: KnownUpstream) -> bool:
    """Whether a token field may name an upstream."""
    mask = SHORT_TOKEN_MAX if is_attempt_token(token) else TOKEN_MAX
    return not (token ^ upstream.token) & mask


def _compute_age_units(token: int, now_ms: int) -> int:
    sent_units = token >> SHORT_TOKEN_BITS & _TIME_MASK
    return (now_ms >> _TIME_UNIT_SHIFT) - sent_units & _TIME_MASK
