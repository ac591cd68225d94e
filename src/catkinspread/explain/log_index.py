"""Index of log lines by request, flow, instance and upstream."""

import bisect
import collections
from collections.abc import Iterable

from catkinspread.explain.log_lines import LogLine

_ABANDONED_EVENTS = ("request_abandoned", "caller_gave_up")
_UPSTREAM_LOST_DETAILS = ("missing", "removed")


class RequestTrace:
    """What the logs say about one request.

    Attributes:
        request: Identifier of the request.
        forwarded: The line of its first forwarding.
        is_answered: Whether an instance saw an answer.
        reset: The line of the reset of its flow while it waited; None if there was none.
        abandoned: The line that ended the wait for an answer; None if there was none.
    """

    __slots__ = ("abandoned", "forwarded", "is_answered", "request", "reset")

    def __init__(self, forwarded: LogLine) -> None:
        self.request = forwarded.request
        self.forwarded = forwarded
        self.is_answered = False
        self.reset: LogLine | None = None
        self.abandoned: LogLine | None = None


class LogIndex:
    """Lines of all instances in the order of their times.

    The clocks of instances differ, so the order of lines of different instances is approximate.

    Attributes:
        lines: All lines.
        traces: Requests by identifier.
        refusals: Number of refused openings by reason.
        room_refusals: Number of those for lack of room by service, priority and reason.
    """

    __slots__ = (
        "_admission_changes",
        "_starts",
        "_stops",
        "_upstream_losses",
        "lines",
        "refusals",
        "room_refusals",
        "traces",
    )

    def __init__(self, lines: Iterable[LogLine]) -> None:
        self.lines = sorted(lines, key=lambda line: line.at_ms)
        self.traces: dict[str, RequestTrace] = {}
        self.refusals: collections.Counter[str] = collections.Counter()
        self.room_refusals: collections.Counter[tuple[str, int | None, str]] = collections.Counter()
        self._admission_changes: dict[tuple[str, str], list[LogLine]] = collections.defaultdict(
            list
        )
        self._starts: dict[str, list[int]] = collections.defaultdict(list)
        self._stops: dict[str, list[int]] = collections.defaultdict(list)
        self._upstream_losses: dict[str, list[int]] = collections.defaultdict(list)
        for line in self.lines:
            self._add_process_line(line)
            self._add_upstream_line(line)
            self._add_admission_line(line)
            self._add_request_line(line)

    @property
    def span_ms(self) -> int:
        """Time from the first to the last line in ms; 0 without lines."""
        return self.lines[-1].at_ms - self.lines[0].at_ms if self.lines else 0

    def list_unanswered(self) -> list[RequestTrace]:
        """Returns the requests without an answer, in the order in which they were forwarded."""
        return [trace for trace in self.traces.values() if not trace.is_answered]

    def was_instance_lost(self, instance: str, at_ms: int, within_ms: int) -> bool:
        """Whether an instance started again after a time without having announced its end."""
        start_ms = _find_first(self._starts[instance], at_ms, within_ms)
        if start_ms is None:
            return False
        stop_ms = _find_first(self._stops[instance], at_ms, within_ms)
        return stop_ms is None or stop_ms > start_ms

    def was_upstream_lost(self, name: str, at_ms: int, within_ms: int) -> bool:
        """Whether the record of an upstream disappeared after a time."""
        return _find_first(self._upstream_losses[name], at_ms, within_ms) is not None

    def find_admission_change(self, instance: str, service: str, at_ms: int) -> LogLine | None:
        """Returns the last admission change that an instance logged for a service until a time."""
        changes = self._admission_changes[instance, service]
        count = bisect.bisect_right(changes, at_ms, key=lambda line: line.at_ms)
        return changes[count - 1] if count else None

    def _add_process_line(self, line: LogLine) -> None:
        if line.event == "started":
            self._starts[line.instance].append(line.at_ms)
        elif line.event == "leaving":
            self._stops[line.instance].append(line.at_ms)

    def _add_upstream_line(self, line: LogLine) -> None:
        is_lost = line.event == "state_changed" and line.detail in _UPSTREAM_LOST_DETAILS
        if is_lost or line.event in ("upstream_gone", "upstream_unreachable"):
            self._upstream_losses[line.name].append(line.at_ms)

    def _add_admission_line(self, line: LogLine) -> None:
        if line.event == "admission_changed":
            self._admission_changes[line.instance, line.service].append(line)
        elif line.event == "flow_refused":
            self.refusals[line.reason] += 1
            if line.service:
                self.room_refusals[line.service, line.priority, line.reason] += 1

    def _add_request_line(self, line: LogLine) -> None:
        if not line.request:
            return
        if line.event == "request":
            self.traces.setdefault(line.request, RequestTrace(line))
        trace = self.traces.get(line.request)
        if trace is None:
            return  # The line of the request itself was dropped by the rate limit of the log.
        if line.event == "answered":
            trace.is_answered = True
        elif line.event == "flow_reset":
            trace.reset = line
        elif line.event in _ABANDONED_EVENTS:
            trace.abandoned = line


def _find_first(times_ms: list[int], after_ms: int, within_ms: int) -> int | None:
    """Returns the first of sorted times that is at most `within_ms` after a time."""
    index = bisect.bisect_left(times_ms, after_ms)
    if index == len(times_ms) or times_ms[index] - after_ms > within_ms:
        return None
    return times_ms[index]
