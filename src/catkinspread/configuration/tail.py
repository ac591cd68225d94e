"""Bounded buffer of the latest log entries, from which peers catch up."""

from collections import deque

from catkinspread.configuration.messages import ENTRIES_PAYLOAD_MAX_BYTES, EntryRecord

# Two snapshot intervals: covers every entry after the latest snapshot for a peer that starts
# from it.
TAIL_MAX_ENTRIES = 512
# 512 entries of 20 KB would take 10 MB. A peer that needs older entries loads a snapshot.
TAIL_MAX_BYTES = 4_000_000


class EntryTail:
    """Bounded buffer of the latest entries, which have consecutive indexes."""

    __slots__ = ("_records", "_size_bytes")

    def __init__(self) -> None:
        self._records: deque[EntryRecord] = deque()
        self._size_bytes = 0

    def append(self, record: EntryRecord) -> None:
        """Appends an entry and evicts the oldest ones beyond the limits.

        The newest entry is kept even if it exceeds the byte limit alone.

        Args:
            record: The entry. Its index must follow that of the last one in the buffer, because
                positions are computed from the oldest index.
        """
        self._records.append(record)
        self._size_bytes += len(record.payload)
        while len(self._records) > TAIL_MAX_ENTRIES or (
            self._size_bytes > TAIL_MAX_BYTES and len(self._records) > 1
        ):
            self._size_bytes -= len(self._records.popleft().payload)

    def clear(self) -> None:
        """Removes all entries."""
        self._records.clear()
        self._size_bytes = 0

    def get_oldest_index(self, version: int) -> int:
        """Returns the index of the oldest entry, or `version + 1` if there is none."""
        return self._records[0].index if self._records else version + 1

    def find_hash(self, index: int) -> int | None:
        """Returns the payload hash of an entry, or None if it is not in the buffer."""
        position = index - self._records[0].index if self._records else -1
        if not 0 <= position < len(self._records):
            return None
        return self._records[position].payload_hash

    def read_after(self, version: int) -> tuple[EntryRecord, ...] | None:
        """Returns the entries after a version, up to ENTRIES_PAYLOAD_MAX_BYTES.

        Returns:
            At least one entry, or None if the entry after the version is not in the buffer.
        """
        if not self._records:
            return None
        start = version + 1 - self._records[0].index
        if not 0 <= start < len(self._records):
            return None
        chosen: list[EntryRecord] = []
        remaining_bytes = ENTRIES_PAYLOAD_MAX_BYTES
        for position in range(start, len(self._records)):
            record = self._records[position]
            remaining_bytes -= len(record.payload)
            if chosen and remaining_bytes < 0:
                break
            chosen.append(record)
        return tuple(chosen)
