"""Registry of the reasons for slow or refused requests and abandoned flows."""

from collections.abc import Callable

import msgspec

from catkinspread.records.record import FlowRecord, Record, RequestRecord

# Returns one sentence for a record, which begins in lower case and has no full stop.
DescribeFunction = Callable[[Record], str]


class Reason(msgspec.Struct, frozen=True):
    """Reason for which a record was written, as `register_reason` registers it.

    Attributes:
        code: Stable identifier, `<component>.<reason>`.
        describe: Returns one sentence for a record with this reason; see DescribeFunction.
        hint: Advice to the operator, as one or more sentences.
    """

    code: str
    describe: DescribeFunction
    hint: str


_REASONS: dict[str, Reason] = {}


def register_reason(code: str, hint: str) -> Callable[[DescribeFunction], DescribeFunction]:
    """Returns a decorator that registers a function as the description of a reason.

    Args:
        code: Stable identifier, `<component>.<reason>`.
        hint: Advice to the operator, as one or more sentences.

    Returns:
        The decorator, which returns the function unchanged. It raises ValueError if the code is
        already registered or the hint is empty.
    """

    def register(function: DescribeFunction) -> DescribeFunction:
        if code in _REASONS:
            raise ValueError(f"reason {code!r} is already registered")
        if not hint:
            raise ValueError(f"reason {code!r} has no operator hint")
        _REASONS[code] = Reason(code, function, hint)
        return function

    return register


def find_reason(code: str) -> Reason | None:
    """Returns the reason with a code, or None if the code is not registered."""
    return _REASONS.get(code)


def list_reasons() -> list[Reason]:
    """Returns all reasons, sorted by code."""
    return [_REASONS[code] for code in sorted(_REASONS)]


def describe_record(record: Record) -> str:
    """Returns the sentence that describes a record.

    A record that a newer release wrote may have a reason that is not registered in this one. For
    such a reason, the sentence says that it is unknown.
    """
    reason = find_reason(record.reason)
    if reason is None:
        return f"reason {record.reason!r} is unknown to this release"
    return reason.describe(record)


def _format_upstream(record: Record) -> str:
    return f"upstream {record.upstream!r}" if record.upstream else "the upstream"


def _format_queue_length(record: Record) -> str:
    limits = record.limits
    return "" if limits is None else f" ({limits.queued} requests queued)"


def _format_queue_time(record: Record) -> str:
    return f"{record.timings.queued_ms} ms" if isinstance(record, RequestRecord) else "some time"


@register_reason(
    "limits.queue-full",
    "Add upstreams or raise their weight; check `show upstreams of SERVICE` for one that is slow.",
)
def _describe_queue_full(record: Record) -> str:
    return (
        f"the queue of {_format_upstream(record)} was full of requests of the same or a higher "
        f"priority{_format_queue_length(record)}"
    )


@register_reason(
    "limits.displaced",
    "Add upstreams; under overload, requests of lower priority are shed first by design.",
)
def _describe_displaced(record: Record) -> str:
    return (
        f"it was displaced from the full queue of {_format_upstream(record)} "
        "by a request of higher priority"
    )


@register_reason(
    "limits.expired-on-arrival",
    "Check the time-out and the clock of the caller and its network latency to the instance.",
)
def _describe_expired_on_arrival(record: Record) -> str:
    return "its deadline had passed when it arrived at the instance"


@register_reason(
    "limits.expired-in-queue",
    "Add upstreams, or find out why the upstream answers slowly or sheds requests.",
)
def _describe_expired_in_queue(record: Record) -> str:
    limits = record.limits
    limit = "" if limits is None else f"; its concurrency limit is {limits.concurrent_max}"
    return (
        f"it expired after {_format_queue_time(record)} in the queue of "
        f"{_format_upstream(record)}{limit}"
    )


@register_reason(
    "limits.expired-in-cold-start",
    "Wait for the end of the cold start, or give the upstream fewer slots until then; if it was "
    "not restarted, look for the notice that began the cold start.",
)
def _describe_expired_in_cold_start(record: Record) -> str:
    limits = record.limits
    share = (
        ""
        if limits is None
        else f"; the share of this instance is {limits.share_per_s:.2f} requests per second"
    )
    return (
        f"it expired after {_format_queue_time(record)} in the queue during the cold start of "
        f"{_format_upstream(record)}{share}"
    )


@register_reason(
    "limits.cancelled",
    "No fault of the load balancer; find out why the caller cancelled the request.",
)
def _describe_cancelled(record: Record) -> str:
    return f"its caller cancelled it after {_format_queue_time(record)} in the queue"


@register_reason(
    "limits.upstream-shed",
    "Check whether the upstream is in a cold start or has fewer work slots than configured.",
)
def _describe_upstream_shed(record: Record) -> str:
    return f"{_format_upstream(record)} refused to execute it"


@register_reason(
    "limits.no-answer",
    "Check the connection to the upstream and whether it is running; the request may have been "
    "executed.",
)
def _describe_no_answer(record: Record) -> str:
    return f"{_format_upstream(record)} returned no usable response before the deadline"


@register_reason("limits.upstream-removed", "Drain an upstream before it is removed.")
def _describe_upstream_removed(record: Record) -> str:
    return f"{_format_upstream(record)} was removed while the request was queued"


@register_reason(
    "slow.queue", "Add upstreams, or find out why the upstream answers slowly or sheds requests."
)
def _describe_slow_queue(record: Record) -> str:
    return (
        f"it was answered after {_format_queue_time(record)} in the queue of "
        f"{_format_upstream(record)}"
    )


@register_reason(
    "slow.upstream", "Check the upstream; most of the time passed there, not in the queue."
)
def _describe_slow_upstream(record: Record) -> str:
    upstream_ms = record.timings.upstream_ms if isinstance(record, RequestRecord) else None
    duration = "too late" if upstream_ms is None else f"after {upstream_ms} ms"
    return f"{_format_upstream(record)} responded {duration}"


@register_reason(
    "flow.data-centre-out", "Expected; the command that took the data centre out ended the flow."
)
def _describe_data_centre_out(record: Record) -> str:
    return (
        f"the data centre of {_format_upstream(record)} was taken out at version {record.version}"
    )


@register_reason("flow.upstream-lost", "Check whether the upstream is running and reachable.")
def _describe_upstream_lost(record: Record) -> str:
    return f"{_format_upstream(record)} has no state for the flow or is unreachable"


@register_reason("flow.idle", "Expected; callers keep a flow open by sending packets on it.")
def _describe_idle(record: Record) -> str:
    last_ms = record.last_packet_at_ms if isinstance(record, FlowRecord) else None
    duration = "" if last_ms is None else f" for {record.event_at_ms - last_ms} ms"
    return f"the flow was idle{duration}"
