"""Decides whether a report of an upstream is applied when it is read, or held back.

A write whose answer is lost may be executed seconds later, after newer reports of the upstream. The
source then holds the older report until the upstream writes again, which a live one does within a
heartbeat interval, because the entry is not what it reports. An older report is therefore held back:
the last record stays in use. It is applied if the source still holds it after LATE_WRITE_MAX_MS,
because then nobody corrects it. Without that, an upstream whose number or clock was set back would be
lost for ever: an entry that changes only in its number makes no event.

Within a start, the number of a report tells which one is older. The times of two starts tell it only
with clocks that were not set back in between, so they are compared only shortly after the later one
was seen, when writes of the earlier one may still be executed.
"""

import enum

import msgspec

from catkinspread.deployment.records import UpstreamRecord

# Longest time after which a write that got no answer is executed.
LATE_WRITE_MAX_MS = 6_000


class Verdict(enum.Enum):
    """What becomes of a report.

    Attributes:
        APPLIED: It is the last record of the upstream from now on.
        HELD: It is older than the last record, which stays in use.
        REFUSED: The process of the last record cannot have written it.
    """

    APPLIED = "applied"
    HELD = "held"
    REFUSED = "refused"


class _Start(msgspec.Struct, frozen=True):
    """A start of the process of an upstream.

    Attributes:
        born_ms: Its time, as the upstream tells it.
        seen_at_ms: When a report of it was first applied.
        previous_born_ms: Time of the start before it; None if that is not known.
    """

    born_ms: int
    seen_at_ms: int
    previous_born_ms: int | None


class _HeldReport(msgspec.Struct, frozen=True):
    """A report that is held back.

    Attributes:
        record: The report.
        since_ms: Since when the source has held a report of this upstream that is older than its
            last record.
    """

    record: UpstreamRecord
    since_ms: int


class ReportOrder:
    """Keeps the order of the reports of all upstreams, and those that are held back."""

    __slots__ = ("_held", "_starts")

    def __init__(self) -> None:
        self._held: dict[str, _HeldReport] = {}
        # Starts seen within LATE_WRITE_MAX_MS, oldest first; older ones are dropped by the way.
        self._starts: dict[str, _Start] = {}

    def judge(self, record: UpstreamRecord, last: UpstreamRecord | None, now_ms: int) -> Verdict:
        """Decides what becomes of a report that the source holds.

        Args:
            record: The report.
            last: Last record of the upstream, which may have been removed since; None if it is not
                known.
            now_ms: Current time.
        """
        if last is None or record == last:
            return Verdict.APPLIED
        if record.contradicts(last):
            return Verdict.REFUSED
        if record.born_ms != last.born_ms:
            is_older = self._is_earlier_start(record, last, now_ms)
        else:
            is_older = record.is_older_than(last)
        return Verdict.HELD if is_older else Verdict.APPLIED

    def _is_earlier_start(self, record: UpstreamRecord, last: UpstreamRecord, now_ms: int) -> bool:
        start = self._starts.get(record.name)
        if start is None or now_ms - start.seen_at_ms >= LATE_WRITE_MAX_MS:
            return False
        return record.born_ms == start.previous_born_ms or record.is_older_than(last)

    def record_applied(
        self, record: UpstreamRecord, last: UpstreamRecord | None, now_ms: int
    ) -> None:
        """Notes that a report has become the last record of its upstream.

        A held report stays if the last record was read again.
        """
        if record == last:
            return
        self._held.pop(record.name, None)
        previous_born_ms = last.born_ms if last else None
        if record.born_ms == previous_born_ms:
            return
        self._starts.pop(record.name, None)
        self._starts[record.name] = _Start(record.born_ms, now_ms, previous_born_ms)
        self._drop_old_starts(now_ms)

    def _drop_old_starts(self, now_ms: int) -> None:
        while self._starts:
            name, oldest = next(iter(self._starts.items()))
            if now_ms - oldest.seen_at_ms < LATE_WRITE_MAX_MS:
                return
            del self._starts[name]

    def hold(self, record: UpstreamRecord, now_ms: int) -> None:
        """Holds a report back; a later one takes its place and is held no longer than the first."""
        held = self._held.get(record.name)
        self._held[record.name] = _HeldReport(record, held.since_ms if held else now_ms)

    def discard_held(self, name: str) -> None:
        """Drops the held report of an upstream, because the source no longer holds it."""
        self._held.pop(name, None)

    def keep_held(self, names: set[str]) -> None:
        """Drops the held reports of all upstreams but the given ones."""
        for name in list(self._held):
            if name not in names:
                del self._held[name]

    def find_held(self, name: str) -> UpstreamRecord | None:
        """Returns the held report of an upstream; None if there is none."""
        held = self._held.get(name)
        return held.record if held else None

    def list_held(self) -> tuple[UpstreamRecord, ...]:
        """Returns all held reports."""
        return tuple(held.record for held in self._held.values())

    def restart_holding(self, now_ms: int) -> None:
        """Holds all held reports for the full time from now on."""
        for name, held in self._held.items():
            self._held[name] = _HeldReport(held.record, now_ms)

    def list_due(self, now_ms: int) -> tuple[UpstreamRecord, ...]:
        """Returns the held reports that are to be applied, because nobody has corrected them."""
        return tuple(
            held.record
            for held in self._held.values()
            if now_ms - held.since_ms >= LATE_WRITE_MAX_MS
        )

    def find_next_due_ms(self) -> int | None:
        """Returns when the next held report is to be applied; None if there is none."""
        if not self._held:
            return None
        return min(held.since_ms for held in self._held.values()) + LATE_WRITE_MAX_MS
