"""Batches of slots in transition that go through the phases together.

The base of a slot (`SlotBase`) gives the upstream of each flow without the transition: that of
the exception list if the flow is listed, otherwise the default. This upstream is the base upstream
of the flow. The target is the upstream to which the transition moves the slot. Owner groups and
their acting members are defined in `routing.groups`.
"""

import enum
from collections.abc import Iterator

from catkinspread.model import (
    Configuration,
    InstanceIncarnation,
    OwnerGroup,
    SlotTable,
    SlotTransition,
)
from catkinspread.routing.limits import RoutingLimits


class TransitionPhase(enum.Enum):
    """Phase of a transition at one member of the owner group.

    A transition starts in HOLD, continues in SPLIT and ends when the entry requested in LISTING
    is applied. Flows with a pin are routed to the pinned upstream in every phase.

    Attributes:
        HOLD: All other flows are routed to their base upstream, as instances that have not applied
            the entry yet do. It ends when all live instances have reported the version, but not
            before `hold_min_ms` and not after `hold_max_ms` from the time in the entry.
        SPLIT: Opens are routed to the target, other packets of flows without a pin to the base
            upstream. At the acting member it ends when the flows have been observed for an idle
            time-out and all replicas have acknowledged the announced listing.
        LISTING: All live flows are known, and the acting member has requested the entry with the
            exception list. Flows without a pin were opened through instances that have already
            applied the entry, so they are routed to the target. It ends when the entry is applied,
            or returns to SPLIT if the target changes first.
        UNCERTAIN: The previous acting member announced the listing and may have written the
            entry. Opens are routed to the target, other packets of flows without a pin are
            dropped. If the entry is not applied within `uncertain_max_ms`, SPLIT follows.
    """

    HOLD = "hold"
    SPLIT = "split"
    LISTING = "listing"
    UNCERTAIN = "uncertain"


class TransitionBatch:
    """Slots of one service that go through the phases of their transitions together.

    Their transitions have the same owner group and version, and the slots were in the same batch
    before.

    Attributes:
        service: Name of the service.
        slots: Indexes of the slots, ascending.
        version: Configuration version that set the current target.
        group: Owner group of the slots.
        phase: Phase of the transitions at this member.
        hold_version: Version that all live instances must have reported before HOLD ends.
        hold_end_min_ms: Earliest end of HOLD, as an absolute time in ms.
        hold_end_max_ms: Latest end of HOLD, as an absolute time in ms.
        listing_timer_started_ms: Start of the idle time-out that must pass before the exceptions
            are listed.
        generation_started_ms: Start of the current generation of the pins. It is restarted
            together with the listing timer by `TransitionOwner.restart_idle_timer`, and alone
            whenever idle pins are removed.
        uncertain_until_ms: End of UNCERTAIN, as an absolute time in ms.
        last_routed_ms: When this member last routed a packet of the slots; None if never.
        acting_member: Acting member of the group; None if no member is alive.
        is_acting: Whether this instance was the acting member at the last check.
        former_members: Members of earlier groups to which some instances may still forward.
            They store pins too, because they route these packets.
        former_version: Version that all live instances must have reported before the former
            members are removed.
        is_announced: Whether the acting member has announced the listing to this instance.
        missing_since_ms: When a member of the group was first found missing, as an absolute time in
            ms; None if all are alive.
        joining_members: Members that receive the pins before they join the group.
        copy_requests: Ids of the requests that copy pins to joining members.
        acknowledged_members: Replicas that have acknowledged the announcement after a full
            idle time-out without routing a packet of the slots.
        announced_ms: When the listing was last announced; None if not yet.
        next_listing_ms: Earliest time of the next attempt to list the exceptions.
        requested_on_version: Configuration version from which the last requested entry was
            derived, either the group change or the exception list; -1 if none.
        requested_at_ms: When that entry was requested; 0 if none.
    """

    __slots__ = (
        "acknowledged_members",
        "acting_member",
        "announced_ms",
        "copy_requests",
        "former_members",
        "former_version",
        "generation_started_ms",
        "group",
        "hold_end_max_ms",
        "hold_end_min_ms",
        "hold_version",
        "is_acting",
        "is_announced",
        "joining_members",
        "last_routed_ms",
        "listing_timer_started_ms",
        "missing_since_ms",
        "next_listing_ms",
        "phase",
        "requested_at_ms",
        "requested_on_version",
        "service",
        "slots",
        "uncertain_until_ms",
        "version",
    )

    def __init__(
        self, service: str, transition: SlotTransition, limits: RoutingLimits, now_ms: int
    ) -> None:
        self.service = service
        self.slots: list[int] = []
        self.version = transition.version
        self.group: OwnerGroup = transition.group
        self.phase = TransitionPhase.HOLD
        self.hold_version = transition.version
        self.hold_end_min_ms = transition.started_at_ms + limits.hold_min_ms
        self.hold_end_max_ms = transition.started_at_ms + limits.hold_max_ms
        self.listing_timer_started_ms = now_ms
        self.generation_started_ms = now_ms
        self.uncertain_until_ms = 0
        self.last_routed_ms: int | None = None
        self.acting_member: InstanceIncarnation | None = None
        self.is_acting = False
        self.former_members: tuple[InstanceIncarnation, ...] = ()
        self.former_version = 0
        self._reset_progress()

    def _reset_progress(self) -> None:
        self.is_announced = False
        self.missing_since_ms: int | None = None
        self.joining_members: tuple[str, ...] = ()
        self.copy_requests: list[int] = []
        self.acknowledged_members: set[str] = set()
        self.announced_ms: int | None = None
        self.next_listing_ms = 0
        self.requested_on_version = -1
        self.requested_at_ms = 0

    def copy_for(
        self, transition: SlotTransition, version: int, limits: RoutingLimits, now_ms: int
    ) -> "TransitionBatch":
        """Returns a batch that continues this one with a new target or owner group.

        The batch has no slots yet; the caller adds them.

        Args:
            transition: The changed transition.
            version: Version of the configuration that contains it.
            limits: Time-outs of the routing.
            now_ms: Current time in ms.
        """
        batch = TransitionBatch(self.service, transition, limits, now_ms)
        batch.phase = self.phase
        batch.hold_version = self.hold_version
        batch.hold_end_min_ms = self.hold_end_min_ms
        batch.hold_end_max_ms = self.hold_end_max_ms
        batch.listing_timer_started_ms = self.listing_timer_started_ms
        batch.generation_started_ms = self.generation_started_ms
        batch.uncertain_until_ms = self.uncertain_until_ms
        batch.last_routed_ms = self.last_routed_ms
        batch.is_acting = self.is_acting
        batch.missing_since_ms = self.missing_since_ms
        batch.former_members = tuple(
            member
            for member in (*self.former_members, *self.group.members)
            if member not in transition.group.members
        )
        batch.former_version = self.former_version
        if transition.group != self.group:
            batch.former_version = version
        if transition.version == self.version:
            batch.is_announced = self.is_announced
        elif self.phase is not TransitionPhase.HOLD:
            # Flows to the old target may have been opened less than an idle time-out ago.
            batch.phase = TransitionPhase.SPLIT
            batch.listing_timer_started_ms = now_ms
        return batch


class BatchChanges:
    """Changes to batches by a new configuration.

    Attributes:
        ended: Slots whose transition has ended, by service.
        retargeted: Batches with a new target, whose idle timers must be restarted.
    """

    __slots__ = ("ended", "retargeted")

    def __init__(self) -> None:
        self.ended: dict[str, list[int]] = {}
        self.retargeted: list[TransitionBatch] = []


class BatchTable:
    """Batches of all slots in transition in the applied configuration."""

    __slots__ = ("_batches", "_by_slot", "_limits", "_tables")

    def __init__(self, limits: RoutingLimits) -> None:
        self._limits = limits
        self._tables: dict[str, SlotTable] = {}
        self._by_slot: dict[str, dict[int, TransitionBatch]] = {}
        self._batches: dict[str, list[TransitionBatch]] = {}

    def __iter__(self) -> Iterator[TransitionBatch]:
        for batches in self._batches.values():
            yield from batches

    def find(self, service: str, slot: int) -> TransitionBatch | None:
        """Returns the batch of a slot, or None if the slot is not in transition."""
        by_slot = self._by_slot.get(service)
        return None if by_slot is None else by_slot.get(slot)

    def apply(self, configuration: Configuration, now_ms: int) -> BatchChanges:
        """Rebuilds the batches of services whose slot table has changed."""
        changes = BatchChanges()
        for service, table in configuration.slot_tables.items():
            if self._tables.get(service) is not table:
                self._rebuild(service, table, configuration.version, changes, now_ms)
        return changes

    def _rebuild(
        self,
        service: str,
        table: SlotTable,
        version: int,
        changes: BatchChanges,
        now_ms: int,
    ) -> None:
        before = self._by_slot.get(service, {})
        old_table = self._tables.get(service)
        by_slot: dict[int, TransitionBatch] = {}
        created: dict[tuple[int, OwnerGroup, int], TransitionBatch] = {}
        ended = [slot for slot in before if slot not in table.transitions]
        for slot, transition in sorted(table.transitions.items()):
            old = before.get(slot)
            if old is not None and old_table.bases[slot].default != table.bases[slot].default:
                # The default doesn't change during a transition, so a skipped configuration ended
                # the old transition and a later one started this one.
                ended.append(slot)
                old = None
            key = (transition.version, transition.group, id(old))
            batch = created.get(key)
            if batch is None:
                batch = created[key] = self._create(service, transition, old, version, now_ms)
                if old is not None and old.version != batch.version:
                    changes.retargeted.append(batch)
            batch.slots.append(slot)
            by_slot[slot] = batch
        if ended:
            changes.ended[service] = ended
        self._tables[service] = table
        self._by_slot[service] = by_slot
        self._batches[service] = list(created.values())

    def _create(
        self,
        service: str,
        transition: SlotTransition,
        old: TransitionBatch | None,
        version: int,
        now_ms: int,
    ) -> TransitionBatch:
        if old is None:
            return TransitionBatch(service, transition, self._limits, now_ms)
        return old.copy_for(transition, version, self._limits, now_ms)
