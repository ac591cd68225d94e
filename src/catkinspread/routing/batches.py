"""Slots in transition, grouped by what happens to them at the same time."""

import enum
from collections.abc import Iterator

from catkinspread.model import Configuration, OwnerGroup, OwnerMember, SlotTable, SlotTransition
from catkinspread.routing.limits import RoutingLimits


class Phase(enum.Enum):
    """Phase of a transition at one member of the owner group.

    HOLD: every flow gets the base.
    SPLIT: opens get the target, unknown flows the base.
    LISTING: all live flows are known and the list is being written; unknown flows were opened
        by instances that have the list already, so they get the target.
    UNCERTAIN: a predecessor may have written the list; unknown flows are dropped.
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
        group: Instances that decide.
        phase: Phase at this member.
        hold_version: Version that all instances must have before HOLD ends.
        hold_from_ms: Earliest end of HOLD.
        hold_until_ms: Latest end of HOLD.
        idle_since_ms: Start of the idle time that must pass before the list is made.
        generation_started_ms: Start of the current generation of the pins.
        uncertain_until_ms: End of UNCERTAIN.
        last_decision_ms: When this member last decided for one of the slots; None if never.
        acting_member: First live member of the group; None if none is alive.
        is_acting: Whether this member was the acting owner at the last step.
        former_members: Members of earlier groups that some instances may still forward to. They store
            pins too, because they answer these packets.
        former_version: Version that all instances must have before former members are of no
            use.
        is_announced: Whether the acting owner has announced the list.
        missing_since_ms: Since when a member is missing; None if none is.
        joining_members: Members that get the pins before they enter the group.
        copy_requests: Requests of the copy to joining members.
        acknowledged_members: Members that have acknowledged the announcement of the list.
        announced_ms: When the list was last announced; None if not yet.
        next_listing_ms: Earliest time of the next attempt to list.
        requested_on_version: Version on which the last entry was decided.
        requested_at_ms: When the last entry was asked for.
    """

    __slots__ = (
        "acting_member",
        "announced_ms",
        "requested_on_version",
        "requested_at_ms",
        "idle_since_ms",
        "copy_requests",
        "last_decision_ms",
        "former_members",
        "former_version",
        "generation_started_ms",
        "group",
        "hold_from_ms",
        "hold_until_ms",
        "hold_version",
        "is_acting",
        "is_announced",
        "joining_members",
        "next_listing_ms",
        "missing_since_ms",
        "phase",
        "acknowledged_members",
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
        """Returns an empty batch for slots of this one that have a new target or group.

        Args:
            transition: The transition as it is now.
            version: Version of the configuration.
            limits: Times of the routing.
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
            # Flows of the old target were opened less than an idle time ago.
            batch.phase = Phase.SPLIT
            batch.idle_since_ms = now_ms
        return batch


class BatchChanges:
    """What a new configuration changed.

    Attributes:
        ended: Slots whose transition has ended, by service.
        retargeted: Batches that have a new target and restart their idle clock.
    """

    __slots__ = ("ended", "retargeted")

    def __init__(self) -> None:
        self.ended: dict[str, list[int]] = {}
        self.retargeted: list[Batch] = []


class BatchTable:
    """All batches of the applied configuration."""

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
        """Rebuilds the batches of the services whose table has changed."""
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
                # The old transition was listed in an entry between the two configurations.
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
