"""Keeps records in bounded memory and batches them for writing to the object store."""

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

# Records that are kept for lookups; beyond it, the oldest is evicted.
RING_CAPACITY = 10_000
# Size of a batch; further records wait for the next batch, and a record that is larger is dropped.
BATCH_MAX_BYTES = 64 * 1024
# Time between two writes, and the delay before a failed write is retried.
BATCH_INTERVAL_MS = 5_000
# Size of the encoded records that are not yet written; beyond it, the oldest are dropped. It holds
# about 30,000 records. The memory limit of an instance is 128 MB.
BACKLOG_MAX_BYTES = 8_000_000
# Longer detail texts are truncated, so that a single text cannot fill a batch.
DETAIL_MAX_CHARACTERS = 500
# Largest header of a MessagePack array.
_BATCH_HEADER_BYTES = 5
# Clock difference between a caller and this instance that lookups allow for.
CLOCK_SKEW_MAX_MS = 500
_BATCH_NUMBER_DIGITS = 12


class UnknownReason(Exception):
    """A record names a reason that is not registered."""


class WriteOutcome(enum.Enum):
    """Outcome of a write to the object store.

    Attributes:
        WRITTEN: The key holds the value.
        EXISTS: The key holds another value, for example one that an earlier incarnation of the
            instance wrote.
        UNAVAILABLE: The write was refused or not sent; nothing was written.
        OUTCOME_UNKNOWN: The response was lost, so the value may have been written.
    """

    WRITTEN = "written"
    EXISTS = "exists"
    UNAVAILABLE = "unavailable"
    OUTCOME_UNKNOWN = "outcome-unknown"


class WriteBatch(msgspec.Struct, frozen=True):
    """A write that the caller of `RecordStore` has to execute.

    The caller creates the object if the key does not exist, and reports the outcome to
    `RecordStore.complete_write`. If the key exists with the same value, the outcome is WRITTEN.

    Attributes:
        key: Key of the object, `records/<instance>/<number>`.
        value: Encoded batch of records.
    """

    key: str
    value: bytes


class RecordCounts(msgspec.Struct, frozen=True):
    """Numbers of records since the start of the instance.

    Attributes:
        added: Records that were added.
        written: Records that were written to the object store.
        pending: Records in the backlog, which are waiting to be written or being written.
        dropped: Records that were dropped before they were written, because the backlog was full,
            as in a long outage of the object store, or the record was larger than a batch.
        evicted: Records that were evicted from the ring buffer; those that were written remain in
            the object store.
    """

    added: int
    written: int
    pending: int
    dropped: int
    evicted: int


class NoRecordFound(msgspec.Struct, frozen=True):
    """Result of a lookup that found no record. It is returned and not raised.

    Attributes:
        reason: Explanation, as a sentence.
        is_complete: Whether the ring buffer holds every record of the period of the lookup. The
            period begins CLOCK_SKEW_MAX_MS before the issue time of the request, or at the start of
            the instance if the lookup has no issue time. If it holds them all, this instance has
            recorded nothing about the request or the flow in that period.
        complete_since_ms: Time from which the ring buffer holds every record, in ms since the
            epoch.
        dropped: Number of records that were dropped before they were written to the object store.
    """

    reason: str
    is_complete: bool
    complete_since_ms: int
    dropped: int


class _PendingWrite(msgspec.Struct, frozen=True):
    write: WriteBatch
    record_count: int


class RecordStore:
    """Ring buffer of the records of one instance, and backlog of those to be written.

    The ring buffer holds the most recent records for lookups. Every record is also added to the
    backlog, from which batches are written to the object store. A batch is retried with the same
    key and value, so that it is not stored twice if the response to a write was lost. At most one
    write is in flight.

    Args:
        instance: Name of the instance, which is part of the keys of the batches.
        started_at_ms: When the instance started, in ms since the epoch.
        ring_capacity: Maximum number of records in the ring buffer.
        backlog_max_bytes: Maximum size of the backlog when encoded.
        first_batch_number: Number in the key of the first batch.
    """

    __slots__ = (
        "_added",
        "_backlog_bytes",
        "_backlog_max_bytes",
        "_batch_number_step",
        "_by_flow",
        "_by_identity",
        "_current_write",
        "_dropped",
        "_evicted",
        "_evicted_until_ms",
        "_instance",
        "_is_write_in_flight",
        "_next_batch_at_ms",
        "_next_batch_number",
        "_queued",
        "_ring",
        "_ring_capacity",
        "_started_at_ms",
        "_written",
    )

    def __init__(
        self,
        instance: str,
        started_at_ms: int,
        ring_capacity: int = RING_CAPACITY,
        backlog_max_bytes: int = BACKLOG_MAX_BYTES,
        first_batch_number: int = 1,
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
        self._next_batch_number = first_batch_number
        self._batch_number_step = 1
        # Spreads out the writes of instances that start at the same time.
        self._next_batch_at_ms = started_at_ms + 1 + hash_text(instance) % BATCH_INTERVAL_MS
        self._added = self._written = self._dropped = self._evicted = 0
        self._evicted_until_ms = started_at_ms

    def add(self, record: Record) -> None:
        """Adds a record and truncates its detail text if it is too long.

        Raises:
            UnknownReason: If the reason of the record is not registered.
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
            self._by_identity.setdefault(record.identity_hash, []).append(record)
        self._enqueue(encode_record(record))

    def tick(self, now_ms: int) -> list[WriteBatch]:
        """Returns the write that is due, if any; report its outcome to `complete_write`."""
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
        """Handles the outcome of the write in flight.

        `tick` returns a failed write again after BATCH_INTERVAL_MS.

        Returns:
            The same batch under another key if the key holds another value. The step to the next
            number doubles with each such key, so that a restarted instance finds a free key after
            few writes.
        """
        batch = self._current_write
        self._is_write_in_flight = False
        if batch is None:
            return []
        match outcome:
            case WriteOutcome.WRITTEN:
                self._written += batch.record_count
                self._backlog_bytes -= len(batch.write.value)
                self._current_write = None
                self._batch_number_step = 1
            case WriteOutcome.EXISTS:
                number = self._next_batch_number + self._batch_number_step - 1
                self._next_batch_number = number + 1
                self._batch_number_step *= 2
                write = WriteBatch(self._format_key(number), batch.write.value)
                self._current_write = _PendingWrite(write, batch.record_count)
                self._is_write_in_flight = True
                return [write]
        return []

    def find_by_flow(self, flow: int) -> list[Record] | NoRecordFound:
        """Returns the records of a flow, oldest first, or an explanation if there are none.

        Args:
            flow: Hash of the flow.
        """
        return list(self._by_flow.get(flow, [])) or self._explain_absence(None)

    def find_by_identity(
        self, identity_hash: int, issued_at_ms: int | None = None
    ) -> list[Record] | NoRecordFound:
        """Returns the records of a request, oldest first, or an explanation if there are none.

        Args:
            identity_hash: Hash of the request identity, from `hash_request`.
            issued_at_ms: When the caller first sent the request, if known. With it, the explanation
                says whether the ring buffer covers the request.
        """
        return list(self._by_identity.get(identity_hash, [])) or self._explain_absence(issued_at_ms)

    def find_by_request_id(self, service: str, request_id: str) -> list[RequestRecord]:
        """Returns the records of the requests to a service that have a request id, oldest first.

        Operators know the id but rarely the issue time, which is part of the identity hash.
        Therefore this scans the whole ring buffer.
        """
        return [
            record
            for record in self._ring
            if isinstance(record, RequestRecord)
            and record.request_id == request_id
            and record.service == service
        ]

    def count(self) -> RecordCounts:
        """Returns the numbers of records since the start of the instance."""
        pending = len(self._queued) + (
            self._current_write.record_count if self._current_write is not None else 0
        )
        return RecordCounts(self._added, self._written, pending, self._dropped, self._evicted)

    def _evict(self) -> None:
        evicted = self._ring.popleft()
        self._evicted += 1
        self._evicted_until_ms = max(self._evicted_until_ms, evicted.event_at_ms)
        _remove_oldest(self._by_flow, evicted.flow)
        if not isinstance(evicted, FlowRecord):
            _remove_oldest(self._by_identity, evicted.identity_hash)

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
        encoded_records: list[bytes] = []
        size_bytes = _BATCH_HEADER_BYTES
        while self._queued and size_bytes + len(self._queued[0]) <= BATCH_MAX_BYTES:
            encoded_records.append(self._queued.popleft())
            size_bytes += len(encoded_records[-1])
        if not encoded_records:
            return None
        value = encode_batch(encoded_records)
        self._backlog_bytes += len(value) - sum(len(record) for record in encoded_records)
        key = self._format_key(self._next_batch_number)
        self._next_batch_number += 1
        return _PendingWrite(WriteBatch(key, value), len(encoded_records))

    def _format_key(self, number: int) -> str:
        return f"records/{self._instance}/{number:0{_BATCH_NUMBER_DIGITS}d}"

    def _explain_absence(self, issued_at_ms: int | None) -> NoRecordFound:
        if self._evicted == 0:
            since_ms, is_complete = self._started_at_ms, True
            reason = "this instance holds every record since its start, and none matches"
        else:
            since_ms, is_complete = self._evicted_until_ms + 1, False
            reason = f"{self._evicted} older records were evicted from the ring buffer"
            if self._dropped:
                reason += (
                    f"; {self._dropped} were dropped before they were written to the object store"
                )
        if issued_at_ms is not None:
            # The clock of the caller may be ahead of the clock of this instance.
            earliest_ms = issued_at_ms - CLOCK_SKEW_MAX_MS
            if earliest_ms < self._started_at_ms:
                is_complete = False
                reason = (
                    f"the request may have been issued before this instance started: issued at "
                    f"{issued_at_ms} ms, started at {self._started_at_ms} ms, by clocks that may "
                    f"differ by {CLOCK_SKEW_MAX_MS} ms"
                )
            elif earliest_ms >= since_ms:
                is_complete = True
                reason = "this instance holds every record since the request, and none matches"
        return NoRecordFound(f"not recorded: {reason}", is_complete, since_ms, self._dropped)


def _remove_oldest(index: dict[int, list[Record]], key: int) -> None:
    index[key].pop(0)
    if not index[key]:
        del index[key]
