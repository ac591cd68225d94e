"""Test harness: claimers that share one store, whose calls the test completes one by one."""

import random
from collections import Counter

import msgspec

from catkinspread.model import InstanceIncarnation
from catkinspread.requests import (
    AttemptNotSent,
    BucketRead,
    BucketReadFailed,
    BucketWriteConflicted,
    BucketWriteFailed,
    BucketWriteOutcomeUnknown,
    BucketWritten,
    Claimer,
    CompleteAnswer,
    DeliverAnswer,
    LiveInstancesChanged,
    PeerAnswered,
    ReadBucket,
    RequestArrived,
    RequestParameters,
    RetryBudget,
    RetryPolicy,
    SendToPeer,
    SendToUpstream,
    Tick,
    UpstreamAnswered,
    UpstreamShed,
    WriteBucket,
)
from catkinspread.wire import AnswerStatus, Request

START_MS = 1_800_000_000_000
OK = AnswerStatus.OK
NOT_RUN = AnswerStatus.NOT_RUN
OUTCOME_UNKNOWN = AnswerStatus.OUTCOME_UNKNOWN


def make_request(number=1, flow=7, issued_at_ms=START_MS, timeout_ms=2_000, body=b"order"):
    return Request(
        flow=flow,
        caller_id="caller",
        request_id=str(number),
        issued_at_ms=issued_at_ms,
        timeout_ms=timeout_ms,
        idempotent=False,
        priority=0,
        body=body,
    )


class ClaimerHarness:
    """Claimers by name. Sends take effect immediately; the test completes calls and messages.

    A store call is completed with one of these outcomes. Reads succeed unless it is "down".

    * done: The call takes effect and its result is reported.
    * answer-lost: The write takes effect; its outcome is reported as unknown.
    * lost: The write never takes effect; its outcome is reported as unknown.
    * late: As "lost", but `apply_late_writes` may still apply the write.
    * down: The store is unavailable; the call is reported as failed and has no effect.

    Attributes:
        execution_counts: Number of sends by request identity, less the sends that were shed or
            refused.
    """

    def __init__(self, names="ab", parameters=None):
        self.now_ms = START_MS
        self.parameters = parameters or RequestParameters()
        self.members = {name: InstanceIncarnation(name, 1) for name in names}
        self.objects = {}
        self.late_writes = []
        self.calls = {name: [] for name in names}
        self.messages = []
        self.sends = []
        self.answers = []
        self.execution_counts = Counter()
        self.claimers = {}
        for name in names:
            self.start(name)

    def start(self, name):
        policy = RetryPolicy(self.parameters, RetryBudget(), random.Random(1))
        for _ in range(1_000):
            policy.budget.record_request("orders", self.now_ms)
        self.calls[name] = []
        self.claimers[name] = Claimer(self.members[name], self.parameters, policy)
        self.set_live_instances(name)

    def restart(self, name):
        member = self.members[name]
        self.members[name] = msgspec.structs.replace(member, incarnation=member.incarnation + 1)
        self.start(name)
        for other in self.claimers:
            self.set_live_instances(other)

    def crash(self, name):
        del self.claimers[name], self.members[name]
        for other in self.claimers:
            self.set_live_instances(other)

    def set_live_instances(self, name):
        self.handle(name, LiveInstancesChanged(frozenset(self.members.values())))

    def receive_request(self, name, request, origin=None, refusal_reason=""):
        origin = origin or InstanceIncarnation("edge", 1)
        self.handle(name, RequestArrived(origin, "orders", request, refusal_reason))

    def handle(self, name, event):
        for action in self.claimers[name].handle(event, self.now_ms):
            match action:
                case SendToUpstream():
                    self.sends.append((name, action))
                    self.execution_counts[action.identity] += 1
                case DeliverAnswer():
                    self.answers.append(action)
                case SendToPeer():
                    self.messages.append((name, action))
                case _:
                    self.calls[name].append(action)

    def advance(self, duration_ms):
        self.now_ms += duration_ms
        for name in list(self.claimers):
            self.handle(name, Tick())

    def complete_call(self, name, outcome="done"):
        """Completes the oldest store call of a claimer and passes it the result."""
        action = self.calls[name].pop(0)
        self.handle(name, self.execute(action, outcome))

    def execute(self, action, outcome):
        """Executes a store call and returns its result, without passing it to a claimer."""
        arguments = (action.bucket, action.operation)
        if isinstance(action, ReadBucket):
            if outcome == "down":
                return BucketReadFailed(*arguments)
            version, value = self.objects.get(action.bucket, (0, b""))
            return BucketRead(*arguments, version, value)
        if outcome == "down":
            return BucketWriteFailed(*arguments)
        if outcome == "late":
            self.late_writes.append(action)
        if outcome in ("late", "lost"):
            return BucketWriteOutcomeUnknown(*arguments)
        is_applied = self.apply(action)
        if outcome == "answer-lost":
            return BucketWriteOutcomeUnknown(*arguments)
        if not is_applied:
            return BucketWriteConflicted(*arguments)
        return BucketWritten(*arguments, action.expected_version + 1)

    def apply(self, action: WriteBucket):
        """Applies a write to the store if the version matches; returns whether it did."""
        version, _ = self.objects.get(action.bucket, (0, b""))
        if version != action.expected_version:
            return False
        self.objects[action.bucket] = (version + 1, action.value)
        return True

    def apply_late_writes(self):
        for action in self.late_writes:
            self.apply(action)
        self.late_writes = []

    def run_until_idle(self):
        """Completes all store calls and messages, in order of the instance names."""
        while any(self.calls.values()) or self.messages:
            for name in self.calls:
                while self.calls[name] and name in self.claimers:
                    self.complete_call(name)
                if name not in self.claimers:
                    self.calls[name] = []
            self.deliver_messages()
            self.advance(self.parameters.claim_batch_ms)

    def deliver_messages(self):
        messages, self.messages = self.messages, []
        for sender, action in messages:
            target = action.target.instance
            if self.members.get(target) == action.target:
                self.receive_request(target, action.message.request, self.members[sender])

    def deliver_answers(self):
        """Delivers the answers that are addressed to claimers."""
        for action in list(self.answers):
            name = action.origin.instance
            if self.members.get(name) == action.origin:
                self.answers.remove(action)
                self.handle(name, PeerAnswered(action.identity, action.answer))

    def answer(self, index=-1, status=OK, body=b"done"):
        """Answers a send with one part, as the upstream."""
        name, action = self.sends[index]
        self.handle(
            name, UpstreamAnswered(action.identity, action.attempt, make_answer(status, body))
        )

    def shed(self, index=-1):
        """Sheds a send, as the upstream."""
        name, action = self.sends[index]
        self.execution_counts[action.identity] -= 1
        self.duplicate_shed(index)

    def duplicate_shed(self, index):
        """Delivers a duplicate of a shed answer."""
        name, action = self.sends[index]
        self.handle(name, UpstreamShed(action.identity, action.attempt))

    def refuse_send(self, index=-1):
        name, action = self.sends[index]
        self.execution_counts[action.identity] -= 1
        self.handle(name, AttemptNotSent(action.identity, action.attempt, "too late"))

    @property
    def statuses(self):
        return [action.answer.status for action in self.answers]

    def check_at_most_once(self):
        """Checks that no request was executed twice, and none answered NOT_RUN was executed."""
        assert all(count <= 1 for count in self.execution_counts.values()), self.execution_counts
        for action in self.answers:
            if action.answer.status is NOT_RUN:
                assert self.execution_counts[action.identity] == 0, action


def make_answer(status, body=b""):
    return CompleteAnswer(status, (body,))
