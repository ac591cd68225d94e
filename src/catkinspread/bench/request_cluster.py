"""The instances of a request bench, with deaths, pauses, cuts, clock skew and lagging views."""

from collections.abc import Callable

import msgspec

from catkinspread.bench.request_faults import FaultKind, PlannedFault, SchedulePlan
from catkinspread.bench.request_instances import BenchInstance, InstancePorts
from catkinspread.bench.request_model import (
    ModelStore,
    ModelUpstreams,
    RequestModel,
    is_whole_answer,
)
from catkinspread.model import InstanceIncarnation
from catkinspread.requests import AnswerCaller, PeerMessage, RequestIdentity, StoreAction
from catkinspread.wire import Answer, AnswerStatus, Request

# Two clocks differ by at most the 500 ms that the design allows.
CLOCK_OFFSET_MAX_MS = 250
_TICK_MS = 25
_VIEW_LAG_RANGE_MS = (300, 3_000)

InstanceFactory = Callable[[InstanceIncarnation, InstancePorts, RequestModel], BenchInstance]
Work = Callable[[BenchInstance], None]
IdentityFinder = Callable[[int, str], RequestIdentity | None]


class _Slot(msgspec.Struct, eq=False):
    index: int
    data_centre: int
    member: InstanceIncarnation
    clock_offset_ms: int
    instance: BenchInstance | None = None
    paused_until_ms: int = 0
    inbox: list[Work] = []


class Cluster:
    """Runs the instances and connects them to the model.

    Attributes:
        deliver_to_caller: Takes each packet for a caller; set by the bench.
        find_identity: Returns the request of a flow and a request id; set by the bench.
    """

    __slots__ = (
        "_cut",
        "_factory",
        "_slots",
        "_store",
        "_upstreams",
        "_world",
        "deliver_to_caller",
        "find_identity",
    )

    def __init__(self, model: RequestModel, plan: SchedulePlan, factory: InstanceFactory) -> None:
        self._world = model
        self._factory = factory
        self._store = ModelStore(model)
        self._upstreams = ModelUpstreams(model)
        self._cut: set[int] = set()
        self.deliver_to_caller: Callable[[Answer], None] = lambda answer: None
        self.find_identity: IdentityFinder = lambda flow, request_id: None
        self._slots = [self._make_slot(index, plan) for index in range(plan.instance_count)]
        for slot in self._slots:
            self._start(slot)
        for slot in self._slots:
            slot.instance.set_live(self._compute_view(slot))

    def send_request(self, request: Request) -> None:
        """Sprays a request of a caller to a random instance."""
        slot = self._world.random.choice(self._slots)
        self._work(slot, lambda instance: instance.receive_request(request))

    def apply_fault(self, fault: PlannedFault) -> None:
        """Begins a planned fault and schedules its end."""
        queue = self._world.queue
        match fault.kind:
            case FaultKind.STORE_OUTAGE:
                self._world.is_store_down = True
                queue.schedule(fault.duration_ms, self._end_outage)
            case FaultKind.CUT_DATA_CENTRE:
                self._cut.add(fault.target)
                queue.schedule(fault.duration_ms, lambda: self._end_cut(fault.target))
                self._spread_views()
            case FaultKind.PAUSE:
                self._pause(self._slots[fault.target], fault.duration_ms)
            case FaultKind.DEATH:
                self._kill(self._slots[fault.target], fault.duration_ms)

    def _make_slot(self, index: int, plan: SchedulePlan) -> _Slot:
        offset_ms = self._world.random.randint(-CLOCK_OFFSET_MAX_MS, CLOCK_OFFSET_MAX_MS)
        member = InstanceIncarnation(f"instance-{index}", self._world.now_ms)
        return _Slot(index, index % plan.data_centre_count, member, offset_ms)

    def _start(self, slot: _Slot) -> None:
        slot.member = InstanceIncarnation(slot.member.instance, self._world.now_ms)
        slot.paused_until_ms = 0
        slot.inbox = []
        slot.instance = self._factory(slot.member, self._make_ports(slot), self._world)
        self._schedule_tick(slot, slot.instance)

    def _schedule_tick(self, slot: _Slot, instance: BenchInstance) -> None:
        def tick() -> None:
            if slot.instance is not instance:
                return
            if self._world.now_ms >= slot.paused_until_ms:
                instance.tick()
            self._world.queue.schedule(_TICK_MS, tick)

        self._world.queue.schedule(_TICK_MS, tick)

    def _kill(self, slot: _Slot, duration_ms: int) -> None:
        if slot.instance is None:
            return
        slot.instance = None
        slot.inbox = []
        self._spread_views()
        self._world.queue.schedule(duration_ms, lambda: self._replace(slot))

    def _replace(self, slot: _Slot) -> None:
        self._start(slot)
        # A new instance sees at first only itself, and claims what it is handed.
        slot.instance.set_live(frozenset([slot.member]))
        self._spread_views()

    def _pause(self, slot: _Slot, duration_ms: int) -> None:
        if slot.instance is None:
            return
        slot.paused_until_ms = max(slot.paused_until_ms, self._world.now_ms + duration_ms)
        instance = slot.instance
        self._world.queue.schedule(duration_ms, lambda: self._resume(slot, instance))

    def _resume(self, slot: _Slot, instance: BenchInstance) -> None:
        if slot.instance is not instance or self._world.now_ms < slot.paused_until_ms:
            return
        inbox, slot.inbox = slot.inbox, []
        for work in inbox:
            self._work(slot, work)

    def _work(self, slot: _Slot, work: Work) -> None:
        if slot.instance is None:
            return
        if self._world.now_ms < slot.paused_until_ms:
            slot.inbox.append(work)
            return
        work(slot.instance)

    def _work_for(self, member: InstanceIncarnation, slot: _Slot, work: Work) -> None:
        if slot.member == member:
            self._work(slot, work)

    def _end_outage(self) -> None:
        self._world.is_store_down = False

    def _end_cut(self, data_centre: int) -> None:
        self._cut.discard(data_centre)
        self._spread_views()

    def _can_reach(self, one: _Slot, other: _Slot) -> bool:
        if one.data_centre == other.data_centre:
            return True
        return one.data_centre not in self._cut and other.data_centre not in self._cut

    def _compute_view(self, slot: _Slot) -> frozenset[InstanceIncarnation]:
        return frozenset(
            other.member
            for other in self._slots
            if other.instance is not None and self._can_reach(slot, other)
        )

    def _spread_views(self) -> None:
        for slot in self._slots:
            lag_ms = self._world.random.randint(*_VIEW_LAG_RANGE_MS)
            self._world.queue.schedule(lag_ms, lambda slot=slot: self._update_view(slot))

    def _update_view(self, slot: _Slot) -> None:
        live = self._compute_view(slot)
        self._work(slot, lambda instance: instance.set_live(live))

    def _make_ports(self, slot: _Slot) -> InstancePorts:
        member = slot.member

        def call_store(action: StoreAction) -> None:
            is_reachable = slot.data_centre not in self._cut
            self._store.call(
                action,
                is_reachable,
                lambda event: self._work_for(
                    member, slot, lambda instance: instance.receive_store_event(event)
                ),
            )

        def pause(callback: Callable[[], None]) -> None:
            slot.paused_until_ms = self._world.now_ms + self._world.random.randint(100, 6_000)
            slot.inbox.insert(0, lambda instance: callback())
            duration_ms = slot.paused_until_ms - self._world.now_ms
            instance = slot.instance
            self._world.queue.schedule(duration_ms, lambda: self._resume(slot, instance))

        return InstancePorts(
            read_clock=lambda: self._world.now_ms + slot.clock_offset_ms,
            call_store=call_store,
            send_peer=lambda target, message: self._send_peer(slot, target, message),
            send_upstream=lambda request: self._send_upstream(slot, request),
            answer_caller=self._answer_caller,
            pause=pause,
        )

    def _send_peer(self, sender: _Slot, target: InstanceIncarnation, message: PeerMessage) -> None:
        for slot in self._slots:
            if slot.member.instance == target.instance and self._can_reach(sender, slot):
                self._world.deliver(
                    lambda slot=slot: self._work(
                        slot, lambda instance: instance.receive_peer_message(message)
                    ),
                    self._world.rates.packet_loss,
                )

    def _send_upstream(self, sender: _Slot, request: Request) -> None:
        """Sends without copies: the link to upstreams must not duplicate (see docs)."""
        model = self._world
        model.run_log.sent_count += 1
        if model.now_ms >= request.deadline_ms + 2 * CLOCK_OFFSET_MAX_MS:
            model.run_log.late_send_count += 1
        if model.draw(model.rates.upstream_loss):
            return

        def answer(packet: Answer) -> None:
            target = sender
            if model.draw(model.rates.answer_crossed):
                target = model.random.choice(self._slots)
            model.deliver(
                lambda: self._work(target, lambda instance: instance.receive_answer(packet)),
                model.rates.upstream_loss,
            )

        delay_ms = model.random.randint(1, 10)
        if model.draw(model.rates.packet_late):
            delay_ms += model.random.randint(0, model.rates.late_max_ms)
        model.queue.schedule(delay_ms, lambda: self._upstreams.receive(request, answer))

    def _answer_caller(self, action: AnswerCaller) -> None:
        self._check_answer(action)
        for packet in action.answers:
            self._world.deliver(
                lambda packet=packet: self.deliver_to_caller(packet),
                self._world.rates.packet_loss,
            )

    def _check_answer(self, action: AnswerCaller) -> None:
        first = action.answers[0]
        identity = self.find_identity(action.flow, first.request_id)
        if identity is None:
            self._world.run_log.wrong_answer_count += 1
        elif first.status is AnswerStatus.NOT_RUN:
            self._world.run_log.not_run.add(identity)
        elif first.status is AnswerStatus.OK:
            bodies = [packet.body for packet in action.answers]
            if not is_whole_answer(identity, bodies):
                self._world.run_log.wrong_answer_count += 1
