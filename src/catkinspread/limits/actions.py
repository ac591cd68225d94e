"""Outcomes and actions of admission control for one upstream."""

import enum

import msgspec

from catkinspread.limits.messages import ColdStartNotice
from catkinspread.limits.queue import WorkItem


class RefusalReason(enum.Enum):
    """Why a request was refused, expired or cancelled.

    QUEUE_FULL: the queue was full of requests of the same or a higher priority.
    DISPLACED: a request of higher priority took its place in the queue.
    EXPIRED_ON_ARRIVAL: its deadline had passed when it was submitted.
    EXPIRED_IN_QUEUE: it waited in the queue until it could no longer be answered in time.
    EXPIRED_IN_COLD_START: the same during a cold start, while the concurrency limit was not
        reached.
    CANCELLED: its caller cancelled it.
    UPSTREAM_SHED: the upstream refused to execute it.
    NO_ANSWER: it was sent, and the upstream returned no usable response.
    UPSTREAM_REMOVED: the upstream was removed while the request was queued.
    """

    QUEUE_FULL = "limits.queue-full"
    DISPLACED = "limits.displaced"
    EXPIRED_ON_ARRIVAL = "limits.expired-on-arrival"
    EXPIRED_IN_QUEUE = "limits.expired-in-queue"
    EXPIRED_IN_COLD_START = "limits.expired-in-cold-start"
    CANCELLED = "limits.cancelled"
    UPSTREAM_SHED = "limits.upstream-shed"
    NO_ANSWER = "limits.no-answer"
    UPSTREAM_REMOVED = "limits.upstream-removed"


class RefusalStatus(enum.Enum):
    """Execution status that may be reported to the caller of a refused request.

    NOT_RUN: the request is idempotent and was never sent to the upstream by this instance.
    REQUEST_LAYER: admission control does not determine the status; the request layer does, from
        the claim of the request or its retry budget. A claim is a written statement that one
        instance alone handles a request; see docs/design.md, section 6, and docs/requests.md.
    OUTCOME_UNKNOWN: the request was sent to the upstream, which did not return a usable response.
    """

    NOT_RUN = "not-run"
    REQUEST_LAYER = "request-layer"
    OUTCOME_UNKNOWN = "outcome-unknown"


class RequestOutcome(enum.Enum):
    """How a request that was sent to the upstream ended.

    SUCCEEDED: the upstream returned a response.
    SHED: the upstream refused to execute the request.
    FAILED: there is no usable response, because the connection to the upstream was lost or the
        response could not be decoded. The request is refused with NO_ANSWER, as is one whose
        response is overdue.
    """

    SUCCEEDED = "good"
    SHED = "shed"
    FAILED = "failed"


class CurrentLimits(msgspec.Struct, frozen=True):
    """Snapshot of the limits that one instance applies to one upstream.

    Attributes:
        cap_per_s: Rate cap of all instances together, in request starts per second.
        share_per_s: Share of the cap that this instance may use, in request starts per second.
        instances_known: Number of known instances, which the cap is divided by.
        concurrent_max: Maximum number of concurrent requests.
        concurrent: Number of requests in flight.
        pause_ms: Pause between the end of a request and the start of the next one.
        queued: Number of requests in the queue.
        is_warming: Whether the rate limit of a cold start applies; it does until CAP_LAG_MS after
            the warm-up time.
    """

    cap_per_s: float
    share_per_s: float
    instances_known: int
    concurrent_max: int
    concurrent: int
    pause_ms: int
    queued: int
    is_warming: bool


class StartRequest(msgspec.Struct, frozen=True):
    """Send the request to the upstream now."""

    work: WorkItem


class RequestQueued(msgspec.Struct, frozen=True):
    """Notification that the request was queued; no action is required."""

    work: WorkItem


class RefuseRequest(msgspec.Struct, frozen=True):
    """Report to the caller that the request was refused.

    Unlike with `ExpireRequest`, the request may have been sent to the upstream.

    Attributes:
        work: The request.
        reason: Why it was refused.
        status: Execution status that may be reported to the caller.
    """

    work: WorkItem
    reason: RefusalReason
    status: RefusalStatus


class ExpireRequest(msgspec.Struct, frozen=True):
    """Discard a request that cannot be answered before its deadline and was never sent.

    Unlike with `RefuseRequest`, the deadline is the only reason, and the caller may have stopped
    waiting for a response.

    Attributes:
        work: The request.
        reason: When it expired: on arrival, in the queue or during a cold start.
        status: Execution status that may be reported to a caller that is still connected.
    """

    work: WorkItem
    reason: RefusalReason
    status: RefusalStatus


class CancelRequest(msgspec.Struct, frozen=True):
    """Send a cancellation to the upstream.

    With NO_ANSWER, a `RefuseRequest` for the same request follows and ends it for the caller.
    With CANCELLED, nothing is reported yet: the request stays in flight until `complete` is
    called or the response is overdue.

    Attributes:
        work: The request, which is in flight.
        reason: CANCELLED if the caller cancelled it, NO_ANSWER if the response is overdue.
    """

    work: WorkItem
    reason: RefusalReason


class BroadcastNotice(msgspec.Struct, frozen=True):
    """Distribute the notice to all instances by gossip."""

    notice: ColdStartNotice


class ReplyWithNotice(msgspec.Struct, frozen=True):
    """Send the current notice to the peer that sent a stale one."""

    notice: ColdStartNotice


class ScheduleTick(msgspec.Struct, frozen=True):
    """Call `tick` at `at_ms`, in ms since the epoch.

    A later ScheduleTick replaces this one; other calls leave it in force.
    """

    at_ms: int


AdmissionAction = (
    StartRequest
    | RequestQueued
    | RefuseRequest
    | ExpireRequest
    | CancelRequest
    | BroadcastNotice
    | ReplyWithNotice
    | ScheduleTick
)


def determine_refusal_status(work: WorkItem, was_sent: bool) -> RefusalStatus:
    """Returns the execution status that may be reported for a request that was not served.

    Args:
        work: The request.
        was_sent: Whether this instance sent it to the upstream, which returned no usable response.
    """
    if not work.is_idempotent:
        return RefusalStatus.REQUEST_LAYER
    return RefusalStatus.OUTCOME_UNKNOWN if was_sent else RefusalStatus.NOT_RUN
