"""Figures about the upstreams of a service that are computed at intervals, not for each flow.

To compute them takes as long as to choose an upstream.
"""

import collections
import statistics
from collections.abc import Sequence

from catkinspread.deployment import KnownUpstream
from catkinspread.forwarding.admission_policy import OccupancyView
from catkinspread.forwarding.handshakes import HandshakeEstimator
from catkinspread.forwarding.load import (
    QUICK_ANSWER_FRACTION,
    RESPONSE_DEFAULT_MS,
    LoadTracker,
    UpstreamLoad,
)
from catkinspread.forwarding.spill_over import SpillOver

# Added to the expected response time of upstreams in other data centres before enough handshakes
# with them have ended. It exceeds the network latency because traffic between data centres costs
# money and can be interrupted.
REMOTE_PENALTY_MS = 25.0
# Added to the measured difference of the handshakes, for the same reason.
REMOTE_MARGIN_MS = 10.0
# A lower bound would place more flows in another data centre with little load, which fail if it is
# cut off.
REMOTE_PENALTY_MIN_MS = 25.0
REMOTE_PENALTY_MAX_MS = 200.0
# Fraction of the time between the opening packet and the answer that the upstream spends on the
# request; the rest is network latency.
PROCESSING_FRACTION = 0.7
# Interval between updates of the figures of a service. The averages that they are computed from
# change by a few per cent in this time.
UPDATE_INTERVAL_MS = 250

# An upstream and its load as observed by this instance.
Member = tuple[KnownUpstream, UpstreamLoad]


class RemoteEstimate:
    """What is assumed about the upstreams of a service in another data centre.

    Attributes:
        penalty_ms: Added to the expected response time.
        occupancy: Least number of requests in flight per work slot of each upstream.
        unqueued_min_ms: Least response time of a request that does not queue. Without it, an
            upstream without samples, or one that fails requests fast, would seem faster than the
            own ones of a slow service.
        takes_spill_over: Whether its load is known to be clearly below that of the own data centre.
    """

    __slots__ = ("occupancy", "penalty_ms", "takes_spill_over", "unqueued_min_ms")

    def __init__(
        self, penalty_ms: float, occupancy: float, unqueued_min_ms: float, takes_spill_over: bool
    ) -> None:
        self.penalty_ms = penalty_ms
        self.occupancy = occupancy
        self.unqueued_min_ms = unqueued_min_ms
        self.takes_spill_over = takes_spill_over


class ServiceEstimates:
    """Figures about the upstreams of one service.

    Args:
        service: Name of the service.
        data_centre: Data centre of this instance.
        loads: Load of the upstreams.
        handshakes: Handshake times of the data centres.
        occupancies: Load of the upstreams of other data centres.

    Attributes:
        spill_over: Share of the flows that may spill over.
        has_quick_answers: Whether any of the upstreams has quick answers.
    """

    __slots__ = (
        "_by_data_centre",
        "_data_centre",
        "_eligible",
        "_handshakes",
        "_loads",
        "_members",
        "_occupancies",
        "_own_unqueued_ms",
        "_placed_counts",
        "_remotes",
        "_service",
        "_updated_at_ms",
        "has_quick_answers",
        "spill_over",
    )

    def __init__(
        self,
        service: str,
        data_centre: str,
        loads: LoadTracker,
        handshakes: HandshakeEstimator,
        occupancies: OccupancyView,
    ) -> None:
        self._service = service
        self._data_centre = data_centre
        self._loads = loads
        self._handshakes = handshakes
        self._occupancies = occupancies
        self.spill_over = SpillOver(data_centre)
        self.has_quick_answers = False
        # The list that the members were looked up for. The state makes a new one for each change.
        self._eligible: list[KnownUpstream] | None = None
        self._members: list[Member] = []
        self._by_data_centre: dict[str, list[Member]] = {}
        self._placed_counts: collections.Counter[str] = collections.Counter()
        self._own_unqueued_ms = 0.0
        self._remotes: dict[str, RemoteEstimate] = {}
        self._updated_at_ms: int | None = None

    def list_members(self) -> list[Member]:
        """Returns the upstreams of the last call of `set_upstreams` with their loads."""
        return self._members

    def set_upstreams(self, eligible: list[KnownUpstream]) -> None:
        """Sets the upstreams of the service.

        Args:
            eligible: The upstreams. The list must not be changed later.
        """
        if eligible is self._eligible:
            return
        self._eligible = eligible
        self._members = [(upstream, self._loads.get(upstream.record.name)) for upstream in eligible]
        self._by_data_centre = {}
        for member in self._members:
            self._by_data_centre.setdefault(member[0].record.data_centre, []).append(member)

    def update(self, now_ms: int) -> None:
        """Computes the figures anew if the last update is at least UPDATE_INTERVAL_MS ago."""
        last_ms = self._updated_at_ms
        if last_ms is not None and now_ms - last_ms < UPDATE_INTERVAL_MS:
            return
        self._updated_at_ms = now_ms
        self.has_quick_answers = any(load.has_quick_answers for _, load in self._members)
        occupancies = self._find_occupancies(now_ms)
        self.spill_over.update(occupancies, now_ms)
        usual_ms, unqueued_ms = {}, {}
        for name, members in self._by_data_centre.items():
            usual_ms[name] = _compute_usual_ms(members, now_ms)
            # The measured times include queueing, which a request need not meet.
            queueing = max(1.0, PROCESSING_FRACTION * occupancies.get(name, 0.0))
            unqueued_ms[name] = usual_ms[name] / queueing
            self._set_answer_thresholds(name, members, usual_ms[name], unqueued_ms[name])
        self._own_unqueued_ms = unqueued_ms.get(self._data_centre, 0.0)
        remotes = [name for name in self._by_data_centre if name != self._data_centre]
        self._remotes = {}
        for name in remotes:
            self._remotes[name] = RemoteEstimate(
                self._compute_penalty_ms(name),
                occupancies.get(name, 0.0),
                max(self._own_unqueued_ms, usual_ms[name]),
                self.spill_over.may_take(name),
            )

    def record_placed(self, upstream: KnownUpstream, load: UpstreamLoad) -> None:
        """Counts a flow that was placed on an upstream."""
        data_centre = upstream.record.data_centre
        self._placed_counts[data_centre] += 1
        load.placed_number = self._placed_counts[data_centre]

    def is_within_fair_share(self, upstream: KnownUpstream, load: UpstreamLoad) -> bool:
        """Whether a flow may be placed on an upstream.

        One with quick answers gets a flow only after as many as there are other upstreams in its
        data centre.
        """
        if not load.has_quick_answers:
            return True
        data_centre = upstream.record.data_centre
        others = len(self._by_data_centre[data_centre]) - 1
        return self._placed_counts[data_centre] - load.placed_number >= others

    def get_remote(self, data_centre: str) -> RemoteEstimate:
        """Returns what is assumed about the upstreams of another data centre."""
        remote = self._remotes.get(data_centre)
        if remote is None:
            # Its upstreams became usable after the last update.
            penalty_ms = self._compute_penalty_ms(data_centre)
            remote = self._remotes[data_centre] = RemoteEstimate(
                penalty_ms, 0.0, self._own_unqueued_ms, takes_spill_over=False
            )
        return remote

    def _find_occupancies(self, now_ms: int) -> dict[str, float]:
        """Returns the load of the data centres in requests in flight per work slot.

        The view knows more about the own data centre than the reports of its instances, which may
        reach this one in part only. Of other data centres, those that the view knows are included.
        """
        seen = {
            name: self._occupancies.find_occupancy(self._service, name, now_ms)
            for name in self._by_data_centre
        }
        occupancies = {name: value for name, value in seen.items() if value is not None}
        if self._data_centre in seen and self._data_centre not in occupancies:
            own = self._by_data_centre[self._data_centre]
            slots = sum(upstream.record.work_slots for upstream, _ in own)
            requests = sum(load.in_flight + load.peer_in_flight for _, load in own)
            occupancies[self._data_centre] = requests / slots if slots else 0.0
        return occupancies

    def _compute_penalty_ms(self, data_centre: str) -> float:
        own_ms = self._handshakes.find_average_ms(self._data_centre)
        other_ms = self._handshakes.find_average_ms(data_centre)
        if own_ms is None or other_ms is None:
            return REMOTE_PENALTY_MS
        penalty_ms = other_ms - own_ms + REMOTE_MARGIN_MS
        return min(REMOTE_PENALTY_MAX_MS, max(REMOTE_PENALTY_MIN_MS, penalty_ms))

    def _set_answer_thresholds(
        self, data_centre: str, members: Sequence[Member], usual_ms: float, unqueued_ms: float
    ) -> None:
        """Sets which answers of the upstreams of a data centre are usual and which are quick."""
        round_trip_ms = min(unqueued_ms, self._handshakes.find_average_ms(data_centre) or 0.0)
        quick_below_ms = round_trip_ms + QUICK_ANSWER_FRACTION * (unqueued_ms - round_trip_ms)
        for _, load in members:
            load.usual_response_ms = usual_ms
            load.quick_below_ms = quick_below_ms


def _compute_usual_ms(members: Sequence[Member], now_ms: int) -> float:
    """Returns the usual response time of the upstreams of a data centre.

    It is the median of the typical ones of those that respond, so upstreams that fail requests
    change it little while they are the minority.
    """
    typical_ms = [
        load.typical_response_ms
        for _, load in members
        if load.typical_response_ms is not None and not load.is_in_backoff(now_ms)
    ]
    return statistics.median(typical_ms) if typical_ms else RESPONSE_DEFAULT_MS
