"""Outcomes and actions of admission control for one upstream."""

import enum

import msgspec

from catkinspread.limits.messages import ColdStartNotice
from catkinspread.limits.queue import WorkItem


class RefusalReason(enum.Enum):
    """Why a request did not get a response from the upstream."""

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
    REQUEST_LAYER: the request layer decides, from the claim of the request or its retry budget
        (design, section 6).
    OUTCOME_UNKNOWN: the request was sent to the upstream, which did not return a usable response.
    """

    NOT_RUN = "not-run"
    REQUEST_LAYER = "request-layer"
    OUTCOME_UNKNOWN = "outcome-unknown"


class RequestOutcome(enum.Enum):
    """How a request that was sent to the upstream ended.

    SUCCEEDED: the upstream returned a response.
    SHED: the upstream refused to execute the request.
    FAILED: the flow was interrupted or the response was unusable.
    """

    SUCCEEDED = "good"
    SHED = "shed"
    FAILED = "failed"


class CurrentLimits(msgspec.Struct, frozen=True):
    """Snapshot of the limits that one instance applies to one upstream.

    Attributes:
        cap_per_s: Rate cap of all instances together.
        share_per_s: Share of the cap that this instance may use.
        instances_known: Number of instances that the cap is divided by.
        concurrent_max: Maximum number of concurrent requests.
        concurrent: Number of requests in flight.
        pause_ms: Pause between the end of a request and the start of the next one.
        queued: Number of requests in the queue.
        is_warming: Whether the cold start ramp is in progress.
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
    """The request was queued; no action is required."""

    work: WorkItem


class RefuseRequest(msgspec.Struct, frozen=True):
    """Report to the caller that the request was refused.

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

    Attributes:
        work: The request.
        reason: What the request was waiting for.
        status: Execution status that may be reported to a caller that is still connected.
    """

    work: WorkItem
    reason: RefusalReason
    status: RefusalStatus


class CancelRequest(msgspec.Struct, frozen=True):
    """Send a cancellation to the upstream.

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
    """Call `tick` at this time, in ms since the epoch, unless another event occurs earlier."""

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
        was_sent: Whether this instance sent it to the upstream and got no usable response.
    """
    if not work.is_idempotent:
        return RefusalStatus.REQUEST_LAYER
    return RefusalStatus.OUTCOME_UNKNOWN if was_sent else RefusalStatus.NOT_RUN
