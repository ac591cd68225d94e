"""Tests of applying log entries."""

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
    OwnerGroup,
    OwnerMember,
    Service,
    SlotBase,
    Upstream,
)

GROUP = OwnerGroup((OwnerMember("i1", 1), OwnerMember("i2", 1)))


def change(*effects):
    return ChangeEntry("id", "op", "", "", 10, 0, effects)


def build():
    service = Service("recipe-desk", Endpoint("127.0.0.1", 9000))
    upstreams = [
        UpstreamSet(Upstream(name, "recipe-desk", "khomas-1", Endpoint("127.0.0.1", port)))
        for name, port in (("rd-1", 1), ("rd-2", 2))
    ]
    first = SlotsMoved("recipe-desk", (SlotMove("rd-1", tuple(range(SLOT_COUNT))),), GROUP)
    return apply_entry(Configuration(), 1, change(ServiceSet(service), *upstreams, first))


def test_entries_apply_only_in_order():
    """Guards against a replica that skips or repeats an entry."""
    configuration = build()
    with pytest.raises(EntryError, match="entry 1 does not follow version 1"):
        apply_entry(configuration, 1, change())
    with pytest.raises(EntryError, match="entry 3 does not follow version 1"):
        apply_entry(configuration, 3, change())


def test_empty_slots_take_their_first_upstream_without_a_transition():
    """Guards against a new service that waits for flows that cannot exist."""
    table = build().slot_tables["recipe-desk"]
    assert table.transitions == {}
    assert {base.default for base in table.bases} == {"rd-1"}


def test_listing_replaces_the_base_and_keeps_exceptions_of_listed_slots():
    """Guards against flows that lose their upstream when a transition ends."""
    moved = SlotsMoved("recipe-desk", (SlotMove("rd-2", (5, 6)),), GROUP)
    configuration = apply_entry(build(), 2, change(moved))
    listed = SlotsListed("recipe-desk", 2, (5,), {"rd-1": (SLOT_COUNT + 5, SLOT_COUNT + 6)})
    configuration = apply_entry(configuration, 3, change(listed))
    table = configuration.slot_tables["recipe-desk"]
    assert table.bases[5].find_upstream(SLOT_COUNT + 5) == "rd-1"
    assert table.bases[5].find_upstream(5) == "rd-2"
    assert set(table.transitions) == {6}
    configuration = apply_entry(configuration, 4, change(UpstreamRemoved("rd-1")))
    assert configuration.slot_tables["recipe-desk"].bases[5].exceptions == {}


def test_list_made_before_a_later_move_is_ignored():
    """Guards against an owner's old list that ends a newer transition."""
    configuration = build()
    for index, target in ((2, "rd-2"), (3, "rd-1")):
        moved = SlotsMoved("recipe-desk", (SlotMove(target, (5,)),), GROUP)
        configuration = apply_entry(configuration, index, change(moved))
    old_list = SlotsListed("recipe-desk", 2, (5,), {})
    configuration = apply_entry(configuration, 4, change(old_list))
    assert configuration.slot_tables["recipe-desk"].transitions[5].target == "rd-1"


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.dictionaries(st.integers(0, 2**64 - 1), st.sampled_from(["rd-1", "rd-2", "rd-3"])),
    st.integers(0, 2**64 - 1),
)
def test_compact_exceptions_answer_like_a_dict(upstreams, flow):
    """Guards against an exception that is lost or sent to another upstream."""
    base = SlotBase.build("x", upstreams)
    assert base.list_exceptions() == upstreams
    assert all(base.find_upstream(key) == upstreams[key] for key in upstreams)
    assert base.find_upstream(flow) == upstreams.get(flow, "x")
    assert base.exception_count == len(upstreams)
    kept = {key: name for key, name in upstreams.items() if name != "rd-1"}
    assert base.without_upstream("rd-1").list_exceptions() == kept
    assert ("rd-1" in base.exceptions) == (len(kept) < len(upstreams))


def test_entries_survive_encoding():
    """Guards against an effect that decodes as another one."""
    entry = change(SlotsListed("s", 2, (5,), {"rd-1": (7,)}), UpstreamRemoved("x"))
    assert decode_entry(encode_entry(entry)) == entry
    with pytest.raises(EntryError, match="malformed"):
        decode_entry(b"\x93\x01")


def test_cold_starts_are_noted_when_an_upstream_is_added_or_brought_back():
    """Guards against a new instance that takes a cold upstream for a warm one."""
    configuration = build()
    assert configuration.upstreams["rd-1"].cold_at_ms == 10
    for index, state in ((2, DataCentreState.IN), (3, DataCentreState.OUT)):
        entry = change(DataCentreSet(DataCentre("khomas-1", "khomas", state)))
        configuration = apply_entry(configuration, index, entry)
    heavier = msgspec.structs.replace(configuration.upstreams["rd-2"], weight=50)
    later = msgspec.structs.replace(change(UpstreamSet(heavier)), written_at_ms=99)
    configuration = apply_entry(configuration, 4, later)
    assert configuration.upstreams["rd-2"].cold_at_ms == 10
    back = change(DataCentreSet(DataCentre("khomas-1", "khomas", DataCentreState.IN)))
    configuration = apply_entry(configuration, 5, msgspec.structs.replace(back, written_at_ms=77))
    assert {upstream.cold_at_ms for upstream in configuration.upstreams.values()} == {77}
