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
    ColdStartNoticeError,
    decode_notice,
    encode_notice,
)
from catkinspread.limits.queue import PriorityQueue, PushResult, PushStatus, WorkItem
from catkinspread.limits.rate_limiter import SharedRateLimiter, TokenBucket, TokenSchedule

__all__ = [
    "AdmissionAction",
    "AdmissionController",
    "AdmissionSettings",
    "BroadcastNotice",
    "CancelRequest",
    "ColdStartDetector",
    "ColdStartEvidence",
    "ColdStartNotice",
    "ColdStartNoticeError",
    "ColdStartRamp",
    "ConcurrencyLimiter",
    "ConcurrencySettings",
    "CurrentLimits",
    "DetectorSettings",
    "ExpireRequest",
    "KnownInstances",
    "NoticeResult",
    "PriorityQueue",
    "PushResult",
    "PushStatus",
    "RampRates",
    "RefusalReason",
    "RefusalStatus",
    "RefuseRequest",
    "ReplyWithNotice",
    "RequestOutcome",
    "RequestQueued",
    "ResponseKind",
    "ScheduleTick",
    "SharedRateLimiter",
    "StartRequest",
    "TokenBucket",
    "TokenSchedule",
    "WorkItem",
    "decode_notice",
    "encode_notice",
]
