"""Tests of the record store with a fake object store."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinspread.records import (
    BATCH_INTERVAL_MS,
    BatchDecodeError,
    FlowRecord,
    NoRecordFound,
    RecordStore,
    RequestRecord,
    RequestTimings,
    UnknownReason,
    WriteOutcome,
    decode_batch,
)


def build_request_record(flow, ended_at_ms=1_000, detail=""):
    """Returns the record of a refused request, whose request id contains the flow."""
    return RequestRecord(
        instance="a",
        version=7,
        service="s",
        upstream="u",
        flow=flow,
        caller_id="caller",
        request_id=f"r{flow}",
        priority=1,
        limits=None,
        timings=RequestTimings(
            issued_at_ms=ended_at_ms - 10,
            arrived_at_ms=ended_at_ms - 5,
            started_at_ms=None,
            ended_at_ms=ended_at_ms,
            deadline_ms=ended_at_ms,
        ),
        reason="limits.queue-full",
        detail=detail,
    )


class FakeObjectStore:
    """Stores written objects; `outcome` sets the outcome of writes."""

    def __init__(self):
        self.objects = {}
        self.outcome = WriteOutcome.WRITTEN

    def write(self, batch):
        if self.outcome is WriteOutcome.UNAVAILABLE:
            return self.outcome
        if self.objects.get(batch.key, batch.value) != batch.value:
            return WriteOutcome.EXISTS
        self.objects[batch.key] = batch.value
        return self.outcome

    def flush(self, record_store, now_ms):
        """Executes the writes of a record store that are due."""
        batches = record_store.tick(now_ms)
        while batches:
            batches = record_store.complete_write(self.write(batches[0]))

    def list_records(self):
        return [
            record for key in sorted(self.objects) for record in decode_batch(self.objects[key])
        ]


def test_batches_are_bounded_and_preserve_the_order():
    """Guards against batches larger than 64 KiB and more than one write per BATCH_INTERVAL_MS."""
    store, object_store = RecordStore("a", 0), FakeObjectStore()
    records = [build_request_record(number, detail="x" * 450) for number in range(400)]
    for record in records:
        store.add(record)
    for now_ms in range(0, 10 * BATCH_INTERVAL_MS, 100):
        count_before = len(object_store.objects)
        object_store.flush(store, now_ms)
        # At most one object per flush, and in total one per interval that has begun and one more.
        assert len(object_store.objects) <= min(
            count_before + 1, 1 + now_ms // BATCH_INTERVAL_MS + 1
        )
    assert object_store.list_records() == records
    assert max(len(value) for value in object_store.objects.values()) <= 65_536
    assert min(object_store.objects) == "records/a/000000000001"
    assert store.count().pending == 0


def test_backlog_is_bounded_and_dropped_records_are_counted_during_an_outage():
    """Guards against an unbounded backlog and dropped records that are not counted."""
    store, object_store = RecordStore("a", 0, backlog_max_bytes=100_000), FakeObjectStore()
    object_store.outcome = WriteOutcome.UNAVAILABLE
    for number in range(3_000):
        store.add(build_request_record(number))
        object_store.flush(store, number * 100)
    counts = store.count()
    assert object_store.objects == {} and counts.written == 0
    assert counts.dropped > 0 and counts.pending + counts.dropped == 3_000
    object_store.outcome = WriteOutcome.WRITTEN
    for now_ms in range(300_000, 400_000, 1_000):
        object_store.flush(store, now_ms)
    counts = store.count()
    assert (counts.pending, counts.written + counts.dropped) == (0, 3_000)
    assert len(object_store.list_records()) == counts.written
    assert sum(len(value) for value in object_store.objects.values()) <= 100_000


def test_batch_is_stored_once_if_the_response_was_lost():
    """Guards against a retried batch that is stored again under another key."""
    store, object_store = RecordStore("a", 0), FakeObjectStore()
    store.add(build_request_record(1))
    object_store.outcome = WriteOutcome.OUTCOME_UNKNOWN
    object_store.flush(store, 5_000)
    store.add(build_request_record(2))
    object_store.outcome = WriteOutcome.WRITTEN
    for now_ms in (10_000, 15_000):
        object_store.flush(store, now_ms)
    assert [record.flow for record in object_store.list_records()] == [1, 2]


def test_objects_of_an_earlier_run_are_not_overwritten():
    """Guards against a restart that overwrites old records or tries every used key in turn.

    100 keys are in use. As the step between the tried numbers doubles, the attempts go to the
    numbers 1, 2, 4 and so on up to 128, which are 8 writes.
    """
    object_store = FakeObjectStore()
    for number in range(1, 101):
        object_store.objects[f"records/a/{number:012d}"] = b"\x90"
    store = RecordStore("a", 0)
    store.add(build_request_record(1))
    batches, writes = store.tick(5_000), 0
    while batches:
        writes += 1
        batches = store.complete_write(object_store.write(batches[0]))
    assert len(object_store.objects) == 101
    assert writes <= 8


def test_records_are_found_by_flow_and_by_request_identity():
    """Guards against an existing record that a lookup does not return."""
    store = RecordStore("a", 0)
    request = build_request_record(1)
    flow = FlowRecord(
        instance="a",
        version=7,
        service="s",
        upstream="u",
        flow=1,
        limits=None,
        last_packet_at_ms=900,
        given_up_at_ms=1_000,
        reason="flow.idle",
    )
    store.add(request)
    store.add(flow)
    assert store.find_by_flow(1) == [request, flow]
    assert store.find_by_identity(request.identity_hash) == [request]


def test_explanation_says_whether_a_record_may_have_been_lost():
    """Guards against a missing record that is taken as proof that nothing happened."""
    store = RecordStore("a", 0, ring_capacity=2, backlog_max_bytes=200)
    assert store.find_by_flow(9).is_complete
    before_start = store.find_by_identity(9, issued_at_ms=100)
    assert not before_start.is_complete and "before this instance started" in before_start.reason
    for number in range(6):
        store.add(build_request_record(number, ended_at_ms=1_000 + number))
    absent = store.find_by_identity(build_request_record(0).identity_hash, issued_at_ms=990)
    assert isinstance(absent, NoRecordFound) and not absent.is_complete
    assert absent.reason.startswith(
        "not recorded: 4 older records were evicted from the ring buffer"
    )
    assert (
        absent.dropped > 0
        and "were dropped before they were written to the object store" in absent.reason
    )
    # The last evicted record ended at 1,003 ms. Callers may be 500 ms ahead (CLOCK_SKEW_MAX_MS), so
    # the ring buffer covers a request that was issued at 1,504 ms, but not one of 1,400 ms.
    assert absent.complete_since_ms == 1_004
    assert not store.find_by_identity(9, issued_at_ms=1_400).is_complete
    assert store.find_by_identity(9, issued_at_ms=1_504).is_complete


@settings(derandomize=True, max_examples=50)
@given(st.lists(st.integers(0, 5), max_size=40), st.integers(1, 8))
def test_flow_index_matches_a_list(flows, capacity):
    """Guards against an index that differs from the contents of the ring buffer."""
    store = RecordStore("a", 0, ring_capacity=capacity)
    reference = []
    for flow in flows:
        record = build_request_record(flow)
        store.add(record)
        reference = [*reference, record][-capacity:]
        for queried_flow in range(6):
            found = store.find_by_flow(queried_flow)
            expected = [item for item in reference if item.flow == queried_flow]
            # Without a match, the comparison is whether the result is a NoRecordFound.
            assert (found if expected else isinstance(found, NoRecordFound)) == (expected or True)


def test_unknown_reason_and_malformed_batch_raise_errors():
    """Guards against a record without a description and an unhandled decoding failure."""
    record = msgspec.structs.replace(build_request_record(1), reason="test.unregistered")
    with pytest.raises(UnknownReason, match="not registered"):
        RecordStore("a", 0).add(record)
    with pytest.raises(BatchDecodeError, match="malformed"):
        decode_batch(b"\x91\x01")
