"""Tests of encoding and applying log entries."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinspread.configuration import (
    ChangeEntry,
    DataCentreSet,
    EntryError,
    ServiceSet,
    SlotMove,
    SlotsListed,
    SlotsMoved,
    UpstreamRemoved,
    UpstreamSet,
    apply_entry,
    decode_entry,
    encode_entry,
)
from catkinspread.model import (
    SLOT_COUNT,
    Configuration,
    DataCentre,
    DataCentreState,
    Endpoint,
    InstanceIncarnation,
    OwnerGroup,
    Service,
    SlotBase,
    Upstream,
)

GROUP = OwnerGroup((InstanceIncarnation("i1", 1), InstanceIncarnation("i2", 1)))


def make_entry(*effects):
    return ChangeEntry(
        "id", "op", command="", reason="", written_at_ms=10, previous_hash=0, effects=effects
    )


def build_configuration():
    service = Service("recipe-desk", Endpoint("127.0.0.1", 9000))
    upstreams = [
        UpstreamSet(Upstream(name, "recipe-desk", "khomas-1", Endpoint("127.0.0.1", port)))
        for name, port in (("rd-1", 1), ("rd-2", 2))
    ]
    first = SlotsMoved("recipe-desk", (SlotMove("rd-1", tuple(range(SLOT_COUNT))),), GROUP)
    return apply_entry(Configuration(), 1, make_entry(ServiceSet(service), *upstreams, first))


def test_entries_apply_only_in_order():
    """Guards against a replica that skips or repeats an entry."""
    configuration = build_configuration()
    with pytest.raises(EntryError, match="entry 1 does not follow version 1"):
        apply_entry(configuration, 1, make_entry())
    with pytest.raises(EntryError, match="entry 3 does not follow version 1"):
        apply_entry(configuration, 3, make_entry())


def test_empty_slots_adopt_their_first_upstream_without_a_transition():
    """Guards against a new service that waits for transitions although its slots have no flows."""
    table = build_configuration().slot_tables["recipe-desk"]
    assert table.transitions == {}
    assert {base.default for base in table.bases} == {"rd-1"}


def test_end_of_a_transition_replaces_the_base_and_keeps_exceptions_of_its_slots():
    """Guards against flows that change upstream when a transition ends."""
    moved = SlotsMoved("recipe-desk", (SlotMove("rd-2", (5, 6)),), GROUP)
    configuration = apply_entry(build_configuration(), 2, make_entry(moved))
    listed = SlotsListed(
        "recipe-desk",
        version=2,
        slots=(5,),
        exceptions={"rd-1": (SLOT_COUNT + 5, SLOT_COUNT + 6)},
    )
    configuration = apply_entry(configuration, 3, make_entry(listed))
    table = configuration.slot_tables["recipe-desk"]
    assert table.bases[5].find_upstream(SLOT_COUNT + 5) == "rd-1"
    assert table.bases[5].find_upstream(5) == "rd-2"
    assert set(table.transitions) == {6}
    configuration = apply_entry(configuration, 4, make_entry(UpstreamRemoved("rd-1")))
    assert configuration.slot_tables["recipe-desk"].bases[5].exceptions == {}


def test_exceptions_of_an_earlier_move_are_ignored():
    """Guards against routing exceptions of an earlier move that end a later transition."""
    configuration = build_configuration()
    for index, target in ((2, "rd-2"), (3, "rd-1")):
        moved = SlotsMoved("recipe-desk", (SlotMove(target, (5,)),), GROUP)
        configuration = apply_entry(configuration, index, make_entry(moved))
    outdated = SlotsListed("recipe-desk", version=2, slots=(5,), exceptions={})
    configuration = apply_entry(configuration, 4, make_entry(outdated))
    assert configuration.slot_tables["recipe-desk"].transitions[5].target == "rd-1"


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.dictionaries(st.integers(0, 2**64 - 1), st.sampled_from(["rd-1", "rd-2", "rd-3"])),
    st.integers(0, 2**64 - 1),
)
def test_packed_exceptions_are_equivalent_to_a_dict(upstreams, flow):
    """Guards against an exception that is lost or refers to another upstream."""
    base = SlotBase.build("x", upstreams)
    assert base.unpack_exceptions() == upstreams
    assert all(base.find_upstream(key) == upstreams[key] for key in upstreams)
    assert base.find_upstream(flow) == upstreams.get(flow, "x")
    assert base.exception_count == len(upstreams)
    kept = {key: name for key, name in upstreams.items() if name != "rd-1"}
    assert base.without_upstream("rd-1").unpack_exceptions() == kept
    assert ("rd-1" in base.exceptions) == (len(kept) < len(upstreams))


def test_entries_round_trip():
    """Guards against an effect that is decoded as a different one."""
    listed = SlotsListed("s", version=2, slots=(5,), exceptions={"rd-1": (7,)})
    entry = make_entry(listed, UpstreamRemoved("x"))
    assert decode_entry(encode_entry(entry)) == entry
    with pytest.raises(EntryError, match="malformed"):
        decode_entry(b"\x93\x01")


def test_cold_start_is_recorded_when_an_upstream_is_added_or_returns_to_service():
    """Guards against a new instance that treats a cold upstream as warm."""
    configuration = build_configuration()
    assert configuration.upstreams["rd-1"].cold_at_ms == 10
    for index, state in ((2, DataCentreState.IN), (3, DataCentreState.OUT)):
        entry = make_entry(DataCentreSet(DataCentre("khomas-1", "khomas", state)))
        configuration = apply_entry(configuration, index, entry)
    reweighted = msgspec.structs.replace(configuration.upstreams["rd-2"], weight=50)
    later = msgspec.structs.replace(make_entry(UpstreamSet(reweighted)), written_at_ms=99)
    configuration = apply_entry(configuration, 4, later)
    assert configuration.upstreams["rd-2"].cold_at_ms == 10
    back = make_entry(DataCentreSet(DataCentre("khomas-1", "khomas", DataCentreState.IN)))
    configuration = apply_entry(configuration, 5, msgspec.structs.replace(back, written_at_ms=77))
    assert {upstream.cold_at_ms for upstream in configuration.upstreams.values()} == {77}
