"""Report of the requests that were not answered, by cause."""

import collections

import msgspec

from catkinspread.explain.causes import find_cause, list_causes
from catkinspread.explain.log_index import LogIndex
from catkinspread.explain.refusals import DESCRIPTIONS, RoomRefusalCount, count_room_refusals

_MS_PER_S = 1_000
_PERCENT = 100


class CauseCount(msgspec.Struct, frozen=True):
    """The requests with one cause.

    Attributes:
        cause: Name of the cause.
        description: What happened.
        count: Number of requests.
        share: Share of all requests without an answer, 0 to 1.
        example: Identifier of the first of them.
    """

    cause: str
    description: str
    count: int
    share: float
    example: str


class FailureReport(msgspec.Struct, frozen=True):
    """Summary of the logs.

    Attributes:
        request_count: Number of requests that were forwarded.
        unanswered_count: Number of those without an answer.
        span_ms: Time that the lines cover, in ms.
        causes: Causes with at least one request, the most frequent first; the shares add up to 1.
        refusals: Number of openings that were refused, by reason. They have no request identifier.
        room_refusals: Those for lack of room, by service and priority.
    """

    request_count: int
    unanswered_count: int
    span_ms: int
    causes: tuple[CauseCount, ...]
    refusals: dict[str, int]
    room_refusals: tuple[RoomRefusalCount, ...]


def build_report(index: LogIndex) -> FailureReport:
    """Assigns each request without an answer to one cause."""
    unanswered = index.list_unanswered()
    counts: collections.Counter[str] = collections.Counter()
    examples: dict[str, str] = {}
    for trace in unanswered:
        name = find_cause(trace, index).name
        counts[name] += 1
        examples.setdefault(name, trace.request)
    descriptions = {cause.name: cause.description for cause in list_causes()}
    causes = tuple(
        CauseCount(name, descriptions[name], count, count / len(unanswered), examples[name])
        for name, count in counts.most_common()
    )
    return FailureReport(
        len(index.traces),
        len(unanswered),
        index.span_ms,
        causes,
        dict(index.refusals),
        count_room_refusals(index),
    )


def format_report(report: FailureReport) -> str:
    """Returns a report as text."""
    lines = [
        f"{report.request_count} requests in {report.span_ms / _MS_PER_S:.1f} s, "
        f"{report.unanswered_count} without an answer"
    ]
    for found in report.causes:
        lines.append(
            f"{found.count:7d} {found.share * _PERCENT:5.1f}%  {found.cause}: {found.description}; "
            f"first: {found.example}"
        )
    for reason, count in sorted(report.refusals.items()):
        description = f": {DESCRIPTIONS[reason]}" if reason in DESCRIPTIONS else ""
        lines.append(f"{count:7d} openings refused: {reason}{description}")
    for found in report.room_refusals:
        lines.append(
            f"{found.count:7d} openings refused for lack of room: service {found.service}, "
            f"priority {found.priority}, {found.reason}"
        )
    return "\n".join(lines)
