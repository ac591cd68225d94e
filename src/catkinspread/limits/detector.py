"""Detects that an upstream became cold without an announcement."""

import collections
import enum

import msgspec


class ResponseKind(enum.Enum):
    """How the upstream responded to a request."""

    SUCCESS = "good"
    SHED = "shed"


class ColdStartEvidence(enum.Enum):
    """Observation that a cold start was detected from."""

    SHED = "shed"
    LATENCY = "latency"


class DetectorSettings(msgspec.Struct, frozen=True):
    """Thresholds of the detector.

    Attributes:
        sample_window_ms: Age up to which responses are evaluated; long enough for
            `responses_min` attempts at the longest pause of the concurrency limiter.
        success_window_ms: Age up to which successful responses are counted and their latency is
            compared with the moving average.
        responses_min: Minimum number of responses for a detection: of responses since the first
            shed one in `sample_window_ms`, or of successful ones in `success_window_ms`.
        responses_min_unhealthy: Replaces `responses_min` while an endpoint reports the upstream as
            unhealthy.
        shed_ratio_min: Minimum ratio of shed responses that indicates a cold start.
        latency_factor: Ratio of the mean latency in `success_window_ms` to the moving average
            above which a cold start is detected.
        successes_min: Successful responses required before the moving average of the latency is
            used and any cold start is detected.
        latency_smoothing: Weight of one response in the moving average of the latency.
        shed_duration_min_ms: Minimum age of the oldest shed response in `sample_window_ms`.
        goodput_ratio_max: Shed responses count only while the rate of successful responses is at
            most this ratio of its mean in the _GOODPUT_WINDOW_S before `success_window_ms`. An
            overloaded upstream sheds requests but keeps serving up to its capacity; an upstream
            that became cold does not.
        holdoff_ms: Time after a restart of the ramp during which no cold start is detected.
        holdoff_max_ms: Upper bound of the hold-off, which doubles with each restart.
        holdoff_reset_ms: Time without a restart after which the hold-off returns to `holdoff_ms`.
        health_report_ttl_ms: How long a report of an unhealthy upstream remains in effect.
    """

    sample_window_ms: int = 6_000
    success_window_ms: int = 2_000
    responses_min: int = 6
    responses_min_unhealthy: int = 4
    shed_ratio_min: float = 0.5
    latency_factor: float = 3.0
    successes_min: int = 20
    latency_smoothing: float = 0.02
    shed_duration_min_ms: int = 250
    goodput_ratio_max: float = 0.25
    holdoff_ms: int = 5_000
    holdoff_max_ms: int = 80_000
    holdoff_reset_ms: int = 600_000
    health_report_ttl_ms: int = 5_000


class _Sample(msgspec.Struct, frozen=True):
    at_ms: int
    kind: ResponseKind
    latency_ms: int


# Time before `success_window_ms` over which the usual rate of successful responses is averaged.
_GOODPUT_WINDOW_S = 30
# Bounds the cost at high rates: an evaluation is linear in the number of responses in
# `sample_window_ms`.
_EVALUATION_INTERVAL_MS = 50
_MS_PER_S = 1_000


class ColdStartDetector:
    """Detects from the responses of one upstream that it became cold.

    Health and load endpoints may be delayed or wrong, so their reports only lower the number of
    responses that is required and never trigger a detection by themselves. After a restart of
    the ramp, a hold-off prevents responses to the same event, or an upstream that alternates
    between warm and cold, from restarting the ramp again at once.
    """

    __slots__ = (
        "_evaluated_at_ms",
        "_first_second",
        "_holdoff_ms",
        "_holdoff_until_ms",
        "_mean_latency_ms",
        "_restarted_at_ms",
        "_samples",
        "_settings",
        "_success_count",
        "_successes_per_second",
        "_unhealthy_until_ms",
    )

    def __init__(self, settings: DetectorSettings | None = None) -> None:
        self._settings = settings or DetectorSettings()
        self._samples: collections.deque[_Sample] = collections.deque()
        self._first_second = 0
        self._successes_per_second: dict[int, int] = {}
        self._mean_latency_ms = 0.0
        self._success_count = 0
        self._unhealthy_until_ms = -1
        self._restarted_at_ms: int | None = None
        self._holdoff_ms = self._settings.holdoff_ms
        self._holdoff_until_ms = -1
        self._evaluated_at_ms = -_EVALUATION_INTERVAL_MS

    @property
    def mean_latency_ms(self) -> float:
        """Moving average of the latency of successful responses in ms."""
        return self._mean_latency_ms

    def record_health_report(self, is_healthy: bool, now_ms: int) -> None:
        """Records a report of a health or load endpoint.

        Args:
            is_healthy: Whether the endpoint reports the upstream as healthy.
            now_ms: Current time in ms since the epoch.
        """
        self._unhealthy_until_ms = (
            -1 if is_healthy else now_ms + self._settings.health_report_ttl_ms
        )

    def record_restart(self, now_ms: int) -> None:
        """Records that the ramp was restarted, by this instance or by a notice."""
        settings = self._settings
        last_ms = self._restarted_at_ms
        if last_ms is not None and now_ms - last_ms < settings.holdoff_reset_ms:
            self._holdoff_ms = min(settings.holdoff_max_ms, 2 * self._holdoff_ms)
        else:
            self._holdoff_ms = settings.holdoff_ms
        self._restarted_at_ms = now_ms
        self._holdoff_until_ms = now_ms + self._holdoff_ms
        self._samples.clear()

    def record_response(
        self, kind: ResponseKind, started_at_ms: int, now_ms: int
    ) -> ColdStartEvidence | None:
        """Records a response.

        Args:
            kind: How the upstream responded.
            started_at_ms: When the request was sent to the upstream.
            now_ms: When the response arrived.

        Returns:
            The evidence if a cold start was detected, else None.
        """
        latency_ms = now_ms - started_at_ms
        if kind is ResponseKind.SUCCESS:
            self._record_success(latency_ms, now_ms)
        if self._restarted_at_ms is not None and started_at_ms < self._restarted_at_ms:
            return None
        self._samples.append(_Sample(now_ms, kind, latency_ms))
        while now_ms - self._samples[0].at_ms >= self._settings.sample_window_ms:
            self._samples.popleft()
        is_due = now_ms - self._evaluated_at_ms >= _EVALUATION_INTERVAL_MS
        is_suspicious = (
            kind is ResponseKind.SHED or latency_ms > self._compute_latency_threshold_ms()
        )
        if now_ms < self._holdoff_until_ms or not is_due or not is_suspicious:
            return None
        self._evaluated_at_ms = now_ms
        return self._evaluate(now_ms)

    def _record_success(self, latency_ms: int, now_ms: int) -> None:
        second = now_ms // _MS_PER_S
        if second not in self._successes_per_second:
            oldest = second - 2 * _GOODPUT_WINDOW_S
            self._successes_per_second = {
                key: count for key, count in self._successes_per_second.items() if key > oldest
            }
        self._successes_per_second[second] = self._successes_per_second.get(second, 0) + 1
        self._success_count += 1
        if self._success_count == 1:
            self._first_second = second
            self._mean_latency_ms = float(latency_ms)
            return
        # Clipped, so that the slow responses after a cold start raise the mean, and with it the
        # threshold for the detection, only gradually.
        clipped_ms = min(
            float(latency_ms), self._settings.latency_factor * self._mean_latency_ms + 1
        )
        step = max(self._settings.latency_smoothing, 1 / self._success_count)
        self._mean_latency_ms += step * (clipped_ms - self._mean_latency_ms)

    def _evaluate(self, now_ms: int) -> ColdStartEvidence | None:
        settings = self._settings
        samples = list(self._samples)
        is_reported_unhealthy = now_ms < self._unhealthy_until_ms
        responses_min = (
            settings.responses_min_unhealthy if is_reported_unhealthy else settings.responses_min
        )
        if len(samples) < responses_min or self._success_count < settings.successes_min:
            return None
        if self._is_cold_by_shedding(samples, responses_min, now_ms):
            return ColdStartEvidence.SHED
        latencies = [sample.latency_ms for sample in self._list_successes(now_ms)]
        if len(latencies) < responses_min:
            return None
        is_slow = sum(latencies) / len(latencies) > self._compute_latency_threshold_ms()
        return ColdStartEvidence.LATENCY if is_slow else None

    def _compute_latency_threshold_ms(self) -> float:
        return self._settings.latency_factor * max(1.0, self._mean_latency_ms)

    def _is_cold_by_shedding(self, samples: list[_Sample], responses_min: int, now_ms: int) -> bool:
        shed_samples = [sample for sample in samples if sample.kind is ResponseKind.SHED]
        if not shed_samples or now_ms - shed_samples[0].at_ms < self._settings.shed_duration_min_ms:
            return False
        samples_since_first_shed = [
            sample for sample in samples if sample.at_ms >= shed_samples[0].at_ms
        ]
        is_ratio_reached = len(shed_samples) >= self._settings.shed_ratio_min * len(
            samples_since_first_shed
        )
        return (
            len(samples_since_first_shed) >= responses_min
            and is_ratio_reached
            and self._is_goodput_low(now_ms)
        )

    def _is_goodput_low(self, now_ms: int) -> bool:
        """Compares the successful responses in `success_window_ms` with the rate before it."""
        window_ms = self._settings.success_window_ms
        window_start_s = (now_ms - window_ms) // _MS_PER_S
        successes_before = sum(
            count
            for second, count in self._successes_per_second.items()
            if window_start_s - _GOODPUT_WINDOW_S <= second < window_start_s
        )
        history_s = min(_GOODPUT_WINDOW_S, window_start_s - self._first_second)
        expected = successes_before / max(1, history_s) * window_ms / _MS_PER_S
        return len(self._list_successes(now_ms)) <= self._settings.goodput_ratio_max * expected

    def _list_successes(self, now_ms: int) -> list[_Sample]:
        oldest_ms = now_ms - self._settings.success_window_ms
        return [s for s in self._samples if s.kind is ResponseKind.SUCCESS and s.at_ms > oldest_ms]
