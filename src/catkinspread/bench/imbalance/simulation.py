"""A simulated upstream and nine instances that give it requests."""

import random
from collections.abc import Callable

import msgspec

from catkinspread.bench.events import EventQueue
from catkinspread.limits import (
    AdmissionAction,
    AdmissionController,
    AdmissionSettings,
    BroadcastNotice,
    ColdStartNotice,
    ExpireRequest,
    KnownInstances,
    RampRates,
    RefusalReason,
    RefuseRequest,
    RequestOutcome,
    ScheduleTick,
    StartRequest,
    WorkItem,
)

INSTANCE_COUNT = 9
WORK_SLOTS = 2
ACCEPT_QUEUE = 4
SERVICE_MS = 20
LINK_MS = 3
LINK_JITTER_MS = 2
GOSSIP_MAX_MS = 1_500
_SETTLED_MS = 10_000
_RATE_WINDOW_MS = 1_000
_RETRY_DELAY_MS = 50
_REQUESTS_PER_RETRY = 10
_FAR_MS = 10**12

Reply = Callable[[RequestOutcome], None]


class SimulatedUpstream:
    """Executes 2 requests at once, keeps 4 more, and sheds the rest.

    After a cold start it bears its ramp. Above that rate it sheds, and above twice that rate
    it fails: it sheds everything.

    Attributes:
        cold_at_ms: When it became cold, or None if it is warm.
        arrivals_ms: When requests arrived.
    """

    def __init__(self, queue: EventQueue, rates: RampRates) -> None:
        self._queue = queue
        self._rates = rates
        self._running = 0
        self._accepted: list[Reply] = []
        self._recent_ms: list[int] = []
        self.cold_at_ms: int | None = None
        self.arrivals_ms: list[int] = []

    def receive(self, reply: Reply) -> None:
        """Takes a request."""
        now_ms = self._queue.clock.now_ms()
        self.arrivals_ms.append(now_ms)
        self._recent_ms = [at_ms for at_ms in self._recent_ms if at_ms > now_ms - _RATE_WINDOW_MS]
        self._recent_ms.append(now_ms)
        if self._is_above_cold_rate(now_ms) or len(self._accepted) >= ACCEPT_QUEUE:
            reply(RequestOutcome.SHED)
            return
        self._accepted.append(reply)
        self._begin()

    def _is_above_cold_rate(self, now_ms: int) -> bool:
        if self.cold_at_ms is None:
            return False
        return len(self._recent_ms) > self._rates.compute_cap_after(now_ms - self.cold_at_ms)

    def _begin(self) -> None:
        while self._accepted and self._running < WORK_SLOTS:
            reply = self._accepted.pop(0)
            self._running += 1
            self._queue.schedule(SERVICE_MS, lambda reply=reply: self._end(reply))

    def _end(self, reply: Reply) -> None:
        self._running -= 1
        reply(RequestOutcome.SUCCEEDED)
        self._begin()


class Served(msgspec.Struct, frozen=True):
    """How one request ended.

    Attributes:
        priority: Its priority.
        arrived_at_ms: When it was submitted.
        wait_ms: Time from its arrival until it was sent to the upstream; -1 if it never was.
        is_in_time: Whether a good answer came before the deadline.
    """

    priority: int
    arrived_at_ms: int
    wait_ms: int
    is_in_time: bool


class InstanceOptions(msgspec.Struct, frozen=True):
    """How the instances of a run behave.

    Attributes:
        settings: Settings of the admission.
        rates: Rates that the instances assume.
        hides_priority: Whether the queue sees all requests with the same priority.
        hides_deadline: Whether the queue sees no deadline.
        is_unhealthy: Whether the health endpoint reports the upstream as unhealthy always.
    """

    settings: AdmissionSettings
    rates: RampRates
    hides_priority: bool = False
    hides_deadline: bool = False
    is_unhealthy: bool = False


class SimulatedFleet:
    """Nine instances with an AdmissionController each.

    Shed requests are sent once more if the budget of 10% of the requests allows it.

    Attributes:
        served: How the requests ended.
        notices_ms: When cold turns were noticed.
        shed_count: Shed answers.
    """

    def __init__(
        self,
        queue: EventQueue,
        upstream: SimulatedUpstream,
        options: InstanceOptions,
        source: random.Random,
    ) -> None:
        self._queue = queue
        self._upstream = upstream
        self._options = options
        self._source = source
        self._controllers: list[AdmissionController] = []
        self._works: dict[int, tuple[WorkItem, int]] = {}
        self._wakes_ms = [0] * INSTANCE_COUNT
        self._request_count = 0
        self._retry_count = 0
        self.served: list[Served] = []
        self.notices_ms: list[int] = []
        self.shed_count = 0
        names = [f"instance-{number}" for number in range(INSTANCE_COUNT)]
        for name in names:
            fleet = KnownInstances(name, -_SETTLED_MS)
            for other in names:
                fleet.observe(other, 0)
            controller = AdmissionController(
                "u", options.rates, fleet, -options.rates.warmup_ms - _SETTLED_MS, options.settings
            )
            self._controllers.append(controller)

    def submit(self, work: WorkItem) -> None:
        """Gives a new request to a random instance."""
        self._request_count += 1
        self._works[work.work_id] = (work, -1)
        self._give(self._source.randrange(INSTANCE_COUNT), work)

    def list_ended(self) -> list[Served]:
        """Returns all requests; those that still wait count as not served."""
        waiting = [
            Served(work.priority, work.arrived_at_ms, -1, False) for work, _ in self._works.values()
        ]
        return self.served + waiting

    def _give(self, instance: int, work: WorkItem) -> None:
        now_ms = self._queue.clock.now_ms()
        controller = self._controllers[instance]
        if self._options.is_unhealthy:
            controller.handle_health_report(False, now_ms)
        seen = work
        if self._options.hides_priority:
            seen = msgspec.structs.replace(seen, priority=0)
        if self._options.hides_deadline:
            seen = msgspec.structs.replace(seen, deadline_ms=_FAR_MS)
        self._carry_out(instance, controller.submit(seen, now_ms))

    def _carry_out(self, instance: int, actions: list[AdmissionAction]) -> None:
        for action in actions:
            match action:
                case StartRequest(work):
                    self._send(instance, work.work_id)
                case RefuseRequest(work, reason) | ExpireRequest(work, reason):
                    self._end_badly(instance, work.work_id, reason)
                case BroadcastNotice(notice):
                    self._spread(instance, notice)
                case ScheduleTick(at_ms):
                    self._wake(instance, at_ms)

    def _send(self, instance: int, work_id: int) -> None:
        work, _ = self._works[work_id]
        self._works[work_id] = (work, self._queue.clock.now_ms())

        def reply(outcome: RequestOutcome) -> None:
            delay_ms = self._draw_link_ms()
            self._queue.schedule(delay_ms, lambda: self._finish(instance, work_id, outcome))

        self._queue.schedule(self._draw_link_ms(), lambda: self._upstream.receive(reply))

    def _finish(self, instance: int, work_id: int, outcome: RequestOutcome) -> None:
        now_ms = self._queue.clock.now_ms()
        actions = self._controllers[instance].complete(work_id, outcome, now_ms)
        if outcome is RequestOutcome.SUCCEEDED and work_id in self._works:
            work, started_at_ms = self._works.pop(work_id)
            wait_ms = started_at_ms - work.arrived_at_ms
            is_in_time = now_ms <= work.deadline_ms
            self.served.append(Served(work.priority, work.arrived_at_ms, wait_ms, is_in_time))
        self._carry_out(instance, actions)

    def _end_badly(self, instance: int, work_id: int, reason: RefusalReason) -> None:
        if work_id not in self._works:
            return
        work, _ = self._works[work_id]
        if reason is RefusalReason.UPSTREAM_SHED:
            self.shed_count += 1
            if self._retry_count < self._request_count // _REQUESTS_PER_RETRY:
                self._retry_count += 1
                self._queue.schedule(_RETRY_DELAY_MS, lambda: self._give(instance, work))
                return
        del self._works[work_id]
        self.served.append(Served(work.priority, work.arrived_at_ms, -1, False))

    def _spread(self, instance: int, notice: ColdStartNotice) -> None:
        now_ms = self._queue.clock.now_ms()
        if notice.reporter == f"instance-{instance}":
            self.notices_ms.append(now_ms)
        for other in range(INSTANCE_COUNT):
            if other != instance and notice.reporter == f"instance-{instance}":
                delay_ms = self._source.randrange(LINK_MS, GOSSIP_MAX_MS)
                self._queue.schedule(delay_ms, lambda other=other: self._hear(other, notice))

    def _hear(self, instance: int, notice: ColdStartNotice) -> None:
        self._controllers[instance].handle_notice(notice, self._queue.clock.now_ms())

    def _wake(self, instance: int, at_ms: int) -> None:
        now_ms = self._queue.clock.now_ms()
        if now_ms < self._wakes_ms[instance] <= at_ms:
            return
        self._wakes_ms[instance] = at_ms

        def tick() -> None:
            if self._wakes_ms[instance] == at_ms:
                actions = self._controllers[instance].tick(at_ms)
                self._carry_out(instance, actions)

        self._queue.schedule(at_ms - now_ms, tick)

    def _draw_link_ms(self) -> int:
        return LINK_MS + self._source.randrange(LINK_JITTER_MS + 1)
