"""The role of an instance as a member of owner groups."""

from collections.abc import Iterable

from catkinspread.model import SLOT_COUNT, Configuration, InstanceIncarnation
from catkinspread.routing.actions import (
    BufferPacket,
    DropPacket,
    DropReason,
    OwnerAction,
    PacketKind,
    ReleasePackets,
    RouteAction,
    SendMessage,
    SendToUpstream,
)
from catkinspread.routing.batches import BatchTable, TransitionBatch, TransitionPhase
from catkinspread.routing.counters import OwnerCounters
from catkinspread.routing.groups import LiveMembers
from catkinspread.routing.limits import RoutingLimits
from catkinspread.routing.listing import ListingCoordinator
from catkinspread.routing.messages import (
    AnnounceListing,
    ForgetPins,
    ListingAcknowledged,
    PinnedFlows,
    PinsStored,
    ReplicatePins,
    RoutingMessage,
)
from catkinspread.routing.pins import PinTable
from catkinspread.routing.regroup import GroupCoordinator
from catkinspread.routing.replication import FlowKey, PinReplicator, group_flows
from catkinspread.routing.resolution import is_closed_to_new_flows, resolve_upstream


class TransitionOwner:
    """Routes flows of slots in transition and advances transitions through their phases.

    Every instance has one, also those that are in no owner group, because any instance may have to
    replace a group whose members have all failed. It does no I/O: it takes events with their times
    and returns actions.
    """

    __slots__ = (
        "_last_membership_version",
        "_last_step_ms",
        "_member",
        "batches",
        "configuration",
        "counters",
        "group_coordinator",
        "limits",
        "listing_coordinator",
        "members",
        "pins",
        "replicator",
    )

    def __init__(self, member: InstanceIncarnation, limits: RoutingLimits) -> None:
        self._member = member
        self._last_membership_version = 0
        self._last_step_ms = 0
        self.limits = limits
        self.configuration = Configuration()
        self.members = LiveMembers()
        self.batches = BatchTable(limits)
        self.pins = PinTable()
        self.replicator = PinReplicator(limits)
        self.counters = OwnerCounters()
        self.group_coordinator = GroupCoordinator(self)
        self.listing_coordinator = ListingCoordinator(self)

    @property
    def member(self) -> InstanceIncarnation:
        """Name and incarnation of this instance."""
        return self._member

    @property
    def is_acting(self) -> bool:
        """Whether this instance is the acting member for any slot in transition."""
        return any(batch.is_acting for batch in self.batches)

    @property
    def is_handover_complete(self) -> bool:
        """Whether no instance forwards packets to this one any longer, so that it may stop."""
        if any(self._member in batch.group.members for batch in self.batches):
            return False
        return self.members.have_all_reported(self._last_membership_version)

    def rejoin(self, member: InstanceIncarnation) -> list[OwnerAction]:
        """Leaves all groups and discards all pins, as the others may have considered it failed.

        Pins that successors created in the meantime did not reach this instance, so it must not
        route with its old incarnation. It receives pins again when it joins a group.
        """
        keys = self.replicator.clear()
        self._member = member
        self.pins = PinTable()
        drop = DropPacket(DropReason.NOT_READY)
        return [ReleasePackets(service, flow, drop) for service, flow in keys]

    def apply(self, configuration: Configuration, now_ms: int) -> None:
        """Applies a new configuration; configurations must be applied in order of version."""
        self.configuration = configuration
        was_member = any(self._member in batch.group.members for batch in self.batches)
        changes = self.batches.apply(configuration, now_ms)
        if was_member:
            self._last_membership_version = configuration.version
        self._update_acting_members()
        for batch in changes.retargeted:
            self.restart_idle_timer(batch, now_ms)
        for service, slots in changes.ended.items():
            for slot in slots:
                self.pins.remove_slot(service, slot, configuration.version)

    def set_members(self, members: LiveMembers) -> list[OwnerAction]:
        """Replaces the set of live instances."""
        self.members = members
        self._update_acting_members()
        alive = frozenset(member.name for member in members)
        return self._release(self.replicator.retain_members(alive))

    def _update_acting_members(self) -> None:
        for batch in self.batches:
            batch.acting_member = self.members.find_acting(batch.group)

    def find_base_upstream(self, service: str, flow: int) -> str:
        """Returns the name of the base upstream of a flow."""
        table = self.configuration.slot_tables[service]
        return table.bases[flow % SLOT_COUNT].find_upstream(flow)

    def list_replicas(self, batch: TransitionBatch) -> list[str]:
        """Returns the names of the replicas of a batch.

        They must acknowledge the pin of an open before the buffered open is sent.
        """
        names = [
            member.instance
            for member in (*batch.group.members, *batch.former_members)
            if member != self._member and self.members.is_alive(member)
        ]
        return names + [name for name in batch.joining_members if name not in names]

    def restart_idle_timer(self, batch: TransitionBatch, now_ms: int) -> None:
        """Restarts the listing timer and the generation of the pins of a batch.

        No pin is removed as idle within the next full idle time-out.
        """
        batch.listing_timer_started_ms = now_ms
        batch.generation_started_ms = now_ms
        self.pins.restart_idle_timer(batch.service, batch.slots)

    def route_in_transition(
        self, kind: PacketKind, service: str, flow: int, now_ms: int
    ) -> RouteAction:
        """Returns the action for a packet of a slot in transition.

        Args:
            kind: Whether the packet opens or closes its flow.
            service: Service of the address that the packet was sent to.
            flow: 64-bit flow hash, whose slot must be in transition in the applied configuration;
                otherwise an AttributeError is raised.
            now_ms: Current time in ms.
        """
        batch = self.batches.find(service, flow % SLOT_COUNT)
        batch.last_routed_ms = now_ms
        if self.replicator.is_pending(service, flow):
            self.replicator.restart_wait(service, flow, now_ms)
            return BufferPacket()
        pinned = self.pins.touch(service, flow)
        if pinned is not None:
            action = self._route_pinned(kind, service, flow, pinned, now_ms)
            if action is not None:
                return action
        if kind is PacketKind.OPEN:
            return self._route_open(batch, flow, now_ms)
        return self._route_unknown(kind, batch, flow, now_ms)

    def _route_pinned(
        self, kind: PacketKind, service: str, flow: int, pinned: str, now_ms: int
    ) -> RouteAction | None:
        """Returns the action for a packet of a flow with a pin.

        None means that the packet is an open that the pinned upstream cannot serve, so that the
        flow must get a new upstream.
        """
        action = resolve_upstream(self.configuration, service, pinned, kind)
        if not isinstance(action, SendToUpstream):
            return None if kind is PacketKind.OPEN else action
        if kind is PacketKind.CLOSE:
            self.pins.close(service, flow, now_ms + self.limits.close_linger_ms)
        elif kind is PacketKind.OPEN and self.pins.is_closing(service, flow):
            if is_closed_to_new_flows(self.configuration, pinned):
                return DropPacket(DropReason.FLOW_CLOSING)
            self.pins.reopen(service, flow)
        return action

    def _route_open(self, batch: TransitionBatch, flow: int, now_ms: int) -> RouteAction:
        service = batch.service
        base = self.find_base_upstream(service, flow)
        upstream = base
        is_full = len(self.pins) >= self.limits.pins_max or self.replicator.is_full
        if batch.phase is not TransitionPhase.HOLD:
            upstream = self._find_target(service, flow)
            if is_full and upstream != base:
                # Without a pin the next packet goes to the base upstream, so the open must go
                # there too.
                if is_closed_to_new_flows(self.configuration, base):
                    return DropPacket(DropReason.PIN_LIMIT)
                upstream = base
        action = resolve_upstream(self.configuration, service, upstream, PacketKind.OPEN)
        if not isinstance(action, SendToUpstream):
            return action
        if is_full:
            self.restart_idle_timer(batch, now_ms)
            return action
        self.pins.set(service, flow, upstream, self.configuration.version)
        # An open that goes to the base upstream is replicated too, because a replica may still
        # have a pin of an earlier attempt to another upstream. In HOLD none has such a pin.
        replicas = [] if batch.phase is TransitionPhase.HOLD else self.list_replicas(batch)
        if not replicas:
            return action
        self.replicator.replicate(service, flow, upstream, replicas, now_ms)
        return BufferPacket()

    def _route_unknown(
        self, kind: PacketKind, batch: TransitionBatch, flow: int, now_ms: int
    ) -> RouteAction:
        service = batch.service
        if batch.phase is TransitionPhase.UNCERTAIN:
            return DropPacket(DropReason.LISTING_UNCERTAIN)
        is_listing = batch.phase is TransitionPhase.LISTING
        upstream = (
            self._find_target(service, flow)
            if is_listing
            else self.find_base_upstream(service, flow)
        )
        action = resolve_upstream(self.configuration, service, upstream, kind)
        is_pinned = kind is PacketKind.DATA and batch.phase is not TransitionPhase.HOLD
        if is_pinned and isinstance(action, SendToUpstream):
            if len(self.pins) >= self.limits.pins_max:
                self.restart_idle_timer(batch, now_ms)
            else:
                self.pins.set(service, flow, upstream, self.configuration.version)
        return action

    def _find_target(self, service: str, flow: int) -> str:
        table = self.configuration.slot_tables[service]
        return table.transitions[flow % SLOT_COUNT].target

    def handle(self, sender: str, message: RoutingMessage, now_ms: int) -> list[OwnerAction]:
        """Handles a message of another instance.

        Args:
            sender: Name of the instance that sent it.
            message: The message.
            now_ms: Current time in ms.
        """
        match message:
            case ReplicatePins():
                return [SendMessage(sender, self._store_pins(sender, message))]
            case PinsStored():
                return self._handle_pins_stored(sender, message, now_ms)
            case ForgetPins(service, flows):
                for flow in flows:
                    self.pins.remove(service, flow)
                return []
            case AnnounceListing():
                return [
                    SendMessage(
                        sender, self.listing_coordinator.handle_announcement(message, now_ms)
                    )
                ]
            case ListingAcknowledged():
                self.listing_coordinator.handle_acknowledgement(sender, message, now_ms)
                return []

    def _store_pins(self, sender: str, message: ReplicatePins) -> PinsStored:
        conflicts: list[tuple[int, str]] = []
        for pins in message.pins:
            for flow in pins.flows:
                kept = self._store_pin(sender, message, flow, pins.upstream)
                if kept != pins.upstream:
                    conflicts.append((flow, kept))
        return PinsStored(message.request, group_flows(conflicts))

    def _store_pin(self, sender: str, message: ReplicatePins, flow: int, upstream: str) -> str:
        service = message.service
        batch = self.batches.find(service, flow % SLOT_COUNT)
        if batch is None and message.version <= self.configuration.version:
            # The transition has ended here, so the base upstream already applies.
            return upstream
        own = self.pins.find(service, flow)
        if own is None or own == upstream or self._accepts_pin_from(sender, batch, service, flow):
            self.pins.set(service, flow, upstream, message.version)
            return upstream
        return own

    def _accepts_pin_from(
        self, sender: str, batch: TransitionBatch | None, service: str, flow: int
    ) -> bool:
        """Returns whether a conflicting pin of the sender replaces the pin of this member.

        Two members may both consider themselves the acting member while their sets of live
        instances differ. As long as the pin of this member is pending, the pin of the member that
        comes first in the group is kept; otherwise a member accepts the pins of the member that it
        considers acting.
        """
        if batch is None:
            return True
        names = [member.instance for member in batch.group.members]
        if sender not in names or self._member.instance not in names:
            return True
        if self.replicator.is_pending(service, flow):
            return names.index(sender) < names.index(self._member.instance)
        acting = self.members.find_acting(batch.group)
        return acting is not None and acting.instance == sender

    def _handle_pins_stored(
        self, sender: str, message: PinsStored, now_ms: int
    ) -> list[OwnerAction]:
        service = self.replicator.find_service(message.request)
        if service is not None:
            for pins in message.conflicts:
                self._adopt_pins(sender, service, pins, now_ms)
        return self._release(self.replicator.record_acknowledgement(sender, message.request))

    def _adopt_pins(self, sender: str, service: str, pins: PinnedFlows, now_ms: int) -> None:
        for flow in pins.flows:
            batch = self.batches.find(service, flow % SLOT_COUNT)
            if batch is None or not self.replicator.is_pending(service, flow):
                continue
            self.counters.pins_adopted += 1
            self.pins.set(service, flow, pins.upstream, self.configuration.version)
            others = [name for name in self.list_replicas(batch) if name != sender]
            # The sender of the conflict is included until its acknowledgement is recorded.
            self.replicator.replicate(service, flow, pins.upstream, [*others, sender], now_ms)

    def _release(self, keys: Iterable[FlowKey]) -> list[OwnerAction]:
        actions: list[OwnerAction] = []
        for service, flow in keys:
            upstream = self.pins.find(service, flow)
            action: RouteAction = DropPacket(DropReason.PIN_TIMEOUT)
            if upstream is not None:
                action = resolve_upstream(self.configuration, service, upstream, PacketKind.OPEN)
            actions.append(ReleasePackets(service, flow, action))
        return actions

    def tick(self, now_ms: int) -> list[OwnerAction]:
        """Advances transitions and returns due messages.

        Must be called at least every `transition_check_interval_ms`. Each call sends the pins that
        were set since the last one.
        """
        actions: list[OwnerAction] = []
        self._remove_closed_flows(now_ms, actions)
        if now_ms - self._last_step_ms >= self.limits.transition_check_interval_ms:
            self._last_step_ms = now_ms
            for batch in self.batches:
                self._advance(batch, now_ms, actions)
        for service, flow in self.replicator.take_overdue(now_ms):
            drop = DropPacket(DropReason.PIN_TIMEOUT)
            actions.append(ReleasePackets(service, flow, drop))
        actions.extend(self.replicator.flush(self.configuration.version, now_ms))
        return actions

    def _advance(self, batch: TransitionBatch, now_ms: int, actions: list[OwnerAction]) -> None:
        is_acting = batch.acting_member == self._member
        if batch.phase is TransitionPhase.HOLD:
            self._end_hold_if_due(batch, now_ms)
        if batch.former_members:
            self._remove_former_members(batch, now_ms)
        if is_acting and not batch.is_acting:
            self._take_over(batch, now_ms)
        batch.is_acting = is_acting
        if batch.phase is TransitionPhase.UNCERTAIN and now_ms >= batch.uncertain_until_ms:
            batch.phase = TransitionPhase.SPLIT
            self.restart_idle_timer(batch, now_ms)
        if is_acting:
            self.group_coordinator.advance(batch, now_ms, actions)
            self.listing_coordinator.advance(batch, now_ms, actions)
        elif batch.acting_member is None:
            self.group_coordinator.recreate_group(batch, now_ms, actions)

    def _end_hold_if_due(self, batch: TransitionBatch, now_ms: int) -> None:
        if now_ms < batch.hold_end_min_ms:
            return
        if now_ms >= batch.hold_end_max_ms or self.members.have_all_reported(batch.hold_version):
            batch.phase = TransitionPhase.SPLIT
            self.restart_idle_timer(batch, now_ms)

    def _remove_former_members(self, batch: TransitionBatch, now_ms: int) -> None:
        """Removes the former members of a batch once no instance forwards to them any longer."""
        has_live = any(map(self.members.is_alive, batch.former_members))
        if has_live and not self.members.have_all_reported(batch.former_version):
            return
        is_former = self._member in batch.former_members
        batch.former_members = ()
        # Other instances keep their pins: they may have been copied here for the next group.
        if is_former:
            for slot in batch.slots:
                self.pins.remove_slot(batch.service, slot, self.configuration.version)
        # A former member has routed packets until now, of flows that this member may not know.
        self.restart_idle_timer(batch, now_ms)

    def _take_over(self, batch: TransitionBatch, now_ms: int) -> None:
        if batch.phase is TransitionPhase.HOLD:
            return
        self.counters.takeovers += 1
        self.restart_idle_timer(batch, now_ms)
        if batch.is_announced:
            batch.phase = TransitionPhase.UNCERTAIN
            batch.uncertain_until_ms = now_ms + self.limits.uncertain_max_ms

    def _remove_closed_flows(self, now_ms: int, actions: list[OwnerAction]) -> None:
        by_service: dict[str, list[int]] = {}
        for service, flow in self.pins.remove_closed(now_ms):
            by_service.setdefault(service, []).append(flow)
        for service, flows in by_service.items():
            self.remove_at_replicas(service, flows, actions)

    def remove_at_replicas(
        self, service: str, flows: Iterable[int], actions: list[OwnerAction]
    ) -> None:
        """Adds messages that remove the pins of flows at the replicas."""
        by_member: dict[str, list[int]] = {}
        for flow in flows:
            batch = self.batches.find(service, flow % SLOT_COUNT)
            if batch is not None:
                for name in self.list_replicas(batch):
                    by_member.setdefault(name, []).append(flow)
        for name, member_flows in sorted(by_member.items()):
            for start in range(0, len(member_flows), self.limits.copy_flows_max):
                chunk = member_flows[start : start + self.limits.copy_flows_max]
                actions.append(SendMessage(name, ForgetPins(service, tuple(chunk))))
