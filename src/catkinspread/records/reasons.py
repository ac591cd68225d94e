"""The registry of reasons for which requests are slow or refused and flows are given up."""

from collections.abc import Callable

import msgspec

from catkinspread.records.record import FlowRecord, Record, RequestRecord

DescribeFunction = Callable[[Record], str]


class Reason(msgspec.Struct, frozen=True):
    """A reason that records may name.

    Attributes:
        code: Stable name, `<part>.<reason>`.
        describe: Returns one sentence for a record with this reason.
        hint: What an operator can do about it.
    """

    code: str
    describe: DescribeFunction
    hint: str


_REASONS: dict[str, Reason] = {}


def register_reason(code: str, hint: str) -> Callable[[DescribeFunction], DescribeFunction]:
    """Returns a decorator that adds a reason; the function returns its sentence.

    Args:
        code: Stable name, `<part>.<reason>`.
        hint: What an operator can do about it, as a sentence.

    Raises:
        ValueError: If the code is taken or the hint is empty.
    """

    def add(function: DescribeFunction) -> DescribeFunction:
        if code in _REASONS:
            raise ValueError(f"reason {code!r} is registered twice")
        if not hint:
            raise ValueError(f"reason {code!r} has no operator hint")
        _REASONS[code] = Reason(code, function, hint)
        return function

    return add


def find_reason(code: str) -> Reason | None:
    """Returns the reason of a code, or None if it is not registered."""
    return _REASONS.get(code)


def list_reasons() -> list[Reason]:
    """Returns all reasons in order of their code."""
    return [_REASONS[code] for code in sorted(_REASONS)]


def describe_record(record: Record) -> str:
    """Returns the sentence of a record; records of newer releases may have unknown reasons."""
    reason = find_reason(record.reason)
    if reason is None:
        return f"reason {record.reason!r} is not known to this release"
    return reason.describe(record)


def _format_upstream(record: Record) -> str:
    return f"upstream {record.upstream!r}" if record.upstream else "the upstream"


def _format_queue_length(record: Record) -> str:
    limits = record.limits
    return "" if limits is None else f" ({limits.queued} requests waited)"


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
    "Load of higher priority needs more upstreams; lower priorities are shed first by design.",
)
def _describe_displaced(record: Record) -> str:
    return f"a request of higher priority took its place in the full queue of {_format_upstream(record)}"


@register_reason(
    "limits.expired-on-arrival",
    "Check the timeout and the clock of the caller and the delay between it and the instance.",
)
def _describe_expired_on_arrival(record: Record) -> str:
    return "its deadline had passed when it reached the instance"


@register_reason(
    "limits.expired-in-queue",
    "Add upstreams, or find out why the upstream answers slowly or sheds requests.",
)
def _describe_expired_in_queue(record: Record) -> str:
    limits = record.limits
    running = "" if limits is None else f"; {limits.concurrent_max} requests may run at once"
    return (
        f"it waited {_format_queue_time(record)} for a place on {_format_upstream(record)}{running}"
    )


@register_reason(
    "limits.expired-in-cold-start",
    "Wait for the end of the ramp, or give the upstream fewer slots until then; if it was not "
    "restarted, look for the notice that restarted the ramp.",
)
def _describe_expired_in_cold_start(record: Record) -> str:
    limits = record.limits
    share = "" if limits is None else f" of {limits.share_per_s:.2f} requests per second"
    return (
        f"it waited {_format_queue_time(record)} while {_format_upstream(record)} warmed up with a "
        f"share{share}"
    )


@register_reason("limits.cancelled", "Nothing is wrong here; look at why the caller gave up.")
def _describe_cancelled(record: Record) -> str:
    return f"the caller cancelled it after {_format_queue_time(record)} in the queue"


@register_reason(
    "limits.upstream-shed",
    "Check whether the upstream became cold or has fewer work slots than configured.",
)
def _describe_upstream_shed(record: Record) -> str:
    return f"{_format_upstream(record)} refused to start it"


@register_reason(
    "limits.no-answer",
    "Check the link to the upstream and whether it still runs; the request may have run.",
)
def _describe_no_answer(record: Record) -> str:
    return f"{_format_upstream(record)} gave no usable answer before the deadline"


@register_reason("limits.upstream-removed", "Drain an upstream before it is removed.")
def _describe_upstream_removed(record: Record) -> str:
    return f"{_format_upstream(record)} was removed while the request waited for it"


@register_reason(
    "slow.queue", "Add upstreams, or find out why the upstream answers slowly or sheds requests."
)
def _describe_slow_queue(record: Record) -> str:
    return (
        f"it was answered, but waited {_format_queue_time(record)} for {_format_upstream(record)}"
    )


@register_reason("slow.upstream", "Look at the upstream; the instance did not delay the request.")
def _describe_slow_upstream(record: Record) -> str:
    upstream_ms = record.timings.upstream_ms if isinstance(record, RequestRecord) else None
    return f"{_format_upstream(record)} took {upstream_ms} ms for its answer"


@register_reason(
    "flow.data-centre-out", "The flow ended by the command that took the data centre out."
)
def _describe_data_centre_out(record: Record) -> str:
    return (
        f"the data centre of {_format_upstream(record)} was taken out at version {record.version}"
    )


@register_reason("flow.upstream-lost", "Check whether the upstream runs and is reachable.")
def _describe_upstream_lost(record: Record) -> str:
    return f"{_format_upstream(record)} no longer knows the flow or is gone"


@register_reason(
    "flow.idle", "Nothing is wrong here; callers keep a flow open by sending packets on it."
)
def _describe_idle(record: Record) -> str:
    last_ms = record.last_packet_at_ms if isinstance(record, FlowRecord) else None
    since = "" if last_ms is None else f" for {record.recorded_at_ms - last_ms} ms"
    return f"the flow was silent{since}"
