"""Tells other instances, before a planned stop, the flows that cannot be found by their tokens.

The messages are sent in steps while the routers still send packets here, so that they neither
overflow the socket of a receiver nor use the budget for flows that end their handshake meanwhile.
They wait while no other instance stays: one that is being started again may stay before this process
ends.
"""

import collections
import random
from collections.abc import Iterable

import msgspec

from catkinspread.forwarding import FlowKey, HandedOverFlow
from catkinspread.peers import FlowLocation, PeerDirectory, PeerExchange
from catkinspread.runtime.flow_keepers import FlowKeepers
from catkinspread.runtime.flow_messages import build_location

# Instances that are told a contested flow that is open here.
RECIPIENTS_OF_OPEN = 2
# A flow that this instance only keeps for another one is told to one, because a second one keeps it as
# well: to the next keeper in the order in which instances of other data centres ask. So are flows that
# are not contested, because few callers return an old token.
RECIPIENTS_OF_OTHERS = 1
# Messages of one step; a receiver queues about 270 small datagrams.
MESSAGES_PER_STEP = 64
# Messages of one stop: 84 KB, which an instance that is restarted each 5 hours sends on top of 1 KB/s.
MESSAGES_MAX = 2_048


class _Message(msgspec.Struct, frozen=True):
    """A message of a stop.

    Attributes:
        location: Where a flow is open.
        kept_key: Key of the flow if this instance only keeps it for another one.
    """

    location: FlowLocation
    kept_key: FlowKey | None


class FlowHandover:
    """Queue of the messages of a planned stop.

    Args:
        directory: Directory of the other instances.
        exchange: Sends the messages.
        rng: Source of random choices.

    Attributes:
        sent_count: Messages that were sent.
    """

    __slots__ = (
        "_directory",
        "_exchange",
        "_is_waiting",
        "_keepers",
        "_queue",
        "_refused_count",
        "_rng",
        "sent_count",
    )

    def __init__(
        self, directory: PeerDirectory, exchange: PeerExchange, rng: random.Random
    ) -> None:
        self._directory = directory
        self._exchange = exchange
        self._rng = rng
        self._keepers = FlowKeepers(directory)
        self._queue: collections.deque[_Message] = collections.deque()
        # Whether no other instance stayed at the last step.
        self._is_waiting = False
        # Messages beyond MESSAGES_MAX.
        self._refused_count = 0
        self.sent_count = 0

    @property
    def withheld_count(self) -> int:
        """Messages beyond MESSAGES_MAX, and those that wait for an instance that stays."""
        return self._refused_count + (len(self._queue) if self._is_waiting else 0)

    def start(self, flows: Iterable[HandedOverFlow]) -> None:
        """Queues the messages about flows; of too many, those of the last flows are left out."""
        for flow in flows:
            location = build_location(
                flow.key, flow.sequence, flow.upstream.token, flow.age_ms, flow.is_contested
            )
            is_told_twice = flow.is_open_here and flow.is_contested
            copies = RECIPIENTS_OF_OPEN if is_told_twice else RECIPIENTS_OF_OTHERS
            if self.sent_count + len(self._queue) + copies > MESSAGES_MAX:
                self._refused_count += copies
            else:
                message = _Message(location, None if flow.is_open_here else flow.key)
                self._queue.extend([message] * copies)

    def send_due(self, _: int) -> None:
        """Sends the messages of one step."""
        if not self._queue:
            return
        hosts = [member.host for member in self._directory.list_staying_peers()]
        self._is_waiting = not hosts
        if self._is_waiting:
            return
        self._rng.shuffle(hosts)
        for number in range(min(MESSAGES_PER_STEP, len(self._queue))):
            message = self._queue.popleft()
            # Copies of a message follow each other, so they go to different instances.
            host = hosts[number % len(hosts)]
            if message.kept_key is not None:
                host = self._keepers.choose_successor(message.kept_key) or host
            self._exchange.send_report(message.location, [host])
            self.sent_count += 1
