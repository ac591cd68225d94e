"""Values that describe a deployment: routes, services and upstreams.

They are what an instance learns from outside; nothing here depends on how it was learned.
"""

import enum

import msgspec


class StateKind(enum.Enum):
    """A collection of records that changes as a whole unit of reading."""

    CONFIGURATION = "configuration"
    UPSTREAMS = "upstreams"
    EVACUATIONS = "evacuations"


class RequestKind(enum.Enum):
    """Whether requests of a route may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    DOWNLOAD = "download"


class ServiceAddress(msgspec.Struct, frozen=True):
    """The address that callers of a route open flows to.

    Attributes:
        ip: IPv4 number as an integer.
        port: Port number.
    """

    ip: int
    port: int


class Route(msgspec.Struct, frozen=True):
    """Where new flows to one address go.

    Attributes:
        name: Name of the route.
        address: Address that the route answers for.
        service: Service whose upstreams take the flows.
        kind: Whether its requests may be repeated.
        timeout_ms: Time after which callers give up.
        priority: 0 is the highest.
    """

    name: str
    address: ServiceAddress
    service: str
    kind: RequestKind
    timeout_ms: int
    priority: int


class ServiceLimits(msgspec.Struct, frozen=True):
    """What the upstreams of a service bear.

    Attributes:
        name: Name of the service.
        cold_rate_per_s: New flows a second that one cold upstream bears.
        connections_max: Flows that one upstream holds.
    """

    name: str
    cold_rate_per_s: float
    connections_max: int


class RoutingConfiguration(msgspec.Struct, frozen=True, tag="configuration"):
    """One version of the routes and services.

    Attributes:
        version: Grows with each change.
        routes: All routes.
        services: All services.
        idle_timeout_ms: Flows that are idle for longer may be discarded.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceLimits, ...]
    idle_timeout_ms: int


class UpstreamRecord(msgspec.Struct, frozen=True, tag="upstream"):
    """What an upstream reports of itself.

    Attributes:
        name: Unique name of the upstream.
        key: Number that packets to the upstream carry, so that another process at a reused
            address ignores them; 0 to 2**64 - 1.
        service: Service that it serves.
        data_centre: Where it runs.
        host: Address that takes its packets.
        port: Port that takes its packets.
        work_slots: Requests that it executes at once.
        is_draining: Whether it leaves and wants no new flows.
        cold_remaining_ms: How much longer it is cold, at the time of the report.
        born_ms: Start of its process in ms since the epoch.
    """

    name: str
    key: int
    service: str
    data_centre: str
    host: str
    port: int
    work_slots: int
    is_draining: bool
    cold_remaining_ms: int
    born_ms: int
