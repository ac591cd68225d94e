"""In-memory object store with fault injection, for tests, benchmarks and the platform emulator."""

import anyio
import msgspec

from catkinspread.objectstore.errors import (
    ObjectExists,
    ObjectNotFound,
    OutcomeUnknown,
    StoreUnavailable,
    ValueTooLarge,
    VersionConflict,
)
from catkinspread.objectstore.store import DEFAULT_SCAN_LIMIT, VALUE_MAX_BYTES, StoredObject


class StoreFaults(msgspec.Struct):
    """Faults that the store injects.

    Faults can be combined. A call is first delayed, and then fails if the store is down. A write
    that gets further fails if its value is too large, then because of `lost_writes`, then because
    of the conditions on the object, and last because of `lost_answers`.

    Attributes:
        is_down: Whether every call fails with StoreUnavailable and has no effect.
        delay_ms: Delay in ms before each call takes effect.
        lost_answers: Number of upcoming creations and updates that take effect but raise
            OutcomeUnknown. Deletions are not affected.
        lost_writes: Number of upcoming writes that have no effect and raise OutcomeUnknown.
        is_watch_stale: Whether watches return no objects until their time-out. A watch that is
            already waiting takes a new setting into account at the next change of an object.
    """

    is_down: bool = False
    delay_ms: int = 0
    lost_answers: int = 0
    lost_writes: int = 0
    is_watch_stale: bool = False


class MemoryObjectStore:
    """Implements ObjectStore in memory.

    Attributes:
        faults: Injected faults; the fields may be changed at any time.
        read_count: Number of reads, including watches.
        write_count: Number of writes, including failed ones.
    """

    __slots__ = ("_change_event", "_objects", "faults", "read_count", "write_count")

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.read_count = 0
        self.write_count = 0
        self._objects: dict[str, StoredObject] = {}
        self._change_event: anyio.Event | None = None

    async def get(self, key: str) -> StoredObject:
        """Returns an object; see ObjectStore."""
        await self._begin_read()
        return self._find(key)

    async def create(self, key: str, value: bytes) -> int:
        """Creates an object; see ObjectStore."""
        await self._begin_write(value)
        if key in self._objects:
            raise ObjectExists(f"object {key!r} already exists")
        return self._write(key, value, 1)

    async def update(self, key: str, value: bytes, expected_version: int) -> int:
        """Replaces an object; see ObjectStore."""
        await self._begin_write(value)
        self._check_version(key, expected_version)
        return self._write(key, value, expected_version + 1)

    async def delete(self, key: str, expected_version: int) -> None:
        """Deletes an object; see ObjectStore."""
        await self._begin_write(b"")
        self._check_version(key, expected_version)
        del self._objects[key]

    async def scan(
        self, prefix: str, after: str = "", limit: int = DEFAULT_SCAN_LIMIT
    ) -> list[StoredObject]:
        """Returns objects in key order; see ObjectStore."""
        await self._begin_read()
        return self._list_after(prefix, after, limit)

    async def watch(self, prefix: str, after: str, timeout_ms: int) -> list[StoredObject]:
        """Waits for objects; see ObjectStore."""
        await self._begin_read()
        with anyio.move_on_after(timeout_ms / 1000):
            while True:
                matches = (
                    []
                    if self.faults.is_watch_stale
                    else self._list_after(prefix, after, DEFAULT_SCAN_LIMIT)
                )
                if matches:
                    return matches
                if self._change_event is None:
                    self._change_event = anyio.Event()
                await self._change_event.wait()
        return []

    async def _begin_read(self) -> None:
        self.read_count += 1
        await self._begin_call()

    async def _begin_write(self, value: bytes) -> None:
        self.write_count += 1
        await self._begin_call()
        if len(value) > VALUE_MAX_BYTES:
            raise ValueTooLarge(
                f"value has {len(value)} bytes; the limit is {VALUE_MAX_BYTES} bytes"
            )
        if self.faults.lost_writes > 0:
            self.faults.lost_writes -= 1
            raise OutcomeUnknown("response to the write was lost (injected fault lost_writes)")

    async def _begin_call(self) -> None:
        if self.faults.delay_ms:
            await anyio.sleep(self.faults.delay_ms / 1000)
        if self.faults.is_down:
            raise StoreUnavailable("in-memory object store is unavailable (injected fault is_down)")

    def _find(self, key: str) -> StoredObject:
        try:
            return self._objects[key]
        except KeyError:
            raise ObjectNotFound(f"object {key!r} does not exist") from None

    def _check_version(self, key: str, expected_version: int) -> None:
        version = self._find(key).version
        if version != expected_version:
            raise VersionConflict(
                f"object {key!r} has version {version}, expected {expected_version}"
            )

    def _write(self, key: str, value: bytes, version: int) -> int:
        self._objects[key] = StoredObject(key=key, value=value, version=version)
        if self._change_event is not None:
            self._change_event.set()
            self._change_event = None
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            raise OutcomeUnknown(
                f"response to the write of object {key!r} was lost (injected fault lost_answers)"
            )
        return version

    def _list_after(self, prefix: str, after: str, limit: int) -> list[StoredObject]:
        keys = sorted(key for key in self._objects if key.startswith(prefix) and key > after)
        selected: list[StoredObject] = []
        total_bytes = 0
        for key in keys[:limit]:
            total_bytes += len(self._objects[key].value)
            if selected and total_bytes > VALUE_MAX_BYTES:
                break
            selected.append(self._objects[key])
        return selected
