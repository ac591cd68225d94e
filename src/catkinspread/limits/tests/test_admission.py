"""Tests of the admission controller, the concurrency limiter and the cold start detector."""

import itertools

from catkinspread.limits import (
    AdmissionController,
    AdmissionSettings,
    BroadcastNotice,
    CancelRequest,
    ColdStartDetector,
    ColdStartEvidence,
    ColdStartNotice,
    ConcurrencyLimiter,
    ConcurrencySettings,
    ExpireRequest,
    KnownInstances,
    RampRates,
    RefusalReason,
    RefusalStatus,
    RefuseRequest,
    ReplyWithNotice,
    RequestOutcome,
    RequestQueued,
    ResponseKind,
    ScheduleTick,
    StartRequest,
    WorkItem,
)

RATES = RampRates(cold_rate_per_s=5.0, warm_rate_per_s=500.0, warmup_ms=30_000)
WARM_MS = 100_000


def build_work(work_id, priority=1, deadline_ms=WARM_MS + 1_000, idempotent=True):
    return WorkItem(work_id, priority, deadline_ms, idempotent, arrived_at_ms=WARM_MS)


def build_controller(concurrent=1, queue_capacity=2):
    limits = ConcurrencySettings(limit_initial=concurrent, limit_max=concurrent)
    settings = AdmissionSettings(concurrency=limits, queue_capacity=queue_capacity)
    return AdmissionController("u", RATES, KnownInstances("a", 0), 0, settings)


def select(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def test_expired_request_is_never_started():
    """Guards against starting a request at or after its deadline."""
    controller = build_controller()
    controller.submit(build_work(1, deadline_ms=WARM_MS + 500), WARM_MS)
    waiting = controller.submit(build_work(2, deadline_ms=WARM_MS + 50), WARM_MS)
    assert select(waiting, RequestQueued)
    ended = controller.complete(1, RequestOutcome.SUCCEEDED, WARM_MS + 50)
    assert not select(ended, StartRequest)
    [expired] = select(ended, ExpireRequest)
    assert expired.reason is RefusalReason.EXPIRED_IN_QUEUE
    late = controller.submit(build_work(3, deadline_ms=WARM_MS), WARM_MS)
    assert [action.reason for action in late] == [RefusalReason.EXPIRED_ON_ARRIVAL]


def test_expired_request_behind_other_requests_is_dropped():
    """Guards against expired requests that occupy the queue behind requests still in time."""
    controller = build_controller()
    for work_id, deadline_ms in ((1, 900), (2, 900), (3, 50)):
        controller.submit(build_work(work_id, deadline_ms=WARM_MS + deadline_ms), WARM_MS)
    assert [a.work.work_id for a in select(controller.tick(WARM_MS + 50), ExpireRequest)] == [3]


def test_request_that_cannot_be_answered_in_time_is_not_started():
    """Guards against an overloaded upstream that produces only late responses."""
    controller = build_controller()
    now_ms = WARM_MS
    for work_id in range(20):
        controller.submit(build_work(work_id, deadline_ms=now_ms + 1_000), now_ms)
        now_ms += 100
        controller.complete(work_id, RequestOutcome.SUCCEEDED, now_ms)
    controller.submit(build_work(30, deadline_ms=now_ms + 1_000), now_ms)
    controller.submit(build_work(31, deadline_ms=now_ms + 1_000), now_ms)
    ended = controller.complete(30, RequestOutcome.SUCCEEDED, now_ms + 950)
    assert [action.work.work_id for action in select(ended, ExpireRequest)] == [31]
    # A request with a short timeout is still started; a slow upstream would otherwise get none.
    short = WorkItem(32, 1, now_ms + 1_010, True, arrived_at_ms=now_ms + 960)
    assert select(controller.submit(short, now_ms + 960), StartRequest)


def test_queued_request_schedules_a_tick_at_its_deadline():
    """Guards against a request that expires unnoticed until the next request arrives."""
    controller = build_controller()
    controller.submit(build_work(1, deadline_ms=WARM_MS + 5_000), WARM_MS)
    [scheduled] = select(controller.submit(build_work(2), WARM_MS), ScheduleTick)
    assert scheduled.at_ms == WARM_MS + 1_000
    assert select(controller.tick(scheduled.at_ms), ExpireRequest)


def test_queue_never_reports_non_idempotent_request_as_not_run():
    """Guards against a false "not run".

    Another instance may have claimed a non-idempotent request that is refused here.
    """
    controller = build_controller(queue_capacity=1)
    for work_id, priority in ((1, 0), (2, 0)):
        controller.submit(build_work(work_id, priority, idempotent=False), WARM_MS)
    [refused] = controller.submit(build_work(3, 0, idempotent=False), WARM_MS)
    assert (refused.reason, refused.status) == (
        RefusalReason.QUEUE_FULL,
        RefusalStatus.REQUEST_LAYER,
    )
    [idempotent] = controller.submit(build_work(4, 1), WARM_MS)
    assert idempotent.status is RefusalStatus.NOT_RUN


def test_sent_request_is_never_reported_as_not_run():
    """Guards against a false "not run".

    A missing response does not tell whether the request was executed.
    """
    controller = build_controller()
    controller.submit(build_work(1), WARM_MS)
    actions = controller.tick(WARM_MS + 1_500)
    assert select(actions, CancelRequest)
    [refused] = select(actions, RefuseRequest)
    assert refused.status is RefusalStatus.OUTCOME_UNKNOWN
    assert controller.describe_limits(WARM_MS + 1_500).concurrent == 0


def test_high_priority_request_displaces_a_lower_one():
    """Guards against refusing a request while one of lower priority is queued."""
    controller = build_controller(queue_capacity=1)
    controller.submit(build_work(1), WARM_MS)
    controller.submit(build_work(2, priority=2), WARM_MS)
    actions = controller.submit(build_work(3, priority=0), WARM_MS)
    assert [(a.work.work_id, a.reason) for a in select(actions, RefuseRequest)] == [
        (2, RefusalReason.DISPLACED)
    ]
    started = select(controller.complete(1, RequestOutcome.SUCCEEDED, WARM_MS + 10), StartRequest)
    assert [action.work.work_id for action in started] == [3]


def test_cancelled_request_is_dequeued_or_cancelled_upstream():
    """Guards against executing requests that the caller has cancelled."""
    controller = build_controller()
    controller.submit(build_work(1), WARM_MS)
    controller.submit(build_work(2), WARM_MS)
    assert select(controller.cancel(1, WARM_MS), CancelRequest)
    assert select(controller.cancel(2, WARM_MS), RefuseRequest)
    assert not select(controller.complete(1, RequestOutcome.SUCCEEDED, WARM_MS + 10), StartRequest)
    assert controller.cancel(3, WARM_MS) == []


def test_duplicate_of_a_request_in_flight_is_not_started_again():
    """Guards against a duplicated packet that executes a request twice."""
    controller = build_controller(concurrent=4)
    assert select(controller.submit(build_work(1), WARM_MS), StartRequest)
    assert controller.submit(build_work(1), WARM_MS) == []


def test_detected_cold_start_restarts_the_ramp_and_is_broadcast():
    """Guards against an upstream that became cold unannounced and still gets its warm rate."""
    controller = build_controller(concurrent=4, queue_capacity=200)
    notices = []
    for work_id in range(160):
        now_ms = WARM_MS + 50 * work_id
        outcome = RequestOutcome.SUCCEEDED if work_id < 60 else RequestOutcome.SHED
        work = build_work(work_id, deadline_ms=now_ms + 900)
        actions = controller.tick(now_ms) + controller.submit(work, now_ms)
        for start in select(actions, StartRequest):
            ended = controller.complete(start.work.work_id, outcome, now_ms + 1)
            notices += select(ended, BroadcastNotice)
    assert [notice.notice.sequence for notice in notices] == [1]
    assert controller.describe_limits(now_ms).is_warming
    stale = controller.handle_notice(ColdStartNotice("u", 0, 0, "b"), now_ms)
    assert select(stale, ReplyWithNotice)


def feed(detector, kind, count, start_ms, latency_ms=10, every_ms=50):
    found = []
    for now_ms in range(start_ms, start_ms + count * every_ms, every_ms):
        found.append(detector.record_response(kind, now_ms, now_ms + latency_ms))
    return [evidence for evidence in found if evidence]


def test_latency_above_three_times_the_mean_latency_is_detected():
    """Guards against overloading an upstream that is cold and slow but sheds no requests."""
    detector = ColdStartDetector()
    assert feed(detector, ResponseKind.SUCCESS, 40, 0) == []
    assert feed(detector, ResponseKind.SUCCESS, 40, 5_000, latency_ms=25) == []
    assert ColdStartEvidence.LATENCY in feed(
        detector, ResponseKind.SUCCESS, 40, 10_000, latency_ms=90
    )


def test_health_report_alone_does_not_detect_a_cold_start():
    """Guards against a health endpoint that reports a warm upstream as unhealthy."""
    detector = ColdStartDetector()
    feed(detector, ResponseKind.SUCCESS, 40, 0)
    detector.record_health_report(False, 2_000)
    assert feed(detector, ResponseKind.SUCCESS, 40, 2_000) == []
    detector.record_health_report(False, 6_000)
    assert feed(detector, ResponseKind.SHED, 5, 6_000, every_ms=75)[:1] == [ColdStartEvidence.SHED]
    unsupported = ColdStartDetector()
    feed(unsupported, ResponseKind.SUCCESS, 40, 0)
    assert feed(unsupported, ResponseKind.SHED, 5, 6_000, every_ms=75) == []


def feed_mixture(detector, success_every, start_ms):
    """Feeds 100 responses per second for 10 s; every `success_every`-th is successful."""
    found = []
    for index in range(1_000):
        now_ms = start_ms + 10 * index
        kind = ResponseKind.SHED if index % success_every else ResponseKind.SUCCESS
        found.append(detector.record_response(kind, now_ms, now_ms + 10))
    return [evidence for evidence in found if evidence]


def test_overload_is_not_detected_as_cold_start():
    """Guards against an overload that throttles a warm upstream to its cold rate.

    Both upstreams start with 20 successful responses per second. The overloaded one keeps that
    rate while it sheds 80% of the requests; the one that became cold falls to 2 per second.
    """
    overloaded, cold = ColdStartDetector(), ColdStartDetector()
    for detector in (overloaded, cold):
        assert feed(detector, ResponseKind.SUCCESS, 600, 0) == []
    assert feed_mixture(overloaded, 5, 30_000) == []
    assert ColdStartEvidence.SHED in feed_mixture(cold, 50, 30_000)


def test_alternating_upstream_restarts_the_ramp_with_growing_intervals():
    """Guards against flapping, in which the ramp restarts before it can rise."""
    detector = ColdStartDetector()
    restarts_ms = []
    for now_ms in range(0, 300_000, 50):
        kind = ResponseKind.SHED if now_ms // 5_000 % 2 else ResponseKind.SUCCESS
        if detector.record_response(kind, now_ms, now_ms + 10):
            restarts_ms.append(now_ms)
            detector.record_restart(now_ms + 10)
    gaps_ms = [later - earlier for earlier, later in itertools.pairwise(restarts_ms)]
    assert 3 <= len(restarts_ms) <= 8
    assert all(gap_ms >= min(80_000, 5_000 * 2**n) for n, gap_ms in enumerate(gaps_ms))


def test_limit_stays_positive_and_decreases_once_per_burst():
    """Guards against a limit of 0, and against repeated decreases in one burst of shed responses."""
    limiter = ConcurrencyLimiter(ConcurrencySettings(limit_initial=8))
    for _ in range(8):
        limiter.record_start()
    for _ in range(8):
        limiter.record_shed(started_at_ms=0, now_ms=10)
    assert (limiter.limit, limiter.in_flight) == (4, 0)
    now_ms = 20
    for _ in range(100):
        assert limiter.compute_ready_at_ms(now_ms) - now_ms <= 1_000
        now_ms = limiter.compute_ready_at_ms(now_ms)
        limiter.record_start()
        limiter.record_shed(started_at_ms=now_ms, now_ms=now_ms + 5)
        now_ms += 5
    assert limiter.limit == 1
    for _ in range(400):
        now_ms = limiter.compute_ready_at_ms(now_ms)
        while limiter.has_capacity(now_ms):
            limiter.record_start()
        now_ms += 5
        limiter.record_success(now_ms)
    assert limiter.limit > 4


def test_shed_responses_at_the_minimum_limit_lengthen_the_pause():
    """Guards against nine instances that overload an upstream with two work slots."""
    limiter = ConcurrencyLimiter(ConcurrencySettings(limit_initial=1))
    starts = now_ms = 0
    while now_ms < 10_000:
        if limiter.has_capacity(now_ms):
            starts += 1
            limiter.record_start()
            limiter.record_shed(started_at_ms=now_ms, now_ms=now_ms + 5)
        now_ms += 5
    assert 10 <= starts <= 20
