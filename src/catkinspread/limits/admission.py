"""Admission controller, which combines the limits, queue and detector of one upstream."""

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
from catkinspread.limits.queue import DEFAULT_QUEUE_CAPACITY, PriorityQueue, PushStatus, WorkItem
from catkinspread.limits.rate_limiter import SharedRateLimiter


class AdmissionSettings(msgspec.Struct, frozen=True):
    """Settings of the admission controller of one upstream.

    Attributes:
        concurrency: Settings of the concurrency limiter.
        detector: Thresholds of the cold start detector.
        queue_capacity: Maximum number of queued requests.
        response_grace_ms: How long after its deadline a request without a response still counts
            as in flight. Without this bound, a lost response would occupy a slot forever.
    """

    concurrency: ConcurrencySettings = ConcurrencySettings()
    detector: DetectorSettings = DetectorSettings()
    queue_capacity: int = DEFAULT_QUEUE_CAPACITY
    response_grace_ms: int = 500


class _InFlightRequest(msgspec.Struct, frozen=True):
    work: WorkItem
    started_at_ms: int


class AdmissionController:
    """Decides for one upstream which requests are started, queued or refused.

    The methods take the current time; those that return actions expect the caller to perform
    them in order.
    """

    __slots__ = (
        "_concurrency",
        "_detector",
        "_in_flight",
        "_known_instances",
        "_queue",
        "_ramp",
        "_rate_limiter",
        "_settings",
    )

    def __init__(
        self,
        upstream: str,
        rates: RampRates,
        known_instances: KnownInstances,
        now_ms: int,
        settings: AdmissionSettings | None = None,
        cold_at_ms: int | None = None,
    ) -> None:
        """Creates a controller.

        Args:
            upstream: Name of the upstream.
            rates: Rates of the upstream.
            known_instances: The instances that share the rate cap.
            now_ms: Current time in ms since the epoch.
            settings: Settings, or None for the defaults.
            cold_at_ms: Time of the latest cold start according to the configuration, in ms since
                the epoch. Until a time in the future, the cap stays at the cold rate, and an
                instance whose share is below 1/s starts no request. None if it is unknown, in
                which case the upstream is assumed to have become cold now.
        """
        self._settings = settings or AdmissionSettings()
        self._known_instances = known_instances
        self._ramp = ColdStartRamp(
            upstream, rates, cold_at_ms=now_ms if cold_at_ms is None else cold_at_ms
        )
        self._rate_limiter = SharedRateLimiter(self._ramp, known_instances, now_ms)
        self._concurrency = ConcurrencyLimiter(self._settings.concurrency)
        self._detector = ColdStartDetector(self._settings.detector)
        self._queue = PriorityQueue(self._settings.queue_capacity)
        self._in_flight: dict[int, _InFlightRequest] = {}

    def submit(self, work: WorkItem, now_ms: int) -> list[AdmissionAction]:
        """Submits a request, unless it is already queued or in flight.

        Returns:
            The actions for the request, which is started, queued, refused or expired, and for
            every other request that could start, expired or was displaced meanwhile.
        """
        if work.work_id in self._in_flight:
            return []
        if work.deadline_ms <= now_ms:
            return [self._expire(work, RefusalReason.EXPIRED_ON_ARRIVAL)]
        actions = self._expire_and_start(now_ms)
        result = self._queue.push(work, now_ms)
        actions += [
            self._expire(expired, self._choose_expiry_reason(now_ms)) for expired in result.expired
        ]
        if result.displaced is not None:
            actions.append(self._refuse(result.displaced, RefusalReason.DISPLACED))
        if result.status is PushStatus.REFUSED:
            return [*actions, self._refuse(work, RefusalReason.QUEUE_FULL)]
        if result.status is PushStatus.DUPLICATE:
            return actions
        started = self._expire_and_start(now_ms)
        if work.work_id not in self._in_flight:
            actions.append(RequestQueued(work))
        return actions + started + self._schedule_tick(now_ms)

    def complete(self, work_id: int, outcome: RequestOutcome, now_ms: int) -> list[AdmissionAction]:
        """Handles the end of a started request; an unknown request is ignored."""
        request = self._in_flight.pop(work_id, None)
        if request is None:
            return []
        actions: list[AdmissionAction] = []
        match outcome:
            case RequestOutcome.SUCCEEDED:
                self._concurrency.record_success(now_ms)
                actions += self._detect_cold_start(ResponseKind.SUCCESS, request, now_ms)
            case RequestOutcome.SHED:
                self._concurrency.record_shed(request.started_at_ms, now_ms)
                reason = RefusalReason.UPSTREAM_SHED
                actions.append(RefuseRequest(request.work, reason, RefusalStatus.REQUEST_LAYER))
                actions += self._detect_cold_start(ResponseKind.SHED, request, now_ms)
            case RequestOutcome.FAILED:
                self._concurrency.record_no_response()
                actions.append(self._refuse(request.work, RefusalReason.NO_ANSWER, was_sent=True))
        return actions + self._expire_and_start(now_ms) + self._schedule_tick(now_ms)

    def cancel(self, work_id: int, now_ms: int) -> list[AdmissionAction]:
        """Handles the cancellation of a request by its caller.

        A started request counts as in flight until the upstream responds or the response is
        overdue, because the upstream may still be executing it.
        """
        work = self._queue.cancel(work_id)
        if work is not None:
            return [self._refuse(work, RefusalReason.CANCELLED), *self._schedule_tick(now_ms)]
        request = self._in_flight.get(work_id)
        return [CancelRequest(request.work, RefusalReason.CANCELLED)] if request is not None else []

    def tick(self, now_ms: int) -> list[AdmissionAction]:
        """Starts the requests that may start now.

        Requests in the queue that expired are discarded, and requests in flight whose response is
        overdue are cancelled and refused.
        """
        self._known_instances.remove_expired(now_ms)
        actions: list[AdmissionAction] = []
        overdue_before_ms = now_ms - self._settings.response_grace_ms
        for work_id, request in list(self._in_flight.items()):
            if request.work.deadline_ms <= overdue_before_ms:
                del self._in_flight[work_id]
                self._concurrency.record_no_response()
                actions.append(CancelRequest(request.work, RefusalReason.NO_ANSWER))
                actions.append(self._refuse(request.work, RefusalReason.NO_ANSWER, was_sent=True))
        return actions + self._expire_and_start(now_ms) + self._schedule_tick(now_ms)

    def handle_announced_cold_start(self, cold_at_ms: int, now_ms: int) -> list[AdmissionAction]:
        """Handles a cold start announced by the configuration.

        Args:
            cold_at_ms: Time of the latest cold start in ms since the epoch; see `__init__` for a
                time in the future.
            now_ms: Current time in ms since the epoch.
        """
        notice = self._ramp.apply_announcement(cold_at_ms, self._known_instances.instance)
        if notice is None:
            return []
        self._detector.record_restart(now_ms)
        return [BroadcastNotice(notice)]

    def handle_notice(self, notice: ColdStartNotice, now_ms: int) -> list[AdmissionAction]:
        """Merges a notice from another instance into the ramp.

        Returns:
            The action that brings other instances up to date: broadcast the notice if it
            restarted the ramp, broadcast the notice of this instance if it supersedes the
            received one, or send it in reply to a stale one. No action if the ramp did not move to
            a later time, so that a notice is not broadcast again and again, or if the notice is
            invalid.
        """
        result = self._ramp.apply_notice(notice, now_ms)
        own = self._ramp.build_notice(self._known_instances.instance)
        match result:
            case NoticeResult.RESTARTED:
                self._detector.record_restart(now_ms)
                return [BroadcastNotice(notice)]
            case NoticeResult.SUPERSEDED:
                return [BroadcastNotice(own)]
            case NoticeResult.STALE:
                return [ReplyWithNotice(own)]
        return []

    def handle_health_report(self, is_healthy: bool, now_ms: int) -> None:
        """Passes a report of the health or load endpoint to the cold start detector.

        Args:
            is_healthy: Whether the endpoint reports the upstream as healthy.
            now_ms: Current time in ms since the epoch.
        """
        self._detector.record_health_report(is_healthy, now_ms)

    def update_rates(self, rates: RampRates) -> None:
        """Applies the rates of a new configuration."""
        self._ramp.rates = rates

    def close(self) -> list[AdmissionAction]:
        """Refuses all queued requests, because the upstream was removed.

        Requests in flight are not affected; ending them is left to the caller of this method.
        """
        return [self._refuse(work, RefusalReason.UPSTREAM_REMOVED) for work in self._queue.drain()]

    def build_notice(self) -> ColdStartNotice:
        """Returns a notice for the latest known cold start, to send to a new instance."""
        return self._ramp.build_notice(self._known_instances.instance)

    def describe_limits(self, now_ms: int) -> CurrentLimits:
        """Returns the current limits, for records and queries."""
        return CurrentLimits(
            cap_per_s=self._ramp.compute_cap_at(now_ms),
            share_per_s=self._rate_limiter.compute_share(now_ms),
            instances_known=self._known_instances.count(),
            concurrent_max=self._concurrency.limit,
            concurrent=self._concurrency.in_flight,
            pause_ms=self._concurrency.pause_ms,
            queued=len(self._queue),
            is_warming=not self._ramp.is_ramp_over(now_ms),
        )

    def _expire_and_start(self, now_ms: int) -> list[AdmissionAction]:
        reason = self._choose_expiry_reason(now_ms)
        actions: list[AdmissionAction] = [
            self._expire(work, reason) for work in self._queue.drop_expired(now_ms)
        ]
        actions += self._drop_unserviceable(now_ms)
        while self._can_start(now_ms) and self._rate_limiter.try_acquire(now_ms):
            work = self._queue.pop()
            self._in_flight[work.work_id] = _InFlightRequest(work, now_ms)
            self._concurrency.record_start()
            actions.append(StartRequest(work))
            actions += self._drop_unserviceable(now_ms)
        return actions

    def _drop_unserviceable(self, now_ms: int) -> list[AdmissionAction]:
        """Discards the head of the queue while its remaining time is too short for a response.

        It is too short if it is at most the mean latency or half the timeout of the request,
        whichever is less. Under overload, the head has waited longest within its priority, and
        without this rule the upstream would spend its capacity on responses that arrive too late.
        Without the bound of half the timeout, a slow upstream would get no more requests.
        """
        actions: list[AdmissionAction] = []
        while (work := self._queue.peek()) is not None:
            half_ms = (work.deadline_ms - work.arrived_at_ms) / 2
            needed_ms = min(self._detector.mean_latency_ms, half_ms)
            if work.deadline_ms - now_ms > needed_ms:
                break
            self._queue.pop()
            actions.append(self._expire(work, self._choose_expiry_reason(now_ms)))
        return actions

    def _can_start(self, now_ms: int) -> bool:
        return len(self._queue) > 0 and self._concurrency.has_capacity(now_ms)

    def _schedule_tick(self, now_ms: int) -> list[AdmissionAction]:
        times: list[int] = [
            request.work.deadline_ms + self._settings.response_grace_ms
            for request in self._in_flight.values()
        ]
        deadline_ms = self._queue.find_next_deadline_ms()
        if deadline_ms is not None:
            times.append(deadline_ms)
            ready_ms = self._concurrency.compute_ready_at_ms(now_ms)
            if ready_ms is not None:
                times.append(max(ready_ms, self._rate_limiter.compute_retry_at_ms(now_ms)))
        return [ScheduleTick(max(now_ms + 1, min(times)))] if times else []

    def _detect_cold_start(
        self, kind: ResponseKind, request: _InFlightRequest, now_ms: int
    ) -> list[AdmissionAction]:
        evidence = self._detector.record_response(kind, request.started_at_ms, now_ms)
        if evidence is None:
            return []
        notice = self._ramp.restart(now_ms, self._known_instances.instance)
        self._detector.record_restart(now_ms)
        return [BroadcastNotice(notice)]

    def _choose_expiry_reason(self, now_ms: int) -> RefusalReason:
        is_cold = not self._ramp.is_ramp_over(now_ms) and self._concurrency.has_capacity(now_ms)
        return RefusalReason.EXPIRED_IN_COLD_START if is_cold else RefusalReason.EXPIRED_IN_QUEUE

    def _expire(self, work: WorkItem, reason: RefusalReason) -> ExpireRequest:
        return ExpireRequest(work, reason, determine_refusal_status(work, was_sent=False))

    def _refuse(
        self, work: WorkItem, reason: RefusalReason, was_sent: bool = False
    ) -> RefuseRequest:
        return RefuseRequest(work, reason, determine_refusal_status(work, was_sent))
