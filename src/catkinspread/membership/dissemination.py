"""Updates that wait to be passed on, newest first."""

from collections import deque

from catkinspread.membership.messages import (
    MemberRecord,
    MemberState,
    MemberUpdate,
    measure_encoded_bytes,
)
from catkinspread.membership.table import Member, MemberTable, hash_incarnation

# With many updates waiting, as when a data centre is cut off, each is sent less often; the
# synchronisation of views repairs what is missed.
_BACKLOG_THRESHOLD = 16
_BACKLOG_SEND_COST = 3


_DEATH_HASH_BYTES = 4


class HeartbeatPayload:
    """What goes into one heartbeat; see there."""

    __slots__ = ("deaths", "records", "updates")

    def __init__(self) -> None:
        self.updates: list[MemberUpdate] = []
        self.records: list[MemberRecord] = []
        self.deaths = b""


class DisseminationQueue:
    """Chooses the updates of each heartbeat; every update is sent a limited number of times."""

    __slots__ = ("_queue", "_sends_left")

    def __init__(self) -> None:
        self._queue: deque[str] = deque()
        self._sends_left: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._sends_left)

    @property
    def has_backlog(self) -> bool:
        """Whether so many updates wait that each is sent less often."""
        return len(self._queue) > _BACKLOG_THRESHOLD

    def add(self, member: str, send_limit: int) -> None:
        """Queues the current state of a member before all others."""
        if member in self._sends_left:
            self._queue.remove(member)
        self._queue.appendleft(member)
        self._sends_left[member] = send_limit

    def take_payload(
        self, table: MemberTable, first: Member | None, room_bytes: int, now_ms: int
    ) -> HeartbeatPayload:
        """Returns the news that fit into a room.

        Args:
            table: Where the states are read.
            first: A member whose state is sent in any case.
            room_bytes: Room in the message.
            now_ms: Time of sending.
        """
        payload = HeartbeatPayload()
        if first is not None:
            payload.updates.append(first.make_update())
            room_bytes -= measure_encoded_bytes(payload.updates[0])
        for _ in range(len(self._queue)):
            known = table.find(self._queue[0])
            if known is not None:
                room_bytes -= self._add_if_fits(known, payload, room_bytes, now_ms)
                if room_bytes < 0:
                    break
            self._rotate(is_known=known is not None)
        return payload

    def _add_if_fits(
        self, known: Member, payload: HeartbeatPayload, room_bytes: int, now_ms: int
    ) -> int:
        """Adds a member if it fits and returns its size in bytes."""
        if known.state is MemberState.DEAD:
            if room_bytes >= _DEATH_HASH_BYTES:
                payload.deaths += hash_incarnation(known).to_bytes(_DEATH_HASH_BYTES, "little")
            return _DEATH_HASH_BYTES
        if known.state is MemberState.SUSPECT and self.has_backlog:
            # The suspect itself is told by heartbeats to it; the others need only the death.
            return 0
        item = _make_entry(known, now_ms)
        size_bytes = measure_encoded_bytes(item)
        if size_bytes <= room_bytes:
            (payload.records if isinstance(item, MemberRecord) else payload.updates).append(item)
        return size_bytes

    def _rotate(self, is_known: bool) -> None:
        member = self._queue.popleft()
        self._sends_left[member] -= _BACKLOG_SEND_COST if self.has_backlog else 1
        if is_known and self._sends_left[member] > 0:
            self._queue.append(member)
        else:
            del self._sends_left[member]


def _make_entry(known: Member, now_ms: int) -> MemberUpdate | MemberRecord:
    # Only a new incarnation may be unknown to others; all later states refer to it.
    # A member that returns after its death is known and needs no record.
    is_new = known.state is MemberState.ALIVE and known.refutation == 0
    if is_new and not known.is_endpoint_assumed:
        return known.make_record(now_ms)
    return known.make_update()
