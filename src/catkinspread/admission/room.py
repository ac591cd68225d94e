"""Room of each service, from the state of the deployment and the summaries of all instances."""

from collections.abc import Callable, Iterable

from catkinspread.admission.capacity import UpstreamCapacity
from catkinspread.admission.demand import WORK_DEFAULT_MS, compute_demanded_work
from catkinspread.admission.own_summary import OwnSummaryBuilder
from catkinspread.admission.settling import SETTLING_MS
from catkinspread.admission.summaries import MergedLoad, SummaryTable
from catkinspread.admission.types import RouteDemand, ServiceRoom

# Time for which a merge of the summaries is used again, so that a packet costs a look-up only. It
# is shorter than the interval between summaries, which bounds how fast the sums can change.
MERGE_INTERVAL_MS = 100
# Sequence number of the own summary that is merged but not sent.
_UNSENT_SEQUENCE = 0


class RoomEstimator:
    """Estimates the room of services; implements `RoomView`.

    Args:
        data_centre: Data centre of this instance.
        capacity: Work slots of the upstreams.
        own_summary: Builds the summary of this instance.
        summaries: Summaries of the other instances.
        count_local_instances: Returns the number of known instances of this data centre, including
            this one.
        has_many_recent_starts: Returns whether this instance, or many of its data centre, started
            shortly before a time.
    """

    __slots__ = (
        "_capacity",
        "_count_local_instances",
        "_data_centre",
        "_has_many_recent_starts",
        "_is_settling",
        "_lost_since_ms",
        "_merged",
        "_merged_at_ms",
        "_own_summary",
        "_slots_by_service",
        "_summaries",
    )

    def __init__(
        self,
        data_centre: str,
        capacity: UpstreamCapacity,
        own_summary: OwnSummaryBuilder,
        summaries: SummaryTable,
        count_local_instances: Callable[[], int],
        has_many_recent_starts: Callable[[int], bool],
    ) -> None:
        self._data_centre = data_centre
        self._capacity = capacity
        self._own_summary = own_summary
        self._summaries = summaries
        self._count_local_instances = count_local_instances
        self._has_many_recent_starts = has_many_recent_starts
        self._is_settling = False
        # Since when no upstream is usable, by service and data centre.
        self._lost_since_ms: dict[tuple[str, str], int] = {}
        self._merged: MergedLoad | None = None
        self._merged_at_ms = 0
        # Work slots by data centre, of the services that were asked for since the last merge.
        self._slots_by_service: dict[str, dict[str, float]] = {}

    def estimate(self, service: str, now_ms: int) -> ServiceRoom:
        """Returns the room and load of a service over the data centres that can be reached."""
        merged = self._get_merged(now_ms)
        slots = self._get_slots(service, merged, now_ms)
        return ServiceRoom(
            service,
            sum(slots.values()),
            sum(merged.in_flight.get((service, data_centre), 0.0) for data_centre in slots),
            tuple(merged.demands_by_service.get(service, ())),
            merged.age_ms + now_ms - self._merged_at_ms,
            merged.is_estimate,
            self._is_settling or self._has_just_lost_data_centre(service, slots, merged, now_ms),
        )

    def list_slots(self, service: str, now_ms: int) -> dict[str, float]:
        """Returns the work slots of a service by data centre that can be reached."""
        return dict(self._get_slots(service, self._get_merged(now_ms), now_ms))

    def list_loaded_services(self, now_ms: int) -> list[str]:
        """Returns the services with requests in flight."""
        return list({service for service, _ in self._get_merged(now_ms).in_flight})

    def find_occupancy(self, service: str, data_centre: str, now_ms: int) -> float | None:
        """Returns the requests in flight per work slot of a service in one data centre.

        Returns None if it has no usable upstream there, or if no recent summary tells of it.
        """
        merged = self._get_merged(now_ms)
        if data_centre != self._data_centre and data_centre not in merged.fresh_data_centres:
            return None
        slots = self._get_slots(service, merged, now_ms).get(data_centre, 0.0)
        return merged.in_flight.get((service, data_centre), 0.0) / slots if slots > 0 else None

    def _get_merged(self, now_ms: int) -> MergedLoad:
        merged = self._merged
        if merged is None or now_ms - self._merged_at_ms >= MERGE_INTERVAL_MS:
            own = self._own_summary.build(_UNSENT_SEQUENCE, now_ms)
            merged = self._summaries.merge(own, self._count_local_instances(), now_ms)
            self._merged = merged
            self._merged_at_ms = now_ms
            self._is_settling = self._has_many_recent_starts(now_ms)
            self._slots_by_service.clear()
        return merged

    def _get_slots(self, service: str, merged: MergedLoad, now_ms: int) -> dict[str, float]:
        slots = self._slots_by_service.get(service)
        if slots is None:
            work_ms = compute_mean_work_ms(merged.demands_by_service.get(service, ()))
            capacities = self._capacity.count_slots(service, work_ms, now_ms)
            slots = {
                data_centre: capacity.slots
                for data_centre, capacity in capacities.items()
                if not capacity.has_unanswering or self._is_reachable(data_centre, now_ms)
            }
            self._slots_by_service[service] = slots
        return slots

    def _has_just_lost_data_centre(
        self, service: str, slots: dict[str, float], merged: MergedLoad, now_ms: int
    ) -> bool:
        """Whether all upstreams in a data centre became unusable while its summaries are used.

        Its callers may have been cut off with its upstreams, so that they ask for no room here.
        """
        has_just_lost = False
        for data_centre in merged.fresh_data_centres:
            key = (service, data_centre)
            if slots.get(data_centre, 1.0) > 0:
                self._lost_since_ms.pop(key, None)
            elif now_ms - self._lost_since_ms.setdefault(key, now_ms) < SETTLING_MS:
                has_just_lost = True
        return has_just_lost

    def _is_reachable(self, data_centre: str, now_ms: int) -> bool:
        """Whether a data centre in which an upstream does not answer can be reached."""
        return data_centre == self._data_centre or not self._summaries.is_silent(
            data_centre, self._count_local_instances(), now_ms
        )


def compute_mean_work_ms(demands: Iterable[RouteDemand]) -> float:
    """Returns the mean work of the requests of several routes; WORK_DEFAULT_MS without requests."""
    work = 0.0
    requests = 0.0
    for demand in demands:
        work += compute_demanded_work(demand)
        requests += compute_demanded_work(demand) / demand.work_ms
    return work / requests if requests > 0 else WORK_DEFAULT_MS
