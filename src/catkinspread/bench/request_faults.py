"""The schedule of planned faults and requests of the request benches.

The schedule is drawn before a run, so that two versions meet the same faults at the same times.
"""

import enum
import random

import msgspec

# A timeout below the sum of the clock offsets would expire before it arrives.
_TIMEOUTS_MS = (1_000, 2_000, 5_000)


class FaultKind(enum.Enum):
    """What happens at a planned time."""

    DEATH = "death"
    PAUSE = "pause"
    CUT_DATA_CENTRE = "cut-data-centre"
    STORE_OUTAGE = "store-outage"


class PlannedFault(msgspec.Struct, frozen=True):
    """A fault.

    Attributes:
        at_ms: Time from the start.
        kind: What happens.
        target: Index of the instance or data centre.
        duration_ms: How long it lasts; a dead instance is replaced after this time.
    """

    at_ms: int
    kind: FaultKind
    target: int
    duration_ms: int


class PlannedRequest(msgspec.Struct, frozen=True):
    """A request of a caller.

    Attributes:
        at_ms: Time from the start.
        caller: Index of the caller.
        number: Number of the request.
        is_idempotent: Whether a second run does no harm.
        timeout_ms: Time from the first send to the deadline.
    """

    at_ms: int
    caller: int
    number: int
    is_idempotent: bool
    timeout_ms: int


class SchedulePlan(msgspec.Struct, frozen=True):
    """How much happens in a run.

    Attributes:
        duration_ms: Time in which requests are issued and faults begin.
        requests_per_s: Rate of new requests.
        idempotent_share: Share of idempotent requests.
        caller_count: Number of callers.
        instance_count: Number of instances.
        data_centre_count: Number of data centres.
        death_interval_ms: Mean time between deaths of instances.
        pause_interval_ms: Mean time between pauses.
        cut_interval_ms: Mean time between cuts of a data centre.
        outage_interval_ms: Mean time between outages of the store.
    """

    duration_ms: int = 120_000
    requests_per_s: int = 40
    idempotent_share: float = 0.3
    caller_count: int = 50
    instance_count: int = 9
    data_centre_count: int = 3
    death_interval_ms: int = 4_000
    pause_interval_ms: int = 1_500
    cut_interval_ms: int = 20_000
    outage_interval_ms: int = 25_000


# So many faults that most orders meet several; it finds mistakes, its shares mean nothing.
STRESS_PLAN = SchedulePlan(
    duration_ms=60_000,
    idempotent_share=0.1,
    death_interval_ms=1_500,
    pause_interval_ms=600,
    cut_interval_ms=6_000,
    outage_interval_ms=8_000,
)


class Schedule(msgspec.Struct, frozen=True):
    """All that is planned for a run, in order of time."""

    faults: tuple[PlannedFault, ...]
    requests: tuple[PlannedRequest, ...]


def draw_schedule(seed: int, plan: SchedulePlan) -> Schedule:
    """Returns the schedule of a seed."""
    source = random.Random(f"schedule {seed}")
    faults = [
        *_draw(source, plan, FaultKind.DEATH, plan.death_interval_ms, (500, 4_000)),
        *_draw(source, plan, FaultKind.PAUSE, plan.pause_interval_ms, (100, 5_000)),
        *_draw(source, plan, FaultKind.CUT_DATA_CENTRE, plan.cut_interval_ms, (2_000, 10_000)),
        *_draw(source, plan, FaultKind.STORE_OUTAGE, plan.outage_interval_ms, (500, 8_000)),
    ]
    request_count = plan.duration_ms * plan.requests_per_s // 1_000
    requests = [
        PlannedRequest(
            at_ms=source.randrange(plan.duration_ms),
            caller=source.randrange(plan.caller_count),
            number=number,
            is_idempotent=source.random() < plan.idempotent_share,
            timeout_ms=source.choice(_TIMEOUTS_MS),
        )
        for number in range(request_count)
    ]
    return Schedule(
        faults=tuple(sorted(faults, key=lambda fault: fault.at_ms)),
        requests=tuple(sorted(requests, key=lambda request: request.at_ms)),
    )


def _draw(
    source: random.Random,
    plan: SchedulePlan,
    kind: FaultKind,
    interval_ms: int,
    duration_range_ms: tuple[int, int],
) -> list[PlannedFault]:
    faults: list[PlannedFault] = []
    is_data_centre = kind is FaultKind.CUT_DATA_CENTRE
    target_count = plan.data_centre_count if is_data_centre else plan.instance_count
    at_ms = 0
    while True:
        at_ms += 1 + int(source.expovariate(1 / interval_ms))
        if at_ms >= plan.duration_ms:
            return faults
        target = source.randrange(target_count)
        faults.append(PlannedFault(at_ms, kind, target, source.randint(*duration_range_ms)))
