"""Tests of the encoding of state changes between instances."""

import pytest

from catkinspread.deployment import (
    RequestKind,
    Route,
    RoutingConfiguration,
    ServiceAddress,
    ServiceShare,
    StateChange,
    StateChanges,
)
from catkinspread.peers.state_encoding import (
    StateEncodingError,
    decode_state_changes,
    encode_state_changes,
)

ROUTES = 300
BYTES_PER_ROUTE_MAX = 40


def build_changes() -> StateChanges:
    routes = tuple(
        Route(
            name=f"route-{number}",
            address=ServiceAddress(0xC6120000 + number, 443),
            shares=(ServiceShare("pages", 1.0),),
            kind=RequestKind.IDEMPOTENT,
            timeout_ms=1_500,
            priority=1,
        )
        for number in range(ROUTES)
    )
    configuration = RoutingConfiguration(7, routes, (), 15_000)
    return StateChanges((StateChange("main", configuration), StateChange("gone", None)), 9)


def test_round_trip_is_lossless_and_small() -> None:
    """Guards against lost fields and against encodings too large for a slow link."""
    encoded = encode_state_changes(build_changes())
    assert decode_state_changes(encoded) == build_changes()
    assert len(encoded) < ROUTES * BYTES_PER_ROUTE_MAX


@pytest.mark.parametrize(
    "encoded", [b"", b"no records", encode_state_changes(build_changes())[:100]]
)
def test_corrupt_input_raises(encoded: bytes) -> None:
    """Guards against a follower that applies a truncated encoding as the complete state."""
    with pytest.raises(StateEncodingError):
        decode_state_changes(encoded)
