"""The task that follows the configuration log and appends automatic entries."""

import uuid
from collections.abc import Callable

import anyio
from absl import logging
from xxhash import xxh3_64_intdigest

from catkinspread.clock import Clock
from catkinspread.configuration import (
    ChangeEntry,
    EntryError,
    apply_entry,
    decode_entry,
    encode_entry,
)
from catkinspread.model import Configuration
from catkinspread.objectstore import AppendLog, LogEntry, ObjectStore, ObjectStoreError
from catkinspread.routing import AppendEntry

CONFIGURATION_LOG = "configuration/log"
_WATCH_TIMEOUT_MS = 20_000
_RETRY_DELAY_MS = 500


class ConfigurationTask:
    """Owns the replica of the configuration of one instance."""

    __slots__ = ("_clock", "_configuration", "_instance", "_last_hash", "_log", "_on_applied")

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        instance: str,
        on_applied: Callable[[Configuration], None],
    ) -> None:
        self._log = AppendLog(store, CONFIGURATION_LOG)
        self._clock = clock
        self._instance = instance
        self._on_applied = on_applied
        self._configuration = Configuration()
        self._last_hash = 0

    async def run(self) -> None:
        """Follows the log until cancelled."""
        while True:
            try:
                entries = await self._log.wait_after(self._configuration.version, _WATCH_TIMEOUT_MS)
                self._apply(entries)
            except (ObjectStoreError, EntryError) as error:
                logging.warning("configuration: cannot follow the log: %s", error)
                await anyio.sleep(_RETRY_DELAY_MS / 1000)

    async def append(self, request: AppendEntry) -> None:
        """Appends an automatic entry if no other entry has its index."""
        if request.if_version != self._configuration.version:
            return
        change_id = uuid.uuid4().hex
        entry = ChangeEntry(
            change_id=change_id,
            actor=f"instance/{self._instance}",
            command="",
            reason=request.reason,
            written_at_ms=self._clock.now_ms(),
            previous_hash=self._last_hash,
            effects=request.effects,
        )
        try:
            await self._log.append(request.if_version + 1, change_id, encode_entry(entry))
        except ObjectStoreError as error:
            logging.warning("configuration: entry is not confirmed: %s", error)

    def _apply(self, entries: list[LogEntry]) -> None:
        for entry in entries:
            if entry.index != self._configuration.version + 1:
                continue
            change = decode_entry(entry.payload)
            self._configuration = apply_entry(self._configuration, entry.index, change)
            self._last_hash = xxh3_64_intdigest(entry.payload)
        self._on_applied(self._configuration)
