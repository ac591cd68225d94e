"""Log line for a change of the admission level of a service."""

from collections.abc import Mapping

from catkinspread.admission import AdmissionChange
from catkinspread.eventlog import EventLog

# Bounds the size of a line; the routes with the smallest shares are listed.
SHARES_MAX = 32
_DIGITS = 3


def log_admission_change(
    events: EventLog, change: AdmissionChange, shares: Mapping[str, float], now_ms: int
) -> None:
    """Writes the change with its inputs.

    Args:
        events: Log that the line is written to.
        change: The change.
        shares: Admitted share by route of the service.
        now_ms: Current time.
    """
    smallest = sorted(shares.items(), key=lambda item: (item[1], item[0]))[:SHARES_MAX]
    events.write(
        "admission_changed",
        now_ms,
        service=change.service,
        is_limited=change.is_limited,
        admitted_share=round(change.admitted_share, _DIGITS),
        slots=round(change.slots, _DIGITS),
        in_flight=round(change.in_flight, _DIGITS),
        demand_ms_per_s={
            str(priority): round(work) for priority, work in change.demand_ms_per_s.items()
        },
        shares={route: round(share, _DIGITS) for route, share in smallest},
        trim=round(change.trim, _DIGITS),
        age_ms=change.age_ms,
        is_estimate=change.is_estimate,
    )
