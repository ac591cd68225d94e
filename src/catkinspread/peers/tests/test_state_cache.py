"""Memory of the state cache, and the changes that it serves to readers that lag behind."""

import tracemalloc

import anyio
import pytest

from catkinspread.deployment import (
    HistoryLost,
    RequestKind,
    Route,
    RoutingConfiguration,
    ServiceAddress,
    ServiceShare,
    SourcePosition,
    StateChange,
    StateChanges,
    StateKind,
    UpstreamRecord,
)
from catkinspread.peers import StateCache
from catkinspread.peers.change_index import REMOVALS_MAX, ChangeIndex

KIND = StateKind.UPSTREAMS
NOW_MS = 1_000_000
SETTLING_MS = 4_800
ROUTES = 200
# Number of changes after which the memory is compared, and how many more follow.
CHANGES_BEFORE = 10
CHANGES_AFTER = 290
# Room for what grows by a few bytes, such as larger numbers.
GROWTH_MAX_BYTES = 20_000


def _build_configuration(version: int) -> RoutingConfiguration:
    routes = tuple(
        Route(
            f"route-{version}-{number}",
            ServiceAddress(number, 443),
            (ServiceShare("pages", 1.0),),
            RequestKind.IDEMPOTENT,
            version,
            1,
        )
        for number in range(ROUTES)
    )
    return RoutingConfiguration(version, routes, (), 15_000)


def _build_upstream(number: int, name: str) -> UpstreamRecord:
    return UpstreamRecord(name, 1, "pages", "east", "10.0.0.9", 80, 2, False, number % 2, 1, number)


def _change_configuration(cache: StateCache, version: int) -> None:
    change = StateChange("main", _build_configuration(version))
    cache.put_changes(StateKind.CONFIGURATION, StateChanges((change,), version), NOW_MS)


def _change_upstream(cache: StateCache, number: int) -> None:
    change = StateChange("i-1", _build_upstream(number, "i-1"))
    cache.put_changes(KIND, StateChanges((change,), number), NOW_MS)


def _change_evacuation(cache: StateCache, number: int) -> None:
    change = StateChange("east", "east" if number % 2 else None)
    cache.put_changes(StateKind.EVACUATIONS, StateChanges((change,), number), NOW_MS)


@pytest.mark.parametrize(
    "apply_change", [_change_configuration, _change_upstream, _change_evacuation]
)
def test_memory_does_not_grow_with_the_number_of_changes(apply_change: object) -> None:
    """Guards against processes that exceed the memory of their machine after many changes."""
    cache = StateCache(SETTLING_MS)
    for kind in StateKind:
        cache.put_listing(kind, StateChanges((), 1), NOW_MS)
    tracemalloc.start()
    try:
        for number in range(2, CHANGES_BEFORE):
            apply_change(cache, number)
        before_bytes, _ = tracemalloc.get_traced_memory()
        for number in range(CHANGES_BEFORE, CHANGES_BEFORE + CHANGES_AFTER):
            apply_change(cache, number)
        after_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert after_bytes - before_bytes <= GROWTH_MAX_BYTES


def test_memory_does_not_grow_with_the_number_of_removed_records() -> None:
    """Guards against an index that keeps the name of each upstream that was ever replaced."""
    index = ChangeIndex()
    for number in range(1, 3 * REMOVALS_MAX):
        index.record_change(f"i-{number}", number, has_record=True)
        index.record_change(f"i-{number}", number, has_record=False)
    assert len(index.list_changed(0)) == REMOVALS_MAX
    assert index.oldest_revision == 2 * REMOVALS_MAX - 1
    assert index.list_changed(3 * REMOVALS_MAX - 2) == [f"i-{3 * REMOVALS_MAX - 1}"]


def test_reader_behind_many_changes_gets_the_last_value_without_listing_again() -> None:
    """Guards against listings by all followers of a feeder after a storm of changes."""
    cache = StateCache(SETTLING_MS)
    cache.put_listing(KIND, StateChanges((), 10), NOW_MS)
    for number in range(11, 400):
        _change_upstream(cache, number)
    changes = anyio.run(cache.wait_for_changes, KIND, SourcePosition(0, 10), 10)
    assert changes.changes == (StateChange("i-1", _build_upstream(399, "i-1")),)
    assert changes.revision == 399


def test_reader_behind_a_forgotten_removal_lists_again() -> None:
    """Guards against a follower that keeps an upstream whose removal was forgotten."""
    cache = StateCache(SETTLING_MS)
    listed = tuple(
        StateChange(f"i-{number}", _build_upstream(1, f"i-{number}"))
        for number in range(REMOVALS_MAX + 1)
    )
    cache.put_listing(KIND, StateChanges(listed, 10), NOW_MS)
    for number in range(REMOVALS_MAX + 1):
        removal = StateChange(f"i-{number}", None)
        cache.put_changes(KIND, StateChanges((removal,), 11 + number), NOW_MS)
    with pytest.raises(HistoryLost):
        anyio.run(cache.wait_for_changes, KIND, SourcePosition(0, 10), 10)
    changes = anyio.run(cache.wait_for_changes, KIND, SourcePosition(0, 11), 10)
    assert len(changes.changes) == REMOVALS_MAX


def test_reader_learns_that_a_record_became_unreadable_and_readable_again() -> None:
    """Guards against a follower that goes on using a record that its feeder cannot read."""
    cache = StateCache(SETTLING_MS)
    upstream = _build_upstream(1, "i-1")
    cache.put_listing(KIND, StateChanges((StateChange("i-1", upstream),), 10), NOW_MS)
    unreadable = StateChange("i-1", None, is_unreadable=True)
    for revision, change in ((11, unreadable), (12, StateChange("i-1", upstream))):
        cache.put_changes(KIND, StateChanges((change,), revision), NOW_MS)
        changes = anyio.run(cache.wait_for_changes, KIND, SourcePosition(0, 10), 10)
        assert changes.changes == (change,)
