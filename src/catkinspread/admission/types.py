"""Data types that the parts of admission control exchange."""

from typing import Annotated, Protocol

import msgspec

from catkinspread.deployment.bounds import Amount, Count, Name, Rate

# Demands and counts of requests in one summary; bounds the size of a message.
DEMANDS_MAX = 64
IN_FLIGHT_MAX = 256
LIMITED_MAX = 64


class RouteDemand(msgspec.Struct, frozen=True, array_like=True):
    """Work that the callers of a route ask for.

    Attributes:
        route: Name of the route.
        service: Name of the service that its flows go to.
        priority: Priority of the route; 0 is the highest.
        work_ms: Work of one request, in milliseconds of a work slot.
        offered_work_ms_per_s: Work of first requests, also of refused ones, in milliseconds of a
            work slot per second. Admission control can refuse it.
        committed_work_ms_per_s: Work of further requests on open flows, in the same unit.
    """

    route: Name
    service: Name
    priority: Amount
    work_ms: Rate
    offered_work_ms_per_s: Rate
    committed_work_ms_per_s: Rate


class ServiceInFlight(msgspec.Struct, frozen=True, array_like=True):
    """Requests that the upstreams of a service in one data centre have not answered yet.

    Attributes:
        service: Name of the service.
        data_centre: Data centre of the upstreams.
        requests: Number of requests.
    """

    service: Name
    data_centre: Name
    requests: Rate


class RoomSummary(msgspec.Struct, frozen=True, array_like=True, tag="room"):
    """Demand and load as one instance sees them, or their sum over several instances.

    Attributes:
        sender: Name of the instance that sent it.
        sequence: Number of the summary; increases with each summary of a process.
        data_centre: Data centre of the instances that it covers.
        instance_count: Number of instances that it covers; 1 if it is only the sender.
        demands: Demand by route; those with the most work if there are more than DEMANDS_MAX.
        in_flight: Requests in flight by service and data centre of the upstreams.
        limited_services: Services whose new flows the sender may refuse, at most LIMITED_MAX.
    """

    sender: Name
    sequence: Count
    data_centre: Name
    instance_count: Amount
    demands: Annotated[tuple[RouteDemand, ...], msgspec.Meta(max_length=DEMANDS_MAX)]
    in_flight: Annotated[tuple[ServiceInFlight, ...], msgspec.Meta(max_length=IN_FLIGHT_MAX)]
    limited_services: Annotated[tuple[Name, ...], msgspec.Meta(max_length=LIMITED_MAX)] = ()


class ServiceRoom(msgspec.Struct, frozen=True):
    """Room and load of a service over the data centres that can be reached.

    Attributes:
        service: Name of the service.
        slots: Work slots of the usable upstreams.
        in_flight: Requests that these upstreams have not answered yet.
        demands: Demand by route, over all instances.
        age_ms: Age of the oldest summary that the figures depend on.
        is_estimate: Whether less than half of the known instances of the own data centre have been
            heard from.
        is_settling: Whether many instances have just started, or upstreams of another data centre
            have just been lost. Callers then return all at once for a short time.
    """

    service: str
    slots: float
    in_flight: float
    demands: tuple[RouteDemand, ...]
    age_ms: int
    is_estimate: bool
    is_settling: bool = False

    @property
    def occupancy(self) -> float:
        """Requests in flight per work slot; infinite if there are requests but no slots."""
        if self.slots > 0:
            return self.in_flight / self.slots
        return float("inf") if self.in_flight else 0.0


class RoomView(Protocol):
    """Interface that tells the room of services; `RoomEstimator` implements it."""

    def estimate(self, service: str, now_ms: int) -> ServiceRoom:
        """Returns the room and load of a service."""
