"""Keeps records in bounded memory and hands them out in batches for the object store."""

import collections
import enum

import msgspec

from catkinspread.hashing import hash_text
from catkinspread.records.reasons import find_reason
from catkinspread.records.record import (
    FlowRecord,
    Record,
    RequestRecord,
    encode_batch,
    encode_record,
)

RING_CAPACITY = 10_000
BATCH_MAX_BYTES = 64 * 1024
BATCH_INTERVAL_MS = 5_000
# Encoded records that wait for the store: 8 MB of the 128 MB that an instance may use, about
# 30,000 records.
BACKLOG_MAX_BYTES = 8_000_000
# A record with detail text of any length must fit into a batch with others.
DETAIL_MAX_CHARACTERS = 500
_BATCH_HEADER_BYTES = 5
CLOCK_SKEW_MAX_MS = 500
_KEY_DIGITS = 12


class UnknownReason(Exception):
    """A record names a reason that is not registered."""


class WriteOutcome(enum.Enum):
    """How a write to the object store ended.

    EXISTS: the key is taken by another object, e.g. of an earlier run of the instance.
    """

    WRITTEN = "written"
    EXISTS = "exists"
    UNAVAILABLE = "unavailable"
    OUTCOME_UNKNOWN = "outcome-unknown"


class WriteBatch(msgspec.Struct, frozen=True):
    """Create the object if it is absent, and report the outcome.

    If the key exists with the same value, the outcome is WRITTEN.
    """

    key: str
    value: bytes


class RecordCounts(msgspec.Struct, frozen=True):
    """How many records went which way since the start.

    Attributes:
        added: Records made.
        written: Records that are in the object store.
        pending: Records that wait for the object store.
        dropped: Records that never reached the object store, because it was down for too long.
        evicted: Records that left the ring; the written ones are still in the object store.
    """

    added: int
    written: int
    pending: int
    dropped: int
    evicted: int


class NoRecordFound(msgspec.Struct, frozen=True):
    """No record was found, with what is known about why.

    Attributes:
        reason: What is known, as a sentence.
        is_complete: Whether the ring holds every record since the start of the instance, so
            that no slow answer, refusal or given-up flow was seen here.
        complete_since_ms: The ring is complete from this time on, in ms since the epoch.
        dropped: Records that were lost for good.
    """

    reason: str
    is_complete: bool
    complete_since_ms: int
    dropped: int


class _PendingWrite(msgspec.Struct, frozen=True):
    write: WriteBatch
    count: int


class RecordStore:
    """Holds the records of one instance.

    A batch keeps its key and value while it is retried, so that a write whose answer was lost
    is never stored twice. Only one write is under way at a time.
    """

    __slots__ = (
        "_added",
        "_backlog_bytes",
        "_backlog_max_bytes",
        "_current_write",
        "_by_flow",
        "_by_identity",
        "_dropped",
        "_evicted_until_ms",
        "_evicted",
        "_instance",
        "_is_write_in_flight",
        "_next_batch_at_ms",
        "_next_number",
        "_queued",
        "_ring",
        "_ring_capacity",
        "_number_step",
        "_started_at_ms",
        "_written",
    )

    def __init__(
        self,
        instance: str,
        started_at_ms: int,
        ring_capacity: int = RING_CAPACITY,
        backlog_max_bytes: int = BACKLOG_MAX_BYTES,
        first_number: int = 1,
    ) -> None:
        self._instance = instance
        self._started_at_ms = started_at_ms
        self._ring_capacity = ring_capacity
        self._backlog_max_bytes = backlog_max_bytes
        self._ring: collections.deque[Record] = collections.deque()
        self._by_flow: dict[int, list[Record]] = {}
        self._by_identity: dict[int, list[Record]] = {}
        self._queued: collections.deque[bytes] = collections.deque()
        self._backlog_bytes = 0
        self._current_write: _PendingWrite | None = None
        self._is_write_in_flight = False
        self._next_number = first_number
        self._number_step = 1
        # Spreads the writes of instances that start together.
        self._next_batch_at_ms = started_at_ms + 1 + hash_text(instance) % BATCH_INTERVAL_MS
        self._added = self._written = self._dropped = self._evicted = 0
        self._evicted_until_ms = started_at_ms

    def add(self, record: Record) -> None:
        """Keeps a record.

        Raises:
            UnknownReason: If its reason is not registered.
        """
        if find_reason(record.reason) is None:
            raise UnknownReason(f"reason {record.reason!r} is not registered")
        if len(record.detail) > DETAIL_MAX_CHARACTERS:
            record = msgspec.structs.replace(record, detail=record.detail[:DETAIL_MAX_CHARACTERS])
        self._added += 1
        if len(self._ring) >= self._ring_capacity:
            self._evict()
        self._ring.append(record)
        self._by_flow.setdefault(record.flow, []).append(record)
        if isinstance(record, RequestRecord):
            self._by_identity.setdefault(record.identity, []).append(record)
        self._enqueue(encode_record(record))

    def tick(self, now_ms: int) -> list[WriteBatch]:
        """Returns the write that is due, if any; report its end with `complete_write`."""
        if self._is_write_in_flight or now_ms < self._next_batch_at_ms:
            return []
        self._next_batch_at_ms = now_ms + BATCH_INTERVAL_MS
        if self._current_write is None:
            self._current_write = self._build_batch()
        if self._current_write is None:
            return []
        self._is_write_in_flight = True
        return [self._current_write.write]

    def complete_write(self, outcome: WriteOutcome) -> list[WriteBatch]:
        """Takes the end of the write under way; a failed one is due again with `tick`.

        Returns:
            The same batch under another key if the key was taken. The numbers skipped double
            with each taken key, so that an instance that returns finds a free one quickly.
        """
        batch = self._current_write
        self._is_write_in_flight = False
        if batch is None:
            return []
        match outcome:
            case WriteOutcome.WRITTEN:
                self._written += batch.count
                self._backlog_bytes -= len(batch.write.value)
                self._current_write = None
                self._number_step = 1
            case WriteOutcome.EXISTS:
                number = self._next_number + self._number_step - 1
                self._next_number = number + 1
                self._number_step *= 2
                write = WriteBatch(self._format_key(number), batch.write.value)
                self._current_write = _PendingWrite(write, batch.count)
                self._is_write_in_flight = True
                return [write]
        return []

    def find_by_flow(self, flow: int) -> list[Record] | NoRecordFound:
        """Returns the records of a flow hash, oldest first, or why there is none."""
        return list(self._by_flow.get(flow, [])) or self._explain_absence(None)

    def find_by_identity(
        self, identity: int, issued_at_ms: int | None = None
    ) -> list[Record] | NoRecordFound:
        """Returns the records of a request, oldest first, or why there is none.

        Args:
            identity: From `hash_request`.
            issued_at_ms: When the caller sent it, if known; it makes the explanation exact.
        """
        return list(self._by_identity.get(identity, [])) or self._explain_absence(issued_at_ms)

    def find_by_request_id(self, service: str, request_id: str) -> list[RequestRecord]:
        """Returns the records of a service with a request id, oldest first.

        Operators know the id but rarely the exact time, so all records are looked through.
        """
        return [
            record
            for record in self._ring
            if isinstance(record, RequestRecord)
            and record.request_id == request_id
            and record.service == service
        ]

    def count(self) -> RecordCounts:
        """Returns how many records went which way."""
        pending = len(self._queued) + (
            self._current_write.count if self._current_write is not None else 0
        )
        return RecordCounts(self._added, self._written, pending, self._dropped, self._evicted)

    def _evict(self) -> None:
        old = self._ring.popleft()
        self._evicted += 1
        self._evicted_until_ms = max(self._evicted_until_ms, old.recorded_at_ms)
        _remove_oldest(self._by_flow, old.flow)
        if not isinstance(old, FlowRecord):
            _remove_oldest(self._by_identity, old.identity)

    def _enqueue(self, encoded: bytes) -> None:
        if len(encoded) > BATCH_MAX_BYTES - _BATCH_HEADER_BYTES:
            self._dropped += 1
            return
        self._queued.append(encoded)
        self._backlog_bytes += len(encoded)
        while self._backlog_bytes > self._backlog_max_bytes and self._queued:
            self._backlog_bytes -= len(self._queued.popleft())
            self._dropped += 1

    def _build_batch(self) -> _PendingWrite | None:
        chosen: list[bytes] = []
        size_bytes = _BATCH_HEADER_BYTES
        while self._queued and size_bytes + len(self._queued[0]) <= BATCH_MAX_BYTES:
            chosen.append(self._queued.popleft())
            size_bytes += len(chosen[-1])
        if not chosen:
            return None
        value = encode_batch(chosen)
        self._backlog_bytes += len(value) - sum(len(record) for record in chosen)
        key = self._format_key(self._next_number)
        self._next_number += 1
        return _PendingWrite(WriteBatch(key, value), len(chosen))

    def _format_key(self, number: int) -> str:
        return f"records/{self._instance}/{number:0{_KEY_DIGITS}d}"

    def _explain_absence(self, issued_at_ms: int | None) -> NoRecordFound:
        if self._evicted == 0:
            since_ms, is_complete = self._started_at_ms, True
            reason = "this instance kept every record since its start and has none of this"
        else:
            since_ms, is_complete = self._evicted_until_ms + 1, False
            reason = f"{self._evicted} older records have left the memory of this instance"
            if self._dropped:
                reason += f"; {self._dropped} never reached the platform"
        if issued_at_ms is not None:
            # The clock of the caller may be ahead.
            earliest_ms = issued_at_ms - CLOCK_SKEW_MAX_MS
            if earliest_ms < self._started_at_ms:
                is_complete = False
                reason = "the request was issued before this instance started"
            elif earliest_ms >= since_ms:
                is_complete = True
                reason = "this instance kept every record since the request and has none of it"
        return NoRecordFound(f"not recorded: {reason}", is_complete, since_ms, self._dropped)


def _remove_oldest(index: dict[int, list[Record]], key: int) -> None:
    index[key].pop(0)
    if not index[key]:
        del index[key]
