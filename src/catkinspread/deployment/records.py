"""Values that describe a deployment: routes, services and upstreams.

They are what an instance learns from outside; nothing here depends on how it was learned.
"""

import enum

import msgspec

# Steps in which the flows of a route are divided among its services.
_SHARE_STEPS = 1 << 20


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


class ServiceShare(msgspec.Struct, frozen=True):
    """The part of the new flows of a route that goes to one service.

    Attributes:
        service: Name of the service.
        weight: Its part in proportion to those of the other services, more than 0.
    """

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Where new flows to one address go.

    Attributes:
        name: Name of the route.
        address: Address that the route answers for.
        shares: Services whose upstreams take the flows, at least one.
        kind: Whether its requests may be repeated.
        timeout_ms: Time after which callers give up.
        priority: 0 is the highest.
    """

    name: str
    address: ServiceAddress
    shares: tuple[ServiceShare, ...]
    kind: RequestKind
    timeout_ms: int
    priority: int

    def rank_services(self, flow_hash: int) -> list[str]:
        """Returns the services in the order in which a flow tries them.

        Every instance gets the same order for the same flow, so that copies of an opening packet
        go to the same service.

        Args:
            flow_hash: Number that is spread evenly over flows.
        """
        if len(self.shares) == 1:
            return [self.shares[0].service]
        position = flow_hash % _SHARE_STEPS / _SHARE_STEPS * sum(s.weight for s in self.shares)
        end = 0.0
        first = self.shares[-1]
        for share in self.shares:
            end += share.weight
            if position < end:
                first = share
                break
        others = (share.service for share in self.shares if share is not first)
        return [first.service, *others]


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
