"""Batches of slots in transition that go through the phases together."""

import enum
from collections.abc import Iterator

from catkinspread.model import Configuration, OwnerGroup, OwnerMember, SlotTable, SlotTransition
from catkinspread.routing.limits import RoutingLimits


class Phase(enum.Enum):
    """Phase of a transition at one member of the owner group.

    HOLD: every flow is routed to the base.
    SPLIT: opens are routed to the target, unknown flows to the base.
    LISTING: all live flows are known and the entry with the exception list is being written.
        Unknown flows were opened through instances that have already applied the entry, so they
        are routed to the target.
    UNCERTAIN: a predecessor may have written the entry; packets of unknown flows are dropped.
    """

    HOLD = "hold"
    SPLIT = "split"
    LISTING = "listing"
    UNCERTAIN = "uncertain"


class Batch:
    """Slots of one service with the same group, version and history.

    Attributes:
        service: Name of the service.
        slots: Indexes of the slots, ascending.
        version: Version of the latest move.
        group: Owner group of the slots.
        phase: Phase at this member.
        hold_version: Version that all live instances must have reported before HOLD ends.
        hold_from_ms: Earliest end of HOLD.
        hold_until_ms: Latest end of HOLD.
        idle_since_ms: Start of the idle time-out that must pass before the exceptions are
            listed.
        generation_started_ms: Start of the current generation of the pins.
        uncertain_until_ms: End of UNCERTAIN.
        last_decision_ms: When this member last routed a packet of the slots; None if never.
        acting_member: First live member of the group; None if none is alive.
        is_acting: Whether this member was the acting owner at the last check.
        former_members: Members of earlier groups to which some instances may still forward.
            They store pins too, because they route these packets.
        former_version: Version that all live instances must have reported before the former
            members are removed.
        is_announced: Whether the acting owner has announced the exception list.
        missing_since_ms: Time since when a member has been missing; None if none is.
        joining_members: Members that receive the pins before they join the group.
        copy_requests: Numbers of the requests that copy pins to joining members.
        acknowledged_members: Members that have acknowledged the announcement after a full
            idle time-out without routing a packet of the slots.
        announced_ms: When the exception list was last announced; None if not yet.
        next_listing_ms: Earliest time of the next attempt to list the exceptions.
        requested_on_version: Configuration version from which the last entry was derived.
        requested_at_ms: When the last entry was requested.
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
        "hold_from_ms",
        "hold_until_ms",
        "hold_version",
        "idle_since_ms",
        "is_acting",
        "is_announced",
        "joining_members",
        "last_decision_ms",
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
        self.phase = Phase.HOLD
        self.hold_version = transition.version
        self.hold_from_ms = transition.started_at_ms + limits.hold_min_ms
        self.hold_until_ms = transition.started_at_ms + limits.hold_max_ms
        self.idle_since_ms = now_ms
        self.generation_started_ms = now_ms
        self.uncertain_until_ms = 0
        self.last_decision_ms: int | None = None
        self.acting_member: OwnerMember | None = None
        self.is_acting = False
        self.former_members: tuple[OwnerMember, ...] = ()
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

    def derive(
        self, transition: SlotTransition, version: int, limits: RoutingLimits, now_ms: int
    ) -> "Batch":
        """Returns a batch without slots for those slots that get a new target or group.

        Args:
            transition: The changed transition.
            version: Version of the configuration that contains it.
            limits: Time-outs of the routing.
            now_ms: Current time in ms.
        """
        batch = Batch(self.service, transition, limits, now_ms)
        batch.phase = self.phase
        batch.hold_version = self.hold_version
        batch.hold_from_ms = self.hold_from_ms
        batch.hold_until_ms = self.hold_until_ms
        batch.idle_since_ms = self.idle_since_ms
        batch.generation_started_ms = self.generation_started_ms
        batch.uncertain_until_ms = self.uncertain_until_ms
        batch.last_decision_ms = self.last_decision_ms
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
        elif self.phase is not Phase.HOLD:
            # Flows to the old target may have been opened less than an idle time-out ago.
            batch.phase = Phase.SPLIT
            batch.idle_since_ms = now_ms
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
        self.retargeted: list[Batch] = []


class BatchTable:
    """Batches of all slots in transition in the applied configuration."""

    __slots__ = ("_batches", "_by_slot", "_limits", "_tables")

    def __init__(self, limits: RoutingLimits) -> None:
        self._limits = limits
        self._tables: dict[str, SlotTable] = {}
        self._by_slot: dict[str, dict[int, Batch]] = {}
        self._batches: dict[str, list[Batch]] = {}

    def __iter__(self) -> Iterator[Batch]:
        for batches in self._batches.values():
            yield from batches

    def find(self, service: str, slot: int) -> Batch | None:
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
        by_slot: dict[int, Batch] = {}
        created: dict[tuple[int, OwnerGroup, int], Batch] = {}
        ended = [slot for slot in before if slot not in table.transitions]
        for slot, transition in sorted(table.transitions.items()):
            old = before.get(slot)
            if old is not None and old_table.bases[slot].default != table.bases[slot].default:
                # The old transition ended with an entry between the two configurations.
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
        old: Batch | None,
        version: int,
        now_ms: int,
    ) -> Batch:
        if old is None:
            return Batch(service, transition, self._limits, now_ms)
        return old.derive(transition, version, self._limits, now_ms)
