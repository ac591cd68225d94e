"""Idempotent requests: sent immediately, and retried within the retry budget.

They have no claim, so it cannot be ruled out that another instance executed a copy. They are
therefore never answered NOT_RUN.
"""

import msgspec

from catkinspread.model import InstanceIncarnation
from catkinspread.requests import reasons
from catkinspread.requests.actions import DeliverAnswer, SendToUpstream
from catkinspread.requests.identity import RequestIdentity, identify_request
from catkinspread.requests.matching import Attempt, make_attempt_request
from catkinspread.requests.messages import CompleteAnswer
from catkinspread.requests.parameters import RequestParameters
from catkinspread.requests.retries import RetryPolicy
from catkinspread.requests.timers import TimerQueue
from catkinspread.wire import AnswerStatus, Request


class FlowRequestKey(msgspec.Struct, frozen=True):
    """Identifies a request on one flow; a copy on another flow has a different key."""

    identity: RequestIdentity
    flow: int


class _PendingRequest(msgspec.Struct, eq=False):
    key: FlowRequestKey
    service: str
    request: Request
    attempt: int = 0
    is_sent: bool = False


IdempotentAction = SendToUpstream | DeliverAnswer


class IdempotentRequests:
    """Handles the idempotent requests that callers send to one instance."""

    __slots__ = ("_member", "_parameters", "_pending", "_retry_policy", "_timers")

    def __init__(
        self, member: InstanceIncarnation, parameters: RequestParameters, retry_policy: RetryPolicy
    ) -> None:
        self._member = member
        self._parameters = parameters
        self._retry_policy = retry_policy
        self._pending: dict[FlowRequestKey, _PendingRequest] = {}
        self._timers: TimerQueue[FlowRequestKey] = TimerQueue()

    def __len__(self) -> int:
        return len(self._pending)

    def handle_request(
        self, service: str, request: Request, now_ms: int, refusal_reason: str = ""
    ) -> list[IdempotentAction]:
        """Sends a request unless a copy on the same flow is pending.

        The request is answered OUTCOME_UNKNOWN instead if it is refused, if its deadline has
        passed or if the table of pending requests is full.

        Args:
            service: Service of the flow.
            request: The request, with its flow filled in.
            now_ms: Current wall-clock time in ms since the Unix epoch.
            refusal_reason: Why the request must not be executed, if a limit refuses it; else empty.
        """
        key = FlowRequestKey(identify_request(request), request.flow)
        if key in self._pending:
            return []
        if not refusal_reason and now_ms >= request.deadline_ms:
            refusal_reason = reasons.DEADLINE_PASSED
        if not refusal_reason and len(self._pending) >= self._parameters.pending_max:
            refusal_reason = reasons.QUEUE_FULL
        if refusal_reason:
            return [self._make_outcome_unknown_answer(key, refusal_reason)]
        pending = _PendingRequest(key, service, request)
        self._pending[key] = pending
        self._retry_policy.budget.record_request(service, now_ms)
        return [self._send(pending, now_ms)]

    def handle_answer(
        self, attempt: Attempt, answer: CompleteAnswer, now_ms: int
    ) -> list[IdempotentAction]:
        """Handles the complete answer to an attempt.

        The caller receives the first answer other than SHED and NOT_RUN. After SHED or NOT_RUN for
        the latest attempt the request is retried, or answered OUTCOME_UNKNOWN if no retry is
        allowed.
        """
        key = FlowRequestKey(attempt.identity, attempt.flow)
        pending = self._pending.get(key)
        if pending is None:
            return []
        if answer.status in (AnswerStatus.SHED, AnswerStatus.NOT_RUN):
            return self._handle_shed(pending, attempt, now_ms)
        self._remove(key)
        return [DeliverAnswer(self._member, key.identity, key.flow, answer)]

    def handle_send_refused(
        self, identity: RequestIdentity, flow: int, reason: str
    ) -> list[IdempotentAction]:
        """Answers a request whose attempt was not sent."""
        key = FlowRequestKey(identity, flow)
        if key not in self._pending:
            return []
        self._remove(key)
        return [self._make_outcome_unknown_answer(key, reason)]

    def tick(self, now_ms: int) -> list[IdempotentAction]:
        """Sends the retries that are due and answers the requests whose deadline has passed."""
        actions: list[IdempotentAction] = []
        for key in self._timers.pop_due(now_ms):
            actions += self._handle_due(self._pending[key], now_ms)
        return actions

    def _handle_due(self, pending: _PendingRequest, now_ms: int) -> list[IdempotentAction]:
        if now_ms >= pending.request.deadline_ms:
            self._remove(pending.key)
            return [self._make_outcome_unknown_answer(pending.key, reasons.UPSTREAM_TIMED_OUT)]
        if not pending.is_sent:
            return [self._send(pending, now_ms)]
        retry_at_ms = self._plan_retry(pending, now_ms)
        pending.is_sent = retry_at_ms is None
        self._set_due(pending, retry_at_ms or pending.request.deadline_ms)
        return []

    def _handle_shed(
        self, pending: _PendingRequest, attempt: Attempt, now_ms: int
    ) -> list[IdempotentAction]:
        if attempt.number != pending.attempt or not pending.is_sent:
            return []
        retry_at_ms = self._plan_retry(pending, now_ms)
        if retry_at_ms is None:
            self._remove(pending.key)
            return [self._make_outcome_unknown_answer(pending.key, reasons.SHED_BY_UPSTREAM)]
        pending.is_sent = False
        self._set_due(pending, retry_at_ms)
        return []

    def _plan_retry(self, pending: _PendingRequest, now_ms: int) -> int | None:
        return self._retry_policy.plan_retry(
            pending.service, pending.attempt, pending.request.deadline_ms, now_ms
        )

    def _send(self, pending: _PendingRequest, now_ms: int) -> SendToUpstream:
        pending.attempt += 1
        pending.is_sent = True
        deadline_ms = pending.request.deadline_ms
        self._set_due(pending, min(now_ms + self._parameters.attempt_timeout_ms, deadline_ms))
        return SendToUpstream(
            identity=pending.key.identity,
            attempt=pending.attempt,
            service=pending.service,
            request=make_attempt_request(pending.request, pending.attempt),
            not_after_ms=deadline_ms,
            is_idempotent=True,
        )

    def _remove(self, key: FlowRequestKey) -> None:
        del self._pending[key]
        self._timers.remove(key)

    def _set_due(self, pending: _PendingRequest, due_ms: int) -> None:
        self._timers.set(pending.key, due_ms)

    def _make_outcome_unknown_answer(self, key: FlowRequestKey, reason: str) -> DeliverAnswer:
        answer = CompleteAnswer(AnswerStatus.OUTCOME_UNKNOWN, reason=reason)
        return DeliverAnswer(self._member, key.identity, key.flow, answer)
