"""Checks for differences from the configuration in force."""

import ipaddress
from collections.abc import Callable, Iterator

import msgspec

from catkinspread.configuration_check.comparison import ConfigurationComparison, PairedEntries
from catkinspread.configuration_check.draft import RouteEntry
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

_ADVICE = "Nothing, if the change is intended."


class _ComparedField(msgspec.Struct, frozen=True):
    """A field that is compared.

    Attributes:
        field: The field.
        get_value: Returns its value in an entry.
        format_value: Returns a value as findings show it.
    """

    field: ConfigurationField
    get_value: Callable[..., object]
    format_value: Callable[..., str]


def _format_duration(duration_ms: int) -> str:
    return f"{duration_ms} ms"


def _format_number(value: float) -> str:
    return str(int(value)) if value.is_integer() else repr(value)


def _format_rate(rate_per_s: float) -> str:
    return f"{_format_number(rate_per_s)} per s"


def _format_ip(ip: int) -> str:
    return str(ipaddress.IPv4Address(ip))


def _format_service(service: str) -> str:
    return repr(service) if service else "none"


def _format_backends(backends: tuple[ServiceShare, ...]) -> str:
    listed = (f"{share.service!r} {_format_number(share.weight)}" for share in backends)
    return ", ".join(listed) or "none"


_ROUTE_FIELDS = (
    _ComparedField(ConfigurationField.IP, lambda entry: entry.route.address.ip, _format_ip),
    _ComparedField(ConfigurationField.PORT, lambda entry: entry.route.address.port, str),
    _ComparedField(ConfigurationField.REQUEST_KIND, lambda entry: entry.request_kind, repr),
    _ComparedField(ConfigurationField.SERVICE, lambda entry: entry.service, _format_service),
    _ComparedField(ConfigurationField.BACKENDS, lambda entry: entry.backends, _format_backends),
    _ComparedField(
        ConfigurationField.TIMEOUT, lambda entry: entry.route.timeout_ms, _format_duration
    ),
    _ComparedField(
        ConfigurationField.OBJECTIVE, lambda entry: entry.route.objective_ms, _format_duration
    ),
    _ComparedField(ConfigurationField.PRIORITY, lambda entry: entry.route.priority, str),
)
_SERVICE_FIELDS = (
    _ComparedField(
        ConfigurationField.COLD_RATE, lambda limits: limits.cold_rate_per_s, _format_rate
    ),
    _ComparedField(
        ConfigurationField.COLD_TIME, lambda limits: limits.cold_start_ms, _format_duration
    ),
    _ComparedField(ConfigurationField.CONNECTIONS_MAX, lambda limits: limits.connections_max, str),
)


def _find_changed_fields(
    pairs: PairedEntries[RouteEntry] | PairedEntries[ServiceLimits],
    fields: tuple[_ComparedField, ...],
) -> Iterator[Observation]:
    for part, entry_in_force, entry in pairs.changed:
        for compared in fields:
            before = compared.get_value(entry_in_force)
            after = compared.get_value(entry)
            if before != after:
                change = f"from {compared.format_value(before)} to {compared.format_value(after)}"
                yield Observation(part, compared.field, f"changes {change}")


def _find_added(parts: list[ConfigurationPart]) -> Iterator[Observation]:
    for part in parts:
        yield Observation(part, ConfigurationField.WHOLE, "is added")


def _find_removed(parts: list[ConfigurationPart]) -> Iterator[Observation]:
    for part in parts:
        # The position is one in another file than that of the other findings.
        yield Observation(
            ConfigurationPart(part.kind, part.name), ConfigurationField.WHOLE, "is removed"
        )


@register_check(
    "version-not-higher",
    FindingKind.DIFFERENCE,
    Severity.ERROR,
    "Set a version above the one in force.",
)
def find_old_version(comparison: ConfigurationComparison) -> Iterator[Observation]:
    """Yields the version if instances would ignore it."""
    configuration = comparison.draft.configuration
    in_force = comparison.in_force.configuration
    if not configuration.is_newer_than(in_force):
        yield Observation(
            WHOLE_CONFIGURATION,
            ConfigurationField.VERSION,
            f"version {configuration.version} is not above the version in force, "
            f"{in_force.version}, so instances ignore the object",
        )


@register_check("route-added", FindingKind.DIFFERENCE, Severity.INFORMATION, _ADVICE)
def find_added_routes(comparison: ConfigurationComparison) -> Iterator[Observation]:
    """Yields each route that is not in force."""
    return _find_added(comparison.routes.added)


@register_check("route-removed", FindingKind.DIFFERENCE, Severity.INFORMATION, _ADVICE)
def find_removed_routes(comparison: ConfigurationComparison) -> Iterator[Observation]:
    """Yields each route in force that the draft does not have."""
    return _find_removed(comparison.routes.removed)


@register_check("route-changed", FindingKind.DIFFERENCE, Severity.INFORMATION, _ADVICE)
def find_changed_routes(comparison: ConfigurationComparison) -> Iterator[Observation]:
    """Yields each field of a route that differs from the one in force."""
    return _find_changed_fields(comparison.routes, _ROUTE_FIELDS)


@register_check("service-added", FindingKind.DIFFERENCE, Severity.INFORMATION, _ADVICE)
def find_added_services(comparison: ConfigurationComparison) -> Iterator[Observation]:
    """Yields each service that is not in force."""
    return _find_added(comparison.services.added)


@register_check("service-removed", FindingKind.DIFFERENCE, Severity.INFORMATION, _ADVICE)
def find_removed_services(comparison: ConfigurationComparison) -> Iterator[Observation]:
    """Yields each service in force that the draft does not have."""
    return _find_removed(comparison.services.removed)


@register_check("service-changed", FindingKind.DIFFERENCE, Severity.INFORMATION, _ADVICE)
def find_changed_services(comparison: ConfigurationComparison) -> Iterator[Observation]:
    """Yields each field of a service that differs from the one in force."""
    return _find_changed_fields(comparison.services, _SERVICE_FIELDS)


@register_check("limits-changed", FindingKind.DIFFERENCE, Severity.INFORMATION, _ADVICE)
def find_changed_limits(comparison: ConfigurationComparison) -> Iterator[Observation]:
    """Yields the idle time-out if it differs from the one in force."""
    before_ms = comparison.in_force.configuration.idle_timeout_ms
    after_ms = comparison.draft.configuration.idle_timeout_ms
    if before_ms != after_ms:
        yield Observation(
            ConfigurationPart(ObjectKind.LIMITS),
            ConfigurationField.IDLE_TIMEOUT,
            f"changes from {before_ms} ms to {after_ms} ms",
        )
