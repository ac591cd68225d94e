"""Replaces members of owner groups.

A member that has failed or is leaving is replaced by the acting member. If all members have failed,
another instance creates a new group.
"""

from catkinspread.configuration import GroupChanged
from catkinspread.hashing import rank_by_rendezvous
from catkinspread.model import DataCentreState, InstanceIncarnation, OwnerGroup
from catkinspread.routing.actions import AppendEntry, OwnerAction
from catkinspread.routing.batches import TransitionBatch
from catkinspread.routing.groups import choose_group
from catkinspread.routing.owner_context import OwnerContext


class GroupCoordinator:
    """Copies pins to new members and requests the entry that changes a group."""

    __slots__ = ("_owner",)

    def __init__(self, owner: OwnerContext) -> None:
        self._owner = owner

    def advance(self, batch: TransitionBatch, now_ms: int, actions: list[OwnerAction]) -> None:
        """Replaces members that have failed or are leaving; called at the acting member."""
        group = self._plan_group(batch, now_ms)
        if group is None:
            batch.joining_members = ()
            batch.copy_requests = []
            return
        old_names = {member.instance for member in batch.group.members}
        joining = tuple(
            member.instance
            for member in group.members
            if member not in batch.group.members or member.instance not in old_names
        )
        if joining != batch.joining_members:
            self._start_copy(batch, joining, now_ms, actions)
        if any(map(self._owner.replicator.is_request_pending, batch.copy_requests)):
            return
        self._request_entry(
            batch, group, "a member of the owner group was replaced", now_ms, actions
        )

    def recreate_group(
        self, batch: TransitionBatch, now_ms: int, actions: list[OwnerAction]
    ) -> None:
        """Creates a new group for slots whose members have all failed.

        Only the first live instance in rendezvous order does so, so that normally a single entry
        is attempted. The pins of the old group are lost.
        """
        if batch.missing_since_ms is None:
            batch.missing_since_ms = now_ms
        if now_ms - batch.missing_since_ms < self._owner.limits.regroup_delay_ms:
            return
        names = [view.name for view in self._owner.members if not view.is_leaving]
        own = self._owner.member
        if not names or rank_by_rendezvous(batch.service, names)[0] != own.instance:
            return
        group = self._choose(batch, (own,))
        reason = "all members of the owner group have died"
        if self._request_entry(batch, group, reason, now_ms, actions):
            self._owner.counters.groups_recreated += 1

    def _plan_group(self, batch: TransitionBatch, now_ms: int) -> OwnerGroup | None:
        """Returns the group that should replace that of a batch; None if no change is needed."""
        members = self._owner.members
        kept = [member for member in batch.group.members if members.is_alive(member)]
        if len(kept) == len(batch.group.members):
            batch.missing_since_ms = None
        elif batch.missing_since_ms is None:
            batch.missing_since_ms = now_ms
        staying = [member for member in kept if not members.is_leaving(member)]
        missing_ms = 0 if batch.missing_since_ms is None else now_ms - batch.missing_since_ms
        is_due = batch.missing_since_ms is not None and (
            missing_ms >= self._owner.limits.regroup_delay_ms
        )
        if not is_due and len(staying) == len(kept):
            return None
        group = self._choose(batch, tuple(staying))
        return group if group.members and group != batch.group else None

    def _choose(self, batch: TransitionBatch, kept: tuple[InstanceIncarnation, ...]) -> OwnerGroup:
        data_centres = self._owner.configuration.data_centres.values()
        avoided = frozenset(
            data_centre.name
            for data_centre in data_centres
            if data_centre.state is DataCentreState.OUT
        )
        return choose_group(batch.service, self._owner.members, kept, avoided)

    def _start_copy(
        self,
        batch: TransitionBatch,
        joining: tuple[str, ...],
        now_ms: int,
        actions: list[OwnerAction],
    ) -> None:
        owner = self._owner
        batch.joining_members = joining
        batch.copy_requests = []
        pins = [
            (flow, upstream)
            for slot in batch.slots
            if (slot_pins := owner.pins.find_slot(batch.service, slot)) is not None
            for flow, upstream in slot_pins.items()
            # A new member derives the base upstream from the slot table itself.
            if upstream != owner.find_base_upstream(batch.service, flow)
        ]
        for name in joining:
            request_ids, messages = owner.replicator.copy_pins(
                batch.service, owner.configuration.version, pins, name, now_ms
            )
            batch.copy_requests.extend(request_ids)
            actions.extend(messages)

    def _request_entry(
        self,
        batch: TransitionBatch,
        group: OwnerGroup,
        reason: str,
        now_ms: int,
        actions: list[OwnerAction],
    ) -> bool:
        """Requests the entry, unless one was requested recently, and returns whether it did.

        A request for the same configuration version is repeated only after `append_retry_ms`.
        """
        version = self._owner.configuration.version
        waited_ms = now_ms - batch.requested_at_ms
        if batch.requested_on_version == version and waited_ms < self._owner.limits.append_retry_ms:
            return False
        batch.requested_on_version = version
        batch.requested_at_ms = now_ms
        effect = GroupChanged(batch.service, tuple(batch.slots), group)
        actions.append(AppendEntry(version, (effect,), reason))
        return True
