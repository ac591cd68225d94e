"""Decides when the removal of an upstream completes."""

from collections.abc import Mapping

from catkinspread.configuration import ChangeEntry, UpstreamRemoved, UpstreamSet
from catkinspread.model import Configuration, SlotTable, UpstreamState
from catkinspread.operations.moves import count_references

# No flow lives longer; afterwards an exception stands for a flow that has ended.
FLOW_LIFETIME_MAX_MS = 86_400_000

# Stands for an upstream that may still get new flows.
_NOT_IDLE = -1


def find_completed_removals(
    configuration: Configuration, idle_since_ms: Mapping[str, int], now_ms: int
) -> tuple[UpstreamRemoved, ...]:
    """Returns the removals that can complete, because no flow is on the upstream any more.

    While a slot is in transition, its owner may have pinned flows to any upstream that was a
    target since the transition began. The configuration does not say which, so a removal waits
    until no slot of the service is in transition. Exceptions are not taken off the list when
    their flows end, so they count for FLOW_LIFETIME_MAX_MS only.

    Args:
        configuration: The current state.
        idle_since_ms: Result of `note_idle_removals` for the last entry.
        now_ms: Current time in ms since the epoch.
    """
    oldest_ms = now_ms - FLOW_LIFETIME_MAX_MS
    removed = []
    for upstream in configuration.upstreams.values():
        if upstream.state is UpstreamState.REMOVING:
            table = configuration.slot_tables[upstream.service]
            is_outlived = _NOT_IDLE < idle_since_ms.get(upstream.name, _NOT_IDLE) <= oldest_ms
            if _is_idle(table, upstream.name) and (
                is_outlived or count_references(table, upstream.name).is_empty
            ):
                removed.append(UpstreamRemoved(upstream.name))
    return tuple(removed)


def note_idle_removals(
    idle_since_ms: dict[str, int],
    configuration: Configuration,
    entry: ChangeEntry,
    services: frozenset[str],
) -> dict[str, int]:
    """Returns since when each upstream that is being removed gets no new flows.

    Args:
        idle_since_ms: The result for the entry before.
        configuration: State after the entry.
        entry: The entry.
        services: Services that the entry concerns.

    Returns:
        Time in ms by upstream; negative while it may still get new flows.
    """
    stated = {effect.upstream.name for effect in entry.effects if isinstance(effect, UpstreamSet)}
    noted: dict[str, int] = {}
    for name in (*idle_since_ms, *sorted(stated - idle_since_ms.keys())):
        upstream = configuration.upstreams.get(name)
        if upstream is None or upstream.state is not UpstreamState.REMOVING:
            continue
        since_ms = idle_since_ms.get(name, _NOT_IDLE)
        if upstream.service in services:
            is_idle = _is_idle(configuration.slot_tables[upstream.service], name)
            known_ms = entry.written_at_ms if since_ms == _NOT_IDLE else since_ms
            since_ms = known_ms if is_idle else _NOT_IDLE
        noted[name] = since_ms
    return noted


def _is_idle(table: SlotTable, name: str) -> bool:
    return not table.transitions and all(base.default != name for base in table.bases)
