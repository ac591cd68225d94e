"""Queue of the handshake time-outs of opening packets."""

import heapq
from collections.abc import Iterator

from catkinspread.deployment import KnownUpstream
from catkinspread.forwarding.flows import Flow
from catkinspread.forwarding.handshakes import HandshakeEstimator


class HandshakeTimeouts:
    """Keeps when each opening packet that was sent to an upstream times out.

    Args:
        handshakes: Estimates the time-outs.
    """

    __slots__ = ("_handshakes", "_queue", "_sequence")

    def __init__(self, handshakes: HandshakeEstimator) -> None:
        self._handshakes = handshakes
        self._queue: list[tuple[int, int, Flow, KnownUpstream]] = []
        self._sequence = 0

    def schedule(self, flow: Flow, upstream: KnownUpstream, now_ms: int) -> None:
        """Schedules the time-out of the opening packet of a flow, which was sent to an upstream."""
        due_ms = now_ms + self._handshakes.compute_timeout_ms(upstream.record.data_centre)
        self._sequence += 1
        heapq.heappush(self._queue, (due_ms, self._sequence, flow, upstream))

    def pop_due(self, now_ms: int) -> Iterator[tuple[Flow, KnownUpstream]]:
        """Yields the flows whose upstream has not answered in time.

        Flows that were answered, or sent to another upstream in the meantime, are skipped.
        """
        while self._queue and self._queue[0][0] <= now_ms:
            _, _, flow, upstream = heapq.heappop(self._queue)
            is_pending = not flow.is_established and flow.opening_packet is not None
            if is_pending and flow.upstream is upstream:
                yield flow, upstream

    def restart_all(self, now_ms: int) -> None:
        """Gives all packets a new time-out that starts now."""
        pending = self._queue
        self._queue = []
        for _, _, flow, upstream in pending:
            self.schedule(flow, upstream, now_ms)

    def get_next_due_at_ms(self) -> int | None:
        """Returns the time in ms of the next time-out; None if there is none."""
        return self._queue[0][0] if self._queue else None
