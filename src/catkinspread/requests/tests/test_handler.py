"""Tests of the request handler, the retries and the store driver."""

import random

import anyio
import msgspec
import pytest

from catkinspread.model import InstanceIncarnation
from catkinspread.objectstore import MemoryObjectStore
from catkinspread.requests import (
    BUCKET_MS,
    AnswerCaller,
    BucketId,
    BucketRead,
    BucketReadFailed,
    BucketWriteConflicted,
    BucketWriteFailed,
    BucketWriteOutcomeUnknown,
    BucketWritten,
    ClaimRecord,
    ClaimStoreDriver,
    DeleteBucket,
    ForwardAccepted,
    ForwardedAnswer,
    ForwardedRequest,
    ReadBucket,
    RecordKind,
    RequestHandler,
    RequestParameters,
    RetryBudget,
    RetryPolicy,
    SendToPeer,
    SendToUpstream,
    WriteBucket,
    encode_bucket,
    identify_request,
)
from catkinspread.requests.sweeper import BucketSweeper
from catkinspread.requests.tests.harness import (
    OK,
    OUTCOME_UNKNOWN,
    START_MS,
    make_answer,
    make_request,
)
from catkinspread.requests.timers import TimerQueue
from catkinspread.wire import Answer, AnswerStatus

EDGE = InstanceIncarnation("edge", 1)
OTHER = InstanceIncarnation("other", 1)
THIRD = InstanceIncarnation("third", 1)


def make_handler(*live_instances):
    handler = RequestHandler(EDGE, random.Random(1))
    handler.set_live_instances(frozenset(live_instances), START_MS)
    for _ in range(1_000):
        handler.budget.record_request("orders", START_MS)
    return handler


def make_idempotent_request(**changes):
    return msgspec.structs.replace(make_request(), idempotent=True, **changes)


def select_actions(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def run_until(handler, end_ms):
    actions = []
    for now_ms in range(START_MS, end_ms, 25):
        actions += handler.tick(now_ms)
    return actions


def make_request_with_claimer(claimer, *live_instances):
    """Returns a non-idempotent request whose claimer is the given instance."""
    for number in range(100):
        handler = make_handler(*live_instances)
        request = make_request(number)
        sent = select_actions(handler.handle_request("orders", request, START_MS), SendToPeer)
        if [action.target for action in sent] == [claimer]:
            return request
    raise AssertionError(f"none of 100 requests has the claimer {claimer}")


def test_shed_idempotent_request_is_retried_and_answered_under_its_own_id():
    """Guards against a missing answer after a shed, and one with the request id of the attempt."""
    handler = make_handler()
    (first,) = handler.handle_request("orders", make_idempotent_request(), START_MS)
    shed = Answer(7, "caller", first.request.request_id, AnswerStatus.SHED)
    handler.handle_upstream_answer(shed, START_MS)
    (second,) = select_actions(run_until(handler, START_MS + 500), SendToUpstream)
    assert second.attempt == 2
    assert handler.handle_upstream_answer(shed, START_MS + 500) == []
    answer = Answer(7, "caller", second.request.request_id, OK, body=b"page")
    (given,) = handler.handle_upstream_answer(answer, START_MS + 500)
    assert given.answers[0].request_id == "1"


def test_idempotent_request_is_never_answered_not_run():
    """Guards against NOT_RUN without a claim: another instance may have executed a copy."""
    handler = make_handler()
    handler.handle_request("orders", make_idempotent_request(), START_MS)
    given = select_actions(run_until(handler, START_MS + 3_000), AnswerCaller)
    given += handler.handle_request("orders", make_idempotent_request(), START_MS, "queue full")
    assert [action.answers[0].status for action in given] == [OUTCOME_UNKNOWN, OUTCOME_UNKNOWN]


def test_forwarded_answer_is_returned_only_for_a_pending_request():
    """Guards against answers that are late, duplicated or for another flow."""
    handler = make_handler(OTHER)
    request = make_request_with_claimer(OTHER, OTHER)
    handler.handle_request("orders", request, START_MS)
    identity = identify_request(request)
    misrouted = ForwardedAnswer(identity=identity, flow=8, answer=make_answer(OK))
    expected = ForwardedAnswer(identity=identity, flow=7, answer=make_answer(OK))
    assert handler.handle_peer_message(misrouted, START_MS) == []
    assert len(handler.handle_peer_message(expected, START_MS)) == 1
    assert handler.handle_peer_message(expected, START_MS) == []
    assert handler.late_answer_count == 2


def test_unanswered_forward_is_retransmitted_until_it_expires():
    """Guards against a caller that gets no answer at all when the claimer never sends one."""
    handler = make_handler(OTHER)
    request = make_request_with_claimer(OTHER, OTHER)
    handler.handle_request("orders", request, START_MS)
    actions = []
    for now_ms in range(START_MS, START_MS + 10_000, 25):
        accepted = ForwardAccepted(identity=identify_request(request), flow=7)
        handler.handle_peer_message(accepted, now_ms)
        actions += handler.tick(now_ms)
    assert len(select_actions(actions, SendToPeer)) > 5
    (given,) = select_actions(actions, AnswerCaller)
    assert given.answers[0].status is OUTCOME_UNKNOWN


def test_request_is_sent_to_the_new_claimer_when_its_claimer_crashes():
    """Guards against a request that waits for a crashed claimer until its deadline."""
    handler = make_handler(OTHER, THIRD)
    handler.handle_request("orders", make_request_with_claimer(OTHER, OTHER, THIRD), START_MS)
    actions = handler.set_live_instances(frozenset([THIRD]), START_MS)
    moved = [action.target == THIRD for action in select_actions(actions, SendToPeer)]
    assert moved == [True] or select_actions(actions, ReadBucket)


def test_request_answered_by_a_membership_change_is_not_forwarded():
    """Guards against a KeyError when the timer of an answered request is due.

    Writer and claimer change at the same time: the change of the writer answers the request, and
    the change of the claimer would schedule its retransmission.
    """
    for number in range(100):
        handler = make_handler(OTHER)
        (read, *_) = handler.handle_request("orders", make_request(number), START_MS)
        if not isinstance(read, ReadBucket):
            continue
        claim_hash = identify_request(make_request(number)).claim_hash
        value = encode_bucket({claim_hash: ClaimRecord("other#1", RecordKind.CLAIMED, 1)})
        event = BucketRead(read.bucket, read.operation, 1, value)
        handler.handle_store_event(event, START_MS)
        actions = handler.set_live_instances(frozenset([THIRD]), START_MS)
        assert len(select_actions(actions, AnswerCaller)) == 1
        assert select_actions(actions, SendToPeer) == []
        assert select_actions(run_until(handler, START_MS + 5_000), AnswerCaller) == []


@pytest.mark.parametrize("is_confirmed", [False, True])
def test_request_is_claimed_locally_when_its_claimer_does_not_confirm_it(is_confirmed):
    """Guards against requests that wait for a paused claimer until their deadline."""
    handler = make_handler(OTHER)
    request = make_request_with_claimer(OTHER, OTHER)
    handler.handle_request("orders", request, START_MS)
    actions = []
    for now_ms in range(START_MS, START_MS + 1_500, 25):
        if is_confirmed:
            accepted = ForwardAccepted(identity=identify_request(request), flow=7)
            handler.handle_peer_message(accepted, now_ms)
        actions += handler.tick(now_ms)
    assert bool(select_actions(actions, ReadBucket)) is not is_confirmed


def test_forwarded_request_is_never_forwarded_again():
    """Guards against forwarding loops between instances with different membership views."""
    handler = make_handler(OTHER)
    request = make_request_with_claimer(OTHER, OTHER)
    message = ForwardedRequest(origin=THIRD, service="orders", request=request)
    read, confirmation = handler.handle_peer_message(message, START_MS)
    assert isinstance(read, ReadBucket)
    assert confirmation.target == THIRD
    assert isinstance(confirmation.message, ForwardAccepted)


def test_request_id_with_the_attempt_separator_is_refused():
    """Guards against returning the answer to a retry of one request as that of another request."""
    handler = make_handler()
    (given,) = handler.handle_request(
        "orders", make_idempotent_request(request_id="1\x1f2"), START_MS
    )
    assert given.answers[0].status is OUTCOME_UNKNOWN


def test_retry_budget_is_a_tenth_of_the_requests_of_the_last_ten_seconds():
    """Guards against retries that multiply the load on a failing service."""
    budget = RetryBudget()
    for now_ms in range(0, 10_000, 10):
        budget.record_request("orders", now_ms)
    assert sum(budget.try_acquire("orders", 9_999) for _ in range(200)) == 100
    assert not budget.try_acquire("images", 9_999)
    assert not budget.try_acquire("orders", 30_000)


def test_retry_delay_is_bounded_and_ends_before_the_deadline():
    """Guards against synchronised retries and retries after the deadline."""
    parameters = RequestParameters(attempts_max=99)
    budget = RetryBudget()
    for _ in range(10_000):
        budget.record_request("orders", 0)
    policy = RetryPolicy(parameters, budget, random.Random(1))
    times = [policy.plan_retry("orders", attempt, 10_000, 0) for attempt in range(1, 99)]
    assert max(times) <= parameters.backoff_max_ms
    assert len(set(times)) > 50
    assert policy.plan_retry("orders", 99, 10_000, 0) is None
    assert policy.plan_retry("orders", 1, 1, 0) is None


def test_sweeper_deletes_only_buckets_beyond_the_claim_window():
    """Guards against deleting a claim while a copy of its request may still be executed."""
    sweeper = BucketSweeper(RequestParameters())
    actions = [sweeper.sweep(frozenset([3]), START_MS) for _ in range(1_000)]
    periods = [action.bucket.period for batch in actions for action in batch]
    assert len(periods) == 3_600_000 // BUCKET_MS + 1
    assert max(periods) * BUCKET_MS + BUCKET_MS <= START_MS - 3_600_000 - 120_000


def test_removed_timers_do_not_accumulate_in_memory():
    """Guards against stale heap entries of answered requests with long timeouts."""
    timers = TimerQueue()
    for key in range(10_000):
        timers.set(key, 3_600_000)
        timers.remove(key)
    assert timers.heap_size < 200
    timers.set("late", 20)
    timers.set("early", 30)
    timers.set("early", 10)
    assert timers.pop_due(20) == ["early", "late"]


BUCKET = BucketId(1, 2)


@pytest.mark.parametrize(
    ("faults", "expected"),
    [
        ({}, BucketWritten(BUCKET, 5, 1)),
        ({"lost_answers": 1}, BucketWriteOutcomeUnknown(BUCKET, 5)),
        ({"lost_writes": 1}, BucketWriteOutcomeUnknown(BUCKET, 5)),
        ({"is_down": True}, BucketWriteFailed(BUCKET, 5)),
    ],
)
def test_driver_reports_the_outcome_of_a_write(faults, expected):
    """Guards against reporting an unknown outcome as success or failure."""
    store = MemoryObjectStore()
    for name, value in faults.items():
        setattr(store.faults, name, value)
    driver = ClaimStoreDriver(store)
    assert anyio.run(driver.execute, WriteBucket(BUCKET, 5, b"x", 0)) == expected


def test_driver_reports_conflicts_and_reads():
    """Guards against overwriting a bucket and against wrong results of reads."""

    async def scenario():
        store = MemoryObjectStore()
        driver = ClaimStoreDriver(store)
        assert await driver.execute(ReadBucket(BUCKET, 1)) == BucketRead(BUCKET, 1, 0, b"")
        await driver.execute(WriteBucket(BUCKET, 2, b"x", 0))
        for version in (0, 7):
            event = await driver.execute(WriteBucket(BUCKET, 3, b"y", version))
            assert event == BucketWriteConflicted(BUCKET, 3)
        assert await driver.execute(ReadBucket(BUCKET, 4)) == BucketRead(BUCKET, 4, 1, b"x")
        store.faults.is_down = True
        assert await driver.execute(ReadBucket(BUCKET, 5)) == BucketReadFailed(BUCKET, 5)
        assert await driver.execute(DeleteBucket(BUCKET)) is None
        store.faults.is_down = False
        await driver.execute(DeleteBucket(BUCKET))
        event = await driver.execute(WriteBucket(BUCKET, 6, b"z", 1))
        assert event == BucketWriteConflicted(BUCKET, 6)

    anyio.run(scenario)
