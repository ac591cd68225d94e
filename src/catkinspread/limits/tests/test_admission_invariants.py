"""Property test of the admission: every request ends once, and none starts too late."""

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


class Ledger:
    """Notes what the actions of a controller did to each request."""

    def __init__(self):
        self.started, self.ended = set(), set()

    def note(self, actions, now_ms):
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
    """Guards against lost, doubled and late requests, in a cold start and when warm."""
    limiter = ConcurrencySettings(initial=2, maximum=2)
    options = AdmissionSettings(concurrency=limiter, queue_capacity=capacity)
    fleet = KnownInstances("a", -10_000)
    controller = AdmissionController("u", RampRates(20.0, 50.0, 30_000), fleet, 0, options)
    ledger, submitted, running = Ledger(), [], set()
    now_ms = begin_ms
    for number, (step, pick, priority, duration_ms, outcome) in enumerate(steps):
        now_ms += pick
        if step == "submit":
            work = WorkItem(number, priority, now_ms + duration_ms, bool(pick % 2), now_ms)
            submitted.append(number)
            ledger.note(controller.submit(work, now_ms), now_ms)
        elif step == "tick":
            ledger.note(controller.tick(now_ms), now_ms)
        elif step == "complete" and running:
            work_id = sorted(running)[pick % len(running)]
            ledger.ended.update({work_id} if outcome is RequestOutcome.SUCCEEDED else ())
            ledger.note(controller.complete(work_id, outcome, now_ms), now_ms)
        elif step == "cancel" and submitted:
            ledger.note(controller.cancel(submitted[pick % len(submitted)], now_ms), now_ms)
        running = ledger.started - ledger.ended
        limits = controller.describe_limits(now_ms)
        assert limits.concurrent == len(running) <= 2
        assert limits.queued == len(set(submitted) - ledger.ended - running) <= capacity
    for _ in range(3):
        now_ms += 1_000
        ledger.note(controller.tick(now_ms), now_ms)
    assert ledger.ended == set(submitted)
