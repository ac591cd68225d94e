"""The retry budget and the retry policy."""

import random

import msgspec

from catkinspread.requests.parameters import RequestParameters

RETRY_WINDOW_MS = 10_000
RETRY_RATIO_MAX = 0.1
# Counting per one-second interval keeps the memory per service constant. The effective window
# is 9 to 10 s long.
_INTERVAL_MS = 1_000
_INTERVAL_COUNT = RETRY_WINDOW_MS // _INTERVAL_MS


class _Interval(msgspec.Struct, eq=False):
    number: int = -1
    request_count: int = 0
    retry_count: int = 0


class RetryBudget:
    """Limits the retries of each service in relation to its first attempts.

    A retry is allowed if the retries amount to at most RETRY_RATIO_MAX of the first attempts in
    the last 9 to 10 s.

    Attributes:
        denied_count: Number of retries that the budget did not allow.
    """

    __slots__ = ("_intervals", "denied_count")

    def __init__(self) -> None:
        self._intervals: dict[str, list[_Interval]] = {}
        self.denied_count = 0

    def record_request(self, service: str, now_ms: int) -> None:
        """Counts the first attempt of a request."""
        self._get_current_interval(service, now_ms).request_count += 1

    def try_acquire(self, service: str, now_ms: int) -> bool:
        """Returns whether the budget allows a retry, and counts the retry if so."""
        oldest = now_ms // _INTERVAL_MS - _INTERVAL_COUNT + 1
        recent = [
            interval for interval in self._intervals.get(service, ()) if interval.number >= oldest
        ]
        request_count = sum(interval.request_count for interval in recent)
        retry_count = sum(interval.retry_count for interval in recent)
        if retry_count + 1 > RETRY_RATIO_MAX * request_count:
            self.denied_count += 1
            return False
        self._get_current_interval(service, now_ms).retry_count += 1
        return True

    def retain_services(self, services: frozenset[str]) -> None:
        """Removes the counts of services that no longer exist."""
        for service in self._intervals.keys() - services:
            del self._intervals[service]

    def _get_current_interval(self, service: str, now_ms: int) -> _Interval:
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
    """Determines whether and when one instance retries a request.

    It must be consulted only for requests that may be sent again: idempotent requests, and
    requests that the upstream shed.
    """

    __slots__ = ("_parameters", "_random", "budget")

    def __init__(
        self, parameters: RequestParameters, budget: RetryBudget, random_source: random.Random
    ) -> None:
        self._parameters = parameters
        self._random = random_source
        self.budget = budget

    def plan_retry(self, service: str, attempt: int, deadline_ms: int, now_ms: int) -> int | None:
        """Returns the time of the next attempt in ms since the Unix epoch, or None for no retry.

        The delay is drawn uniformly between 1 ms and an upper bound that doubles with each
        attempt, so that requests that were shed together are not retried at the same time.

        Args:
            service: Service whose retry budget applies.
            attempt: Number of the attempt that failed, from 1.
            deadline_ms: Deadline of the request, in ms since the Unix epoch.
            now_ms: Current wall-clock time in ms since the Unix epoch.
        """
        if attempt >= self._parameters.attempts_max:
            return None
        delay_max_ms = self._parameters.backoff_base_ms << (attempt - 1)
        delay_ms = self._random.randint(1, min(delay_max_ms, self._parameters.backoff_max_ms))
        if now_ms + delay_ms >= deadline_ms:
            return None
        return now_ms + delay_ms if self.budget.try_acquire(service, now_ms) else None
