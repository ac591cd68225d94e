"""An object store in memory with faults, for tests, benches and the stand-in server."""

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
from catkinspread.objectstore.store import VALUE_MAX_BYTES, StoredObject


class StoreFaults(msgspec.Struct):
    """Faults that a test switches on.

    Attributes:
        is_down: Every call fails without effect.
        delay_ms: Each call waits this long first.
        lost_answers: This many of the next writes take effect but report OutcomeUnknown.
        lost_writes: This many of the next writes have no effect and report OutcomeUnknown.
        is_watch_stale: Watches time out without reporting new objects.
    """

    is_down: bool = False
    delay_ms: int = 0
    lost_answers: int = 0
    lost_writes: int = 0
    is_watch_stale: bool = False


class MemoryObjectStore:
    """Implements ObjectStore in memory.

    Attributes:
        faults: Faults in force; change the fields at any time.
        read_count: Reads so far, watches included.
        write_count: Writes so far, failed ones included.
    """

    __slots__ = ("_changed", "_objects", "faults", "read_count", "write_count")

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.read_count = 0
        self.write_count = 0
        self._objects: dict[str, StoredObject] = {}
        self._changed: anyio.Event | None = None

    async def get(self, key: str) -> StoredObject:
        """Returns an object; see ObjectStore."""
        await self._begin_read()
        return self._find(key)

    async def create(self, key: str, value: bytes) -> int:
        """Creates an object; see ObjectStore."""
        await self._begin_write(value)
        if key in self._objects:
            raise ObjectExists(f"object {key!r} exists already")
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

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[StoredObject]:
        """Returns objects in order of key; see ObjectStore."""
        await self._begin_read()
        return self._select(prefix, after, limit)

    async def watch(self, prefix: str, after: str, timeout_ms: int) -> list[StoredObject]:
        """Waits for objects; see ObjectStore."""
        await self._begin_read()
        with anyio.move_on_after(timeout_ms / 1000):
            while True:
                found = [] if self.faults.is_watch_stale else self._select(prefix, after, 1000)
                if found:
                    return found
                if self._changed is None:
                    self._changed = anyio.Event()
                await self._changed.wait()
        return []

    async def _begin_read(self) -> None:
        self.read_count += 1
        await self._begin_call()

    async def _begin_write(self, value: bytes) -> None:
        self.write_count += 1
        await self._begin_call()
        if len(value) > VALUE_MAX_BYTES:
            raise ValueTooLarge(f"value of {len(value)} bytes exceeds {VALUE_MAX_BYTES} bytes")
        if self.faults.lost_writes > 0:
            self.faults.lost_writes -= 1
            raise OutcomeUnknown("answer to the write was lost")

    async def _begin_call(self) -> None:
        if self.faults.delay_ms:
            await anyio.sleep(self.faults.delay_ms / 1000)
        if self.faults.is_down:
            raise StoreUnavailable("store does not answer")

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
        if self._changed is not None:
            self._changed.set()
            self._changed = None
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            raise OutcomeUnknown("answer to the write was lost")
        return version

    def _select(self, prefix: str, after: str, limit: int) -> list[StoredObject]:
        keys = sorted(key for key in self._objects if key.startswith(prefix) and key > after)
        selected: list[StoredObject] = []
        total_bytes = 0
        for key in keys[:limit]:
            total_bytes += len(self._objects[key].value)
            if selected and total_bytes > VALUE_MAX_BYTES:
                break
            selected.append(self._objects[key])
        return selected
