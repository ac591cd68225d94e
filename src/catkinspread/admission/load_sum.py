"""Sum of the demand and load of several summaries.

A sum is kept in whole units, so that no rounding errors accumulate while summaries are added to it
and removed from it.
"""

import collections

from catkinspread.admission.demand import compute_demanded_work
from catkinspread.admission.types import RoomSummary, RouteDemand
from catkinspread.admission.work import WORK_MIN_MS
from catkinspread.deployment.bounds import AMOUNT_MAX

_UNITS_PER_ONE = 1_024
# Requests are summed as a number per this time, which keeps the rounding error of low rates small.
_REQUEST_RATE_PERIOD_S = 1_000


class _DemandSum:
    """Sum of demands of one route to one service, in units of 1 / _UNITS_PER_ONE."""

    __slots__ = ("committed", "count", "offered", "priority", "requests")

    def __init__(self) -> None:
        self.count = 0
        self.offered = 0
        self.committed = 0
        # In requests per _REQUEST_RATE_PERIOD_S. With the sums of work it gives the mean work.
        self.requests = 0
        self.priority = 0

    def add(self, demand: RouteDemand, sign: int, factor: float) -> None:
        """Adds a demand, multiplied by a factor; subtracts it if the sign is -1."""
        requests = _REQUEST_RATE_PERIOD_S * compute_demanded_work(demand) / demand.work_ms
        self.count += sign
        self.offered += sign * _to_units(demand.offered_work_ms_per_s * factor)
        self.committed += sign * _to_units(demand.committed_work_ms_per_s * factor)
        self.requests += sign * _to_units(requests * factor)
        if sign > 0:
            self.priority = demand.priority


class LoadSum:
    """Sum of demand and requests in flight over summaries.

    Attributes:
        in_flight: Requests in flight by service and data centre of the upstreams.
    """

    __slots__ = ("_demands", "_in_flight")

    def __init__(self) -> None:
        self._demands: dict[tuple[str, str], _DemandSum] = {}
        self._in_flight: dict[tuple[str, str], int] = collections.defaultdict(int)

    def add(self, summary: RoomSummary, sign: int = 1, factor: float = 1.0) -> None:
        """Adds a summary, multiplied by a factor; removes one that was added if the sign is -1."""
        for demand in summary.demands:
            key = (demand.route, demand.service)
            demand_sum = self._demands.get(key)
            if demand_sum is None:
                demand_sum = self._demands[key] = _DemandSum()
            demand_sum.add(demand, sign, factor)
            if not demand_sum.count:
                del self._demands[key]
        for entry in summary.in_flight:
            place = (entry.service, entry.data_centre)
            self._in_flight[place] += sign * _to_units(entry.requests * factor)
            if not self._in_flight[place]:
                del self._in_flight[place]

    def add_sum(self, other: "LoadSum", factor: float) -> None:
        """Adds another sum, multiplied by a factor."""
        for key, added in other._demands.items():
            demand_sum = self._demands.get(key)
            if demand_sum is None:
                demand_sum = self._demands[key] = _DemandSum()
            demand_sum.count += added.count
            demand_sum.offered += round(added.offered * factor)
            demand_sum.committed += round(added.committed * factor)
            demand_sum.requests += round(added.requests * factor)
            demand_sum.priority = added.priority
        for place, units in other._in_flight.items():
            self._in_flight[place] += round(units * factor)

    def list_demands(self) -> list[RouteDemand]:
        """Returns the demand by route and service, in order of decreasing work."""
        demands = []
        for (route, service), demand_sum in self._demands.items():
            work = demand_sum.offered + demand_sum.committed
            if work <= 0 or demand_sum.requests <= 0:
                continue
            demands.append(
                RouteDemand(
                    route,
                    service,
                    demand_sum.priority,
                    max(WORK_MIN_MS, _REQUEST_RATE_PERIOD_S * work / demand_sum.requests),
                    _from_units(demand_sum.offered),
                    _from_units(demand_sum.committed),
                )
            )
        demands.sort(key=compute_demanded_work, reverse=True)
        return demands

    @property
    def in_flight(self) -> dict[tuple[str, str], float]:
        """Requests in flight by service and data centre of the upstreams."""
        return {place: _from_units(units) for place, units in self._in_flight.items() if units > 0}


def _to_units(number: float) -> int:
    return round(number * _UNITS_PER_ONE)


def _from_units(units: int) -> float:
    return min(float(AMOUNT_MAX), units / _UNITS_PER_ONE)
