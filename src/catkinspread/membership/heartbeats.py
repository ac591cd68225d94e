"""Composes heartbeats, and merges the reports of configuration versions that they carry."""

import msgspec

from catkinspread.membership.actions import SendMessage
from catkinspread.membership.messages import (
    Heartbeat,
    MemberState,
    VersionReports,
    measure_encoded_bytes,
)
from catkinspread.membership.outbox import Outbox
from catkinspread.membership.table import Member, MemberTable


class HeartbeatComposer:
    """Fills heartbeats of bounded size.

    Attributes:
        sequence: Number of the last heartbeat that is not a reply.
    """

    __slots__ = ("_max_bytes", "_outbox", "_own_id", "_table", "sequence")

    def __init__(self, own_id: str, table: MemberTable, outbox: Outbox, max_bytes: int) -> None:
        self._own_id = own_id
        self._table = table
        self._outbox = outbox
        self._max_bytes = max_bytes
        self.sequence = 0

    def make_heartbeat(
        self, receiver: Member, now_ms: int, reply_to: int | None = None
    ) -> SendMessage:
        """Returns a heartbeat with the news that fit.

        Args:
            receiver: Where to send it. If it is not taken for alive, it is told so.
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
            self._table.digest(),
            self._make_reports(),
        )
        room_bytes = self._max_bytes - measure_encoded_bytes(heartbeat)
        first = None if receiver.state is MemberState.ALIVE else receiver
        news = self._outbox.take(self._table, first, room_bytes, now_ms)
        if news.updates or news.records or news.deaths:
            heartbeat = msgspec.structs.replace(
                heartbeat,
                updates=tuple(news.updates),
                records=tuple(news.records),
                deaths=news.deaths,
            )
        return SendMessage(receiver.member, receiver.endpoint, heartbeat)

    def _make_reports(self) -> VersionReports | None:
        version, mask = self._table.get_reports()
        count = self._table.count_live()
        if version == 0:
            return None
        if mask == (1 << count) - 1:
            return VersionReports(version, True)
        return VersionReports(version, False, mask.to_bytes((count + 7) // 8, "little"))

    def merge_reports(self, message: Heartbeat) -> None:
        """Takes over the reports of a sender that has the same live members."""
        reports = message.reports
        if reports is None or message.digest != self._table.digest():
            return
        mask = int.from_bytes(reports.members, "little")
        if reports.is_complete:
            mask = (1 << self._table.count_live()) - 1
        self._table.merge_reports(reports.version, mask)
