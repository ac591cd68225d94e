"""The state machine that executes non-idempotent requests at most once.

It guarantees that NOT_RUN is answered only to requests that are never executed (G6 in
docs/design.md) and that a non-idempotent request is executed at most once (G7). Both guarantees
depend on two rules:

* A request is sent only if its bucket is known to contain a claim of this instance that was
  written for this entry, and only before its deadline. It is sent again only if the upstream
  shed the previous attempt.
* NOT_RUN is answered only if the bucket is known to contain a tombstone, or a claim of this
  instance whose request was never sent or was shed in every attempt, and will not be sent again.

The absence of a record is not sufficient for NOT_RUN: another instance may have a claim in
flight, and a write of this instance may take effect late. An expired deadline is not sufficient
either, because another instance may have received and executed a copy of the request. See
docs/decisions/0002-at-most-once.md.
"""

import itertools

from catkinspread.model import InstanceIncarnation
from catkinspread.requests import reasons
from catkinspread.requests.actions import (
    AttemptNotSent,
    ClaimerAction,
    ClaimerEvent,
    DeliverAnswer,
    LiveInstancesChanged,
    PeerAnswered,
    RequestArrived,
    SendToPeer,
    SendToUpstream,
    StoreEvent,
    Tick,
    UpstreamAnswered,
    UpstreamShed,
)
from catkinspread.requests.bucket import ClaimRecord, RecordKind
from catkinspread.requests.entries import (
    Entry,
    EntryState,
    EntryTable,
    Waiter,
    compute_due_ms,
    compute_fingerprint,
)
from catkinspread.requests.identity import (
    SHARD_COUNT,
    RequestIdentity,
    compute_bucket_id,
    format_member,
    identify_request,
)
from catkinspread.requests.matching import make_attempt_request
from catkinspread.requests.messages import CompleteAnswer, ForwardedRequest
from catkinspread.requests.parameters import RequestParameters
from catkinspread.requests.retries import RetryPolicy
from catkinspread.requests.shard_pipeline import PendingRecord, ShardPipeline
from catkinspread.wire import AnswerStatus


class Claimer:
    """Handles the non-idempotent requests that an instance claims or has claimed.

    The claimer of a shard is the live instance that a rendezvous hash selects for it; the other
    instances forward the requests of the shard to it. Every instance runs this class, and while
    their membership views differ, several may act as the claimer of a shard. The class is correct
    in that case too, because the conditional update of a bucket determines the writer of a claim:
    the one instance that may execute the request.
    """

    __slots__ = (
        "_actions",
        "_live_instances",
        "_member",
        "_now_ms",
        "_parameters",
        "_pipelines",
        "_retry_policy",
        "_table",
        "_tokens",
        "_writer",
    )

    def __init__(
        self, member: InstanceIncarnation, parameters: RequestParameters, retry_policy: RetryPolicy
    ) -> None:
        self._member = member
        self._writer = format_member(member)
        self._parameters = parameters
        self._retry_policy = retry_policy
        self._table = EntryTable(parameters)
        self._pipelines = [ShardPipeline(self._writer, parameters) for _ in range(SHARD_COUNT)]
        self._tokens = itertools.count(1)
        self._live_instances: dict[str, InstanceIncarnation] = {}
        self._now_ms = 0
        self._actions: list[ClaimerAction] = []

    @property
    def active_count(self) -> int:
        """Number of unanswered requests."""
        return self._table.active_count

    def is_active(self, identity: RequestIdentity) -> bool:
        """Returns whether a request is in the table and not yet answered."""
        entry = self._table.find(identity)
        return entry is not None and entry.state is not EntryState.ANSWERED

    @property
    def answered_count(self) -> int:
        """Number of answers cached for repeated requests."""
        return self._table.answered_count

    def handle(self, event: ClaimerEvent, now_ms: int) -> list[ClaimerAction]:
        """Handles an event and returns the actions to execute.

        Args:
            event: The event.
            now_ms: Current wall-clock time in ms since the Unix epoch, read immediately before
                this call. It must not be the time at which the event occurred or was queued:
                with an older time a request could be sent after its deadline.

        Raises:
            ValueError: If a repeated request is claimed again while another request with the
                same claim hash (a 64-bit hash collision) has a pending record in its bucket.
        """
        self._now_ms = now_ms
        self._actions = []
        match event:
            case RequestArrived():
                self._handle_request(event)
            case UpstreamAnswered():
                self._handle_upstream_answer(event)
            case UpstreamShed():
                self._handle_shed(event)
            case AttemptNotSent():
                self._handle_attempt_not_sent(event)
            case PeerAnswered():
                self._handle_peer_answer(event)
            case LiveInstancesChanged():
                self._handle_live_instances(event)
            case Tick():
                self._handle_tick()
            case _:
                self._handle_store_event(event)
        return self._actions

    # New and repeated requests.

    def _handle_request(self, event: RequestArrived) -> None:
        identity = identify_request(event.request)
        fingerprint = compute_fingerprint(event.service, event.request)
        entry = self._table.find(identity)
        if entry is None:
            refusal = self._find_refusal_reason(event, identity)
            if refusal:
                self._deliver_outcome_unknown(event, identity, refusal)
                return
            self._add_entry(event, identity, fingerprint)
        elif entry.fingerprint != fingerprint:
            self._deliver_outcome_unknown(event, identity, reasons.REQUEST_ID_REUSED)
        elif entry.state is not EntryState.ANSWERED:
            self._add_waiter(entry, event, identity)
        elif entry.is_unresolved and not self._is_too_old(identity):
            self._reopen(entry, event)
        else:
            self._deliver(Waiter(event.origin, event.request.flow), identity, entry.answer)

    def _find_refusal_reason(self, event: RequestArrived, identity: RequestIdentity) -> str:
        """Returns why a new request gets no entry, or an empty text.

        Such a request is answered OUTCOME_UNKNOWN and no record is written for it.
        """
        if event.request.issued_at_ms > self._now_ms + self._parameters.clock_skew_max_ms:
            return reasons.ISSUED_IN_FUTURE
        if self._is_too_old(identity):
            return reasons.OUTSIDE_CLAIM_WINDOW
        bucket = compute_bucket_id(identity)
        if self._pipelines[bucket.shard].has_pending(bucket, identity.claim_hash):
            # The pending record belongs to another request with the same claim hash.
            return reasons.REQUEST_ID_REUSED
        # Counts the active requests and those that wait for a refusal record (tombstone).
        entries_max = self._parameters.active_max + self._parameters.refused_max
        return reasons.QUEUE_FULL if self._table.active_count >= entries_max else ""

    def _add_entry(
        self, event: RequestArrived, identity: RequestIdentity, fingerprint: int
    ) -> None:
        refusal_reason = event.refusal_reason
        if not refusal_reason and self._table.active_count >= self._parameters.active_max:
            refusal_reason = reasons.QUEUE_FULL
        window_end_ms = identity.issued_at_ms + self._parameters.claim_window_ms
        entry = Entry(
            identity=identity,
            fingerprint=fingerprint,
            service=event.service,
            request=event.request,
            deadline_ms=min(event.request.deadline_ms, window_end_ms),
            expires_at_ms=0,
            pending_record=PendingRecord(
                identity, compute_bucket_id(identity), identity.claim_hash, next(self._tokens)
            ),
            refusal_reason=refusal_reason,
        )
        self._start_claiming(entry, event)

    def _reopen(self, entry: Entry, event: RequestArrived) -> None:
        """Claims an answered request again after its outcome was unresolved.

        The entry keeps its deadline_ms, its refusal_reason and the kind of its pending record,
        so a request that was to be refused is not executed now.
        """
        entry.request = event.request
        entry.is_unresolved = False
        self._start_claiming(entry, event)

    def _start_claiming(self, entry: Entry, event: RequestArrived) -> None:
        self._table.activate(entry)
        entry.state = EntryState.CLAIMING
        entry.waiters = [Waiter(event.origin, event.request.flow)]
        if not entry.refusal_reason and self._now_ms >= entry.deadline_ms:
            entry.refusal_reason = reasons.DEADLINE_PASSED
        if entry.refusal_reason:
            entry.pending_record.kind = RecordKind.REFUSED
        wait_ms = self._parameters.clock_skew_max_ms + self._parameters.settle_grace_ms
        entry.expires_at_ms = max(entry.deadline_ms, self._now_ms) + wait_ms
        self._set_due(entry)
        record = self._pipelines[entry.pending_record.bucket.shard].add_pending(
            entry.pending_record
        )
        if record is not None:
            self._apply_record(entry, record)
        self._start_store_call(entry.pending_record.bucket.shard)

    def _add_waiter(self, entry: Entry, event: RequestArrived, identity: RequestIdentity) -> None:
        waiter = Waiter(event.origin, event.request.flow)
        if waiter in entry.waiters:
            return
        if len(entry.waiters) >= self._parameters.waiters_max:
            self._deliver_outcome_unknown(event, identity, reasons.TOO_MANY_WAITERS)
            return
        entry.waiters.append(waiter)

    # Store calls and claim records.

    def _handle_store_event(self, event: StoreEvent) -> None:
        shard = event.bucket.shard
        for item in self._pipelines[shard].handle(event, self._now_ms):
            entry = self._table.find(item.pending_record.identity)
            if entry is not None:
                self._apply_record(entry, item.record)
        self._start_store_call(shard)

    def _start_store_call(self, shard: int) -> None:
        self._actions += self._pipelines[shard].start_call(self._now_ms)

    def _apply_record(self, entry: Entry, record: ClaimRecord) -> None:
        """Continues an entry according to the record in its bucket."""
        if self._is_too_old(entry.identity):
            # The bucket may have been deleted and recreated, so the record is not reliable.
            self._finish_outcome_unknown(entry, reasons.OUTSIDE_CLAIM_WINDOW)
        elif record.kind is RecordKind.REFUSED:
            self._finish_not_run(entry, entry.refusal_reason or reasons.REFUSED_EARLIER)
        elif record.writer != self._writer:
            self._forward_to_writer(entry, record.writer)
        elif record.token != entry.pending_record.token:
            self._finish_outcome_unknown(entry, reasons.ANSWER_EVICTED)
        elif entry.refusal_reason:
            self._finish_not_run(entry, entry.refusal_reason)
        else:
            self._send(entry)

    # Sending, and answers from upstreams.

    def _send(self, entry: Entry) -> None:
        if self._now_ms >= entry.deadline_ms:
            self._finish_not_run(entry, reasons.DEADLINE_PASSED)
            return
        if entry.attempt == 0:
            self._retry_policy.budget.record_request(entry.service, self._now_ms)
        entry.attempt += 1
        entry.state = EntryState.SENT
        self._set_due(entry)
        self._actions.append(
            SendToUpstream(
                identity=entry.identity,
                attempt=entry.attempt,
                service=entry.service,
                request=make_attempt_request(entry.request, entry.attempt),
                not_after_ms=entry.deadline_ms,
            )
        )

    def _handle_upstream_answer(self, event: UpstreamAnswered) -> None:
        entry = self._find_entry_by_attempt(event.identity, event.attempt)
        if entry is None:
            return
        if entry.state is EntryState.SENT:
            self._finish(entry, event.answer)
        elif entry.is_outcome_unknown:
            self._table.replace_answer(entry, event.answer)

    def _handle_shed(self, event: UpstreamShed) -> None:
        entry = self._find_entry_by_attempt(event.identity, event.attempt)
        if entry is None:
            return
        if entry.is_outcome_unknown:
            answer = CompleteAnswer(AnswerStatus.NOT_RUN, reason=reasons.SHED_BY_UPSTREAM)
            self._table.replace_answer(entry, answer)
        if entry.state is not EntryState.SENT:
            return
        retry_at_ms = self._retry_policy.plan_retry(
            entry.service, entry.attempt, entry.deadline_ms, self._now_ms
        )
        if retry_at_ms is None:
            self._finish_not_run(entry, reasons.SHED_BY_UPSTREAM)
            return
        entry.state = EntryState.BACKOFF
        entry.retry_at_ms = retry_at_ms
        self._set_due(entry)

    def _handle_attempt_not_sent(self, event: AttemptNotSent) -> None:
        entry = self._find_entry_by_attempt(event.identity, event.attempt)
        if entry is not None and entry.state is EntryState.SENT:
            self._finish_not_run(entry, event.reason)

    def _find_entry_by_attempt(self, identity: RequestIdentity, attempt: int) -> Entry | None:
        """Returns the entry if this is its last attempt; all earlier attempts were shed."""
        entry = self._table.find(identity)
        return entry if entry is not None and entry.attempt == attempt else None

    # Claims of other instances.

    def _forward_to_writer(self, entry: Entry, writer: str) -> None:
        member = self._live_instances.get(writer)
        if member is None:
            self._finish_outcome_unknown(entry, reasons.WRITER_NOT_LIVE, is_unresolved=True)
            return
        entry.state = EntryState.FORWARDED
        entry.writer = member
        self._send_to_writer(entry)

    def _send_to_writer(self, entry: Entry) -> None:
        message = ForwardedRequest(
            origin=self._member, service=entry.service, request=entry.request
        )
        self._actions.append(SendToPeer(entry.writer, message))
        entry.retry_at_ms = self._now_ms + self._parameters.forward_retry_ms
        self._set_due(entry)

    def _handle_peer_answer(self, event: PeerAnswered) -> None:
        entry = self._table.find(event.identity)
        if entry is None:
            return
        is_outcome_unknown = event.answer.status is AnswerStatus.OUTCOME_UNKNOWN
        if entry.state is EntryState.FORWARDED:
            self._finish(entry, event.answer, is_unresolved=is_outcome_unknown)
        elif entry.is_unresolved and not is_outcome_unknown:
            self._table.replace_answer(entry, event.answer)

    def _handle_live_instances(self, event: LiveInstancesChanged) -> None:
        self._live_instances = {format_member(member): member for member in event.live_instances}
        for entry in self._table.list_active():
            if entry.state is not EntryState.FORWARDED:
                continue
            if format_member(entry.writer) not in self._live_instances:
                self._finish_outcome_unknown(entry, reasons.WRITER_NOT_LIVE, is_unresolved=True)

    # Timers.

    def _handle_tick(self) -> None:
        for entry in self._table.pop_due(self._now_ms):
            self._handle_due(entry)
        for shard in range(SHARD_COUNT):
            self._start_store_call(shard)

    def _handle_due(self, entry: Entry) -> None:
        if entry.state is EntryState.BACKOFF:
            self._send(entry)
        elif self._now_ms >= entry.expires_at_ms:
            self._expire(entry)
        elif entry.state is EntryState.CLAIMING:
            entry.refusal_reason = entry.refusal_reason or reasons.DEADLINE_PASSED
            entry.pending_record.kind = RecordKind.REFUSED
            self._set_due(entry)
        elif entry.state is EntryState.FORWARDED:
            self._send_to_writer(entry)

    def _expire(self, entry: Entry) -> None:
        if entry.state is EntryState.SENT:
            self._finish_outcome_unknown(entry, reasons.UPSTREAM_TIMED_OUT)
        elif entry.state is EntryState.FORWARDED:
            self._finish_outcome_unknown(entry, reasons.WRITER_TIMED_OUT, is_unresolved=True)
        else:
            self._pipelines[entry.pending_record.bucket.shard].discard_pending(entry.pending_record)
            self._finish_outcome_unknown(entry, reasons.CLAIM_NOT_SETTLED, is_unresolved=True)

    def _set_due(self, entry: Entry) -> None:
        self._table.set_due(entry, compute_due_ms(entry))

    def _is_too_old(self, identity: RequestIdentity) -> bool:
        return self._now_ms >= identity.issued_at_ms + self._parameters.claim_window_ms

    # Answers.

    def _finish_not_run(self, entry: Entry, reason: str) -> None:
        self._finish(entry, CompleteAnswer(AnswerStatus.NOT_RUN, reason=reason))

    def _finish_outcome_unknown(
        self, entry: Entry, reason: str, is_unresolved: bool = False
    ) -> None:
        answer = CompleteAnswer(AnswerStatus.OUTCOME_UNKNOWN, reason=reason)
        self._finish(entry, answer, is_unresolved=is_unresolved)

    def _finish(self, entry: Entry, answer: CompleteAnswer, is_unresolved: bool = False) -> None:
        for waiter in entry.waiters:
            self._deliver(waiter, entry.identity, answer)
        entry.is_unresolved = is_unresolved
        self._table.complete(entry, answer)

    def _deliver_outcome_unknown(
        self, event: RequestArrived, identity: RequestIdentity, reason: str
    ) -> None:
        waiter = Waiter(event.origin, event.request.flow)
        self._deliver(waiter, identity, CompleteAnswer(AnswerStatus.OUTCOME_UNKNOWN, reason=reason))

    def _deliver(self, waiter: Waiter, identity: RequestIdentity, answer: CompleteAnswer) -> None:
        self._actions.append(DeliverAnswer(waiter.origin, identity, waiter.flow, answer))
