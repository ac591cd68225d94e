"""Decodes the objects of the platform's store into records of the deployment.

Names of the store stay in this package. An object of another shape gives no record.
"""

import ipaddress
from typing import Annotated, Literal

import msgspec

from catkinspread.deployment import (
    COLD_START_DEFAULT_MS,
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
from catkinspread.deployment.bounds import AMOUNT_MAX, NAME_MAX, PORT_MAX, Amount, Count, Name, Rate

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
_KEY_MAX = 1 << 64


class ObjectShapeError(Exception):
    """An object does not have the shape that its kind has."""


# Routes, services or backends of one configuration.
_ITEMS_MAX = 100_000
# Addresses from here on are multicast, reserved or broadcast.
_FIRST_OCTET_END = 224
_ADDRESS_MAX = len("255.255.255.255:65535")
# Longest cold start that is assumed; the life of a flow.
_COLD_START_MAX_MS = 60_000
_MS_PER_S = 1_000

_Text = Annotated[str, msgspec.Meta(max_length=NAME_MAX)]


class WireBackend(msgspec.Struct):
    """The entry of a service that shares the flows of a route."""

    service: Name
    weight: Rate = 1.0


class WireRoute(msgspec.Struct):
    """The entry of a route."""

    name: Name
    host: Annotated[str, msgspec.Meta(max_length=_ADDRESS_MAX)]
    path_prefix: _Text
    kind: _Text
    service: _Text = ""
    # Services that share the flows of the route, in place of `service`.
    backends: Annotated[list[WireBackend], msgspec.Meta(max_length=_ITEMS_MAX)] = []
    timeout_ms: Amount = 0
    priority: Amount = 0
    # Latency objective.
    aim_ms: Amount = 0


class WireService(msgspec.Struct):
    """The entry of a service."""

    name: Name
    max_flows: Amount = 0
    cold_per_s: Rate = 0.0
    # Time for which a target is cold after its start, in seconds.
    cold_s: Rate = COLD_START_DEFAULT_MS / _MS_PER_S


class WireLimits(msgspec.Struct):
    """The limits that hold for all routes."""

    idle_timeout_ms: Amount = 15_000


class WireConfiguration(msgspec.Struct):
    """The content of the configuration object."""

    version: Count
    routes: Annotated[list[WireRoute], msgspec.Meta(max_length=_ITEMS_MAX)]
    services: Annotated[list[WireService], msgspec.Meta(max_length=_ITEMS_MAX)]
    limits: WireLimits = msgspec.field(default_factory=WireLimits)


class _WireServer(msgspec.Struct):
    """The entry of a target; it always writes every field, so none has a default."""

    service: Name
    address: Annotated[str, msgspec.Meta(max_length=_ADDRESS_MAX)]
    zone: Name
    # Only its type is checked.
    version: _Text
    state: Literal["ready", "draining"]
    slots: Amount
    # Below 0 once the cold start has ended.
    cold_left_ms: Annotated[float, msgspec.Meta(ge=-AMOUNT_MAX, le=AMOUNT_MAX)]
    born: Count
    # Counts the reports of one process, not the changes of the object.
    seq: Count


decode_wire_configuration = msgspec.json.Decoder(WireConfiguration).decode
_decode_server = msgspec.json.Decoder(_WireServer).decode


def decode_record(kind: StateKind, name: str, spec: msgspec.Raw | bytes) -> StateRecord | None:
    """Returns the record of an object; None for an object that the kind does not use.

    Args:
        kind: Kind of the object.
        name: Name of the object.
        spec: Its content as JSON, not decoded.

    Raises:
        ObjectShapeError: If the content cannot be read, has another shape or exceeds a bound.
    """
    try:
        if kind is StateKind.EVACUATIONS:
            # The content of an evacuation has no meaning; the object alone requests it.
            return name
        if kind is StateKind.UPSTREAMS:
            return _decode_upstream(name, _decode_server(spec))
        if name != CONFIGURATION_NAME:
            return None
        return _decode_configuration(decode_wire_configuration(spec))
    except (msgspec.DecodeError, ValueError, OverflowError, RecursionError) as error:
        raise ObjectShapeError(f"{KIND_PATHS[kind]}/{name}: {error}") from error


def _decode_configuration(wire: WireConfiguration) -> RoutingConfiguration:
    return RoutingConfiguration(
        version=wire.version,
        routes=tuple(_decode_route(route) for route in wire.routes),
        services=tuple(
            ServiceLimits(
                service.name,
                service.cold_per_s,
                service.max_flows,
                _decode_cold_start_ms(service),
            )
            for service in wire.services
        ),
        idle_timeout_ms=wire.limits.idle_timeout_ms,
    )


def _decode_cold_start_ms(wire: WireService) -> int:
    return min(_COLD_START_MAX_MS, round(wire.cold_s * _MS_PER_S))


def _decode_route(wire: WireRoute) -> Route:
    return Route(
        name=wire.name,
        address=ServiceAddress(ip=decode_route_ip(wire), port=decode_route_port(wire)),
        shares=decode_shares(wire),
        kind=_REQUEST_KINDS.get(wire.kind, RequestKind.NON_IDEMPOTENT),
        timeout_ms=wire.timeout_ms,
        priority=wire.priority,
        objective_ms=wire.aim_ms,
    )


def decode_route_ip(wire: WireRoute) -> int:
    """Returns the IPv4 address of a route.

    Raises:
        ValueError: If the text is not an IPv4 address.
    """
    return int(ipaddress.IPv4Address(wire.host))


def decode_route_port(wire: WireRoute) -> int:
    """Returns the port of a route.

    Raises:
        ValueError: If the text is not a port.
    """
    return _decode_port(wire.path_prefix.strip("/"))


def decode_shares(wire: WireRoute) -> tuple[ServiceShare, ...]:
    """Returns the services that share the flows of a route.

    Raises:
        ValueError: If no backend has a weight above 0 and the route names no service.
    """
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
    host, port = _decode_address(wire.address)
    return UpstreamRecord(
        name=name,
        key=_decode_key(name),
        service=wire.service,
        data_centre=wire.zone,
        host=host,
        port=port,
        work_slots=max(1, wire.slots),
        is_draining=wire.state == _DRAINING,
        cold_remaining_ms=max(0, round(wire.cold_left_ms)),
        born_ms=wire.born,
        report_number=wire.seq,
    )


def _decode_key(name: str) -> int:
    """Returns the number that packets to an upstream carry.

    Raises:
        ValueError: If the name has no hexadecimal digits, or if they make 0: packets with 0 would be
            open to whichever process has the address.
    """
    key = int("".join(filter(_is_hex_digit, name)), 16) % _KEY_MAX
    if not key:
        raise ValueError(f"name {name!r} makes the number 0")
    return key


def _decode_address(address: str) -> tuple[str, int]:
    """Returns the host and port of an address that one process can have."""
    host, _, port = address.rpartition(":")
    ip = ipaddress.IPv4Address(host)
    if not 0 < ip.packed[0] < _FIRST_OCTET_END:
        raise ValueError(f"address {address!r} is not that of one host")
    return str(ip), _decode_port(port)


def _decode_port(text: str) -> int:
    if not (text.isascii() and text.isdecimal()):
        raise ValueError(f"port {text!r} is not a number")
    port = int(text)
    if not 1 <= port <= PORT_MAX:
        raise ValueError(f"port {port} is not between 1 and {PORT_MAX}")
    return port


def _is_hex_digit(char: str) -> bool:
    return char in "0123456789abcdefABCDEF"
