"""Interfaces through which the forwarding asks about the room of services."""

import enum
from typing import Protocol

import msgspec

from catkinspread.deployment import Route


class AdmissionVerdict(enum.Enum):
    """Whether a new flow is admitted."""

    ADMITTED = "admitted"
    # The share of the room that the route has is used up.
    NO_ROOM = "no_room"
    # The expected wait exceeds the time until the deadline of the request.
    TOO_LATE = "too_late"


class AdmissionInputs(msgspec.Struct, frozen=True):
    """What the latest decisions about the new flows of a route depended on.

    Attributes:
        service: Service that was checked for room.
        priority: Priority of the route; 0 is the highest.
        share: Share of the offered work of the route that is admitted, 0 to 1.
        occupancy: Requests in flight per work slot of the service.
    """

    service: str
    priority: int
    share: float
    occupancy: float


class AdmissionPolicy(Protocol):
    """Decides which new flows are admitted, and learns from the traffic."""

    def decide(self, route: Route, caller_ip: int, copy: int, now_ms: int) -> AdmissionVerdict:
        """Decides about a new flow and counts it as demand.

        Args:
            route: Route of the flow.
            caller_ip: IPv4 address of the caller as an integer.
            copy: How often the caller sent the opening packet before.
            now_ms: Current time.
        """

    def record_request(self, route: Route, is_first: bool, now_ms: int) -> None:
        """Counts a request that was forwarded.

        Args:
            route: Route of its flow.
            is_first: Whether it is the first request on its flow.
            now_ms: Current time.
        """

    def record_response(
        self, route: Route, processing_ms: int, occupied: float, work_slots: int
    ) -> None:
        """Learns from an answered request.

        Args:
            route: Route of its flow.
            processing_ms: Time from the request to the first acknowledged data of the answer, less
                the usual network latency.
            occupied: Requests in flight on its upstream when the request was forwarded, including
                itself.
            work_slots: Work slots of its upstream.
        """

    def describe(self, route: Route) -> AdmissionInputs:
        """Returns what decisions about a route depend on now, for the log."""


# Reading a member from its enumeration takes longer than a call on Python 3.11.
_ADMITTED = AdmissionVerdict.ADMITTED


class AdmitAll:
    """Admits every flow."""

    __slots__ = ()

    def decide(self, route: Route, caller_ip: int, copy: int, now_ms: int) -> AdmissionVerdict:
        """Returns ADMITTED."""
        return _ADMITTED

    def record_request(self, route: Route, is_first: bool, now_ms: int) -> None:
        """Does nothing."""

    def record_response(
        self, route: Route, processing_ms: int, occupied: float, work_slots: int
    ) -> None:
        """Does nothing."""

    def describe(self, route: Route) -> AdmissionInputs:
        """Returns inputs without a limit."""
        return AdmissionInputs(route.shares[0].service, route.priority, 1.0, 0.0)
