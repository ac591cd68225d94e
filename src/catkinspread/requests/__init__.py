"""Request handling: at-most-once claims, matching of answers, and retries.

The logic does no I/O: it receives events with the current wall-clock time in ms since the Unix
epoch and returns typed actions. `ClaimStoreDriver` executes the store actions. See
docs/requests.md.
"""

from catkinspread.requests.actions import (
    AnswerCaller,
    AttemptNotSent,
    BucketRead,
    BucketReadFailed,
    BucketWriteConflicted,
    BucketWriteFailed,
    BucketWriteOutcomeUnknown,
    BucketWritten,
    DeleteBucket,
    DeliverAnswer,
    HandlerAction,
    LiveInstancesChanged,
    PeerAnswered,
    ReadBucket,
    RequestArrived,
    SendToPeer,
    SendToUpstream,
    StoreAction,
    StoreEvent,
    Tick,
    UpstreamAnswered,
    UpstreamShed,
    WriteBucket,
)
from catkinspread.requests.bucket import (
    BucketError,
    ClaimRecord,
    RecordKind,
    decode_bucket,
    encode_bucket,
)
from catkinspread.requests.claimer import Claimer
from catkinspread.requests.driver import ClaimStoreDriver
from catkinspread.requests.handler import RequestHandler, split_answer
from catkinspread.requests.identity import (
    BUCKET_MS,
    SHARD_COUNT,
    BucketId,
    RequestIdentity,
    compute_bucket_id,
    compute_shard,
    identify_request,
)
from catkinspread.requests.matching import AnswerMatcher, Attempt, MatchedAnswer
from catkinspread.requests.messages import (
    CompleteAnswer,
    ForwardAccepted,
    ForwardedAnswer,
    ForwardedRequest,
    PeerMessage,
)
from catkinspread.requests.parameters import RequestParameters
from catkinspread.requests.retries import RetryBudget, RetryPolicy

__all__ = [
    "BUCKET_MS",
    "SHARD_COUNT",
    "AnswerCaller",
    "AnswerMatcher",
    "Attempt",
    "BucketWriteConflicted",
    "BucketError",
    "BucketId",
    "BucketRead",
    "BucketReadFailed",
    "BucketWriteFailed",
    "BucketWriteOutcomeUnknown",
    "BucketWritten",
    "ClaimRecord",
    "ClaimStoreDriver",
    "Claimer",
    "CompleteAnswer",
    "DeleteBucket",
    "DeliverAnswer",
    "ForwardAccepted",
    "ForwardedAnswer",
    "ForwardedRequest",
    "HandlerAction",
    "LiveInstancesChanged",
    "MatchedAnswer",
    "PeerAnswered",
    "PeerMessage",
    "ReadBucket",
    "RecordKind",
    "RequestArrived",
    "RequestHandler",
    "RequestIdentity",
    "RequestParameters",
    "RetryBudget",
    "RetryPolicy",
    "AttemptNotSent",
    "SendToPeer",
    "SendToUpstream",
    "StoreAction",
    "StoreEvent",
    "Tick",
    "UpstreamAnswered",
    "UpstreamShed",
    "WriteBucket",
    "decode_bucket",
    "encode_bucket",
    "compute_bucket_id",
    "compute_shard",
    "identify_request",
    "split_answer",
]
