"""Drives claimers through sequences of events and compares them with a naive oracle."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from catkinspread.requests import RecordKind, decode_bucket, find_bucket, identify_request
from catkinspread.requests.tests.rig import NOT_RUN, OK, Rig, make_request

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
    """Knows everything: the first record of each request, and how each send ended."""

    def __init__(self):
        self.first_record = {}
        self.outcome = {}
        self.asked = Counter()

    def watch(self, rig, requests):
        for request in requests:
            identity = identify_request(request)
            stored = rig.objects.get(find_bucket(identity))
            record = decode_bucket(stored[1]).get(identity.claim_hash) if stored else None
            if record is not None:
                assert self.first_record.setdefault(identity, record) == record
        for index, (_, action) in enumerate(rig.sends):
            if index not in self.outcome:
                record = self.first_record[action.identity]
                assert record.kind is RecordKind.CLAIMED
                assert record.writer.startswith(rig.sends[index][0])
                assert rig.now_ms < action.not_after_ms
                self.outcome[index] = "sent"

    def check(self, rig):
        for identity in {action.identity for _, action in rig.sends}:
            ends = [
                self.outcome[index]
                for index, (_, action) in enumerate(rig.sends)
                if action.identity == identity
            ]
            assert all(end == "not-run" for end in ends[:-1]), ends
        for item in rig.answers:
            ends = [
                self.outcome[index]
                for index, (_, action) in enumerate(rig.sends)
                if action.identity == item.identity
            ]
            if item.answer.status is NOT_RUN:
                assert all(end == "not-run" for end in ends), ends
            if item.answer.status is OK:
                assert "answered" in ends


def apply_step(rig, oracle, step):
    match step:
        case ("arrive", name, number, flow):
            rig.arrive(name, make_request(number, flow))
        case ("complete", name, outcome) if rig.calls[name]:
            rig.complete(name, outcome)
        case ("answer", index) if oracle.outcome.get(index) in ("sent", "answered"):
            oracle.outcome[index] = "answered"
            rig.answer(index)
        case ("shed", index) if oracle.outcome.get(index) == "sent":
            oracle.outcome[index] = "not-run"
            rig.shed(index)
        case ("shed", index) if oracle.outcome.get(index) == "not-run":
            rig.repeat_shed(index)
        case ("refuse-send", index) if oracle.outcome.get(index) == "sent":
            if rig.members[rig.sends[index][0]].incarnation == 1:
                oracle.outcome[index] = "not-run"
                rig.refuse_send(index)
        case ("advance", duration_ms):
            rig.advance(duration_ms)
        case ("restart", name):
            rig.restart(name)
        case ("late-writes",):
            rig.apply_late_writes()
        case ("messages",):
            rig.pass_messages()
        case ("answers",):
            rig.pass_answers()


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.lists(_STEPS, max_size=40))
def test_no_sequence_of_events_breaks_the_oracle(steps):
    """Guards against second runs, false NOT_RUN and requests that are never answered."""
    rig, oracle = Rig(), Oracle()
    requests = [make_request(number) for number in (1, 2)]
    for step in steps:
        apply_step(rig, oracle, step)
        oracle.watch(rig, requests)
        oracle.check(rig)
    for _ in range(10):
        rig.advance(1_000)
        rig.apply_late_writes()
        rig.settle()
        oracle.watch(rig, requests)
        rig.pass_answers()
    oracle.check(rig)
    assert [claimer.active_count for claimer in rig.claimers.values()] == [0, 0]
