"""Decodes the objects of the platform's store into records of the deployment.

Names of the store stay in this module. An object of another shape gives no record.
"""

import ipaddress

import msgspec

from catkinspread.deployment import (
    RequestKind,
    Route,
    RoutingConfiguration,
    ServiceAddress,
    ServiceLimits,
    ServiceShare,
    StateKind,
    StateRecord,
    UpstreamRecord,
)

KIND_PATHS = {
    StateKind.CONFIGURATION: "config",
    StateKind.UPSTREAMS: "servers",
    StateKind.EVACUATIONS: "evacuations",
}
CONFIGURATION_NAME = "main"
_REQUEST_KINDS = {
    "safe": RequestKind.IDEMPOTENT,
    "unsafe": RequestKind.NON_IDEMPOTENT,
    "download": RequestKind.DOWNLOAD,
}
_DRAINING = "draining"
_READY = "ready"
_KEY_MAX = 1 << 64


class ObjectShapeError(Exception):
    """An object does not have the shape that its kind has."""


class _WireBackend(msgspec.Struct):
    service: str
    weight: float = 1.0


class _WireRoute(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    service: str = ""
    # Services that share the flows of the route, in place of `service`.
    backends: list[_WireBackend] = []
    timeout_ms: int = 0
    priority: int = 0


class _WireService(msgspec.Struct):
    name: str
    max_flows: int = 0
    cold_per_s: float = 0.0


class _WireLimits(msgspec.Struct):
    idle_timeout_ms: int = 15_000


class _WireConfiguration(msgspec.Struct):
    version: int
    routes: list[_WireRoute]
    services: list[_WireService]
    limits: _WireLimits = msgspec.field(default_factory=_WireLimits)


class _WireServer(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    slots: int = 2
    cold_left_ms: float = 0
    born: int = 0
    # Counts the reports of one process, not the changes of the object.
    seq: int = 0


def decode_record(kind: StateKind, name: str, spec: object) -> StateRecord | None:
    """Returns the record of an object; None for an object that the kind does not use.

    Args:
        kind: Kind of the object.
        name: Name of the object.
        spec: Its content.

    Raises:
        ObjectShapeError: If the content has another shape.
    """
    try:
        if kind is StateKind.EVACUATIONS:
            return name
        if kind is StateKind.UPSTREAMS:
            return _decode_upstream(name, msgspec.convert(spec, _WireServer))
        if name != CONFIGURATION_NAME:
            return None
        return _decode_configuration(msgspec.convert(spec, _WireConfiguration))
    except (msgspec.ValidationError, ValueError) as error:
        raise ObjectShapeError(f"{KIND_PATHS[kind]}/{name}: {error}") from error


def _decode_configuration(wire: _WireConfiguration) -> RoutingConfiguration:
    return RoutingConfiguration(
        version=wire.version,
        routes=tuple(_decode_route(route) for route in wire.routes),
        services=tuple(
            ServiceLimits(service.name, service.cold_per_s, service.max_flows)
            for service in wire.services
        ),
        idle_timeout_ms=wire.limits.idle_timeout_ms,
    )


def _decode_route(wire: _WireRoute) -> Route:
    address = ServiceAddress(
        ip=int(ipaddress.IPv4Address(wire.host)), port=int(wire.path_prefix.strip("/"))
    )
    return Route(
        name=wire.name,
        address=address,
        shares=_decode_shares(wire),
        kind=_REQUEST_KINDS.get(wire.kind, RequestKind.NON_IDEMPOTENT),
        timeout_ms=wire.timeout_ms,
        priority=wire.priority,
    )


def _decode_shares(wire: _WireRoute) -> tuple[ServiceShare, ...]:
    shares = tuple(
        ServiceShare(backend.service, backend.weight)
        for backend in wire.backends
        if backend.weight > 0
    )
    if shares:
        return shares
    if not wire.service:
        raise ValueError(f"route {wire.name!r} names no service")
    return (ServiceShare(wire.service, 1.0),)


def _decode_upstream(name: str, wire: _WireServer) -> UpstreamRecord:
    if wire.state not in (_READY, _DRAINING):
        raise ValueError(f"state {wire.state!r} is not known")
    host, _, port = wire.address.rpartition(":")
    return UpstreamRecord(
        name=name,
        key=int("".join(filter(_is_hex_digit, name)), 16) % _KEY_MAX,
        service=wire.service,
        data_centre=wire.zone,
        host=str(ipaddress.IPv4Address(host)),
        port=int(port),
        work_slots=max(1, wire.slots),
        is_draining=wire.state == _DRAINING,
        cold_remaining_ms=max(0, round(wire.cold_left_ms)),
        born_ms=wire.born,
        report_number=wire.seq,
    )


def _is_hex_digit(char: str) -> bool:
    return char in "0123456789abcdefABCDEF"
