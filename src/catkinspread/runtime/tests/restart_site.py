"""Data centres in virtual time whose instances stop and start while flows are open.

Routers, callers, upstreams and the links between them are simulated. An instance is a forwarder with
its announcements; it loses its flows when it starts again. Events are handled one after the other,
so a run depends on its seed alone.
"""

import collections
import enum
import heapq
import random
from collections.abc import Callable

from catkinspread.clock import ManualClock
from catkinspread.deployment import KnownUpstream, UpstreamRecord
from catkinspread.forwarding import CallerPacket, FlowKey
from catkinspread.forwarding.tests.builders import (
    ORDERS_ADDRESS,
    START_MS,
    ForwarderHarness,
    build_upstream,
)
from catkinspread.hashing import hash_text, rank_by_rendezvous
from catkinspread.peers import (
    FlowAnnouncement,
    FlowLocation,
    Hello,
    Member,
    MemberStatus,
    PeerDirectory,
)
from catkinspread.runtime.flow_announcer import FlowAnnouncer
from catkinspread.runtime.flow_messages import apply_announcement, apply_location

CALLER_LINK_MS = 15
UPSTREAM_LINK_MS = 1
PEER_LINK_MS = 1
REMOTE_PEER_LINK_MS = 6
TICK_MS = 20
WORK_MS = (5, 120)
# Some answers to opening packets take longer than the time-out of the instances.
SLOW_HANDSHAKE_SHARE = 0.02
SLOW_HANDSHAKE_MS = (30, 250)
REQUESTS_PER_FLOW = 3
PAUSE_MS = (500, 4_000)
OPEN_COPIES_MS = (0, 200, 600)
# Delays after which an upstream repeats its answer to an opening packet while the flow is not open.
REPEATED_ANSWERS_MS = (200, 600, 1_400, 3_000)
OPEN_TIMEOUT_MS = 1_400
RETRANSMIT_FIRST_MS = 200
RETRANSMIT_MAX_MS = 1_600
DEADLINE_MS = 3_000
# From the stop signal or a kill until the routers have missed two readiness checks.
ROTATION_LAG_MS = 800
# From the stop signal until the process ends, and from then until the new one is in rotation.
STOP_MS = 1_600
START_MS_AFTER_END = 300
READY_MS_AFTER_START = 400
_SEQUENCE_MODULUS = 1 << 32
_CALLER_IP = 0x64400007


class TokenHabit(enum.Enum):
    """Which token a caller returns on an open flow."""

    # The last one received, also from an upstream that answers late and does not hold the flow.
    LAST = "last"
    # The last one received from the upstream that holds the flow.
    HOLDER = "holder"
    # The one of the answer that opened the flow.
    FIRST = "first"


class SimulatedInstance:
    """An instance and the process that runs on it.

    Args:
        name: Its name, also its address.
        site: The deployment.
        data_centre: Data centre that it runs in.
    """

    def __init__(self, name: str, site: "RestartSite", data_centre: str = "east") -> None:
        self.name = name
        self.site = site
        self.data_centre = data_centre
        self.started_ms = 0
        self.is_in_rotation = False
        self.unreachable_upstreams: set[str] = set()
        self.harness: ForwarderHarness | None = None
        self.directory: PeerDirectory | None = None

    def start(self) -> None:
        """Starts the process, which knows no flows."""
        rng = random.Random(self.site.rng.random())
        self.started_ms = self.site.clock.now_ms()
        member = Member(self.name, self.data_centre, self.name, self.started_ms)
        directory = PeerDirectory(member, rng)
        self.directory = directory
        for other in self.site.instances:
            if other is not self:
                self._learn(other, False)
                other._learn(self, False)
        announcer = FlowAnnouncer(directory, self, self.site.clock, rng)  # type: ignore[arg-type]
        self.site.announcers.append(announcer)
        self.harness = ForwarderHarness(
            *self.site.records.values(),
            seed=rng.randrange(1 << 30),
            peers=announcer,
            clock=self.site.clock,
            output=self,
        )
        for data_centre in self.site.evacuated:
            self.harness.state.set_evacuated(data_centre, True)
        self._tick(self.harness, announcer)

    def leave(self) -> None:
        """Begins a planned stop."""
        for other in self.site.instances:
            other._learn(self, True)
        if self.harness is not None:
            self.harness.forwarder.begin_leaving(self.site.clock.now_ms())

    def _learn(self, other: "SimulatedInstance", is_leaving: bool) -> None:
        if other is not self and self.directory is not None:
            member = Member(other.name, other.data_centre, other.name, other.started_ms)
            status = MemberStatus(member, None, True, is_leaving, 0)
            self.directory.apply_message(Hello(status, 0), self.site.clock.now_ms())

    def end(self) -> None:
        """Ends the process."""
        self.site.count_process(self.harness)
        self.harness = None

    def receive(self, packet: CallerPacket) -> None:
        """Takes a packet of a caller; it is lost while no process runs."""
        if self.harness is not None:
            self.harness.send(packet)

    def forward(self, packet: CallerPacket, upstream: KnownUpstream, token: int) -> None:
        """Sends a packet of the forwarder to an upstream."""
        if upstream.record.name in self.unreachable_upstreams:
            return
        target = self.site.upstreams[upstream.record.name]
        self.site.call_after(UPSTREAM_LINK_MS, target.receive, packet, token)

    def reset(self, key: FlowKey, _: int) -> None:
        """Sends a reset of the forwarder to a caller."""
        self.site.call_after(self.site.caller_link_ms, self.site.reset_flow, key, self.name)

    def send_report(self, report: FlowAnnouncement | FlowLocation, hosts: list[str]) -> None:
        """Sends a message to other instances."""
        for other in self.site.instances:
            if other.name in hosts and self.site.rng.random() >= self.site.message_loss_share:
                self.site.messages += 1
                is_remote = other.data_centre != self.data_centre
                link_ms = REMOTE_PEER_LINK_MS if is_remote else PEER_LINK_MS
                self.site.call_after(link_ms, other.receive_report, report, self.name)

    def receive_report(self, report: FlowAnnouncement | FlowLocation, sender: str) -> None:
        """Takes a message of another instance."""
        if self.harness is None:
            return
        forwarder, now_ms = self.harness.forwarder, self.site.clock.now_ms()
        if isinstance(report, FlowLocation):
            apply_location(forwarder, report, sender, now_ms)
            return
        answer = apply_announcement(forwarder, report, now_ms, now_ms - self.started_ms)
        if answer is not None:
            self.send_report(answer, [sender])

    def _tick(self, harness: ForwarderHarness, announcer: FlowAnnouncer) -> None:
        if harness is self.harness:
            now_ms = self.site.clock.now_ms()
            announcer.handover.send_due(now_ms)
            harness.forwarder.send_due_retries(now_ms)
            harness.forwarder.adoption.adopt_due(now_ms)
            harness.forwarder.expire_flows(now_ms)
            self.site.call_after(TICK_MS, self._tick, harness, announcer)


class _HeldFlow:
    """A flow at an upstream."""

    def __init__(self, sequence: int) -> None:
        self.sequence = sequence
        self.is_open = False
        self.token = 0
        self.answered: set[int] = set()


class SimulatedUpstream:
    """An upstream that resets the packets of flows that it does not hold."""

    def __init__(self, name: str, site: "RestartSite") -> None:
        self.name = name
        self._site = site
        self._flows: dict[FlowKey, _HeldFlow] = {}

    def receive(self, packet: CallerPacket, token: int) -> None:
        """Takes a packet that an instance forwarded."""
        flow = self._flows.get(packet.key)
        if packet.is_opening:
            self._answer_opening(packet, flow, token)
            return
        if flow is not None and not flow.is_open:
            flow.is_open = packet.acknowledged == _advance(flow.sequence, 1)
        if flow is None or not flow.is_open:
            self._site.call_after(
                self._site.caller_link_ms, self._site.reset_flow, packet.key, self.name
            )
            return
        flow.token = token
        if packet.payload_size_bytes:
            is_new = packet.sequence not in flow.answered
            flow.answered.add(packet.sequence)
            work_ms = self._site.rng.randint(*WORK_MS) if is_new else 0
            self._site.call_after(work_ms, self._answer, packet, flow)

    def holds(self, key: FlowKey) -> bool:
        """Whether a flow is open here."""
        flow = self._flows.get(key)
        return flow is not None and flow.is_open

    def _answer_opening(self, packet: CallerPacket, flow: _HeldFlow | None, token: int) -> None:
        if flow is None:
            flow = _HeldFlow(self._site.rng.randrange(_SEQUENCE_MODULUS))
            self._flows[packet.key] = flow
        if flow.is_open:
            return
        flow.token = token
        self._send_handshake(packet.key, flow, token)
        for delay_ms in REPEATED_ANSWERS_MS if self._site.repeats_answers else ():
            self._site.call_after(delay_ms, self._repeat_handshake, packet.key, flow)

    def _repeat_handshake(self, key: FlowKey, flow: _HeldFlow) -> None:
        if not flow.is_open:
            self._send_handshake(key, flow, flow.token)

    def _send_handshake(self, key: FlowKey, flow: _HeldFlow, token: int) -> None:
        is_slow = self._site.rng.random() < self._site.slow_handshake_share
        delay_ms = self._site.rng.randint(*self._site.slow_handshake_ms) if is_slow else 0
        self._site.call_after(
            self._site.caller_link_ms + delay_ms,
            self._site.deliver_handshake,
            key,
            self.name,
            flow.sequence,
            token,
        )

    def _answer(self, packet: CallerPacket, flow: _HeldFlow) -> None:
        self._site.call_after(
            self._site.caller_link_ms,
            self._site.deliver_answer,
            packet.key,
            self.name,
            packet,
            flow.token,
        )


class SimulatedCaller:
    """The caller's end of a flow: some requests with pauses.

    Attributes:
        holder: Upstream whose answer the caller has acknowledged; empty if none.
        outcome: What became of the flow; empty while it goes on.
        was_open: Whether the end of the handshake had reached `holder` when another one reset the
            flow. Only then was the flow open.
    """

    def __init__(self, site: "RestartSite", port: int, habit: TokenHabit) -> None:
        self._site = site
        self.key = FlowKey(_CALLER_IP, port, ORDERS_ADDRESS)
        self.habit = habit
        self.holder = ""
        self.outcome = ""
        self.was_open = False
        self._token = 0
        self._first = site.rng.randrange(_SEQUENCE_MODULUS)
        self._sequence = _advance(self._first, 1)
        self._expected = 0
        self._requests = 0
        self._sent_at_ms = 0
        self._awaited = -1

    def open(self) -> None:
        """Sends the opening packet and its copies."""
        for copy, delay_ms in enumerate(OPEN_COPIES_MS):
            self._site.call_after(delay_ms, self._send_opening, copy)
        self._site.call_after(OPEN_TIMEOUT_MS, self._give_up_opening)

    def take_handshake(self, upstream: str, sequence: int, token: int) -> None:
        """Takes the answer of an upstream to the opening packet."""
        if self.outcome:
            return
        if self.holder:
            if self.habit is TokenHabit.LAST:
                self._token = token
            if self._site.acknowledges_other_answers:
                self._send()
            return
        self.holder = upstream
        self._token = token
        self._expected = _advance(sequence, 1)
        self._send()
        self._request()

    def take_answer(self, upstream: str, packet: CallerPacket, token: int) -> None:
        """Takes the answer to a request."""
        if self.outcome:
            return
        if self.habit is not TokenHabit.FIRST and upstream == self.holder:
            self._token = token
        if packet.sequence != self._awaited:
            return
        self._awaited = -1
        self._site.silences_ms.append(self._site.clock.now_ms() - self._sent_at_ms)
        self._expected = _advance(self._expected, 100)
        self._send()
        if self._requests < REQUESTS_PER_FLOW:
            self._site.call_after(self._site.rng.randint(*PAUSE_MS), self._request)
        else:
            self._finish("done")

    def take_reset(self, sender: str) -> None:
        """Takes a reset."""
        if self.outcome:
            return
        if self.holder and sender != self.holder:
            self.was_open = self._site.upstreams[self.holder].holds(self.key)
            self._finish("reset_by_other")
        else:
            self._finish("reset" if self.holder else "refused")

    def _send_opening(self, copy: int) -> None:
        if not self.holder and not self.outcome:
            packet = self._build(self._first, copy, is_opening=True)
            self._site.call_after(self._site.caller_link_ms, self._site.route, packet)

    def _give_up_opening(self) -> None:
        if not self.holder and not self.outcome:
            self._finish("not_opened")

    def _request(self) -> None:
        if self.outcome:
            return
        self._requests += 1
        self._sent_at_ms = self._site.clock.now_ms()
        self._awaited = self._sequence
        self._sequence = _advance(self._sequence, 100)
        self._transmit(self._awaited, RETRANSMIT_FIRST_MS)

    def _transmit(self, sequence: int, wait_ms: int) -> None:
        if self.outcome or self._awaited != sequence:
            return
        if self._site.clock.now_ms() - self._sent_at_ms >= DEADLINE_MS:
            self._finish("timed_out")
            return
        self._site.call_after(
            self._site.caller_link_ms, self._site.route, self._build(sequence, size=100)
        )
        self._site.call_after(
            wait_ms, self._transmit, sequence, min(RETRANSMIT_MAX_MS, 2 * wait_ms)
        )

    def _send(self) -> None:
        self._site.call_after(
            self._site.caller_link_ms, self._site.route, self._build(self._sequence)
        )

    def _finish(self, outcome: str) -> None:
        self.outcome = outcome
        self._site.outcomes[outcome] += 1

    def _build(
        self, sequence: int, acknowledged: int = -1, size: int = 0, is_opening: bool = False
    ) -> CallerPacket:
        return CallerPacket(
            key=self.key,
            is_opening=is_opening,
            is_close=False,
            is_reset=False,
            sequence=sequence,
            acknowledged=self._expected if acknowledged < 0 else acknowledged,
            token=self._token,
            payload_size_bytes=size,
            datagram=b"",
        )


class RestartSite:
    """The data centre, its events and what became of the flows.

    Args:
        seed: Seed of all random choices.
        is_steady: Whether the routers use the steady hash; they use the remainder otherwise.

    Attributes:
        outcomes: Number of flows by outcome. `reset_by_other` counts open flows that were reset by
            an instance or an upstream that does not hold them.
        silences_ms: Times that requests waited for their answers.
        counts: Counts of all processes of instances that have ended.
        messages: Number of messages between instances.
        announcers: Announcers of all processes of instances.
        message_loss_share: Share of these messages that is lost.
        caller_link_ms: One way between callers and instances or upstreams.
        slow_handshake_share: Share of the answers to opening packets that are late.
        slow_handshake_ms: Shortest and longest delay of these answers.
        packet_loss_share: Share of the packets of callers that is lost.
        repeats_answers: Whether upstreams repeat their answers to opening packets.
        acknowledges_other_answers: Whether callers acknowledge such answers on an open flow.
    """

    def __init__(self, seed: int, is_steady: bool = True) -> None:
        self.clock = ManualClock(START_MS)
        self.rng = random.Random(seed)
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.counts: collections.Counter[str] = collections.Counter()
        self.silences_ms: list[int] = []
        self.messages = 0
        self.announcers: list[FlowAnnouncer] = []
        self.message_loss_share = 0.0
        self.caller_link_ms = CALLER_LINK_MS
        self.slow_handshake_share = SLOW_HANDSHAKE_SHARE
        self.slow_handshake_ms = SLOW_HANDSHAKE_MS
        self.packet_loss_share = 0.0
        self.repeats_answers = False
        self.acknowledges_other_answers = False
        self.evacuated: set[str] = set()
        self.records: dict[str, UpstreamRecord] = {}
        self.upstreams: dict[str, SimulatedUpstream] = {}
        self.instances: list[SimulatedInstance] = []
        self.callers: dict[FlowKey, SimulatedCaller] = {}
        self._is_steady = is_steady
        self._queue: list[tuple[int, int, Callable[..., None], tuple[object, ...]]] = []
        self._sequence = 0

    @property
    def withheld(self) -> int:
        """Number of messages between instances that their rate limit did not allow."""
        return sum(a.withheld_count + a.handover.withheld_count for a in self.announcers)

    def count_reset_open_flows(self) -> int:
        """Returns the number of open flows that were reset by one that does not hold them."""
        return sum(caller.was_open for caller in self.callers.values())

    def build(self, instances: int, upstreams: int, remote_instances: int = 0) -> None:
        """Starts instances, and upstreams in two data centres.

        Instances of the data centre in which the callers are not get packets only while none of the
        other one is in rotation.
        """
        for number in range(upstreams):
            self.put_upstream(f"u-{number}", "east" if number % 3 else "west")
        self.instances = [
            *(SimulatedInstance(f"edge-{n}", self) for n in range(instances)),
            *(SimulatedInstance(f"far-{n}", self, "west") for n in range(remote_instances)),
        ]
        for instance in self.instances:
            instance.start()
            instance.is_in_rotation = True

    def put_upstream(self, name: str, data_centre: str, is_draining: bool = False) -> None:
        """Starts an upstream or changes its record."""
        self.upstreams.setdefault(name, SimulatedUpstream(name, self))
        record = build_upstream(name, data_centre, is_draining=is_draining)
        self.records[name] = record
        for instance in self.instances:
            if instance.harness is not None:
                instance.harness.state.put_upstream(record, self.clock.now_ms())

    def set_evacuated(self, data_centre: str, is_evacuated: bool) -> None:
        """Starts or ends the evacuation of a data centre."""
        (self.evacuated.add if is_evacuated else self.evacuated.discard)(data_centre)
        for instance in self.instances:
            if instance.harness is not None:
                instance.harness.state.set_evacuated(data_centre, is_evacuated)

    def call_after(self, delay_ms: int, call: Callable[..., None], *arguments: object) -> None:
        """Schedules a call."""
        self._sequence += 1
        due_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self._queue, (due_ms, self._sequence, call, arguments))

    def run(self, duration_ms: int) -> None:
        """Handles the events of a time span."""
        end_ms = self.clock.now_ms() + duration_ms
        while self._queue and self._queue[0][0] <= end_ms:
            due_ms, _, call, arguments = heapq.heappop(self._queue)
            self.clock.advance(due_ms - self.clock.now_ms())
            call(*arguments)
        self.clock.advance(end_ms - self.clock.now_ms())

    def open_flows(self, count: int, interval_ms: int, habits: list[TokenHabit]) -> None:
        """Opens flows at a regular interval, each with the next habit."""
        for number in range(count):
            caller = SimulatedCaller(self, 1_024 + number, habits[number % len(habits)])
            self.callers[caller.key] = caller
            self.call_after(number * interval_ms, caller.open)

    def stop_and_start(self, instance: SimulatedInstance) -> None:
        """Stops an instance as planned and starts it again."""
        instance.leave()
        self.call_after(ROTATION_LAG_MS, self._set_rotation, instance, False)
        self.call_after(STOP_MS, self._end_and_start, instance)

    def kill_and_start(self, instance: SimulatedInstance) -> None:
        """Kills an instance and starts it again once it is out of rotation."""
        instance.end()
        self.call_after(ROTATION_LAG_MS, self._set_rotation, instance, False)
        self.call_after(STOP_MS, self._start, instance)

    def route(self, packet: CallerPacket) -> None:
        """Hands a packet to the instance that the routers choose."""
        if self.packet_loss_share and self.rng.random() < self.packet_loss_share:
            return
        ready = self._list_used_instances()
        if not ready:
            return
        by_name = {found.name: found for found in ready}
        text = repr(packet.key)
        if self._is_steady:
            by_name[rank_by_rendezvous(text, by_name)[0]].receive(packet)
        else:
            ready[hash_text(text) % len(ready)].receive(packet)

    def _list_used_instances(self) -> list[SimulatedInstance]:
        """Returns the instances that the routers use, all of a data centre if most have failed."""
        for data_centre in ("east", "west"):
            found = [one for one in self.instances if one.data_centre == data_centre]
            ready = [one for one in found if one.is_in_rotation]
            if ready:
                return ready if 2 * len(ready) >= len(found) else found
        return []

    def deliver_handshake(self, key: FlowKey, upstream: str, sequence: int, token: int) -> None:
        """Hands the answer to an opening packet to its caller."""
        self.callers[key].take_handshake(upstream, sequence, token)

    def deliver_answer(self, key: FlowKey, upstream: str, packet: CallerPacket, token: int) -> None:
        """Hands the answer to a request to its caller."""
        self.callers[key].take_answer(upstream, packet, token)

    def reset_flow(self, key: FlowKey, sender: str) -> None:
        """Hands a reset to its caller."""
        self.callers[key].take_reset(sender)

    def count_process(self, harness: ForwarderHarness | None) -> None:
        """Adds the counts of a process that ends."""
        if harness is not None:
            self.counts.update(harness.forwarder.counts)

    def _set_rotation(self, instance: SimulatedInstance, is_in_rotation: bool) -> None:
        instance.is_in_rotation = is_in_rotation

    def _end_and_start(self, instance: SimulatedInstance) -> None:
        instance.end()
        self.call_after(START_MS_AFTER_END, self._start, instance)

    def _start(self, instance: SimulatedInstance) -> None:
        instance.start()
        self.call_after(READY_MS_AFTER_START, self._set_rotation, instance, True)


def _advance(sequence: int, count: int) -> int:
    return (sequence + count) % _SEQUENCE_MODULUS
