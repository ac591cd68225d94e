"""The bounded table of active and answered requests of a claimer."""

import enum
from collections.abc import Iterator

import msgspec
from xxhash import xxh3_64_intdigest

from catkinspread.model import InstanceIncarnation
from catkinspread.requests.identity import RequestIdentity
from catkinspread.requests.messages import CompleteAnswer
from catkinspread.requests.parameters import RequestParameters
from catkinspread.requests.shard_pipeline import PendingRecord
from catkinspread.requests.timers import TimerQueue
from catkinspread.wire import AnswerStatus, Request


class EntryState(enum.Enum):
    """State of an entry.

    CLAIMING: Waiting for a record in the bucket.
    SENT: Waiting for the answer from the upstream.
    BACKOFF: Waiting to retry after the upstream shed the request.
    FORWARDED: Waiting for the answer from the instance that wrote the claim.
    ANSWERED: The answer is cached for repeated requests.
    """

    CLAIMING = "claiming"
    SENT = "sent"
    BACKOFF = "backoff"
    FORWARDED = "forwarded"
    ANSWERED = "answered"


class Waiter(msgspec.Struct, frozen=True):
    """A flow that waits for the answer, and the instance that received its request."""

    origin: InstanceIncarnation
    flow: int


class Entry(msgspec.Struct, eq=False):
    """A request in the table of a claimer.

    Attributes:
        identity: Identity of the request.
        fingerprint: Hash of service and body; must be equal in a repeated request.
        service: Service of the flow.
        request: The latest copy of the request; None once it has been answered.
        deadline_ms: The request must be sent before this time, in ms since the Unix epoch.
        expires_at_ms: Without an answer, OUTCOME_UNKNOWN is returned at this time, in ms since
            the Unix epoch. Used while the entry is active; 0 means not set.
        pending_record: The record that this instance intends to write to the bucket.
        state: State of the entry.
        waiters: Flows that receive the answer.
        refusal_reason: Why the request must not be executed; empty if it may be.
        attempt: Number of the last attempt; 0 before the first.
        retry_at_ms: When a shed request (BACKOFF) or a forwarded request (FORWARDED) is sent
            again, in ms since the Unix epoch. Not used in other states; 0 means not set.
        writer: Instance that wrote the claim, if it is another one.
        answer: The answer; None while the entry is active.
        is_unresolved: Whether the answer is OUTCOME_UNKNOWN and this instance did not send the
            request. A repeated request then makes the entry active again, and its bucket is
            checked again. False, even if the outcome is unknown, where this cannot help: the
            request was sent by this instance, the claim belongs to an evicted entry, or the
            claim window has passed.
    """

    identity: RequestIdentity
    fingerprint: int
    service: str
    request: Request | None
    deadline_ms: int
    expires_at_ms: int
    pending_record: PendingRecord
    state: EntryState = EntryState.CLAIMING
    waiters: list[Waiter] = []
    refusal_reason: str = ""
    attempt: int = 0
    retry_at_ms: int = 0
    writer: InstanceIncarnation | None = None
    answer: CompleteAnswer | None = None
    is_unresolved: bool = False

    @property
    def is_outcome_unknown(self) -> bool:
        """Whether the answer is OUTCOME_UNKNOWN, whatever the cause."""
        return self.answer is not None and self.answer.status is AnswerStatus.OUTCOME_UNKNOWN


def compute_fingerprint(service: str, request: Request) -> int:
    """Returns a hash of the service and body, which must be equal in all copies of a request."""
    return xxh3_64_intdigest(service.encode() + b"\x00" + request.body)


def compute_due_ms(entry: Entry) -> int:
    """Returns when the next timer of an active entry is due, in ms since the Unix epoch."""
    if entry.state is EntryState.BACKOFF:
        return entry.retry_at_ms
    if entry.state is EntryState.FORWARDED:
        return min(entry.expires_at_ms, entry.retry_at_ms)
    if entry.state is EntryState.CLAIMING and not entry.refusal_reason:
        return min(entry.expires_at_ms, entry.deadline_ms)
    return entry.expires_at_ms


class EntryTable:
    """Stores active entries with their timers, and a cache of answered entries."""

    __slots__ = (
        "_active",
        "_answered",
        "_answered_bytes",
        "_parameters",
        "_timers",
    )

    def __init__(self, parameters: RequestParameters) -> None:
        self._parameters = parameters
        self._active: dict[RequestIdentity, Entry] = {}
        # Ordered by time of the answer, oldest first.
        self._answered: dict[RequestIdentity, Entry] = {}
        self._answered_bytes = 0
        self._timers: TimerQueue[RequestIdentity] = TimerQueue()

    @property
    def active_count(self) -> int:
        """Number of active entries."""
        return len(self._active)

    @property
    def answered_count(self) -> int:
        """Number of cached answers."""
        return len(self._answered)

    def find(self, identity: RequestIdentity) -> Entry | None:
        """Returns the active or answered entry of a request, or None."""
        return self._active.get(identity) or self._answered.get(identity)

    def list_active(self) -> list[Entry]:
        """Returns the active entries."""
        return list(self._active.values())

    def activate(self, entry: Entry) -> None:
        """Adds an active entry, or makes an answered entry active again."""
        if self._answered.pop(entry.identity, None) is not None:
            self._answered_bytes -= _compute_answer_bytes(entry)
        entry.answer = None
        self._active[entry.identity] = entry

    def set_due(self, entry: Entry, due_ms: int) -> None:
        """Sets the timer of an active entry, replacing any existing one."""
        self._timers.set(entry.identity, due_ms)

    def pop_due(self, now_ms: int) -> Iterator[Entry]:
        """Yields the active entries whose timers are due, and removes these timers.

        Raises:
            KeyError: If the entry of a due timer is not active.
        """
        for identity in self._timers.pop_due(now_ms):
            yield self._active[identity]

    def complete(self, entry: Entry, answer: CompleteAnswer) -> None:
        """Moves an active entry to the cache of answered entries and removes its timer.

        The oldest answered entries beyond the limits of the cache are evicted.

        Raises:
            KeyError: If the entry is not active.
        """
        del self._active[entry.identity]
        self._timers.remove(entry.identity)
        entry.state = EntryState.ANSWERED
        entry.request = None
        entry.waiters = []
        entry.answer = answer
        self._answered[entry.identity] = entry
        self._answered_bytes += _compute_answer_bytes(entry)
        self._evict()

    def replace_answer(self, entry: Entry, answer: CompleteAnswer) -> None:
        """Replaces the answer of an answered entry and clears `is_unresolved`.

        Does nothing if the entry has been evicted or is active again.
        """
        if entry.identity not in self._answered:
            return
        self._answered_bytes -= _compute_answer_bytes(entry)
        entry.answer = answer
        entry.is_unresolved = False
        self._answered_bytes += _compute_answer_bytes(entry)
        self._evict()

    def _evict(self) -> None:
        while self._answered and (
            len(self._answered) > self._parameters.answered_max
            or self._answered_bytes > self._parameters.answered_bytes_max
        ):
            oldest = self._answered.pop(next(iter(self._answered)))
            self._answered_bytes -= _compute_answer_bytes(oldest)


def _compute_answer_bytes(entry: Entry) -> int:
    return entry.answer.size_bytes if entry.answer is not None else 0
