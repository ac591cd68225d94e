"""Random answers of the store give records within bounds and refusals, and no other exception.

FUZZ_EXAMPLES in the environment sets the number of random examples; without it, they are the same in
each run.
"""

import contextlib
import json
import os
import random
import zlib

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from catkinspread.admission import RoomSummary, RouteDemand, ServiceInFlight
from catkinspread.clock import ManualClock
from catkinspread.deployment import StateChange, StateChanges, StateKind, UpstreamRecord
from catkinspread.model import Endpoint
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
    PeerDirectory,
    PeerExchange,
    RestartMessage,
    SourceCheckRequest,
    UnreachableReport,
    decode_message,
    encode_message,
)
from catkinspread.peers.state_encoding import (
    StateEncodingError,
    decode_state_changes,
    encode_state_changes,
)
from catkinspread.platform.answers import AnswerError, ReadAnswer, read_changes, read_listing
from catkinspread.platform.tests.corpus import ENTRIES, FRAMES, METAS
from catkinspread.transport.traffic import TrafficMeter

MEMBER = Member("edge-1", "khomas-a", "10.1.0.1", 1_772_510_508_150)
STATUS = MemberStatus(MEMBER, 120, True, False, 0)
MESSAGES = tuple(
    msgspec.msgpack.encode(message)
    for message in (
        Hello(STATUS, 2**64 - 1, (KnownMember(MEMBER, 5),)),
        HelloReply(STATUS, (KnownMember(MEMBER, 5),)),
        FlowAnnouncement(1, 2, 3, 4, 2**32 - 1, 0, 5, True),
        FlowLocation(1, 2, 3, 4, 5, 6, 7),
        LoadReport("edge-1", 7, {2**32 - 1: 3, 5: 1}),
        UnreachableReport("edge-1", 7, 3),
        RestartMessage(7, 1, 700, 2_000),
        SourceCheckRequest("edge-1"),
        RoomSummary(
            "edge-1",
            120,
            "khomas-a",
            5,
            (RouteDemand("pages", "pages", 5, 45.5, 120, 5),),
            (ServiceInFlight("pages", "khomas-a", 5), ServiceInFlight("pages", "khomas-b", 120)),
        ),
    )
)
LISTING = msgspec.msgpack.encode(
    StateChanges(
        (
            StateChange(
                "i-1",
                UpstreamRecord("i-1", 2**64 - 1, "pages", "east", "10.0.0.9", 80, 2, False, 0, 1),
            ),
            StateChange("i-2", None, is_unreadable=True),
        ),
        9,
    )
)
EXAMPLES = os.environ.get("FUZZ_EXAMPLES")
SETTINGS = settings(
    max_examples=int(EXAMPLES or 500),
    derandomize=EXAMPLES is None,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([2**63 - 1, 2**63, 2**64, -(2**64), 65_535, 65_536])
    | st.floats(allow_nan=True)
    | st.text(st.characters(), max_size=20)
)
FIELDS = st.sampled_from(
    ["service", "address", "zone", "version", "state", "slots", "cold_left_ms", "seq", "born"]
    + ["routes", "services", "limits", "name", "host", "path_prefix", "backends", "weight"]
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(FIELDS, inner, max_size=6),
    max_leaves=12,
)
RANDOM_ENTRIES = VALUES.map(lambda value: json.dumps(value).encode())
NESTED_ENTRIES = st.builds(
    lambda depth, opening: opening * depth + b"1" + (b"}" if b"{" in opening else b"]") * depth,
    st.integers(1, 3_000),
    st.sampled_from([b"[", b'{"version":']),
)
DAMAGE = st.binary(max_size=4) | st.sampled_from(
    [b'"', b"\\", b"{", b"}", b"[", b"]", b",", b":", b"\xff", rb"\ud800", b"9" * 30]
)


@st.composite
def damaged(draw: st.DrawFn, source: st.SearchStrategy[bytes]) -> bytes:
    """Draws bytes and then cuts, splices or leaves them as they are."""
    content = draw(source)
    if draw(st.booleans()):
        return content
    start = draw(st.integers(0, len(content)))
    end = draw(st.integers(start, len(content)))
    return content[:start] + draw(DAMAGE) + content[end:]


@st.composite
def objects(draw: st.DrawFn) -> bytes:
    """Draws an object of the store or an event."""
    spec = draw(damaged(st.sampled_from(ENTRIES) | RANDOM_ENTRIES | NESTED_ENTRIES))
    meta = draw(st.sampled_from(METAS) | damaged(st.sampled_from(METAS)))
    item = b'{"meta":%b,"spec":%b}' % (meta, spec)
    if draw(st.booleans()):
        return item
    removed = draw(st.sampled_from([b"true", b"false", b"null", b"1"]))
    return b'{"object":%b,"removed":%b}' % (item, removed)


@st.composite
def answers(draw: st.DrawFn) -> bytes:
    """Draws the body of an answer."""
    items = draw(st.lists(objects(), max_size=3))
    return draw(damaged(st.just(draw(st.sampled_from(FRAMES)) % b",".join(items))))


def check_answer(kind: StateKind, body: bytes) -> None:
    """Reads a body as a listing and as changes, and passes on what it gave."""
    for read in (read_listing, read_changes):
        try:
            answer = read(kind, body)
        except AnswerError:
            continue
        check_passes_on(answer)


def check_passes_on(answer: ReadAnswer) -> None:
    """Checks that what was read can be passed on, and that refusals can be told."""
    changes = StateChanges(answer.changes, answer.revision)
    assert decode_state_changes(encode_state_changes(changes)) == changes
    for change in answer.changes:
        if isinstance(change.record, UpstreamRecord):
            assert 1 <= change.record.port <= 65_535
    for refused in answer.refused:
        assert len(json.dumps(refused.reason)) < 10_000
        (refused.name + refused.reason).encode()


@SETTINGS
@given(st.sampled_from(StateKind), answers())
def test_random_answer_gives_records_or_refusals(kind: StateKind, body: bytes) -> None:
    """Guards against content of another writer that ends the process or stops a reader."""
    check_answer(kind, body)


@pytest.mark.parametrize("kind", StateKind)
@pytest.mark.parametrize("spec", ENTRIES, ids=range(len(ENTRIES)))
def test_entry_of_the_corpus_does_not_hide_others(kind: StateKind, spec: bytes) -> None:
    """Guards against an entry that costs more than itself."""
    bad = b'{"meta":{"name":"i-ff","revision":3},"spec":%b}' % spec
    good = b'{"meta":{"name":"i-1a","revision":3},"spec":%b}' % ENTRIES[0]
    body = b'{"items":[%b,%b],"at_rev":5}' % (good, bad)
    is_frame_broken = spec in (ENTRIES[-1], ENTRIES[-2])
    check_answer(kind, body)
    if not is_frame_broken:
        assert "i-1a" in [change.name for change in read_listing(kind, body).changes]


@SETTINGS
@given(damaged(st.binary(max_size=200) | st.sampled_from(ENTRIES + MESSAGES + (LISTING,))))
def test_random_bytes_from_a_peer_raise_the_typed_errors(content: bytes) -> None:
    """Guards against a datagram or an answer of a feeder that ends the process."""
    for body in (content, zlib.compress(content), b"\x78\x01" + content):
        with contextlib.suppress(MessageError):
            encode_message(decode_message(body))
        with contextlib.suppress(StateEncodingError):
            encode_state_changes(decode_state_changes(body))


MUTATED_FIELDS = (
    ("10.1.0.1", ["255.255.255.255", "0.0.0.0", "10.1.0.256", "host", ""]),
    ("edge-1", ["me", "n" * 255, "n" * 256, "\n", ""]),
    (120, [0, 2**63 - 1, 2**63, 2**64 - 1, -1]),
    (5, [0, 2**63 - 1, 2**64 - 1, -1]),
    (45.5, [0.0, 5e-324, 2.0**53, float("nan"), float("inf"), -0.5]),
)


def replace_values(value: object, replaced: dict[object, object]) -> object:
    """Returns a decoded message in which values are replaced."""
    if isinstance(value, list):
        return [replace_values(item, replaced) for item in value]
    if isinstance(value, dict):
        items = value.items()
        return {replaced.get(key, key): replace_values(item, replaced) for key, item in items}
    return replaced.get(value, value)


@st.composite
def datagrams(draw: st.DrawFn) -> bytes:
    """Draws messages with extreme values in some of their fields."""
    replaced = {value: draw(st.sampled_from([value, *others])) for value, others in MUTATED_FIELDS}
    message = msgspec.msgpack.decode(draw(st.sampled_from(MESSAGES)), strict=False)
    return draw(damaged(st.just(msgspec.msgpack.encode(replace_values(message, replaced)))))


@SETTINGS
@given(st.lists(datagrams(), max_size=4))
def test_datagrams_do_not_raise_later(received: list[bytes]) -> None:
    """Guards against a datagram that ends the process when its content is used or passed on."""
    clock = ManualClock(1_800_000_000_000)
    me = Member("me", "khomas-a", "10.1.0.9", 1)
    directory = PeerDirectory(me, random.Random(1))
    exchange = PeerExchange(
        me,
        7_720,
        ("10.1.0.1",),
        directory,
        lambda: MemberStatus(me, None, True, False, 0),
        lambda: True,
        *[lambda *arguments: None] * 7,
        TrafficMeter(),
        clock,
        random.Random(1),
    )
    for datagram in received:
        exchange._receive(datagram, Endpoint("10.1.0.1", 7_720))
        exchange.send_hello()
        clock.advance(1_000)
        directory.select_feeder(None, clock.now_ms())
        directory.expire_members(clock.now_ms())
