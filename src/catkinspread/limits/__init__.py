"""Limits on the work that an instance gives to an upstream: rate, concurrency and queue."""

from catkinspread.limits.actions import (
    AdmissionAction,
    BroadcastNotice,
    CancelRequest,
    CurrentLimits,
    ExpireRequest,
    Queued,
    RefusalAnswer,
    RefusalReason,
    RefuseRequest,
    ReplyWithNotice,
    RequestOutcome,
    ScheduleTick,
    StartRequest,
)
from catkinspread.limits.admission import AdmissionController, AdmissionSettings
from catkinspread.limits.cold_start import ColdStartRamp, NoticeVerdict, RampRates
from catkinspread.limits.detector import (
    AnswerKind,
    ColdTurnDetector,
    ColdTurnEvidence,
    DetectorSettings,
)
from catkinspread.limits.fleet import KnownInstances
from catkinspread.limits.limiter import LimiterSettings, UpstreamLimiter
from catkinspread.limits.messages import (
    ColdStartNotice,
    MessageError,
    decode_notice,
    encode_notice,
)
from catkinspread.limits.queue import PriorityQueue, PushResult, PushVerdict, WorkItem
from catkinspread.limits.rate_share import SharedRateLimiter, TokenBucket, TurnSchedule

__all__ = [
    "AdmissionAction",
    "AdmissionController",
    "AdmissionSettings",
    "AnswerKind",
    "CancelRequest",
    "ColdStartNotice",
    "ColdStartRamp",
    "ColdTurnDetector",
    "ColdTurnEvidence",
    "DetectorSettings",
    "ExpireRequest",
    "KnownInstances",
    "LimiterSettings",
    "CurrentLimits",
    "MessageError",
    "NoticeVerdict",
    "PriorityQueue",
    "PushResult",
    "PushVerdict",
    "Queued",
    "RampRates",
    "SharedRateLimiter",
    "RefusalAnswer",
    "RefusalReason",
    "RefuseRequest",
    "ReplyWithNotice",
    "RequestOutcome",
    "BroadcastNotice",
    "StartRequest",
    "TokenBucket",
    "TurnSchedule",
    "UpstreamLimiter",
    "ScheduleTick",
    "WorkItem",
    "decode_notice",
    "encode_notice",
]
