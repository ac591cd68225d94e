"""A randomized soak of real instances with faults from outside.

Each run starts instances as separate processes on loopback, between stand-ins for the platform, and
injects faults by signals, through a proxy in front of the store and in the stand-ins. The guarantees
are checked from what callers and upstreams see. A run is repeated with its seed.
"""

from catkinspread.soak.faults import list_faults
from catkinspread.soak.guarantees import Violation
from catkinspread.soak.regressions import REGRESSIONS, Regression
from catkinspread.soak.runner import SoakReport, SoakSettings, run_soak

__all__ = [
    "REGRESSIONS",
    "Regression",
    "SoakReport",
    "SoakSettings",
    "Violation",
    "list_faults",
    "run_soak",
]
