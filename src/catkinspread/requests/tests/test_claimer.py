"""Tests of the claimer.

A non-idempotent request is executed at most once, and one that is answered NOT_RUN is never
executed.
"""

import msgspec
import pytest

from catkinspread.requests import (
    BucketRead,
    ReadBucket,
    RecordKind,
    RequestParameters,
    compute_bucket_id,
    decode_bucket,
    identify_request,
)
from catkinspread.requests.tests.harness import (
    NOT_RUN,
    OK,
    OUTCOME_UNKNOWN,
    START_MS,
    ClaimerHarness,
    make_request,
)


def _bucket(request):
    return compute_bucket_id(identify_request(request))


def only_record(harness):
    (_, value) = next(iter(harness.objects.values()))
    (record,) = decode_bucket(value).values()
    return record


def test_request_received_by_two_instances_is_executed_once():
    """Guards against duplicate execution by two instances that both act as the claimer."""
    harness = ClaimerHarness()
    harness.receive_request("a", make_request())
    harness.receive_request("b", make_request(flow=8))
    harness.complete_call("a")
    harness.complete_call("b")
    harness.complete_call("b")
    harness.complete_call("a")
    assert [name for name, _ in harness.sends] == ["b"]
    harness.run_until_idle()
    harness.answer()
    harness.deliver_answers()
    assert [(item.flow, item.answer.status) for item in harness.answers] == [(8, OK), (7, OK)]
    harness.check_at_most_once()


def test_conflict_keeps_the_claims_of_both_writers():
    """Guards against a conflicting write that erases the claim of another instance."""
    harness = ClaimerHarness()
    first = make_request(0)
    candidates = [make_request(number) for number in range(1, 200)]
    second = next(other for other in candidates if _bucket(other) == _bucket(first))
    harness.receive_request("a", first)
    harness.receive_request("b", second)
    for name in "abab":
        harness.complete_call(name)
    harness.run_until_idle()
    harness.receive_request("a", second)
    harness.receive_request("b", first)
    harness.run_until_idle()
    assert len(harness.sends) == 2
    harness.check_at_most_once()


@pytest.mark.parametrize("moment", ["before-send", "before-answer"])
def test_crash_of_the_claimer_leaves_the_outcome_unknown(moment):
    """Guards against duplicate execution and false NOT_RUN after the writer of a claim crashed."""
    harness = ClaimerHarness()
    harness.receive_request("a", make_request())
    harness.complete_call("a")
    if moment == "before-send":
        harness.execute(harness.calls["a"][0], "done")
    else:
        harness.complete_call("a")
    harness.crash("a")
    harness.receive_request("b", make_request())
    harness.run_until_idle()
    assert harness.statuses == [OUTCOME_UNKNOWN]
    harness.check_at_most_once()


def test_crash_of_the_writer_ends_a_request_that_was_forwarded_to_it():
    """Guards against a caller that waits for a crashed instance until the deadline."""
    harness = ClaimerHarness()
    harness.receive_request("a", make_request())
    harness.run_until_idle()
    harness.receive_request("b", make_request())
    harness.complete_call("b")
    assert harness.messages
    harness.crash("a")
    assert harness.statuses == [OUTCOME_UNKNOWN]


def test_restarted_claimer_does_not_take_over_its_earlier_claims():
    """Guards against duplicate execution by a new incarnation that reads its earlier claim."""
    harness = ClaimerHarness()
    harness.receive_request("a", make_request())
    harness.run_until_idle()
    harness.restart("a")
    harness.receive_request("a", make_request())
    harness.run_until_idle()
    assert len(harness.sends) == 1
    assert harness.statuses == [OUTCOME_UNKNOWN]


def test_request_is_answered_not_run_when_a_pause_outlasts_its_deadline():
    """Guards against execution after the deadline by a process that was paused."""
    harness = ClaimerHarness()
    harness.receive_request("a", make_request(timeout_ms=1_000))
    harness.complete_call("a")
    harness.now_ms += 1_000
    harness.complete_call("a")
    assert harness.sends == []
    assert harness.statuses == [NOT_RUN]
    harness.receive_request("b", make_request(timeout_ms=10_000))
    harness.run_until_idle()
    harness.check_at_most_once()
    assert harness.sends == []


def test_send_refused_by_the_executor_is_answered_not_run():
    """Guards against a missing answer when the process pauses between action and send."""
    harness = ClaimerHarness()
    harness.receive_request("a", make_request())
    harness.run_until_idle()
    harness.refuse_send()
    harness.receive_request("a", make_request(flow=8))
    assert harness.statuses == [NOT_RUN, NOT_RUN]
    assert len(harness.sends) == 1


@pytest.mark.parametrize("name", ["a", "b"])
def test_delayed_copy_after_not_run_is_never_executed(name):
    """Guards against executing a copy that the fabric delayed until after NOT_RUN was answered."""
    harness = ClaimerHarness()
    harness.receive_request("a", make_request(), refusal_reason="no upstream")
    harness.run_until_idle()
    assert harness.statuses == [NOT_RUN]
    assert only_record(harness).kind is RecordKind.REFUSED
    harness.receive_request(name, make_request(flow=8, timeout_ms=60_000))
    harness.run_until_idle()
    assert harness.statuses == [NOT_RUN, NOT_RUN]
    assert harness.sends == []


def test_late_write_makes_the_next_write_conflict_and_its_record_is_then_read():
    """Guards against treating a read that does not show the record yet as proof of its absence."""
    harness = ClaimerHarness()
    harness.receive_request("a", make_request())
    harness.complete_call("a")
    harness.complete_call("a", "late")
    harness.complete_call("a")
    assert (harness.sends, harness.answers) == ([], [])
    harness.advance(harness.parameters.claim_batch_ms)
    harness.apply_late_writes()
    harness.complete_call("a")
    assert (harness.sends, harness.answers) == ([], [])
    harness.complete_call("a")
    assert len(harness.sends) == 1
    harness.check_at_most_once()


def test_deadline_during_a_write_with_unknown_outcome_gives_one_correct_answer():
    """Guards against NOT_RUN while a claim write of this instance may still take effect."""
    harness = ClaimerHarness()
    harness.receive_request("a", make_request(timeout_ms=100))
    harness.complete_call("a")
    harness.complete_call("a", "late")
    harness.complete_call("a")
    harness.advance(200)
    assert harness.answers == []
    harness.complete_call("a")
    assert harness.statuses == [NOT_RUN]
    harness.apply_late_writes()
    assert only_record(harness).kind is RecordKind.REFUSED


@pytest.mark.parametrize("outcome", ["answer-lost", "lost", "down"])
def test_failed_claim_write_does_not_prevent_or_duplicate_execution(outcome):
    """Guards against a second claim, or none, after a claim write failed.

    Either the response or the write was lost, or the store was unavailable.
    """
    harness = ClaimerHarness()
    harness.receive_request("a", make_request())
    harness.complete_call("a")
    harness.complete_call("a", outcome)
    harness.receive_request("b", make_request())
    harness.advance(200)
    harness.run_until_idle()
    assert len(harness.sends) == 1
    harness.check_at_most_once()


def test_store_call_without_result_is_retried():
    """Guards against a shard that waits forever for the result of a lost store call."""
    harness = ClaimerHarness("a")
    harness.receive_request("a", make_request(timeout_ms=10_000))
    harness.complete_call("a")
    lost = harness.calls["a"].pop()
    harness.advance(harness.parameters.store_timeout_ms)
    late = harness.execute(lost, "done")
    harness.run_until_idle()
    assert len(harness.sends) == 1
    harness.handle("a", late)
    assert len(harness.sends) == 1


def test_request_is_not_answered_not_run_while_the_store_is_unavailable():
    """Guards against NOT_RUN when the instance cannot read that another one executed a copy."""
    harness = ClaimerHarness()
    harness.receive_request("b", make_request())
    harness.run_until_idle()
    harness.crash("b")
    harness.receive_request("a", make_request())
    for _ in range(100):
        harness.advance(50)
        while harness.calls["a"]:
            harness.complete_call("a", "down")
    assert harness.statuses == [OUTCOME_UNKNOWN]
    harness.receive_request("a", make_request())
    harness.advance(1_000)
    harness.run_until_idle()
    assert harness.statuses == [OUTCOME_UNKNOWN, OUTCOME_UNKNOWN]


def test_repeated_request_after_an_outage_is_answered_not_run():
    """Guards against an outcome that remains unknown after the object store has recovered."""
    harness = ClaimerHarness("a")
    harness.receive_request("a", make_request())
    for _ in range(100):
        harness.advance(50)
        while harness.calls["a"]:
            harness.complete_call("a", "down")
    harness.receive_request("a", make_request())
    harness.advance(1_000)
    harness.run_until_idle()
    assert harness.statuses == [OUTCOME_UNKNOWN, NOT_RUN]


def test_duplicates_of_a_shed_answer_cause_one_retry():
    """Guards against duplicate execution when a copy of SHED arrives after the retry was sent."""
    harness = ClaimerHarness("a")
    harness.receive_request("a", make_request())
    harness.run_until_idle()
    harness.shed(0)
    harness.duplicate_shed(0)
    harness.advance(500)
    assert len(harness.sends) == 2
    assert harness.sends[0][1].request.request_id != harness.sends[1][1].request.request_id
    harness.duplicate_shed(0)
    harness.advance(500)
    harness.answer(1)
    assert len(harness.sends) == 2
    assert harness.statuses == [OK]


@pytest.mark.parametrize(("is_shed", "expected"), [(True, NOT_RUN), (False, OK)])
def test_late_upstream_answer_is_returned_to_a_repeated_request(is_shed, expected):
    """Guards against an outcome that remains unknown although the upstream answered late."""
    harness = ClaimerHarness("a")
    harness.receive_request("a", make_request())
    harness.run_until_idle()
    harness.advance(4_000)
    if is_shed:
        harness.shed()
    else:
        harness.answer()
    harness.receive_request("a", make_request())
    assert harness.statuses == [OUTCOME_UNKNOWN, expected]
    harness.check_at_most_once()


def test_request_shed_in_every_attempt_is_answered_not_run():
    """Guards against unlimited retries to an upstream that sheds every request."""
    harness = ClaimerHarness("a")
    harness.receive_request("a", make_request(timeout_ms=60_000))
    harness.run_until_idle()
    for index in range(harness.parameters.attempts_max):
        harness.shed(index)
        harness.advance(1_000)
    assert len(harness.sends) == harness.parameters.attempts_max
    assert harness.statuses == [NOT_RUN]


def test_repeated_requests_get_the_same_answer_on_their_own_flow():
    """Guards against a repeated request that is executed again or answered on another flow."""
    harness = ClaimerHarness("a")
    for flow in (7, 7, 8):
        harness.receive_request("a", make_request(flow=flow))
    harness.run_until_idle()
    harness.answer(body=b"first")
    harness.receive_request("a", make_request(flow=9))
    assert [(item.flow, item.answer.parts) for item in harness.answers] == [
        (flow, (b"first",)) for flow in (7, 8, 9)
    ]
    assert len(harness.sends) == 1


def test_different_body_under_a_known_identity_does_not_get_its_answer():
    """Guards against returning the answer to a request with a different body."""
    harness = ClaimerHarness("a")
    harness.receive_request("a", make_request())
    harness.run_until_idle()
    harness.answer()
    harness.receive_request("a", make_request(body=b"other"))
    assert harness.statuses == [OK, OUTCOME_UNKNOWN]


def test_repeated_request_is_not_executed_after_its_answer_was_evicted():
    """Guards against duplicate execution after the answer was evicted from the cache."""
    harness = ClaimerHarness("a", RequestParameters(answered_max=1))
    for number in (1, 2):
        harness.receive_request("a", make_request(number))
        harness.run_until_idle()
        harness.answer()
    assert harness.claimers["a"].answered_count == 1
    harness.receive_request("a", make_request(1))
    harness.run_until_idle()
    assert harness.statuses == [OK, OK, OUTCOME_UNKNOWN]
    harness.check_at_most_once()


def test_stale_read_does_not_hide_an_earlier_claim_of_this_instance():
    """Guards against duplicate execution when answer and bucket are evicted and a read is stale."""
    harness = ClaimerHarness("a", RequestParameters(answered_max=0, buckets_max=0))
    first = make_request(0)
    earlier_ms = START_MS - 60_000
    candidates = [make_request(number, issued_at_ms=earlier_ms) for number in range(200)]
    second = next(item for item in candidates if _bucket(item).shard == _bucket(first).shard)
    for request in (first, second):
        harness.receive_request("a", request)
        harness.run_until_idle()
    harness.answer(0)
    harness.receive_request("a", first)
    read = harness.calls["a"].pop()
    assert isinstance(read, ReadBucket)
    harness.handle("a", BucketRead(read.bucket, read.operation, 0, b""))
    harness.advance(harness.parameters.claim_batch_ms)
    harness.run_until_idle()
    assert harness.statuses == [NOT_RUN, OK, OUTCOME_UNKNOWN]
    harness.check_at_most_once()


def test_full_queue_refuses_with_tombstones_up_to_refused_max():
    """Guards against unbounded tables and NOT_RUN without a tombstone under overload."""
    harness = ClaimerHarness("a", RequestParameters(active_max=2, refused_max=2))
    for number in range(6):
        harness.receive_request("a", make_request(number))
    assert harness.claimers["a"].active_count == 4
    assert harness.statuses == [OUTCOME_UNKNOWN, OUTCOME_UNKNOWN]
    harness.run_until_idle()
    assert harness.statuses == [OUTCOME_UNKNOWN, OUTCOME_UNKNOWN, NOT_RUN, NOT_RUN]
    assert len(harness.sends) == 2


@pytest.mark.parametrize(
    "age_ms", [-501, 3_600_000], ids=["issued-in-the-future", "older-than-the-window"]
)
def test_request_outside_the_claim_window_is_answered_outcome_unknown(age_ms):
    """Guards against execution when not all instances still have the claim bucket."""
    harness = ClaimerHarness("a")
    harness.receive_request(
        "a", make_request(issued_at_ms=START_MS - age_ms, timeout_ms=10_000_000)
    )
    assert harness.statuses == [OUTCOME_UNKNOWN]
    assert harness.calls["a"] == []


def test_record_read_after_the_claim_window_is_answered_outcome_unknown():
    """Guards against NOT_RUN from a tombstone in a bucket that was deleted and recreated."""
    harness = ClaimerHarness("a")
    harness.receive_request("a", make_request(timeout_ms=10_000_000))
    harness.complete_call("a")
    harness.now_ms += harness.parameters.claim_window_ms
    harness.complete_call("a")
    assert harness.statuses == [OUTCOME_UNKNOWN]
    assert harness.sends == []


def test_bucket_with_unsupported_format_is_not_overwritten():
    """Guards against losing claims that a later release wrote in another format."""
    harness = ClaimerHarness("a")
    request = make_request()
    harness.objects[_bucket(request)] = (1, msgspec.msgpack.encode([99, [], []]))
    harness.receive_request("a", request)
    for _ in range(100):
        harness.advance(50)
        while harness.calls["a"]:
            harness.complete_call("a")
    assert harness.statuses == [OUTCOME_UNKNOWN]
    assert harness.objects[_bucket(request)][0] == 1
