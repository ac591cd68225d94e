"""What an instance sees of the load and health of upstreams.

Packets of upstreams go to callers directly, so everything is inferred from packets of callers:
the first packet after an opening one shows that an upstream answered, the first acknowledgement
of response data shows how long the request took.
"""

import collections
from collections.abc import Mapping

# Weight of one response time in the moving average of an upstream.
LATENCY_STEP = 0.2
# Without new samples the average returns half-way to the usual value in this time, so that an
# upstream that was slow is tried again.
LATENCY_HALF_LIFE_MS = 1_500
# Expected time of a request at an upstream that has not been measured.
LATENCY_DEFAULT_MS = 45.0
# An upstream that left an opening packet unanswered is avoided this long, doubled each time.
SILENCE_FIRST_MS = 400
SILENCE_MAX_MS = 6_000
# When no upstream answers, each is tried once in this time; other flows are refused.
SILENT_TRIAL_MS = 400
# Silences in a row after which an upstream counts as one that does not answer at all.
SILENCES_MIN = 2
# A record of silence is forgotten after this long without another.
SILENCE_MEMORY_MS = 15_000


# A report of an instance counts this long.
REPORT_TIMEOUT_MS = 600
# Reports overtake each other by a few at most; a lower sequence is a restarted instance.
REPORT_REORDER_MAX = 16


class _PeerReport:
    """The last report of another instance."""

    __slots__ = ("at_ms", "in_flight", "sequence")

    def __init__(self, sequence: int, in_flight: dict[str, int], at_ms: int) -> None:
        self.sequence = sequence
        self.in_flight = in_flight
        self.at_ms = at_ms


class UpstreamLoad:
    """Load of one upstream as this instance sees it.

    Attributes:
        in_flight: Requests of this instance that it has not answered.
        peer_in_flight: Requests of other instances, as they last told.
        placed_at_ms: When it was last given a flow.
    """

    __slots__ = (
        "_latency_at_ms",
        "_latency_ms",
        "_silence_ms",
        "_silent_since_ms",
        "_silent_until_ms",
        "in_flight",
        "peer_in_flight",
        "placed_at_ms",
    )

    def __init__(self) -> None:
        self.in_flight = 0
        self.peer_in_flight = 0
        self.placed_at_ms = 0
        self._latency_ms = LATENCY_DEFAULT_MS
        self._latency_at_ms = 0
        self._silence_ms = 0
        self._silent_since_ms = 0
        self._silent_until_ms = 0

    def add_latency(self, latency_ms: int, now_ms: int) -> None:
        """Takes the response time of a request."""
        current = self.estimate_latency_ms(now_ms)
        self._latency_ms = current + LATENCY_STEP * (latency_ms - current)
        self._latency_at_ms = now_ms

    def estimate_latency_ms(self, now_ms: int) -> float:
        """Returns the expected response time of a request without other load."""
        age_ms = now_ms - self._latency_at_ms
        share = 0.5 ** (age_ms / LATENCY_HALF_LIFE_MS)
        return LATENCY_DEFAULT_MS + (self._latency_ms - LATENCY_DEFAULT_MS) * share

    def note_answer(self, opened_at_ms: int) -> bool:
        """Notes that an opening packet sent at a time was answered.

        Returns:
            Whether that ends a silence.
        """
        if self._silence_ms == 0 or opened_at_ms < self._silent_since_ms:
            return False
        self._silent_until_ms = 0
        self._silence_ms = 0
        return True

    def note_silence(self, now_ms: int) -> int:
        """Notes that an opening packet was not answered in time.

        Returns:
            For how many ms more the upstream is avoided.
        """
        if now_ms < self._silent_until_ms:
            return self._silent_until_ms - now_ms
        if now_ms - self._silent_until_ms > SILENCE_MEMORY_MS:
            self._silence_ms = 0
        self._silence_ms = min(SILENCE_MAX_MS, 2 * self._silence_ms or SILENCE_FIRST_MS)
        self._silent_since_ms = now_ms
        self._silent_until_ms = now_ms + self._silence_ms
        return self._silence_ms

    def is_silent(self, now_ms: int) -> bool:
        """Whether it is avoided because it did not answer."""
        return now_ms < self._silent_until_ms

    def may_be_tried(self, now_ms: int) -> bool:
        """Whether a flow may be risked on it when no upstream answers."""
        is_lasting = self._silence_ms >= SILENCE_FIRST_MS << (SILENCES_MIN - 1)
        return not is_lasting or now_ms - self.placed_at_ms >= SILENT_TRIAL_MS


class LoadTracker:
    """The load of all upstreams by name."""

    __slots__ = ("_loads", "_reports")

    def __init__(self) -> None:
        self._loads: dict[str, UpstreamLoad] = collections.defaultdict(UpstreamLoad)
        self._reports: dict[str, _PeerReport] = {}

    def apply_report(
        self, sender: str, sequence: int, in_flight: Mapping[str, int], now_ms: int
    ) -> None:
        """Takes the requests in flight of another instance, by name of the upstream."""
        previous = self._reports.get(sender)
        if previous is not None:
            if 0 <= previous.sequence - sequence < REPORT_REORDER_MAX:
                return
            self._add(previous.in_flight, -1)
        self._reports[sender] = _PeerReport(sequence, dict(in_flight), now_ms)
        self._add(in_flight, 1)

    def expire_reports(self, now_ms: int) -> None:
        """Drops what instances said that have been quiet since."""
        for sender, report in list(self._reports.items()):
            if now_ms - report.at_ms >= REPORT_TIMEOUT_MS:
                self._add(report.in_flight, -1)
                del self._reports[sender]

    def list_in_flight(self) -> dict[str, int]:
        """Returns the own requests in flight by upstream, without those that have none."""
        return {name: load.in_flight for name, load in self._loads.items() if load.in_flight}

    def _add(self, in_flight: Mapping[str, int], sign: int) -> None:
        for name, count in in_flight.items():
            self._loads[name].peer_in_flight += sign * count

    def get(self, name: str) -> UpstreamLoad:
        """Returns the load of an upstream."""
        return self._loads[name]
