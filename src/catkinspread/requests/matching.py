"""Matches the answers of upstreams to the requests that were sent.

Each attempt has its own name towards the upstream: the first one has the request id of the
caller, later ones have the number of the attempt appended. Parts of two attempts are therefore
never joined, and a late SHED of one attempt is never taken for one of the next.
"""

import msgspec

from catkinspread.requests.identity import RequestIdentity
from catkinspread.requests.messages import CompleteAnswer
from catkinspread.requests.parameters import RequestParameters
from catkinspread.wire import Answer, AnswerStatus, Request

# Callers may not use it in a request id, so that no id of a caller looks like a later attempt.
ATTEMPT_SEPARATOR = "\x1f"


def format_attempt_id(request_id: str, attempt: int) -> str:
    """Returns the request id that an attempt has towards the upstream."""
    return request_id if attempt == 1 else f"{request_id}{ATTEMPT_SEPARATOR}{attempt}"


def make_attempt_request(request: Request, attempt: int) -> Request:
    """Returns the request as the upstream gets it in an attempt."""
    return msgspec.structs.replace(
        request, request_id=format_attempt_id(request.request_id, attempt)
    )


class AnswerKey(msgspec.Struct, frozen=True):
    """What an answer of an upstream is matched by.

    Attributes:
        flow: Flow hash.
        caller_id: From the request.
        request_id: The request id towards the upstream.
    """

    flow: int
    caller_id: str
    request_id: str


class Attempt(msgspec.Struct, frozen=True):
    """What a sent request belongs to.

    Attributes:
        identity: Identity of the request.
        flow: Flow whose upstream it was sent to.
        number: Number of the attempt, from 1.
        is_idempotent: Whether a second run does no harm.
    """

    identity: RequestIdentity
    flow: int
    number: int
    is_idempotent: bool


class MatchedAnswer(msgspec.Struct, frozen=True):
    """A whole answer and the attempt that it ends."""

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
    """Collects the parts of answers and hands out whole ones, each once.

    Attributes:
        unmatched_count: Parts that matched no expected answer, such as late and crossed ones.
        invalid_count: Parts that contradict earlier parts or exceed a bound.
    """

    __slots__ = ("_expected", "_next_sweep_ms", "_parameters", "invalid_count", "unmatched_count")

    def __init__(self, parameters: RequestParameters) -> None:
        self._parameters = parameters
        self._expected: dict[AnswerKey, _ExpectedAnswer] = {}
        self._next_sweep_ms = 0
        self.unmatched_count = 0
        self.invalid_count = 0

    def __len__(self) -> int:
        return len(self._expected)

    def expect(self, attempt: Attempt, expires_at_ms: int) -> bool:
        """Starts to accept answers to an attempt.

        Args:
            attempt: What is sent.
            expires_at_ms: Answers are not accepted from this time on.

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
        """Takes one part and returns the answer once it is whole."""
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
        """Drops expectations that have expired; does work at most once a second."""
        if now_ms < self._next_sweep_ms:
            return
        self._next_sweep_ms = now_ms + 1_000
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
