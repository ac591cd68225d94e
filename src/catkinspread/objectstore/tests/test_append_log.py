"""Tests of the append log on the in-memory object store."""

import anyio
import pytest

from catkinspread.objectstore import (
    AppendLog,
    AppendOutcome,
    MemoryObjectStore,
    OutcomeUnknown,
    StoreUnavailable,
)


def test_entry_is_written_once_if_the_response_was_lost():
    """Guards against an entry that is appended again because the response was lost."""

    async def scenario():
        store = MemoryObjectStore()
        log = AppendLog(store, "log")
        store.faults.lost_answers = 1
        assert await log.append(1, "a", b"x") is AppendOutcome.WRITTEN
        assert [entry.entry_id for entry in await log.read_after(0)] == ["a"]

    anyio.run(scenario)


def test_only_the_first_write_to_an_index_succeeds():
    """Two appends to one index must not both return WRITTEN."""

    async def scenario():
        log = AppendLog(MemoryObjectStore(), "log")
        assert await log.append(1, "a", b"x") is AppendOutcome.WRITTEN
        assert await log.append(1, "b", b"y") is AppendOutcome.CONFLICT

    anyio.run(scenario)


def test_lost_write_and_unavailable_store_raise_errors():
    """Guards against a write that is reported as written although it had no effect.

    A lost write raises OutcomeUnknown, a write to a store that is down StoreUnavailable.
    """

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


def test_wait_returns_an_entry_written_while_waiting():
    """A wait returns an entry that is appended meanwhile."""

    async def scenario():
        log = AppendLog(MemoryObjectStore(), "log")
        async with anyio.create_task_group() as group:
            group.start_soon(log.append, 1, "a", b"x")
            entries = await log.wait_after(0, timeout_ms=5_000)
        assert [entry.index for entry in entries] == [1]

    anyio.run(scenario)


def test_failed_read_back_raises_outcome_unknown():
    """Guards against a write that took effect but is reported as not written."""

    class UnreadableObjectStore(MemoryObjectStore):
        async def get(self, key):
            raise StoreUnavailable("object store refused the read")

    async def scenario():
        store = UnreadableObjectStore()
        store.faults.lost_answers = 1
        with pytest.raises(OutcomeUnknown):
            await AppendLog(store, "log").append(1, "a", b"x")
        assert len(await AppendLog(store, "log").read_after(0)) == 1

    anyio.run(scenario)
