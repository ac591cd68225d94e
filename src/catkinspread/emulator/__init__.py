"""Stand-ins for what surrounds the instances: upstreams, the fabric, callers and the platform."""

from catkinspread.emulator.callers import CallerLoad, CallerReport, run_callers
from catkinspread.emulator.fabric import Fabric, FabricFaults, run_fabric
from catkinspread.emulator.upstream import (
    UnknownFlowPacket,
    UpstreamModel,
    UpstreamOptions,
    run_upstream,
)

__all__ = [
    "CallerLoad",
    "CallerReport",
    "Fabric",
    "FabricFaults",
    "UnknownFlowPacket",
    "UpstreamModel",
    "UpstreamOptions",
    "run_callers",
    "run_fabric",
    "run_upstream",
]
