"""Causes of requests without an answer, from the strongest evidence to the weakest."""

from collections.abc import Callable

import msgspec

from catkinspread.explain.log_index import LogIndex, RequestTrace

# A request waits for seconds at most, so an instance that was lost with it has started again, and the
# record of an upstream that was lost with it has disappeared, by then.
INSTANCE_RESTART_MAX_MS = 5_000
UPSTREAM_LOSS_MAX_MS = 10_000

CauseCheck = Callable[[RequestTrace, LogIndex], bool]


class Cause(msgspec.Struct, frozen=True):
    """A cause and how it shows.

    Attributes:
        name: Short name.
        description: What happened, in one sentence.
        applies: Whether the logs show the cause for a request.
    """

    name: str
    description: str
    applies: CauseCheck


UNKNOWN = Cause("unknown", "no line says why the request was not answered", lambda _, __: True)
_causes: list[Cause] = []


def register_cause(name: str, description: str) -> Callable[[CauseCheck], CauseCheck]:
    """Registers the decorated check; the first registered cause that applies is reported."""

    def register(check: CauseCheck) -> CauseCheck:
        _causes.append(Cause(name, description, check))
        return check

    return register


def list_causes() -> tuple[Cause, ...]:
    """Returns all causes in the order in which they are checked."""
    return (*_causes, UNKNOWN)


def find_cause(trace: RequestTrace, index: LogIndex) -> Cause:
    """Returns the first cause that applies to a request without an answer."""
    return next(cause for cause in list_causes() if cause.applies(trace, index))


@register_cause("reset_unreachable", "the flow was reset, because its upstream was unreachable")
def _was_reset_as_unreachable(trace: RequestTrace, _: LogIndex) -> bool:
    return trace.reset is not None and trace.reset.reason == "upstream_unreachable"


@register_cause("reset_gone", "the flow was reset, because its upstream was gone")
def _was_reset_as_gone(trace: RequestTrace, _: LogIndex) -> bool:
    return trace.reset is not None


@register_cause("instance_lost", "the instance ended while the request waited, and started again")
def _was_instance_lost(trace: RequestTrace, index: LogIndex) -> bool:
    line = trace.forwarded
    return index.was_instance_lost(line.instance, line.at_ms, INSTANCE_RESTART_MAX_MS)


@register_cause("upstream_lost", "the upstream disappeared while the request waited")
def _was_upstream_lost(trace: RequestTrace, index: LogIndex) -> bool:
    line = trace.forwarded
    return index.was_upstream_lost(line.upstream, line.at_ms, UPSTREAM_LOSS_MAX_MS)


@register_cause("no_answer", "the caller closed, or the route's time passed, without an answer")
def _was_abandoned(trace: RequestTrace, _: LogIndex) -> bool:
    return trace.abandoned is not None
