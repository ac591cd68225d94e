"""All lines that concern one request, in order."""

from catkinspread.explain.causes import UPSTREAM_LOSS_MAX_MS, find_cause
from catkinspread.explain.log_index import LogIndex
from catkinspread.explain.log_lines import LogLine

# Lines of the opening of the flow come before the request.
OPENING_MAX_MS = 2_000


class RequestUnknownError(Exception):
    """No line names the request."""


def format_request_story(index: LogIndex, request: str) -> str:
    """Returns the lines of a request, its flow and its upstream, and the cause if it failed.

    Raises:
        RequestUnknownError: If no line has the identifier.
    """
    trace = index.traces.get(request)
    if trace is None:
        raise RequestUnknownError(
            f"no line has the request {request!r}; a request whose flow never opened has none"
        )
    forwarded = trace.forwarded
    lines = [line.text for line in index.lines if _concerns(line, forwarded)]
    if trace.is_answered:
        return "\n".join([*lines, "answered"])
    cause = find_cause(trace, index)
    return "\n".join([*lines, f"{cause.name}: {cause.description}"])


def _concerns(line: LogLine, forwarded: LogLine) -> bool:
    if line.request == forwarded.request:
        return True
    age_ms = line.at_ms - forwarded.at_ms
    if not -OPENING_MAX_MS <= age_ms <= UPSTREAM_LOSS_MAX_MS:
        return False
    is_same_flow = line.flow == forwarded.flow and not line.request
    is_upstream_change = line.name == forwarded.upstream and line.event != "request"
    is_restart = line.instance == forwarded.instance and line.event in ("started", "leaving")
    return is_same_flow or is_upstream_change or is_restart
