"""Takes over what other members say, and refutes what they say about this instance."""

from collections.abc import Iterable

from catkinspread.membership.actions import MemberChanged, MembershipAction
from catkinspread.membership.dissemination import DisseminationQueue
from catkinspread.membership.messages import MemberRecord, MemberState, MemberUpdate
from catkinspread.membership.probes import ProbeTracker
from catkinspread.membership.settings import MembershipSettings
from catkinspread.membership.table import MemberTable


class RecordMerger:
    """Changes the table by received and own findings, and queues them for others.

    Attributes:
        has_urgent_updates: Whether news was queued that should not wait for the next heartbeat.
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
        """Starts the time of all suspicions anew, because this instance was paused."""
        self._suspicion_deadlines_ms = dict.fromkeys(
            self._suspicion_deadlines_ms, now_ms + self._settings.suspicion_ms
        )

    def queue_state(self, member: str) -> None:
        """Queues the state of a member for others."""
        count = self._table.count_live()
        self._dissemination.add(member, self._settings.compute_send_limit(count))

    def suspect(self, target: str, now_ms: int, actions: list[MembershipAction]) -> None:
        """Suspects a live member."""
        member = self._table.find(target)
        if member is None or member.state is not MemberState.ALIVE:
            return
        update = MemberUpdate(target, member.incarnation, member.refutation, MemberState.SUSPECT)
        self.merge_update(update, now_ms, actions)

    def expire_suspicions(self, now_ms: int, actions: list[MembershipAction]) -> None:
        """Declares suspects dead whose time has passed."""
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
        """Takes over the records that are newer than what is known.

        Args:
            records: The records.
            now_ms: Time of receipt.
            actions: Receives the changes.
            should_disseminate: Whether to pass the records on. A page of a view holds what most members
                know already.
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
        """Takes over a record if it is newer than what is known."""
        if record.member == self._own_id:
            self._refute(record, now_ms, actions)
            return
        known = self._table.find(record.member)
        if known is not None and not known.is_older_than(record):
            if known.is_endpoint_assumed and known.incarnation == record.incarnation:
                known.set_endpoint(record)
            return
        is_old_death = record.ended_ago_s * 1_000 >= self._settings.forget_after_ms
        if known is None and is_old_death:
            return
        self._table.put(record, now_ms)
        self._handle_change(record.member, now_ms, actions, should_disseminate)

    def merge_update(
        self, update: MemberUpdate, now_ms: int, actions: list[MembershipAction]
    ) -> None:
        """Takes over a state if it is newer and the member is known."""
        if update.member == self._own_id:
            self._refute(update, now_ms, actions)
            return
        known = self._table.find(update.member)
        if known is None or not known.is_older_than(update):
            return
        self._table.set_state(update, now_ms)
        self._handle_change(update.member, now_ms, actions)

    def merge_deaths(self, deaths: bytes, now_ms: int, actions: list[MembershipAction]) -> None:
        """Takes over deaths of incarnations that are live here; see `Heartbeat`."""
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
        # Roles of a member that was declared dead have passed to others, so it comes back as
        # a new incarnation. The same holds if an earlier run had a later clock.
        if claim.state is not MemberState.SUSPECT or incarnation != own.incarnation:
            incarnation, refutation = max(now_ms, claim.incarnation + 1), 0
        actions += self.renew(incarnation, refutation, now_ms)

    def renew(self, incarnation: int, refutation: int, now_ms: int) -> list[MembershipAction]:
        """Gives this instance a greater incarnation or refutation and spreads the news."""
        own = self._table.find(self._own_id)
        version = own.version
        update = MemberUpdate(own.member, incarnation, refutation, MemberState.ALIVE)
        self._table.set_state(update, now_ms)
        self._table.record_version(own.member, version)
        self.queue_state(own.member)
        self.has_urgent_updates = True
        return [MemberChanged(own.member, incarnation, MemberState.ALIVE)]
