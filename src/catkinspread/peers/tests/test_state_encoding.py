"""Tests of the encoding of state changes between instances."""

import zlib

import msgspec
import pytest

from catkinspread.deployment import (
    RequestKind,
    Route,
    RoutingConfiguration,
    ServiceAddress,
    ServiceShare,
    StateChange,
    StateChanges,
    UpstreamRecord,
)
from catkinspread.peers.state_encoding import (
    StateEncodingError,
    decode_state_changes,
    encode_state_changes,
)

ROUTES = 300
BYTES_PER_ROUTE_MAX = 40
UPSTREAM = UpstreamRecord("i-1", 1, "pages", "east", "10.0.0.9", 80, 2, False, 0, 1)


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


@pytest.mark.parametrize(
    "change",
    [
        {"report_number": 2**64},
        {"key": -(2**70)},
        {"name": "geb\udcfchr"},
    ],
    ids=["beyond 64 bits", "negative", "lone surrogate"],
)
def test_changes_that_cannot_be_encoded_raise(change: dict[str, object]) -> None:
    """Guards against an OverflowError out of a feeder for a value that it has read."""
    record = msgspec.structs.replace(UPSTREAM, **change)
    with pytest.raises(StateEncodingError):
        encode_state_changes(StateChanges((StateChange("i-1", record),), 9))


@pytest.mark.parametrize(
    "change",
    [
        {"port": 0},
        {"port": 65_536},
        {"host": "host.example"},
        {"host": "10.0.0.9\n"},
        {"service": ""},
        {"service": "s" * 256},
        {"born_ms": -1},
        {"report_number": 2**63},
    ],
    ids=str,
)
def test_record_beyond_a_bound_is_not_taken_from_a_peer(change: dict[str, object]) -> None:
    """Guards against a record of an instance of an earlier version that checked less."""
    record = msgspec.structs.replace(UPSTREAM, **change)
    encoded = encode_state_changes(StateChanges((StateChange("i-1", record),), 9))
    with pytest.raises(StateEncodingError):
        decode_state_changes(encoded)


@pytest.mark.parametrize(
    "encoded",
    [
        encode_state_changes(build_changes()) + b"x",
        encode_state_changes(build_changes())[:-1],
        zlib.compress(b"\x91" * 5_000),
        zlib.compress(b"\x83\xa7changes" + b"\x91" * 5_000),
    ],
    ids=["trailing", "without its checksum", "nested", "nested changes"],
)
def test_damaged_encoding_raises(encoded: bytes) -> None:
    """Guards against an answer of a feeder that ends the reader or is taken in part."""
    with pytest.raises(StateEncodingError):
        decode_state_changes(encoded)
