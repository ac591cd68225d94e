"""A seeded model of instances, fabric, callers and the configuration log, for benches.

Packets, messages and entries are lost, repeated, delayed and reordered. Each instance has its
own view of the others and gets entries at its own time.
"""

import random
from collections.abc import Callable

import msgspec

from catkinspread.bench.deployments import Deployment, start_effects, write_entry
from catkinspread.bench.events import EventQueue
from catkinspread.configuration import Effect, apply_entry
from catkinspread.model import Configuration, InstanceIncarnation
from catkinspread.routing import (
    AppendEntry,
    BufferPacket,
    DropPacket,
    ForwardToOwner,
    MemberView,
    OwnerAction,
    PacketKind,
    ReleasePackets,
    ResetFlow,
    RouteAction,
    RoutingLimits,
    SendMessage,
    SendToUpstream,
    SlotRouter,
)


class ClusterOptions(msgspec.Struct, frozen=True):
    """Faults and times of a model.

    Attributes:
        entry_delay_max_ms: Longest time until an instance has an entry.
        loss: Share of packets and messages that are lost.
        duplicates: Share of packets and messages that arrive twice.
        late_share: Share of packets that are delayed by up to `late_max_ms`.
        late_max_ms: Longest delay by the fabric.
        tick_ms: Time between two ticks of an instance.
        limits: Limits of the routing.
    """

    entry_delay_max_ms: int = 2_500
    loss: float = 0.005
    duplicates: float = 0.005
    late_share: float = 0.01
    late_max_ms: int = 200
    tick_ms: int = 50
    # The idle time is 20 s instead of 300 s, so that a run covers whole transitions; the flows
    # of the benches are silent for at most 6 s.
    limits: RoutingLimits = RoutingLimits(flow_idle_timeout_ms=20_000)


class Instance:
    """A modelled instance with its router and its view."""

    __slots__ = (
        "data_centre",
        "died_ms",
        "held",
        "incarnation",
        "is_leaving",
        "name",
        "paused_since_ms",
        "paused_until_ms",
        "router",
        "view",
    )

    def __init__(
        self, name: str, data_centre: str, incarnation: int, limits: RoutingLimits
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.incarnation = incarnation
        self.router = SlotRouter(InstanceIncarnation(name, incarnation), limits)
        self.view: dict[str, MemberView] = {}
        self.held: dict[tuple[str, int], list[tuple[PacketKind, object]]] = {}
        self.died_ms: int | None = None
        self.is_leaving = False
        self.paused_until_ms = 0

    @property
    def silent_since_ms(self) -> int:
        """Since when the others hear nothing, if it is dead or paused."""
        return self.paused_since_ms if self.died_ms is None else self.died_ms

    @property
    def is_alive(self) -> bool:
        """Whether the process runs."""
        return self.died_ms is None

    def describe(self) -> MemberView:
        """Returns what it tells about itself."""
        return MemberView(
            self.name, self.incarnation, self.data_centre, self.router.version, self.is_leaving
        )


# Called with (time, instance, packet kind, flow, action) for each decision that is final.
Observer = Callable[[int, Instance, PacketKind, object, RouteAction], None]

_HEARTBEAT_MS = 500
_DEAD_AFTER_MS = 2_000
# Share of heartbeat rounds in which an instance hears news of a given other one.
_NEWS_SHARE = 0.6


class Cluster:
    """Nine instances in three data centres with a log, a fabric and messages.

    Flows are any objects with the attributes `service` and `hash`.
    """

    def __init__(
        self, deployment: Deployment, seed: int, options: ClusterOptions, observer: Observer
    ) -> None:
        self.deployment = deployment
        self.options = options
        self.random = random.Random(seed)
        self.queue = EventQueue(start_ms=1_000_000)
        self.configurations = [Configuration()]
        self.instances: dict[str, Instance] = {}
        self.fabric: list[Instance] = []
        self.message_bytes = 0
        self._observer = observer
        self._incarnations = 0
        self._encoder = msgspec.msgpack.Encoder()
        self._append(start_effects(deployment))
        for data_centre in deployment.data_centres:
            for number in (1, 2, 3):
                self.start_instance(f"{data_centre}-i{number}", data_centre)
        views = {name: instance.describe() for name, instance in self.instances.items()}
        for instance in self.instances.values():
            instance.view = dict(views)
            instance.router.set_members(views.values(), self.now_ms)

    @property
    def now_ms(self) -> int:
        """Current time of the model."""
        return self.queue.clock.now_ms()

    @property
    def configuration(self) -> Configuration:
        """The configuration after the last entry of the log."""
        return self.configurations[-1]

    def start_instance(self, name: str, data_centre: str) -> Instance:
        """Starts a new run of an instance, which gets its configuration from any peer."""
        self._incarnations += 1
        instance = Instance(name, data_centre, self._incarnations, self.options.limits)
        peers = [peer for peer in self.instances.values() if peer.is_alive]
        version = self.configuration.version
        if peers:
            # The peer may be behind, and its view may be old.
            peer = self.random.choice(peers)
            version = peer.router.version
            instance.view = dict(peer.view)
        instance.router.apply(self.configurations[version], self.now_ms)
        self.instances[name] = instance
        instance.view[name] = instance.describe()
        instance.router.record_contact(version, self.now_ms)
        instance.router.set_members(instance.view.values(), self.now_ms)
        self.fabric.append(instance)
        self._deliver(instance, self.configuration.version)
        self.queue.schedule(
            self.random.randrange(self.options.tick_ms), lambda: self._tick(instance)
        )
        delay_ms = self.random.randrange(_HEARTBEAT_MS)
        self.queue.schedule(delay_ms, lambda: self._hear(instance))
        return instance

    def kill_instance(self, name: str) -> None:
        """Stops an instance without warning; the fabric notices after up to 500 ms."""
        instance = self.instances[name]
        if not instance.is_alive:
            return
        instance.died_ms = self.now_ms
        self.queue.schedule(self.random.randrange(500), lambda: self._withdraw(instance))

    def pause_instance(self, name: str, duration_ms: int) -> None:
        """Stops an instance for a while; what arrives meanwhile is handled at its end."""
        self.instances[name].paused_since_ms = self.now_ms
        self.instances[name].paused_until_ms = self.now_ms + duration_ms

    def leave_instance(self, name: str) -> None:
        """Stops an instance after it has handed over its groups."""
        self.instances[name].is_leaving = True
        self._finish_leaving(self.instances[name])

    def append(self, effects: tuple[Effect, ...]) -> int:
        """Appends an entry of an operator and returns its version."""
        self._append(effects)
        for instance in list(self.instances.values()):
            self._deliver(instance, self.configuration.version)
        return self.configuration.version

    def send(self, kind: PacketKind, flow: object) -> None:
        """Lets a caller send a packet through the fabric."""
        if self.random.random() < self.options.loss:
            return
        copies = 2 if self.random.random() < self.options.duplicates else 1
        for _ in range(copies):
            instance = self.random.choice(self.fabric)
            delay_ms = 3 + int(self.random.random() * 4)
            if self.random.random() < self.options.late_share:
                delay_ms += self.random.randrange(self.options.late_max_ms)
            self.queue.schedule(delay_ms, lambda to=instance: self._arrive(to, kind, flow))

    def _append(self, effects: tuple[Effect, ...]) -> None:
        index = self.configuration.version + 1
        written_ms = self.now_ms + self.random.randrange(-400, 400)
        entry = write_entry(effects, written_ms)
        self.configurations.append(apply_entry(self.configuration, index, entry))

    def _deliver(self, instance: Instance, version: int) -> None:
        delay_ms = 20 + int(self.random.random() * self.options.entry_delay_max_ms)
        self.queue.schedule(delay_ms, lambda: self._apply(instance, version))

    def _apply(self, instance: Instance, version: int) -> None:
        if self._is_deferred(instance, lambda: self._apply(instance, version)):
            return
        while instance.is_alive and instance.router.version < version:
            following = self.configurations[instance.router.version + 1]
            instance.router.apply(following, self.now_ms)

    def _withdraw(self, instance: Instance) -> None:
        if instance in self.fabric:
            self.fabric.remove(instance)

    def _finish_leaving(self, instance: Instance) -> None:
        if not instance.is_alive:
            return
        if instance.router.owner.is_handover_complete:
            self._withdraw(instance)
            self.queue.schedule(1_000, lambda: self.kill_instance(instance.name))
            return
        self.queue.schedule(200, lambda: self._finish_leaving(instance))

    def _is_deferred(self, instance: Instance, event: Callable[[], None]) -> bool:
        """Returns whether an instance is paused; its event is then kept for later."""
        pause_ms = instance.paused_until_ms - self.now_ms
        if pause_ms <= 0 or not instance.is_alive:
            return False
        self.queue.schedule(pause_ms, event)
        return True

    def _tick(self, instance: Instance) -> None:
        if self._is_deferred(instance, lambda: self._tick(instance)) or not instance.is_alive:
            return
        self._run_actions(instance, instance.router.tick(self.now_ms))
        if instance.router.needs_contact and instance.paused_until_ms:
            instance.paused_until_ms = 0
            self._incarnations += 1
            instance.incarnation = self._incarnations
            self._run_actions(instance, instance.router.rejoin(instance.incarnation))
        self.queue.schedule(self.options.tick_ms, lambda: self._tick(instance))

    def _hear(self, instance: Instance) -> None:
        if self._is_deferred(instance, lambda: self._hear(instance)) or not instance.is_alive:
            return
        alive: list[Instance] = []
        for peer in self.instances.values():
            seen = instance.view.get(peer.name)
            if peer.is_alive and peer.paused_until_ms <= self.now_ms:
                alive.append(peer)
                if peer is instance or self.random.random() < _NEWS_SHARE:
                    instance.view[peer.name] = peer.describe()
            elif seen is not None and seen.incarnation == peer.incarnation:
                detection_ms = _DEAD_AFTER_MS + self.random.randrange(2 * _HEARTBEAT_MS)
                silent_ms = self.now_ms - peer.silent_since_ms
                if silent_ms > detection_ms:
                    del instance.view[peer.name]
        self._run_actions(
            instance, instance.router.set_members(instance.view.values(), self.now_ms)
        )
        instance.router.record_contact(self.random.choice(alive).router.version, self.now_ms)
        self.queue.schedule(_HEARTBEAT_MS, lambda: self._hear(instance))

    def _arrive(self, instance: Instance, kind: PacketKind, flow: object) -> None:
        if self._is_deferred(instance, lambda: self._arrive(instance, kind, flow)):
            return
        if instance.is_alive:
            action = instance.router.route(kind, flow.service, flow.hash, self.now_ms)
            self._act(instance, kind, flow, action)

    def _act(self, instance: Instance, kind: PacketKind, flow: object, action: RouteAction) -> None:
        match action:
            case SendToUpstream() | DropPacket() | ResetFlow():
                self._observer(self.now_ms, instance, kind, flow, action)
            case BufferPacket():
                instance.held.setdefault((flow.service, flow.hash), []).append((kind, flow))
            case ForwardToOwner(member, header):
                self._transmit(lambda: self._arrive_forwarded(member, header, flow))

    def _arrive_forwarded(self, member: InstanceIncarnation, header, flow: object) -> None:
        instance = self.instances[member.instance]
        if self._is_deferred(instance, lambda: self._arrive_forwarded(member, header, flow)):
            return
        if instance.is_alive and instance.incarnation == member.incarnation:
            action = instance.router.route_forwarded(header, self.now_ms)
            self._act(instance, header.kind, flow, action)

    def _run_actions(self, instance: Instance, actions: list[OwnerAction]) -> None:
        for action in actions:
            match action:
                case SendMessage(name, message):
                    self.message_bytes += len(self._encoder.encode(message))
                    self._send_message(instance, name, message)
                case ReleasePackets(service, flow_hash, released):
                    for kind, flow in instance.held.pop((service, flow_hash), ()):
                        self._act(instance, kind, flow, released)
                case AppendEntry():
                    delay_ms = 5 + self.random.randrange(30)
                    self.queue.schedule(delay_ms, lambda asked=action: self._append_if(asked))

    def _send_message(self, sender: Instance, name: str, message) -> None:
        def arrive() -> None:
            receiver = self.instances[name]
            if self._is_deferred(receiver, arrive):
                return
            if receiver.is_alive:
                actions = receiver.router.handle(sender.name, message, self.now_ms)
                self._run_actions(receiver, actions)

        self._transmit(arrive)

    def _transmit(self, arrive: Callable[[], None]) -> None:
        if self.random.random() < self.options.loss:
            return
        copies = 2 if self.random.random() < self.options.duplicates else 1
        for _ in range(copies):
            self.queue.schedule(1 + int(self.random.random() * 8), arrive)

    def _append_if(self, asked: AppendEntry) -> None:
        if asked.expected_version == self.configuration.version:
            self.append(asked.effects)
