"""Checks for limits that contradict each other."""

from collections import defaultdict
from collections.abc import Iterator

from catkinspread.configuration_check.draft import ConfigurationDraft
from catkinspread.configuration_check.findings import (
    ConfigurationField,
    ConfigurationPart,
    FindingKind,
    ObjectKind,
    Observation,
    Severity,
)
from catkinspread.configuration_check.registry import register_check


@register_check(
    "objective-above-timeout",
    FindingKind.CONTRADICTION,
    Severity.WARNING,
    "Lower the latency objective, or raise the time-out.",
)
def find_objectives_above_timeout(draft: ConfigurationDraft) -> Iterator[Observation]:
    """Yields each route whose callers stop waiting before its latency objective."""
    for part, entry in draft.routes:
        route = entry.route
        if route.objective_ms > route.timeout_ms:
            yield Observation(
                part,
                ConfigurationField.OBJECTIVE,
                f"the latency objective of {route.objective_ms} ms is above the time-out of the "
                f"route, {route.timeout_ms} ms",
            )


@register_check(
    "idle-timeout-below-timeout",
    FindingKind.CONTRADICTION,
    Severity.WARNING,
    "Raise the idle time-out to at least the longest time-out of a route, or lower the time-outs.",
)
def find_short_idle_timeout(draft: ConfigurationDraft) -> Iterator[Observation]:
    """Yields the idle time-out if flows may expire while a request waits for its answer.

    The idle time-out is one value for all routes, so one observation covers all of them.
    """
    idle_timeout_ms = draft.configuration.idle_timeout_ms
    longer = [
        (part, entry.route.timeout_ms)
        for part, entry in draft.routes
        if entry.route.timeout_ms > idle_timeout_ms
    ]
    if longer:
        part, timeout_ms = max(longer, key=lambda item: item[1])
        yield Observation(
            ConfigurationPart(ObjectKind.LIMITS),
            ConfigurationField.IDLE_TIMEOUT,
            f"the idle time-out of {idle_timeout_ms} ms is below the time-out of {len(longer)} "
            f"of {len(draft.routes)} routes, the longest {timeout_ms} ms of {part}; their flows "
            "may expire while a request waits for its answer",
        )


@register_check(
    "no-cold-start-flows",
    FindingKind.CONTRADICTION,
    Severity.INFORMATION,
    "Set a rate above 0, unless upstreams of the service must not get flows in cold start.",
)
def find_zero_cold_rates(draft: ConfigurationDraft) -> Iterator[Observation]:
    """Yields each service that allows connections, but none to upstreams in cold start."""
    for part, service in draft.services:
        if service.cold_rate_per_s == 0 and service.connections_max > 0:
            yield Observation(
                part,
                ConfigurationField.COLD_RATE,
                f"the rate of new flows in cold start is 0 per s although "
                f"{service.connections_max} connections are allowed; flows are refused while all "
                "upstreams are in cold start",
            )


@register_check(
    "no-connections",
    FindingKind.CONTRADICTION,
    Severity.WARNING,
    "Set the number of connections that an upstream of the service can hold.",
)
def find_services_without_connections(draft: ConfigurationDraft) -> Iterator[Observation]:
    """Yields each service whose upstreams may not hold connections."""
    for part, service in draft.services:
        if service.connections_max == 0:
            yield Observation(
                part,
                ConfigurationField.CONNECTIONS_MAX,
                "the maximum number of connections of an upstream is 0 or missing",
            )


@register_check(
    "admission-control",
    FindingKind.CONTRADICTION,
    Severity.INFORMATION,
    "Nothing, if this is intended. Otherwise give all routes of the service the same priority.",
)
def find_differing_priorities(draft: ConfigurationDraft) -> Iterator[Observation]:
    """Yields each service whose routes differ in priority."""
    priorities: defaultdict[str, set[int]] = defaultdict(set)
    for _, entry in draft.routes:
        for share in entry.route.shares:
            priorities[share.service].add(entry.route.priority)
    # Of the entries with one name, the last one is used.
    positions = {part.name: part.position for part, _ in draft.services}
    for service, found in priorities.items():
        if len(found) > 1:
            listed = ", ".join(str(priority) for priority in sorted(found))
            yield Observation(
                ConfigurationPart(ObjectKind.SERVICE, service, positions.get(service)),
                ConfigurationField.PRIORITY,
                f"its routes have the priorities {listed}, so instances refuse the lower ones first "
                "under overload, unless their settings have mode = off in [admission]",
            )
