"""An ordered log on an object store that can create an object only if it is absent.

Entry n is the object `<prefix>/<n>`. Two writers that race for the same index cannot both
succeed, so the log needs no lock and no leader.
"""

import enum

import msgspec

from catkinspread.objectstore.errors import (
    ObjectExists,
    ObjectNotFound,
    OutcomeUnknown,
    StoreUnavailable,
)
from catkinspread.objectstore.store import ObjectStore, StoredObject

_INDEX_DIGITS = 12


class LogEntry(msgspec.Struct, frozen=True):
    """An entry as stored.

    Attributes:
        index: Position in the log; the first is 1.
        entry_id: Unique id that the writer chose; it tells a writer its own entry.
        payload: The content.
    """

    index: int
    entry_id: str
    payload: bytes


class AppendOutcome(enum.Enum):
    """How an append ended."""

    WRITTEN = "written"
    CONFLICT = "conflict"


class _StoredEntry(msgspec.Struct, array_like=True, frozen=True):
    entry_id: str
    payload: bytes


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_StoredEntry)


class AppendLog:
    """Appends to and reads from one log."""

    __slots__ = ("_prefix", "_store")

    def __init__(self, store: ObjectStore, prefix: str) -> None:
        self._store = store
        self._prefix = prefix

    async def append(self, index: int, entry_id: str, payload: bytes) -> AppendOutcome:
        """Writes an entry at an index if the index is free.

        A lost answer is resolved by reading the entry back, never by a second write.

        Args:
            index: One more than the last index the caller has read.
            entry_id: Unique id of this entry.
            payload: The content.

        Returns:
            WRITTEN if the entry at the index is this one, CONFLICT if it is another one.

        Raises:
            OutcomeUnknown: If the answer was lost and the entry is not there, or the entry
                cannot be read back. The write may still take effect later.
            StoreUnavailable: If the store refused the call; nothing was written.
        """
        value = _ENCODER.encode(_StoredEntry(entry_id, payload))
        try:
            await self._store.create(self._format_key(index), value)
        except (ObjectExists, OutcomeUnknown) as error:
            return await self._resolve(index, entry_id, error)
        return AppendOutcome.WRITTEN

    async def read_after(self, index: int, limit: int = 1000) -> list[LogEntry]:
        """Returns entries with a greater index, in order and without a gap."""
        found = await self._store.scan(
            f"{self._prefix}/", after=self._format_key(index), limit=limit
        )
        return self._decode(index, found)

    async def wait_after(self, index: int, timeout_ms: int) -> list[LogEntry]:
        """Waits for entries with a greater index; empty when the timeout passed."""
        found = await self._store.watch(f"{self._prefix}/", self._format_key(index), timeout_ms)
        return self._decode(index, found)

    async def _resolve(self, index: int, entry_id: str, error: Exception) -> AppendOutcome:
        try:
            stored = await self._store.get(self._format_key(index))
        except ObjectNotFound:
            raise OutcomeUnknown(f"entry {index} of {self._prefix!r} is not visible") from error
        except StoreUnavailable as failure:
            # StoreUnavailable would say that nothing was written, which is not known here.
            raise OutcomeUnknown(f"entry {index} of {self._prefix!r} is not read") from failure
        is_own = _DECODER.decode(stored.value).entry_id == entry_id
        return AppendOutcome.WRITTEN if is_own else AppendOutcome.CONFLICT

    def _format_key(self, index: int) -> str:
        return f"{self._prefix}/{index:0{_INDEX_DIGITS}d}"

    def _decode(self, after: int, found: list[StoredObject]) -> list[LogEntry]:
        entries: list[LogEntry] = []
        for expected, stored in enumerate(found, start=after + 1):
            index = int(stored.key.rsplit("/", 1)[1])
            if index != expected:
                break
            entry = _DECODER.decode(stored.value)
            entries.append(LogEntry(index=index, entry_id=entry.entry_id, payload=entry.payload))
        return entries
