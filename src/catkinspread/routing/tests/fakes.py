"""Simulated fleet of routers with manual time, message delivery and membership views.

The fleet has the upstreams of KALAHARI, a reference deployment of the benches, and its data
centres khomas-1 to khomas-3.
"""

from catkinspread.bench.deployments import KALAHARI, move_effects, start_effects, write_entry
from catkinspread.configuration import Effect, apply_entry
from catkinspread.model import Configuration, InstanceIncarnation, OwnerGroup, UpstreamState
from catkinspread.routing import (
    AppendEntry,
    BufferPacket,
    ForwardToOwner,
    MemberView,
    PacketKind,
    ReleasePackets,
    RouteAction,
    RoutingLimits,
    SendMessage,
    SlotRouter,
)

SERVICE = "recipe-desk"
OLD = "recipe-desk-1"
LIMITS = RoutingLimits(flow_idle_timeout_ms=20_000)
_TICK_MS = 50


class Fleet:
    """Instances i0, i1, ... in three data centres; i0 to i2 own the transitions.

    Attributes:
        now_ms: Time of all instances.
        limits: Time-outs and limits of all routers.
        configurations: Configuration by version.
        routers: Router by instance, including the instances that have crashed.
        views: For each instance, the live instances that it knows, by name.
        dead: Time in ms at which each crashed instance crashed.
        leaving: Instances that announce that they are shutting down.
        lost_links: Pairs (sender, receiver); the messages from sender to receiver are lost.
        delayed: Instances that receive entries only through `deliver`.
        paused: Instances whose event loop is paused; they neither route nor send or receive.
        unheard_links: Pairs (viewer, peer); the viewer receives no heartbeats of the peer.
        appended: Effects of the entries that the routers requested and that were appended.
        released: By flow hash, the action for its packets that was last released.
    """

    def __init__(self, size: int = 6, limits: RoutingLimits = LIMITS) -> None:
        self.now_ms = 1_000_000
        self.limits = limits
        self.configurations = [Configuration()]
        self.routers: dict[str, SlotRouter] = {}
        self.views: dict[str, dict[str, MemberView]] = {}
        self.dead: dict[str, int] = {}
        self.leaving: set[str] = set()
        self.lost_links: set[tuple[str, str]] = set()
        self.delayed: set[str] = set()
        self.paused: set[str] = set()
        self.unheard_links: set[tuple[str, str]] = set()
        self.appended: list[Effect] = []
        self.released: dict[int, RouteAction] = {}
        self._next_heartbeat_ms = 0
        self.append(*start_effects(KALAHARI))
        for number in range(size):
            self.start(f"i{number}")
        self.run(5_000)

    @property
    def alive(self) -> list[str]:
        """Names of the running instances."""
        return [name for name in self.routers if name not in self.dead]

    @property
    def configuration(self) -> Configuration:
        """Configuration after the last entry."""
        return self.configurations[-1]

    @property
    def group(self) -> OwnerGroup:
        """Owner group of new transitions."""
        return OwnerGroup(tuple(InstanceIncarnation(f"i{number}", 1) for number in range(3)))

    def start(self, name: str, version: int | None = None) -> None:
        """Starts an instance that has applied the entries up to a version; all if None."""
        self.routers[name] = SlotRouter(InstanceIncarnation(name, 1), self.limits)
        self.views[name] = {}
        version = len(self.configurations) - 1 if version is None else version
        self.routers[name].apply(self.configurations[version], self.now_ms)
        self.routers[name].record_contact(version, self.now_ms)

    def kill(self, name: str) -> None:
        """Crashes an instance; the others detect it 2 s later."""
        self.dead[name] = self.now_ms

    def append(self, *effects: Effect) -> None:
        """Appends an entry; instances that are not delayed receive it immediately."""
        index = len(self.configurations)
        entry = write_entry(effects, self.now_ms)
        self.configurations.append(apply_entry(self.configuration, index, entry))
        for name in self.alive:
            if name not in self.delayed:
                self.deliver(name)

    def deliver(self, name: str) -> None:
        """Delivers all entries to an instance."""
        router = self.routers[name]
        for configuration in self.configurations[router.version + 1 :]:
            router.apply(configuration, self.now_ms)

    def drain(self, name: str = OLD) -> list[int]:
        """Drains an upstream and returns the slots in transition."""
        return self.set_upstream_state(name, UpstreamState.DRAINING)

    def set_upstream_state(self, name: str, state: UpstreamState) -> list[int]:
        """Sets the state of an upstream, moves its slots and returns the slots in transition."""
        before = self.configuration.upstreams[name]
        values = {field: getattr(before, field) for field in before.__struct_fields__}
        changed = type(before)(**{**values, "state": state})
        self.append(*move_effects(self.configuration, {name: changed}, {}, self.group))
        return sorted(self.configuration.slot_tables[SERVICE].transitions)

    def route(self, via: str, flow: int, kind: PacketKind = PacketKind.DATA) -> RouteAction:
        """Sends a packet through an instance and returns the final action.

        The action is `BufferPacket` for an open that is not released within one tick.
        """
        self.released.pop(flow, None)
        action = self.routers[via].route(kind, SERVICE, flow, self.now_ms)
        while isinstance(action, ForwardToOwner):
            name = action.member.instance
            if name in self.dead or name in self.paused:
                return action
            action = self.routers[name].route_forwarded(action.header, self.now_ms)
        if isinstance(action, BufferPacket):
            self.run(_TICK_MS)
            return self.released.get(flow, action)
        return action

    def find_upstream(self, via: str, flow: int, kind: PacketKind = PacketKind.DATA) -> str:
        """Returns the name of the upstream that a packet reaches; empty if it is dropped."""
        action = self.route(via, flow, kind)
        upstream = getattr(action, "upstream", "")
        return getattr(upstream, "name", "")

    def open(self, via: str, flow: int) -> str:
        """Opens a flow and returns the name of its upstream."""
        return self.find_upstream(via, flow, PacketKind.OPEN)

    def run(self, duration_ms: int) -> None:
        """Advances the time with ticks, heartbeats and messages."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += _TICK_MS
            if self.now_ms >= self._next_heartbeat_ms:
                self._next_heartbeat_ms = self.now_ms + 500
                self.exchange_heartbeats()
            for name in self.alive:
                if name not in self.paused:
                    self._execute(name, self.routers[name].tick(self.now_ms))

    def exchange_heartbeats(self) -> None:
        """Updates the membership view of every instance that runs."""
        for viewer in self.alive:
            if viewer in self.paused:
                continue
            view = self.views[viewer]
            for name, router in self.routers.items():
                if (viewer, name) in self.unheard_links:
                    continue
                if name not in self.dead and name not in self.paused:
                    number = int(name[1:]) % 3
                    incarnation = router.owner.member.incarnation
                    is_leaving = name in self.leaving
                    view[name] = MemberView(
                        name, incarnation, f"khomas-{number + 1}", router.version, is_leaving
                    )
                elif self.now_ms - self.dead.get(name, self.now_ms) >= 2_000:
                    view.pop(name, None)
            router = self.routers[viewer]
            self._execute(viewer, router.set_members(view.values(), self.now_ms))
            router.record_contact(router.version, self.now_ms)

    def _execute(self, name: str, actions) -> None:
        for action in actions:
            match action:
                case SendMessage(receiver, message):
                    is_lost = (name, receiver) in self.lost_links or receiver in self.paused
                    if not is_lost and receiver not in self.dead:
                        router = self.routers[receiver]
                        self._execute(receiver, router.handle(name, message, self.now_ms))
                case ReleasePackets(_, flow, released):
                    self.released[flow] = released
                case AppendEntry(expected_version, effects):
                    if expected_version == len(self.configurations) - 1:
                        self.appended.extend(effects)
                        self.append(*effects)


def flows_in_slots(slots: list[int], count: int = 8) -> list[int]:
    """Returns flow hashes that belong to slots."""
    return [1024 * (index + 1) + slots[index % len(slots)] for index in range(count)]
