"""Reads the platform's configuration object for checks before it is sent.

The decoder of the instances decides whether the object is refused, and stops at its first fault.
Only if it refuses the object, each field of each entry is decoded by itself, to find all faults.
"""

import functools
from collections.abc import Callable, Iterator, Mapping

import msgspec
import msgspec.structs

from catkinspread.configuration_check import (
    WHOLE_CONFIGURATION,
    ConfigurationDraft,
    ConfigurationField,
    ConfigurationPart,
    DecodingFault,
    DraftReading,
    ObjectKind,
    RouteEntry,
)
from catkinspread.deployment import ServiceShare, StateKind
from catkinspread.platform.answers import DECODER_FAILURES
from catkinspread.platform.field_names import FIELD_NAMES, FIELDS_BY_NAME
from catkinspread.platform.objects import (
    CONFIGURATION_NAME,
    ObjectShapeError,
    WireConfiguration,
    WireLimits,
    WireRoute,
    WireService,
    decode_record,
    decode_route_ip,
    decode_route_port,
    decode_shares,
    decode_wire_configuration,
)

# Steps that decode the fields of a route further; each raises ValueError for a bad value.
_ROUTE_STEPS: tuple[tuple[ConfigurationField, Callable[[WireRoute], object]], ...] = (
    (ConfigurationField.IP, decode_route_ip),
    (ConfigurationField.PORT, decode_route_port),
    (ConfigurationField.SERVICE, decode_shares),
)

_LIMITS = FIELD_NAMES[ConfigurationField.LIMITS]
# Kind and type of the entries of a list, by the name of the list.
_ENTRY_TYPES: Mapping[str, tuple[ObjectKind, type[msgspec.Struct]]] = {
    FIELD_NAMES[ConfigurationField.ROUTES]: (ObjectKind.ROUTE, WireRoute),
    FIELD_NAMES[ConfigurationField.SERVICES]: (ObjectKind.SERVICE, WireService),
}

_decode_members = msgspec.json.Decoder(dict[str, msgspec.Raw]).decode
_decode_entries = msgspec.json.Decoder(list[msgspec.Raw]).decode
_decode_name = msgspec.json.Decoder(str).decode


class _WireField(msgspec.Struct, frozen=True):
    """A field of an object on the wire.

    Attributes:
        name: Name of the field.
        is_required: Whether an object without it is refused.
        decode: Decodes its value.
    """

    name: str
    is_required: bool
    decode: Callable[[msgspec.Raw], object]


def read_configuration(spec: bytes) -> DraftReading:
    """Returns the configuration of an object's content, or all reasons why instances refuse it.

    Args:
        spec: Content of the object as JSON.
    """
    try:
        configuration = decode_record(StateKind.CONFIGURATION, CONFIGURATION_NAME, spec)
    except ObjectShapeError as error:
        faults = tuple(_list_object_faults(spec))
        if not faults:
            # The fault concerns the object as a whole, such as the number of its entries.
            reason = str(error.__cause__)
            faults = (DecodingFault(WHOLE_CONFIGURATION, ConfigurationField.WHOLE, reason),)
        return DraftReading(None, faults)
    wire = decode_wire_configuration(spec)
    entries = tuple(
        RouteEntry(
            route=route,
            request_kind=wire_route.kind,
            service=wire_route.service,
            backends=tuple(
                ServiceShare(backend.service, backend.weight) for backend in wire_route.backends
            ),
        )
        for route, wire_route in zip(configuration.routes, wire.routes, strict=True)
    )
    return DraftReading(ConfigurationDraft(configuration, entries))


def _list_object_faults(spec: bytes) -> Iterator[DecodingFault]:
    try:
        members = _decode_members(spec)
    except DECODER_FAILURES:
        return
    for field in _list_fields(WireConfiguration):
        value = members.get(field.name)
        if value is None:
            yield from _list_missing(field, WHOLE_CONFIGURATION)
        elif field.name in _ENTRY_TYPES:
            yield from _list_entries_faults(field, value)
        elif field.name == _LIMITS:
            yield from _list_members_faults(value, ConfigurationPart(ObjectKind.LIMITS), WireLimits)
        else:
            yield from _list_value_faults(field, value, WHOLE_CONFIGURATION)


def _list_entries_faults(field: _WireField, value: msgspec.Raw) -> Iterator[DecodingFault]:
    """Yields the faults of a list of routes or services."""
    try:
        entries = _decode_entries(value)
    except DECODER_FAILURES as error:
        yield DecodingFault(WHOLE_CONFIGURATION, FIELDS_BY_NAME[field.name], str(error))
        return
    kind, wire_type = _ENTRY_TYPES[field.name]
    for position, entry in enumerate(entries):
        part = ConfigurationPart(kind, _read_name(entry), position)
        faults = list(_list_members_faults(entry, part, wire_type))
        yield from faults or _list_whole_entry_faults(entry, part, wire_type)


def _list_members_faults(
    value: msgspec.Raw, part: ConfigurationPart, wire_type: type[msgspec.Struct]
) -> Iterator[DecodingFault]:
    """Yields the faults of an object, each field by itself."""
    try:
        members = _decode_members(value)
    except DECODER_FAILURES as error:
        yield DecodingFault(part, ConfigurationField.WHOLE, str(error))
        return
    for field in _list_fields(wire_type):
        member = members.get(field.name)
        if member is None:
            yield from _list_missing(field, part)
        else:
            yield from _list_value_faults(field, member, part)


def _list_missing(field: _WireField, part: ConfigurationPart) -> Iterator[DecodingFault]:
    if field.is_required:
        yield DecodingFault(part, FIELDS_BY_NAME[field.name], "is missing")


def _list_value_faults(
    field: _WireField, value: msgspec.Raw, part: ConfigurationPart
) -> Iterator[DecodingFault]:
    try:
        field.decode(value)
    except DECODER_FAILURES as error:
        yield DecodingFault(part, FIELDS_BY_NAME[field.name], str(error))


def _list_whole_entry_faults(
    entry: msgspec.Raw, part: ConfigurationPart, wire_type: type[msgspec.Struct]
) -> Iterator[DecodingFault]:
    """Yields the faults of an entry that show only when all its fields are decoded together."""
    try:
        wire = msgspec.json.decode(entry, type=wire_type)
    except DECODER_FAILURES as error:
        # For example a field that is written twice, whose first value is refused.
        yield DecodingFault(part, ConfigurationField.WHOLE, str(error))
        return
    if isinstance(wire, WireRoute):
        for field, decode in _ROUTE_STEPS:
            try:
                decode(wire)
            except ValueError as error:
                yield DecodingFault(part, field, str(error))


def _read_name(entry: msgspec.Raw) -> str:
    """Returns the name of an entry; empty if it cannot be read."""
    try:
        return _decode_name(_decode_members(entry)[FIELD_NAMES[ConfigurationField.NAME]])
    except (KeyError, *DECODER_FAILURES):
        return ""


@functools.cache
def _list_fields(wire_type: type[msgspec.Struct]) -> tuple[_WireField, ...]:
    return tuple(
        _WireField(field.encode_name, field.required, msgspec.json.Decoder(field.type).decode)
        for field in msgspec.structs.fields(wire_type)
    )
