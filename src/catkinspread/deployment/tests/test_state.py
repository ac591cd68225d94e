"""Updates of the deployment state, and its behaviour during outages of the source."""

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


def _build_applier(state: DeploymentState) -> StateApplier:
    return StateApplier(state, EventLog("one", _NullWriter(), ManualClock(NOW_MS)), 1_200)


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


def test_missing_upstream_is_removed_after_the_grace_period() -> None:
    """Guards against new flows to an upstream that crashed."""
    state = _build_state(_build_upstream())
    state.mark_upstream_missing("i-1", NOW_MS)
    assert state.expire_upstreams(NOW_MS + MISSING_GRACE_MS - 1, NOW_MS - 10_000) == []
    assert _list_eligible_names(state) == ["i-1"]
    assert state.expire_upstreams(NOW_MS + MISSING_GRACE_MS, NOW_MS - 10_000) == ["i-1"]
    assert _list_eligible_names(state) == []


def test_grace_period_starts_when_the_source_is_available_again() -> None:
    """Guards against removing live upstreams whose records expired in an outage."""
    state = _build_state(_build_upstream())
    state.mark_upstream_missing("i-1", NOW_MS)
    assert state.expire_upstreams(NOW_MS + 60_000, None) == []
    available_ms = NOW_MS + 61_000
    assert state.expire_upstreams(available_ms + MISSING_GRACE_MS - 1, available_ms) == []
    assert state.expire_upstreams(available_ms + MISSING_GRACE_MS, available_ms) == ["i-1"]


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


def test_unusable_record_removes_the_upstream() -> None:
    """Guards against using a record that another writer has overwritten."""
    state = _build_state(_build_upstream(is_draining=True))
    changes = StateChanges((StateChange("i-1", None),), 3)
    _build_applier(state).apply_changes(StateKind.UPSTREAMS, changes, NOW_MS)
    assert state.list_upstreams()[0].is_removed
