"""Property tests: claimers process random event sequences and are checked against an oracle."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from catkinspread.requests import RecordKind, compute_bucket_id, decode_bucket, identify_request
from catkinspread.requests.tests.harness import NOT_RUN, OK, ClaimerHarness, make_request

# Repeated values are drawn more often.
_OUTCOMES = ("done", "done", "done", "answer-lost", "lost", "late", "down")
_NAMES = st.sampled_from("ab")
_STEPS = st.one_of(
    st.tuples(st.just("arrive"), _NAMES, st.integers(1, 2), st.integers(7, 8)),
    st.tuples(st.just("complete"), _NAMES, st.sampled_from(_OUTCOMES)),
    st.tuples(st.just("complete"), _NAMES, st.sampled_from(_OUTCOMES)),
    st.tuples(st.just("answer"), st.integers(0, 3)),
    st.tuples(st.just("shed"), st.integers(0, 3)),
    st.tuples(st.just("refuse-send"), st.integers(0, 3)),
    st.tuples(st.just("advance"), st.sampled_from((50, 50, 600, 2_100))),
    st.tuples(st.just("restart"), _NAMES),
    st.tuples(st.sampled_from(("late-writes", "messages", "answers"))),
)


class Oracle:
    """Tracks the first record of each request and the outcome of each send."""

    def __init__(self):
        self.first_record = {}
        self.outcome = {}
        self.asked = Counter()

    def observe(self, harness, requests):
        for request in requests:
            identity = identify_request(request)
            stored = harness.objects.get(compute_bucket_id(identity))
            record = decode_bucket(stored[1]).get(identity.claim_hash) if stored else None
            if record is not None:
                assert self.first_record.setdefault(identity, record) == record
        for index, (_, action) in enumerate(harness.sends):
            if index not in self.outcome:
                record = self.first_record[action.identity]
                assert record.kind is RecordKind.CLAIMED
                assert record.writer.startswith(harness.sends[index][0])
                assert harness.now_ms < action.not_after_ms
                self.outcome[index] = "sent"

    def check(self, harness):
        for identity in {action.identity for _, action in harness.sends}:
            send_outcomes = [
                self.outcome[index]
                for index, (_, action) in enumerate(harness.sends)
                if action.identity == identity
            ]
            assert all(outcome == "not-run" for outcome in send_outcomes[:-1]), send_outcomes
        for item in harness.answers:
            send_outcomes = [
                self.outcome[index]
                for index, (_, action) in enumerate(harness.sends)
                if action.identity == item.identity
            ]
            if item.answer.status is NOT_RUN:
                assert all(outcome == "not-run" for outcome in send_outcomes), send_outcomes
            if item.answer.status is OK:
                assert "answered" in send_outcomes


def apply_step(harness, oracle, step):
    match step:
        case ("arrive", name, number, flow):
            harness.receive_request(name, make_request(number, flow))
        case ("complete", name, outcome) if harness.calls[name]:
            harness.complete_call(name, outcome)
        case ("answer", index) if oracle.outcome.get(index) in ("sent", "answered"):
            oracle.outcome[index] = "answered"
            harness.answer(index)
        case ("shed", index) if oracle.outcome.get(index) == "sent":
            oracle.outcome[index] = "not-run"
            harness.shed(index)
        case ("shed", index) if oracle.outcome.get(index) == "not-run":
            harness.duplicate_shed(index)
        case ("refuse-send", index) if oracle.outcome.get(index) == "sent":
            # Only the process that did not send an attempt reports this, so after a restart of the
            # instance no report arrives. Sends do not record their incarnation; those of later
            # incarnations are therefore skipped too.
            if harness.members[harness.sends[index][0]].incarnation == 1:
                oracle.outcome[index] = "not-run"
                harness.refuse_send(index)
        case ("advance", duration_ms):
            harness.advance(duration_ms)
        case ("restart", name):
            harness.restart(name)
        case ("late-writes",):
            harness.apply_late_writes()
        case ("messages",):
            harness.deliver_messages()
        case ("answers",):
            harness.deliver_answers()


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.lists(_STEPS, max_size=40))
def test_random_event_sequences_agree_with_the_oracle(steps):
    """Guards against duplicate executions, false NOT_RUN and requests that are never answered."""
    harness, oracle = ClaimerHarness(), Oracle()
    requests = [make_request(number) for number in (1, 2)]
    for step in steps:
        apply_step(harness, oracle, step)
        oracle.observe(harness, requests)
        oracle.check(harness)
    for _ in range(10):
        harness.advance(1_000)
        harness.apply_late_writes()
        harness.run_until_idle()
        oracle.observe(harness, requests)
        harness.deliver_answers()
    oracle.check(harness)
    assert [claimer.active_count for claimer in harness.claimers.values()] == [0, 0]
