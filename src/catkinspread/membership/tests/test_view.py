"""Tests of the membership view over simulated links."""

import random

import pytest

from catkinspread.bench.fleet import START_MS, Fleet
from catkinspread.membership import (
    Heartbeat,
    MemberRecord,
    MembershipMessageError,
    MembershipView,
    MemberState,
    SendMessage,
    decode_membership_message,
    encode_membership_message,
)
from catkinspread.membership.messages import MemberUpdate
from catkinspread.model import Endpoint, InstanceIncarnation


def make_fleet(seed=1, node_count=9, **options):
    fleet = Fleet(seed, node_count, **options)
    fleet.deaths = []

    def record_death(node, change, now_ms):
        if change.state is MemberState.DEAD:
            fleet.deaths.append((node.name, change.member, now_ms))

    fleet.on_change = record_death
    fleet.start_all()
    fleet.run(3_000)
    return fleet


def count_live(fleet):
    return {node.name: len(node.view.list_live()) for node in fleet.list_running()}


def make_view(name="a", incarnation=START_MS, now_ms=START_MS):
    record = MemberRecord(
        name, incarnation, 0, MemberState.ALIVE, "dc-1", f"10.0.0.{ord(name)}", 9001
    )
    return MembershipView(record, random.Random(1), now_ms)


def make_pair():
    view, peer_view = make_view("a"), make_view("b")
    view.merge_view([peer_view.own.make_record(START_MS)], START_MS)
    peer_view.merge_view([view.own.make_record(START_MS)], START_MS)
    return view, peer_view


def list_heartbeats(actions):
    sent = [action.message for action in actions if isinstance(action, SendMessage)]
    return [message for message in sent if isinstance(message, Heartbeat)]


def test_death_is_known_everywhere_within_seconds():
    """Guards against a dead owner that some views still treat as live."""
    fleet = make_fleet()
    victim = "dc-2-004"
    owner = InstanceIncarnation(victim, fleet.nodes[victim].view.own.incarnation)
    assert all(node.view.is_live(owner) for node in fleet.list_running())
    killed_ms = fleet.now_ms
    fleet.kill(victim)
    fleet.run(4_000)
    assert {name for name, _, _ in fleet.deaths} == set(fleet.nodes) - {victim}
    assert max(time_ms for _, _, time_ms in fleet.deaths) - killed_ms < 4_000
    fleet.start(victim)
    fleet.run(3_000)
    for node in fleet.list_running():
        assert node.view.find_live(victim) is not None
        assert not node.view.is_live(owner)


def test_packet_loss_causes_no_false_deaths():
    """Guards against false deaths, which would take slots from working members."""
    fleet = make_fleet(seed=3, loss=0.05)
    fleet.run(60_000)
    assert fleet.deaths == []


def test_leave_is_known_without_suspicion():
    """Guards against a planned stop that others detect only by failed probes."""
    fleet = make_fleet()
    fleet.leave("dc-1-000")
    fleet.run(1_500)
    assert fleet.deaths == []
    assert set(count_live(fleet).values()) == {8}
    assert {node.view.count_known() for node in fleet.list_running()} == {9}
    fleet.run(3_601_000)
    assert {node.view.count_known() for node in fleet.list_running()} == {8}


def test_paused_member_refutes_its_suspicion_and_keeps_its_incarnation():
    """Guards against a member that loses its slots because of a short pause."""
    fleet = make_fleet()
    suspected = []
    fleet.on_change = lambda node, change, now_ms: suspected.append(change.state)
    paused = fleet.nodes["dc-3-002"]
    incarnation = paused.view.own.incarnation
    fleet.pause(paused.name, 1_700)
    fleet.run(8_000)
    assert MemberState.SUSPECT in suspected
    assert MemberState.DEAD not in suspected
    assert paused.view.own.incarnation == incarnation
    assert paused.view.own.refutation > 0
    assert set(count_live(fleet).values()) == {9}


def test_member_that_was_declared_dead_returns_as_a_new_incarnation():
    """Guards against a resumed owner that still answers for slots its successor has taken over."""
    fleet = make_fleet()
    paused = fleet.nodes["dc-3-002"]
    before = InstanceIncarnation(paused.name, paused.view.own.incarnation)
    fleet.pause(paused.name, 20_000)
    fleet.run(19_000)
    assert set(count_live(fleet).values()) == {8, 9}
    # The resumed instance must not mark members as dead whose replies arrived during the pause.
    fleet.deaths.clear()
    fleet.run(10_000)
    assert fleet.deaths == []
    assert set(count_live(fleet).values()) == {9}
    assert not any(node.view.is_live(before) for node in fleet.list_running())


def test_view_is_stale_after_a_pause_until_a_later_exchange():
    """Guards against a resumed instance that acts on its view from before the pause."""
    view, peer_view = make_pair()
    before = list_heartbeats(view.tick(START_MS + 1_000))
    assert not view.is_stale
    after = list_heartbeats(view.tick(START_MS + 5_000))
    assert view.is_stale
    old_reply = list_heartbeats(peer_view.handle(before[0], START_MS + 1_000))
    view.handle(old_reply[0], START_MS + 5_010)
    assert view.is_stale
    view.record_platform_contact(START_MS + 4_999)
    assert view.is_stale
    reply = list_heartbeats(peer_view.handle(after[0], START_MS + 1_010))
    view.handle(reply[0], START_MS + 5_020)
    assert not view.is_stale
    view.tick(START_MS + 9_000)
    view.record_platform_contact(START_MS + 9_000)
    assert not view.is_stale


def test_false_death_is_refuted_by_a_new_incarnation():
    """Guards against a live member that others consider dead permanently."""
    view, peer_view = make_pair()
    claim = MemberUpdate("a", START_MS, 0, MemberState.SUSPECT)
    heartbeat = Heartbeat("b", START_MS, 0, MemberState.ALIVE, 0, 1, False, 0, None, (claim,))
    view.handle(heartbeat, START_MS + 10)
    assert (view.own.incarnation, view.own.refutation) == (START_MS, 1)
    claim = MemberUpdate("a", START_MS, 1, MemberState.DEAD)
    heartbeat = Heartbeat("b", START_MS, 0, MemberState.ALIVE, 0, 2, False, 0, None, (claim,))
    view.handle(heartbeat, START_MS + 20)
    assert (view.own.incarnation, view.own.refutation) == (START_MS + 20, 0)


def test_restart_with_an_earlier_clock_supersedes_the_earlier_run():
    """Guards against a replacement whose records are ignored because its clock is behind."""
    peer_view = make_view("b")
    earlier_run = make_view("a", incarnation=START_MS + 900_000).own.make_record(START_MS)
    peer_view.merge_view([earlier_run], START_MS)
    view = make_view("a", incarnation=START_MS + 100)
    view.add_seeds([peer_view.own.endpoint])
    (request,) = view.tick(START_MS + 100)
    (page,) = peer_view.handle(request.message, START_MS + 100)
    view.handle(page.message, START_MS + 101)
    assert view.own.incarnation == START_MS + 900_001
    for heartbeat in list_heartbeats(view.tick(START_MS + 2_000)):
        peer_view.handle(heartbeat, START_MS + 2_000)
    assert peer_view.find_live("a") == InstanceIncarnation("a", START_MS + 900_001)


def test_outdated_platform_list_makes_no_dead_member_live():
    """Guards against dead instances that count as live because the platform still lists them."""
    fleet = make_fleet()
    fleet.kill("dc-1-000")
    fleet.kill("dc-2-001")
    fleet.run(4_000)
    endpoints = [node.endpoint for node in fleet.nodes.values()]
    for node in fleet.list_running():
        node.view.add_seeds(endpoints)
    fleet.start("dc-1-000", endpoints)
    fleet.run(4_000)
    assert set(count_live(fleet).values()) == {8}
    assert {node.view.count_known() for node in fleet.list_running()} == {9}


def test_instance_joins_through_any_live_seed():
    """Guards against a start that fails because most of the listed instances have stopped."""
    fleet = make_fleet()
    for name in list(fleet.nodes)[:6]:
        fleet.kill(name)
    fleet.run(4_000)
    fleet.start("dc-1-000", fleet.list_seeds() + [fleet.nodes["dc-3-008"].endpoint])
    fleet.run(3_000)
    assert set(count_live(fleet).values()) == {4}


def test_isolated_data_centre_rejoins_all_views():
    """Guards against two sides that consider each other dead after a partition has healed."""
    fleet = make_fleet()
    fleet.links.isolate("dc-2")
    fleet.run(60_000)
    live = count_live(fleet)
    assert {live[name] for name in live if name.startswith("dc-2")} == {3}
    assert {live[name] for name in live if not name.startswith("dc-2")} == {6}
    fleet.links.cut.clear()
    fleet.run(10_000)
    assert set(count_live(fleet).values()) == {9}


def test_missed_join_is_found_by_comparing_digests():
    """Guards against a view that never learns of a member because the messages were lost."""
    fleet = make_fleet()
    fleet.run(10_000)
    missed = "dc-2-004"
    records = [
        node.view.own.make_record(fleet.now_ms)
        for node in fleet.list_running()
        if node.name != missed
    ]
    fleet.kill("dc-1-000")
    view = fleet.start("dc-1-000", [])
    view.merge_view(records, fleet.now_ms)
    assert view.find_member(missed) is None
    fleet.run(15_000)
    assert view.find_live(missed) is not None


def test_version_reports_reach_all_members_and_are_never_premature():
    """Guards against a configuration change that continues before all live members have it."""
    fleet = make_fleet()
    nodes = fleet.list_running()
    for node in nodes[1:]:
        node.view.set_configuration_version(4)
    for _ in range(40):
        fleet.run(100)
        assert not any(node.view.have_all_reported(4) for node in nodes)
    assert all(node.view.find_reported_version(nodes[1].name) == 4 for node in nodes)
    nodes[0].view.set_configuration_version(5)
    fleet.run(4_000)
    assert all(node.view.have_all_reported(4) for node in nodes)
    assert not any(node.view.have_all_reported(5) for node in nodes)
    fleet.start("dc-1-000")
    fleet.run(3_000)
    assert not any(node.view.have_all_reported(4) for node in nodes)


@pytest.mark.parametrize("node_count", [9, 80])
def test_traffic_does_not_depend_on_the_number_of_instances(node_count):
    """Guards against control traffic per instance that grows with the fleet."""
    fleet = make_fleet(node_count=node_count)
    before = sum(node.bytes_sent + node.bytes_received for node in fleet.nodes.values())
    fleet.run(10_000)
    after = sum(node.bytes_sent + node.bytes_received for node in fleet.nodes.values())
    assert (after - before) / 10 / node_count < 600


def test_heartbeats_stay_within_their_size_limit_when_all_members_change():
    """Guards against heartbeats that exceed the byte limit after a mass failure."""
    view = make_view()
    records = [make_view(chr(98 + i)).own.make_record(START_MS) for i in range(200)]
    heartbeat = Heartbeat(
        "b", START_MS, 0, MemberState.ALIVE, 9, 1, False, 0, None, (), tuple(records)
    )
    actions = view.handle(heartbeat, START_MS + 10)
    sent = list_heartbeats(actions + view.tick(START_MS + 1_000))
    assert sent
    # 240 bytes (`heartbeat_max_bytes`) and the protocol version byte.
    assert max(len(encode_membership_message(message)) for message in sent) <= 241
    assert any(len(message.records) >= 2 for message in sent)


def test_mass_death_is_disseminated_as_hashes_of_the_dead_incarnations():
    """Guards against a lost data centre that takes minutes to become known.

    Also guards against a false death of a newer incarnation that only shares its id.
    """
    view_a, view_b, view_c = make_view(), make_view("b"), make_view("c")
    records = [
        MemberRecord(f"x{i}", START_MS, 0, MemberState.ALIVE, "dc-2", "10.2.0.1", i)
        for i in range(200)
    ]
    for reader in (view_a, view_b, view_c):
        peers = [source.own.make_record(START_MS) for source in (view_a, view_b, view_c)]
        reader.merge_view(records + peers, START_MS)
    newer = MemberRecord("x7", START_MS + 5, 0, MemberState.ALIVE, "dc-2", "10.2.0.1", 7)
    view_c.merge_view([newer], START_MS)
    deaths = tuple(MemberUpdate(f"x{i}", START_MS, 0, MemberState.DEAD) for i in range(200))
    claim = Heartbeat("b", START_MS, 0, MemberState.ALIVE, 0, 1, False, 0, None, deaths)
    view_a.handle(claim, START_MS + 10)
    request = Heartbeat("c", START_MS, 0, MemberState.ALIVE, 0, 1, False, 0)
    for _ in range(5):
        reply = list_heartbeats(view_a.handle(request, START_MS + 20))[-1]
        # 240 bytes (`heartbeat_max_bytes`) and the protocol version byte.
        assert len(encode_membership_message(reply)) <= 241
        assert len(reply.deaths) >= 4 * 40
        view_c.handle(reply, START_MS + 30)
    assert view_c.list_live() == ["a", "b", "c", "x7"]


def test_unknown_incarnation_gets_a_reply_and_its_record_updates_the_endpoint():
    """Guards against senders that are suspected because their incarnation is not known yet.

    Many senders have an unknown incarnation while a partition heals. Also guards against a new
    incarnation that keeps the endpoint assumed from the earlier one.
    """
    view, _ = make_pair()
    heartbeat = Heartbeat("b", START_MS + 9, 0, MemberState.ALIVE, 0, 5, False, 0)
    (reply,) = list_heartbeats(view.handle(heartbeat, START_MS + 10))[:1]
    assert (reply.is_reply, reply.sequence) == (True, 5)
    assert view.find_live("b") == InstanceIncarnation("b", START_MS + 9)
    moved = MemberRecord("b", START_MS + 9, 0, MemberState.ALIVE, "dc-1", "10.0.0.77", 9001)
    heartbeat = Heartbeat(
        "b", START_MS + 9, 0, MemberState.ALIVE, 0, 6, False, 0, None, (), (moved,)
    )
    view.handle(heartbeat, START_MS + 20)
    assert view.find_member("b").endpoint == Endpoint("10.0.0.77", 9001)


def test_foreign_or_malformed_datagrams_are_rejected():
    """Guards against a crash or a wrong view caused by foreign or malformed datagrams."""
    view, _ = make_pair()
    heartbeat = list_heartbeats(view.tick(START_MS + 1_000))[0]
    datagram = encode_membership_message(heartbeat)
    assert decode_membership_message(datagram) == heartbeat
    with pytest.raises(MembershipMessageError, match="version is 9"):
        decode_membership_message(b"\x09" + datagram[1:])
    with pytest.raises(MembershipMessageError, match="malformed"):
        decode_membership_message(datagram[:-3])
    with pytest.raises(MembershipMessageError, match="allowed"):
        decode_membership_message(b"\x01")
    assert Endpoint("10.0.0.98", 9001) == view.find_member("b").endpoint
