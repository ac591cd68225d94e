"""Entries of the configuration log and the pure function that applies them.

An entry stores the computed effect of a command, so that replicas of different releases get
the same configuration. Applying entries in order of their index is deterministic.
"""

import msgspec

from catkinspread.model import (
    SLOT_COUNT,
    Configuration,
    DataCentre,
    OwnerGroup,
    Service,
    SlotBase,
    SlotTable,
    SlotTransition,
    Upstream,
)


class EntryError(Exception):
    """An entry cannot be decoded or does not fit the configuration."""


class ServiceSet(msgspec.Struct, array_like=True, frozen=True, tag="service-set"):
    """Creates or replaces a service; a new one gets a table of empty slots."""

    service: Service


class DataCentreSet(msgspec.Struct, array_like=True, frozen=True, tag="data-centre-set"):
    """Creates or replaces a data centre."""

    data_centre: DataCentre


class UpstreamSet(msgspec.Struct, array_like=True, frozen=True, tag="upstream-set"):
    """Creates or replaces an upstream."""

    upstream: Upstream


class UpstreamRemoved(msgspec.Struct, array_like=True, frozen=True, tag="upstream-removed"):
    """Removes an upstream and every exception that points at it."""

    name: str


class SlotMove(msgspec.Struct, array_like=True, frozen=True):
    """Gives slots of a service to an upstream.

    Attributes:
        target: Name of the upstream; empty if the service has none left.
        slots: Indexes of the slots, ascending.
    """

    target: str
    slots: tuple[int, ...]


class SlotsMoved(msgspec.Struct, array_like=True, frozen=True, tag="slots-moved"):
    """Starts or retargets transitions.

    A slot without default upstream has no flows yet, so it takes the target at once.

    Attributes:
        service: Name of the service.
        moves: New targets.
        group: Instances that decide for slots that were not in transition before; a slot that
            is in transition already keeps its group.
    """

    service: str
    moves: tuple[SlotMove, ...]
    group: OwnerGroup


class GroupChanged(msgspec.Struct, array_like=True, frozen=True, tag="group-changed"):
    """Replaces the owner group of slots in transition."""

    service: str
    slots: tuple[int, ...]
    group: OwnerGroup


class SlotsListed(msgspec.Struct, array_like=True, frozen=True, tag="slots-listed"):
    """Ends transitions: the target becomes the default and the exceptions are replaced.

    A slot whose transition has a later version than `version` is left as it is, because the
    list was made before that move.

    Attributes:
        service: Name of the service.
        version: Version of the transition that the list belongs to.
        slots: Indexes of the slots.
        exceptions: Flow hashes that stay on an upstream, by its name.
    """

    service: str
    version: int
    slots: tuple[int, ...]
    exceptions: dict[str, tuple[int, ...]]


Effect = (
    ServiceSet
    | DataCentreSet
    | UpstreamSet
    | UpstreamRemoved
    | SlotsMoved
    | GroupChanged
    | SlotsListed
)


class ChangeEntry(msgspec.Struct, array_like=True, frozen=True):
    """One accepted change.

    Attributes:
        change_id: Unique id that the writer chose.
        actor: Who asked for it: an operator, or `instance/<name>` for automatic steps.
        command: The command as stated; empty for automatic steps.
        reason: Why, in the words of the operator.
        written_at_ms: When the writer wrote it, in ms since the epoch.
        previous_hash: 64-bit hash of the encoded entry before this one; 0 for the first.
        effects: Applied in order, all or none.
    """

    change_id: str
    actor: str
    command: str
    reason: str
    written_at_ms: int
    previous_hash: int
    effects: tuple[Effect, ...]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(ChangeEntry)


def encode_entry(entry: ChangeEntry) -> bytes:
    """Returns the stored form of an entry."""
    return _ENCODER.encode(entry)


def decode_entry(payload: bytes) -> ChangeEntry:
    """Returns the entry of a stored form.

    Raises:
        EntryError: If the payload is malformed.
    """
    try:
        return _DECODER.decode(payload)
    except msgspec.DecodeError as error:
        raise EntryError(f"configuration entry is malformed: {error}") from error


def apply_entry(configuration: Configuration, index: int, entry: ChangeEntry) -> Configuration:
    """Returns the configuration after an entry.

    Args:
        configuration: The configuration at version `index - 1`.
        index: Index of the entry in the log.
        entry: The entry.

    Raises:
        EntryError: If the index is not the next one or an effect names an unknown object.
    """
    if index != configuration.version + 1:
        raise EntryError(f"entry {index} does not follow version {configuration.version}")
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
            data_centres = {**configuration.data_centres, data_centre.name: data_centre}
            return msgspec.structs.replace(configuration, data_centres=data_centres)
        case UpstreamSet(upstream):
            upstreams = {**configuration.upstreams, upstream.name: upstream}
            return msgspec.structs.replace(configuration, upstreams=upstreams)
        case UpstreamRemoved(name):
            return _remove_upstream(configuration, name)
        case SlotsMoved():
            return _change_table(
                configuration, effect.service, _move_slots, effect, version, now_ms
            )
        case GroupChanged():
            return _change_table(configuration, effect.service, _change_group, effect)
        case SlotsListed():
            return _change_table(configuration, effect.service, _list_slots, effect)


def _set_service(configuration: Configuration, service: Service) -> Configuration:
    tables = configuration.slot_tables
    if service.name not in tables:
        empty = SlotTable(bases=(SlotBase(default=""),) * SLOT_COUNT)
        tables = {**tables, service.name: empty}
    services = {**configuration.services, service.name: service}
    return msgspec.structs.replace(configuration, services=services, slot_tables=tables)


def _remove_upstream(configuration: Configuration, name: str) -> Configuration:
    if name not in configuration.upstreams:
        raise EntryError(f"upstream {name!r} does not exist")
    upstreams = {key: value for key, value in configuration.upstreams.items() if key != name}
    service = configuration.upstreams[name].service
    table = configuration.slot_tables[service]
    bases = tuple(base.without_upstream(name) for base in table.bases)
    table = msgspec.structs.replace(table, bases=bases)
    tables = {**configuration.slot_tables, service: table}
    return msgspec.structs.replace(configuration, upstreams=upstreams, slot_tables=tables)


def _change_table(configuration: Configuration, service: str, change, *arguments) -> Configuration:
    if service not in configuration.slot_tables:
        raise EntryError(f"service {service!r} does not exist")
    table = change(configuration.slot_tables[service], *arguments)
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


def _list_slots(table: SlotTable, effect: SlotsListed) -> SlotTable:
    bases = list(table.bases)
    transitions = dict(table.transitions)
    listed = {
        slot
        for slot in effect.slots
        if slot in transitions and transitions[slot].version <= effect.version
    }
    exceptions: dict[int, dict[int, str]] = {slot: {} for slot in listed}
    for upstream, flows in effect.exceptions.items():
        for flow in flows:
            if flow % SLOT_COUNT in listed:
                exceptions[flow % SLOT_COUNT][flow] = upstream
    for slot in listed:
        target = transitions.pop(slot).target
        bases[slot] = SlotBase.build(target, exceptions[slot])
    return SlotTable(bases=tuple(bases), transitions=transitions)
