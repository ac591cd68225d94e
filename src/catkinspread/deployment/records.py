"""Data types that describe a deployment: routes, services and upstreams.

They are independent of the source that they are read from.
"""

import enum

import msgspec

from catkinspread.deployment.bounds import (
    Amount,
    Count,
    HostAddress,
    Ip,
    Name,
    Port,
    Rate,
    Unsigned64,
)

# Number of buckets into which flow hashes are reduced before the weights are applied.
_HASH_BUCKETS = 1 << 20
# Time that a cold start takes where the configuration does not tell.
COLD_START_DEFAULT_MS = 2_000


class StateKind(enum.Enum):
    """A collection of records that is listed and watched separately from the others."""

    CONFIGURATION = "configuration"
    UPSTREAMS = "upstreams"
    EVACUATIONS = "evacuations"


class RequestKind(enum.Enum):
    """Whether the requests of a route may be executed more than once.

    Attributes:
        IDEMPOTENT: They may be executed more than once.
        NON_IDEMPOTENT: They must be executed at most once.
        DOWNLOAD: They request a download and may be executed more than once.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    DOWNLOAD = "download"


class ServiceAddress(msgspec.Struct, frozen=True):
    """The address that the callers of a route open flows to.

    Attributes:
        ip: IPv4 address as an integer.
        port: Port number.
    """

    ip: Ip
    port: Port


class ServiceShare(msgspec.Struct, frozen=True):
    """The share of a route's new flows that goes to one service.

    Attributes:
        service: Name of the service.
        weight: Weight relative to the other services of the route; greater than 0.
    """

    service: Name
    weight: Rate


class Route(msgspec.Struct, frozen=True):
    """Where new flows to one address go.

    Attributes:
        name: Name of the route.
        address: Service address of the route.
        shares: Services whose upstreams receive the flows; at least one.
        kind: Kind of its requests.
        timeout_ms: Time after which callers stop waiting for the answer to a request.
        priority: Priority of the route; 0 is the highest.
        objective_ms: Time within which callers want the answer to a request; 0 if the route has no
            such objective.
    """

    name: Name
    address: ServiceAddress
    shares: tuple[ServiceShare, ...]
    kind: RequestKind
    timeout_ms: Amount
    priority: Amount
    objective_ms: Amount = 0

    def rank_services(self, flow_hash: int) -> list[str]:
        """Returns the services in order of preference for a flow.

        The hash selects the first service, with a probability proportional to its weight. The
        others follow in the order of the route. The result depends only on the route and the
        hash, so all instances send an opening packet and its retransmissions to the same service.

        Args:
            flow_hash: 64-bit hash of the flow, uniformly distributed.
        """
        if len(self.shares) == 1:
            return [self.shares[0].service]
        position = flow_hash % _HASH_BUCKETS / _HASH_BUCKETS * sum(s.weight for s in self.shares)
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
    """Capacity limits of the upstreams of a service.

    Attributes:
        name: Name of the service.
        cold_rate_per_s: Maximum rate of new flows to one upstream in cold start, in flows/s,
            summed over all instances.
        connections_max: Maximum number of open connections, elsewhere called flows, on one
            upstream.
        cold_start_ms: Time for which an upstream is in cold start after its process has started.
    """

    name: Name
    cold_rate_per_s: Rate
    connections_max: Amount
    cold_start_ms: Amount = COLD_START_DEFAULT_MS


class RoutingConfiguration(msgspec.Struct, frozen=True, tag="configuration"):
    """One version of the routes and services.

    Attributes:
        version: Version number; each change increases it.
        routes: All routes.
        services: Limits of all services.
        idle_timeout_ms: Time without packets after which a flow may be discarded.
    """

    version: Count
    routes: tuple[Route, ...]
    services: tuple[ServiceLimits, ...]
    idle_timeout_ms: Amount

    def is_newer_than(self, other: "RoutingConfiguration | None") -> bool:
        """Whether this version replaces another one; any version replaces None."""
        return other is None or self.version > other.version


class UpstreamRecord(msgspec.Struct, frozen=True, tag="upstream"):
    """The state of an upstream, as it writes it to the source.

    Attributes:
        name: Unique name of the upstream.
        key: Number that packets to the upstream carry, so that a different process at a reused
            address ignores them; 0 to 2**64 - 1.
        service: Name of the service that it serves.
        data_centre: Data centre that it runs in.
        host: IPv4 address that receives its packets, in dotted-decimal notation.
        port: Port that receives its packets.
        work_slots: Number of requests that it executes concurrently.
        is_draining: Whether it is shutting down and accepts no new flows.
        cold_remaining_ms: Remaining time of its cold start when the record was written.
        born_ms: Start time of its process, in ms since the epoch.
        report_number: Number of this report; increases with each report of a process.
    """

    name: Name
    key: Unsigned64
    service: Name
    data_centre: Name
    host: HostAddress
    port: Port
    work_slots: Amount
    is_draining: bool
    cold_remaining_ms: Amount
    born_ms: Count
    report_number: Count = 0

    def is_older_than(self, other: "UpstreamRecord") -> bool:
        """Whether the upstream wrote this record before another one of the same name.

        Clocks that were set back between two starts make the result wrong; `ReportOrder` decides
        what follows from it.
        """
        return (self.born_ms, self.report_number) < (other.born_ms, other.report_number)

    def contradicts(self, earlier: "UpstreamRecord") -> bool:
        """Whether the process of an earlier record of the same name cannot have written this one.

        A process keeps its service and its address, and counts its reports. A record of another
        start of the process contradicts nothing.
        """
        if self.born_ms != earlier.born_ms or self.report_number > earlier.report_number:
            return False
        return (self.service, self.data_centre, self.host, self.port, self.key) != (
            earlier.service,
            earlier.data_centre,
            earlier.host,
            earlier.port,
            earlier.key,
        )
