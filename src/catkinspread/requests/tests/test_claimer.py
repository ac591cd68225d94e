"""Tests of the claimer: who runs a request, and which refusals are true (G6, G7)."""

import msgspec
import pytest

from catkinspread.requests import (
    BucketRead,
    ReadBucket,
    RecordKind,
    RequestParameters,
    decode_bucket,
    find_bucket,
    identify_request,
)
from catkinspread.requests.tests.rig import NOT_RUN, OK, START_MS, UNKNOWN, Rig, make_request


def _bucket(request):
    return find_bucket(identify_request(request))


def only_record(rig):
    (_, value) = next(iter(rig.objects.values()))
    (record,) = decode_bucket(value).values()
    return record


def test_request_handed_to_two_instances_at_once_runs_once():
    """Guards against two runs by instances that both believe they are the claimer."""
    rig = Rig()
    rig.arrive("a", make_request())
    rig.arrive("b", make_request(flow=8))
    rig.complete("a")
    rig.complete("b")
    rig.complete("b")
    rig.complete("a")
    assert [name for name, _ in rig.sends] == ["b"]
    rig.settle()
    rig.answer()
    rig.pass_answers()
    assert [(item.flow, item.answer.status) for item in rig.answers] == [(8, OK), (7, OK)]
    rig.check_truth()


def test_conflict_keeps_the_claims_of_both_writers():
    """Guards against a conflicting write that erases the claim of another instance."""
    rig = Rig()
    first = make_request(0)
    candidates = [make_request(number) for number in range(1, 200)]
    second = next(other for other in candidates if _bucket(other) == _bucket(first))
    rig.arrive("a", first)
    rig.arrive("b", second)
    for name in "abab":
        rig.complete(name)
    rig.settle()
    rig.arrive("a", second)
    rig.arrive("b", first)
    rig.settle()
    assert len(rig.sends) == 2
    rig.check_truth()


@pytest.mark.parametrize("moment", ["before-send", "before-answer"])
def test_death_of_the_claimer_leaves_the_outcome_unknown(moment):
    """Guards against a second run, and a false NOT_RUN, after the writer of a claim died."""
    rig = Rig()
    rig.arrive("a", make_request())
    rig.complete("a")
    if moment == "before-send":
        rig.execute(rig.calls["a"][0], "done")
    else:
        rig.complete("a")
    rig.kill("a")
    rig.arrive("b", make_request())
    rig.settle()
    assert rig.statuses == [UNKNOWN]
    rig.check_truth()


def test_death_of_the_writer_ends_a_request_that_was_forwarded_to_it():
    """Guards against a caller that waits for a dead instance until the deadline."""
    rig = Rig()
    rig.arrive("a", make_request())
    rig.settle()
    rig.arrive("b", make_request())
    rig.complete("b")
    assert rig.messages
    rig.kill("a")
    assert rig.statuses == [UNKNOWN]


def test_restarted_claimer_does_not_take_over_its_earlier_claims():
    """Guards against a second run by a new incarnation that reads a claim of its old name."""
    rig = Rig()
    rig.arrive("a", make_request())
    rig.settle()
    rig.restart("a")
    rig.arrive("a", make_request())
    rig.settle()
    assert len(rig.sends) == 1
    assert rig.statuses == [UNKNOWN]


def test_pause_between_claim_and_send_refuses_after_the_deadline():
    """Guards against a run after the deadline by a process that was paused."""
    rig = Rig()
    rig.arrive("a", make_request(timeout_ms=1_000))
    rig.complete("a")
    rig.now_ms += 1_000
    rig.complete("a")
    assert rig.sends == []
    assert rig.statuses == [NOT_RUN]
    rig.arrive("b", make_request(timeout_ms=10_000))
    rig.settle()
    rig.check_truth()
    assert rig.sends == []


def test_send_that_the_executor_refuses_is_not_run():
    """Guards against a caller without an answer when the pause comes after the decision."""
    rig = Rig()
    rig.arrive("a", make_request())
    rig.settle()
    rig.refuse_send()
    rig.arrive("a", make_request(flow=8))
    assert rig.statuses == [NOT_RUN, NOT_RUN]
    assert len(rig.sends) == 1


@pytest.mark.parametrize("name", ["a", "b"])
def test_delayed_copy_after_not_run_never_runs(name):
    """Guards against a refusal that a packet delayed by the fabric makes false."""
    rig = Rig()
    rig.arrive("a", make_request(), refusal_reason="no upstream")
    rig.settle()
    assert rig.statuses == [NOT_RUN]
    assert only_record(rig).kind is RecordKind.REFUSED
    rig.arrive(name, make_request(flow=8, timeout_ms=60_000))
    rig.settle()
    assert rig.statuses == [NOT_RUN, NOT_RUN]
    assert rig.sends == []


def test_write_that_takes_effect_after_the_read_back_is_settled_by_another_write():
    """Guards against concluding from a read-back that shows nothing yet."""
    rig = Rig()
    rig.arrive("a", make_request())
    rig.complete("a")
    rig.complete("a", "late")
    rig.complete("a")
    assert (rig.sends, rig.answers) == ([], [])
    rig.advance(rig.parameters.claim_batch_ms)
    rig.apply_late_writes()
    rig.complete("a")
    assert (rig.sends, rig.answers) == ([], [])
    rig.complete("a")
    assert len(rig.sends) == 1
    rig.check_truth()


def test_deadline_during_an_unknown_write_gives_one_true_answer():
    """Guards against NOT_RUN while a claim write of this instance may still take effect."""
    rig = Rig()
    rig.arrive("a", make_request(timeout_ms=100))
    rig.complete("a")
    rig.complete("a", "late")
    rig.complete("a")
    rig.advance(200)
    assert rig.answers == []
    rig.complete("a")
    assert rig.statuses == [NOT_RUN]
    rig.apply_late_writes()
    assert only_record(rig).kind is RecordKind.REFUSED


@pytest.mark.parametrize("outcome", ["answer-lost", "lost", "down"])
def test_lost_answer_of_the_store_does_not_change_who_runs(outcome):
    """Guards against a second claim, or none, after the answer to a claim write was lost."""
    rig = Rig()
    rig.arrive("a", make_request())
    rig.complete("a")
    rig.complete("a", outcome)
    rig.arrive("b", make_request())
    rig.advance(200)
    rig.settle()
    assert len(rig.sends) == 1
    rig.check_truth()


def test_store_call_without_any_result_is_repeated():
    """Guards against a shard that waits for a lost store call for ever."""
    rig = Rig("a")
    rig.arrive("a", make_request(timeout_ms=10_000))
    rig.complete("a")
    lost = rig.calls["a"].pop()
    rig.advance(rig.parameters.store_timeout_ms)
    late = rig.execute(lost, "done")
    rig.settle()
    assert len(rig.sends) == 1
    rig.handle("a", late)
    assert len(rig.sends) == 1


def test_platform_outage_is_never_answered_not_run():
    """Guards against NOT_RUN by an instance that cannot see that another one ran a copy."""
    rig = Rig()
    rig.arrive("b", make_request())
    rig.settle()
    rig.kill("b")
    rig.arrive("a", make_request())
    for _ in range(100):
        rig.advance(50)
        while rig.calls["a"]:
            rig.complete("a", "down")
    assert rig.statuses == [UNKNOWN]
    rig.arrive("a", make_request())
    rig.advance(1_000)
    rig.settle()
    assert rig.statuses == [UNKNOWN, UNKNOWN]


def test_repeat_after_an_outage_learns_that_nothing_ran():
    """Guards against an outcome that stays unknown although the platform is back."""
    rig = Rig("a")
    rig.arrive("a", make_request())
    for _ in range(100):
        rig.advance(50)
        while rig.calls["a"]:
            rig.complete("a", "down")
    rig.arrive("a", make_request())
    rig.advance(1_000)
    rig.settle()
    assert rig.statuses == [UNKNOWN, NOT_RUN]


def test_copies_of_a_shed_answer_lead_to_one_more_send():
    """Guards against a second run when a copy of SHED arrives after the retry was sent."""
    rig = Rig("a")
    rig.arrive("a", make_request())
    rig.settle()
    rig.shed(0)
    rig.repeat_shed(0)
    rig.advance(500)
    assert len(rig.sends) == 2
    assert rig.sends[0][1].request.request_id != rig.sends[1][1].request.request_id
    rig.repeat_shed(0)
    rig.advance(500)
    rig.answer(1)
    assert len(rig.sends) == 2
    assert rig.statuses == [OK]


@pytest.mark.parametrize(("is_shed", "expected"), [(True, NOT_RUN), (False, OK)])
def test_late_answer_of_the_upstream_is_given_to_a_repeat(is_shed, expected):
    """Guards against an unknown outcome that stays although the upstream told it late."""
    rig = Rig("a")
    rig.arrive("a", make_request())
    rig.settle()
    rig.advance(4_000)
    if is_shed:
        rig.shed()
    else:
        rig.answer()
    rig.arrive("a", make_request())
    assert rig.statuses == [UNKNOWN, expected]
    rig.check_truth()


def test_shed_beyond_the_attempts_is_not_run():
    """Guards against endless sends to an upstream that sheds everything."""
    rig = Rig("a")
    rig.arrive("a", make_request(timeout_ms=60_000))
    rig.settle()
    for index in range(rig.parameters.attempts_max):
        rig.shed(index)
        rig.advance(1_000)
    assert len(rig.sends) == rig.parameters.attempts_max
    assert rig.statuses == [NOT_RUN]


def test_repeats_get_the_same_answer_on_the_flow_that_asked():
    """Guards against a repeat that runs again, or is answered on another flow."""
    rig = Rig("a")
    for flow in (7, 7, 8):
        rig.arrive("a", make_request(flow=flow))
    rig.settle()
    rig.answer(body=b"first")
    rig.arrive("a", make_request(flow=9))
    assert [(item.flow, item.answer.parts) for item in rig.answers] == [
        (flow, (b"first",)) for flow in (7, 8, 9)
    ]
    assert len(rig.sends) == 1


def test_other_content_under_a_known_identity_gets_no_answer_of_it():
    """Guards against a caller that gets the answer to a request with another body."""
    rig = Rig("a")
    rig.arrive("a", make_request())
    rig.settle()
    rig.answer()
    rig.arrive("a", make_request(body=b"other"))
    assert rig.statuses == [OK, UNKNOWN]


def test_evicted_answer_does_not_let_a_repeat_run_again():
    """Guards against a second run after the answer left the bounded cache."""
    rig = Rig("a", RequestParameters(answered_max=1))
    for number in (1, 2):
        rig.arrive("a", make_request(number))
        rig.settle()
        rig.answer()
    assert rig.claimers["a"].answered_count == 1
    rig.arrive("a", make_request(1))
    rig.settle()
    assert rig.statuses == [OK, OK, UNKNOWN]
    rig.check_truth()


def test_stale_read_does_not_hide_an_earlier_claim_of_this_instance():
    """Guards against a second run when answer and bucket were evicted and a read is stale."""
    rig = Rig("a", RequestParameters(answered_max=0, buckets_max=0))
    first = make_request(0)
    earlier_ms = START_MS - 60_000
    candidates = [make_request(number, issued_at_ms=earlier_ms) for number in range(200)]
    second = next(item for item in candidates if _bucket(item).shard == _bucket(first).shard)
    for request in (first, second):
        rig.arrive("a", request)
        rig.settle()
    rig.answer(0)
    rig.arrive("a", first)
    read = rig.calls["a"].pop()
    assert isinstance(read, ReadBucket)
    rig.handle("a", BucketRead(read.bucket, read.operation, 0, b""))
    rig.advance(rig.parameters.claim_batch_ms)
    rig.settle()
    assert rig.statuses == [NOT_RUN, OK, UNKNOWN]
    rig.check_truth()


def test_full_queue_refuses_with_tombstones_and_then_admits_nothing():
    """Guards against unbounded tables, and refusals without proof, under overload."""
    rig = Rig("a", RequestParameters(active_max=2, refused_max=2))
    for number in range(6):
        rig.arrive("a", make_request(number))
    assert rig.claimers["a"].active_count == 4
    assert rig.statuses == [UNKNOWN, UNKNOWN]
    rig.settle()
    assert rig.statuses == [UNKNOWN, UNKNOWN, NOT_RUN, NOT_RUN]
    assert len(rig.sends) == 2


@pytest.mark.parametrize("age_ms", [-501, 3_600_000])
def test_request_outside_the_claim_window_is_not_decided(age_ms):
    """Guards against a run without a bucket that all instances still have."""
    rig = Rig("a")
    rig.arrive("a", make_request(issued_at_ms=START_MS - age_ms, timeout_ms=10_000_000))
    assert rig.statuses == [UNKNOWN]
    assert rig.calls["a"] == []


def test_record_seen_after_the_claim_window_proves_nothing():
    """Guards against NOT_RUN from a tombstone in a bucket that was deleted and created again."""
    rig = Rig("a")
    rig.arrive("a", make_request(timeout_ms=10_000_000))
    rig.complete("a")
    rig.now_ms += rig.parameters.claim_window_ms
    rig.complete("a")
    assert rig.statuses == [UNKNOWN]
    assert rig.sends == []


def test_unreadable_bucket_is_not_overwritten():
    """Guards against losing the claims of a later release with another format."""
    rig = Rig("a")
    request = make_request()
    rig.objects[_bucket(request)] = (1, msgspec.msgpack.encode([99, [], []]))
    rig.arrive("a", request)
    for _ in range(100):
        rig.advance(50)
        while rig.calls["a"]:
            rig.complete("a")
    assert rig.statuses == [UNKNOWN]
    assert rig.objects[_bucket(request)][0] == 1
