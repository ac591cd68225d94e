"""Requests under twice the load that an upstream bears, and an unannounced cold turn."""

import enum
import random

import msgspec

from catkinspread.bench.events import EventQueue
from catkinspread.bench.imbalance.simulation import (
    SERVICE_MS,
    WORK_SLOTS,
    InstanceOptions,
    SimulatedFleet,
    SimulatedUpstream,
)
from catkinspread.limits import AdmissionSettings, DetectorSettings, RampRates, WorkItem

CAPACITY_PER_S = WORK_SLOTS * 1_000 // SERVICE_MS
LOAD_FACTOR = 2.0
TIMEOUT_MS = 1_000
DURATION_MS = 30_000
SETTLED_MS = 5_000
PRIORITY_SHARES = (0.2, 0.5, 0.3)
# The operators state what the upstream bears, or leave the default of the configuration.
STATED_RATES = RampRates(cold_rate_per_s=5.0, warm_rate_per_s=CAPACITY_PER_S, warmup_ms=30_000)
DEFAULT_RATES = RampRates(cold_rate_per_s=5.0, warm_rate_per_s=500.0, warmup_ms=30_000)
TURN_AT_MS = 15_000
TURN_DURATION_MS = 60_000
TURN_LOAD_PER_S = 60.0
_WINDOW_MS = 1_000
# After the notice has spread and the requests already sent have ended.
_SPREAD_MS = 2_000


class PriorityFigures(msgspec.Struct, frozen=True):
    """How the requests of one priority fared.

    Attributes:
        served_share: Share answered before the deadline.
        wait_p99_ms: 99th percentile of the wait of those that were sent to the upstream.
    """

    served_share: float
    wait_p99_ms: float


class OverloadFigures(msgspec.Struct, frozen=True):
    """Outcome of a run.

    Attributes:
        priorities: Figures by priority, from 0.
        shed_share: Shed answers of the upstream over requests.
        restart_count: Cold turns that were noticed.
    """

    priorities: tuple[PriorityFigures, ...]
    shed_share: float
    restart_count: int


class TurnFigures(msgspec.Struct, frozen=True):
    """Outcome of a run with an unannounced cold turn.

    Attributes:
        noticed_after_ms: Time from the turn to the first notice; -1 if there was none.
        excess_max_ratio: Requests that reached the upstream in the worst window of 1 s after
            the notice had spread, above its cap, over that cap.
        served_share: Share of the requests after the turn that were answered in time.
        shed_share: Shed answers over requests.
        restart_count: Notices of this turn; several instances may notice it before they hear
            of each other.
    """

    noticed_after_ms: int
    excess_max_ratio: float
    served_share: float
    shed_share: float
    restart_count: int


class QueueKind(enum.Enum):
    """Queue of the instances; all else is the same.

    PRIORITY: the queue of this project.
    FIFO: one order for all priorities, without bound, and expired requests are sent too.
    FIFO_DEADLINE: one order for all priorities, bounded, and expired requests are dropped.
    """

    PRIORITY = "priority"
    FIFO = "fifo"
    FIFO_DEADLINE = "fifo-deadline"


def measure_overload(
    rates: RampRates, seed: int, kind: QueueKind = QueueKind.PRIORITY
) -> OverloadFigures:
    """Runs a steady load of LOAD_FACTOR times the capacity."""
    is_plain = kind is QueueKind.FIFO
    options = InstanceOptions(
        AdmissionSettings(queue_capacity=10**9) if is_plain else AdmissionSettings(),
        rates,
        hides_priority=kind is not QueueKind.PRIORITY,
        hides_deadline=is_plain,
    )
    load_per_s = LOAD_FACTOR * CAPACITY_PER_S
    queue, _, fleet, count = _start(options, rates, load_per_s, DURATION_MS, seed)
    queue.run_until(DURATION_MS)
    priorities = tuple(_summarise(fleet, priority) for priority in range(len(PRIORITY_SHARES)))
    return OverloadFigures(priorities, fleet.shed_count / count, len(fleet.notices_ms))


def measure_turn(seed: int, is_detecting: bool, is_unhealthy: bool = False) -> TurnFigures:
    """Runs a load below the capacity during which the upstream becomes cold unannounced."""
    detector = DetectorSettings() if is_detecting else DetectorSettings(responses_min=10**9)
    options = InstanceOptions(
        AdmissionSettings(detector=detector), STATED_RATES, is_unhealthy=is_unhealthy
    )
    queue, upstream, fleet, count = _start(
        options, STATED_RATES, TURN_LOAD_PER_S, TURN_DURATION_MS, seed
    )
    queue.run_until(TURN_AT_MS)
    upstream.cold_at_ms = TURN_AT_MS
    queue.run_until(TURN_DURATION_MS)
    after = [item for item in fleet.served if item.arrived_at_ms >= TURN_AT_MS]
    noticed = [at_ms for at_ms in fleet.notices_ms if at_ms >= TURN_AT_MS]
    first_ms = noticed[0] if noticed else TURN_AT_MS
    return TurnFigures(
        noticed_after_ms=first_ms - TURN_AT_MS if noticed else -1,
        excess_max_ratio=_find_excess(upstream, first_ms + _SPREAD_MS),
        served_share=sum(item.is_in_time for item in after) / len(after),
        shed_share=fleet.shed_count / count,
        restart_count=len(noticed),
    )


def count_false_restarts(seed: int) -> int:
    """Counts the cold turns noticed on a warm upstream whose health endpoint misleads."""
    options = InstanceOptions(AdmissionSettings(), STATED_RATES, is_unhealthy=True)
    queue, _, fleet, _ = _start(options, STATED_RATES, TURN_LOAD_PER_S, DURATION_MS, seed)
    queue.run_until(DURATION_MS)
    return len(fleet.notices_ms)


def _start(
    options: InstanceOptions, rates: RampRates, load_per_s: float, duration_ms: int, seed: int
) -> tuple[EventQueue, SimulatedUpstream, SimulatedFleet, int]:
    """Returns a run whose requests are scheduled, and the number of requests."""
    source = random.Random(f"{seed}/requests")
    queue = EventQueue()
    upstream = SimulatedUpstream(queue, rates)
    fleet = SimulatedFleet(queue, upstream, options, source)
    at_ms = 0.0
    work_id = 0
    while at_ms < duration_ms:
        priority = source.choices(range(len(PRIORITY_SHARES)), PRIORITY_SHARES)[0]
        arrived_ms = int(at_ms)
        work = WorkItem(work_id, priority, arrived_ms + TIMEOUT_MS, priority > 0, arrived_ms)
        queue.schedule(arrived_ms, lambda work=work: fleet.submit(work))
        work_id += 1
        at_ms += source.expovariate(load_per_s / 1_000)
    return queue, upstream, fleet, work_id


def _summarise(fleet: SimulatedFleet, priority: int) -> PriorityFigures:
    end_ms = DURATION_MS - 2 * TIMEOUT_MS
    items = [
        item
        for item in fleet.list_ended()
        if item.priority == priority and SETTLED_MS <= item.arrived_at_ms < end_ms
    ]
    waits_ms = sorted(item.wait_ms for item in items if item.wait_ms >= 0)
    p99_ms = waits_ms[len(waits_ms) * 99 // 100] if waits_ms else 0
    return PriorityFigures(sum(item.is_in_time for item in items) / len(items), float(p99_ms))


def _find_excess(upstream: SimulatedUpstream, from_ms: int) -> float:
    worst = 0.0
    arrivals = [at_ms for at_ms in upstream.arrivals_ms if at_ms >= from_ms]
    for first, at_ms in enumerate(arrivals):
        if at_ms >= TURN_AT_MS + STATED_RATES.warmup_ms:
            break
        last = first
        while last < len(arrivals) and arrivals[last] < at_ms + _WINDOW_MS:
            last += 1
        cap = STATED_RATES.compute_cap_after(at_ms - TURN_AT_MS)
        worst = max(worst, (last - first) / cap - 1)
    return worst
