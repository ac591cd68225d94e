"""Messages about flows between instances.

An instance that sees the first packets of a flow which another one opened announces it to its data
centre: the others end their retries of its opening packet, and those that know where it is open
answer. So do the keepers of the flow in other data centres, which know it also if all instances of its
own data centre were lost, or if its caller has moved. The number of messages depends on the handshakes
under way while the routers change their rotation, not on the number of flows.
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
from catkinspread.runtime.flow_keepers import FlowKeepers
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
LOCATION_BYTES = 42
# Instances of the data centre that keep where a contested flow is open, besides the one that its
# packets reach.
REMEMBERING_INSTANCES = 2
_MS_PER_S = 1_000


class FlowAnnouncer:
    """Announces flows to other instances within a rate limit.

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
        "_keepers",
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
        self._keepers = FlowKeepers(directory)
        self.handover = FlowHandover(directory, exchange, rng)
        self.withheld_count = 0

    def announce(self, packet: CallerPacket, needs_answers: bool) -> frozenset[str]:
        """Announces a flow; see `FlowPeers`."""
        now_ms = self._clock.now_ms()
        asked = self._keepers.choose_remote_to_ask(packet.key, now_ms) if needs_answers else []
        hosts = [member.host for member in self._directory.list_local_peers()] + asked
        size_bytes = len(hosts) * (ANNOUNCEMENT_BYTES + LOCATION_BYTES * needs_answers)
        is_repeated = decode_stage(packet.token) is TokenStage.REPEATED_ATTEMPT
        may_end_handshake = not packet.payload_size_bytes
        is_preferred = is_repeated or may_end_handshake or not needs_answers
        if not self._try_spend(size_bytes, is_preferred):
            return frozenset()
        self._exchange.send_report(build_announcement(packet, needs_answers), hosts)
        return self._directory.list_answering_hosts(now_ms).union(asked)

    def is_uncontested(self, key: FlowKey, ignorant: frozenset[str], age_ms: int) -> bool:
        """Whether an instance that would know of a contested flow does not; see `FlowPeers`."""
        now_ms = self._clock.now_ms()
        keepers = self._keepers.choose_remote_to_tell(key, now_ms)
        if keepers and ignorant.issuperset(keepers):
            return True
        local = {member.host for member in self._directory.list_local_peers()}
        is_old = now_ms - self._directory.started_ms >= age_ms
        ignorant_count = len(local & ignorant) + is_old
        instance_count = len(local) + 1 + self._directory.count_lost_local(now_ms - age_ms)
        holders = min(instance_count, 1 + REMEMBERING_INSTANCES)
        return instance_count - ignorant_count < holders

    def remember(self, key: FlowKey, sequence: int, upstream: KnownUpstream, age_ms: int) -> None:
        """Tells a few instances where a flow is open; see `FlowPeers`."""
        hosts = [member.host for member in self._directory.list_staying_peers()]
        chosen = self._rng.sample(hosts, min(REMEMBERING_INSTANCES, len(hosts)))
        chosen += self._keepers.choose_remote_to_tell(key, self._clock.now_ms())
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
