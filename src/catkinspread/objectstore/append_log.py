"""An append-only log on an object store with conditional creation of objects.

Entry n is the object `<prefix>/<n>`. Of concurrent writers to the same index, at most one
succeeds, so the log needs neither a lock nor a leader.
"""

import enum

import msgspec

from catkinspread.objectstore.errors import (
    ObjectExists,
    ObjectNotFound,
    OutcomeUnknown,
    StoreUnavailable,
)
from catkinspread.objectstore.store import DEFAULT_SCAN_LIMIT, ObjectStore, StoredObject

_INDEX_DIGITS = 12


class LogEntry(msgspec.Struct, frozen=True):
    """An entry of the log.

    Attributes:
        index: Position in the log; the first entry has index 1.
        entry_id: Unique id that the writer chose, by which it recognises its own entry.
        payload: Contents of the entry.
    """

    index: int
    entry_id: str
    payload: bytes


class AppendOutcome(enum.Enum):
    """Outcome of an append.

    WRITTEN: the index holds the entry.
    CONFLICT: the index holds an entry of another append.
    """

    WRITTEN = "written"
    CONFLICT = "conflict"


class _StoredEntry(msgspec.Struct, array_like=True, frozen=True):
    entry_id: str
    payload: bytes


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_StoredEntry)


class AppendLog:
    """A log under one key prefix."""

    __slots__ = ("_prefix", "_store")

    def __init__(self, store: ObjectStore, prefix: str) -> None:
        self._store = store
        self._prefix = prefix

    async def append(self, index: int, entry_id: str, payload: bytes) -> AppendOutcome:
        """Writes an entry at an index unless the index already holds one.

        If the response to the write is lost, the entry is read back and the write is not repeated.

        Args:
            index: Index of the last entry that the caller has read, plus one.
            entry_id: Unique id of the entry.
            payload: Contents of the entry.

        Returns:
            WRITTEN if the index holds this entry, CONFLICT if it holds another one.

        Raises:
            OutcomeUnknown: If the response to the write was lost and the entry does not exist or
                could not be read back. The write may still take effect later.
            StoreUnavailable: If the store was not available; nothing was written.
        """
        value = _ENCODER.encode(_StoredEntry(entry_id, payload))
        try:
            await self._store.create(self._format_key(index), value)
        except (ObjectExists, OutcomeUnknown) as error:
            return await self._read_back(index, entry_id, error)
        return AppendOutcome.WRITTEN

    async def read_after(self, index: int, limit: int = DEFAULT_SCAN_LIMIT) -> list[LogEntry]:
        """Returns the entries after an index, in order; stops before the first missing index."""
        objects = await self._store.scan(
            f"{self._prefix}/", after=self._format_key(index), limit=limit
        )
        return self._decode_contiguous(index, objects)

    async def wait_after(self, index: int, timeout_ms: int) -> list[LogEntry]:
        """Waits for entries after an index; returns an empty list if the time-out expires."""
        objects = await self._store.watch(f"{self._prefix}/", self._format_key(index), timeout_ms)
        return self._decode_contiguous(index, objects)

    async def _read_back(self, index: int, entry_id: str, error: Exception) -> AppendOutcome:
        try:
            stored = await self._store.get(self._format_key(index))
        except ObjectNotFound:
            raise OutcomeUnknown(
                f"entry {index} of log {self._prefix!r} was not found after an unconfirmed write"
            ) from error
        except StoreUnavailable as failure:
            # StoreUnavailable would imply that nothing was written, which is unknown here.
            raise OutcomeUnknown(
                f"entry {index} of log {self._prefix!r} could not be read back: {failure}"
            ) from failure
        is_own = _DECODER.decode(stored.value).entry_id == entry_id
        return AppendOutcome.WRITTEN if is_own else AppendOutcome.CONFLICT

    def _format_key(self, index: int) -> str:
        return f"{self._prefix}/{index:0{_INDEX_DIGITS}d}"

    def _decode_contiguous(self, after: int, objects: list[StoredObject]) -> list[LogEntry]:
        entries: list[LogEntry] = []
        for expected, stored in enumerate(objects, start=after + 1):
            index = int(stored.key.rsplit("/", 1)[1])
            if index != expected:
                break
            entry = _DECODER.decode(stored.value)
            entries.append(LogEntry(index=index, entry_id=entry.entry_id, payload=entry.payload))
        return entries
