"""Tests of the append log over the in-memory store."""

import anyio
import pytest

from catkinspread.objectstore import (
    AppendLog,
    AppendOutcome,
    MemoryObjectStore,
    OutcomeUnknown,
    StoreUnavailable,
)


def test_lost_answer_is_resolved_without_a_second_entry():
    """Guards against a change that is written twice after its answer was lost."""

    async def scenario():
        store = MemoryObjectStore()
        log = AppendLog(store, "log")
        store.faults.lost_answers = 1
        assert await log.append(1, "a", b"x") is AppendOutcome.WRITTEN
        assert [entry.entry_id for entry in await log.read_after(0)] == ["a"]

    anyio.run(scenario)


def test_only_one_of_two_racing_writers_succeeds():
    """Guards against two operators who both believe their change was accepted."""

    async def scenario():
        log = AppendLog(MemoryObjectStore(), "log")
        assert await log.append(1, "a", b"x") is AppendOutcome.WRITTEN
        assert await log.append(1, "b", b"y") is AppendOutcome.CONFLICT

    anyio.run(scenario)


def test_lost_write_is_reported_as_unknown():
    """Guards against a write reported as done that never took effect."""

    async def scenario():
        store = MemoryObjectStore()
        log = AppendLog(store, "log")
        store.faults.lost_writes = 1
        with pytest.raises(OutcomeUnknown):
            await log.append(1, "a", b"x")
        assert await log.read_after(0) == []
        store.faults.is_down = True
        with pytest.raises(StoreUnavailable):
            await log.append(1, "a", b"x")

    anyio.run(scenario)


def test_watch_reports_an_entry_written_while_waiting():
    """Guards against a watch that misses a write between its read and its wait."""

    async def scenario():
        log = AppendLog(MemoryObjectStore(), "log")
        async with anyio.create_task_group() as group:
            group.start_soon(log.append, 1, "a", b"x")
            entries = await log.wait_after(0, timeout_ms=5_000)
        assert [entry.index for entry in entries] == [1]

    anyio.run(scenario)


def test_refused_read_back_leaves_the_outcome_unknown():
    """Guards against a write that took effect but is reported as not written."""

    class ReadRefused(MemoryObjectStore):
        async def get(self, key):
            raise StoreUnavailable("store refused the read")

    async def scenario():
        store = ReadRefused()
        store.faults.lost_answers = 1
        with pytest.raises(OutcomeUnknown):
            await AppendLog(store, "log").append(1, "a", b"x")
        assert len(await AppendLog(store, "log").read_after(0)) == 1

    anyio.run(scenario)
