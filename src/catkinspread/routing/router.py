"""Decides what happens to each packet of a caller."""

from collections.abc import Iterable

from catkinspread.model import (
    SLOT_COUNT,
    Configuration,
    OwnerMember,
    SlotTable,
    SlotTransition,
)
from catkinspread.routing.actions import (
    DropPacket,
    DropReason,
    ForwardToOwner,
    OwnerAction,
    PacketKind,
    ResetFlow,
    ResetReason,
    RouteAction,
    SendToUpstream,
)
from catkinspread.routing.groups import LiveMembers, MemberView
from catkinspread.routing.limits import RoutingLimits
from catkinspread.routing.messages import ForwardHeader, RoutingMessage
from catkinspread.routing.owner import TransitionOwner
from catkinspread.routing.resolution import is_draining, resolve_upstream

_NEVER_MS = -1


class SlotRouter:
    """Routes packets by the applied configuration and the view of live instances.

    Every method takes the time, and nothing here reads a clock or a socket. A router starts
    closed: it routes nothing before `record_contact`.
    """

    __slots__ = (
        "_configuration",
        "_last_contact_ms",
        "_has_contact",
        "_limits",
        "_members",
        "_ready_from_ms",
        "_ready_until_ms",
        "_owner",
        "_fast_path",
        "_required_version",
        "_catch_up_until_ms",
        "_last_tick_ms",
    )

    def __init__(self, member: OwnerMember, limits: RoutingLimits | None = None) -> None:
        """Creates a router without configuration.

        Args:
            member: Name and incarnation of this instance.
            limits: Times and limits; the defaults if None.
        """
        self._limits = limits or RoutingLimits()
        self._owner = TransitionOwner(member, self._limits)
        self._configuration = Configuration()
        self._members = LiveMembers()
        # By service, for each slot the action of all packets, or None if it depends on more.
        self._fast_path: dict[str, list[SendToUpstream | None]] = {}
        self._has_contact = False
        self._ready_from_ms = 0
        self._ready_until_ms = _NEVER_MS
        self._catch_up_until_ms = 0
        self._required_version = 0
        self._last_contact_ms = _NEVER_MS
        self._last_tick_ms = _NEVER_MS

    @property
    def owner(self) -> TransitionOwner:
        """The part that acts as a member of owner groups."""
        return self._owner

    @property
    def version(self) -> int:
        """Version of the applied configuration."""
        return self._configuration.version

    def apply(self, configuration: Configuration, now_ms: int) -> None:
        """Takes a configuration; one that is not newer is ignored."""
        before = self._configuration
        if configuration.version <= before.version:
            return
        self._configuration = configuration
        self._owner.apply(configuration, now_ms)
        is_same_world = (
            configuration.upstreams is before.upstreams
            and configuration.data_centres is before.data_centres
        )
        for service, table in configuration.slot_tables.items():
            if not is_same_world or before.slot_tables.get(service) is not table:
                self._fast_path[service] = self._build_fast_path(service, table)
        self._update_readiness()

    def set_members(self, members: Iterable[MemberView], now_ms: int) -> list[OwnerAction]:
        """Takes the live instances, this one included, with the versions they reported."""
        self._members = LiveMembers(members)
        if now_ms <= self._catch_up_until_ms:
            reported = max((member.version for member in self._members), default=0)
            self._required_version = max(self._required_version, reported)
            self._update_readiness()
        return self._owner.set_members(self._members)

    def record_contact(self, version: int, now_ms: int) -> None:
        """Notes contact with a peer or the platform.

        After a pause the contact must have been asked for after the pause: a message that
        waited in a buffer may tell an old version.

        Args:
            version: Version of the configuration that the other side has.
            now_ms: Current time in ms.
        """
        if self._detect_pause(now_ms):
            # The exchange may have been asked for before the pause.
            return
        is_late = now_ms - self._last_contact_ms > self._limits.hold_max_ms
        if not self._has_contact or is_late:
            # HOLD may have ended elsewhere without this instance, so it must catch up.
            self._required_version = max(self._required_version, version)
            self._ready_from_ms = now_ms + self._limits.join_wait_ms
            self._catch_up_until_ms = now_ms + self._limits.catch_up_window_ms
        self._has_contact = True
        self._last_contact_ms = now_ms
        self._update_readiness()

    def _detect_pause(self, now_ms: int) -> bool:
        """Closes the router if the event loop has paused; returns whether it had."""
        before_ms = self._last_tick_ms
        self._last_tick_ms = max(before_ms, now_ms)
        if before_ms == _NEVER_MS or now_ms - before_ms <= self._limits.pause_threshold_ms:
            return False
        self._has_contact = False
        self._update_readiness()
        return True

    def is_ready(self, now_ms: int) -> bool:
        """Whether packets are routed now; not after a start or a pause until the view is new."""
        return now_ms <= self._ready_until_ms

    @property
    def needs_exchange(self) -> bool:
        """Whether nothing is routed before the next `record_contact`."""
        return not self._has_contact

    def rejoin(self, incarnation: int) -> list[OwnerAction]:
        """Takes a greater incarnation, and routes nothing before the next exchange.

        Call it when `needs_exchange` became true after a pause, and when the membership tells
        that others took this instance for dead.
        """
        member = OwnerMember(self._owner.member.instance, incarnation)
        self._has_contact = False
        self._update_readiness()
        return self._owner.rejoin(member)

    def tick(self, now_ms: int) -> list[OwnerAction]:
        """Notes that the event loop runs, and advances transitions."""
        self._detect_pause(now_ms)
        self._update_readiness()
        if not self._has_contact:
            return []
        return self._owner.tick(now_ms)

    def handle(self, sender: str, message: RoutingMessage, now_ms: int) -> list[OwnerAction]:
        """Takes a message of the routing of another instance."""
        return self._owner.handle(sender, message, now_ms)

    def route(
        self, packet_kind: PacketKind, service: str, flow_hash: int, now_ms: int
    ) -> RouteAction:
        """Returns what to do with a packet that a caller sent to this instance.

        Args:
            packet_kind: Whether the packet opens or closes its flow.
            service: Service of the address that the packet was sent to.
            flow_hash: 64-bit hash of the flow.
            now_ms: Current time in ms.
        """
        if now_ms > self._ready_until_ms:
            return self._drop_not_ready(now_ms)
        plain = self._fast_path.get(service)
        if plain is None:
            return DropPacket(DropReason.UNKNOWN_SERVICE)
        action = plain[flow_hash % SLOT_COUNT]
        if action is not None:
            return action
        slot = flow_hash % SLOT_COUNT
        table = self._configuration.slot_tables[service]
        transition = table.transitions.get(slot)
        if transition is None:
            return self._route_by_base(packet_kind, service, table, flow_hash)
        base = table.bases[slot].find_upstream(flow_hash)
        header = ForwardHeader(packet_kind, service, flow_hash, self.version, base)
        return self._route_in_transition(header, transition, now_ms)

    def route_forwarded(self, header: ForwardHeader, now_ms: int) -> RouteAction:
        """Returns what to do with a packet that another instance forwarded."""
        if now_ms > self._ready_until_ms:
            return self._drop_not_ready(now_ms)
        service = header.service
        table = self._configuration.slot_tables.get(service)
        if table is None:
            return DropPacket(DropReason.UNKNOWN_SERVICE)
        transition = table.transitions.get(header.flow % SLOT_COUNT)
        if transition is not None:
            next_hop = ForwardHeader(
                header.kind, service, header.flow, self.version, header.base, header.hops + 1
            )
            is_named = self._is_chosen_by_newer_sender(header, transition)
            return self._route_in_transition(next_hop, transition, now_ms, is_named)
        if header.version <= self.version:
            return self._route_by_base(header.kind, service, table, header.flow)
        # The entry has not arrived here, so the transition is in HOLD: the answer is the base
        # that the sender knows, unless another member has pinned the flow already.
        upstream = self._owner.pins.find(service, header.flow) or header.base
        return resolve_upstream(self._configuration, service, upstream, header.kind)

    def _is_chosen_by_newer_sender(self, header: ForwardHeader, transition: SlotTransition) -> bool:
        """Returns whether a sender with a newer group sent the packet back to this member."""
        is_member = self._owner.member in transition.group.members
        return is_member and header.hops > 1 and header.version > self.version

    def _route_in_transition(
        self,
        header: ForwardHeader,
        transition: SlotTransition,
        now_ms: int,
        is_named: bool = False,
    ) -> RouteAction:
        own = self._owner.member
        acting = self._members.find_acting(transition.group)
        if acting is None:
            return DropPacket(DropReason.GROUP_UNREACHABLE)
        is_last = header.hops > self._limits.forward_hops_max
        if acting == own or is_named or (is_last and own in transition.group.members):
            return self._owner.decide(header.kind, header.service, header.flow, now_ms)
        if is_last:
            return DropPacket(DropReason.FORWARD_LIMIT)
        return ForwardToOwner(acting, header)

    def _route_by_base(
        self, kind: PacketKind, service: str, table: SlotTable, flow: int
    ) -> RouteAction:
        base = table.bases[flow % SLOT_COUNT]
        upstream = base.find_upstream(flow)
        if (
            kind is PacketKind.OPEN
            and upstream != base.default
            and is_draining(self._configuration, upstream)
        ):
            # The exception belongs to an older flow with the same hash; the caller's next
            # attempt has another port.
            return ResetFlow(ResetReason.UPSTREAM_DRAINING, upstream)
        return resolve_upstream(self._configuration, service, upstream, kind)

    def _build_fast_path(self, service: str, table: SlotTable) -> list[SendToUpstream | None]:
        actions: dict[str, SendToUpstream | None] = {}
        plain: list[SendToUpstream | None] = []
        for slot, base in enumerate(table.bases):
            name = base.default
            if name not in actions:
                action = resolve_upstream(self._configuration, service, name, PacketKind.DATA)
                actions[name] = action if isinstance(action, SendToUpstream) else None
            is_plain = slot not in table.transitions and not base.exceptions
            plain.append(actions[name] if is_plain else None)
        return plain

    def _update_readiness(self) -> None:
        """Computes until when packets are routed without a further check."""
        is_waiting = self._last_tick_ms < self._ready_from_ms
        if not self._has_contact or is_waiting or self.version < self._required_version:
            self._ready_until_ms = _NEVER_MS
            return
        self._ready_until_ms = min(
            self._last_tick_ms + self._limits.pause_threshold_ms,
            self._last_contact_ms + self._limits.contact_timeout_ms,
        )

    def _drop_not_ready(self, now_ms: int) -> DropPacket:
        has_contact = self._last_contact_ms != _NEVER_MS
        if has_contact and now_ms - self._last_contact_ms > self._limits.contact_timeout_ms:
            return DropPacket(DropReason.NO_CONTACT)
        return DropPacket(DropReason.NOT_READY)
