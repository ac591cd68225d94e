"""The retry budget and the decision whether and when a request is sent again."""

import random

import msgspec

from catkinspread.requests.parameters import RequestParameters

RETRY_WINDOW_MS = 10_000
RETRY_RATIO_MAX = 0.1
# One-second intervals keep the memory of a service constant; the window is then 9 to 10 s long.
_INTERVAL_MS = 1_000
_INTERVAL_COUNT = RETRY_WINDOW_MS // _INTERVAL_MS


class _Interval(msgspec.Struct, eq=False):
    number: int = -1
    request_count: int = 0
    retry_count: int = 0


class RetryBudget:
    """Allows retries up to a share of the requests of the last 10 s, for each service.

    Attributes:
        refused_count: Retries that the budget did not allow.
    """

    __slots__ = ("_intervals", "refused_count")

    def __init__(self) -> None:
        self._intervals: dict[str, list[_Interval]] = {}
        self.refused_count = 0

    def record_request(self, service: str, now_ms: int) -> None:
        """Counts the first send of a request."""
        self._find_interval(service, now_ms).request_count += 1

    def try_spend(self, service: str, now_ms: int) -> bool:
        """Counts a retry if the budget allows it, and returns whether it does."""
        oldest = now_ms // _INTERVAL_MS - _INTERVAL_COUNT + 1
        recent = [
            interval for interval in self._intervals.get(service, ()) if interval.number >= oldest
        ]
        request_count = sum(interval.request_count for interval in recent)
        retry_count = sum(interval.retry_count for interval in recent)
        if retry_count + 1 > RETRY_RATIO_MAX * request_count:
            self.refused_count += 1
            return False
        self._find_interval(service, now_ms).retry_count += 1
        return True

    def retain_services(self, services: frozenset[str]) -> None:
        """Forgets services that no longer exist."""
        for service in self._intervals.keys() - services:
            del self._intervals[service]

    def _find_interval(self, service: str, now_ms: int) -> _Interval:
        intervals = self._intervals.setdefault(
            service, [_Interval() for _ in range(_INTERVAL_COUNT)]
        )
        number = now_ms // _INTERVAL_MS
        interval = intervals[number % _INTERVAL_COUNT]
        if interval.number != number:
            interval.number = number
            interval.request_count = 0
            interval.retry_count = 0
        return interval


class RetryPolicy:
    """Decides about retries of one instance.

    The caller only asks about requests that may be sent again: idempotent ones, and ones that
    the upstream shed.
    """

    __slots__ = ("_parameters", "_random", "budget")

    def __init__(
        self, parameters: RequestParameters, budget: RetryBudget, random_source: random.Random
    ) -> None:
        self._parameters = parameters
        self._random = random_source
        self.budget = budget

    def plan_retry(self, service: str, attempt: int, deadline_ms: int, now_ms: int) -> int | None:
        """Returns when to send a request again, in ms, or None if it must not be.

        The pause is drawn evenly from 1 ms to an upper end that doubles with each attempt, so
        that requests shed together do not come back together.

        Args:
            service: Whose budget is used.
            attempt: Number of the attempt that failed, from 1.
            deadline_ms: Deadline of the request.
            now_ms: The time.
        """
        if attempt >= self._parameters.attempts_max:
            return None
        upper_ms = self._parameters.backoff_base_ms << (attempt - 1)
        pause_ms = self._random.randint(1, min(upper_ms, self._parameters.backoff_max_ms))
        if now_ms + pause_ms >= deadline_ms:
            return None
        return now_ms + pause_ms if self.budget.try_spend(service, now_ms) else None
