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

    Attributes:
        WRITTEN: The index holds the entry.
        CONFLICT: The index holds an entry of another append.
    """

    WRITTEN = "written"
    CONFLICT = "conflict"


class _StoredEntry(msgspec.Struct, array_like=True, frozen=True):
    entry_id: str
    payload: bytes


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_StoredEntry)


class AppendLog:
    """A log under one key prefix.

    Args:
        store: Object store that holds the entries.
        prefix: Prefix of the keys, without a trailing slash. The key of an entry is the prefix, a
            slash and the index in 12 digits.
    """

    __slots__ = ("_prefix", "_store")

    def __init__(self, store: ObjectStore, prefix: str) -> None:
        self._store = store
        self._prefix = prefix

    async def append(self, index: int, entry_id: str, payload: bytes) -> AppendOutcome:
        """Writes an entry at an index unless the index already holds one.

        If the response is lost or the key already exists, the stored entry is read back to find
        out whose it is. The write is not repeated.

        Args:
            index: Index of the last entry that the caller has read, plus one.
            entry_id: Unique id of the entry.
            payload: Contents of the entry; with the id, at most VALUE_MAX_BYTES when encoded.

        Returns:
            WRITTEN if the index holds this entry, CONFLICT if it holds another one.

        Raises:
            OutcomeUnknown: If the response to the write was lost, or the key already existed, and
                the entry is not found or cannot be read back. A write whose response was lost may
                still take effect later.
            StoreUnavailable: If the write was refused or not sent; nothing was written.
            ValueTooLarge: If the encoded entry exceeds VALUE_MAX_BYTES; nothing was written.
            ObjectStoreError: If the store returned any other error, from the write or from reading
                the entry back.
            msgspec.DecodeError: If the stored entry is malformed.
        """
        value = _ENCODER.encode(_StoredEntry(entry_id, payload))
        try:
            await self._store.create(self._format_key(index), value)
        except (ObjectExists, OutcomeUnknown) as error:
            return await self._read_back(index, entry_id, error)
        return AppendOutcome.WRITTEN

    async def read_after(self, after_index: int, limit: int = DEFAULT_SCAN_LIMIT) -> list[LogEntry]:
        """Returns the entries after an index, in order; stops before the first missing index.

        Args:
            after_index: Index of the last entry already read; 0 reads from the start.
            limit: Maximum number of entries. Fewer are returned if their total size would exceed
                the limit of a scan; see `ObjectStore.scan`.

        Raises:
            StoreUnavailable: If the read failed.
            ObjectStoreError: If the store returned any other error.
            msgspec.DecodeError: If a stored entry is malformed.
        """
        objects = await self._store.scan(
            f"{self._prefix}/", after=self._format_key(after_index), limit=limit
        )
        return self._decode_contiguous(after_index, objects)

    async def wait_after(self, after_index: int, timeout_ms: int) -> list[LogEntry]:
        """Waits for entries after an index.

        Args:
            after_index: Index of the last entry already read; 0 waits for the first entry.
            timeout_ms: Time-out in ms.

        Returns:
            The entries as `read_after` returns them. The list is empty if the time-out expired, if
            the store ended the wait earlier, or if the next entry is missing but a later one
            exists.

        Raises:
            StoreUnavailable: If the read failed.
            ObjectStoreError: If the store returned any other error.
            msgspec.DecodeError: If a stored entry is malformed.
        """
        objects = await self._store.watch(
            f"{self._prefix}/", self._format_key(after_index), timeout_ms
        )
        return self._decode_contiguous(after_index, objects)

    async def _read_back(self, index: int, entry_id: str, write_error: Exception) -> AppendOutcome:
        try:
            stored = await self._store.get(self._format_key(index))
        except ObjectNotFound:
            raise OutcomeUnknown(
                f"entry {index} of log {self._prefix!r} was not found after its write failed: "
                f"{write_error}"
            ) from write_error
        except StoreUnavailable as read_error:
            # StoreUnavailable would imply that nothing was written, which is unknown here.
            raise OutcomeUnknown(
                f"entry {index} of log {self._prefix!r} could not be read back: {read_error}"
            ) from read_error
        is_own = _DECODER.decode(stored.value).entry_id == entry_id
        return AppendOutcome.WRITTEN if is_own else AppendOutcome.CONFLICT

    def _format_key(self, index: int) -> str:
        return f"{self._prefix}/{index:0{_INDEX_DIGITS}d}"

    def _decode_contiguous(self, after_index: int, objects: list[StoredObject]) -> list[LogEntry]:
        entries: list[LogEntry] = []
        for expected, stored in enumerate(objects, start=after_index + 1):
            index = int(stored.key.rsplit("/", 1)[1])
            if index != expected:
                break
            entry = _DECODER.decode(stored.value)
            entries.append(LogEntry(index=index, entry_id=entry.entry_id, payload=entry.payload))
        return entries
