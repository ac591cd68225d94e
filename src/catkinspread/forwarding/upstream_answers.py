"""What the answers of an upstream show about its process.

Answers reach callers directly, so an instance sees only that a caller acknowledges one.
"""

import collections

import msgspec

from catkinspread.forwarding.flows import Flow
from catkinspread.forwarding.packets import CallerPacket

# Shortest time between the last packet that a process answers and the first one that its successor
# answers. A packet between two answered ones that were sent closer to each other was lost.
RESTART_MIN_MS = 100
# Answers of an upstream that are kept to show that its process ran at a time.
ANSWERS_KEPT = 16


class ProcessSpan(msgspec.Struct, frozen=True):
    """Time in which the process of an upstream has run.

    Attributes:
        since_ms: When a flow was opened that it held.
        until_ms: When it answered on that flow, at the earliest.
    """

    since_ms: int
    until_ms: int


class UpstreamAnswers:
    """What an upstream has answered.

    Attributes:
        sent_at_ms: When the latest opening packet was sent that it answered, and the one before.
        spans: Times in which its process has run, latest last.
    """

    __slots__ = ("sent_at_ms", "spans")

    def __init__(self) -> None:
        self.sent_at_ms = (0, 0)
        self.spans: collections.deque[ProcessSpan] = collections.deque(maxlen=ANSWERS_KEPT)

    def record_opened(self, sent_at_ms: int) -> None:
        """Records that an opening packet was answered."""
        latest_ms, earlier_ms = self.sent_at_ms
        if sent_at_ms > latest_ms:
            self.sent_at_ms = (sent_at_ms, latest_ms)
        elif sent_at_ms > earlier_ms:
            self.sent_at_ms = (latest_ms, sent_at_ms)

    def is_continuous_at(self, at_ms: int) -> bool:
        """Whether the upstream answered packets shortly before and after a time."""
        latest_ms, earlier_ms = self.sent_at_ms
        return earlier_ms <= at_ms <= latest_ms and latest_ms - earlier_ms < RESTART_MIN_MS

    def is_running_at(self, at_ms: int, uncertainty_ms: int = 0) -> bool:
        """Whether a process is known to have run at a time and shortly before it."""
        return any(
            span.since_ms < at_ms - uncertainty_ms and at_ms < span.until_ms for span in self.spans
        )


def compute_answered_at_ms(flow: Flow, packet: CallerPacket, latency_ms: int, now_ms: int) -> int:
    """Returns when the upstream sent the answer that a caller acknowledges, at the earliest.

    Callers may acknowledge an answer with their next request or their close, long after they received
    it; then only the time of the request before is known.
    """
    sent_at_ms = now_ms if flow.pending_since_ms is None else flow.pending_since_ms
    is_immediate = not packet.payload_size_bytes and (not packet.is_close or not flow.is_answered)
    return max(sent_at_ms, now_ms - latency_ms) if is_immediate else sent_at_ms
