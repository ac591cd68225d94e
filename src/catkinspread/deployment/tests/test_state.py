"""The state of the deployment moves forward only and survives outages of its source."""

from catkinspread.clock import ManualClock
from catkinspread.deployment import (
    MISSING_GRACE_MS,
    DeploymentState,
    RoutingConfiguration,
    StateApplier,
    StateChange,
    StateChanges,
    StateKind,
    UpstreamRecord,
    compute_token,
)
from catkinspread.eventlog import EventLog

NOW_MS = 1_000_000


class _Writer:
    def write(self, line: bytes) -> bool:
        return True


def _upstream(
    name: str = "i-1", is_draining: bool = False, cold_remaining_ms: int = 0
) -> UpstreamRecord:
    return UpstreamRecord(
        name, 1, "pages", "east", "10.0.0.9", 80, 2, is_draining, cold_remaining_ms, 1
    )


def _state(*records: UpstreamRecord) -> DeploymentState:
    state = DeploymentState(flow_lifetime_max_ms=60_000)
    for record in records:
        state.put_upstream(record, NOW_MS)
    return state


def _names(state: DeploymentState) -> list[str]:
    return [known.record.name for known in state.list_eligible_upstreams("pages")]


def _applier(state: DeploymentState) -> StateApplier:
    return StateApplier(state, EventLog("one", _Writer(), ManualClock(NOW_MS)), 1_200)


def test_configuration_never_goes_back() -> None:
    """Guards against a stale answer that brings an older configuration into force."""
    state = DeploymentState(flow_lifetime_max_ms=60_000)
    state.put_configuration(RoutingConfiguration(5, (), (), 1))
    assert not state.put_configuration(RoutingConfiguration(4, (), (), 1)).is_changed
    assert state.configuration is not None
    assert state.configuration.version == 5


def test_upstream_that_announced_its_end_is_gone_with_its_entry() -> None:
    """Guards against new flows to an upstream that left."""
    state = _state(_upstream(is_draining=True))
    state.remove_upstream("i-1", NOW_MS)
    state.put_upstream(_upstream("i-2"), NOW_MS)
    assert _names(state) == ["i-2"]


def test_lapsed_entry_is_gone_after_the_grace() -> None:
    """Guards against new flows to an upstream that crashed."""
    state = _state(_upstream())
    state.remove_upstream("i-1", NOW_MS)
    assert state.expire_upstreams(NOW_MS + MISSING_GRACE_MS - 1, NOW_MS - 10_000) == []
    assert _names(state) == ["i-1"]
    assert state.expire_upstreams(NOW_MS + MISSING_GRACE_MS, NOW_MS - 10_000) == ["i-1"]
    assert _names(state) == []


def test_grace_begins_when_the_source_is_back() -> None:
    """Guards against losing live upstreams whose entries lapsed in an outage."""
    state = _state(_upstream())
    state.remove_upstream("i-1", NOW_MS)
    assert state.expire_upstreams(NOW_MS + 60_000, None) == []
    back_ms = NOW_MS + 61_000
    assert state.expire_upstreams(back_ms + MISSING_GRACE_MS - 1, back_ms) == []
    assert state.expire_upstreams(back_ms + MISSING_GRACE_MS, back_ms) == ["i-1"]


def test_entry_that_returns_is_used_again() -> None:
    """Guards against an upstream that stays out after its entry is back."""
    state = _state(_upstream())
    state.remove_upstream("i-1", NOW_MS)
    state.expire_upstreams(NOW_MS + MISSING_GRACE_MS, NOW_MS)
    state.put_upstream(_upstream(), NOW_MS + 5_000)
    assert _names(state) == ["i-1"]


def test_removed_upstream_is_forgotten_after_the_longest_flow() -> None:
    """Guards against memory that grows with each replaced upstream."""
    state = _state(_upstream(is_draining=True))
    state.remove_upstream("i-1", NOW_MS)
    state.expire_upstreams(NOW_MS + 59_000, NOW_MS)
    assert state.find_upstream_by_token(compute_token("i-1")) is not None
    state.expire_upstreams(NOW_MS + 60_000, NOW_MS)
    assert state.find_upstream_by_token(compute_token("i-1")) is None


def test_listing_replaces_what_was_known() -> None:
    """Guards against upstreams and evacuations that stay after a lost history."""
    state = _state(_upstream("i-1", is_draining=True), _upstream("i-2"))
    applier = _applier(state)
    evacuations = StateChanges((StateChange("east", "east"),), 1)
    applier.apply_listing(StateKind.EVACUATIONS, evacuations, NOW_MS)
    assert _names(state) == []
    applier.apply_listing(StateKind.EVACUATIONS, StateChanges((), 2), NOW_MS)
    listing = StateChanges((StateChange("i-2", _upstream("i-2")),), 2)
    applier.apply_listing(StateKind.UPSTREAMS, listing, NOW_MS)
    assert _names(state) == ["i-2"]


def test_upstreams_count_as_cold_for_a_moment_after_an_evacuation() -> None:
    """Guards against full load on upstreams whose cold start was not reported yet."""
    state = _state(_upstream())
    applier = _applier(state)
    there = StateChanges((StateChange("east", "east"),), 1)
    gone = StateChanges((StateChange("east", None),), 2)
    applier.apply_changes(StateKind.EVACUATIONS, there, NOW_MS)
    applier.apply_changes(StateKind.EVACUATIONS, gone, NOW_MS)
    known = state.list_upstreams()[0]
    assert known.cold_until_ms == NOW_MS + 1_800


def test_unusable_record_removes_the_upstream() -> None:
    """Guards against going on with an entry that another writer replaced."""
    state = _state(_upstream(is_draining=True))
    changes = StateChanges((StateChange("i-1", None),), 3)
    _applier(state).apply_changes(StateKind.UPSTREAMS, changes, NOW_MS)
    assert state.list_upstreams()[0].is_removed
