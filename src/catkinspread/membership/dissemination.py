"""Queue of member states to disseminate by gossip."""

from collections import deque

from catkinspread.membership.messages import (
    MemberRecord,
    MemberState,
    MemberUpdate,
    measure_encoded_bytes,
)
from catkinspread.membership.table import Member, MemberTable, hash_incarnation

# With more entries than this in the queue, as when a data centre is cut off, each send counts as
# three, so that new entries are sent sooner. Periodic synchronisation delivers what is missed.
_BACKLOG_THRESHOLD = 16
_BACKLOG_SEND_WEIGHT = 3

_DEATH_HASH_BYTES = 4


class HeartbeatPayload:
    """Member states carried by one heartbeat.

    Attributes:
        updates: States of members that the receiver is expected to know.
        records: Descriptions of members that the receiver may not know.
        deaths: Concatenated 4-byte little-endian hashes of dead incarnations; see
            `hash_incarnation`.
    """

    __slots__ = ("deaths", "records", "updates")

    def __init__(self) -> None:
        self.updates: list[MemberUpdate] = []
        self.records: list[MemberRecord] = []
        self.deaths = b""


class DisseminationQueue:
    """Selects the member states for each heartbeat, round robin with the newest first.

    Each state is sent a limited number of times.
    """

    __slots__ = ("_queue", "_sends_left")

    def __init__(self) -> None:
        self._queue: deque[str] = deque()
        self._sends_left: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._sends_left)

    @property
    def has_backlog(self) -> bool:
        """Whether the queue is so long that each state is sent fewer times."""
        return len(self._queue) > _BACKLOG_THRESHOLD

    def add(self, member: str, send_limit: int) -> None:
        """Puts a member at the head of the queue; its state is read when it is sent.

        Args:
            member: Id of the instance.
            send_limit: How many times to send the state.
        """
        if member in self._sends_left:
            self._queue.remove(member)
        self._queue.appendleft(member)
        self._sends_left[member] = send_limit

    def take_payload(
        self, table: MemberTable, first: Member | None, remaining_bytes: int, now_ms: int
    ) -> HeartbeatPayload:
        """Selects the next states of the queue, up to the first that does not fit.

        Counts each selected state as sent once, moves it to the end of the queue, and removes it
        when it has reached its send limit. Members that the table no longer contains are removed.

        Args:
            table: Source of the states.
            first: A member whose state is always included, or None.
            remaining_bytes: Space left in the message.
            now_ms: Time of sending.
        """
        payload = HeartbeatPayload()
        if first is not None:
            payload.updates.append(first.make_update())
            remaining_bytes -= measure_encoded_bytes(payload.updates[0])
        for _ in range(len(self._queue)):
            known = table.find(self._queue[0])
            if known is not None:
                remaining_bytes -= self._add_if_fits(known, payload, remaining_bytes, now_ms)
                if remaining_bytes < 0:
                    break
            self._rotate(is_known=known is not None)
        return payload

    def _add_if_fits(
        self, known: Member, payload: HeartbeatPayload, remaining_bytes: int, now_ms: int
    ) -> int:
        """Adds the state of a member if it fits and returns its encoded size in bytes.

        Returns the size even if the state does not fit; the caller then stops. Returns 0 if the
        state is not to be disseminated.
        """
        if known.state is MemberState.DEAD:
            if remaining_bytes >= _DEATH_HASH_BYTES:
                payload.deaths += hash_incarnation(known).to_bytes(_DEATH_HASH_BYTES, "little")
            return _DEATH_HASH_BYTES
        if known.state is MemberState.SUSPECT and self.has_backlog:
            # With a backlog, suspicions are not disseminated, but count as sent. The suspect learns
            # of its suspicion from heartbeats sent to it, and a later death is disseminated.
            return 0
        entry = _make_entry(known, now_ms)
        size_bytes = measure_encoded_bytes(entry)
        if size_bytes <= remaining_bytes:
            (payload.records if isinstance(entry, MemberRecord) else payload.updates).append(entry)
        return size_bytes

    def _rotate(self, is_known: bool) -> None:
        member = self._queue.popleft()
        self._sends_left[member] -= _BACKLOG_SEND_WEIGHT if self.has_backlog else 1
        if is_known and self._sends_left[member] > 0:
            self._queue.append(member)
        else:
            del self._sends_left[member]


def _make_entry(known: Member, now_ms: int) -> MemberUpdate | MemberRecord:
    # Only a new incarnation can be unknown to others, so later states are sent as short updates.
    # A member that returns after it was declared dead is already known and needs no record.
    is_new = known.state is MemberState.ALIVE and known.refutation == 0
    if is_new and not known.is_endpoint_assumed:
        return known.make_record(now_ms)
    return known.make_update()
