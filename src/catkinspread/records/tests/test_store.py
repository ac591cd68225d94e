"""Tests of the record store with a fake of the object store."""

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


def build_request(number, ended_at_ms=1_000, detail=""):
    timings = RequestTimings(ended_at_ms - 10, ended_at_ms - 5, None, ended_at_ms, ended_at_ms)
    return RequestRecord(
        "a",
        7,
        "s",
        "u",
        number,
        "caller",
        f"r{number}",
        1,
        None,
        timings,
        "limits.queue-full",
        detail,
    )


class FakePlatform:
    """Keeps written objects; fails as told."""

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

    def run(self, store, now_ms):
        batches = store.tick(now_ms)
        while batches:
            batches = store.complete_write(self.write(batches[0]))

    def list_records(self):
        return [
            record for key in sorted(self.objects) for record in decode_batch(self.objects[key])
        ]


def test_batches_are_bounded_and_keep_the_order():
    """Guards against a batch above 64 KB, and against more than one write per 5 s."""
    store, platform = RecordStore("a", 0), FakePlatform()
    records = [build_request(number, detail="x" * 450) for number in range(400)]
    for record in records:
        store.add(record)
    for now_ms in range(0, 10 * BATCH_INTERVAL_MS, 100):
        before = len(platform.objects)
        platform.run(store, now_ms)
        assert len(platform.objects) <= min(before + 1, 1 + now_ms // BATCH_INTERVAL_MS + 1)
    assert platform.list_records() == records
    assert max(len(value) for value in platform.objects.values()) <= 65_536
    assert min(platform.objects) == "records/a/000000000001"
    assert store.count().pending == 0


def test_outage_keeps_records_in_bounded_memory_and_counts_the_dropped():
    """Guards against records that grow without bound, or vanish uncounted, while it is down."""
    store, platform = RecordStore("a", 0, backlog_max_bytes=100_000), FakePlatform()
    platform.outcome = WriteOutcome.UNAVAILABLE
    for number in range(3_000):
        store.add(build_request(number))
        platform.run(store, number * 100)
    counts = store.count()
    assert platform.objects == {} and counts.written == 0
    assert counts.dropped > 0 and counts.pending + counts.dropped == 3_000
    platform.outcome = WriteOutcome.WRITTEN
    for now_ms in range(300_000, 400_000, 1_000):
        platform.run(store, now_ms)
    counts = store.count()
    assert (counts.pending, counts.written + counts.dropped) == (0, 3_000)
    assert len(platform.list_records()) == counts.written
    assert sum(len(value) for value in platform.objects.values()) <= 100_000


def test_lost_answer_stores_no_record_twice():
    """Guards against a batch that is stored again under another key."""
    store, platform = RecordStore("a", 0), FakePlatform()
    store.add(build_request(1))
    platform.outcome = WriteOutcome.OUTCOME_UNKNOWN
    platform.run(store, 5_000)
    store.add(build_request(2))
    platform.outcome = WriteOutcome.WRITTEN
    for now_ms in (10_000, 15_000):
        platform.run(store, now_ms)
    assert [record.flow for record in platform.list_records()] == [1, 2]


def test_objects_of_an_earlier_run_are_kept():
    """Guards against a restarted instance that overwrites its old records or never ends."""
    platform = FakePlatform()
    for number in range(1, 101):
        platform.objects[f"records/a/{number:012d}"] = b"\x90"
    store = RecordStore("a", 0)
    store.add(build_request(1))
    batches, writes = store.tick(5_000), 0
    while batches:
        writes += 1
        batches = store.complete_write(platform.write(batches[0]))
    assert len(platform.objects) == 101
    assert writes <= 8


def test_records_are_found_by_flow_and_by_identity():
    """Guards against a caller whose proof exists but is not found."""
    store = RecordStore("a", 0)
    request = build_request(1)
    flow = FlowRecord("a", 7, "s", "u", 1, None, 900, 1_000, "flow.idle")
    store.add(request)
    store.add(flow)
    assert store.find_by_flow(1) == [request, flow]
    assert store.find_by_identity(request.identity) == [request]


def test_absence_is_explained_honestly():
    """Guards against "no record" that reads as "nothing happened"."""
    store = RecordStore("a", 0, ring_capacity=2, backlog_max_bytes=200)
    assert store.find_by_flow(9).is_complete
    before_start = store.find_by_identity(9, issued_at_ms=100)
    assert not before_start.is_complete and "before this instance started" in before_start.reason
    for number in range(6):
        store.add(build_request(number, ended_at_ms=1_000 + number))
    absent = store.find_by_identity(build_request(0).identity, issued_at_ms=990)
    assert isinstance(absent, NoRecordFound) and not absent.is_complete
    assert absent.reason.startswith("not recorded: 4 older records have left the memory")
    assert absent.dropped > 0 and "never reached the platform" in absent.reason
    assert absent.complete_since_ms == 1_004
    assert not store.find_by_identity(9, issued_at_ms=1_400).is_complete
    assert store.find_by_identity(9, issued_at_ms=1_504).is_complete


@settings(derandomize=True, max_examples=50)
@given(st.lists(st.integers(0, 5), max_size=40), st.integers(1, 8))
def test_indexes_agree_with_a_list(flows, capacity):
    """Guards against an index that loses or keeps records the ring does not."""
    store = RecordStore("a", 0, ring_capacity=capacity)
    naive = []
    for flow in flows:
        record = build_request(flow)
        store.add(record)
        naive = [*naive, record][-capacity:]
        for wanted in range(6):
            found = store.find_by_flow(wanted)
            expected = [item for item in naive if item.flow == wanted]
            assert (found if expected else isinstance(found, NoRecordFound)) == (expected or True)


def test_invalid_records_are_refused():
    """Guards against a reason nobody can explain, and a batch that cannot be read."""
    record = msgspec.structs.replace(build_request(1), reason="nobody.knows")
    with pytest.raises(UnknownReason, match="not registered"):
        RecordStore("a", 0).add(record)
    with pytest.raises(BatchDecodeError, match="malformed"):
        decode_batch(b"\x91\x01")
