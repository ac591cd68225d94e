"""Encoding of the messages between instances."""

import zlib

import msgspec
import pytest

from catkinspread.admission import (
    DEMANDS_MAX,
    IN_FLIGHT_MAX,
    LIMITED_MAX,
    RoomSummary,
    RouteDemand,
    ServiceInFlight,
)
from catkinspread.peers import (
    FlowAnnouncement,
    FlowLocation,
    Hello,
    HelloReply,
    KnownMember,
    LoadReport,
    Member,
    MemberStatus,
    MessageError,
    RestartMessage,
    SourceCheckRequest,
    UnreachableReport,
    decode_message,
    encode_message,
)
from catkinspread.peers.messages import MESSAGE_MAX_BYTES, PeerMessage

MEMBERS = tuple(
    KnownMember(Member(f"edge-{number}", "khomas-a", f"10.1.0.{number}", 1_772_510_508_150), number)
    for number in range(16)
)
STATUS = MemberStatus(MEMBERS[0].member, 120, True, False, 0)
DEMAND = RouteDemand("pages", "pages", 1, 32.5, 1_200.25, 300.0)
IN_FLIGHT = ServiceInFlight("pages", "khomas-a", 17.0)
ROOM = RoomSummary("edge-1", 7, "khomas-a", 1, (DEMAND,), (IN_FLIGHT,))


@pytest.mark.parametrize(
    "message",
    [
        Hello(STATUS, 1 << 63),
        HelloReply(STATUS, MEMBERS),
        LoadReport("edge-1", 7, {(1 << 31) + number: 3 for number in range(100)}),
        FlowAnnouncement(0xFFFFFFFF, 65_535, 0xFFFFFFFF, 65_535, 1 << 31, 1 << 31, 1 << 31, True),
        FlowLocation(0xFFFFFFFF, 65_535, 0xFFFFFFFF, 65_535, 1 << 31, 1 << 29, 60_000),
        RestartMessage(1 << 31, 2, 700, 2_000),
        SourceCheckRequest("edge-1"),
        ROOM,
        msgspec.structs.replace(
            ROOM,
            demands=(DEMAND,) * DEMANDS_MAX,
            in_flight=(IN_FLIGHT,) * IN_FLIGHT_MAX,
            limited_services=("pages",) * LIMITED_MAX,
        ),
    ],
    ids=[
        "small",
        "members",
        "loads",
        "flow",
        "location",
        "restart",
        "check",
        "room",
        "largest room",
    ],
)
def test_round_trip_is_lossless(message: PeerMessage) -> None:
    """Guards against a compressed or plain message that is read as another one."""
    assert decode_message(encode_message(message)) == message


def test_members_are_compressed() -> None:
    """Guards against the cost of membership on links between data centres."""
    assert len(encode_message(HelloReply(STATUS, MEMBERS))) < 40 * len(MEMBERS)


@pytest.mark.parametrize(
    "datagram",
    [
        b"",
        b"x\x01broken",
        zlib.compress(b"\x91\xa5hello", 1),
        zlib.compress(bytes(2 * MESSAGE_MAX_BYTES), 1),
        encode_message(HelloReply(STATUS, MEMBERS))[:-20],
    ],
    ids=["empty", "corrupt", "incomplete", "too large", "truncated"],
)
def test_datagram_that_is_no_message_raises(datagram: bytes) -> None:
    """Guards against a datagram of another program that ends the instance or fills its memory."""
    with pytest.raises(MessageError):
        decode_message(datagram)


def _change_member(**change: object) -> bytes:
    member = msgspec.structs.replace(MEMBERS[0].member, **change)
    return encode_message(Hello(msgspec.structs.replace(STATUS, member=member), 1))


def _change_room(**change: object) -> bytes:
    return encode_message(msgspec.structs.replace(ROOM, **change))


def _change_demand(**change: object) -> bytes:
    return _change_room(demands=(msgspec.structs.replace(DEMAND, **change),))


def _change_in_flight(**change: object) -> bytes:
    return _change_room(in_flight=(msgspec.structs.replace(IN_FLIGHT, **change),))


@pytest.mark.parametrize(
    "datagram",
    [
        _change_member(host="host.example"),
        _change_member(host="10.1.0.256"),
        _change_member(host="10.1.0.1\n"),
        _change_member(host=""),
        _change_member(name=""),
        _change_member(name="n" * 256),
        _change_member(started_ms=-1),
        _change_member(started_ms=2**64 - 1),
        encode_message(Hello(msgspec.structs.replace(STATUS, source_age_ms=-1), 1)),
        encode_message(Hello(STATUS, -1)),
        encode_message(HelloReply(STATUS, (msgspec.structs.replace(MEMBERS[0], age_ms=-1),))),
        encode_message(HelloReply(STATUS, MEMBERS * 17)),
        encode_message(LoadReport("edge-1", 2**64 - 1, {})),
        encode_message(LoadReport("edge-1", 1, {2**32: 1})),
        encode_message(LoadReport("edge-1", 1, {1: -1})),
        encode_message(UnreachableReport("edge-1", 1, -1)),
        encode_message(HelloReply(STATUS, MEMBERS)) + b"x",
        encode_message(HelloReply(STATUS, MEMBERS))[:-1],
        b"\x91" * 5_000,
        b"\x94\xa5hello" + b"\x91" * 5_000,
        _change_room(sender=""),
        _change_room(sequence=1 << 63),
        _change_room(data_centre="d" * 256),
        _change_room(instance_count=-1),
        _change_room(demands=(DEMAND,) * (DEMANDS_MAX + 1)),
        _change_room(in_flight=(IN_FLIGHT,) * (IN_FLIGHT_MAX + 1)),
        _change_demand(route=""),
        _change_demand(priority=-1),
        _change_demand(work_ms=float("nan")),
        _change_demand(offered_work_ms_per_s=float("inf")),
        _change_demand(committed_work_ms_per_s=-0.5),
        _change_in_flight(service="s" * 256),
        _change_in_flight(data_centre=""),
        _change_in_flight(requests=float("-inf")),
        _change_in_flight(requests=2.0**60),
    ],
    ids=[
        "host name",
        "no address",
        "host with a newline",
        "no host",
        "no name",
        "long name",
        "negative start",
        "start beyond 63 bits",
        "negative age of the source",
        "negative digest",
        "negative age",
        "too many members",
        "sequence beyond 63 bits",
        "token beyond 32 bits",
        "negative load",
        "negative time",
        "trailing",
        "without its checksum",
        "nested",
        "nested status",
        "room without a sender",
        "room with a sequence beyond 63 bits",
        "room with a long data centre",
        "room with a negative number of instances",
        "room with too many demands",
        "room with too many counts",
        "demand without a route",
        "demand with a negative priority",
        "demand with work that is no number",
        "demand with infinite work",
        "demand with negative work",
        "count with a long service",
        "count without a data centre",
        "count with minus infinity",
        "count beyond the bound",
    ],
)
def test_message_beyond_a_bound_raises(datagram: bytes) -> None:
    """Guards against a value of a datagram that raises when it is used or passed on."""
    with pytest.raises(MessageError):
        decode_message(datagram)
