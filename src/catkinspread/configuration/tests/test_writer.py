"""Tests of the configuration writer and of the snapshot store."""

import anyio
import pytest

from catkinspread.bench.population import build_configuration, make_entry, make_listing, make_move
from catkinspread.configuration import (
    CONFIGURATION_LOG_PREFIX,
    ChangeConflict,
    ChangeOutcomeUnknown,
    ChangeUnavailable,
    ConfigurationWriter,
    EntryError,
    Snapshot,
    SnapshotStore,
    VersionAhead,
    apply_entry,
    decode_snapshot,
    encode_snapshot,
)
from catkinspread.configuration.snapshot import SNAPSHOT_PART_BYTES
from catkinspread.configuration.tests.builders import make_change, make_replica
from catkinspread.configuration.tests.reference_apply import apply_entry_reference
from catkinspread.objectstore import (
    VALUE_MAX_BYTES,
    AppendLog,
    MemoryObjectStore,
    StoreUnavailable,
)


def make_writer(store):
    return ConfigurationWriter(AppendLog(store, CONFIGURATION_LOG_PREFIX))


def run(scenario):
    return anyio.run(scenario)


def test_concurrent_writes_report_the_conflicting_change():
    """Guards against reporting two conflicting changes as accepted."""

    async def scenario():
        store = MemoryObjectStore()
        results = {}

        async def write(name):
            results[name] = await make_writer(store).write(make_change(1, name, name), 0, 50)

        store.faults.delay_ms = 5
        async with anyio.create_task_group() as group:
            group.start_soon(write, "anna")
            group.start_soon(write, "ben")
        winner, loser = sorted(results, key=lambda name: results[name].is_error())
        assert results[winner].ok.version == 1
        assert results[loser].error == ChangeConflict(1, winner, "command 1", winner, 50)

    run(scenario)


def test_written_chain_is_accepted_by_a_replica():
    """Guards against a hash chain that replicas reject."""

    async def scenario():
        store = MemoryObjectStore()
        writer = make_writer(store)
        replica_of_writer = make_replica()
        for version in range(5):
            result = await writer.write(make_change(version), version, 50)
            assert result.ok.version == version + 1
            replica_of_writer.handle_log([result.ok.entry], 0)
        assert replica_of_writer.version == 5
        replica = make_replica()
        replica.handle_log(await AppendLog(store, CONFIGURATION_LOG_PREFIX).read_after(0), 0)
        assert replica.version == 5
        stale = await writer.write(make_change(9), 3, 50)
        assert (stale.error.version, stale.error.change_id) == (4, "c3")
        assert (await writer.write(make_change(9), 7, 50)).error == VersionAhead(7)

    run(scenario)


def test_lost_reply_is_resolved_and_a_repeated_call_writes_nothing():
    """Guards against a change that is written twice or reported as failed."""

    async def scenario():
        store = MemoryObjectStore()
        writer = make_writer(store)
        store.faults.lost_answers = 1
        assert (await writer.write(make_change(1), 0, 50)).ok.version == 1
        assert (await writer.write(make_change(1), 0, 60)).ok.version == 1
        assert store.write_count == 1

    run(scenario)


class _FailingStore(MemoryObjectStore):
    """Store whose first write raises StoreUnavailable; the store is unavailable afterwards.

    If `is_executed` is false, `delayed_write` holds the write for the test to execute later.
    """

    __slots__ = ("delayed_write", "is_executed")

    def __init__(self, is_executed):
        super().__init__()
        self.delayed_write = None
        self.is_executed = is_executed

    async def create(self, key, value):
        if self.is_executed:
            await super().create(key, value)
        self.delayed_write = (key, value)
        self.faults.is_down = True
        raise StoreUnavailable("no answer")


@pytest.mark.parametrize("is_executed", [True, False])
def test_unknown_outcome_is_reported_and_resolved_later(is_executed):
    """Guards against reporting a written change as not written, and the reverse."""

    async def scenario():
        store = _FailingStore(is_executed)
        writer = make_writer(store)
        unknown = ChangeOutcomeUnknown("c1", 0)
        assert (await writer.write(make_change(1), 0, 50)).error == unknown
        assert (await writer.find_outcome("c1", 0)).error == unknown
        store.faults.is_down = False
        if is_executed:
            assert (await writer.find_outcome("c1", 0)).ok.version == 1
            return
        assert (await writer.find_outcome("c1", 0)).error == unknown
        await MemoryObjectStore.create(store, *store.delayed_write)
        assert (await writer.find_outcome("c1", 0)).ok.version == 1
        assert (await writer.find_outcome("c2", 0)).error.change_id == "c1"

    run(scenario)


def test_platform_down_before_the_write_is_reported_as_not_written():
    """Guards against reporting an unknown outcome for a change that was never sent."""

    async def scenario():
        store = MemoryObjectStore()
        store.faults.is_down = True
        result = await make_writer(store).write(make_change(1), 0, 50)
        assert isinstance(result.error, ChangeUnavailable)
        assert store.write_count == 0

    run(scenario)


def build_configuration_in_transition():
    configuration = build_configuration(service_count=3, upstream_count=21, data_centre_count=3)
    names = [u.name for u in configuration.upstreams.values() if u.service == "service-0001"]
    slots = tuple(range(40))
    entries = (
        (make_move("service-0001", names[0], slots),),
        (make_move("service-0002", names[1], (5, 6)), make_move("service-0001", names[2], (39,))),
        (make_listing("service-0001", names[3], version=5, slots=slots, flow_count=300, seed=1),),
    )
    for effects in entries:
        version = configuration.version
        entry = make_entry(effects)
        applied = apply_entry(configuration, version + 1, entry)
        assert applied == apply_entry_reference(configuration, version + 1, entry)
        configuration = applied
    return configuration


def test_snapshot_restores_slots_exceptions_and_transitions():
    """Guards against misrouted flows after a start from a snapshot."""
    snapshot = Snapshot(build_configuration_in_transition(), head_hash=77)
    assert snapshot.configuration.slot_tables["service-0001"].transitions
    assert decode_snapshot(encode_snapshot(snapshot)) == snapshot
    with pytest.raises(EntryError, match="malformed"):
        decode_snapshot(encode_snapshot(snapshot)[:-9])


def test_snapshot_is_saved_in_parts_and_loaded(monkeypatch):
    """Guards against a value above the limit of the platform, and loading a partial snapshot."""
    monkeypatch.setattr("catkinspread.configuration.snapshot.SNAPSHOT_PART_BYTES", 500)

    async def scenario():
        store = MemoryObjectStore()
        snapshots = SnapshotStore(store, "a/1")
        assert await snapshots.load() is None
        snapshot = Snapshot(build_configuration_in_transition(), head_hash=77)
        store.faults.lost_answers = 1
        with pytest.raises(Exception, match="lost"):
            await snapshots.save(snapshot)
        assert await snapshots.load() is None
        assert await snapshots.save(snapshot)
        assert not await SnapshotStore(store, "b/1").save(snapshot)
        assert await snapshots.load() == snapshot
        parts = await store.scan("configuration/snapshot-parts/")
        assert len(parts) > 2
        await store.update(parts[1].key, b"damaged", 1)
        with pytest.raises(EntryError, match="hash"):
            await snapshots.load()

    run(scenario)


def test_parts_are_below_the_value_limit_of_the_platform():
    """Guards against a part size that the platform rejects."""
    assert SNAPSHOT_PART_BYTES < VALUE_MAX_BYTES
