"""Placement of new flows on the upstreams of one service, by several strategies.

All strategies see the same flows. Time runs in steps of 1 s, which is short against the mean
lifetime of a flow.
"""

import enum
import random
import statistics
from typing import Protocol

import msgspec

from catkinspread.hashing import hash_flow
from catkinspread.limits import RampRates
from catkinspread.model import SLOT_COUNT

FLOWS_PER_UPSTREAM = 2_000
FLOW_LIFETIME_MEAN_S = 20.0
DURATION_S = 90
SETTLED_S = 10
EVENT_S = 30
# The time after a return within which the cap is far below the share of the upstream.
COLD_WATCH_S = 3
COLD_RATES = RampRates(cold_rate_per_s=5.0, warm_rate_per_s=500.0, warmup_ms=30_000)
REPORT_LAG_S = 2
ADJUST_INTERVAL_S = 20
ADJUST_SLOTS_MAX = 8
OVERFLOW_FACTOR = 1.01
_HEAVY_EXPONENT = 1.5
_HEAVY_MAX = 50.0
_MS_PER_S = 1_000


class Scenario(enum.Enum):
    """What happens to the upstreams or the flows.

    STEADY: nothing.
    DRAIN: upstream 0 takes no new flows from EVENT_S on.
    COLD_START: upstream 0 is absent until EVENT_S and then returns cold.
    MISLEADING: load endpoints lag by REPORT_LAG_S, and that of upstream 0 reports no load.
    HEAVY: the load of a flow is Pareto distributed; flows change as in STEADY.
    FIXED: as HEAVY, but a flow that ends starts again with the same address and load.
    """

    STEADY = "steady"
    DRAIN = "drain"
    COLD_START = "cold_start"
    MISLEADING = "misleading"
    HEAVY = "heavy"
    FIXED = "fixed"


class Flow(msgspec.Struct, frozen=True):
    """One flow of a trace; it is open in the seconds from `open_s` to `close_s` - 1."""

    flow_hash: int
    open_s: int
    close_s: int
    load: float


class PlacementFigures(msgspec.Struct, frozen=True):
    """What a strategy achieved.

    Attributes:
        max_over_mean: Largest load over mean load of the upstreams in use, mean over time.
        deviation: Standard deviation over mean, mean over time.
        broken_share: Share of the open flows that the event moved to another upstream.
        cold_flows_over_cap: New flows of the returning upstream in its first COLD_WATCH_S,
            over what its cap allows.
        moved_slots: Slots moved to adjust weights.
        exceptions: Flows on another upstream than that of their slot, each 8 bytes on every
            instance.
    """

    max_over_mean: float
    deviation: float
    broken_share: float
    cold_flows_over_cap: float
    moved_slots: int = 0
    exceptions: int = 0


class Strategy(Protocol):
    """Chooses the upstream of new flows."""

    def choose(self, flow: Flow, loads: list[float]) -> int:
        """Returns the index of the upstream of a new flow, given the true loads."""

    def update(self, second: int, live: list[int], loads: list[float]) -> None:
        """Takes the upstreams that take new flows, once per second."""


class Modulo:
    """Hash modulo the list of upstreams in use, without state."""

    def __init__(self) -> None:
        self._live: list[int] = []

    def choose(self, flow: Flow, loads: list[float]) -> int:
        """See Strategy."""
        return self._live[flow.flow_hash % len(self._live)]

    def update(self, second: int, live: list[int], loads: list[float]) -> None:
        """See Strategy."""
        self._live = live


class RandomChoice:
    """A random upstream; needs an entry per flow on every instance."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._live: list[int] = []

    def choose(self, flow: Flow, loads: list[float]) -> int:
        """See Strategy."""
        return self._random.choice(self._live)

    def update(self, second: int, live: list[int], loads: list[float]) -> None:
        """See Strategy."""
        self._live = live


class LeastLoaded:
    """The upstream with the least load, by perfect knowledge."""

    def __init__(self) -> None:
        self._live: list[int] = []

    def choose(self, flow: Flow, loads: list[float]) -> int:
        """See Strategy."""
        return min(self._live, key=loads.__getitem__)

    def update(self, second: int, live: list[int], loads: list[float]) -> None:
        """See Strategy."""
        self._live = live


class LeastReported:
    """The upstream with the least load by endpoints that lag and of which one misleads."""

    def __init__(self) -> None:
        self._live: list[int] = []
        self._history: list[list[float]] = []

    def choose(self, flow: Flow, loads: list[float]) -> int:
        """See Strategy."""
        return min(self._live, key=self._history[0].__getitem__)

    def update(self, second: int, live: list[int], loads: list[float]) -> None:
        """See Strategy."""
        self._live = live
        self._history.append([0.0, *loads[1:]])
        del self._history[: -1 - REPORT_LAG_S]


class Slots:
    """The slot table; slots move in steps to an upstream that returns cold.

    Attributes:
        moved_slots: Slots moved to adjust weights.
        exceptions: Open flows of these slots at the time.
    """

    def __init__(self, upstream_count: int, flows_per_s: float, is_adjusted: bool = False) -> None:
        self._count = upstream_count
        self._flows_per_s = flows_per_s
        self._is_adjusted = is_adjusted
        self._table: list[int] = []
        self._live: list[int] = []
        self.moved_slots = 0
        self.exceptions = 0

    def choose(self, flow: Flow, loads: list[float]) -> int:
        """See Strategy."""
        return self._table[flow.flow_hash % SLOT_COUNT]

    def update(self, second: int, live: list[int], loads: list[float]) -> None:
        """See Strategy."""
        if not self._table:
            self._table = [live[slot % len(live)] for slot in range(SLOT_COUNT)]
        left = [upstream for upstream in self._live if upstream not in live]
        if left:
            self._spread([s for s, upstream in enumerate(self._table) if upstream in left], live)
        self._live = live
        if 0 in live:
            self._return_slots(second, live)
        is_due = second > SETTLED_S and second % ADJUST_INTERVAL_S == 0
        if self._is_adjusted and is_due:
            self._adjust(loads)

    def _spread(self, slots: list[int], live: list[int]) -> None:
        for index, slot in enumerate(slots):
            self._table[slot] = live[index % len(live)]

    def _return_slots(self, second: int, live: list[int]) -> None:
        """Gives the returning upstream the slots that its cap bears, at most its share."""
        fair = SLOT_COUNT // len(live)
        cap = COLD_RATES.compute_cap_after((second - EVENT_S) * _MS_PER_S)
        borne = int(cap * SLOT_COUNT / self._flows_per_s)
        missing = min(fair, borne) - self._table.count(0)
        while missing > 0 and not self._is_adjusted:
            counts = [self._table.count(upstream) for upstream in range(self._count)]
            giver = max(live, key=counts.__getitem__)
            self._table[self._table.index(giver)] = 0
            missing -= 1

    def _adjust(self, loads: list[float]) -> None:
        """Moves a few slots from the most to the least loaded upstream."""
        most = max(self._live, key=loads.__getitem__)
        least = min(self._live, key=loads.__getitem__)
        slots = [slot for slot, upstream in enumerate(self._table) if upstream == most]
        load_per_slot = loads[most] / len(slots)
        wanted = int((loads[most] - loads[least]) / 2 / load_per_slot)
        moved = min(wanted, ADJUST_SLOTS_MAX)
        for slot in slots[:moved]:
            self._table[slot] = least
        self.moved_slots += moved
        self.exceptions += moved * FLOWS_PER_UPSTREAM * self._count // SLOT_COUNT


class SlotsWithOverflow(Slots):
    """The slot table, but new flows of an upstream above the mean go to a second choice.

    Each of these flows is an exception that all instances must learn before its next packet.
    The loads are known perfectly, which favours this strategy.

    Attributes:
        exceptions: New flows that went to the second choice.
    """

    def choose(self, flow: Flow, loads: list[float]) -> int:
        """See Strategy."""
        first = super().choose(flow, loads)
        mean = sum(loads) / len(self._live)
        if loads[first] <= OVERFLOW_FACTOR * mean:
            return first
        self.exceptions += 1
        others = [upstream for upstream in self._live if upstream != first]
        return others[(flow.flow_hash >> 32) % len(others)]


def build_trace(service: str, upstream_count: int, scenario: Scenario, seed: int) -> list[Flow]:
    """Returns the flows of a service in order of their opening."""
    source = random.Random(f"{seed}/{service}/{scenario.value}")
    total = FLOWS_PER_UPSTREAM * upstream_count
    flows: list[Flow] = []
    opens_s = [0.0] * total
    if scenario is not Scenario.FIXED:
        new_count = int(DURATION_S * total / FLOW_LIFETIME_MEAN_S)
        opens_s += sorted(source.uniform(0, DURATION_S) for _ in range(new_count))
    is_heavy = scenario in (Scenario.HEAVY, Scenario.FIXED)
    for number, open_s in enumerate(opens_s):
        address = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
        flow_hash = hash_flow(service, address, source.randrange(1_024, 65_536))
        load = min(_HEAVY_MAX, source.paretovariate(_HEAVY_EXPONENT)) if is_heavy else 1.0
        while open_s < DURATION_S:
            close_s = open_s + source.expovariate(1 / FLOW_LIFETIME_MEAN_S)
            flows.append(Flow(flow_hash, int(open_s), int(close_s), load))
            if scenario is not Scenario.FIXED:
                break
            open_s = close_s
    return sorted(flows, key=lambda flow: flow.open_s)


def run_placement(
    strategy: Strategy, trace: list[Flow], upstream_count: int, scenario: Scenario
) -> PlacementFigures:
    """Runs a strategy over a trace and returns what it achieved."""
    loads = [0.0] * upstream_count
    opened: list[list[Flow]] = [[] for _ in range(DURATION_S)]
    for flow in trace:
        opened[flow.open_s].append(flow)
    closing: list[list[tuple[Flow, list[int]]]] = [[] for _ in range(DURATION_S + 1)]
    ratios: list[float] = []
    deviations: list[float] = []
    broken_share = 0.0
    cold_flows = 0
    previous_live: list[int] = []
    for second in range(DURATION_S):
        live = _list_live(scenario, second, upstream_count)
        strategy.update(second, live, loads)
        if previous_live not in ([], live) and isinstance(strategy, Modulo):
            broken_share = _move_open(strategy, closing[second:], loads)
        previous_live = live
        for flow, place in closing[second]:
            loads[place[0]] -= flow.load
        for flow in opened[second]:
            place = [strategy.choose(flow, loads)]
            is_watched = EVENT_S <= second < EVENT_S + COLD_WATCH_S
            cold_flows += is_watched and place[0] == 0
            if flow.close_s > second:
                loads[place[0]] += flow.load
                closing[min(flow.close_s, DURATION_S)].append((flow, place))
        is_disturbed = scenario in (Scenario.DRAIN, Scenario.COLD_START)
        if second >= (EVENT_S if is_disturbed else SETTLED_S):
            used = [loads[upstream] for upstream in live]
            mean = statistics.fmean(used)
            ratios.append(max(used) / mean)
            deviations.append(statistics.pstdev(used) / mean)
    is_cold = scenario is Scenario.COLD_START
    return PlacementFigures(
        max_over_mean=statistics.fmean(ratios),
        deviation=statistics.fmean(deviations),
        broken_share=broken_share,
        cold_flows_over_cap=cold_flows / _sum_cold_cap() if is_cold else 0.0,
        moved_slots=getattr(strategy, "moved_slots", 0),
        exceptions=getattr(strategy, "exceptions", 0),
    )


def _list_live(scenario: Scenario, second: int, upstream_count: int) -> list[int]:
    is_out = scenario is Scenario.DRAIN and second >= EVENT_S
    is_absent = scenario is Scenario.COLD_START and second < EVENT_S
    return list(range(1 if is_out or is_absent else 0, upstream_count))


def _move_open(
    strategy: Strategy, closing: list[list[tuple[Flow, list[int]]]], loads: list[float]
) -> float:
    """Moves open flows to where a strategy without state now sends their packets."""
    moved = total = 0
    for flows in closing:
        for flow, place in flows:
            new = strategy.choose(flow, loads)
            total += 1
            moved += new != place[0]
            loads[place[0]] -= flow.load
            loads[new] += flow.load
            place[0] = new
    return moved / total


def _sum_cold_cap() -> float:
    step_ms = 100
    caps = (
        COLD_RATES.compute_cap_after(at_ms) for at_ms in range(0, COLD_WATCH_S * _MS_PER_S, step_ms)
    )
    return sum(caps) * step_ms / _MS_PER_S
