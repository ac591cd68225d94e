"""Entries of the configuration log and the pure function that applies them.

An entry stores the computed effect of a command, so that replicas of different releases get
the same configuration. Applying entries in order of their index is deterministic.
"""

import msgspec

from catkinspread.configuration.exceptions import FlowExceptions
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
    draft = _Draft(configuration)
    for effect in entry.effects:
        _apply_effect(draft, index, entry.written_at_ms, effect)
    return draft.finish(index)


class _Draft:
    """Copies of the parts that an entry changes; each is copied once for the whole entry."""

    __slots__ = ("_copied", "_original", "data_centres", "services", "slot_tables", "upstreams")

    def __init__(self, configuration: Configuration) -> None:
        self._original = configuration
        self._copied: set[str] = set()
        self.services = configuration.services
        self.upstreams = configuration.upstreams
        self.data_centres = configuration.data_centres
        self.slot_tables = configuration.slot_tables

    def open(self, part: str) -> dict:
        """Returns a part of the configuration that may be changed."""
        if part not in self._copied:
            self._copied.add(part)
            setattr(self, part, dict(getattr(self, part)))
        return getattr(self, part)

    def finish(self, version: int) -> Configuration:
        return Configuration(
            version=version,
            services=self.services,
            upstreams=self.upstreams,
            data_centres=self.data_centres,
            slot_tables=self.slot_tables,
        )


def _apply_effect(draft: _Draft, version: int, now_ms: int, effect: Effect) -> None:
    match effect:
        case ServiceSet(service):
            _set_service(draft, service)
        case DataCentreSet(data_centre):
            draft.open("data_centres")[data_centre.name] = data_centre
        case UpstreamSet(upstream):
            draft.open("upstreams")[upstream.name] = upstream
        case UpstreamRemoved(name):
            _remove_upstream(draft, name)
        case SlotsMoved():
            _change_table(draft, effect.service, _move_slots, effect, version, now_ms)
        case GroupChanged():
            _change_table(draft, effect.service, _change_group, effect)
        case SlotsListed():
            _change_table(draft, effect.service, _list_slots, effect)


def _set_service(draft: _Draft, service: Service) -> None:
    if service.name not in draft.slot_tables:
        empty = SlotTable(bases=(SlotBase(default=""),) * SLOT_COUNT)
        draft.open("slot_tables")[service.name] = empty
    draft.open("services")[service.name] = service


def _remove_upstream(draft: _Draft, name: str) -> None:
    if name not in draft.upstreams:
        raise EntryError(f"upstream {name!r} does not exist")
    service = draft.open("upstreams").pop(name).service
    table = draft.slot_tables[service]
    if not any(base.exceptions for base in table.bases):
        return
    bases = tuple(_forget_upstream(base, name) for base in table.bases)
    draft.open("slot_tables")[service] = SlotTable(bases=bases, transitions=table.transitions)


def _forget_upstream(base: SlotBase, name: str) -> SlotBase:
    if not base.exceptions:
        return base
    exceptions = FlowExceptions(base.exceptions)
    if not exceptions.has_upstream(name):
        return base
    return SlotBase(default=base.default, exceptions=exceptions.without(name))


def _change_table(draft: _Draft, service: str, change, *arguments) -> None:
    if service not in draft.slot_tables:
        raise EntryError(f"service {service!r} does not exist")
    table = change(draft.slot_tables[service], *arguments)
    draft.open("slot_tables")[service] = table


def _move_slots(table: SlotTable, effect: SlotsMoved, version: int, now_ms: int) -> SlotTable:
    bases = list(table.bases)
    transitions = dict(table.transitions)
    for move in effect.moves:
        # Equal values share one object: a table of 1,024 bases would take 60 KB otherwise.
        base = SlotBase(default=move.target)
        moved = SlotTransition(move.target, effect.group, version, now_ms)
        for slot in move.slots:
            current = transitions.get(slot)
            if current is not None and current.group != effect.group:
                transitions[slot] = SlotTransition(move.target, current.group, version, now_ms)
            elif current is not None or bases[slot].default:
                transitions[slot] = moved
            elif bases[slot].exceptions:
                bases[slot] = SlotBase(default=move.target, exceptions=bases[slot].exceptions)
            else:
                bases[slot] = base
    return SlotTable(bases=tuple(bases), transitions=transitions)


def _change_group(table: SlotTable, effect: GroupChanged) -> SlotTable:
    transitions = dict(table.transitions)
    for slot in effect.slots:
        if slot in transitions:
            transitions[slot] = msgspec.structs.replace(transitions[slot], group=effect.group)
    return SlotTable(bases=table.bases, transitions=transitions)


def _list_slots(table: SlotTable, effect: SlotsListed) -> SlotTable:
    bases = list(table.bases)
    transitions = dict(table.transitions)
    listed = {
        slot
        for slot in effect.slots
        if slot in transitions and transitions[slot].version <= effect.version
    }
    exceptions: dict[int, dict[int, str]] = {}
    for upstream, flows in effect.exceptions.items():
        for flow in flows:
            if flow % SLOT_COUNT in listed:
                exceptions.setdefault(flow % SLOT_COUNT, {})[flow] = upstream
    plain: dict[str, SlotBase] = {}
    for slot in listed:
        target = transitions.pop(slot).target
        if slot in exceptions:
            bases[slot] = SlotBase(default=target, exceptions=FlowExceptions(exceptions[slot]))
        else:
            bases[slot] = plain.setdefault(target, SlotBase(default=target))
    return SlotTable(bases=tuple(bases), transitions=transitions)
