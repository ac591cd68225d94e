"""Bounded queue of work that waits for an upstream."""

import enum

import msgspec

QUEUE_CAPACITY = 128


class WorkItem(msgspec.Struct, frozen=True):
    """A request as the queue sees it.

    Attributes:
        work_id: Hash of the request identity.
        priority: 0 is served first.
        deadline_ms: It must not start at or after this time.
        idempotent: Whether running it twice does no harm.
        arrived_at_ms: When this instance received it.
    """

    work_id: int
    priority: int
    deadline_ms: int
    idempotent: bool
    arrived_at_ms: int


class PushVerdict(enum.Enum):
    """What happened to pushed work."""

    QUEUED = "queued"
    REFUSED = "refused"
    DUPLICATE = "duplicate"


class PushResult(msgspec.Struct, frozen=True):
    """Result of a push.

    Attributes:
        verdict: What happened to the pushed work.
        expired: Work that was dropped because its deadline had passed.
        displaced: Work of lower priority that had to leave, if any.
    """

    verdict: PushVerdict
    expired: tuple[WorkItem, ...] = ()
    displaced: WorkItem | None = None


class PriorityQueue:
    """Serves the lowest priority number first, and equal priorities in order of arrival.

    When full, expired work leaves first. Then the newest work of the lowest priority leaves if
    that is lower than the priority of the pushed work; otherwise the pushed work is refused.
    """

    __slots__ = ("_capacity", "_priority_by_id", "_waiting")

    def __init__(self, capacity: int = QUEUE_CAPACITY) -> None:
        self._capacity = capacity
        self._waiting: dict[int, dict[int, WorkItem]] = {}
        self._priority_by_id: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._priority_by_id)

    def push(self, work: WorkItem, now_ms: int) -> PushResult:
        """Adds work, or refuses it if the queue is full of work that goes before it."""
        if work.work_id in self._priority_by_id:
            return PushResult(PushVerdict.DUPLICATE)
        expired: tuple[WorkItem, ...] = ()
        displaced = None
        if len(self) >= self._capacity:
            expired = self.drop_expired(now_ms)
        if len(self) >= self._capacity:
            lowest = max(self._waiting, default=work.priority)
            if lowest <= work.priority:
                return PushResult(PushVerdict.REFUSED, expired)
            displaced = self._remove(next(reversed(self._waiting[lowest])))
        self._waiting.setdefault(work.priority, {})[work.work_id] = work
        self._priority_by_id[work.work_id] = work.priority
        return PushResult(PushVerdict.QUEUED, expired, displaced)

    def peek(self) -> WorkItem | None:
        """Returns the next work without removing it."""
        if not self._waiting:
            return None
        return next(iter(self._waiting[min(self._waiting)].values()))

    def pop(self) -> WorkItem | None:
        """Removes and returns the next work; call `drop_expired` before."""
        work = self.peek()
        return None if work is None else self._remove(work.work_id)

    def cancel(self, work_id: int) -> WorkItem | None:
        """Removes work and returns it, or None if it does not wait here."""
        return self._remove(work_id) if work_id in self._priority_by_id else None

    def drop_expired(self, now_ms: int) -> tuple[WorkItem, ...]:
        """Removes and returns the work whose deadline has passed."""
        expired = [
            work
            for waiting in self._waiting.values()
            for work in waiting.values()
            if work.deadline_ms <= now_ms
        ]
        for work in expired:
            self._remove(work.work_id)
        return tuple(expired)

    def drain(self) -> tuple[WorkItem, ...]:
        """Removes and returns all work in order of service."""
        drained: list[WorkItem] = []
        while (work := self.pop()) is not None:
            drained.append(work)
        return tuple(drained)

    def find_next_deadline_ms(self) -> int | None:
        """Returns the earliest deadline of the waiting work, or None if nothing waits."""
        deadlines = (
            work.deadline_ms for waiting in self._waiting.values() for work in waiting.values()
        )
        return min(deadlines, default=None)

    def _remove(self, work_id: int) -> WorkItem:
        priority = self._priority_by_id.pop(work_id)
        work = self._waiting[priority].pop(work_id)
        if not self._waiting[priority]:
            del self._waiting[priority]
        return work
