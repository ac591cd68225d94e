"""Immutable data model of the configuration: services, upstreams, data centres and slot tables."""

from catkinspread.model.configuration import (
    SLOT_COUNT,
    Configuration,
    DataCentre,
    DataCentreState,
    Endpoint,
    InstanceIncarnation,
    OwnerGroup,
    Service,
    SlotBase,
    SlotTable,
    SlotTransition,
    Upstream,
    UpstreamState,
)

__all__ = [
    "SLOT_COUNT",
    "Configuration",
    "DataCentre",
    "DataCentreState",
    "Endpoint",
    "InstanceIncarnation",
    "OwnerGroup",
    "Service",
    "SlotBase",
    "SlotTable",
    "SlotTransition",
    "Upstream",
    "UpstreamState",
]
