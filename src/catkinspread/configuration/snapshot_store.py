"""Storage of configuration snapshots on the platform."""

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from catkinspread.configuration.effects import EntryError
from catkinspread.configuration.messages import hash_payload
from catkinspread.configuration.snapshot import (
    Snapshot,
    decode_snapshot,
    encode_snapshot,
    split_snapshot,
)
from catkinspread.objectstore import (
    AppendLog,
    AppendOutcome,
    ObjectExists,
    ObjectNotFound,
    ObjectStore,
)

_INDEX_PREFIX = "configuration/snapshots"
_PART_PREFIX = "configuration/snapshot-parts"


class _SnapshotIndexEntry(msgspec.Struct, array_like=True, frozen=True):
    """Entry of the snapshot index, which makes a snapshot visible to readers.

    Attributes:
        version: Version of the snapshot.
        writer: Id and incarnation of the instance that wrote it.
        part_count: Number of its parts.
        payload_hash: 64-bit XXH3 hash of the encoded snapshot.
    """

    version: int
    writer: str
    part_count: int
    payload_hash: int


RunBlocking = Callable[[Callable, Any], Awaitable[Any]]

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_SnapshotIndexEntry)


async def _run_inline(function: Callable, argument: Any) -> Any:
    return function(argument)


class SnapshotStore:
    """Saves and loads snapshots.

    A snapshot becomes visible to readers when its index entry is appended, after all its parts
    are written. A writer that fails before leaves unreferenced parts, which readers ignore. The
    keys of the parts contain the writer's name, because two releases may encode the same version
    differently.

    Args:
        store: The platform's object API.
        writer: Id of this instance and its incarnation.
        run_blocking: Runs a function with one argument, for example in a worker thread, because
            encoding is CPU-bound and would block the event loop (for 0.3 s at 960 services); by
            default it runs in the calling task.
    """

    __slots__ = ("_index", "_run_blocking", "_store", "_writer")

    def __init__(
        self, store: ObjectStore, writer: str, run_blocking: RunBlocking | None = None
    ) -> None:
        self._run_blocking = run_blocking or _run_inline
        self._store = store
        self._index = AppendLog(store, _INDEX_PREFIX)
        self._writer = writer

    async def save(self, snapshot: Snapshot, min_new_versions: int = 1) -> bool:
        """Saves a snapshot if it is newer than the latest one.

        Args:
            snapshot: The snapshot.
            min_new_versions: Minimum number of versions by which it must exceed the latest one.

        Returns:
            Whether the snapshot was saved and is the latest.

        Raises:
            ObjectStoreError: If the platform failed. The snapshot may have been saved
                nevertheless; the call can be repeated.
            msgspec.DecodeError: If an entry of the snapshot index is malformed.
        """
        last_index, item = await self._read_latest()
        if item is not None and snapshot.version < item.version + min_new_versions:
            return False
        payload = await self._run_blocking(encode_snapshot, snapshot)
        parts = split_snapshot(payload)
        for part, content in enumerate(parts):
            try:
                await self._store.create(
                    self._format_key(snapshot.version, self._writer, part), content
                )
            except ObjectExists:
                continue
        item = _SnapshotIndexEntry(
            snapshot.version, self._writer, len(parts), hash_payload(payload)
        )
        entry_id = f"{self._writer}/{snapshot.version}"
        outcome = await self._index.append(last_index + 1, entry_id, _ENCODER.encode(item))
        return outcome is AppendOutcome.WRITTEN

    async def load(self) -> Snapshot | None:
        """Returns the latest snapshot, or None if there is none.

        Raises:
            ObjectStoreError: If the platform failed.
            EntryError: If the snapshot is corrupt or incomplete.
            msgspec.DecodeError: If an entry of the snapshot index is malformed.
        """
        _, item = await self._read_latest()
        if item is None:
            return None
        parts: list[bytes] = []
        for part in range(item.part_count):
            key = self._format_key(item.version, item.writer, part)
            try:
                parts.append((await self._store.get(key)).value)
            except ObjectNotFound as error:
                raise EntryError(
                    f"part {part} of snapshot {item.version} is missing: {key}"
                ) from error
        payload = b"".join(parts)
        if hash_payload(payload) != item.payload_hash:
            raise EntryError(
                f"snapshot {item.version} of writer {item.writer!r} does not match its hash"
            )
        return await self._run_blocking(decode_snapshot, payload)

    async def _read_latest(self) -> tuple[int, _SnapshotIndexEntry | None]:
        index = 0
        latest: _SnapshotIndexEntry | None = None
        while found := await self._index.read_after(index):
            index = found[-1].index
            items = [_DECODER.decode(entry.payload) for entry in found]
            latest = max([*items, *([latest] if latest else [])], key=lambda item: item.version)
        return index, latest

    @staticmethod
    def _format_key(version: int, writer: str, part: int) -> str:
        return f"{_PART_PREFIX}/{version:012d}/{writer}/{part:04d}"
