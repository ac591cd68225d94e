"""Tests of the compiler: what each command changes and what it refuses."""

from collections import Counter

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinspread.configuration import (
    DataCentreSet,
    SlotsListed,
    SlotsMoved,
    UpstreamRemoved,
    UpstreamSet,
)
from catkinspread.model import SLOT_COUNT, Endpoint, InstanceIncarnation, UpstreamState
from catkinspread.operations import (
    ENDPOINT_QUARANTINE_MS,
    CompileContext,
    RemovedEndpoint,
    choose_owner_group,
    compile_next_step,
    count_references,
    find_completed_removals,
)
from catkinspread.operations import moves as moves_module
from catkinspread.operations.moves import weigh_upstreams
from catkinspread.operations.tests.fakes import (
    MEMBERS,
    START_MS,
    apply_effects,
    apply_text,
    build_configuration,
    compile_text,
    end_transitions,
)
from catkinspread.routing import apportion_slots, current_upstream


def count_slots(configuration, service):
    table = configuration.slot_tables[service]
    return Counter(current_upstream(table, slot) for slot in range(SLOT_COUNT))


@pytest.mark.parametrize(
    ("text", "part"),
    [
        ("drain upstream c9", "'c9' does not exist; the nearest name is 'c"),
        ("add upstream x to catalog in brum at 10.0.0.1:1", "the nearest name is 'catalogue'"),
        ("add upstream x to catalogue in burm at 10.0.0.1:1", "the nearest name is 'brum'"),
        ("add upstream c1 to catalogue in brum at 10.0.0.1:1", "exists already"),
        ("add upstream x to catalogue in brum at 10.1.0.1:7000", "endpoint of upstream 'c1'"),
        ("add upstream x to catalogue in brum at 10.9.0.2:7000", "address of service 'templates'"),
        ("add upstream x to catalogue in brum at 10.0.0.1:1 cold-rate 9 warm-rate 8", "cold rate"),
        ("create service s at 10.1.0.1:7000", "endpoint of upstream 'c1'"),
        ("create service catalogue at 10.0.0.1:1", "exists already"),
        ("create data-centre brum region x", "exists already"),
        ("undrain upstream c1", "is not draining"),
        ("set weight of c1 to 100", "has weight 100 already"),
        ("bring back data-centre brum", "is not out"),
        ("take out data-centre bru", "the nearest name is 'brum'"),
    ],
)
def test_command_that_does_not_fit_is_refused(text, part):
    """Guards against entries that change nothing or name objects wrongly."""
    assert part in compile_text(text, build_configuration()).error.message


def test_drain_moves_only_the_slots_of_the_upstream_to_a_group_in_two_data_centres():
    """Guards against a drain that disturbs other flows or whose owners share one failure."""
    configuration = build_configuration()
    configuration = end_transitions(configuration, "catalogue")
    held = {
        slot
        for slot, base in enumerate(configuration.slot_tables["catalogue"].bases)
        if base.default == "c1"
    }
    state, *moved = compile_text("drain upstream c1", configuration).ok
    assert state.upstream.state is UpstreamState.DRAINING
    assert {slot for effect in moved for move in effect.moves for slot in move.slots} == held
    for effect in moved:
        assert len(effect.group.members) == 3
        assert len({member.instance.split("-")[0] for member in effect.group.members}) >= 2
    owners = {effect.group.members[0] for effect in moved}
    assert len(owners) > 3


def test_owner_group_spans_two_data_centres_only_where_possible():
    """Guards against groups that one data centre can end, and against empty groups."""
    big = {
        "brum": tuple(InstanceIncarnation(f"b{n}", 1) for n in range(50)),
        "coventry": (InstanceIncarnation("v", 1),),
    }
    for key in map(str, range(50)):
        group = choose_owner_group(key, big)
        assert len(group.members) == 3
        assert InstanceIncarnation("v", 1) in group.members
        names = {
            member.instance[0]
            for member in choose_owner_group(key, MEMBERS, frozenset({"brum"})).members
        }
        assert names == {"c", "l"}
    only = {"brum": (InstanceIncarnation("b", 1),)}
    assert choose_owner_group("k", only, frozenset({"brum"})).members == only["brum"]
    assert choose_owner_group("k", {}).members == ()


def test_undo_during_a_transition_gives_back_the_shares():
    """Guards against a change that blocks its own undo until the transition has ended."""
    before = build_configuration()
    configuration = apply_text("drain upstream c1", before)
    assert "c1" not in count_slots(configuration, "catalogue")
    configuration = apply_text("undrain upstream c1", configuration)
    counts = count_slots(configuration, "catalogue")
    # The two slots that remain of 1,024 / 7 may go to other upstreams than before.
    assert {name: count in (146, 147) for name, count in counts.items()} == dict.fromkeys(
        count_slots(before, "catalogue"), True
    )
    configuration = apply_text("remove upstream c1", configuration)
    configuration = apply_text("drain upstream c2", configuration)
    configuration = apply_text("take out data-centre leicester", configuration)
    assert set(count_slots(configuration, "catalogue")) == {"c3", "c4", "c6", "c7"}
    configuration = apply_text("undrain upstream c1", configuration)
    assert configuration.upstreams["c1"].state is UpstreamState.ACTIVE


def test_undo_moves_the_slots_of_the_drain_back():
    """Guards against an undo that leaves twice as many slots in transition as the drain."""
    configuration = end_transitions(build_configuration(), "catalogue")
    configuration = apply_text("drain upstream c1", configuration)
    drained = set(configuration.slot_tables["catalogue"].transitions)
    table = apply_text("undrain upstream c1", configuration).slot_tables["catalogue"]
    back = {slot for slot, item in table.transitions.items() if item.target == "c1"}
    assert len(drained) == 147
    assert set(table.transitions) == drained
    assert len(back) == 146


def test_removal_completes_only_when_nothing_points_at_the_upstream():
    """Guards against flows that lose their upstream before they have ended."""
    configuration = apply_text("remove upstream c1", build_configuration())
    assert configuration.upstreams["c1"].state is UpstreamState.REMOVING
    assert find_completed_removals(configuration, {}, START_MS) == ()
    table = configuration.slot_tables["catalogue"]
    slots = tuple(sorted(table.transitions))
    version = configuration.version
    listed = SlotsListed("catalogue", version, slots, {"c1": (slots[0],)})
    configuration = apply_effects((listed,), configuration)
    assert count_references(configuration.slot_tables["catalogue"], "c1").exceptions == 1
    assert find_completed_removals(configuration, {}, START_MS) == ()
    context = CompileContext(START_MS, "", MEMBERS)
    table = configuration.slot_tables["catalogue"]
    bases = tuple(base.without_upstream("c1") for base in table.bases)
    table = msgspec.structs.replace(table, bases=bases)
    tables = {**configuration.slot_tables, "catalogue": table}
    configuration = msgspec.structs.replace(configuration, slot_tables=tables)
    effects = UpstreamSet(configuration.upstreams["c1"]), UpstreamRemoved("c1")
    assert compile_next_step(configuration, (), context) == effects


def test_removal_of_an_upstream_without_slots_completes_at_once():
    """Guards against a removal that waits although no flow can be on the upstream."""
    text = "add upstream c8 to catalogue in brum at 10.1.0.8:7000 weight 0"
    configuration = apply_text(text, end_transitions(build_configuration(), "catalogue"))
    assert "c8" not in apply_text("remove upstream c8", configuration).upstreams


def test_removal_waits_for_flows_that_only_an_owner_knows():
    """Guards against the removal of an upstream that was a target and has pinned flows."""
    configuration = build_configuration()
    assert all(base.default == "c1" for base in configuration.slot_tables["catalogue"].bases)
    configuration = apply_text("remove upstream c7", configuration)
    assert count_references(configuration.slot_tables["catalogue"], "c7").is_empty
    assert "c7" in configuration.upstreams
    assert find_completed_removals(configuration, {}, START_MS) == ()
    configuration = end_transitions(configuration, "catalogue")
    assert find_completed_removals(configuration, {}, START_MS) == (UpstreamRemoved("c7"),)


def test_last_upstream_and_last_data_centre_stay():
    """Guards against a slip of an operator that stops a service or the whole platform."""
    configuration = build_configuration()
    for name in ("t1", "t2"):
        configuration = apply_text(f"drain upstream {name}", configuration)
    for text in ("drain upstream t3", "remove upstream t3", "set weight of t3 to 0"):
        assert "'t3' is the last one" in compile_text(text, configuration).error.message
    configuration = apply_text("take out data-centre brum", build_configuration())
    configuration = apply_text("take out data-centre coventry", configuration)
    refused = compile_text("take out data-centre leicester", configuration).error
    assert "is the last one that takes traffic" in refused.message


def test_endpoint_of_a_removed_upstream_is_kept_from_other_services():
    """Guards against late packets that reach another service."""
    endpoint = Endpoint("10.3.0.1", 7000)
    removed = {endpoint: RemovedEndpoint("catalogue", START_MS)}
    configuration = build_configuration()
    for text in (
        "add upstream t9 to templates in brum at 10.3.0.1:7000",
        "create service other at 10.3.0.1:7000",
    ):
        last_ms = START_MS + ENDPOINT_QUARANTINE_MS
        early = CompileContext(last_ms - 1, "midland", MEMBERS, removed)
        assert (
            "'catalogue' until recently" in compile_text(text, configuration, early).error.message
        )
        late = CompileContext(last_ms, "midland", MEMBERS, removed)
        assert compile_text(text, configuration, late).is_ok()
    text = "add upstream c9 to catalogue in brum at 10.3.0.1:7000"
    early = CompileContext(START_MS, "midland", MEMBERS, removed)
    assert compile_text(text, configuration, early).is_ok()


def test_data_centre_is_taken_out_without_a_live_member():
    """Guards against a data centre that stays in because no owner can be chosen."""
    configuration = build_configuration()
    nobody = CompileContext(START_MS, "midland", {})
    refused = compile_text("drain upstream c1", configuration, nobody).error
    assert "no live instance is known" in refused.message
    effects = compile_text("take out data-centre brum", configuration, nobody).ok
    moved = [effect for effect in effects if isinstance(effect, SlotsMoved)]
    assert isinstance(effects[0], DataCentreSet)
    configuration = apply_effects(effects, configuration)
    step = compile_next_step(
        configuration, ("catalogue", "templates"), CompileContext(START_MS, "", MEMBERS)
    )
    configuration = apply_effects((*step,), configuration)
    assert "c3" not in count_slots(configuration, "catalogue")
    assert all(not effect.group.members for effect in moved)


def test_returning_upstreams_gain_their_slots_in_growing_steps():
    """Guards against a cold upstream that gets its whole share at once."""
    context = CompileContext(START_MS, "midland", MEMBERS, step_slots=16)
    configuration = build_configuration()
    configuration = apply_text("take out data-centre brum", configuration, context)
    configuration = apply_text("bring back data-centre brum", configuration, context)
    seen = [count_slots(configuration, "catalogue")["c3"]]
    while step := compile_next_step(configuration, ("catalogue",), context):
        configuration = apply_effects(step, configuration)
        seen.append(count_slots(configuration, "catalogue")["c3"])
    assert seen == [16, 32, 64, 128, 146]


def test_large_change_is_split_and_continued(monkeypatch):
    """Guards against entries that cannot reach all instances in time."""
    monkeypatch.setattr(moves_module, "MOVED_SLOTS_MAX", 10)
    configuration = build_configuration()
    context = CompileContext(START_MS, "midland", MEMBERS)
    first = compile_text("take out data-centre brum", configuration, context).ok
    assert {item.service for item in first if isinstance(item, SlotsMoved)} == {"catalogue"}
    configuration = apply_effects(first, configuration)
    step = compile_next_step(configuration, ("catalogue", "templates"), context)
    assert {item.service for item in step} == {"templates"}


def test_moves_that_can_wait_are_delayed_at_the_limit_of_exceptions(monkeypatch):
    """Guards against a list of exceptions that grows without bound."""
    configuration = end_transitions(build_configuration(), "catalogue")
    monkeypatch.setattr(moves_module, "EXCEPTIONS_MAX", 0)
    before = count_slots(configuration, "catalogue")
    waiting = apply_text("set weight of c1 to 500", configuration)
    assert count_slots(waiting, "catalogue") == before
    assert "c2" not in count_slots(apply_text("drain upstream c2", waiting), "catalogue")


_COMMANDS = st.one_of(
    st.builds(
        "{} upstream c{}".format, st.sampled_from(["drain", "undrain", "remove"]), st.integers(1, 7)
    ),
    st.builds("set weight of c{} to {}".format, st.integers(1, 7), st.integers(0, 300)),
    st.builds(
        "{} data-centre {}".format,
        st.sampled_from(["take out", "bring back"]),
        st.sampled_from(["brum", "coventry", "leicester"]),
    ),
    st.just("end"),
)
_START = build_configuration()


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(_COMMANDS, min_size=1, max_size=12))
def test_overlapping_changes_leave_the_shares_of_a_fresh_plan(texts):
    """Guards against sequences of changes that leave slots where no one may take new flows."""
    configuration = _START
    for text in texts:
        if text == "end":
            configuration = end_transitions(configuration, "catalogue")
            continue
        compiled = compile_text(text, configuration)
        if compiled.is_error():
            continue
        configuration = apply_effects(compiled.ok, configuration)
        weights = weigh_upstreams(configuration, ("catalogue",))["catalogue"]
        counts = count_slots(configuration, "catalogue")
        shares = apportion_slots(weights) or {"": SLOT_COUNT}
        assert sum(counts.values()) == SLOT_COUNT
        for name in counts.keys() | shares.keys():
            assert abs(counts.get(name, 0) - shares.get(name, 0)) <= 1
