"""Checks for entries that have no effect."""

import ipaddress
from collections.abc import Iterator

from catkinspread.configuration_check.draft import ConfigurationDraft
from catkinspread.configuration_check.findings import (
    ConfigurationField,
    FindingKind,
    Observation,
    Severity,
)
from catkinspread.configuration_check.registry import register_check
from catkinspread.deployment import ServiceAddress


def _format_address(address: ServiceAddress) -> str:
    return f"{ipaddress.IPv4Address(address.ip)}:{address.port}"


def _find_effective_routes(draft: ConfigurationDraft) -> dict[ServiceAddress, int]:
    """Returns the position of the route that gets the flows of each address.

    Of the routes with one address, `DeploymentState.put_configuration` keeps the last one.
    """
    return {entry.route.address: position for position, (_, entry) in enumerate(draft.routes)}


@register_check(
    "shadowed-route",
    FindingKind.UNREACHABLE,
    Severity.WARNING,
    "Give one of the two routes another address, or remove the one that is not needed.",
)
def find_shadowed_routes(draft: ConfigurationDraft) -> Iterator[Observation]:
    """Yields each route whose address a later route has, too."""
    effective = _find_effective_routes(draft)
    for part, entry in draft.routes:
        address = entry.route.address
        winner = draft.routes[effective[address]][0]
        if winner.position != part.position:
            yield Observation(
                part,
                ConfigurationField.IP,
                f"never matches: {winner} has the same address {_format_address(address)} and "
                "gets its flows, because the last entry of an address is used",
            )


@register_check(
    "shadowed-service",
    FindingKind.UNREACHABLE,
    Severity.WARNING,
    "Remove one of the two entries.",
)
def find_shadowed_services(draft: ConfigurationDraft) -> Iterator[Observation]:
    """Yields each service entry whose name a later entry has, too."""
    services = draft.services
    # Of the entries with one name, `DeploymentState.put_configuration` keeps the last one.
    effective = {service.name: part for part, service in services}
    for part, service in services:
        winner = effective[service.name]
        if winner.position != part.position:
            yield Observation(
                part,
                ConfigurationField.NAME,
                f"its limits are not used: entry {winner.position} has the same name, and the "
                "last entry of a name is used",
            )


@register_check(
    "unused-service",
    FindingKind.UNREACHABLE,
    Severity.WARNING,
    "Add a route that sends flows to the service, or remove the service.",
)
def find_unused_services(draft: ConfigurationDraft) -> Iterator[Observation]:
    """Yields each service that gets no flows from any route in effect."""
    effective = _find_effective_routes(draft).values()
    used = {
        share.service for position in effective for share in draft.routes[position][1].route.shares
    }
    for part, service in draft.services:
        if service.name not in used:
            yield Observation(part, ConfigurationField.NAME, "no route sends flows to the service")


@register_check(
    "zero-weight",
    FindingKind.UNREACHABLE,
    Severity.WARNING,
    "Remove the backend, or give it a weight above 0.",
)
def find_zero_weights(draft: ConfigurationDraft) -> Iterator[Observation]:
    """Yields each backend that gets no flows because of its weight."""
    for part, entry in draft.routes:
        for index, backend in enumerate(entry.backends):
            if backend.weight == 0:
                yield Observation(
                    part,
                    ConfigurationField.WEIGHT,
                    f"backend {backend.service!r} (entry {index}) has the weight 0 and gets no "
                    "flows",
                )


@register_check(
    "ignored-service",
    FindingKind.UNREACHABLE,
    Severity.INFORMATION,
    "Remove the field to avoid misunderstandings.",
)
def find_ignored_services(draft: ConfigurationDraft) -> Iterator[Observation]:
    """Yields each route with a service that is not used because the route has backends."""
    for part, entry in draft.routes:
        if entry.service and any(backend.weight > 0 for backend in entry.backends):
            yield Observation(
                part,
                ConfigurationField.SERVICE,
                f"service {entry.service!r} is ignored, because the route has backends",
            )


@register_check(
    "unknown-service",
    FindingKind.UNREACHABLE,
    Severity.WARNING,
    "Add the service to the configuration, or correct its name in the route.",
)
def find_unknown_services(draft: ConfigurationDraft) -> Iterator[Observation]:
    """Yields each service of a route that the configuration does not have."""
    known = {service.name for service in draft.configuration.services}
    for part, entry in draft.routes:
        # Without a backend of weight above 0, the shares come from the other field.
        has_backends = any(backend.weight > 0 for backend in entry.backends)
        field = ConfigurationField.BACKENDS if has_backends else ConfigurationField.SERVICE
        # A service may be named by several backends of the route.
        for service in dict.fromkeys(share.service for share in entry.route.shares):
            if service not in known:
                yield Observation(
                    part,
                    field,
                    f"service {service!r} does not exist in the configuration; its upstreams, if "
                    "there are any, get no flows while in cold start",
                )
