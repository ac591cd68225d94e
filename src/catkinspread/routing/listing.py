"""Ends transitions by listing their exceptions in the slot table.

A listing is the announcement to the replicas and the entry that follows it. The entry makes the
target the default of the slots and lists the flows that stay on another upstream as exceptions.
"""

from catkinspread.configuration import SlotsListed
from catkinspread.routing.actions import AppendEntry, OwnerAction, SendMessage
from catkinspread.routing.batches import TransitionBatch, TransitionPhase
from catkinspread.routing.messages import AnnounceListing, ListingAcknowledged
from catkinspread.routing.owner_context import OwnerContext
from catkinspread.routing.queries import can_serve_flows

# Delay before the next attempt when the exceptions exceed the limit of the service.
_LISTING_RETRY_MS = 1_000


class ListingCoordinator:
    """Determines when all live flows of a batch are known, and requests the entry that ends it.

    The entry lists as exceptions the flows that stay on another upstream than the target.
    """

    __slots__ = ("_owner",)

    def __init__(self, owner: OwnerContext) -> None:
        self._owner = owner

    def advance(self, batch: TransitionBatch, now_ms: int, actions: list[OwnerAction]) -> None:
        """Advances a batch of the acting member towards the end of its transition."""
        limits = self._owner.limits
        if batch.phase is TransitionPhase.LISTING:
            self._request_entry(batch, now_ms, actions)
            return
        if batch.phase is not TransitionPhase.SPLIT or now_ms < batch.next_listing_ms:
            return
        if now_ms - batch.generation_started_ms >= limits.flow_idle_timeout_ms:
            batch.generation_started_ms = now_ms
            removed = self._owner.pins.remove_idle(batch.service, batch.slots)
            self._owner.remove_at_replicas(batch.service, removed, actions)
        if (
            now_ms - batch.listing_timer_started_ms < limits.flow_idle_timeout_ms
            or batch.joining_members
        ):
            return
        if not self._fits_exception_limit(batch):
            self._owner.counters.listings_blocked += 1
            batch.next_listing_ms = now_ms + _LISTING_RETRY_MS
            return
        missing = set(self._owner.list_replicas(batch)) - batch.acknowledged_members
        if not missing:
            batch.phase = TransitionPhase.LISTING
            self._request_entry(batch, now_ms, actions)
        elif (
            batch.announced_ms is None or now_ms - batch.announced_ms >= limits.replication_retry_ms
        ):
            batch.announced_ms = now_ms
            message = AnnounceListing(batch.service, batch.version, tuple(batch.slots))
            actions.extend(SendMessage(name, message) for name in sorted(missing))

    def handle_announcement(self, message: AnnounceListing, now_ms: int) -> ListingAcknowledged:
        """Records at a replica that the acting member is about to list exceptions of slots."""
        idle_ms = self._owner.limits.flow_idle_timeout_ms
        for slot in message.slots:
            batch = self._owner.batches.find(message.service, slot)
            if batch is None or batch.version != message.version:
                continue
            batch.is_announced = True
            if batch.last_routed_ms is not None:
                idle_ms = min(idle_ms, now_ms - batch.last_routed_ms)
        return ListingAcknowledged(message.service, message.version, idle_ms)

    def handle_acknowledgement(
        self, sender: str, message: ListingAcknowledged, now_ms: int
    ) -> None:
        """Handles the acknowledgement of a replica.

        A replica that routed packets recently may have seen flows that this instance does not
        know. They are known after an idle time-out in which the replica routes no packets.
        """
        idle_ms = self._owner.limits.flow_idle_timeout_ms
        for batch in self._owner.batches:
            if (batch.service, batch.version) != (message.service, message.version):
                continue
            if message.quiet_ms >= idle_ms:
                batch.acknowledged_members.add(sender)
            else:
                batch.next_listing_ms = now_ms + idle_ms - message.quiet_ms
                batch.acknowledged_members.clear()

    def _request_entry(
        self, batch: TransitionBatch, now_ms: int, actions: list[OwnerAction]
    ) -> None:
        """Requests the entry, unless one was requested recently.

        A request for the same configuration version is repeated only after `append_retry_ms`.
        """
        version = self._owner.configuration.version
        waited_ms = now_ms - batch.requested_at_ms
        if batch.requested_on_version == version and waited_ms < self._owner.limits.append_retry_ms:
            return
        batch.requested_on_version = version
        batch.requested_at_ms = now_ms
        effect = self._build_list(batch)
        actions.append(AppendEntry(version, (effect,), f"transition {batch.version} has ended"))

    def _build_list(self, batch: TransitionBatch) -> SlotsListed:
        """Returns the exception list of as many slots as fit in one entry."""
        slots: list[int] = []
        exceptions: dict[str, list[int]] = {}
        count = 0
        for slot in batch.slots:
            listed = self._list_exceptions(batch.service, slot)
            if slots and count + len(listed) > self._owner.limits.listed_flows_max:
                break
            slots.append(slot)
            count += len(listed)
            for flow, upstream in listed:
                exceptions.setdefault(upstream, []).append(flow)
        listed_flows = {name: tuple(sorted(exceptions[name])) for name in sorted(exceptions)}
        return SlotsListed(batch.service, batch.version, tuple(slots), listed_flows)

    def _list_exceptions(self, service: str, slot: int) -> list[tuple[int, str]]:
        configuration = self._owner.configuration
        pins = self._owner.pins.find_slot(service, slot)
        if pins is None:
            return []
        target = configuration.slot_tables[service].transitions[slot].target
        return [
            (flow, upstream)
            for flow, upstream in pins.items()
            if upstream != target
            and can_serve_flows(configuration, upstream)
            and not self._owner.pins.is_closing(service, flow)
        ]

    def _fits_exception_limit(self, batch: TransitionBatch) -> bool:
        configuration = self._owner.configuration
        replaced = set(batch.slots)
        kept = sum(
            base.exception_count
            for slot, base in enumerate(configuration.slot_tables[batch.service].bases)
            if slot not in replaced
        )
        added = sum(len(self._list_exceptions(batch.service, slot)) for slot in batch.slots)
        return kept + added <= self._owner.limits.exceptions_max
