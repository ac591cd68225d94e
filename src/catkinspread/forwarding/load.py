"""Load and health of the upstreams as observed by an instance.

Upstreams send their packets directly to callers (direct server return), so load and health are
inferred from the packets of callers. The first packet after an opening packet shows that the
upstream responded; the first acknowledgement of response data shows the response time of the
request.
"""

import collections
from collections.abc import Mapping

# Weight of a new sample in the moving average of the response time.
RESPONSE_SMOOTHING_FACTOR = 0.2
# Half-life of the difference between the average and the default while there are no new samples,
# so that an upstream that was slow is used again.
RESPONSE_HALF_LIFE_MS = 1_500
# Response time that is assumed for an upstream without samples.
RESPONSE_DEFAULT_MS = 45.0
# An upstream that did not answer an opening packet in time is avoided for the back-off. A time-out
# after the back-off has ended doubles the next one; time-outs before its end do not change it.
BACKOFF_INITIAL_MS = 400
BACKOFF_MAX_MS = 6_000
# While no upstream responds, each unresponsive one gets one flow per interval as a probe; other
# flows are refused.
PROBE_INTERVAL_MS = 400
# Consecutive time-outs after which an upstream counts as unresponsive.
UNRESPONSIVE_TIMEOUTS_MIN = 2
# The back-off starts at its initial value again if the last one ended longer ago than this.
BACKOFF_RESET_MS = 15_000

# A load report of another instance is dropped after this time.
REPORT_TIMEOUT_MS = 600
# Reports are reordered by a few positions at most. A sequence number that is lower by more means
# that the instance has restarted.
REPORT_REORDER_MAX = 16


class _PeerReport:
    """The latest load report of another instance."""

    __slots__ = ("in_flight", "received_at_ms", "sequence")

    def __init__(self, sequence: int, in_flight: dict[str, int], received_at_ms: int) -> None:
        self.sequence = sequence
        self.in_flight = in_flight
        self.received_at_ms = received_at_ms


class UpstreamLoad:
    """Load and health of one upstream as observed by this instance.

    Attributes:
        in_flight: Number of flows of this instance for which it owes an answer to the opening
            packet or to a request.
        peer_in_flight: Number of such flows of other instances, according to their reports.
        last_placed_at_ms: When a flow was last placed on it.
        answered_at_ms: When it last answered a request.
    """

    __slots__ = (
        "_average_response_ms",
        "_backoff_ms",
        "_backoff_since_ms",
        "_backoff_until_ms",
        "answered_at_ms",
        "in_flight",
        "last_placed_at_ms",
        "peer_in_flight",
    )

    def __init__(self) -> None:
        self.in_flight = 0
        self.peer_in_flight = 0
        self.last_placed_at_ms = 0
        self._average_response_ms = RESPONSE_DEFAULT_MS
        self.answered_at_ms = 0
        self._backoff_ms = 0
        self._backoff_since_ms = 0
        self._backoff_until_ms = 0

    def record_response_time(self, response_ms: int, now_ms: int) -> None:
        """Adds the measured response time of a request to the moving average."""
        current = self.estimate_unqueued_response_ms(now_ms)
        self._average_response_ms = current + RESPONSE_SMOOTHING_FACTOR * (response_ms - current)
        self.answered_at_ms = now_ms

    def estimate_unqueued_response_ms(self, now_ms: int) -> float:
        """Returns the response time that is expected of a request that does not queue.

        It is the moving average of the measured response times, which returns to
        RESPONSE_DEFAULT_MS while there are no new samples.
        """
        age_ms = now_ms - self.answered_at_ms
        decay = 0.5 ** (age_ms / RESPONSE_HALF_LIFE_MS)
        return RESPONSE_DEFAULT_MS + (self._average_response_ms - RESPONSE_DEFAULT_MS) * decay

    def record_response(self, awaited_until_ms: int) -> bool:
        """Records a response to an opening packet, which ends the back-off.

        A response to a packet that was sent before the latest time-out is ignored, unless the
        packet itself had timed out then: its late response shows that the time-out was wrong.

        Args:
            awaited_until_ms: When the opening packet had timed out, or was sent if it had not.

        Returns:
            Whether the upstream recovered from time-outs.
        """
        if self._backoff_ms == 0 or awaited_until_ms < self._backoff_since_ms:
            return False
        self._backoff_until_ms = 0
        self._backoff_ms = 0
        return True

    def record_timeout(self, now_ms: int) -> int:
        """Records that an opening packet was not answered in time.

        Returns:
            Remaining back-off in ms.
        """
        if now_ms < self._backoff_until_ms:
            return self._backoff_until_ms - now_ms
        if now_ms - self._backoff_until_ms > BACKOFF_RESET_MS:
            self._backoff_ms = 0
        self._backoff_ms = min(BACKOFF_MAX_MS, 2 * self._backoff_ms or BACKOFF_INITIAL_MS)
        self._backoff_since_ms = now_ms
        self._backoff_until_ms = now_ms + self._backoff_ms
        return self._backoff_ms

    def is_in_backoff(self, now_ms: int) -> bool:
        """Whether it is avoided because of time-outs."""
        return now_ms < self._backoff_until_ms

    @property
    def has_timed_out(self) -> bool:
        """Whether an opening packet timed out and none was answered since."""
        return self._backoff_ms > 0

    def may_be_probed(self, now_ms: int) -> bool:
        """Whether a flow may be placed on it while no upstream responds.

        An unresponsive upstream may get one flow per PROBE_INTERVAL_MS.
        """
        # The first time-out sets the initial back-off and each one after its end doubles it, so the
        # back-off shows the number of consecutive time-outs.
        is_unresponsive = self._backoff_ms >= BACKOFF_INITIAL_MS << (UNRESPONSIVE_TIMEOUTS_MIN - 1)
        return not is_unresponsive or now_ms - self.last_placed_at_ms >= PROBE_INTERVAL_MS


class LoadTracker:
    """Tracks the load of all upstreams by name, including the load reported by peers."""

    __slots__ = ("_loads", "_reports")

    def __init__(self) -> None:
        self._loads: dict[str, UpstreamLoad] = collections.defaultdict(UpstreamLoad)
        self._reports: dict[str, _PeerReport] = {}

    def apply_report(
        self, sender: str, sequence: int, in_flight: Mapping[str, int], now_ms: int
    ) -> None:
        """Replaces the load reported by another instance.

        Args:
            sender: Name of the instance.
            sequence: Sequence number of the report; late and duplicate reports are ignored.
            in_flight: Number of flows that wait for an answer, by name of the upstream.
            now_ms: Current time.
        """
        previous = self._reports.get(sender)
        if previous is not None:
            if 0 <= previous.sequence - sequence < REPORT_REORDER_MAX:
                return
            self._add_peer_load(previous.in_flight, -1)
        self._reports[sender] = _PeerReport(sequence, dict(in_flight), now_ms)
        self._add_peer_load(in_flight, 1)

    def expire_reports(self, now_ms: int) -> None:
        """Drops the load reported by instances whose last report is too old."""
        for sender, report in list(self._reports.items()):
            if now_ms - report.received_at_ms >= REPORT_TIMEOUT_MS:
                self._add_peer_load(report.in_flight, -1)
                del self._reports[sender]

    def list_in_flight(self) -> dict[str, int]:
        """Returns `UpstreamLoad.in_flight` by name of the upstream, without zero counts."""
        return {name: load.in_flight for name, load in self._loads.items() if load.in_flight}

    def _add_peer_load(self, in_flight: Mapping[str, int], sign: int) -> None:
        for name, count in in_flight.items():
            self._loads[name].peer_in_flight += sign * count

    def get(self, name: str) -> UpstreamLoad:
        """Returns the load of an upstream."""
        return self._loads[name]
