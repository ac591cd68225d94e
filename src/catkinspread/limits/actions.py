"""Events and actions of the admission of requests to one upstream."""

import enum

import msgspec

from catkinspread.limits.messages import ColdStartNotice
from catkinspread.limits.queue import WorkItem


class RefusalReason(enum.Enum):
    """Why a request was not answered by the upstream."""

    QUEUE_FULL = "limits.queue-full"
    DISPLACED = "limits.displaced"
    EXPIRED_ON_ARRIVAL = "limits.expired-on-arrival"
    EXPIRED_IN_QUEUE = "limits.expired-in-queue"
    EXPIRED_IN_COLD_START = "limits.expired-in-cold-start"
    CANCELLED = "limits.cancelled"
    UPSTREAM_SHED = "limits.upstream-shed"
    NO_ANSWER = "limits.no-answer"
    UPSTREAM_REMOVED = "limits.upstream-removed"


class RefusalAnswer(enum.Enum):
    """What the caller may be told.

    NOT_RUN: "not run". The request is idempotent and never left the queue of this instance.
    REQUEST_LAYER: the request layer decides by its claim or its retry budget (design, section 6).
    OUTCOME_UNKNOWN: the request was sent to the upstream and no verdict came back.
    """

    NOT_RUN = "not-run"
    REQUEST_LAYER = "request-layer"
    OUTCOME_UNKNOWN = "outcome-unknown"


class RequestOutcome(enum.Enum):
    """How a started request ended.

    GOOD: the upstream answered.
    SHED: the upstream refused to start it.
    FAILED: the flow broke or the answer was useless.
    """

    SUCCEEDED = "good"
    SHED = "shed"
    FAILED = "failed"


class CurrentLimits(msgspec.Struct, frozen=True):
    """The limits of one upstream on one instance at one time.

    Attributes:
        cap_per_s: Rate cap of the whole fleet.
        share_per_s: Share of this instance.
        instances_known: Number that the cap is divided by.
        concurrent_max: Limit on concurrent requests.
        concurrent: Requests that run now.
        pause_ms: Pause between the end of a request and the next start.
        queued: Requests that wait now.
        is_warming: Whether the cold start ramp is under way.
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


class Queued(msgspec.Struct, frozen=True):
    """The request waits; nothing is to be done."""

    work: WorkItem


class RefuseRequest(msgspec.Struct, frozen=True):
    """Tell the caller that the request is refused.

    Attributes:
        work: The request.
        reason: Why.
        answer: What the caller may be told.
    """

    work: WorkItem
    reason: RefusalReason
    answer: RefusalAnswer


class ExpireRequest(msgspec.Struct, frozen=True):
    """The deadline of the request passed before it was started.

    Attributes:
        work: The request.
        reason: What it waited for.
        answer: What the caller may be told, if it still listens.
    """

    work: WorkItem
    reason: RefusalReason
    answer: RefusalAnswer


class CancelRequest(msgspec.Struct, frozen=True):
    """Pass a cancellation to the upstream.

    Attributes:
        work: The request, which was started.
        reason: CANCELLED if the caller has gone, NO_ANSWER if the deadline has passed.
    """

    work: WorkItem
    reason: RefusalReason


class BroadcastNotice(msgspec.Struct, frozen=True):
    """Give the notice to the gossip."""

    notice: ColdStartNotice


class ReplyWithNotice(msgspec.Struct, frozen=True):
    """Send the known notice to the peer that sent a stale one."""

    notice: ColdStartNotice


class ScheduleTick(msgspec.Struct, frozen=True):
    """Call `tick` at this time, in ms since the epoch, if no event comes before."""

    at_ms: int


AdmissionAction = (
    StartRequest
    | Queued
    | RefuseRequest
    | ExpireRequest
    | CancelRequest
    | BroadcastNotice
    | ReplyWithNotice
    | ScheduleTick
)


def choose_answer(work: WorkItem, was_sent: bool) -> RefusalAnswer:
    """Returns what a caller may be told about work that did not end well.

    Args:
        work: The request.
        was_sent: Whether this instance sent it to the upstream without a verdict.
    """
    if not work.idempotent:
        return RefusalAnswer.REQUEST_LAYER
    return RefusalAnswer.OUTCOME_UNKNOWN if was_sent else RefusalAnswer.NOT_RUN
