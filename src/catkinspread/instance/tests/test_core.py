"""Tests of the decision logic of an instance without sockets."""

import random

import pytest

from catkinspread.configuration import (
    ChangeEntry,
    DataCentreSet,
    ServiceSet,
    SlotMove,
    SlotsMoved,
    UpstreamRemoved,
    UpstreamSet,
    apply_entry,
)
from catkinspread.instance import InstanceCore
from catkinspread.instance.actions import SendToCaller, SendToPeer, SendToUpstream
from catkinspread.instance.messages import RelayedAnswer, RelayedRequest, RelayRefused
from catkinspread.limits import ColdStartNotice
from catkinspread.model import (
    SLOT_COUNT,
    Configuration,
    DataCentre,
    DataCentreState,
    Endpoint,
    InstanceIncarnation,
    OwnerGroup,
    Service,
    Upstream,
)
from catkinspread.records import RecordStore, RequestRecord
from catkinspread.requests import ForwardedRequest
from catkinspread.routing import ForwardHeader, MemberView, PacketKind
from catkinspread.wire import (
    Accepted,
    Answer,
    AnswerStatus,
    FabricPacket,
    Open,
    Request,
    Reset,
    encode_packet,
)

NOW = 1_000_000
DESK = Endpoint("127.0.0.1", 9000)
VAULT = Endpoint("127.0.0.1", 9001)
UPSTREAMS = {"rd-1": Endpoint("127.0.0.1", 9101), "pv-1": Endpoint("127.0.0.1", 9102)}
CALLER = Endpoint("127.0.0.1", 40000)


def build_configuration():
    every_slot = tuple(range(SLOT_COUNT))
    group = OwnerGroup((InstanceIncarnation("i1", 1),))
    effects = (
        DataCentreSet(DataCentre("khomas-1", "khomas")),
        ServiceSet(Service("recipe-desk", DESK)),
        ServiceSet(Service("plate-vault", VAULT)),
        UpstreamSet(Upstream("rd-1", "recipe-desk", "khomas-1", UPSTREAMS["rd-1"])),
        UpstreamSet(Upstream("pv-1", "plate-vault", "khomas-1", UPSTREAMS["pv-1"])),
        SlotsMoved("recipe-desk", (SlotMove("rd-1", every_slot),), group),
        SlotsMoved("plate-vault", (SlotMove("pv-1", every_slot),), group),
    )
    change = ChangeEntry("first", "operator", "", "", 10, 0, effects)
    return apply_entry(Configuration(), 1, change)


def build_core():
    core = InstanceCore(
        InstanceIncarnation("i1", 1), 100, RecordStore("i1", NOW), random.Random(1), NOW - 10_000
    )
    core.apply(build_configuration(), NOW - 10_000)
    core.set_members([MemberView("i1", 1, "khomas-1", version=1)], NOW - 10_000)
    core.state.router.record_contact(1, NOW - 10_000)
    for now_ms in range(NOW - 10_000, NOW + 1, 1_000):
        core.tick(now_ms)
    return core


def send(core, packet, service=DESK):
    datagram = encode_packet(packet)
    fabric_packet = FabricPacket(service.host, service.port, CALLER.host, CALLER.port, datagram)
    return core.handle_caller(fabric_packet, NOW)


def make_request(flow=0, timeout_ms=500):
    return Request(flow, "press", "7", NOW, timeout_ms, True, 0, b"page")


def test_an_answer_of_another_service_never_reaches_the_caller():
    """Guards against a packet of one service that is handed to a caller of another."""
    core = build_core()
    (sent,) = send(core, Open())
    assert sent == SendToUpstream(UPSTREAMS["rd-1"], Open(sent.packet.flow))
    reply = encode_packet(Accepted(sent.packet.flow))
    assert core.handle_upstream(UPSTREAMS["pv-1"], reply, NOW) == []
    assert core.handle_upstream(Endpoint("127.0.0.1", 1), reply, NOW) == []
    assert core.handle_upstream(UPSTREAMS["rd-1"], reply, NOW) == [
        SendToCaller(DESK, CALLER, Accepted())
    ]
    assert core.state.drops == {"unknown-flow": 1, "unknown-upstream": 1}


@pytest.mark.parametrize(
    ("service", "datagram", "reason"),
    [
        (Endpoint("127.0.0.1", 1), encode_packet(Open()), "unknown-service"),
        (DESK, b"\x01\xc1", "malformed-caller-packet"),
        (DESK, b"\x01" + bytes(5_000), "malformed-caller-packet"),
        (DESK, encode_packet(Accepted()), "unexpected-caller-packet"),
    ],
)
def test_bad_packets_are_counted_and_dropped(service, datagram, reason):
    """Guards against a datagram from outside that raises or is relayed."""
    core = build_core()
    fabric_packet = FabricPacket(service.host, service.port, CALLER.host, CALLER.port, datagram)
    assert core.handle_caller(fabric_packet, NOW) == []
    assert core.state.drops == {reason: 1}


def test_a_refused_request_leaves_a_record_that_explains_it():
    """Guards against a refusal that nobody can explain afterwards."""
    core = build_core()
    send(core, make_request(timeout_ms=0))
    for now_ms in range(NOW, NOW + 5_000, 50):
        core.tick(now_ms)
    (record,) = core.state.recorder.store.find_by_request_id("recipe-desk", "7")
    assert isinstance(record, RequestRecord)
    assert record.version == 1
    assert record.timings.arrived_at_ms == NOW


def test_a_new_instance_drops_requests_until_it_may_route():
    """Guards against a refusal by a restarted instance of a request that others can serve."""
    core = InstanceCore(
        InstanceIncarnation("i1", 1), 100, RecordStore("i1", NOW), random.Random(1), NOW
    )
    core.apply(build_configuration(), NOW)
    assert send(core, make_request()) == []
    forwarded = ForwardedRequest(
        origin=InstanceIncarnation("i2", 1), service="recipe-desk", request=make_request()
    )
    assert core.handle_peer(InstanceIncarnation("i2", 1), forwarded, NOW) == []
    assert core.state.drops == {"not-ready": 2}
    for now_ms in range(NOW, NOW + 1_000, 20):
        assert core.tick(now_ms) == []


def test_a_relayed_request_is_answered_to_its_origin_or_refused():
    """Guards against an answer that stays at the instance that sent the request."""
    core = build_core()
    (opened,) = send(core, Open())
    flow = opened.packet.flow
    header = ForwardHeader(PacketKind.DATA, "recipe-desk", flow, 1, "rd-1")
    relayed = RelayedRequest(5, header, make_request(flow), NOW + 500, True)
    origin = InstanceIncarnation("i2", 1)
    # The share of a new controller is empty, so the request starts with the next tick.
    (sent,) = core.handle_peer(origin, relayed, NOW) + core.tick(NOW + 20)
    assert sent == SendToUpstream(UPSTREAMS["rd-1"], make_request(flow), NOW + 500)
    answer = Answer(flow, "press", "7", AnswerStatus.OK, body=b"x")
    returned = core.handle_upstream(UPSTREAMS["rd-1"], encode_packet(answer), NOW)
    assert returned == [SendToPeer("i2", RelayedAnswer(answer))]
    late = RelayedRequest(6, header, make_request(flow), NOW, True)
    (refused,) = core.handle_peer(origin, late, NOW)
    assert isinstance(refused.body, RelayRefused)
    assert refused.body.relay == 6


def test_each_origin_of_a_relayed_request_gets_its_answer_or_refusal():
    """Guards against a copy that is never answered and keeps a leaving instance waiting."""
    core = build_core()
    (opened,) = send(core, Open())
    flow = opened.packet.flow
    header = ForwardHeader(PacketKind.DATA, "recipe-desk", flow, 1, "rd-1")
    relayed = RelayedRequest(5, header, make_request(flow), NOW + 500, True)
    origins = [InstanceIncarnation(name, 1) for name in ("i2", "i3", "i4")]
    queued = [core.handle_peer(origin, relayed, NOW) for origin in origins[:2]]
    assert queued == [[], []]
    assert core.tick(NOW + 20) == [SendToUpstream(UPSTREAMS["rd-1"], make_request(flow), NOW + 500)]
    assert core.handle_peer(origins[2], relayed, NOW + 20) == []
    answer = Answer(flow, "press", "7", AnswerStatus.OK, body=b"x")
    returned = core.handle_upstream(UPSTREAMS["rd-1"], encode_packet(answer), NOW + 40)
    assert returned == [SendToPeer(name, RelayedAnswer(answer)) for name in ("i2", "i3", "i4")]
    assert core.requests.count_open(NOW + 40) == 0
    waiting = RelayedRequest(6, header, make_request(flow), NOW + 41, True)
    core.state.router.record_contact(1, NOW + 40)
    refused = [
        action for origin in origins[:2] for action in core.handle_peer(origin, waiting, NOW + 40)
    ] + core.tick(NOW + 60)
    refusals = [action for action in refused if isinstance(action, SendToPeer)]
    assert [(action.instance, action.body.relay) for action in refusals] == [("i2", 6), ("i3", 6)]


def test_a_flow_in_a_data_centre_that_is_out_is_reset_and_recorded():
    """Guards against packets that still reach a data centre after it was taken out."""
    core = build_core()
    send(core, Open())
    out = DataCentreSet(DataCentre("khomas-1", "khomas", DataCentreState.OUT))
    change = ChangeEntry("out", "operator", "", "", 20, 0, (out,))
    core.apply(apply_entry(core.state.configuration, 2, change), NOW)
    (action,) = send(core, Request(0, "press", "8", NOW, 500, True, 0, b""))
    assert isinstance(action, SendToCaller)
    packet = encode_packet(Open())
    assert (
        core.handle_caller(
            FabricPacket(DESK.host, DESK.port, CALLER.host, CALLER.port, packet), NOW
        )
        == []
    )
    assert core.state.drops["data-centre-out"] == 1


def test_a_joining_instance_hears_of_unannounced_cold_starts():
    """Guards against a restarted instance that sends full load to an upstream that is cold."""
    core = build_core()
    notice = ColdStartNotice("rd-1", 3, NOW, "i9")
    core.handle_peer(InstanceIncarnation("i9", 1), notice, NOW)
    members = [
        MemberView("i1", 1, "khomas-1", version=1),
        MemberView("i2", 7, "khomas-1", version=1),
    ]
    sent = [
        action
        for action in core.set_members(members, NOW + 10)
        if isinstance(action, SendToPeer) and isinstance(action.body, ColdStartNotice)
    ]
    assert [(action.instance, action.body.upstream) for action in sent] == [("i2", "rd-1")]
    assert not isinstance(send(core, Open())[0], Reset)


def test_an_answer_of_an_upstream_that_was_removed_meanwhile_reaches_its_caller():
    """Guards against an error when an answer arrives after the removal of its upstream."""
    core = build_core()
    send(core, Open())
    actions = send(core, make_request()) + core.tick(NOW + 20)
    (sent,) = [action for action in actions if isinstance(action, SendToUpstream)]
    removed = ChangeEntry("gone", "operator", "", "", 20, 0, (UpstreamRemoved("rd-1"),))
    core.apply(apply_entry(core.state.configuration, 2, removed), NOW + 30)
    request = sent.packet
    answer = Answer(request.flow, "press", request.request_id, AnswerStatus.OK, body=b"x")
    (reply,) = core.requests.handle_answer(answer, NOW + 40)
    assert isinstance(reply, SendToCaller)
    assert reply.packet.body == b"x"
