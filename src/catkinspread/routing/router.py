"""Routes each packet of a caller to an upstream or to the acting member for its slot."""

from collections.abc import Iterable

from catkinspread.model import (
    SLOT_COUNT,
    Configuration,
    InstanceIncarnation,
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
from catkinspread.routing.resolution import is_closed_to_new_flows, resolve_upstream

_NEVER_MS = -1


class SlotRouter:
    """Routes packets by the applied configuration and the set of live instances.

    The router does no I/O and reads no clock: the caller passes the time to its methods. A new
    router drops all packets until `record_contact` is called.
    """

    __slots__ = (
        "_catch_up_until_ms",
        "_configuration",
        "_fast_path",
        "_has_contact",
        "_last_contact_ms",
        "_last_tick_ms",
        "_limits",
        "_members",
        "_owner",
        "_ready_from_ms",
        "_ready_until_ms",
        "_required_version",
    )

    def __init__(self, member: InstanceIncarnation, limits: RoutingLimits | None = None) -> None:
        """Creates a router without a configuration.

        Args:
            member: Name and incarnation of this instance.
            limits: Time-outs and limits; the defaults if None.
        """
        self._limits = limits or RoutingLimits()
        self._owner = TransitionOwner(member, self._limits)
        self._configuration = Configuration()
        self._members = LiveMembers()
        # By service, the action for each slot if it is the same for all packets, else None.
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
        """The part that routes flows of slots in transition."""
        return self._owner

    @property
    def version(self) -> int:
        """Version of the applied configuration."""
        return self._configuration.version

    def apply(self, configuration: Configuration, now_ms: int) -> None:
        """Applies a configuration; one that is not newer is ignored."""
        before = self._configuration
        if configuration.version <= before.version:
            return
        self._configuration = configuration
        self._owner.apply(configuration, now_ms)
        is_topology_unchanged = (
            configuration.upstreams is before.upstreams
            and configuration.data_centres is before.data_centres
        )
        for service, table in configuration.slot_tables.items():
            if not is_topology_unchanged or before.slot_tables.get(service) is not table:
                self._fast_path[service] = self._build_fast_path(service, table)
        self._update_readiness()

    def set_members(self, members: Iterable[MemberView], now_ms: int) -> list[OwnerAction]:
        """Replaces the set of live instances.

        Args:
            members: Live instances with the versions that they reported; must include this one.
            now_ms: Current time in ms.
        """
        self._members = LiveMembers(members)
        if now_ms <= self._catch_up_until_ms:
            reported = max((member.version for member in self._members), default=0)
            self._required_version = max(self._required_version, reported)
            self._update_readiness()
        return self._owner.set_members(self._members)

    def record_contact(self, version: int, now_ms: int) -> None:
        """Records a contact: a successful exchange of messages with a peer or the platform.

        After a pause of the event loop, only a contact requested after the pause counts: a
        message that waited in a buffer may report an outdated version.

        Args:
            version: Configuration version of the other side.
            now_ms: Current time in ms.
        """
        if self._detect_pause(now_ms):
            # The contact may have been requested before the pause.
            return
        is_overdue = now_ms - self._last_contact_ms > self._limits.hold_max_ms
        if not self._has_contact or is_overdue:
            # Other instances may have ended HOLD without waiting for this one, so it must catch up.
            self._required_version = max(self._required_version, version)
            self._ready_from_ms = now_ms + self._limits.join_wait_ms
            self._catch_up_until_ms = now_ms + self._limits.catch_up_window_ms
        self._has_contact = True
        self._last_contact_ms = now_ms
        self._update_readiness()

    def _detect_pause(self, now_ms: int) -> bool:
        """Stops routing if the event loop has paused; returns whether it had."""
        before_ms = self._last_tick_ms
        self._last_tick_ms = max(before_ms, now_ms)
        if before_ms == _NEVER_MS or now_ms - before_ms <= self._limits.pause_threshold_ms:
            return False
        self._has_contact = False
        self._update_readiness()
        return True

    def is_ready(self, now_ms: int) -> bool:
        """Returns whether packets are routed now.

        After a start or a pause they are not, until the set of live instances is up to date.
        """
        return now_ms <= self._ready_until_ms

    @property
    def needs_contact(self) -> bool:
        """Whether no contact has been recorded since the start, the last pause or `rejoin`.

        Packets are dropped at least until the next `record_contact`. Other causes of dropping,
        which `is_ready` includes, do not count here.
        """
        return not self._has_contact

    def rejoin(self, incarnation: int) -> list[OwnerAction]:
        """Adopts a greater incarnation and routes nothing before the next contact.

        Call it when `needs_contact` has become true after a pause, and when the membership
        reports that other instances considered this one failed.

        Args:
            incarnation: New incarnation; must be greater than the present one, which is not
                checked.

        Returns:
            The drops of all buffered packets.
        """
        member = InstanceIncarnation(self._owner.member.instance, incarnation)
        self._has_contact = False
        self._update_readiness()
        return self._owner.rejoin(member)

    def tick(self, now_ms: int) -> list[OwnerAction]:
        """Records that the event loop is running, and advances transitions.

        Must be called at least every `transition_check_interval_ms`. After more than
        `pause_threshold_ms` without a call, packets are dropped until the next contact.
        """
        self._detect_pause(now_ms)
        self._update_readiness()
        if not self._has_contact:
            return []
        return self._owner.tick(now_ms)

    def handle(self, sender: str, message: RoutingMessage, now_ms: int) -> list[OwnerAction]:
        """Handles a routing message of another instance."""
        return self._owner.handle(sender, message, now_ms)

    def route(self, kind: PacketKind, service: str, flow: int, now_ms: int) -> RouteAction:
        """Returns the action for a packet that a caller sent to this instance.

        Args:
            kind: Whether the packet opens or closes its flow.
            service: Service of the address that the packet was sent to.
            flow: 64-bit hash of the flow.
            now_ms: Current time in ms.
        """
        if now_ms > self._ready_until_ms:
            return self._drop_not_ready(now_ms)
        fast_path = self._fast_path.get(service)
        if fast_path is None:
            return DropPacket(DropReason.UNKNOWN_SERVICE)
        action = fast_path[flow % SLOT_COUNT]
        if action is not None:
            return action
        slot = flow % SLOT_COUNT
        table = self._configuration.slot_tables[service]
        transition = table.transitions.get(slot)
        if transition is None:
            return self._route_by_base(kind, service, table, flow)
        base = table.bases[slot].find_upstream(flow)
        header = ForwardHeader(kind, service, flow, self.version, base)
        return self._route_in_transition(header, transition, now_ms)

    def route_forwarded(self, header: ForwardHeader, now_ms: int) -> RouteAction:
        """Returns the action for a packet that another instance forwarded."""
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
            must_route_here = self._must_act_for_newer_sender(header, transition)
            return self._route_in_transition(next_hop, transition, now_ms, must_route_here)
        if header.version <= self.version:
            return self._route_by_base(header.kind, service, table, header.flow)
        # The entry has not been applied here, so the transition is in HOLD: the packet goes to
        # the base upstream at the sender, unless another member has already pinned the flow.
        upstream = self._owner.pins.find(service, header.flow) or header.base
        return resolve_upstream(self._configuration, service, upstream, header.kind)

    def _must_act_for_newer_sender(self, header: ForwardHeader, transition: SlotTransition) -> bool:
        """Returns whether a sender with a newer configuration forwarded the packet back here."""
        is_member = self._owner.member in transition.group.members
        return is_member and header.hops > 1 and header.version > self.version

    def _route_in_transition(
        self,
        header: ForwardHeader,
        transition: SlotTransition,
        now_ms: int,
        must_route_here: bool = False,
    ) -> RouteAction:
        own = self._owner.member
        acting = self._members.find_acting(transition.group)
        if acting is None:
            return DropPacket(DropReason.GROUP_UNREACHABLE)
        is_last = header.hops > self._limits.forward_hops_max
        if acting == own or must_route_here or (is_last and own in transition.group.members):
            return self._owner.route_in_transition(header.kind, header.service, header.flow, now_ms)
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
            and is_closed_to_new_flows(self._configuration, upstream)
        ):
            # The exception belongs to an older flow with the same hash. The caller's next attempt
            # uses another port, hence another hash.
            return ResetFlow(ResetReason.UPSTREAM_DRAINING, upstream)
        return resolve_upstream(self._configuration, service, upstream, kind)

    def _build_fast_path(self, service: str, table: SlotTable) -> list[SendToUpstream | None]:
        actions: dict[str, SendToUpstream | None] = {}
        fast_path: list[SendToUpstream | None] = []
        for slot, base in enumerate(table.bases):
            name = base.default
            if name not in actions:
                action = resolve_upstream(self._configuration, service, name, PacketKind.DATA)
                actions[name] = action if isinstance(action, SendToUpstream) else None
            is_uniform = slot not in table.transitions and not base.exceptions
            fast_path.append(actions[name] if is_uniform else None)
        return fast_path

    def _update_readiness(self) -> None:
        """Updates the time until which packets are routed without further checks."""
        is_waiting = self._last_tick_ms < self._ready_from_ms
        if not self._has_contact or is_waiting or self.version < self._required_version:
            self._ready_until_ms = _NEVER_MS
            return
        self._ready_until_ms = min(
            self._last_tick_ms + self._limits.pause_threshold_ms,
            self._last_contact_ms + self._limits.contact_timeout_ms,
        )

    def _drop_not_ready(self, now_ms: int) -> DropPacket:
        had_contact = self._last_contact_ms != _NEVER_MS
        if had_contact and now_ms - self._last_contact_ms > self._limits.contact_timeout_ms:
            return DropPacket(DropReason.NO_CONTACT)
        return DropPacket(DropReason.NOT_READY)
