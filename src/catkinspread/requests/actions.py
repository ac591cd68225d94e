"""Events and actions of the claimer and the request handler.

`ShardPipeline` assigns the `operation` of a store action: the number of the store call, unique
within one shard. The event that reports the outcome of the call repeats it.
"""

import msgspec

from catkinspread.model import InstanceIncarnation
from catkinspread.requests.identity import BucketId, RequestIdentity
from catkinspread.requests.messages import CompleteAnswer, PeerMessage
from catkinspread.wire import Answer, Request


class RequestArrived(msgspec.Struct, frozen=True):
    """A non-idempotent request arrived, from a caller or from another instance.

    Attributes:
        origin: Instance that the answer is returned to.
        service: Service of the flow.
        request: The request, with its flow filled in.
        refusal_reason: Why the request must not be executed, for example because the queue of
            the upstream is full; empty if it may be executed.
    """

    origin: InstanceIncarnation
    service: str
    request: Request
    refusal_reason: str = ""


class BucketRead(msgspec.Struct, frozen=True):
    """A bucket was read.

    Attributes:
        bucket: The bucket that was read.
        operation: Number of the store call.
        version: Version of the object in the store, from 1; 0 if it does not exist.
        value: Content of the object; empty if it does not exist.
    """

    bucket: BucketId
    operation: int
    version: int
    value: bytes


class BucketReadFailed(msgspec.Struct, frozen=True):
    """A bucket could not be read."""

    bucket: BucketId
    operation: int


class BucketWritten(msgspec.Struct, frozen=True):
    """A conditional write took effect.

    Attributes:
        bucket: The bucket that was written.
        operation: Number of the store call.
        version: New version of the object in the store, from 1.
    """

    bucket: BucketId
    operation: int
    version: int


class BucketWriteConflicted(msgspec.Struct, frozen=True):
    """A conditional write failed because the object has another version."""

    bucket: BucketId
    operation: int


class BucketWriteOutcomeUnknown(msgspec.Struct, frozen=True):
    """A conditional write may have taken effect, or may still take effect."""

    bucket: BucketId
    operation: int


class BucketWriteFailed(msgspec.Struct, frozen=True):
    """A conditional write certainly did not take effect.

    The object store was unavailable or the value was too large.
    """

    bucket: BucketId
    operation: int


class UpstreamAnswered(msgspec.Struct, frozen=True):
    """The upstream answered an attempt completely.

    Attributes:
        identity: Identity of the request.
        attempt: Number of the attempt, from 1.
        answer: The complete answer; its status is neither SHED nor NOT_RUN.
    """

    identity: RequestIdentity
    attempt: int
    answer: CompleteAnswer


class UpstreamShed(msgspec.Struct, frozen=True):
    """The upstream shed an attempt and did not execute it.

    Attributes:
        identity: Identity of the request.
        attempt: Number of the attempt, from 1.
    """

    identity: RequestIdentity
    attempt: int


class AttemptNotSent(msgspec.Struct, frozen=True):
    """An attempt was not sent because of its deadline, a limit or the routing.

    Attributes:
        identity: Identity of the request.
        attempt: Number of the attempt, from 1.
        reason: Why the attempt was not sent; part of the answer to the caller.
    """

    identity: RequestIdentity
    attempt: int
    reason: str


class PeerAnswered(msgspec.Struct, frozen=True):
    """Another instance returned the answer to a request."""

    identity: RequestIdentity
    answer: CompleteAnswer


class LiveInstancesChanged(msgspec.Struct, frozen=True):
    """The set of live instances changed."""

    live_instances: frozenset[InstanceIncarnation]


class Tick(msgspec.Struct, frozen=True):
    """Triggers the timers that are due."""


StoreEvent = (
    BucketRead
    | BucketReadFailed
    | BucketWritten
    | BucketWriteConflicted
    | BucketWriteOutcomeUnknown
    | BucketWriteFailed
)
ClaimerEvent = (
    StoreEvent
    | RequestArrived
    | UpstreamAnswered
    | UpstreamShed
    | AttemptNotSent
    | PeerAnswered
    | LiveInstancesChanged
    | Tick
)


class ReadBucket(msgspec.Struct, frozen=True):
    """Read a bucket object; the outcome is BucketRead or BucketReadFailed.

    Attributes:
        bucket: The bucket to read.
        operation: Number of the store call.
    """

    bucket: BucketId
    operation: int


class WriteBucket(msgspec.Struct, frozen=True):
    """Update a bucket object at an expected version, or create it.

    Attributes:
        bucket: The bucket to write.
        operation: Number of the store call.
        value: New content of the object.
        expected_version: Version that the object in the store must have, from 1; 0 if it must
            not exist.
    """

    bucket: BucketId
    operation: int
    value: bytes
    expected_version: int


class DeleteBucket(msgspec.Struct, frozen=True):
    """Delete a bucket older than the claim window if it exists; no outcome is reported."""

    bucket: BucketId


class SendToUpstream(msgspec.Struct, frozen=True):
    """Send a request to the upstream of its flow once.

    The code that executes this action must read the clock immediately before sending. At or
    after `not_after_ms` it must not send the request and must call
    `RequestHandler.handle_send_refused` instead, because the process may have been paused since
    the action was created.

    Attributes:
        identity: Identity of the request.
        attempt: Number of the attempt, from 1.
        service: Service of the flow.
        request: The request as sent to the upstream.
        not_after_ms: The request must be sent before this time, in ms since the Unix epoch.
        is_idempotent: Whether the request may be executed more than once.
    """

    identity: RequestIdentity
    attempt: int
    service: str
    request: Request
    not_after_ms: int
    is_idempotent: bool = False


class DeliverAnswer(msgspec.Struct, frozen=True):
    """Return an answer to the instance that the request came from."""

    origin: InstanceIncarnation
    identity: RequestIdentity
    flow: int
    answer: CompleteAnswer


class SendToPeer(msgspec.Struct, frozen=True):
    """Send a message to another instance; delivery is not guaranteed."""

    target: InstanceIncarnation
    message: PeerMessage


class AnswerCaller(msgspec.Struct, frozen=True):
    """Send the parts of an answer to the caller of their flow."""

    flow: int
    answers: tuple[Answer, ...]


StoreAction = ReadBucket | WriteBucket | DeleteBucket
ClaimerAction = StoreAction | SendToUpstream | DeliverAnswer | SendToPeer
HandlerAction = StoreAction | SendToUpstream | SendToPeer | AnswerCaller
