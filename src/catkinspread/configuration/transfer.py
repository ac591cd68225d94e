"""Transfer of snapshots between peers in parts."""

from catkinspread.configuration.effects import EntryError
from catkinspread.configuration.messages import SnapshotPart, SnapshotRequest
from catkinspread.configuration.snapshot import (
    Snapshot,
    decode_snapshot,
    encode_snapshot,
    split_snapshot,
)


class SnapshotServer:
    """Splits a snapshot into parts and caches them, so that a peer gets parts of one encoding."""

    __slots__ = ("_parts", "_version")

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._version = 0

    def make_part(
        self, own_id: str, request: SnapshotRequest, snapshot: Snapshot, oldest_index: int
    ) -> SnapshotPart:
        """Returns the requested part, or an empty part with version 0, which means not available.

        Args:
            own_id: Id of this instance.
            request: The request.
            snapshot: The current state.
            oldest_index: Index of the oldest entry that this instance can serve. Cached parts
                are reused while all entries after their version can be served.
        """
        if request.version == 0 and (not self._parts or self._version < oldest_index - 1):
            self._parts = split_snapshot(encode_snapshot(snapshot))
            self._version = snapshot.version
        is_known = request.version in (0, self._version)
        if not is_known or not 0 <= request.part < len(self._parts):
            return SnapshotPart(own_id, 0, 0, 0, b"")
        return SnapshotPart(
            own_id, self._version, request.part, len(self._parts), self._parts[request.part]
        )


class SnapshotReceiver:
    """Assembles one snapshot from the parts that one peer sends."""

    __slots__ = ("_parts", "_sender", "_version")

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._sender = ""
        self._version = 0

    def reset(self) -> None:
        """Discards the parts received so far."""
        self._parts.clear()
        self._version = 0

    def make_request(self, own_id: str, target: str) -> SnapshotRequest:
        """Returns the request for the next part; a different peer starts from the first part."""
        if target != self._sender:
            self.reset()
        self._sender = target
        return SnapshotRequest(own_id, self._version, len(self._parts))

    def expects(self, part: SnapshotPart) -> bool:
        """Whether a message is the requested part, or says that the peer does not have it."""
        is_next = part.part == len(self._parts) or part.version == 0
        return part.sender == self._sender and is_next

    def add_part(self, part: SnapshotPart) -> Snapshot | None:
        """Adds a part and returns the snapshot once it is complete.

        Raises:
            EntryError: If the snapshot is corrupt, or the peer does not have the requested part or
                sent a part of another version.
        """
        if part.version == 0 or self._version not in (0, part.version):
            self.reset()
            raise EntryError(
                f"peer {part.sender!r} does not have the requested snapshot (version in reply: {part.version})"
            )
        self._version = part.version
        self._parts.append(part.payload)
        if len(self._parts) < part.part_count:
            return None
        payload = b"".join(self._parts)
        self.reset()
        return decode_snapshot(payload)
