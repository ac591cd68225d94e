"""The request handling of one instance, without any I/O."""

import random

from catkinspread.model import InstanceIncarnation
from catkinspread.requests import reasons
from catkinspread.requests.actions import (
    AnswerCaller,
    AttemptNotSent,
    ClaimerAction,
    ClaimerEvent,
    DeliverAnswer,
    HandlerAction,
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
from catkinspread.requests.claimer import Claimer
from catkinspread.requests.forwarding import ForwardedEntry, ForwardTable
from catkinspread.requests.idempotent import FlowRequestKey, IdempotentRequests
from catkinspread.requests.identity import RequestIdentity, identify_request
from catkinspread.requests.matching import (
    ATTEMPT_SEPARATOR,
    AnswerMatcher,
    Attempt,
    MatchedAnswer,
)
from catkinspread.requests.messages import (
    CompleteAnswer,
    ForwardAccepted,
    ForwardedAnswer,
    ForwardedRequest,
    PeerMessage,
)
from catkinspread.requests.parameters import RequestParameters
from catkinspread.requests.retries import RetryBudget, RetryPolicy
from catkinspread.requests.sweeper import BucketSweeper
from catkinspread.wire import Answer, AnswerStatus, Request

# Characters that are not allowed in caller ids and request ids: \x00 separates hashed fields,
# ATTEMPT_SEPARATOR precedes the attempt number.
_RESERVED_CHARACTERS = ("\x00", ATTEMPT_SEPARATOR)
_DELETION_INTERVAL_MS = 1_000


def split_answer(identity: RequestIdentity, flow: int, answer: CompleteAnswer) -> AnswerCaller:
    """Splits a complete answer into the packets for the caller."""
    part_count = len(answer.parts)
    return AnswerCaller(
        flow,
        tuple(
            Answer(
                flow=flow,
                caller_id=identity.caller_id,
                request_id=identity.request_id,
                status=answer.status,
                part=part,
                part_count=part_count,
                body=body,
                reason=answer.reason,
            )
            for part, body in enumerate(answer.parts)
        ),
    )


class RequestHandler:
    """Coordinates the parts of the request handling of one instance.

    It passes idempotent requests to IdempotentRequests. Non-idempotent requests are kept in a
    ForwardTable and claimed by the claimer of this or another instance. BucketSweeper selects the
    expired claim buckets to delete.

    Every method takes the current wall-clock time in ms since the Unix epoch and returns the
    actions to execute, in order.

    Attributes:
        matcher: Matches answers from upstreams, and counts the parts that it discards in
            `unmatched_count` and `invalid_count`.
        budget: Limits the retries of each service.
        claimer: Claims the non-idempotent requests of the shards of this instance.
        late_answer_count: Number of answers from other instances for which no caller was waiting
            any more.
    """

    __slots__ = (
        "_forwards",
        "_idempotent",
        "_member",
        "_next_deletion_ms",
        "_parameters",
        "_sweeper",
        "budget",
        "claimer",
        "late_answer_count",
        "matcher",
    )

    def __init__(
        self,
        member: InstanceIncarnation,
        random_source: random.Random,
        parameters: RequestParameters | None = None,
    ) -> None:
        self._member = member
        self._parameters = parameters or RequestParameters()
        self.budget = RetryBudget()
        policy = RetryPolicy(self._parameters, self.budget, random_source)
        self.matcher = AnswerMatcher(self._parameters)
        self.claimer = Claimer(member, self._parameters, policy)
        self.late_answer_count = 0
        self._idempotent = IdempotentRequests(member, self._parameters, policy)
        self._forwards = ForwardTable(member, self._parameters)
        self._sweeper = BucketSweeper(self._parameters)
        self._next_deletion_ms = 0

    def handle_request(
        self, service: str, request: Request, now_ms: int, refusal_reason: str = ""
    ) -> list[HandlerAction]:
        """Handles a request from a caller.

        Args:
            service: Service of the flow.
            request: The request, with its flow filled in.
            now_ms: Current wall-clock time in ms since the Unix epoch.
            refusal_reason: Why the request must not be executed, if a limit refuses it; else empty.
        """
        key = FlowRequestKey(identify_request(request), request.flow)
        if _has_reserved_character(request):
            return [self._make_outcome_unknown_answer(key, reasons.REQUEST_ID_INVALID)]
        if request.idempotent:
            actions = self._idempotent.handle_request(service, request, now_ms, refusal_reason)
            return self._translate(actions, now_ms)
        entry = self._forwards.add(key, service, request, now_ms)
        if entry is None:
            return [self._make_outcome_unknown_answer(key, reasons.QUEUE_FULL)]
        return self._dispatch(entry, now_ms, refusal_reason)

    def handle_peer_message(self, message: PeerMessage, now_ms: int) -> list[HandlerAction]:
        """Handles a message from another instance.

        A forwarded request is claimed here even if another instance is the claimer according
        to the membership view of this one. Forwarding it again could cause a forwarding loop
        between instances with different views.
        """
        match message:
            case ForwardedRequest():
                event = RequestArrived(message.origin, message.service, message.request)
                return self._pass_to_claimer(event, now_ms) + self._make_confirmation(message)
            case ForwardedAnswer():
                return self._handle_peer_answer(message, now_ms)
            case ForwardAccepted():
                self._forwards.record_confirmation(
                    FlowRequestKey(message.identity, message.flow), now_ms
                )
                return []

    def handle_upstream_answer(self, answer: Answer, now_ms: int) -> list[HandlerAction]:
        """Handles a part of an answer from an upstream."""
        matched = self.matcher.accept(answer)
        if matched is None:
            return []
        attempt = matched.attempt
        if attempt.is_idempotent:
            actions = self._idempotent.handle_answer(attempt, matched.answer, now_ms)
            return self._translate(actions, now_ms)
        return self._pass_to_claimer(_make_upstream_event(matched), now_ms)

    def handle_store_event(self, event: StoreEvent, now_ms: int) -> list[HandlerAction]:
        """Handles the outcome of a store action."""
        return self._pass_to_claimer(event, now_ms)

    def handle_send_refused(
        self, action: SendToUpstream, reason: str, now_ms: int
    ) -> list[HandlerAction]:
        """Handles the report that an attempt was not sent and will not be."""
        self.matcher.forget(_make_attempt(action))
        if not action.is_idempotent:
            event = AttemptNotSent(action.identity, action.attempt, reason)
            return self._pass_to_claimer(event, now_ms)
        flow = action.request.flow
        actions = self._idempotent.handle_send_refused(action.identity, flow, reason)
        return self._translate(actions, now_ms)

    def set_live_instances(
        self, live_instances: frozenset[InstanceIncarnation], now_ms: int
    ) -> list[HandlerAction]:
        """Sets the live instances of the membership view; this instance always counts as live."""
        live_instances = live_instances | {self._member}
        moved = self._forwards.set_live_instances(live_instances)
        actions = self._pass_to_claimer(LiveInstancesChanged(live_instances), now_ms)
        for entry in moved:
            # The claimer may just have answered the request because of this change.
            if self._forwards.is_pending(entry.key):
                actions += self._dispatch(entry, now_ms)
        return actions

    def tick(self, now_ms: int) -> list[HandlerAction]:
        """Runs the timers that are due; must be called every 10 to 50 ms.

        Timers are checked only here. A claim batch that was not due when its last request or
        store result arrived is also written only here, so a longer interval delays retries,
        answers to expired requests and claims.
        """
        self.matcher.tick(now_ms)
        actions = self._pass_to_claimer(Tick(), now_ms)
        actions += self._translate(self._idempotent.tick(now_ms), now_ms)
        for entry in self._forwards.pop_due(now_ms):
            actions += self._retransmit(entry, now_ms)
        if now_ms >= self._next_deletion_ms:
            self._next_deletion_ms = now_ms + _DELETION_INTERVAL_MS
            actions += self._sweeper.sweep(self._forwards.list_shards(self._member), now_ms)
        return actions

    def _pass_to_claimer(self, event: ClaimerEvent, now_ms: int) -> list[HandlerAction]:
        return self._translate(self.claimer.handle(event, now_ms), now_ms)

    def _dispatch(
        self, entry: ForwardedEntry, now_ms: int, refusal_reason: str = ""
    ) -> list[HandlerAction]:
        self._forwards.schedule_retransmission(entry, now_ms)
        claimer = self._forwards.find_claimer(entry)
        # A refused request is handled here: the claimer does not know the limits of this instance.
        if claimer == self._member or refusal_reason or entry.is_claimed_locally:
            event = RequestArrived(self._member, entry.service, entry.request, refusal_reason)
            return self._pass_to_claimer(event, now_ms)
        message = ForwardedRequest(
            origin=self._member, service=entry.service, request=entry.request
        )
        return [SendToPeer(claimer, message)]

    def _retransmit(self, entry: ForwardedEntry, now_ms: int) -> list[HandlerAction]:
        if now_ms < entry.expires_at_ms:
            # A paused claimer does not confirm. Claiming the request here as well is safe, because
            # the conditional update determines which instance may execute it.
            unconfirmed_ms = now_ms - entry.confirmed_at_ms
            entry.is_claimed_locally |= unconfirmed_ms >= self._parameters.takeover_ms
            return self._dispatch(entry, now_ms)
        self._forwards.remove(entry.key)
        return [self._make_outcome_unknown_answer(entry.key, reasons.CLAIMER_TIMED_OUT)]

    def _make_confirmation(self, message: ForwardedRequest) -> list[HandlerAction]:
        identity = identify_request(message.request)
        if not self.claimer.is_active(identity):
            return []
        accepted = ForwardAccepted(identity=identity, flow=message.request.flow)
        return [SendToPeer(message.origin, accepted)]

    def _handle_peer_answer(self, message: ForwardedAnswer, now_ms: int) -> list[HandlerAction]:
        # The answer may be for a caller of this instance, for the claimer of this instance, which
        # forwarded the request to the writer of the claim, or for both.
        actions = self._pass_to_claimer(PeerAnswered(message.identity, message.answer), now_ms)
        if self._forwards.remove(FlowRequestKey(message.identity, message.flow)):
            actions.append(split_answer(message.identity, message.flow, message.answer))
        elif not actions:
            self.late_answer_count += 1
        return actions

    def _translate(self, actions: list[ClaimerAction], now_ms: int) -> list[HandlerAction]:
        translated: list[HandlerAction] = []
        for action in actions:
            match action:
                case DeliverAnswer():
                    translated += self._deliver(action)
                case SendToUpstream():
                    translated += self._send(action, now_ms)
                case _:
                    translated.append(action)
        return translated

    def _deliver(self, action: DeliverAnswer) -> list[HandlerAction]:
        if action.origin == self._member:
            self._forwards.remove(FlowRequestKey(action.identity, action.flow))
            return [split_answer(action.identity, action.flow, action.answer)]
        message = ForwardedAnswer(identity=action.identity, flow=action.flow, answer=action.answer)
        return [SendToPeer(action.origin, message)]

    def _send(self, action: SendToUpstream, now_ms: int) -> list[HandlerAction]:
        expires_at_ms = action.not_after_ms + self._parameters.late_answer_ms
        if self.matcher.expect(_make_attempt(action), expires_at_ms):
            return [action]
        return self.handle_send_refused(action, reasons.QUEUE_FULL, now_ms)

    def _make_outcome_unknown_answer(self, key: FlowRequestKey, reason: str) -> AnswerCaller:
        answer = CompleteAnswer(AnswerStatus.OUTCOME_UNKNOWN, reason=reason)
        return split_answer(key.identity, key.flow, answer)


def _has_reserved_character(request: Request) -> bool:
    texts = (request.request_id, request.caller_id)
    return any(character in text for text in texts for character in _RESERVED_CHARACTERS)


def _make_attempt(action: SendToUpstream) -> Attempt:
    return Attempt(action.identity, action.request.flow, action.attempt, action.is_idempotent)


def _make_upstream_event(matched: MatchedAnswer) -> UpstreamAnswered | UpstreamShed:
    attempt = matched.attempt
    # An upstream that answers NOT_RUN did not execute the attempt either.
    if matched.answer.status in (AnswerStatus.SHED, AnswerStatus.NOT_RUN):
        return UpstreamShed(attempt.identity, attempt.number)
    return UpstreamAnswered(attempt.identity, attempt.number, matched.answer)
