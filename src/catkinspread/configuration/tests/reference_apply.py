"""Reference implementation of apply_entry, which copies every table for each effect.

Tests compare apply_entry with it.
"""

import msgspec

from catkinspread.configuration.effects import (
    ChangeEntry,
    DataCentreSet,
    Effect,
    EntryError,
    GroupChanged,
    ServiceSet,
    SlotsListed,
    SlotsMoved,
    UpstreamRemoved,
    UpstreamSet,
)
from catkinspread.model import (
    SLOT_COUNT,
    Configuration,
    DataCentre,
    DataCentreState,
    Service,
    SlotBase,
    SlotTable,
    SlotTransition,
)


def apply_entry_reference(
    configuration: Configuration, index: int, entry: ChangeEntry
) -> Configuration:
    """Returns the configuration that results from applying an entry."""
    for effect in entry.effects:
        configuration = _apply_effect(configuration, index, entry.written_at_ms, effect)
    return msgspec.structs.replace(configuration, version=index)


def _apply_effect(
    configuration: Configuration, version: int, now_ms: int, effect: Effect
) -> Configuration:
    match effect:
        case ServiceSet(service):
            return _set_service(configuration, service)
        case DataCentreSet(data_centre):
            return _set_data_centre(configuration, now_ms, data_centre)
        case UpstreamSet(upstream):
            known = configuration.upstreams.get(upstream.name)
            cold_at_ms = known.cold_at_ms if known is not None else now_ms
            upstream = msgspec.structs.replace(upstream, cold_at_ms=cold_at_ms)
            upstreams = {**configuration.upstreams, upstream.name: upstream}
            return msgspec.structs.replace(configuration, upstreams=upstreams)
        case UpstreamRemoved(name):
            return _remove_upstream(configuration, name)
        case SlotsMoved():
            return _update_table(
                configuration, effect.service, _move_slots, effect, version, now_ms
            )
        case GroupChanged():
            return _update_table(configuration, effect.service, _change_group, effect)
        case SlotsListed():
            return _update_table(configuration, effect.service, _end_transitions, effect)


def _set_service(configuration: Configuration, service: Service) -> Configuration:
    tables = configuration.slot_tables
    if service.name not in tables:
        empty = SlotTable(bases=(SlotBase(default=""),) * SLOT_COUNT)
        tables = {**tables, service.name: empty}
    services = {**configuration.services, service.name: service}
    return msgspec.structs.replace(configuration, services=services, slot_tables=tables)


def _set_data_centre(
    configuration: Configuration, now_ms: int, data_centre: DataCentre
) -> Configuration:
    known = configuration.data_centres.get(data_centre.name)
    states = (known and known.state, data_centre.state)
    upstreams = {
        name: msgspec.structs.replace(upstream, cold_at_ms=now_ms)
        if states == (DataCentreState.OUT, DataCentreState.IN)
        and upstream.data_centre == data_centre.name
        else upstream
        for name, upstream in configuration.upstreams.items()
    }
    data_centres = {**configuration.data_centres, data_centre.name: data_centre}
    return msgspec.structs.replace(configuration, data_centres=data_centres, upstreams=upstreams)


def _remove_upstream(configuration: Configuration, name: str) -> Configuration:
    if name not in configuration.upstreams:
        raise EntryError(f"upstream {name!r} does not exist")
    upstreams = {key: value for key, value in configuration.upstreams.items() if key != name}
    service = configuration.upstreams[name].service
    table = configuration.slot_tables[service]
    bases = tuple(_remove_exceptions(base, name) for base in table.bases)
    table = msgspec.structs.replace(table, bases=bases)
    tables = {**configuration.slot_tables, service: table}
    return msgspec.structs.replace(configuration, upstreams=upstreams, slot_tables=tables)


def _remove_exceptions(base: SlotBase, name: str) -> SlotBase:
    exceptions = base.unpack_exceptions()
    kept = {flow: upstream for flow, upstream in exceptions.items() if upstream != name}
    return SlotBase.build(base.default, kept)


def _update_table(configuration: Configuration, service: str, update, *arguments) -> Configuration:
    if service not in configuration.slot_tables:
        raise EntryError(f"service {service!r} does not exist")
    table = update(configuration.slot_tables[service], *arguments)
    tables = {**configuration.slot_tables, service: table}
    return msgspec.structs.replace(configuration, slot_tables=tables)


def _move_slots(table: SlotTable, effect: SlotsMoved, version: int, now_ms: int) -> SlotTable:
    bases = list(table.bases)
    transitions = dict(table.transitions)
    for move in effect.moves:
        for slot in move.slots:
            current = transitions.get(slot)
            if current is None and not bases[slot].default:
                bases[slot] = SlotBase(default=move.target, exceptions=bases[slot].exceptions)
                continue
            group = effect.group if current is None else current.group
            transitions[slot] = SlotTransition(move.target, group, version, now_ms)
    return SlotTable(bases=tuple(bases), transitions=transitions)


def _change_group(table: SlotTable, effect: GroupChanged) -> SlotTable:
    transitions = dict(table.transitions)
    for slot in effect.slots:
        if slot in transitions:
            transitions[slot] = msgspec.structs.replace(transitions[slot], group=effect.group)
    return msgspec.structs.replace(table, transitions=transitions)


def _end_transitions(table: SlotTable, effect: SlotsListed) -> SlotTable:
    bases = list(table.bases)
    transitions = dict(table.transitions)
    ended_slots = {
        slot
        for slot in effect.slots
        if slot in transitions and transitions[slot].version <= effect.version
    }
    exceptions: dict[int, dict[int, str]] = {slot: {} for slot in ended_slots}
    for upstream, flows in effect.exceptions.items():
        for flow in flows:
            if flow % SLOT_COUNT in ended_slots:
                exceptions[flow % SLOT_COUNT][flow] = upstream
    for slot in ended_slots:
        target = transitions.pop(slot).target
        bases[slot] = SlotBase.build(target, exceptions[slot])
    return SlotTable(bases=tuple(bases), transitions=transitions)
