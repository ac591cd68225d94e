"""Messages that instances exchange about requests."""

import msgspec

from catkinspread.model import InstanceIncarnation
from catkinspread.requests.identity import RequestIdentity
from catkinspread.wire import AnswerStatus, Request


class CompleteAnswer(msgspec.Struct, array_like=True, frozen=True):
    """A complete answer to a request.

    Attributes:
        status: OK, NOT_RUN or OUTCOME_UNKNOWN; SHED only in an answer from an upstream.
        parts: Bodies of the parts, in order; at least one.
        reason: Why the status is not OK; empty for OK.
    """

    status: AnswerStatus
    parts: tuple[bytes, ...] = (b"",)
    reason: str = ""

    @property
    def size_bytes(self) -> int:
        """Total size of the bodies in bytes."""
        return sum(len(part) for part in self.parts)


class ForwardedRequest(
    msgspec.Struct, array_like=True, frozen=True, tag="forwarded-request", kw_only=True
):
    """Forwards a non-idempotent request to the claimer of its shard or the writer of its claim.

    Attributes:
        origin: Instance that the answer is returned to.
        service: Service of the flow.
        request: The request, with its flow filled in.
    """

    origin: InstanceIncarnation
    service: str
    request: Request


class ForwardedAnswer(
    msgspec.Struct, array_like=True, frozen=True, tag="forwarded-answer", kw_only=True
):
    """Returns the answer to a forwarded request.

    Attributes:
        identity: Identity of the request.
        flow: Flow of the request.
        answer: The complete answer.
    """

    identity: RequestIdentity
    flow: int
    answer: CompleteAnswer


class ForwardAccepted(
    msgspec.Struct, array_like=True, frozen=True, tag="forward-accepted", kw_only=True
):
    """Confirms that the sender is processing a forwarded request and has no answer yet.

    Attributes:
        identity: Identity of the request.
        flow: Flow of the request.
    """

    identity: RequestIdentity
    flow: int


PeerMessage = ForwardedRequest | ForwardedAnswer | ForwardAccepted
