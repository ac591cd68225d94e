"""The last entries that a replica keeps for peers that are behind."""

from collections import deque

from catkinspread.configuration.messages import ENTRIES_MAX_BYTES, EntryRecord

# Two snapshot periods: a peer that starts from the last snapshot finds every later entry.
TAIL_MAX_ENTRIES = 512
# 512 entries of 20 KB would take 10 MB; a peer that needs more takes a snapshot.
TAIL_MAX_BYTES = 4_000_000


class EntryTail:
    """A bounded run of entries without a gap."""

    __slots__ = ("_records", "_size_bytes")

    def __init__(self) -> None:
        self._records: deque[EntryRecord] = deque()
        self._size_bytes = 0

    def append(self, record: EntryRecord) -> None:
        """Adds the next entry and drops the oldest ones above the limits."""
        self._records.append(record)
        self._size_bytes += len(record.payload)
        while len(self._records) > TAIL_MAX_ENTRIES or (
            self._size_bytes > TAIL_MAX_BYTES and len(self._records) > 1
        ):
            self._size_bytes -= len(self._records.popleft().payload)

    def clear(self) -> None:
        """Drops all entries."""
        self._records.clear()
        self._size_bytes = 0

    def oldest(self, version: int) -> int:
        """Returns the index of the oldest entry kept, or of the one after the version."""
        return self._records[0].index if self._records else version + 1

    def find_hash(self, index: int) -> int | None:
        """Returns the hash of an entry, or None if it is not kept."""
        position = index - self._records[0].index if self._records else -1
        if not 0 <= position < len(self._records):
            return None
        return self._records[position].payload_hash

    def read_after(self, version: int) -> tuple[EntryRecord, ...] | None:
        """Returns the entries after a version that fit into one frame.

        Returns:
            At least one entry, or None if the entry after the version is not kept.
        """
        if not self._records:
            return None
        start = version + 1 - self._records[0].index
        if not 0 <= start < len(self._records):
            return None
        chosen: list[EntryRecord] = []
        room_bytes = ENTRIES_MAX_BYTES
        for position in range(start, len(self._records)):
            record = self._records[position]
            room_bytes -= len(record.payload)
            if chosen and room_bytes < 0:
                break
            chosen.append(record)
        return tuple(chosen)
