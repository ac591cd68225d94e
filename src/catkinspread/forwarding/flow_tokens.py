"""The token field of the packets of a flow: an upstream and how far the handshake has come.

Both ends return the field that they received last. An answer to a repeated opening packet may reach
the caller after the flow is open and then replaces what the caller returns, so an instance that has
no entry for the flow must not rely on such a field alone. The two highest bits of the field
therefore hold a `TokenStage`; the others hold the token of an upstream.
"""

import enum

from catkinspread.deployment import TOKEN_BITS, KnownUpstream

_STAGE_MASK = 0b11


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


def encode_flow_token(upstream: KnownUpstream, stage: TokenStage) -> int:
    """Returns the value of the token field that is sent to an upstream."""
    return stage << TOKEN_BITS | upstream.token


def decode_stage(token: int) -> TokenStage:
    """Returns the stage in a token field received from a caller."""
    return TokenStage(token >> TOKEN_BITS & _STAGE_MASK)


def is_attempt_token(token: int) -> bool:
    """Whether a token field comes from an answer to an opening packet, and so proves little."""
    return decode_stage(token) in (TokenStage.FIRST_ATTEMPT, TokenStage.REPEATED_ATTEMPT)
