"""Builders of drafts."""

import ipaddress

from catkinspread.configuration_check import (
    ConfigurationDraft,
    DraftReading,
    Observation,
    RouteEntry,
    check_configuration,
)
from catkinspread.deployment import (
    RequestKind,
    Route,
    RoutingConfiguration,
    ServiceAddress,
    ServiceLimits,
    ServiceShare,
)

IDLE_TIMEOUT_MS = 15_000
PAGES = ServiceLimits("pages", cold_rate_per_s=4.5, connections_max=2_000)
PLATES = ServiceLimits("plates", cold_rate_per_s=2.0, connections_max=500)


def build_entry(
    name: str = "r1",
    ip: str = "198.18.0.1",
    port: int = 8443,
    service: str = "pages",
    backends: tuple[ServiceShare, ...] = (),
    request_kind: str = "safe",
    timeout_ms: int = 2_000,
    objective_ms: int = 500,
    priority: int = 1,
) -> RouteEntry:
    """Returns a route without findings, except for the given values."""
    used = tuple(backend for backend in backends if backend.weight > 0)
    route = Route(
        name=name,
        address=ServiceAddress(int(ipaddress.IPv4Address(ip)), port),
        shares=used or (ServiceShare(service, 1.0),),
        kind=RequestKind.IDEMPOTENT,
        timeout_ms=timeout_ms,
        priority=priority,
        objective_ms=objective_ms,
    )
    return RouteEntry(route, request_kind, service, backends)


def build_draft(
    *entries: RouteEntry,
    services: tuple[ServiceLimits, ...] = (PAGES,),
    version: int = 7,
    idle_timeout_ms: int = IDLE_TIMEOUT_MS,
) -> ConfigurationDraft:
    """Returns a draft of the given routes; of one route without findings if none is given."""
    entries = entries or (build_entry(),)
    routes = tuple(entry.route for entry in entries)
    configuration = RoutingConfiguration(version, routes, services, idle_timeout_ms)
    return ConfigurationDraft(configuration, entries)


def observe(
    code: str, draft: ConfigurationDraft, in_force: ConfigurationDraft | None = None
) -> list[Observation]:
    """Returns what the check of a code observes in a run of all checks."""
    findings = check_configuration(DraftReading(draft), in_force)
    return [finding.observation for finding in findings if finding.code == code]
