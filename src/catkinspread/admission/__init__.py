"""Admission control: which new flows a service takes while it has too little room.

See `docs/admission.md`.
"""

from catkinspread.admission.types import (
    DEMANDS_MAX,
    IN_FLIGHT_MAX,
    RoomSummary,
    RoomView,
    RouteDemand,
    ServiceInFlight,
    ServiceRoom,
)

__all__ = [
    "DEMANDS_MAX",
    "IN_FLIGHT_MAX",
    "RoomSummary",
    "RoomView",
    "RouteDemand",
    "ServiceInFlight",
    "ServiceRoom",
]
