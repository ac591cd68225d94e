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
_CROWDED = 16
_CROWDED_COST = 3


_DEATH_BYTES = 4


class News:
    """What goes into one heartbeat; see there."""

    __slots__ = ("deaths", "records", "updates")

    def __init__(self) -> None:
        self.updates: list[MemberUpdate] = []
        self.records: list[MemberRecord] = []
        self.deaths = b""


class Outbox:
    """Chooses the updates of each heartbeat; every update is sent a limited number of times."""

    __slots__ = ("_queue", "_remaining")

    def __init__(self) -> None:
        self._queue: deque[str] = deque()
        self._remaining: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._remaining)

    @property
    def is_crowded(self) -> bool:
        """Whether so many updates wait that each is sent less often."""
        return len(self._queue) > _CROWDED

    def add(self, member: str, send_limit: int) -> None:
        """Queues the current state of a member before all others."""
        if member in self._remaining:
            self._queue.remove(member)
        self._queue.appendleft(member)
        self._remaining[member] = send_limit

    def take(self, table: MemberTable, first: Member | None, room_bytes: int, now_ms: int) -> News:
        """Returns the news that fit into a room.

        Args:
            table: Where the states are read.
            first: A member whose state is sent in any case.
            room_bytes: Room in the message.
            now_ms: Time of sending.
        """
        news = News()
        if first is not None:
            news.updates.append(first.make_update())
            room_bytes -= measure_encoded_bytes(news.updates[0])
        for _ in range(len(self._queue)):
            known = table.find(self._queue[0])
            if known is not None:
                room_bytes -= self._put(known, news, room_bytes, now_ms)
                if room_bytes < 0:
                    break
            self._advance(is_known=known is not None)
        return news

    def _put(self, known: Member, news: News, room_bytes: int, now_ms: int) -> int:
        """Adds a member if it fits and returns its size in bytes."""
        if known.state is MemberState.DEAD:
            if room_bytes >= _DEATH_BYTES:
                news.deaths += hash_incarnation(known).to_bytes(_DEATH_BYTES, "little")
            return _DEATH_BYTES
        if known.state is MemberState.SUSPECT and self.is_crowded:
            # The suspect itself is told by heartbeats to it; the others need only the death.
            return 0
        item = _choose_form(known, now_ms)
        size_bytes = measure_encoded_bytes(item)
        if size_bytes <= room_bytes:
            (news.records if isinstance(item, MemberRecord) else news.updates).append(item)
        return size_bytes

    def _advance(self, is_known: bool) -> None:
        member = self._queue.popleft()
        self._remaining[member] -= _CROWDED_COST if self.is_crowded else 1
        if is_known and self._remaining[member] > 0:
            self._queue.append(member)
        else:
            del self._remaining[member]


def _choose_form(known: Member, now_ms: int) -> MemberUpdate | MemberRecord:
    # Only a new incarnation may be unknown to others; all later states refer to it.
    # A member that returns after its death is known and needs no record.
    is_new = known.state is MemberState.ALIVE and known.refutation == 0
    if is_new and not known.is_endpoint_assumed:
        return known.make_record(now_ms)
    return known.make_update()
