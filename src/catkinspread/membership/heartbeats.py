"""Building of heartbeats and merging of the configuration versions that they report."""

import msgspec

from catkinspread.membership.actions import SendMessage
from catkinspread.membership.dissemination import DisseminationQueue
from catkinspread.membership.messages import (
    Heartbeat,
    MemberState,
    VersionReports,
    measure_encoded_bytes,
)
from catkinspread.membership.table import Member, MemberTable


class HeartbeatBuilder:
    """Builds heartbeats of limited size.

    Attributes:
        sequence: Number of the last heartbeat that is not a reply.
    """

    __slots__ = ("_dissemination", "_max_bytes", "_own_id", "_table", "sequence")

    def __init__(
        self, own_id: str, table: MemberTable, dissemination: DisseminationQueue, max_bytes: int
    ) -> None:
        self._own_id = own_id
        self._table = table
        self._dissemination = dissemination
        self._max_bytes = max_bytes
        self.sequence = 0

    def build(self, receiver: Member, now_ms: int, reply_to: int | None = None) -> SendMessage:
        """Returns the action that sends a heartbeat with as many queued member states as fit.

        Counts the included states as sent. Increments `sequence` unless the heartbeat is a reply.

        Args:
            receiver: The receiver. If this view considers the receiver suspect, dead or left, the
                heartbeat includes that state, so that the receiver can refute it.
            now_ms: Time of sending.
            reply_to: Sequence of the heartbeat that this one answers, or None.
        """
        own = self._table.find(self._own_id)
        if reply_to is None:
            self.sequence += 1
        heartbeat = Heartbeat(
            own.member,
            own.incarnation,
            own.refutation,
            own.state,
            own.version,
            self.sequence if reply_to is None else reply_to,
            reply_to is not None,
            self._table.get_digest(),
            self._make_reports(),
        )
        remaining_bytes = self._max_bytes - measure_encoded_bytes(heartbeat)
        first = None if receiver.state is MemberState.ALIVE else receiver
        payload = self._dissemination.take_payload(self._table, first, remaining_bytes, now_ms)
        if payload.updates or payload.records or payload.deaths:
            heartbeat = msgspec.structs.replace(
                heartbeat,
                updates=tuple(payload.updates),
                records=tuple(payload.records),
                deaths=payload.deaths,
            )
        return SendMessage(receiver.member, receiver.endpoint, heartbeat)

    def _make_reports(self) -> VersionReports | None:
        version, mask = self._table.get_version_reports()
        count = self._table.count_live()
        if version == 0:
            return None
        if mask == (1 << count) - 1:
            return VersionReports(version, True)
        return VersionReports(version, False, mask.to_bytes((count + 7) // 8, "little"))

    def merge_reports(self, message: Heartbeat) -> None:
        """Merges the version reports of a heartbeat if its sender has the same live members.

        The bits of a report refer to positions in the list of live members, so reports of a
        sender with other live members are ignored.
        """
        reports = message.reports
        if reports is None or message.digest != self._table.get_digest():
            return
        mask = int.from_bytes(reports.members, "little")
        if reports.is_complete:
            mask = (1 << self._table.count_live()) - 1
        self._table.merge_version_reports(reports.version, mask)
