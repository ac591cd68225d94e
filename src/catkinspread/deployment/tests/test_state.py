"""Updates of the deployment state, and its behaviour during outages of the source."""

import pytest

from catkinspread.clock import ManualClock
from catkinspread.deployment import (
    MISSING_GRACE_MS,
    DeploymentState,
    RoutingConfiguration,
    SourceHealth,
    StateApplier,
    StateChange,
    StateChanges,
    StateKind,
    UpstreamRecord,
    compute_token,
)
from catkinspread.eventlog import EventLog

NOW_MS = 1_000_000


class _NullWriter:
    def write(self, line: bytes) -> bool:
        return True


def _build_upstream(
    name: str = "i-1", is_draining: bool = False, cold_remaining_ms: int = 0
) -> UpstreamRecord:
    return UpstreamRecord(
        name, 1, "pages", "east", "10.0.0.9", 80, 2, is_draining, cold_remaining_ms, 1
    )


def _build_state(*records: UpstreamRecord) -> DeploymentState:
    state = DeploymentState(flow_lifetime_max_ms=60_000)
    for record in records:
        state.put_upstream(record, NOW_MS)
    return state


def _list_eligible_names(state: DeploymentState) -> list[str]:
    return [known.record.name for known in state.list_eligible_upstreams("pages")]


def _expire_names(state: DeploymentState, now_ms: int, available_since_ms: int) -> list[str]:
    gone = state.expire_upstreams(now_ms, available_since_ms)
    return [known.record.name for known in gone]


def _build_applier(state: DeploymentState) -> StateApplier:
    return StateApplier(state, EventLog("one", _NullWriter(), ManualClock(NOW_MS)), 1_200)


def test_upstream_is_found_by_its_name_while_it_is_kept() -> None:
    """Guards against load of a removed upstream that cannot be assigned to its service."""
    state = _build_state(_build_upstream())
    known = state.find_upstream("i-1")
    assert known is not None
    assert state.is_eligible(known)
    state.put_upstream(_build_upstream(is_draining=True), NOW_MS)
    state.mark_upstream_missing("i-1", NOW_MS)
    assert state.find_upstream("i-1") is known
    assert not state.is_eligible(known)
    assert state.find_upstream("i-2") is None


def test_older_configuration_is_ignored() -> None:
    """Guards against a stale response that replaces the configuration by an older one."""
    state = DeploymentState(flow_lifetime_max_ms=60_000)
    state.put_configuration(RoutingConfiguration(5, (), (), 1))
    assert not state.put_configuration(RoutingConfiguration(4, (), (), 1)).is_changed
    assert state.configuration is not None
    assert state.configuration.version == 5


def test_draining_upstream_is_removed_with_its_record() -> None:
    """Guards against new flows to an upstream that has shut down."""
    state = _build_state(_build_upstream(is_draining=True))
    state.mark_upstream_missing("i-1", NOW_MS)
    state.put_upstream(_build_upstream("i-2"), NOW_MS)
    assert _list_eligible_names(state) == ["i-2"]


def test_missing_upstream_is_removed_at_once_while_the_source_answers() -> None:
    """Guards against new flows beyond the bound to an upstream that lost only the source."""
    state = _build_state(_build_upstream())
    state.mark_upstream_missing("i-1", NOW_MS)
    assert state.expire_upstreams(NOW_MS, NOW_MS - MISSING_GRACE_MS) == []
    assert _list_eligible_names(state) == []


def test_upstream_that_is_removed_at_once_is_gone_only_after_the_grace_period() -> None:
    """Guards against resets of flows of an upstream that lost only the source for a moment."""
    state = _build_state(_build_upstream())
    state.mark_upstream_missing("i-1", NOW_MS)
    assert _expire_names(state, NOW_MS + MISSING_GRACE_MS - 1, NOW_MS - 10_000) == []
    assert _expire_names(state, NOW_MS + MISSING_GRACE_MS, NOW_MS - 10_000) == ["i-1"]


def test_upstream_that_is_missing_soon_after_an_outage_is_removed_after_the_grace_period() -> None:
    """Guards against a service without upstreams because their records expired in an outage."""
    state = _build_state(_build_upstream())
    available_ms = NOW_MS - MISSING_GRACE_MS + 1
    state.mark_upstream_missing("i-1", NOW_MS)
    assert state.expire_upstreams(NOW_MS + MISSING_GRACE_MS - 1, available_ms) == []
    assert _list_eligible_names(state) == ["i-1"]
    assert _expire_names(state, NOW_MS + MISSING_GRACE_MS, available_ms) == ["i-1"]
    assert _list_eligible_names(state) == []


def test_grace_period_starts_when_the_source_is_available_again() -> None:
    """Guards against removing live upstreams whose records expired in an outage."""
    state = _build_state(_build_upstream())
    state.mark_upstream_missing("i-1", NOW_MS)
    assert state.expire_upstreams(NOW_MS + 60_000, None) == []
    available_ms = NOW_MS + 61_000
    assert state.expire_upstreams(available_ms + MISSING_GRACE_MS - 1, available_ms) == []
    assert _expire_names(state, available_ms + MISSING_GRACE_MS, available_ms) == ["i-1"]


def test_grace_period_starts_again_after_a_pause_of_the_process() -> None:
    """Guards against acting on a missing record whose new version was not read in a pause."""
    state = _build_state(_build_upstream())
    health = SourceHealth()
    health.record_success(NOW_MS, StateKind.UPSTREAMS)
    state.mark_upstream_missing("i-1", NOW_MS)
    resumed_ms = NOW_MS + 8_000
    health.require_new_success()
    assert state.expire_upstreams(resumed_ms, health.available_since_ms) == []
    assert health.record_success(resumed_ms, StateKind.UPSTREAMS)
    available_since_ms = health.available_since_ms
    assert state.expire_upstreams(resumed_ms + MISSING_GRACE_MS - 1, available_since_ms) == []


def test_upstream_is_used_again_when_its_record_is_rewritten() -> None:
    """Guards against an upstream that stays removed after its record was written again."""
    state = _build_state(_build_upstream())
    state.mark_upstream_missing("i-1", NOW_MS)
    state.expire_upstreams(NOW_MS + MISSING_GRACE_MS, NOW_MS)
    state.put_upstream(_build_upstream(), NOW_MS + 5_000)
    assert _list_eligible_names(state) == ["i-1"]


def test_removed_upstream_is_deleted_after_the_maximum_flow_lifetime() -> None:
    """Guards against memory use that grows with each replaced upstream."""
    state = _build_state(_build_upstream(is_draining=True))
    state.mark_upstream_missing("i-1", NOW_MS)
    state.expire_upstreams(NOW_MS + 59_000, NOW_MS)
    assert state.find_upstream_by_token(compute_token("i-1")) is not None
    state.expire_upstreams(NOW_MS + 60_000, NOW_MS)
    assert state.find_upstream_by_token(compute_token("i-1")) is None


def test_listing_replaces_the_previous_records() -> None:
    """Guards against stale upstreams and evacuations after the change history was lost."""
    state = _build_state(_build_upstream("i-1", is_draining=True), _build_upstream("i-2"))
    applier = _build_applier(state)
    evacuations = StateChanges((StateChange("east", "east"),), 1)
    applier.apply_listing(StateKind.EVACUATIONS, evacuations, NOW_MS)
    assert _list_eligible_names(state) == []
    applier.apply_listing(StateKind.EVACUATIONS, StateChanges((), 2), NOW_MS)
    listing = StateChanges((StateChange("i-2", _build_upstream("i-2")),), 2)
    applier.apply_listing(StateKind.UPSTREAMS, listing, NOW_MS)
    assert _list_eligible_names(state) == ["i-2"]


def test_upstreams_are_treated_as_cold_after_an_evacuation() -> None:
    """Guards against full load on upstreams that have not reported their cold start yet."""
    state = _build_state(_build_upstream())
    applier = _build_applier(state)
    started = StateChanges((StateChange("east", "east"),), 1)
    ended = StateChanges((StateChange("east", None),), 2)
    applier.apply_changes(StateKind.EVACUATIONS, started, NOW_MS)
    applier.apply_changes(StateKind.EVACUATIONS, ended, NOW_MS)
    known = state.list_upstreams()[0]
    assert known.cold_until_ms == NOW_MS + 1_800


def test_draining_upstream_is_gone_only_after_the_grace_period() -> None:
    """Guards against resetting flows of an upstream whose record expired in an outage."""
    state = _build_state(_build_upstream(is_draining=True))
    state.mark_upstream_missing("i-1", NOW_MS)
    assert _expire_names(state, NOW_MS + MISSING_GRACE_MS - 1, NOW_MS) == []
    assert _expire_names(state, NOW_MS + MISSING_GRACE_MS, NOW_MS) == ["i-1"]
    assert _expire_names(state, NOW_MS + MISSING_GRACE_MS, NOW_MS) == []


@pytest.mark.parametrize("is_listing", [False, True])
@pytest.mark.parametrize("is_draining", [False, True])
def test_record_that_stays_unreadable_makes_the_upstream_a_last_resort(
    is_listing: bool, is_draining: bool
) -> None:
    """Guards against a record of another writer that removes or keeps using an upstream."""
    state = _build_state(_build_upstream(is_draining=is_draining))
    changes = StateChanges((StateChange("i-1", None, is_unreadable=True),), 3)
    applier = _build_applier(state)
    apply = applier.apply_listing if is_listing else applier.apply_changes
    apply(StateKind.UPSTREAMS, changes, NOW_MS)
    known = state.list_upstreams()[0]
    names = [] if is_draining else ["i-1"]
    state.expire_upstreams(NOW_MS + MISSING_GRACE_MS - 1, NOW_MS)
    assert known.missing_since_ms is None
    assert _list_eligible_names(state) == names
    state.expire_upstreams(NOW_MS + MISSING_GRACE_MS, NOW_MS)
    assert known.missing_since_ms == NOW_MS + MISSING_GRACE_MS
    assert known.record == _build_upstream(is_draining=is_draining)
    state.expire_upstreams(NOW_MS + 70_000, NOW_MS)
    assert not known.is_removed
    assert not known.is_gone
    assert state.list_upstreams() == (known,)


def test_removal_of_an_unreadable_record_starts_the_grace_period() -> None:
    """Guards against an upstream that is never removed after its record became unreadable."""
    state = _build_state(_build_upstream())
    state.mark_upstream_unreadable("i-1", NOW_MS)
    removed_ms = NOW_MS + 10_000
    state.mark_upstream_missing("i-1", removed_ms)
    assert _expire_names(state, removed_ms + MISSING_GRACE_MS - 1, NOW_MS) == []
    assert _expire_names(state, removed_ms + MISSING_GRACE_MS, NOW_MS) == ["i-1"]


def test_upstream_that_writes_again_stays_in_use() -> None:
    """Guards against an upstream that is lost for new flows because of another writer's record."""
    state = _build_state(_build_upstream())
    state.mark_upstream_unreadable("i-1", NOW_MS)
    assert state.put_upstream(_build_upstream(), NOW_MS + 1_000).is_changed
    state.expire_upstreams(NOW_MS + 70_000, NOW_MS)
    assert state.list_upstreams()[0].missing_since_ms is None
