"""Events that the claimer takes in and actions that it asks for."""

import msgspec

from catkinspread.model import OwnerMember
from catkinspread.requests.identity import BucketId, RequestIdentity
from catkinspread.requests.messages import CompleteAnswer, PeerMessage
from catkinspread.wire import Answer, Request


class RequestArrived(msgspec.Struct, frozen=True):
    """A non-idempotent request arrived, from a caller or from another instance.

    Attributes:
        origin: The instance that gets the answer.
        service: Service of the flow.
        request: The request, with its flow filled in.
        refusal_reason: Why it must not run, for example a full upstream queue; empty if it may.
    """

    origin: OwnerMember
    service: str
    request: Request
    refusal_reason: str = ""


class BucketRead(msgspec.Struct, frozen=True):
    """A bucket was read; version 0 with an empty value if the object does not exist."""

    bucket: BucketId
    operation: int
    version: int
    value: bytes


class BucketReadFailed(msgspec.Struct, frozen=True):
    """A bucket could not be read."""

    bucket: BucketId
    operation: int


class BucketWritten(msgspec.Struct, frozen=True):
    """A conditional write took effect and gave the object this version."""

    bucket: BucketId
    operation: int
    version: int


class BucketConflicted(msgspec.Struct, frozen=True):
    """A conditional write had no effect: the object has another version."""

    bucket: BucketId
    operation: int


class BucketWriteOutcomeUnknown(msgspec.Struct, frozen=True):
    """A conditional write may have taken effect, or may do so later."""

    bucket: BucketId
    operation: int


class BucketWriteFailed(msgspec.Struct, frozen=True):
    """The store refused a write; nothing was written."""

    bucket: BucketId
    operation: int


class UpstreamAnswered(msgspec.Struct, frozen=True):
    """The upstream answered an attempt, and the answer is whole."""

    identity: RequestIdentity
    attempt: int
    answer: CompleteAnswer


class UpstreamShed(msgspec.Struct, frozen=True):
    """The upstream refused to start an attempt."""

    identity: RequestIdentity
    attempt: int


class SendRefused(msgspec.Struct, frozen=True):
    """An attempt was not sent: its deadline had passed, or a limit or the router refused it."""

    identity: RequestIdentity
    attempt: int
    reason: str


class PeerAnswered(msgspec.Struct, frozen=True):
    """The writer of the claim answered a request that was forwarded to it."""

    identity: RequestIdentity
    answer: CompleteAnswer


class LiveInstancesChanged(msgspec.Struct, frozen=True):
    """The set of live instances changed."""

    live: frozenset[OwnerMember]


class Tick(msgspec.Struct, frozen=True):
    """Time has passed."""


StoreEvent = (
    BucketRead
    | BucketReadFailed
    | BucketWritten
    | BucketConflicted
    | BucketWriteOutcomeUnknown
    | BucketWriteFailed
)
ClaimerEvent = (
    StoreEvent
    | RequestArrived
    | UpstreamAnswered
    | UpstreamShed
    | SendRefused
    | PeerAnswered
    | LiveInstancesChanged
    | Tick
)


class ReadBucket(msgspec.Struct, frozen=True):
    """Read a bucket object and report BucketRead or BucketReadFailed."""

    bucket: BucketId
    operation: int


class WriteBucket(msgspec.Struct, frozen=True):
    """Write a bucket object at an expected version, or create it if that is 0."""

    bucket: BucketId
    operation: int
    value: bytes
    expected_version: int


class DeleteBucket(msgspec.Struct, frozen=True):
    """Delete a bucket that is older than the claim window, if it exists; report nothing."""

    bucket: BucketId


class SendToUpstream(msgspec.Struct, frozen=True):
    """Send a request to the upstream of its flow, once.

    The executor reads the clock directly before the send. At or after `not_after_ms` it does
    not send and reports SendRefused, because the process may have been paused since the
    action was decided.

    Attributes:
        identity: Identity of the request.
        attempt: Number of this attempt, from 1.
        service: Service of the flow.
        request: The request as the upstream gets it.
        not_after_ms: The send must happen before this time.
        is_idempotent: Whether a second run does no harm.
    """

    identity: RequestIdentity
    attempt: int
    service: str
    request: Request
    not_after_ms: int
    is_idempotent: bool = False


class DeliverAnswer(msgspec.Struct, frozen=True):
    """Give the answer to the instance that asked for it."""

    origin: OwnerMember
    identity: RequestIdentity
    flow: int
    answer: CompleteAnswer


class SendToPeer(msgspec.Struct, frozen=True):
    """Send a message to another instance; it may get lost."""

    target: OwnerMember
    message: PeerMessage


class AnswerCaller(msgspec.Struct, frozen=True):
    """Send the parts of an answer to the caller of their flow."""

    flow: int
    answers: tuple[Answer, ...]


StoreAction = ReadBucket | WriteBucket | DeleteBucket
ClaimerAction = StoreAction | SendToUpstream | DeliverAnswer | SendToPeer
HandlerAction = StoreAction | SendToUpstream | SendToPeer | AnswerCaller
