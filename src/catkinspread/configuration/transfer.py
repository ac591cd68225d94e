"""Snapshots between peers, part by part."""

from catkinspread.configuration.effects import EntryError
from catkinspread.configuration.messages import SnapshotPart, SnapshotRequest
from catkinspread.configuration.snapshot import (
    Snapshot,
    decode_snapshot,
    encode_snapshot,
    split_snapshot,
)


class SnapshotServer:
    """Cuts snapshots into parts and keeps the last one, so that all parts fit together."""

    __slots__ = ("_parts", "_version")

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._version = 0

    def answer(
        self, own_id: str, request: SnapshotRequest, snapshot: Snapshot, oldest_kept: int
    ) -> SnapshotPart:
        """Returns the part that a request asks for.

        Args:
            own_id: Id of this instance.
            request: The request.
            snapshot: The present state.
            oldest_kept: Index of the oldest entry that this instance can serve. An older cut
                is used again as long as the entries after it are kept.
        """
        if request.version == 0 and (not self._parts or self._version < oldest_kept - 1):
            self._parts = split_snapshot(encode_snapshot(snapshot))
            self._version = snapshot.version
        is_known = request.version in (0, self._version)
        if not is_known or not 0 <= request.part < len(self._parts):
            return SnapshotPart(own_id, 0, 0, 0, b"")
        return SnapshotPart(
            own_id, self._version, request.part, len(self._parts), self._parts[request.part]
        )


class SnapshotReceiver:
    """Collects the parts of one snapshot from one peer."""

    __slots__ = ("_parts", "_sender", "_version")

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._sender = ""
        self._version = 0

    def reset(self) -> None:
        """Forgets the parts received so far."""
        self._parts.clear()
        self._version = 0

    def make_request(self, own_id: str, target: str) -> SnapshotRequest:
        """Returns the request for the next part; another peer starts from the first part."""
        if target != self._sender:
            self.reset()
        self._sender = target
        return SnapshotRequest(own_id, self._version, len(self._parts))

    def expects(self, part: SnapshotPart) -> bool:
        """Whether a part is the one that was asked for, or the refusal of it."""
        is_next = part.part == len(self._parts) or part.version == 0
        return part.sender == self._sender and is_next

    def add(self, part: SnapshotPart) -> Snapshot | None:
        """Takes a part and returns the snapshot when it is complete.

        Raises:
            EntryError: If the snapshot is damaged, or the peer has none.
        """
        if part.version == 0 or self._version not in (0, part.version):
            self.reset()
            raise EntryError(f"peer {part.sender!r} has no such snapshot")
        self._version = part.version
        self._parts.append(part.payload)
        if len(self._parts) < part.part_count:
            return None
        payload = b"".join(self._parts)
        self.reset()
        return decode_snapshot(payload)
