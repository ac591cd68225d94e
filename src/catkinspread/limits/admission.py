"""Ties rate share, concurrency limit, queue and detector of one upstream together."""

import msgspec

from catkinspread.limits.actions import (
    AdmissionAction,
    BroadcastNotice,
    CancelRequest,
    CurrentLimits,
    ExpireRequest,
    RefusalReason,
    RefusalStatus,
    RefuseRequest,
    ReplyWithNotice,
    RequestOutcome,
    RequestQueued,
    ScheduleTick,
    StartRequest,
    determine_refusal_status,
)
from catkinspread.limits.cold_start import ColdStartRamp, NoticeResult, RampRates
from catkinspread.limits.concurrency import ConcurrencyLimiter, ConcurrencySettings
from catkinspread.limits.detector import ColdStartDetector, DetectorSettings, ResponseKind
from catkinspread.limits.fleet import KnownInstances
from catkinspread.limits.messages import ColdStartNotice
from catkinspread.limits.queue import QUEUE_CAPACITY, PriorityQueue, PushStatus, WorkItem
from catkinspread.limits.rate_limiter import SharedRateLimiter


class AdmissionSettings(msgspec.Struct, frozen=True):
    """Settings of the admission to one upstream.

    Attributes:
        limiter: Bounds of the concurrency limit.
        detector: Thresholds of the cold turn detector.
        queue_capacity: Requests that may wait.
        answer_grace_ms: Time after the deadline for which a missing answer still occupies a
            slot; an answer that was lost must not occupy it for ever.
    """

    limiter: ConcurrencySettings = ConcurrencySettings()
    detector: DetectorSettings = DetectorSettings()
    queue_capacity: int = QUEUE_CAPACITY
    answer_grace_ms: int = 500


class _Run(msgspec.Struct, frozen=True):
    work: WorkItem
    started_at_ms: int


class AdmissionController:
    """Decides for one upstream which requests start, wait, or are refused.

    Every method takes the time and returns the actions to carry out, in order.
    """

    __slots__ = (
        "_detector",
        "_fleet",
        "_limiter",
        "_queue",
        "_ramp",
        "_runs",
        "_settings",
        "_share",
    )

    def __init__(
        self,
        upstream: str,
        rates: RampRates,
        fleet: KnownInstances,
        now_ms: int,
        settings: AdmissionSettings | None = None,
        cold_at_ms: int | None = None,
    ) -> None:
        """Creates a controller.

        Args:
            upstream: Name of the upstream.
            rates: Its rates.
            fleet: The instances that share the cap.
            now_ms: Current time in ms.
            settings: Settings; the defaults if None.
            cold_at_ms: Latest cold start that the configuration tells; None if it is unknown,
                which counts as a cold start now.
        """
        self._settings = settings or AdmissionSettings()
        self._fleet = fleet
        self._ramp = ColdStartRamp(
            upstream, rates, cold_at_ms=now_ms if cold_at_ms is None else cold_at_ms
        )
        self._share = SharedRateLimiter(self._ramp, fleet, now_ms)
        self._limiter = ConcurrencyLimiter(self._settings.limiter)
        self._detector = ColdStartDetector(self._settings.detector)
        self._queue = PriorityQueue(self._settings.queue_capacity)
        self._runs: dict[int, _Run] = {}

    def submit(self, work: WorkItem, now_ms: int) -> list[AdmissionAction]:
        """Takes a new request; one that already waits or runs here is ignored."""
        if work.work_id in self._runs:
            return []
        if work.deadline_ms <= now_ms:
            return [self._expire(work, RefusalReason.EXPIRED_ON_ARRIVAL)]
        actions = self._fill(now_ms)
        result = self._queue.push(work, now_ms)
        actions += [self._expire(old, self._name_wait(now_ms)) for old in result.expired]
        if result.displaced is not None:
            actions.append(self._refuse(result.displaced, RefusalReason.DISPLACED))
        if result.status is PushStatus.REFUSED:
            return [*actions, self._refuse(work, RefusalReason.QUEUE_FULL)]
        if result.status is PushStatus.DUPLICATE:
            return actions
        started = self._fill(now_ms)
        if work.work_id not in self._runs:
            actions.append(RequestQueued(work))
        return actions + started + self._plan_wake(now_ms)

    def complete(self, work_id: int, outcome: RequestOutcome, now_ms: int) -> list[AdmissionAction]:
        """Takes the end of a started request; an unknown one is ignored."""
        run = self._runs.pop(work_id, None)
        if run is None:
            return []
        actions: list[AdmissionAction] = []
        match outcome:
            case RequestOutcome.SUCCEEDED:
                self._limiter.record_success(now_ms)
                actions += self._judge(ResponseKind.SUCCESS, run, now_ms)
            case RequestOutcome.SHED:
                self._limiter.record_shed(run.started_at_ms, now_ms)
                reason = RefusalReason.UPSTREAM_SHED
                actions.append(RefuseRequest(run.work, reason, RefusalStatus.REQUEST_LAYER))
                actions += self._judge(ResponseKind.SHED, run, now_ms)
            case RequestOutcome.FAILED:
                self._limiter.record_no_response()
                actions.append(self._refuse(run.work, RefusalReason.NO_ANSWER, was_sent=True))
        return actions + self._fill(now_ms) + self._plan_wake(now_ms)

    def cancel(self, work_id: int, now_ms: int) -> list[AdmissionAction]:
        """Takes the cancellation of a request by its caller.

        A started request keeps its slot until the upstream answers or the deadline passes,
        because the upstream may still be at work on it.
        """
        work = self._queue.cancel(work_id)
        if work is not None:
            return [self._refuse(work, RefusalReason.CANCELLED), *self._plan_wake(now_ms)]
        run = self._runs.get(work_id)
        return [CancelRequest(run.work, RefusalReason.CANCELLED)] if run is not None else []

    def tick(self, now_ms: int) -> list[AdmissionAction]:
        """Starts what may start now, and drops what has expired."""
        self._fleet.remove_expired(now_ms)
        actions: list[AdmissionAction] = []
        limit_ms = now_ms - self._settings.answer_grace_ms
        for work_id, run in list(self._runs.items()):
            if run.work.deadline_ms <= limit_ms:
                del self._runs[work_id]
                self._limiter.record_no_response()
                actions.append(CancelRequest(run.work, RefusalReason.NO_ANSWER))
                actions.append(self._refuse(run.work, RefusalReason.NO_ANSWER, was_sent=True))
        return actions + self._fill(now_ms) + self._plan_wake(now_ms)

    def handle_announced_cold_start(self, cold_at_ms: int, now_ms: int) -> list[AdmissionAction]:
        """Takes a cold start that the configuration announces."""
        notice = self._ramp.apply_announcement(cold_at_ms, self._fleet.instance)
        if notice is None:
            return []
        self._detector.record_restart(now_ms)
        return [BroadcastNotice(notice)]

    def handle_notice(self, notice: ColdStartNotice, now_ms: int) -> list[AdmissionAction]:
        """Takes a notice of another instance."""
        verdict = self._ramp.apply_notice(notice, now_ms)
        own = self._ramp.build_notice(self._fleet.instance)
        match verdict:
            case NoticeResult.RESTARTED:
                self._detector.record_restart(now_ms)
                return [BroadcastNotice(notice)]
            case NoticeResult.SUPERSEDED:
                return [BroadcastNotice(own)]
            case NoticeResult.STALE:
                return [ReplyWithNotice(own)]
        return []

    def handle_health_report(self, is_healthy: bool, now_ms: int) -> None:
        """Takes a report of the health or load endpoint; this never decides alone."""
        self._detector.record_health_report(is_healthy, now_ms)

    def update_rates(self, rates: RampRates) -> None:
        """Takes the rates of a new configuration."""
        self._ramp.rates = rates

    def close(self) -> list[AdmissionAction]:
        """Refuses all that waits, because the upstream was removed."""
        return [self._refuse(w, RefusalReason.UPSTREAM_REMOVED) for w in self._queue.drain()]

    def build_notice(self) -> ColdStartNotice:
        """Returns the latest known cold start, for an instance that has just joined."""
        return self._ramp.build_notice(self._fleet.instance)

    def describe_limits(self, now_ms: int) -> CurrentLimits:
        """Returns the limits in force, for records and queries."""
        return CurrentLimits(
            cap_per_s=self._ramp.compute_cap(now_ms),
            share_per_s=self._share.compute_share(now_ms),
            instances_known=self._fleet.count(),
            concurrent_max=self._limiter.limit,
            concurrent=self._limiter.in_flight,
            pause_ms=self._limiter.pause_ms,
            queued=len(self._queue),
            is_warming=not self._ramp.is_warm(now_ms),
        )

    def _fill(self, now_ms: int) -> list[AdmissionAction]:
        reason = self._name_wait(now_ms)
        actions: list[AdmissionAction] = [
            self._expire(work, reason) for work in self._queue.drop_expired(now_ms)
        ]
        actions += self._drop_hopeless(now_ms)
        while self._has_startable(now_ms) and self._share.try_acquire(now_ms):
            work = self._queue.pop()
            self._runs[work.work_id] = _Run(work, now_ms)
            self._limiter.record_start()
            actions.append(StartRequest(work))
            actions += self._drop_hopeless(now_ms)
        return actions

    def _drop_hopeless(self, now_ms: int) -> list[AdmissionAction]:
        """Drops the next work while its answer would come after its deadline.

        Under overload the work at the head has waited longest, so without this rule the
        upstream is busy with answers that nobody waits for. At most half of the timeout counts
        as latency; otherwise a slow upstream would never be tried again.
        """
        actions: list[AdmissionAction] = []
        while (work := self._queue.peek()) is not None:
            half_ms = (work.deadline_ms - work.arrived_at_ms) / 2
            needed_ms = min(self._detector.baseline_ms, half_ms)
            if work.deadline_ms - now_ms > needed_ms:
                break
            self._queue.pop()
            actions.append(self._expire(work, self._name_wait(now_ms)))
        return actions

    def _has_startable(self, now_ms: int) -> bool:
        return len(self._queue) > 0 and self._limiter.has_capacity(now_ms)

    def _plan_wake(self, now_ms: int) -> list[AdmissionAction]:
        times: list[int] = [
            run.work.deadline_ms + self._settings.answer_grace_ms for run in self._runs.values()
        ]
        deadline_ms = self._queue.find_next_deadline_ms()
        if deadline_ms is not None:
            times.append(deadline_ms)
            ready_ms = self._limiter.compute_ready_at_ms(now_ms)
            if ready_ms is not None:
                times.append(max(ready_ms, self._share.compute_retry_at_ms(now_ms)))
        return [ScheduleTick(max(now_ms + 1, min(times)))] if times else []

    def _judge(self, kind: ResponseKind, run: _Run, now_ms: int) -> list[AdmissionAction]:
        evidence = self._detector.record_response(kind, run.started_at_ms, now_ms)
        if evidence is None:
            return []
        notice = self._ramp.restart(now_ms, self._fleet.instance)
        self._detector.record_restart(now_ms)
        return [BroadcastNotice(notice)]

    def _name_wait(self, now_ms: int) -> RefusalReason:
        is_cold = not self._ramp.is_warm(now_ms) and self._limiter.has_capacity(now_ms)
        return RefusalReason.EXPIRED_IN_COLD_START if is_cold else RefusalReason.EXPIRED_IN_QUEUE

    def _expire(self, work: WorkItem, reason: RefusalReason) -> ExpireRequest:
        return ExpireRequest(work, reason, determine_refusal_status(work, was_sent=False))

    def _refuse(
        self, work: WorkItem, reason: RefusalReason, was_sent: bool = False
    ) -> RefuseRequest:
        return RefuseRequest(work, reason, determine_refusal_status(work, was_sent))
