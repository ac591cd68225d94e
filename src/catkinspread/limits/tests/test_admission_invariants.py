"""Property test: every request ends exactly once, and none starts at or after its deadline."""

from hypothesis import given, settings
from hypothesis import strategies as st

from catkinspread.limits import (
    AdmissionController,
    AdmissionSettings,
    ConcurrencySettings,
    ExpireRequest,
    KnownInstances,
    RampRates,
    RefuseRequest,
    RequestOutcome,
    StartRequest,
    WorkItem,
)

STEP = st.tuples(
    st.sampled_from(["submit", "submit", "submit", "complete", "cancel", "tick"]),
    st.integers(0, 40),
    st.integers(0, 2),
    st.integers(1, 300),
    st.sampled_from(list(RequestOutcome)),
)


class RequestTracker:
    """Tracks which requests the actions of a controller have started and ended."""

    def __init__(self):
        self.started, self.ended = set(), set()

    def record(self, actions, now_ms):
        for action in actions:
            if isinstance(action, StartRequest):
                assert action.work.deadline_ms > now_ms
                assert action.work.work_id not in self.started | self.ended
                self.started.add(action.work.work_id)
            elif isinstance(action, RefuseRequest | ExpireRequest):
                assert action.work.work_id not in self.ended
                self.ended.add(action.work.work_id)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(STEP, max_size=80), st.sampled_from([0, 40_000]), st.integers(1, 4))
def test_every_request_ends_once_and_none_starts_too_late(steps, begin_ms, capacity):
    """Guards against lost, duplicated and late requests, during a cold start and when warm."""
    concurrency = ConcurrencySettings(limit_initial=2, limit_max=2)
    admission_settings = AdmissionSettings(concurrency=concurrency, queue_capacity=capacity)
    known_instances = KnownInstances("a", -10_000)
    controller = AdmissionController(
        "u", RampRates(20.0, 50.0, 30_000), known_instances, 0, admission_settings
    )
    tracker, submitted, running = RequestTracker(), [], set()
    now_ms = begin_ms
    # The drawn number is the time step in ms, its parity decides whether a request is idempotent,
    # and it selects the request that is completed or cancelled.
    for work_id, (step, drawn, priority, timeout_ms, outcome) in enumerate(steps):
        now_ms += drawn
        if step == "submit":
            work = WorkItem(work_id, priority, now_ms + timeout_ms, bool(drawn % 2), now_ms)
            submitted.append(work_id)
            tracker.record(controller.submit(work, now_ms), now_ms)
        elif step == "tick":
            tracker.record(controller.tick(now_ms), now_ms)
        elif step == "complete" and running:
            completed = sorted(running)[drawn % len(running)]
            tracker.ended.update({completed} if outcome is RequestOutcome.SUCCEEDED else ())
            tracker.record(controller.complete(completed, outcome, now_ms), now_ms)
        elif step == "cancel" and submitted:
            tracker.record(controller.cancel(submitted[drawn % len(submitted)], now_ms), now_ms)
        running = tracker.started - tracker.ended
        limits = controller.describe_limits(now_ms)
        assert limits.concurrent == len(running) <= 2
        assert limits.queued == len(set(submitted) - tracker.ended - running) <= capacity
    for _ in range(3):
        now_ms += 1_000
        tracker.record(controller.tick(now_ms), now_ms)
    assert tracker.ended == set(submitted)
