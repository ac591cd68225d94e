"""Admission control for one upstream: rate limit, concurrency limit and request queue."""

from catkinspread.limits.actions import (
    AdmissionAction,
    BroadcastNotice,
    CancelRequest,
    CurrentLimits,
    ExpireRequest,
    RefusalReason,
    RefusalStatus,
    RefuseRequest,
    ReplyWithNotice,
    RequestOutcome,
    RequestQueued,
    ScheduleTick,
    StartRequest,
)
from catkinspread.limits.admission import AdmissionController, AdmissionSettings
from catkinspread.limits.cold_start import ColdStartRamp, NoticeResult, RampRates
from catkinspread.limits.concurrency import ConcurrencyLimiter, ConcurrencySettings
from catkinspread.limits.detector import (
    ColdStartDetector,
    ColdStartEvidence,
    DetectorSettings,
    ResponseKind,
)
from catkinspread.limits.fleet import KnownInstances
from catkinspread.limits.messages import (
    ColdStartNotice,
    MessageError,
    decode_notice,
    encode_notice,
)
from catkinspread.limits.queue import PriorityQueue, PushResult, PushStatus, WorkItem
from catkinspread.limits.rate_limiter import SharedRateLimiter, TokenBucket, TokenSchedule

__all__ = [
    "AdmissionAction",
    "AdmissionController",
    "AdmissionSettings",
    "ResponseKind",
    "CancelRequest",
    "ColdStartNotice",
    "ColdStartRamp",
    "ColdStartDetector",
    "ColdStartEvidence",
    "DetectorSettings",
    "ExpireRequest",
    "KnownInstances",
    "ConcurrencySettings",
    "CurrentLimits",
    "MessageError",
    "NoticeResult",
    "PriorityQueue",
    "PushResult",
    "PushStatus",
    "RequestQueued",
    "RampRates",
    "SharedRateLimiter",
    "RefusalStatus",
    "RefusalReason",
    "RefuseRequest",
    "ReplyWithNotice",
    "RequestOutcome",
    "BroadcastNotice",
    "StartRequest",
    "TokenBucket",
    "TokenSchedule",
    "ConcurrencyLimiter",
    "ScheduleTick",
    "WorkItem",
    "decode_notice",
    "encode_notice",
]
