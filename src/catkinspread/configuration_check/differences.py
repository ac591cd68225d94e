"""Checks for differences from the configuration in force.

Routes and services are compared by name. Entries with the same name are paired in their order.
"""

import ipaddress
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

import msgspec

from catkinspread.configuration_check.draft import ConfigurationDraft, RouteEntry
from catkinspread.configuration_check.findings import (
    WHOLE_CONFIGURATION,
    ConfigurationField,
    ConfigurationPart,
    FindingKind,
    ObjectKind,
    Observation,
    Severity,
)
from catkinspread.configuration_check.registry import register_check
from catkinspread.deployment import ServiceLimits, ServiceShare

_Entry = TypeVar("_Entry", RouteEntry, ServiceLimits)
# A part with its entry, as the drafts list them.
_Listed = tuple[ConfigurationPart, _Entry]

_ADVICE = "Nothing, if the change is intended."


class _ComparedField(msgspec.Struct, frozen=True):
    """A field that is compared.

    Attributes:
        field: The field.
        format_value: Returns its value in an entry, as findings show it. Different values have
            different texts.
    """

    field: ConfigurationField
    format_value: Callable[..., str]


def _format_number(value: float) -> str:
    return str(int(value)) if value.is_integer() else repr(value)


def _format_backends(backends: tuple[ServiceShare, ...]) -> str:
    listed = (f"{share.service!r} {_format_number(share.weight)}" for share in backends)
    return ", ".join(listed) or "none"


_ROUTE_FIELDS = (
    _ComparedField(
        ConfigurationField.IP, lambda entry: str(ipaddress.IPv4Address(entry.route.address.ip))
    ),
    _ComparedField(ConfigurationField.PORT, lambda entry: str(entry.route.address.port)),
    _ComparedField(ConfigurationField.REQUEST_KIND, lambda entry: repr(entry.request_kind)),
    _ComparedField(
        ConfigurationField.SERVICE,
        lambda entry: repr(entry.service) if entry.service else "none",
    ),
    _ComparedField(ConfigurationField.BACKENDS, lambda entry: _format_backends(entry.backends)),
    _ComparedField(ConfigurationField.TIMEOUT, lambda entry: f"{entry.route.timeout_ms} ms"),
    _ComparedField(ConfigurationField.OBJECTIVE, lambda entry: f"{entry.route.objective_ms} ms"),
    _ComparedField(ConfigurationField.PRIORITY, lambda entry: str(entry.route.priority)),
)
_SERVICE_FIELDS = (
    _ComparedField(
        ConfigurationField.COLD_RATE,
        lambda limits: f"{_format_number(limits.cold_rate_per_s)} per s",
    ),
    _ComparedField(ConfigurationField.CONNECTIONS_MAX, lambda limits: str(limits.connections_max)),
)


def _key_by_name(
    listed: Iterable[_Listed[_Entry]],
) -> dict[tuple[str, int], _Listed[_Entry]]:
    """Returns entries by name and by how many earlier entries have the name."""
    seen: Counter[str] = Counter()
    keyed = {}
    for part, entry in listed:
        keyed[part.name, seen[part.name]] = (part, entry)
        seen[part.name] += 1
    return keyed


def _find_missing(
    listed: Iterable[_Listed[_Entry]], others: Iterable[_Listed[_Entry]]
) -> Iterator[ConfigurationPart]:
    """Yields the parts without a counterpart among the others."""
    keyed_others = _key_by_name(others)
    for key, (part, _) in _key_by_name(listed).items():
        if key not in keyed_others:
            yield part


def _find_changes(
    listed: Iterable[_Listed[_Entry]],
    earlier: Iterable[_Listed[_Entry]],
    fields: tuple[_ComparedField, ...],
) -> Iterator[Observation]:
    """Yields each field whose value differs from that of the counterpart."""
    keyed_earlier = _key_by_name(earlier)
    for key, (part, entry) in _key_by_name(listed).items():
        counterpart = keyed_earlier.get(key)
        if counterpart is None or counterpart[1] == entry:
            continue
        for compared in fields:
            before = compared.format_value(counterpart[1])
            after = compared.format_value(entry)
            if before != after:
                yield Observation(part, compared.field, f"changes from {before} to {after}")


@register_check(
    "version-not-higher",
    FindingKind.DIFFERENCE,
    Severity.ERROR,
    "Set a version above the one in force.",
)
def find_old_version(
    draft: ConfigurationDraft, in_force: ConfigurationDraft
) -> Iterator[Observation]:
    """Yields the version if instances would ignore it."""
    if not draft.configuration.is_newer_than(in_force.configuration):
        yield Observation(
            WHOLE_CONFIGURATION,
            ConfigurationField.VERSION,
            f"version {draft.configuration.version} is not above the version in force, "
            f"{in_force.configuration.version}, so instances ignore the object",
        )


@register_check("route-added", FindingKind.DIFFERENCE, Severity.INFORMATION, _ADVICE)
def find_added_routes(
    draft: ConfigurationDraft, in_force: ConfigurationDraft
) -> Iterator[Observation]:
    """Yields each route that is not in force."""
    for part in _find_missing(draft.list_routes(), in_force.list_routes()):
        yield Observation(part, ConfigurationField.WHOLE, "is added")


@register_check("route-removed", FindingKind.DIFFERENCE, Severity.INFORMATION, _ADVICE)
def find_removed_routes(
    draft: ConfigurationDraft, in_force: ConfigurationDraft
) -> Iterator[Observation]:
    """Yields each route in force that the draft does not have."""
    for part in _find_missing(in_force.list_routes(), draft.list_routes()):
        yield Observation(
            ConfigurationPart(part.kind, part.name), ConfigurationField.WHOLE, "is removed"
        )


@register_check("route-changed", FindingKind.DIFFERENCE, Severity.INFORMATION, _ADVICE)
def find_changed_routes(
    draft: ConfigurationDraft, in_force: ConfigurationDraft
) -> Iterator[Observation]:
    """Yields each field of a route that differs from the one in force."""
    return _find_changes(draft.list_routes(), in_force.list_routes(), _ROUTE_FIELDS)


@register_check("service-added", FindingKind.DIFFERENCE, Severity.INFORMATION, _ADVICE)
def find_added_services(
    draft: ConfigurationDraft, in_force: ConfigurationDraft
) -> Iterator[Observation]:
    """Yields each service that is not in force."""
    for part in _find_missing(draft.list_services(), in_force.list_services()):
        yield Observation(part, ConfigurationField.WHOLE, "is added")


@register_check("service-removed", FindingKind.DIFFERENCE, Severity.INFORMATION, _ADVICE)
def find_removed_services(
    draft: ConfigurationDraft, in_force: ConfigurationDraft
) -> Iterator[Observation]:
    """Yields each service in force that the draft does not have."""
    for part in _find_missing(in_force.list_services(), draft.list_services()):
        yield Observation(
            ConfigurationPart(part.kind, part.name), ConfigurationField.WHOLE, "is removed"
        )


@register_check("service-changed", FindingKind.DIFFERENCE, Severity.INFORMATION, _ADVICE)
def find_changed_services(
    draft: ConfigurationDraft, in_force: ConfigurationDraft
) -> Iterator[Observation]:
    """Yields each field of a service that differs from the one in force."""
    return _find_changes(draft.list_services(), in_force.list_services(), _SERVICE_FIELDS)


@register_check("limits-changed", FindingKind.DIFFERENCE, Severity.INFORMATION, _ADVICE)
def find_changed_limits(
    draft: ConfigurationDraft, in_force: ConfigurationDraft
) -> Iterator[Observation]:
    """Yields the idle time-out if it differs from the one in force."""
    before_ms = in_force.configuration.idle_timeout_ms
    after_ms = draft.configuration.idle_timeout_ms
    if before_ms != after_ms:
        yield Observation(
            ConfigurationPart(ObjectKind.LIMITS),
            ConfigurationField.IDLE_TIMEOUT,
            f"changes from {before_ms} ms to {after_ms} ms",
        )
