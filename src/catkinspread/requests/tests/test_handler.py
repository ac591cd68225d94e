"""Tests of the request handler, the retries and the store driver."""

import random

import anyio
import msgspec
import pytest

from catkinspread.model import OwnerMember
from catkinspread.objectstore import MemoryObjectStore
from catkinspread.requests import (
    BUCKET_MS,
    AnswerCaller,
    BucketConflicted,
    BucketId,
    BucketRead,
    BucketReadFailed,
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
from catkinspread.requests.tests.harness import OK, START_MS, UNKNOWN, make_answer, make_request
from catkinspread.requests.timers import TimerQueue
from catkinspread.wire import Answer, AnswerStatus

EDGE = OwnerMember("edge", 1)
OTHER = OwnerMember("other", 1)
THIRD = OwnerMember("third", 1)


def make_handler(*live):
    handler = RequestHandler(EDGE, random.Random(1))
    handler.set_live_instances(frozenset(live), START_MS)
    for _ in range(1_000):
        handler.budget.record_request("desk", START_MS)
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


def make_request_claimed_by(claimer, *live):
    """Returns an order whose claimer is a given instance."""
    for number in range(100):
        handler = make_handler(*live)
        request = make_request(number)
        sent = select_actions(handler.handle_request("desk", request, START_MS), SendToPeer)
        if [action.target for action in sent] == [claimer]:
            return request
    raise AssertionError("no request found")


def test_shed_idempotent_request_is_retried_and_answered_under_its_own_id():
    """Guards against a lost page after a shed, and an answer with the id of the attempt."""
    handler = make_handler()
    (first,) = handler.handle_request("desk", make_idempotent_request(), START_MS)
    shed = Answer(7, "caller", first.request.request_id, AnswerStatus.SHED)
    handler.handle_upstream_answer(shed, START_MS)
    (second,) = select_actions(run_until(handler, START_MS + 500), SendToUpstream)
    assert second.attempt == 2
    assert handler.handle_upstream_answer(shed, START_MS + 500) == []
    answer = Answer(7, "caller", second.request.request_id, OK, body=b"page")
    (given,) = handler.handle_upstream_answer(answer, START_MS + 500)
    assert given.answers[0].request_id == "1"


def test_idempotent_request_is_never_answered_not_run():
    """Guards against NOT_RUN without a claim: a copy may have run at another instance."""
    handler = make_handler()
    handler.handle_request("desk", make_idempotent_request(), START_MS)
    given = select_actions(run_until(handler, START_MS + 3_000), AnswerCaller)
    given += handler.handle_request("desk", make_idempotent_request(), START_MS, "queue full")
    assert [action.answers[0].status for action in given] == [UNKNOWN, UNKNOWN]


def test_only_a_caller_with_a_pending_request_gets_a_forwarded_answer():
    """Guards against answers that are late, repeated or of another flow."""
    handler = make_handler(OTHER)
    request = make_request_claimed_by(OTHER, OTHER)
    handler.handle_request("desk", request, START_MS)
    identity = identify_request(request)
    crossed = ForwardedAnswer(identity=identity, flow=8, answer=make_answer(OK))
    own = ForwardedAnswer(identity=identity, flow=7, answer=make_answer(OK))
    assert handler.handle_peer_message(crossed, START_MS) == []
    assert len(handler.handle_peer_message(own, START_MS)) == 1
    assert handler.handle_peer_message(own, START_MS) == []
    assert handler.late_answer_count == 2


def test_lost_forward_is_repeated_and_given_up_in_the_end():
    """Guards against a caller without any answer when the claimer never sends one."""
    handler = make_handler(OTHER)
    request = make_request_claimed_by(OTHER, OTHER)
    handler.handle_request("desk", request, START_MS)
    actions = []
    for now_ms in range(START_MS, START_MS + 10_000, 25):
        accepted = ForwardAccepted(identity=identify_request(request), flow=7)
        handler.handle_peer_message(accepted, now_ms)
        actions += handler.tick(now_ms)
    assert len(select_actions(actions, SendToPeer)) > 5
    (given,) = select_actions(actions, AnswerCaller)
    assert given.answers[0].status is UNKNOWN


def test_request_moves_to_the_next_claimer_when_its_claimer_dies():
    """Guards against a request that waits for a dead claimer until its deadline."""
    handler = make_handler(OTHER, THIRD)
    handler.handle_request("desk", make_request_claimed_by(OTHER, OTHER, THIRD), START_MS)
    actions = handler.set_live_instances(frozenset([THIRD]), START_MS)
    moved = [action.target == THIRD for action in select_actions(actions, SendToPeer)]
    assert moved == [True] or select_actions(actions, ReadBucket)


def test_request_answered_by_a_change_of_the_view_is_not_handed_over():
    """Guards against a timer without a request when writer and claimer change together."""
    for number in range(100):
        handler = make_handler(OTHER)
        (read, *_) = handler.handle_request("desk", make_request(number), START_MS)
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
def test_request_is_claimed_here_when_its_claimer_does_not_confirm_it(is_confirmed):
    """Guards against orders that wait for a paused claimer until their deadline."""
    handler = make_handler(OTHER)
    request = make_request_claimed_by(OTHER, OTHER)
    handler.handle_request("desk", request, START_MS)
    actions = []
    for now_ms in range(START_MS, START_MS + 1_500, 25):
        if is_confirmed:
            accepted = ForwardAccepted(identity=identify_request(request), flow=7)
            handler.handle_peer_message(accepted, now_ms)
        actions += handler.tick(now_ms)
    assert bool(select_actions(actions, ReadBucket)) is not is_confirmed


def test_forwarded_request_is_never_forwarded_on_to_another_claimer():
    """Guards against a request that circles between instances with different views."""
    handler = make_handler(OTHER)
    request = make_request_claimed_by(OTHER, OTHER)
    message = ForwardedRequest(origin=THIRD, service="desk", request=request)
    read, confirmation = handler.handle_peer_message(message, START_MS)
    assert isinstance(read, ReadBucket)
    assert confirmation.target == THIRD
    assert isinstance(confirmation.message, ForwardAccepted)


def test_request_id_that_looks_like_a_later_attempt_is_refused():
    """Guards against a caller whose request gets the answer of a retry of another one."""
    handler = make_handler()
    (given,) = handler.handle_request(
        "desk", make_idempotent_request(request_id="1\x1f2"), START_MS
    )
    assert given.answers[0].status is UNKNOWN


def test_retry_budget_is_a_tenth_of_the_requests_of_ten_seconds():
    """Guards against retries that multiply the load on a failing service."""
    budget = RetryBudget()
    for now_ms in range(0, 10_000, 10):
        budget.record_request("desk", now_ms)
    assert sum(budget.try_spend("desk", 9_999) for _ in range(200)) == 100
    assert not budget.try_spend("vault", 9_999)
    assert not budget.try_spend("desk", 30_000)


def test_retry_pause_is_bounded_and_ends_before_the_deadline():
    """Guards against retries in step with each other, or after the deadline."""
    parameters = RequestParameters(attempts_max=99)
    budget = RetryBudget()
    for _ in range(10_000):
        budget.record_request("desk", 0)
    policy = RetryPolicy(parameters, budget, random.Random(1))
    times = [policy.plan_retry("desk", attempt, 10_000, 0) for attempt in range(1, 99)]
    assert max(times) <= parameters.backoff_max_ms
    assert len(set(times)) > 50
    assert policy.plan_retry("desk", 99, 10_000, 0) is None
    assert policy.plan_retry("desk", 1, 1, 0) is None


def test_sweeper_deletes_only_buckets_beyond_the_claim_window():
    """Guards against a claim that is deleted while a copy of its request may still run."""
    sweeper = BucketSweeper(RequestParameters())
    actions = [sweeper.sweep(frozenset([3]), START_MS) for _ in range(1_000)]
    periods = [action.bucket.period for batch in actions for action in batch]
    assert len(periods) == 3_600_000 // BUCKET_MS + 1
    assert max(periods) * BUCKET_MS + BUCKET_MS <= START_MS - 3_600_000 - 120_000


def test_removed_timers_do_not_fill_the_memory():
    """Guards against answered requests with long timeouts that stay in the timer heap."""
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
def test_driver_reports_how_a_write_ended(faults, expected):
    """Guards against an unknown outcome that is reported as success or failure."""
    store = MemoryObjectStore()
    for name, value in faults.items():
        setattr(store.faults, name, value)
    driver = ClaimStoreDriver(store)
    assert anyio.run(driver.execute, WriteBucket(BUCKET, 5, b"x", 0)) == expected


def test_driver_reports_conflicts_and_reads():
    """Guards against a driver that overwrites a bucket or invents its content."""

    async def scenario():
        store = MemoryObjectStore()
        driver = ClaimStoreDriver(store)
        assert await driver.execute(ReadBucket(BUCKET, 1)) == BucketRead(BUCKET, 1, 0, b"")
        await driver.execute(WriteBucket(BUCKET, 2, b"x", 0))
        for version in (0, 7):
            event = await driver.execute(WriteBucket(BUCKET, 3, b"y", version))
            assert event == BucketConflicted(BUCKET, 3)
        assert await driver.execute(ReadBucket(BUCKET, 4)) == BucketRead(BUCKET, 4, 1, b"x")
        store.faults.is_down = True
        assert await driver.execute(ReadBucket(BUCKET, 5)) == BucketReadFailed(BUCKET, 5)
        assert await driver.execute(DeleteBucket(BUCKET)) is None
        store.faults.is_down = False
        await driver.execute(DeleteBucket(BUCKET))
        event = await driver.execute(WriteBucket(BUCKET, 6, b"z", 1))
        assert event == BucketConflicted(BUCKET, 6)

    anyio.run(scenario)
