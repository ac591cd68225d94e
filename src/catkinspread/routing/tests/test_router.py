"""Tests of the router: readiness, services, data centres and resets."""

import msgspec

from catkinspread.bench.deployments import move_effects
from catkinspread.configuration import SlotsListed, UpstreamRemoved, UpstreamSet
from catkinspread.model import Configuration, DataCentreState, OwnerMember
from catkinspread.routing import (
    DropPacket,
    DropReason,
    MemberView,
    PacketKind,
    ResetFlow,
    ResetReason,
    SendToUpstream,
    SlotRouter,
    choose_group,
    is_unused,
)
from catkinspread.routing.tests.fakes import OLD, SERVICE, Fleet, flows_in_slots

NOT_READY = DropPacket(DropReason.NOT_READY)


def set_data_centre(fleet: Fleet, name: str, state: DataCentreState) -> list[int]:
    """Changes the state of a data centre, moves its slots and returns the slots in transition."""
    changed = msgspec.structs.replace(fleet.configuration.data_centres[name], state=state)
    fleet.append(*move_effects(fleet.configuration, {}, {name: changed}, fleet.group))
    return sorted(fleet.configuration.slot_tables[SERVICE].transitions)


def test_nothing_is_routed_before_the_first_exchange_and_the_versions_heard_of() -> None:
    """Guards G1 against an instance that joins through a peer with an older configuration.

    It would route flows of moved slots by the old table. In bench broken-flows, run 1053, this
    broke one flow.
    """
    fleet = Fleet()
    slots = fleet.drain()
    router = SlotRouter(OwnerMember("i9", 1), fleet.limits)
    router.apply(fleet.configurations[1], fleet.now_ms)
    flow = flows_in_slots(slots)[0]
    assert router.route(PacketKind.DATA, SERVICE, flow, fleet.now_ms) == NOT_READY
    router.record_contact(1, fleet.now_ms)
    assert router.route(PacketKind.DATA, SERVICE, flow, fleet.now_ms) == NOT_READY
    views = [MemberView("i9", 1, "khomas-1", 1), MemberView("i0", 1, "khomas-1", 2)]
    for elapsed_ms in (500, 1_000, 1_500):
        router.set_members(views, fleet.now_ms + elapsed_ms)
        router.tick(fleet.now_ms + elapsed_ms)
    assert router.route(PacketKind.DATA, SERVICE, flow, fleet.now_ms + 1_500) == NOT_READY
    router.apply(fleet.configuration, fleet.now_ms)
    assert router.route(PacketKind.DATA, SERVICE, flow, fleet.now_ms + 1_500) != NOT_READY


def test_paused_instance_routes_nothing_and_gives_up_its_groups() -> None:
    """Guards G1 against a paused owner that resumes without the pins of its successor.

    An exchange handled before the first tick must not hide the pause. In bench broken-flows,
    runs 2039 and 3029, this broke 16 and 13 flows.
    """
    fleet = Fleet()
    slots = fleet.drain()
    fleet.run(2_000)
    owner = fleet.routers["i0"]
    fleet.paused = {"i0"}
    fleet.dead["i0"] = fleet.now_ms
    # Long enough to be considered failed, too short to be replaced in the group.
    fleet.run(2_600)
    del fleet.dead["i0"]
    flow = flows_in_slots(slots)[0]
    upstream = fleet.open("i3", flow)
    assert upstream not in ("", OLD)
    assert owner.route(PacketKind.DATA, SERVICE, flow, fleet.now_ms) == NOT_READY
    owner.record_contact(owner.version, fleet.now_ms)
    owner.tick(fleet.now_ms)
    assert owner.needs_contact
    owner.rejoin(2)
    fleet.paused.clear()
    for _ in range(40):
        fleet.run(100)
        assert fleet.find_upstream("i4", flow) == upstream
        assert fleet.find_upstream("i0", flow) in ("", upstream)
    assert fleet.find_upstream("i0", flow) == upstream


def test_instance_without_contact_stops_after_the_quarantine() -> None:
    """Guards G2: by then an endpoint may have been reassigned to another service."""
    fleet = Fleet()
    router = fleet.routers["i3"]
    start_ms = fleet.now_ms
    for elapsed_ms in range(1_000, 3_603_000, 1_000):
        router.tick(start_ms + elapsed_ms)
        if elapsed_ms == 3_599_000:
            now_ms = start_ms + elapsed_ms
            assert isinstance(router.route(PacketKind.DATA, SERVICE, 5, now_ms), SendToUpstream)
    now_ms = start_ms + 3_602_000
    expected = DropPacket(DropReason.NO_CONTACT)
    assert router.route(PacketKind.DATA, SERVICE, 5, now_ms) == expected


def test_packet_never_reaches_another_service() -> None:
    """Guards G2 against a slot table that names an upstream of another service."""
    fleet = Fleet()
    upstream = fleet.configuration.upstreams[OLD]
    fleet.append(UpstreamSet(msgspec.structs.replace(upstream, service="plate-vault")))
    actions = {fleet.route("i0", slot) for slot in range(1024)}
    assert DropPacket(DropReason.OTHER_SERVICE) in actions
    sent = {action.upstream.service for action in actions if isinstance(action, SendToUpstream)}
    assert sent == {SERVICE}
    unknown = fleet.routers["i0"].route(PacketKind.DATA, "other", 5, fleet.now_ms)
    assert unknown == DropPacket(DropReason.UNKNOWN_SERVICE)


def test_data_centre_out_gets_no_packet_and_its_flows_are_reset() -> None:
    """Guards G4, and G1 for flows in other data centres, in HOLD, SPLIT and after the listing."""
    fleet = Fleet()
    flows = list(range(1_024, 1_024 + 200))
    first = {flow: fleet.open(f"i{flow % 6}", flow) for flow in flows}
    gone = {
        upstream.name
        for upstream in fleet.configuration.upstreams.values()
        if upstream.data_centre == "khomas-3"
    }
    slots = set_data_centre(fleet, "khomas-3", DataCentreState.OUT)
    out_open = DropPacket(DropReason.DATA_CENTRE_OUT)
    assert fleet.route("i3", flows_in_slots(slots)[0] + 2**20, PacketKind.OPEN) == out_open
    for _ in range(50):
        fleet.run(500)
        for flow, upstream in first.items():
            action = fleet.route(f"i{flow % 5}", flow)
            if upstream in gone:
                is_reset = isinstance(action, ResetFlow)
                assert is_reset or action.upstream.name not in gone
            else:
                assert action.upstream.name == upstream
    assert any(isinstance(effect, SlotsListed) for effect in fleet.appended)
    assert fleet.open("i3", flows_in_slots(slots)[0] + 2**21) not in gone


def test_pin_on_a_data_centre_that_went_out_is_replaced_at_every_member() -> None:
    """Guards G1 against a successor that keeps an outdated pin.

    A flow that was opened again would be reset after the successor has taken over, as in bench
    broken-flows, run 2058.
    """
    fleet = Fleet()
    set_data_centre(fleet, "khomas-3", DataCentreState.OUT)
    fleet.run(30_000)
    slots = set_data_centre(fleet, "khomas-3", DataCentreState.IN)
    fleet.run(2_000)
    flows = flows_in_slots(slots, len(slots))
    for flow in flows:
        assert fleet.configuration.upstreams[fleet.open("i3", flow)].data_centre == "khomas-3"
    set_data_centre(fleet, "khomas-3", DataCentreState.OUT)
    table = fleet.configuration.slot_tables[SERVICE]
    # These slots return to their base, so that a pin seems unnecessary.
    back = [
        flow
        for flow in flows
        if table.transitions[flow % 1024].target == table.bases[flow % 1024].default
    ]
    assert back
    first = {flow: fleet.open("i3", flow) for flow in back}
    assert all(
        fleet.configuration.upstreams[name].data_centre != "khomas-3" for name in first.values()
    )
    fleet.kill("i0")
    fleet.run(3_000)
    assert {flow: fleet.find_upstream("i4", flow) for flow in back} == first


def test_exception_of_an_older_flow_is_no_new_work_for_a_draining_upstream() -> None:
    """Guards G8 when a caller reuses a port whose earlier flow is listed as an exception."""
    fleet = Fleet()
    slots = fleet.drain()
    flow = flows_in_slots(slots)[0]
    assert fleet.open("i3", flow) == OLD
    for _ in range(25):
        fleet.run(1_000)
        assert fleet.find_upstream("i3", flow) == OLD
    assert fleet.configuration.slot_tables[SERVICE].transitions == {}
    reset = ResetFlow(ResetReason.UPSTREAM_DRAINING, OLD)
    assert fleet.route("i3", flow, PacketKind.OPEN) == reset
    assert fleet.find_upstream("i3", flow) == OLD
    assert not is_unused(fleet.configuration, OLD)
    fleet.append(UpstreamRemoved(OLD))
    assert fleet.find_upstream("i3", flow) not in ("", OLD)


def test_drained_upstream_is_in_use_until_its_flows_have_ended() -> None:
    """Guards G1 against an upstream that is reported as unused while flows are assigned to it."""
    fleet = Fleet()
    assert not is_unused(fleet.configuration, OLD)
    fleet.drain()
    fleet.run(15_000)
    assert not is_unused(fleet.configuration, OLD)
    fleet.run(15_000)
    assert is_unused(fleet.configuration, OLD)


def test_service_without_upstream_resets_flows() -> None:
    """Guards against sending a packet to an upstream with an empty name."""
    fleet = Fleet()
    weights = [
        value for value in fleet.configuration.upstreams.values() if value.service == SERVICE
    ]
    for upstream in weights:
        fleet.drain(upstream.name)
    fleet.run(2_000)
    assert fleet.route("i3", 5, PacketKind.OPEN) == ResetFlow(ResetReason.NO_UPSTREAM)
    assert fleet.find_upstream("i3", 5) != ""


def test_older_configuration_is_ignored() -> None:
    """Guards G10 against reverting to an older configuration."""
    fleet = Fleet()
    fleet.drain()
    router = fleet.routers["i0"]
    router.apply(Configuration(version=1), fleet.now_ms)
    assert router.version == fleet.configuration.version


def test_group_spans_data_centres_and_avoids_leaving_instances() -> None:
    """Guards against a group that fails with a single data centre."""
    views = [MemberView(f"i{n}", 1, f"dc-{n % 3}", is_leaving=n == 4) for n in range(9)]
    for key in ("a", "b", "c", "d"):
        group = choose_group(key, views)
        names = [member.instance for member in group.members]
        assert len({int(name[1:]) % 3 for name in names}) == 3
        assert "i4" not in names
        avoided = choose_group(key, views, avoided_data_centres=frozenset({"dc-0"}))
        assert all(int(member.instance[1:]) % 3 for member in avoided.members)
