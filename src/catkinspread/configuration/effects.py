"""Entries of the configuration log and the pure function that applies them.

An entry stores the computed effects of a command rather than the command itself, so that
replicas of different releases derive the same configuration. Applying entries in index order is
deterministic.
"""

import msgspec

from catkinspread.model import (
    SLOT_COUNT,
    Configuration,
    DataCentre,
    DataCentreState,
    OwnerGroup,
    Service,
    SlotBase,
    SlotTable,
    SlotTransition,
    Upstream,
)


class EntryError(Exception):
    """An entry or a snapshot cannot be decoded, or an entry cannot be applied."""


class ServiceSet(msgspec.Struct, array_like=True, frozen=True, tag="service-set"):
    """Creates or replaces a service; a new service gets a table of empty slots."""

    service: Service


class DataCentreSet(msgspec.Struct, array_like=True, frozen=True, tag="data-centre-set"):
    """Creates or replaces a data centre.

    When a data centre that was out of service returns to service, the warm-up of all its
    upstreams restarts at the time of the entry (`cold_at_ms`).
    """

    data_centre: DataCentre


class UpstreamSet(msgspec.Struct, array_like=True, frozen=True, tag="upstream-set"):
    """Creates or replaces an upstream.

    The `cold_at_ms` of `upstream` is ignored: an existing upstream keeps its own, and the warm-up
    of a new one starts at the time of the entry.
    """

    upstream: Upstream


class UpstreamRemoved(msgspec.Struct, array_like=True, frozen=True, tag="upstream-removed"):
    """Removes an upstream and the routing exceptions that refer to it.

    Routing exceptions are flows that stay on a different upstream than the default of their slot.
    """

    name: str


class SlotMove(msgspec.Struct, array_like=True, frozen=True):
    """Assigns slots of a service to an upstream.

    Attributes:
        target: Name of the upstream; empty if the service has no upstream left.
        slots: Indexes of the slots in ascending order.
    """

    target: str
    slots: tuple[int, ...]


class SlotsMoved(msgspec.Struct, array_like=True, frozen=True, tag="slots-moved"):
    """Starts transitions of slots, or changes the target of transitions in progress.

    A slot without a default upstream has no flows yet, so it adopts the target without a
    transition.

    Attributes:
        service: Name of the service.
        moves: New targets of the slots.
        group: Owner group of the slots that enter transition; a slot that is already in
            transition keeps its group.
    """

    service: str
    moves: tuple[SlotMove, ...]
    group: OwnerGroup


class GroupChanged(msgspec.Struct, array_like=True, frozen=True, tag="group-changed"):
    """Replaces the owner group of slots in transition.

    Slots that are not in transition are ignored.

    Attributes:
        service: Name of the service.
        slots: Indexes of the slots.
        group: Instances that decide for the slots until their transitions end.
    """

    service: str
    slots: tuple[int, ...]
    group: OwnerGroup


class SlotsListed(msgspec.Struct, array_like=True, frozen=True, tag="slots-listed"):
    """Ends transitions of slots whose routing exceptions have been collected.

    The target becomes the default upstream of a slot, and its routing exceptions are replaced.
    Slots that are not in transition are ignored. A slot whose transition has a later version than
    `version` is left unchanged, because the exceptions were collected before its latest move.

    Attributes:
        service: Name of the service.
        version: Version of the transition for which the exceptions were collected.
        slots: Indexes of the slots.
        exceptions: Routing exceptions: hashes of the flows that stay on their upstream, by
            upstream name.
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
    """An accepted change of the configuration.

    Attributes:
        change_id: Unique id chosen by the writer.
        actor: Author of the change: an operator, or `instance/<name>` for automatic steps.
        command: Text of the command; empty for automatic steps.
        reason: Reason given by the operator.
        written_at_ms: Time of writing, in ms since the epoch.
        previous_hash: 64-bit XXH3 hash of the preceding encoded entry; 0 for the first entry.
        effects: Effects, applied in order and atomically.
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
    """Encodes an entry for storage."""
    return _ENCODER.encode(entry)


def decode_entry(payload: bytes) -> ChangeEntry:
    """Decodes a stored entry.

    Raises:
        EntryError: If the payload is malformed.
    """
    try:
        return _DECODER.decode(payload)
    except msgspec.DecodeError as error:
        raise EntryError(f"configuration entry is malformed: {error}") from error


def apply_entry(configuration: Configuration, index: int, entry: ChangeEntry) -> Configuration:
    """Returns the configuration that results from applying an entry.

    Args:
        configuration: The configuration at version `index - 1`.
        index: Index of the entry in the log.
        entry: The entry.

    Raises:
        EntryError: If the index does not follow the version, an effect changes the slots of an
            unknown service, or it removes an unknown upstream.
        KeyError: If an effect removes an upstream whose service is unknown.
        IndexError: If an effect moves a slot with an index of SLOT_COUNT or more.
        OverflowError: If a routing exception is not an unsigned 64-bit hash.
    """
    if index != configuration.version + 1:
        raise EntryError(f"entry {index} does not follow version {configuration.version}")
    draft = _Draft(configuration)
    for effect in entry.effects:
        _apply_effect(draft, index, entry.written_at_ms, effect)
    return draft.build(index)


class _Draft:
    """Copy-on-write view of a configuration; copies each changed part once per entry."""

    __slots__ = ("_copied", "_original", "data_centres", "services", "slot_tables", "upstreams")

    def __init__(self, configuration: Configuration) -> None:
        self._original = configuration
        self._copied: set[str] = set()
        self.services = configuration.services
        self.upstreams = configuration.upstreams
        self.data_centres = configuration.data_centres
        self.slot_tables = configuration.slot_tables

    def get_mutable(self, part: str) -> dict:
        """Returns a mutable copy of a part of the configuration."""
        if part not in self._copied:
            self._copied.add(part)
            setattr(self, part, dict(getattr(self, part)))
        return getattr(self, part)

    def build(self, version: int) -> Configuration:
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
            _set_data_centre(draft, now_ms, data_centre)
        case UpstreamSet(upstream):
            _set_upstream(draft, now_ms, upstream)
        case UpstreamRemoved(name):
            _remove_upstream(draft, name)
        case SlotsMoved():
            _update_table(draft, effect.service, _move_slots, effect, version, now_ms)
        case GroupChanged():
            _update_table(draft, effect.service, _change_group, effect)
        case SlotsListed():
            _update_table(draft, effect.service, _end_transitions, effect)


def _set_service(draft: _Draft, service: Service) -> None:
    if service.name not in draft.slot_tables:
        empty = SlotTable(bases=(SlotBase(default=""),) * SLOT_COUNT)
        draft.get_mutable("slot_tables")[service.name] = empty
    draft.get_mutable("services")[service.name] = service


def _set_data_centre(draft: _Draft, now_ms: int, data_centre: DataCentre) -> None:
    """Sets a data centre and restarts the warm-up of its upstreams if it returns to service."""
    previous = draft.data_centres.get(data_centre.name)
    draft.get_mutable("data_centres")[data_centre.name] = data_centre
    was_out = previous is not None and previous.state is DataCentreState.OUT
    if not was_out or data_centre.state is not DataCentreState.IN:
        return
    for name, upstream in list(draft.upstreams.items()):
        if upstream.data_centre == data_centre.name:
            draft.get_mutable("upstreams")[name] = msgspec.structs.replace(
                upstream, cold_at_ms=now_ms
            )


def _set_upstream(draft: _Draft, now_ms: int, upstream: Upstream) -> None:
    """Sets an upstream.

    An existing upstream keeps its `cold_at_ms`; the warm-up of a new one starts at the time of the
    entry.
    """
    previous = draft.upstreams.get(upstream.name)
    cold_at_ms = now_ms if previous is None else previous.cold_at_ms
    upstream = msgspec.structs.replace(upstream, cold_at_ms=cold_at_ms)
    draft.get_mutable("upstreams")[upstream.name] = upstream


def _remove_upstream(draft: _Draft, name: str) -> None:
    if name not in draft.upstreams:
        raise EntryError(f"upstream {name!r} does not exist")
    service = draft.get_mutable("upstreams").pop(name).service
    table = draft.slot_tables[service]
    if not any(base.exceptions for base in table.bases):
        return
    bases = tuple(base.without_upstream(name) for base in table.bases)
    draft.get_mutable("slot_tables")[service] = SlotTable(
        bases=bases, transitions=table.transitions
    )


def _update_table(draft: _Draft, service: str, update, *arguments) -> None:
    if service not in draft.slot_tables:
        raise EntryError(f"service {service!r} does not exist")
    table = update(draft.slot_tables[service], *arguments)
    draft.get_mutable("slot_tables")[service] = table


def _move_slots(table: SlotTable, effect: SlotsMoved, version: int, now_ms: int) -> SlotTable:
    bases = list(table.bases)
    transitions = dict(table.transitions)
    for move in effect.moves:
        # Slots share one base, because 1,024 separate objects would take 60 KB per table.
        base = SlotBase(default=move.target)
        transition = SlotTransition(move.target, effect.group, version, now_ms)
        for slot in move.slots:
            current = transitions.get(slot)
            if current is not None and current.group != effect.group:
                transitions[slot] = SlotTransition(move.target, current.group, version, now_ms)
            elif current is not None or bases[slot].default:
                transitions[slot] = transition
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


def _end_transitions(table: SlotTable, effect: SlotsListed) -> SlotTable:
    bases = list(table.bases)
    transitions = dict(table.transitions)
    ended_slots = {
        slot
        for slot in effect.slots
        if slot in transitions and transitions[slot].version <= effect.version
    }
    exceptions: dict[int, dict[int, str]] = {}
    for upstream, flows in effect.exceptions.items():
        for flow in flows:
            if flow % SLOT_COUNT in ended_slots:
                exceptions.setdefault(flow % SLOT_COUNT, {})[flow] = upstream
    shared_bases: dict[str, SlotBase] = {}
    for slot in ended_slots:
        target = transitions.pop(slot).target
        if slot in exceptions:
            bases[slot] = SlotBase.build(target, exceptions[slot])
        else:
            bases[slot] = shared_bases.setdefault(target, SlotBase(default=target))
    return SlotTable(bases=tuple(bases), transitions=transitions)
