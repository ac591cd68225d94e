"""Reads and conditional writes of the claim buckets of one shard.

The result of a failed call is not reliable and settles no record. A pending record is settled
only by a record that is present in the bucket: in the result of a read, or in the content of a
conditional write that succeeded. A write with unknown outcome is followed by a read and, if the
record is still missing, by another write that is conditional on the version read. Once that write
succeeds, the earlier one can no longer take effect, because its expected version is out of date.
"""

import msgspec

from catkinspread.requests.actions import (
    BucketRead,
    BucketReadFailed,
    BucketWriteConflicted,
    BucketWriteFailed,
    BucketWriteOutcomeUnknown,
    BucketWritten,
    ReadBucket,
    StoreAction,
    StoreEvent,
    WriteBucket,
)
from catkinspread.requests.bucket import (
    RECORD_BYTES,
    BucketError,
    ClaimRecord,
    ClaimRecords,
    RecordKind,
    decode_bucket,
    encode_bucket,
    estimate_size,
)
from catkinspread.requests.identity import BucketId, RequestIdentity
from catkinspread.requests.parameters import RequestParameters


class PendingRecord(msgspec.Struct, eq=False):
    """A record that this instance intends to write to a bucket.

    Attributes:
        identity: Identity of the request.
        bucket: The bucket of the request.
        claim_hash: The claim hash of the request.
        kind: Kind of the record; REFUSED once the request is refused or its deadline has
            passed.
        token: From 1, unique within this incarnation of the instance. A record of this instance
            with another token is older than the pending record, and its outcome is no longer
            known.
    """

    identity: RequestIdentity
    bucket: BucketId
    claim_hash: int
    token: int
    kind: RecordKind = RecordKind.CLAIMED


class SettledRecord(msgspec.Struct, frozen=True):
    """A pending record and the record in the bucket that settles it."""

    pending_record: PendingRecord
    record: ClaimRecord


class _Bucket(msgspec.Struct, eq=False):
    """Cached content of a bucket object, and its pending records by claim hash."""

    version: int = 0
    records: ClaimRecords = {}
    is_loaded: bool = False
    pending_by_hash: dict[int, PendingRecord] = {}


class _Operation(msgspec.Struct, eq=False):
    """The store call in flight.

    Attributes:
        number: Number of the call, from 1.
        bucket: The bucket that is read or written.
        started_at_ms: When the call was started, in ms since the Unix epoch.
        records: Records by claim hash that a write stores; None for a read.
    """

    number: int
    bucket: BucketId
    started_at_ms: int
    records: ClaimRecords | None


class ShardPipeline:
    """Issues the store calls of one shard, with at most one call in flight."""

    __slots__ = (
        "_backoff_ms",
        "_buckets",
        "_next_number",
        "_next_write_at_ms",
        "_operation",
        "_parameters",
        "_resume_at_ms",
        "_writer",
    )

    def __init__(self, writer: str, parameters: RequestParameters) -> None:
        self._writer = writer
        self._parameters = parameters
        # Least recently used first. The first bucket with a due call is served next.
        self._buckets: dict[BucketId, _Bucket] = {}
        self._operation: _Operation | None = None
        self._next_number = 1
        self._next_write_at_ms = 0
        self._backoff_ms = 0
        self._resume_at_ms = 0

    def add_pending(self, pending_record: PendingRecord) -> ClaimRecord | None:
        """Adds a pending record unless the cached bucket already settles it.

        Returns:
            The record that settles the pending record; None if there is none in the cache and
            the pending record was added.

        Raises:
            ValueError: If the bucket already has a pending record with the same claim hash.
        """
        bucket = self._buckets.setdefault(pending_record.bucket, _Bucket())
        record = bucket.records.get(pending_record.claim_hash) if bucket.is_loaded else None
        if record is not None:
            return record
        if pending_record.claim_hash in bucket.pending_by_hash:
            raise ValueError(
                f"claim hash {pending_record.claim_hash} already has a pending record in bucket "
                f"{pending_record.bucket.key}"
            )
        bucket.pending_by_hash[pending_record.claim_hash] = pending_record
        return None

    def has_pending(self, bucket_id: BucketId, claim_hash: int) -> bool:
        """Returns whether a bucket has a pending record with this claim hash."""
        bucket = self._buckets.get(bucket_id)
        return bucket is not None and claim_hash in bucket.pending_by_hash

    def discard_pending(self, pending_record: PendingRecord) -> None:
        """Removes a pending record; a write in flight may still take effect."""
        bucket = self._buckets.get(pending_record.bucket)
        if bucket is not None:
            bucket.pending_by_hash.pop(pending_record.claim_hash, None)

    def handle(self, event: StoreEvent, now_ms: int) -> list[SettledRecord]:
        """Handles the result of a store call and returns the pending records that it settles."""
        operation = self._operation
        if operation is None or event.operation != operation.number:
            return []
        self._operation = None
        bucket = self._buckets[operation.bucket]
        match event:
            case BucketRead():
                return self._apply_read(bucket, event, now_ms)
            case BucketWritten():
                self._backoff_ms = 0
                bucket.version = event.version
                bucket.records = operation.records or {}
                return self._settle(bucket)
            case BucketWriteConflicted() | BucketWriteOutcomeUnknown():
                bucket.is_loaded = False
            case BucketReadFailed() | BucketWriteFailed():
                self._back_off(now_ms)
        return []

    def start_call(self, now_ms: int) -> list[StoreAction]:
        """Returns the next store call for the caller to execute.

        The list has one action if a call is due and none is in flight, and is otherwise empty.
        Nothing is executed here, but the returned call counts as in flight until its result is
        handled or `store_timeout_ms` has passed.
        """
        self._abandon_timed_out_call(now_ms)
        if self._operation is not None or now_ms < self._resume_at_ms:
            return []
        for bucket_id, bucket in self._buckets.items():
            if not bucket.pending_by_hash:
                continue
            action = self._start_bucket_call(bucket_id, bucket, now_ms)
            if action is not None:
                self._buckets[bucket_id] = self._buckets.pop(bucket_id)
                self._evict_idle()
                return [action]
        return []

    def _start_bucket_call(
        self, bucket_id: BucketId, bucket: _Bucket, now_ms: int
    ) -> StoreAction | None:
        if not bucket.is_loaded:
            operation = self._begin_operation(bucket_id, None, now_ms)
            return ReadBucket(bucket_id, operation.number)
        if now_ms < self._next_write_at_ms:
            return None
        selected = self._select_pending(bucket)
        if not selected:
            return None
        records = dict(bucket.records)
        for pending_record in selected:
            records[pending_record.claim_hash] = ClaimRecord(
                self._writer, pending_record.kind, pending_record.token
            )
        self._next_write_at_ms = now_ms + self._parameters.claim_batch_ms
        operation = self._begin_operation(bucket_id, records, now_ms)
        return WriteBucket(bucket_id, operation.number, encode_bucket(records), bucket.version)

    def _select_pending(self, bucket: _Bucket) -> list[PendingRecord]:
        free_bytes = self._parameters.bucket_bytes_max - estimate_size(bucket.records)
        return list(bucket.pending_by_hash.values())[: max(0, free_bytes // RECORD_BYTES)]

    def _begin_operation(
        self, bucket_id: BucketId, records: ClaimRecords | None, now_ms: int
    ) -> _Operation:
        operation = _Operation(self._next_number, bucket_id, now_ms, records)
        self._operation = operation
        self._next_number += 1
        return operation

    def _apply_read(self, bucket: _Bucket, event: BucketRead, now_ms: int) -> list[SettledRecord]:
        try:
            records = decode_bucket(event.value) if event.version else {}
        except BucketError:
            self._back_off(now_ms)
            return []
        self._backoff_ms = 0
        bucket.version = event.version
        bucket.records = records
        bucket.is_loaded = True
        return self._settle(bucket)

    def _settle(self, bucket: _Bucket) -> list[SettledRecord]:
        settled = [
            SettledRecord(pending_record, bucket.records[claim_hash])
            for claim_hash, pending_record in bucket.pending_by_hash.items()
            if claim_hash in bucket.records
        ]
        for item in settled:
            del bucket.pending_by_hash[item.pending_record.claim_hash]
        return settled

    def _abandon_timed_out_call(self, now_ms: int) -> None:
        operation = self._operation
        if operation is None:
            return
        if now_ms < operation.started_at_ms + self._parameters.store_timeout_ms:
            return
        self._operation = None
        self._buckets[operation.bucket].is_loaded = False

    def _back_off(self, now_ms: int) -> None:
        doubled_ms = max(self._parameters.store_retry_min_ms, 2 * self._backoff_ms)
        self._backoff_ms = min(doubled_ms, self._parameters.store_retry_max_ms)
        self._resume_at_ms = now_ms + self._backoff_ms

    def _evict_idle(self) -> None:
        excess = len(self._buckets) - self._parameters.buckets_max
        if excess <= 0:
            return
        busy = self._operation.bucket if self._operation is not None else None
        idle = [
            bucket_id
            for bucket_id, bucket in self._buckets.items()
            if not bucket.pending_by_hash and bucket_id != busy
        ]
        for bucket_id in idle[:excess]:
            del self._buckets[bucket_id]
