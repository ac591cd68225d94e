"""Summary of the demand and load that this instance itself sees."""

import collections

from catkinspread.admission.capacity import UpstreamCapacity
from catkinspread.admission.demand import DemandMeter
from catkinspread.admission.types import (
    DEMANDS_MAX,
    IN_FLIGHT_MAX,
    RoomSummary,
    ServiceInFlight,
)
from catkinspread.deployment import DeploymentState
from catkinspread.forwarding.load import LoadTracker


class OwnSummaryBuilder:
    """Builds the summary of this instance alone.

    Args:
        name: Name of this instance.
        data_centre: Data centre of this instance.
        state: State of the deployment.
        loads: Load of the upstreams.
        capacity: Tells which upstreams are usable.
        demands: Demand of the callers of this instance.
    """

    __slots__ = ("_capacity", "_data_centre", "_demands", "_loads", "_name", "_state")

    def __init__(
        self,
        name: str,
        data_centre: str,
        state: DeploymentState,
        loads: LoadTracker,
        capacity: UpstreamCapacity,
        demands: DemandMeter,
    ) -> None:
        self._name = name
        self._data_centre = data_centre
        self._state = state
        self._loads = loads
        self._capacity = capacity
        self._demands = demands

    def build(self, sequence: int, now_ms: int) -> RoomSummary:
        """Returns the summary with the given number."""
        return RoomSummary(
            self._name,
            sequence,
            self._data_centre,
            1,
            tuple(self._demands.list_demands(now_ms)[:DEMANDS_MAX]),
            self._list_in_flight(now_ms),
        )

    def _list_in_flight(self, now_ms: int) -> tuple[ServiceInFlight, ...]:
        """Returns the requests in flight to usable upstreams.

        Those of other upstreams are left out, because their work slots are not counted either: the
        requests to an upstream that has failed would otherwise look like load of the others.
        """
        counts: collections.Counter[tuple[str, str]] = collections.Counter()
        for name, in_flight in self._loads.list_in_flight().items():
            upstream = self._state.find_upstream(name)
            if upstream is not None and self._capacity.is_usable(upstream, now_ms):
                counts[upstream.record.service, upstream.record.data_centre] += in_flight
        return tuple(
            ServiceInFlight(service, data_centre, requests)
            for (service, data_centre), requests in counts.most_common(IN_FLIGHT_MAX)
        )
