"""Notices that an upstream became cold without an announcement."""

import collections
import enum

import msgspec


class ResponseKind(enum.Enum):
    """How the upstream ended a request."""

    SUCCESS = "good"
    SHED = "shed"


class ColdStartEvidence(enum.Enum):
    """What a cold turn was noticed from."""

    SHED = "shed"
    LATENCY = "latency"


class DetectorSettings(msgspec.Struct, frozen=True):
    """Thresholds of the detector.

    Attributes:
        window_ms: Only shed answers this recent are evidence; long enough for
            `responses_min` tries at the longest pause of the limiter.
        good_window_ms: Good answers this recent are compared with the usual ones.
        responses_min: Answers needed in the window.
        supported_min: Answers needed while an endpoint reports the upstream as unhealthy.
        shed_share: Share of shed answers from which a turn is noticed.
        latency_factor: Ratio of mean latency to the moving average from which it is noticed.
        baseline_min: Good answers needed before the moving average counts.
        baseline_step: Weight of one answer in the moving average.
        persist_ms: Time that shed answers must go on.
        goodput_factor: Shed answers count only while good answers come at most at this share
            of their usual rate. An upstream that sheds because of overload goes on answering
            what it bears; one that became cold does not.
        holdoff_ms: No second turn is noticed for this long after a restart.
        holdoff_max_ms: Upper bound of the hold-off, which doubles with each restart.
        calm_ms: Time without a restart after which the hold-off is short again.
        hint_ms: How long a report of an endpoint supports other evidence.
    """

    window_ms: int = 6_000
    good_window_ms: int = 2_000
    responses_min: int = 6
    supported_min: int = 4
    shed_share: float = 0.5
    latency_factor: float = 3.0
    baseline_min: int = 20
    baseline_step: float = 0.02
    persist_ms: int = 250
    goodput_factor: float = 0.25
    holdoff_ms: int = 5_000
    holdoff_max_ms: int = 80_000
    calm_ms: int = 600_000
    hint_ms: int = 5_000


class _Sample(msgspec.Struct, frozen=True):
    at_ms: int
    kind: ResponseKind
    latency_ms: int


_GOODPUT_MEMORY_S = 30
# Bounds the cost at high rates; judging takes time in proportion to the answers of the window.
_JUDGE_INTERVAL_MS = 50
_MS_PER_S = 1_000


class ColdStartDetector:
    """Decides from the answers of one upstream whether it became cold.

    Health and load endpoints lag or mislead. Their reports only lower the number of answers
    that is needed and decide nothing alone. After a restart of the ramp the hold-off keeps
    answers to the same event, or an upstream that alternates, from restarting it at once.
    """

    __slots__ = (
        "_baseline_count",
        "_baseline_ms",
        "_first_second",
        "_good_per_second",
        "_hint_until_ms",
        "_holdoff_ms",
        "_holdoff_until_ms",
        "_judged_at_ms",
        "_restarted_at_ms",
        "_samples",
        "_settings",
    )

    def __init__(self, settings: DetectorSettings | None = None) -> None:
        self._settings = settings or DetectorSettings()
        self._samples: collections.deque[_Sample] = collections.deque()
        self._first_second = 0
        self._good_per_second: dict[int, int] = {}
        self._baseline_ms = 0.0
        self._baseline_count = 0
        self._hint_until_ms = -1
        self._restarted_at_ms: int | None = None
        self._holdoff_ms = self._settings.holdoff_ms
        self._holdoff_until_ms = -1
        self._judged_at_ms = -_JUDGE_INTERVAL_MS

    @property
    def baseline_ms(self) -> float:
        """Moving average of the latency of good answers in ms."""
        return self._baseline_ms

    def record_health_report(self, is_healthy: bool, now_ms: int) -> None:
        """Notes what a health or load endpoint reports; this never decides alone."""
        self._hint_until_ms = -1 if is_healthy else now_ms + self._settings.hint_ms

    def record_restart(self, now_ms: int) -> None:
        """Notes that the ramp was restarted, by this instance or by a notice."""
        settings = self._settings
        last_ms = self._restarted_at_ms
        if last_ms is not None and now_ms - last_ms < settings.calm_ms:
            self._holdoff_ms = min(settings.holdoff_max_ms, 2 * self._holdoff_ms)
        else:
            self._holdoff_ms = settings.holdoff_ms
        self._restarted_at_ms = now_ms
        self._holdoff_until_ms = now_ms + self._holdoff_ms
        self._samples.clear()

    def record_response(
        self, kind: ResponseKind, started_at_ms: int, now_ms: int
    ) -> ColdStartEvidence | None:
        """Notes an answer.

        Args:
            kind: How the request ended.
            started_at_ms: When it was sent to the upstream.
            now_ms: When the answer came.

        Returns:
            The evidence if the upstream became cold, else None.
        """
        latency_ms = now_ms - started_at_ms
        if kind is ResponseKind.SUCCESS:
            self._note_good(latency_ms, now_ms)
        if self._restarted_at_ms is not None and started_at_ms < self._restarted_at_ms:
            return None
        self._samples.append(_Sample(now_ms, kind, latency_ms))
        while now_ms - self._samples[0].at_ms >= self._settings.window_ms:
            self._samples.popleft()
        is_due = now_ms - self._judged_at_ms >= _JUDGE_INTERVAL_MS
        is_suspect = kind is ResponseKind.SHED or latency_ms > self._compute_threshold_ms()
        if now_ms < self._holdoff_until_ms or not is_due or not is_suspect:
            return None
        self._judged_at_ms = now_ms
        return self._judge(now_ms)

    def _note_good(self, latency_ms: int, now_ms: int) -> None:
        second = now_ms // _MS_PER_S
        if second not in self._good_per_second:
            oldest = second - 2 * _GOODPUT_MEMORY_S
            self._good_per_second = {
                key: count for key, count in self._good_per_second.items() if key > oldest
            }
        self._good_per_second[second] = self._good_per_second.get(second, 0) + 1
        self._baseline_count += 1
        if self._baseline_count == 1:
            self._first_second = second
            self._baseline_ms = float(latency_ms)
            return
        # Clipped, so that the slow answers of a cold turn do not become the normal case.
        clipped_ms = min(float(latency_ms), self._settings.latency_factor * self._baseline_ms + 1)
        step = max(self._settings.baseline_step, 1 / self._baseline_count)
        self._baseline_ms += step * (clipped_ms - self._baseline_ms)

    def _judge(self, now_ms: int) -> ColdStartEvidence | None:
        settings = self._settings
        recent = list(self._samples)
        is_supported = now_ms < self._hint_until_ms
        needed = settings.supported_min if is_supported else settings.responses_min
        if len(recent) < needed or self._baseline_count < settings.baseline_min:
            return None
        if self._is_shedding(recent, needed, now_ms):
            return ColdStartEvidence.SHED
        latencies = [sample.latency_ms for sample in self._list_good(now_ms)]
        if len(latencies) < needed:
            return None
        is_slow = sum(latencies) / len(latencies) > self._compute_threshold_ms()
        return ColdStartEvidence.LATENCY if is_slow else None

    def _compute_threshold_ms(self) -> float:
        return self._settings.latency_factor * max(1.0, self._baseline_ms)

    def _is_shedding(self, recent: list[_Sample], needed: int, now_ms: int) -> bool:
        shed = [sample for sample in recent if sample.kind is ResponseKind.SHED]
        if not shed or now_ms - shed[0].at_ms < self._settings.persist_ms:
            return False
        since = [sample for sample in recent if sample.at_ms >= shed[0].at_ms]
        is_most = len(shed) >= self._settings.shed_share * len(since)
        return len(since) >= needed and is_most and self._is_goodput_low(now_ms)

    def _is_goodput_low(self, now_ms: int) -> bool:
        """Compares the good answers of the window with those of the seconds before it."""
        window_ms = self._settings.good_window_ms
        last = (now_ms - window_ms) // _MS_PER_S
        before = sum(
            count
            for second, count in self._good_per_second.items()
            if last - _GOODPUT_MEMORY_S <= second < last
        )
        known_s = min(_GOODPUT_MEMORY_S, last - self._first_second)
        usual = before / max(1, known_s) * window_ms / _MS_PER_S
        return len(self._list_good(now_ms)) <= self._settings.goodput_factor * usual

    def _list_good(self, now_ms: int) -> list[_Sample]:
        oldest_ms = now_ms - self._settings.good_window_ms
        return [s for s in self._samples if s.kind is ResponseKind.SUCCESS and s.at_ms > oldest_ms]
