"""Tests of the priority queue against a reference model."""

from hypothesis import given, settings
from hypothesis import strategies as st

from catkinspread.limits import PriorityQueue, PushStatus, WorkItem

CAPACITY = 4


def build_work(work_id, priority=1, deadline_ms=1_000):
    return WorkItem(work_id, priority, deadline_ms, is_idempotent=True, arrived_at_ms=0)


class ReferenceQueue:
    """Keeps all requests in one list in order of arrival and sorts it on every access."""

    def __init__(self):
        self.items = []

    def push(self, work, now_ms):
        if any(item.work_id == work.work_id for item in self.items):
            return "duplicate", [], None
        expired, displaced = [], None
        if len(self.items) == CAPACITY:
            expired = self.drop_expired(now_ms)
        if len(self.items) == CAPACITY:
            worst = sorted(self.items, key=lambda item: item.priority)[-1]
            if worst.priority <= work.priority:
                return "refused", expired, None
            displaced = worst
            self.items.remove(worst)
        self.items.append(work)
        return "queued", expired, displaced

    def pop(self):
        if not self.items:
            return None
        best = sorted(self.items, key=lambda item: item.priority)[0]
        self.items.remove(best)
        return best

    def cancel(self, work_id):
        found = [item for item in self.items if item.work_id == work_id]
        self.items = [item for item in self.items if item.work_id != work_id]
        return found[0] if found else None

    def drop_expired(self, now_ms):
        expired = [item for item in self.items if item.deadline_ms <= now_ms]
        self.items = [item for item in self.items if item.deadline_ms > now_ms]
        return expired


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["push", "push", "push", "pop", "cancel", "expire"]),
        st.integers(0, 9),
        st.integers(0, 2),
        st.integers(1, 40),
    ),
    max_size=60,
)


@settings(derandomize=True, max_examples=200)
@given(STEPS)
def test_queue_agrees_with_the_reference_model(steps):
    """Guards the orders of service and displacement, and against lost or duplicated requests."""
    queue, reference = PriorityQueue(CAPACITY), ReferenceQueue()
    for now_ms, (step, work_id, priority, lifetime_ms) in enumerate(steps):
        if step == "push":
            work = build_work(work_id, priority, now_ms + lifetime_ms)
            result = queue.push(work, now_ms)
            verdict, expired, displaced = reference.push(work, now_ms)
            assert result.status.value == verdict
            assert {item.work_id for item in result.expired} == {i.work_id for i in expired}
            assert result.displaced == displaced
        elif step == "pop":
            assert queue.pop() == reference.pop()
        elif step == "cancel":
            assert queue.cancel(work_id) == reference.cancel(work_id)
        else:
            dropped = {item.work_id for item in queue.drop_expired(now_ms)}
            assert dropped == {item.work_id for item in reference.drop_expired(now_ms)}
        assert len(queue) == len(reference.items)
        deadlines = [item.deadline_ms for item in reference.items]
        assert queue.find_next_deadline_ms() == min(deadlines, default=None)


def test_full_queue_displaces_the_lowest_priority_first():
    """Guards against refusing a request while one of lower priority is queued."""
    queue = PriorityQueue(2)
    queue.push(build_work(1, priority=2), 0)
    queue.push(build_work(2, priority=1), 0)
    result = queue.push(build_work(3, priority=0), 0)
    assert (result.status, result.displaced.work_id) == (PushStatus.QUEUED, 1)
    assert queue.push(build_work(4, priority=1), 0).status is PushStatus.REFUSED
