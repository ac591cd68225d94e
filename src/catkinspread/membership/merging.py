"""Merging of received member states, and refutation of those about this instance."""

from collections.abc import Iterable

from catkinspread.membership.actions import MemberChanged, MembershipAction
from catkinspread.membership.dissemination import DisseminationQueue
from catkinspread.membership.messages import MemberRecord, MemberState, MemberUpdate
from catkinspread.membership.probes import ProbeTracker
from catkinspread.membership.settings import MembershipSettings
from catkinspread.membership.table import MemberTable


class RecordMerger:
    """Applies received and local member states to the table and queues changes for dissemination.

    Attributes:
        has_urgent_updates: Whether a queued change should be sent before the next heartbeat is due.
    """

    __slots__ = (
        "_dissemination",
        "_own_id",
        "_probes",
        "_settings",
        "_suspicion_deadlines_ms",
        "_table",
        "has_urgent_updates",
    )

    def __init__(
        self,
        own_id: str,
        table: MemberTable,
        dissemination: DisseminationQueue,
        probes: ProbeTracker,
        settings: MembershipSettings,
    ) -> None:
        self._own_id = own_id
        self._table = table
        self._dissemination = dissemination
        self._probes = probes
        self._settings = settings
        self._suspicion_deadlines_ms: dict[str, int] = {}
        self.has_urgent_updates = False

    def restart_suspicion_timers(self, now_ms: int) -> None:
        """Restarts the timers of all suspicions after a pause of this instance.

        Refutations that were received during the pause have not been processed yet.
        """
        self._suspicion_deadlines_ms = dict.fromkeys(
            self._suspicion_deadlines_ms, now_ms + self._settings.suspicion_ms
        )

    def queue_state(self, member: str) -> None:
        """Queues the state of a member for dissemination."""
        count = self._table.count_live()
        self._dissemination.add(member, self._settings.compute_send_limit(count))

    def suspect(self, target: str, now_ms: int, actions: list[MembershipAction]) -> None:
        """Marks a member as suspect if it is alive."""
        member = self._table.find(target)
        if member is None or member.state is not MemberState.ALIVE:
            return
        update = MemberUpdate(target, member.incarnation, member.refutation, MemberState.SUSPECT)
        self.merge_update(update, now_ms, actions)

    def expire_suspicions(self, now_ms: int, actions: list[MembershipAction]) -> None:
        """Marks suspects as dead whose suspicion timer has expired."""
        for target in [
            key for key, due_ms in self._suspicion_deadlines_ms.items() if due_ms <= now_ms
        ]:
            member = self._table.find(target)
            update = MemberUpdate(target, member.incarnation, member.refutation, MemberState.DEAD)
            self.merge_update(update, now_ms, actions)

    def merge_records(
        self,
        records: Iterable[MemberRecord],
        now_ms: int,
        actions: list[MembershipAction],
        should_disseminate: bool = True,
    ) -> None:
        """Merges records that are newer than the known states.

        Args:
            records: The records.
            now_ms: Time of receipt.
            actions: List that the resulting actions are appended to.
            should_disseminate: Whether to queue the changes. Pages of a view need not be
                disseminated, as most members know their records already.
        """
        for record in records:
            self.merge_record(record, now_ms, actions, should_disseminate)

    def merge_record(
        self,
        record: MemberRecord,
        now_ms: int,
        actions: list[MembershipAction],
        should_disseminate: bool = True,
    ) -> None:
        """Merges a record if it is newer than the known state."""
        if record.member == self._own_id:
            self._refute(record, now_ms, actions)
            return
        known = self._table.find(record.member)
        if known is not None and not known.is_older_than(record):
            if known.is_endpoint_assumed and known.incarnation == record.incarnation:
                known.set_location(record)
            return
        is_expired = record.ended_ago_s * 1_000 >= self._settings.forget_after_ms
        if known is None and is_expired:
            return
        self._table.insert_or_replace(record, now_ms)
        self._handle_change(record.member, now_ms, actions, should_disseminate)

    def merge_update(
        self, update: MemberUpdate, now_ms: int, actions: list[MembershipAction]
    ) -> None:
        """Merges a state if the member is known and the state is newer."""
        if update.member == self._own_id:
            self._refute(update, now_ms, actions)
            return
        known = self._table.find(update.member)
        if known is None or not known.is_older_than(update):
            return
        self._table.set_state(update, now_ms)
        self._handle_change(update.member, now_ms, actions)

    def merge_deaths(self, deaths: bytes, now_ms: int, actions: list[MembershipAction]) -> None:
        """Marks as dead the live members whose incarnation hash occurs in `deaths`.

        Args:
            deaths: Concatenated 4-byte little-endian hashes from `hash_incarnation`.
            now_ms: Time of receipt.
            actions: List that the resulting actions are appended to.
        """
        for start in range(0, len(deaths), 4):
            known = self._table.find_live_by_hash(
                int.from_bytes(deaths[start : start + 4], "little")
            )
            if known is not None:
                self.merge_update(
                    MemberUpdate(
                        known.member, known.incarnation, known.refutation, MemberState.DEAD
                    ),
                    now_ms,
                    actions,
                )

    def _handle_change(
        self,
        member: str,
        now_ms: int,
        actions: list[MembershipAction],
        should_disseminate: bool = True,
    ) -> None:
        known = self._table.find(member)
        self._suspicion_deadlines_ms.pop(member, None)
        if known.state is MemberState.SUSPECT:
            self._suspicion_deadlines_ms[member] = now_ms + self._settings.suspicion_ms
        if known.state is not MemberState.SUSPECT:
            self._probes.finish(member)
        if should_disseminate:
            self.queue_state(member)
            self.has_urgent_updates |= known.state is not MemberState.ALIVE or known.refutation > 0
        actions.append(MemberChanged(member, known.incarnation, known.state))

    def _refute(
        self, claim: MemberUpdate | MemberRecord, now_ms: int, actions: list[MembershipAction]
    ) -> None:
        own = self._table.find(self._own_id)
        if own.state is MemberState.LEFT or not own.is_older_than(claim):
            return
        incarnation, refutation = claim.incarnation, claim.refutation + 1
        # Slots owned by a member that was declared dead have been reassigned, so this instance
        # rejoins as a new incarnation. It does the same if an earlier run of this instance had a
        # later clock and therefore a greater incarnation.
        if claim.state is not MemberState.SUSPECT or incarnation != own.incarnation:
            incarnation, refutation = max(now_ms, claim.incarnation + 1), 0
        actions += self.set_own_incarnation(incarnation, refutation, now_ms)

    def set_own_incarnation(
        self, incarnation: int, refutation: int, now_ms: int
    ) -> list[MembershipAction]:
        """Sets the incarnation and refutation of this instance and queues the change.

        The pair must be greater than the current one; this is not checked.
        """
        own = self._table.find(self._own_id)
        version = own.version
        update = MemberUpdate(own.member, incarnation, refutation, MemberState.ALIVE)
        self._table.set_state(update, now_ms)
        self._table.record_version(own.member, version)
        self.queue_state(own.member)
        self.has_urgent_updates = True
        return [MemberChanged(own.member, incarnation, MemberState.ALIVE)]
