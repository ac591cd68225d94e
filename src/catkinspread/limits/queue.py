"""Bounded priority queue of requests that wait for an upstream."""

import enum

import msgspec

# Maximum number of queued requests for each upstream, unless the settings say otherwise.
DEFAULT_QUEUE_CAPACITY = 128


class WorkItem(msgspec.Struct, frozen=True):
    """The properties of a request that determine its admission.

    Attributes:
        work_id: Hash of the request identity.
        priority: Priority; 0 is the highest.
        deadline_ms: Time from which the request must no longer be started, in ms since the epoch,
            by the clock of this instance.
        is_idempotent: Whether the request may safely be executed more than once.
        arrived_at_ms: When this instance received the request, in ms since the epoch, by its own
            clock.
    """

    work_id: int
    priority: int
    deadline_ms: int
    is_idempotent: bool
    arrived_at_ms: int


class PushStatus(enum.Enum):
    """Whether a pushed request was added to the queue."""

    QUEUED = "queued"
    REFUSED = "refused"
    DUPLICATE = "duplicate"


class PushResult(msgspec.Struct, frozen=True):
    """Result of a push.

    Attributes:
        status: Whether the pushed request was queued.
        expired: Requests that were removed because their deadline had passed.
        displaced: Request of lower priority that was removed to make room, if any.
    """

    status: PushStatus
    expired: tuple[WorkItem, ...] = ()
    displaced: WorkItem | None = None


class PriorityQueue:
    """Serves the lowest priority number first, and equal priorities in order of arrival.

    When the queue is full, expired requests are removed first. If it is still full, the newest
    request of the lowest queued priority is displaced, provided that the pushed request has a
    higher priority; otherwise the pushed request is refused.
    """

    __slots__ = ("_capacity", "_priority_by_id", "_requests_by_priority")

    def __init__(self, capacity: int = DEFAULT_QUEUE_CAPACITY) -> None:
        self._capacity = capacity
        # Priority -> work id -> request, in order of arrival.
        self._requests_by_priority: dict[int, dict[int, WorkItem]] = {}
        self._priority_by_id: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._priority_by_id)

    def push(self, work: WorkItem, now_ms: int) -> PushResult:
        """Adds a request, or refuses it if the queue is full of requests that precede it."""
        if work.work_id in self._priority_by_id:
            return PushResult(PushStatus.DUPLICATE)
        expired: tuple[WorkItem, ...] = ()
        displaced = None
        if len(self) >= self._capacity:
            expired = self.drop_expired(now_ms)
        if len(self) >= self._capacity:
            last_priority = max(self._requests_by_priority, default=work.priority)
            if last_priority <= work.priority:
                return PushResult(PushStatus.REFUSED, expired)
            displaced = self._remove(next(reversed(self._requests_by_priority[last_priority])))
        self._requests_by_priority.setdefault(work.priority, {})[work.work_id] = work
        self._priority_by_id[work.work_id] = work.priority
        return PushResult(PushStatus.QUEUED, expired, displaced)

    def peek(self) -> WorkItem | None:
        """Returns the next request without removing it, or None if the queue is empty."""
        if not self._requests_by_priority:
            return None
        return next(iter(self._requests_by_priority[min(self._requests_by_priority)].values()))

    def pop(self) -> WorkItem | None:
        """Removes and returns the next request, or returns None if the queue is empty.

        It may return an expired request; call `drop_expired` first to avoid that.
        """
        work = self.peek()
        return None if work is None else self._remove(work.work_id)

    def cancel(self, work_id: int) -> WorkItem | None:
        """Removes and returns a request, or returns None if it is not in the queue."""
        return self._remove(work_id) if work_id in self._priority_by_id else None

    def drop_expired(self, now_ms: int) -> tuple[WorkItem, ...]:
        """Removes and returns the requests whose deadline has passed."""
        expired = [
            work
            for requests in self._requests_by_priority.values()
            for work in requests.values()
            if work.deadline_ms <= now_ms
        ]
        for work in expired:
            self._remove(work.work_id)
        return tuple(expired)

    def drain(self) -> tuple[WorkItem, ...]:
        """Removes and returns all requests in service order, including expired ones."""
        drained: list[WorkItem] = []
        while (work := self.pop()) is not None:
            drained.append(work)
        return tuple(drained)

    def find_next_deadline_ms(self) -> int | None:
        """Returns the earliest deadline of all queued requests, or None if the queue is empty."""
        deadlines = (
            work.deadline_ms
            for requests in self._requests_by_priority.values()
            for work in requests.values()
        )
        return min(deadlines, default=None)

    def _remove(self, work_id: int) -> WorkItem:
        priority = self._priority_by_id.pop(work_id)
        work = self._requests_by_priority[priority].pop(work_id)
        if not self._requests_by_priority[priority]:
            del self._requests_by_priority[priority]
        return work
