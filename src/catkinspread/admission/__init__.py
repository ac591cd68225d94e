"""Admission control: which new flows are admitted while their service has too little room.

See `docs/admission.md`. The names are exported lazily, because the settings of an instance are read
before the modules that take longest to import are loaded.
"""

from catkinspread.lazy import export_lazily

__all__ = [
    "DEMANDS_MAX",
    "IN_FLIGHT_MAX",
    "LIMITED_MAX",
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
    "has_many_recent_starts",
]

__getattr__ = export_lazily(
    __name__,
    {
        "AdmissionChange": "service_level",
        "AdmissionController": "controller",
        "AdmissionMode": "settings",
        "AdmissionSettings": "settings",
        "DEMANDS_MAX": "types",
        "DemandMeter": "demand",
        "IN_FLIGHT_MAX": "types",
        "LIMITED_MAX": "types",
        "OwnSummaryBuilder": "own_summary",
        "RoomEstimator": "room",
        "RoomSummary": "types",
        "RoomView": "types",
        "RouteDemand": "types",
        "ServiceInFlight": "types",
        "ServiceRoom": "types",
        "SummaryResult": "summaries",
        "SummaryTable": "summaries",
        "UpstreamCapacity": "capacity",
        "WorkEstimator": "work",
        "has_many_recent_starts": "settling",
    },
)
