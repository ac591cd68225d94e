"""Messages about flows between the instances of a data centre.

An instance that sees the first packets of a flow which another one opened announces it: the others
end their retries of its opening packet, and those that know where it is open answer. The number of
messages depends on the handshakes under way while the routers change their rotation, not on the
number of flows.
"""

import random

from catkinspread.clock import Clock
from catkinspread.deployment import KnownUpstream
from catkinspread.forwarding import (
    CallerPacket,
    FlowKey,
    HandedOverFlow,
    TokenStage,
    decode_stage,
)
from catkinspread.peers import PeerDirectory, PeerExchange
from catkinspread.runtime.flow_handover import FlowHandover
from catkinspread.runtime.flow_messages import build_announcement, build_location

# Long-term limit of the announcements of an instance: a third of the 3 KB/s for all its messages.
BYTES_PER_S = 1_000.0
# Announcements that may be sent at once, with their answers: 9 flows in a data centre of 107
# instances. An instance with 48 new flows/s takes over fewer handshakes when another one leaves.
BURST_BYTES = 80_000.0
# Part of the burst that is kept for announcements that end retries or settle a repeated attempt.
# Callers that never change their token need no others, but cause one for each flow that is moved.
RESERVED_BYTES = 40_000.0
# Estimates of the sizes of the messages, without the headers of the network layers.
ANNOUNCEMENT_BYTES = 42
LOCATION_BYTES = 41
# Instances that keep where a contested flow is open, besides the one that its packets reach.
REMEMBERING_INSTANCES = 2
_MS_PER_S = 1_000


class FlowAnnouncer:
    """Announces flows to the other instances of the data centre within a rate limit.

    Args:
        directory: Directory of the other instances.
        exchange: Sends the messages.
        clock: Source of the time.
        rng: Source of random choices.

    Attributes:
        handover: Sends the messages of a planned stop.
        withheld_count: Messages that the rate limit did not allow.
    """

    __slots__ = (
        "_available_bytes",
        "_clock",
        "_directory",
        "_exchange",
        "_refilled_at_ms",
        "_rng",
        "handover",
        "withheld_count",
    )

    def __init__(
        self,
        directory: PeerDirectory,
        exchange: PeerExchange,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._exchange = exchange
        self._clock = clock
        self._rng = rng
        self._available_bytes = BURST_BYTES
        self._refilled_at_ms = clock.now_ms()
        self.handover = FlowHandover(directory, exchange, rng)
        self.withheld_count = 0

    def announce(self, packet: CallerPacket, needs_answers: bool) -> frozenset[str]:
        """Announces a flow; see `FlowPeers`."""
        hosts = [member.host for member in self._directory.list_local_peers()]
        size_bytes = len(hosts) * (ANNOUNCEMENT_BYTES + LOCATION_BYTES * needs_answers)
        is_repeated = decode_stage(packet.token) is TokenStage.REPEATED_ATTEMPT
        may_end_handshake = not packet.payload_size_bytes
        is_preferred = is_repeated or may_end_handshake or not needs_answers
        if not self._try_spend(size_bytes, is_preferred):
            return frozenset()
        self._exchange.send_report(build_announcement(packet, needs_answers), hosts)
        return self._directory.list_answering_hosts(self._clock.now_ms())

    def remember(self, key: FlowKey, sequence: int, upstream: KnownUpstream, age_ms: int) -> None:
        """Tells a few instances where a flow is open; see `FlowPeers`."""
        hosts = [member.host for member in self._directory.list_staying_peers()]
        chosen = self._rng.sample(hosts, min(REMEMBERING_INSTANCES, len(hosts)))
        if self._try_spend(len(chosen) * LOCATION_BYTES, is_preferred=True):
            location = build_location(key, sequence, upstream.token, age_ms)
            self._exchange.send_report(location, chosen)

    def hand_over(self, flows: list[HandedOverFlow]) -> None:
        """Starts to tell others the flows before a planned stop; see `FlowPeers`."""
        self.handover.start(flows)

    def _try_spend(self, size_bytes: int, is_preferred: bool) -> bool:
        now_ms = self._clock.now_ms()
        refill_bytes = (now_ms - self._refilled_at_ms) * BYTES_PER_S / _MS_PER_S
        self._available_bytes = min(BURST_BYTES, self._available_bytes + refill_bytes)
        self._refilled_at_ms = now_ms
        reserved_bytes = 0.0 if is_preferred else RESERVED_BYTES
        if self._available_bytes - reserved_bytes < size_bytes:
            self.withheld_count += 1
            return False
        self._available_bytes -= size_bytes
        return True
