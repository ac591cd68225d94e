"""Matches answers from upstreams to the requests that were sent.

Each attempt is sent under its own request id: the first attempt under the request id of the
caller, later attempts with the attempt number appended. Parts of answers to different attempts
are therefore never combined, and a late SHED of one attempt is never attributed to the next.
"""

import msgspec

from catkinspread.requests.identity import RequestIdentity
from catkinspread.requests.messages import CompleteAnswer
from catkinspread.requests.parameters import RequestParameters
from catkinspread.wire import Answer, AnswerStatus, Request

# Not allowed in request ids of callers, so that none can be mistaken for that of a later attempt.
ATTEMPT_SEPARATOR = "\x1f"
_EXPIRY_SCAN_INTERVAL_MS = 1_000


def format_attempt_id(request_id: str, attempt: int) -> str:
    """Returns the request id under which an attempt is sent to the upstream."""
    return request_id if attempt == 1 else f"{request_id}{ATTEMPT_SEPARATOR}{attempt}"


def make_attempt_request(request: Request, attempt: int) -> Request:
    """Returns the request as sent to the upstream in an attempt."""
    return msgspec.structs.replace(
        request, request_id=format_attempt_id(request.request_id, attempt)
    )


class AnswerKey(msgspec.Struct, frozen=True):
    """The fields by which an answer from an upstream is matched.

    Attributes:
        flow: Flow hash.
        caller_id: Caller id of the request.
        request_id: Request id under which the attempt was sent.
    """

    flow: int
    caller_id: str
    request_id: str


class Attempt(msgspec.Struct, frozen=True):
    """One attempt to send a request to an upstream.

    Attributes:
        identity: Identity of the request.
        flow: Flow whose upstream the request was sent to.
        number: Number of the attempt, from 1.
        is_idempotent: Whether the request may be executed more than once.
    """

    identity: RequestIdentity
    flow: int
    number: int
    is_idempotent: bool


class MatchedAnswer(msgspec.Struct, frozen=True):
    """A complete answer and the attempt that it belongs to."""

    attempt: Attempt
    answer: CompleteAnswer


class _ExpectedAnswer(msgspec.Struct, eq=False):
    attempt: Attempt
    expires_at_ms: int
    status: AnswerStatus | None = None
    part_count: int = 0
    size_bytes: int = 0
    parts: dict[int, bytes] = {}


class AnswerMatcher:
    """Assembles answers from their parts and returns each complete answer once.

    Attributes:
        unmatched_count: Number of parts that matched no expected answer, for example late or
            misrouted ones.
        invalid_count: Number of parts that are inconsistent with earlier parts or exceed a limit.
    """

    __slots__ = (
        "_expected",
        "_next_expiry_scan_ms",
        "_parameters",
        "invalid_count",
        "unmatched_count",
    )

    def __init__(self, parameters: RequestParameters) -> None:
        self._parameters = parameters
        self._expected: dict[AnswerKey, _ExpectedAnswer] = {}
        self._next_expiry_scan_ms = 0
        self.unmatched_count = 0
        self.invalid_count = 0

    def __len__(self) -> int:
        return len(self._expected)

    def expect(self, attempt: Attempt, expires_at_ms: int) -> bool:
        """Registers an attempt whose answer is expected.

        Args:
            attempt: The attempt that is about to be sent.
            expires_at_ms: The first scan at or after this time, in ms since the Unix epoch,
                removes the expected answer. Until then an answer is accepted.

        Returns:
            False if the table is full; the request must then not be sent.
        """
        if len(self._expected) >= self._parameters.pending_max:
            return False
        self._expected[_make_key(attempt)] = _ExpectedAnswer(attempt, expires_at_ms)
        return True

    def forget(self, attempt: Attempt) -> None:
        """Stops accepting answers to an attempt."""
        self._expected.pop(_make_key(attempt), None)

    def accept(self, answer: Answer) -> MatchedAnswer | None:
        """Adds one part and returns the answer once it is complete."""
        key = AnswerKey(answer.flow, answer.caller_id, answer.request_id)
        expected = self._expected.get(key)
        if expected is None:
            self.unmatched_count += 1
            return None
        if not self._is_consistent(expected, answer):
            self.invalid_count += 1
            return None
        if answer.part not in expected.parts:
            expected.status = answer.status
            expected.part_count = answer.part_count
            expected.size_bytes += len(answer.body)
            expected.parts[answer.part] = answer.body
        if len(expected.parts) < expected.part_count:
            return None
        del self._expected[key]
        parts = tuple(expected.parts[index] for index in range(expected.part_count))
        return MatchedAnswer(expected.attempt, CompleteAnswer(answer.status, parts, answer.reason))

    def tick(self, now_ms: int) -> None:
        """Removes expected answers that have expired.

        The table is scanned at most once per _EXPIRY_SCAN_INTERVAL_MS.
        """
        if now_ms < self._next_expiry_scan_ms:
            return
        self._next_expiry_scan_ms = now_ms + _EXPIRY_SCAN_INTERVAL_MS
        expired = [key for key, item in self._expected.items() if item.expires_at_ms <= now_ms]
        for key in expired:
            del self._expected[key]

    def _is_consistent(self, expected: _ExpectedAnswer, answer: Answer) -> bool:
        if not 1 <= answer.part_count <= self._parameters.answer_parts_max:
            return False
        if not 0 <= answer.part < answer.part_count:
            return False
        if answer.part in expected.parts:
            return expected.parts[answer.part] == answer.body
        if expected.size_bytes + len(answer.body) > self._parameters.answer_bytes_max:
            return False
        if expected.status is None:
            return True
        return expected.status is answer.status and expected.part_count == answer.part_count


def _make_key(attempt: Attempt) -> AnswerKey:
    identity = attempt.identity
    request_id = format_attempt_id(identity.request_id, attempt.number)
    return AnswerKey(attempt.flow, identity.caller_id, request_id)
