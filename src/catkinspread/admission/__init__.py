"""Admission control: which new flows are admitted while their service has too little room.

See `docs/admission.md`.
"""

from catkinspread.admission.capacity import UpstreamCapacity
from catkinspread.admission.controller import AdmissionController
from catkinspread.admission.demand import DemandMeter
from catkinspread.admission.own_summary import OwnSummaryBuilder
from catkinspread.admission.room import RoomEstimator
from catkinspread.admission.service_level import AdmissionChange
from catkinspread.admission.settings import AdmissionMode, AdmissionSettings
from catkinspread.admission.summaries import SummaryResult, SummaryTable
from catkinspread.admission.types import (
    DEMANDS_MAX,
    IN_FLIGHT_MAX,
    RoomSummary,
    RoomView,
    RouteDemand,
    ServiceInFlight,
    ServiceRoom,
)
from catkinspread.admission.work import WorkEstimator

__all__ = [
    "DEMANDS_MAX",
    "IN_FLIGHT_MAX",
    "AdmissionChange",
    "AdmissionController",
    "AdmissionMode",
    "AdmissionSettings",
    "DemandMeter",
    "OwnSummaryBuilder",
    "RoomEstimator",
    "RoomSummary",
    "RoomView",
    "RouteDemand",
    "ServiceInFlight",
    "ServiceRoom",
    "SummaryResult",
    "SummaryTable",
    "UpstreamCapacity",
    "WorkEstimator",
]
