"""Summaries of other instances and their sum.

In a large data centre, an instance hears only from a few others within the lifetime of a summary.
There, some summaries are therefore partial sums over several instances, and the sum over the data
centre is an average of all summaries heard, weighted by the numbers of instances. A partial sum is
made of the summaries of single instances only, so that no figure is passed on repeatedly.

The sum over the local data centre is kept up to date with each summary, so that a merge does not
visit every summary again.
"""

import collections
import enum
import math
from collections.abc import Callable, Iterable

from catkinspread.admission.load_sum import LoadSum
from catkinspread.admission.types import (
    DEMANDS_MAX,
    IN_FLIGHT_MAX,
    RoomSummary,
    RouteDemand,
    ServiceInFlight,
)
from catkinspread.admission.work import WORK_MIN_MS
from catkinspread.deployment.bounds import AMOUNT_MAX

# Age at which a summary is no longer used.
SUMMARY_TIMEOUT_MS = 3_000
# Summaries are reordered by a few positions at most. A sequence number that is lower by more means
# that the instance has restarted.
SUMMARY_REORDER_MAX = 16
# Highest rate at which the sequence numbers of an instance increase: four times that of
# `runtime.room_reports`, so that a delay of the previous summary does not matter.
SEQUENCE_RATE_MAX_PER_S = 16
# Number of instances of a data centre up to which each one hears every summary of the others,
# because a summary has two recipients. There, an instance that is silent while another one is heard
# has ended. The directory goes on listing a killed instance for 20 s, in which the sum would count
# its load twice.
DIRECT_INSTANCES_MAX = 3
# Number of other instances in the data centre from which on partial sums are sent. With fewer, an
# instance hears from most others directly.
PARTIAL_SUMS_MIN = 16
# Age up to which a summary is part of a partial sum. It adds to the age of the partial sum itself.
PARTIAL_SUM_AGE_MAX_MS = 1_500
# Most instances in a partial sum. 12 summaries arrive within PARTIAL_SUM_AGE_MAX_MS on average
# under load.
PARTIAL_SUM_MAX = 32
# Bounds of what is kept. The target of docs/CAPACITY.md is 640 instances in 8 data centres.
INSTANCE_COUNT_MAX = 4_096
DATA_CENTRES_MAX = 64
# Time after which a data centre that is silent is forgotten.
DATA_CENTRE_TIMEOUT_MS = 600_000
# Time without a summary after which a data centre counts as silent, if it has as many instances as
# this one. Its summaries then arrive once in 1,000 ms on average and at random: 1 of 150 gaps is
# longer.
SILENCE_MS = 5_000
# Numbers in a summary are rounded to whole ones, which are encoded in fewer bytes, if that changes
# them by at most this part.
ROUNDING_MAX = 0.02
_MS_PER_S = 1_000


class SummaryResult(enum.Enum):
    """Whether a summary was applied, or why it was not."""

    APPLIED = "applied"
    # It is not newer than the last one of its sender.
    STALE = "stale"
    # Its sequence number is higher than the sender can have reached.
    FUTURE = "future"
    # It holds a value that cannot be true.
    IMPOSSIBLE = "impossible"


class _ReceivedSummary:
    """The latest summary of an instance or a data centre."""

    __slots__ = ("received_at_ms", "summary")

    def __init__(self, summary: RoomSummary, received_at_ms: int) -> None:
        self.summary = summary
        self.received_at_ms = received_at_ms

    def is_fresh(self, now_ms: int) -> bool:
        """Whether it is still used."""
        return now_ms - self.received_at_ms < SUMMARY_TIMEOUT_MS


class MergedLoad:
    """Demand and load of all instances, merged from their summaries.

    Attributes:
        demands_by_service: Demand by route, for each service.
        in_flight: Requests in flight by service and data centre of the upstreams.
        fresh_data_centres: Other data centres that a summary was heard from in time.
        age_ms: Age of the oldest summary that was used.
        is_estimate: Whether less than half of the known instances of the own data centre have been
            heard from, directly or in a partial sum.
    """

    __slots__ = ("age_ms", "demands_by_service", "fresh_data_centres", "in_flight", "is_estimate")

    def __init__(
        self,
        load_sum: LoadSum,
        fresh_data_centres: frozenset[str],
        age_ms: int,
        is_estimate: bool,
    ) -> None:
        self.demands_by_service: dict[str, list[RouteDemand]] = collections.defaultdict(list)
        for demand in load_sum.list_demands():
            self.demands_by_service[demand.service].append(demand)
        self.in_flight = load_sum.in_flight
        self.fresh_data_centres = fresh_data_centres
        self.age_ms = age_ms
        self.is_estimate = is_estimate


class SummaryTable:
    """Keeps the latest summaries of other instances and merges them.

    Args:
        name: Name of this instance.
        data_centre: Data centre of this instance.
        find_requests_max: Returns a bound of the requests in flight to a service in a data centre
            at a time; None if there is none.

    Attributes:
        counts: Number of summaries by result.
    """

    __slots__ = (
        "_by_data_centre",
        "_by_sender",
        "_data_centre",
        "_find_requests_max",
        "_local_count",
        "_local_sum",
        "_name",
        "counts",
    )

    def __init__(
        self,
        name: str,
        data_centre: str,
        find_requests_max: Callable[[str, str, int], float | None],
    ) -> None:
        self._name = name
        self._data_centre = data_centre
        self._find_requests_max = find_requests_max
        self._by_sender: dict[str, _ReceivedSummary] = {}
        # Latest aggregate of each other data centre, kept also when it is no longer used.
        self._by_data_centre: dict[str, _ReceivedSummary] = {}
        # Sum over the summaries of the local instances in `_by_sender`.
        self._local_sum = LoadSum()
        # Instances in that sum; one that is in several summaries counts several times.
        self._local_count = 0
        self.counts: collections.Counter[SummaryResult] = collections.Counter()

    def apply(self, summary: RoomSummary, now_ms: int) -> bool:
        """Replaces the summary of an instance.

        Returns:
            Whether it is used. It is not if it is stale, a duplicate, from the future, or tells
            something that is impossible.
        """
        self.expire(now_ms)
        result = self._classify(summary, now_ms)
        self.counts[result] += 1
        if result is not SummaryResult.APPLIED:
            return False
        self._remove(summary.sender)
        self._by_sender[summary.sender] = received = _ReceivedSummary(summary, now_ms)
        if summary.data_centre == self._data_centre:
            self._local_sum.add(summary)
            self._local_count += summary.instance_count
        else:
            self._by_data_centre[summary.data_centre] = received
        return True

    def expire(self, now_ms: int) -> None:
        """Forgets the instances whose last summary is too old."""
        # The order is that of arrival, because each summary is inserted anew.
        for sender, received in list(self._by_sender.items()):
            if received.is_fresh(now_ms):
                break
            self._remove(sender)
        for data_centre, received in list(self._by_data_centre.items()):
            if now_ms - received.received_at_ms >= DATA_CENTRE_TIMEOUT_MS:
                del self._by_data_centre[data_centre]

    def merge(self, own: RoomSummary, local_instance_count: int, now_ms: int) -> MergedLoad:
        """Returns the demand and load of all instances.

        Args:
            own: Summary of this instance.
            local_instance_count: Number of known instances of this data centre, including this one.
            now_ms: Current time.
        """
        self.expire(now_ms)
        heard_count = 1 + self._local_count
        load_sum = self._sum_local(own, local_instance_count)
        fresh = {
            data_centre: received
            for data_centre, received in self._by_data_centre.items()
            if received.is_fresh(now_ms)
        }
        used = [received.received_at_ms for received in fresh.values()]
        for received in fresh.values():
            load_sum.add(received.summary)
        local = [
            received.received_at_ms
            for received in self._by_sender.values()
            if received.summary.data_centre == self._data_centre
        ]
        oldest_at_ms = min([*used, *local], default=now_ms)
        return MergedLoad(
            load_sum,
            frozenset(fresh),
            max(0, now_ms - oldest_at_ms),
            2 * heard_count < local_instance_count,
        )

    def build_partial_sum(self, own: RoomSummary, now_ms: int) -> RoomSummary:
        """Returns the sum over this instance and those of its data centre heard from lately."""
        load_sum = LoadSum()
        load_sum.add(own)
        instance_count = 1
        for received in reversed(self._by_sender.values()):
            is_recent = now_ms - received.received_at_ms < PARTIAL_SUM_AGE_MAX_MS
            if not is_recent or instance_count == PARTIAL_SUM_MAX:
                break
            if (
                received.summary.data_centre == self._data_centre
                and received.summary.instance_count == 1
            ):
                load_sum.add(received.summary)
                instance_count += 1
        return self._summarise(load_sum, own, instance_count)

    def build_aggregate(
        self, own: RoomSummary, local_instance_count: int, now_ms: int
    ) -> RoomSummary:
        """Returns the sum over this data centre, for the instances of others.

        Args:
            own: Summary of this instance, whose sequence number the sum gets.
            local_instance_count: Number of known instances of this data centre, including this one.
            now_ms: Current time.
        """
        self.expire(now_ms)
        load_sum = self._sum_local(own, local_instance_count)
        return self._summarise(load_sum, own, min(INSTANCE_COUNT_MAX, local_instance_count))

    def _summarise(self, load_sum: LoadSum, own: RoomSummary, instance_count: int) -> RoomSummary:
        in_flight = sorted(load_sum.in_flight.items(), key=lambda item: item[1], reverse=True)
        return RoomSummary(
            own.sender,
            own.sequence,
            self._data_centre,
            instance_count,
            tuple(load_sum.list_demands()[:DEMANDS_MAX]),
            tuple(
                ServiceInFlight(service, data_centre, min(AMOUNT_MAX, requests))
                for (service, data_centre), requests in in_flight[:IN_FLIGHT_MAX]
            ),
        )

    def is_silent(self, data_centre: str, local_instance_count: int, now_ms: int) -> bool:
        """Whether a data centre sent aggregates before, but has sent none for some time.

        An instance of a large data centre hears less often from a small one, because each instance
        there sends to only one instance here.
        """
        received = self._by_data_centre.get(data_centre)
        if received is None:
            return False
        ratio = max(1.0, local_instance_count / received.summary.instance_count)
        return now_ms - received.received_at_ms >= SILENCE_MS * ratio

    def _sum_local(self, own: RoomSummary, local_instance_count: int) -> LoadSum:
        factor = local_instance_count / (1 + self._local_count)
        if self._local_count and local_instance_count <= DIRECT_INSTANCES_MAX:
            factor = min(1.0, factor)
        load_sum = LoadSum()
        load_sum.add_sum(self._local_sum, factor)
        load_sum.add(own, factor=factor)
        return load_sum

    def _remove(self, sender: str) -> None:
        received = self._by_sender.pop(sender, None)
        if received is not None and received.summary.data_centre == self._data_centre:
            self._local_sum.add(received.summary, -1)
            self._local_count -= received.summary.instance_count

    def _classify(self, summary: RoomSummary, now_ms: int) -> SummaryResult:
        if not self._is_possible(summary, now_ms):
            return SummaryResult.IMPOSSIBLE
        previous = self._by_sender.get(summary.sender)
        if previous is None:
            return SummaryResult.APPLIED
        advance = summary.sequence - previous.summary.sequence
        if -SUMMARY_REORDER_MAX < advance <= 0:
            return SummaryResult.STALE
        age_ms = now_ms - previous.received_at_ms
        advance_max = SUMMARY_REORDER_MAX + SEQUENCE_RATE_MAX_PER_S * age_ms / _MS_PER_S
        return SummaryResult.APPLIED if advance <= advance_max else SummaryResult.FUTURE

    def _is_possible(self, summary: RoomSummary, now_ms: int) -> bool:
        is_local = summary.data_centre == self._data_centre
        count_max = PARTIAL_SUM_MAX if is_local else INSTANCE_COUNT_MAX
        if summary.sender == self._name or not 1 <= summary.instance_count <= count_max:
            return False
        if len(self._by_sender) >= INSTANCE_COUNT_MAX and summary.sender not in self._by_sender:
            return False
        is_new_data_centre = not is_local and summary.data_centre not in self._by_data_centre
        if is_new_data_centre and len(self._by_data_centre) >= DATA_CENTRES_MAX:
            return False
        return (
            len(summary.demands) <= DEMANDS_MAX
            and len(summary.in_flight) <= IN_FLIGHT_MAX
            and _are_distinct((demand.route, demand.service) for demand in summary.demands)
            and _are_distinct((entry.service, entry.data_centre) for entry in summary.in_flight)
            and all(_is_demand_possible(demand) for demand in summary.demands)
            and all(self._is_in_flight_possible(entry, now_ms) for entry in summary.in_flight)
        )

    def _is_in_flight_possible(self, entry: ServiceInFlight, now_ms: int) -> bool:
        if not _is_amount(entry.requests):
            return False
        requests_max = self._find_requests_max(entry.service, entry.data_centre, now_ms)
        return requests_max is None or entry.requests <= requests_max


def shorten_numbers(summary: RoomSummary) -> RoomSummary:
    """Returns a summary with each number rounded that this changes by at most ROUNDING_MAX."""
    return RoomSummary(
        summary.sender,
        summary.sequence,
        summary.data_centre,
        summary.instance_count,
        tuple(
            RouteDemand(
                demand.route,
                demand.service,
                demand.priority,
                _shorten(demand.work_ms),
                _shorten(demand.offered_work_ms_per_s),
                _shorten(demand.committed_work_ms_per_s),
            )
            for demand in summary.demands
        ),
        tuple(
            ServiceInFlight(entry.service, entry.data_centre, _shorten(entry.requests))
            for entry in summary.in_flight
        ),
        summary.limited_services,
    )


def _shorten(number: float) -> float:
    rounded = round(number)
    return rounded if abs(rounded - number) <= ROUNDING_MAX * number else number


def _is_amount(number: float) -> bool:
    return math.isfinite(number) and 0 <= number <= AMOUNT_MAX


def _is_demand_possible(demand: RouteDemand) -> bool:
    return (
        demand.work_ms >= WORK_MIN_MS
        and _is_amount(demand.work_ms)
        and _is_amount(demand.offered_work_ms_per_s)
        and _is_amount(demand.committed_work_ms_per_s)
    )


def _are_distinct(keys: Iterable[tuple[str, str]]) -> bool:
    listed = list(keys)
    return len(set(listed)) == len(listed)
