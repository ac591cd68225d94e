"""The tasks of an instance that talk to the platform besides the configuration log."""

from collections.abc import Callable

import anyio
from absl import logging

from catkinspread.clock import Clock
from catkinspread.configuration import EntryError
from catkinspread.hashing import rank_by_rendezvous
from catkinspread.objectstore import (
    InstanceRecord,
    InstanceRegistry,
    InstanceState,
    ObjectExists,
    ObjectNotFound,
    ObjectStore,
    ObjectStoreError,
    OutcomeUnknown,
)
from catkinspread.operations import OperationsService
from catkinspread.records import RecordStore, WriteBatch, WriteOutcome

_REGISTER_RETRY_MS = 1_000
_RECORDS_TICK_MS = 500
# Automatic steps are looked for by one instance at a time, so one read a second is enough.
_ADVANCE_PERIOD_MS = 1_000
# A data centre taken out at the target needs about 70 entries; one a second would take too long.
_STEP_PAUSE_MS = 100
_STEP_LEADER_KEY = "automatic-steps"


class Registration:
    """Keeps the entry of an instance in the platform's list of instances."""

    __slots__ = ("_directory", "_record")

    def __init__(self, directory: InstanceRegistry, record: InstanceRecord) -> None:
        self._directory = directory
        self._record = record

    async def register(self) -> None:
        """Registers the instance; the platform may be down, so this repeats until it succeeds."""
        while True:
            try:
                await self._directory.register(self._record)
            except ObjectStoreError as error:
                logging.warning("instance: cannot register with the platform: %s", error)
                await anyio.sleep(_REGISTER_RETRY_MS / 1000)
            else:
                return

    async def announce_leaving(self) -> None:
        """Marks the instance as leaving, once."""
        record = InstanceRecord(
            self._record.instance,
            self._record.incarnation,
            self._record.data_centre,
            self._record.host,
            self._record.port,
            InstanceState.LEAVING,
        )
        try:
            await self._directory.register(record)
        except ObjectStoreError as error:
            logging.warning("instance: cannot announce leaving to the platform: %s", error)

    async def remove(self) -> None:
        """Takes the instance off the list, once."""
        try:
            await self._directory.remove(self._record.instance)
        except ObjectStoreError as error:
            logging.warning("instance: cannot leave the list of the platform: %s", error)


class RecordsTask:
    """Writes batches of records to the platform."""

    __slots__ = ("_clock", "_records", "_store")

    def __init__(self, store: ObjectStore, records: RecordStore, clock: Clock) -> None:
        self._store = store
        self._records = records
        self._clock = clock

    async def run(self) -> None:
        """Writes what is due until cancelled."""
        while True:
            writes = self._records.tick(self._clock.now_ms())
            while writes:
                outcome = await self._write(writes[0])
                writes = self._records.complete_write(outcome)
            await anyio.sleep(_RECORDS_TICK_MS / 1000)

    async def _write(self, write: WriteBatch) -> WriteOutcome:
        try:
            await self._store.create(write.key, write.value)
        except ObjectExists:
            return await self._compare(write)
        except OutcomeUnknown:
            return WriteOutcome.OUTCOME_UNKNOWN
        except ObjectStoreError as error:
            logging.warning("records: batch %s is not written: %s", write.key, error)
            return WriteOutcome.UNAVAILABLE
        return WriteOutcome.WRITTEN

    async def _compare(self, write: WriteBatch) -> WriteOutcome:
        """Tells an own write whose answer was lost from an object of an earlier run."""
        try:
            stored = await self._store.get(write.key)
        except ObjectNotFound:
            return WriteOutcome.UNAVAILABLE
        except ObjectStoreError:
            return WriteOutcome.OUTCOME_UNKNOWN
        return WriteOutcome.WRITTEN if stored.value == write.value else WriteOutcome.EXISTS


class AutomaticSteps:
    """Appends the automatic steps of changes that are under way.

    Every instance may run it; only the first live one in rendezvous order does. If two believe
    they are first, the log lets one of them write each step.
    """

    __slots__ = ("_instance", "_list_live", "_service")

    def __init__(
        self, service: OperationsService, instance: str, list_live: Callable[[], list[str]]
    ) -> None:
        self._service = service
        self._instance = instance
        self._list_live = list_live

    async def run(self) -> None:
        """Looks for due steps until cancelled."""
        while True:
            has_written = await self._advance()
            pause_ms = _STEP_PAUSE_MS if has_written else _ADVANCE_PERIOD_MS
            await anyio.sleep(pause_ms / 1000)

    async def _advance(self) -> bool:
        ranked = rank_by_rendezvous(_STEP_LEADER_KEY, self._list_live())
        if ranked[:1] != [self._instance]:
            return False
        try:
            return await self._service.advance(f"instance/{self._instance}")
        except (ObjectStoreError, EntryError) as error:
            logging.warning("configuration: automatic step is not written: %s", error)
            return False
