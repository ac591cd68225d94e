"""Flows of other instances of which this one keeps where they are open.

Only flows whose callers may return the token of another upstream are kept, at a few instances each.
"""

from collections.abc import Iterator

import msgspec

from catkinspread.forwarding.flows import is_same_flow
from catkinspread.forwarding.packets import FlowKey

# Flows that are kept; the oldest ones are dropped beyond it. 48 new flows/s, of which 2% are
# contested, are kept by two instances for 60 s each with a fiftieth of it.
REMEMBERED_MAX = 8_192
# The longest life of a flow.
REMEMBERED_MS = 60_000
# Time without packets after which a flow is discarded where the configuration does not tell.
IDLE_TIMEOUT_DEFAULT_MS = 15_000


class RememberedFlow(msgspec.Struct, frozen=True):
    """Where a flow is open.

    Attributes:
        key: Key of the flow.
        sequence: Sequence number of a packet of it.
        token: Token of its upstream.
        recorded_at_ms: When an instance saw it there.
        is_contested: Whether another upstream may have answered its opening packet.
    """

    key: FlowKey
    sequence: int
    token: int
    recorded_at_ms: int
    is_contested: bool = True

    def is_passed_on(self, now_ms: int) -> bool:
        """Whether another instance is told it before this one stops.

        An instance that a flow has come back to tells it itself, so one that is not contested is
        passed on only while it may still be idle.
        """
        return self.is_contested or now_ms - self.recorded_at_ms < IDLE_TIMEOUT_DEFAULT_MS


class RememberedFlows:
    """A bounded table in the order in which the flows were recorded."""

    __slots__ = ("_flows",)

    def __init__(self) -> None:
        self._flows: dict[FlowKey, RememberedFlow] = {}

    def __len__(self) -> int:
        return len(self._flows)

    def __iter__(self) -> Iterator[RememberedFlow]:
        return iter(self._flows.values())

    def record(self, flow: RememberedFlow) -> None:
        """Adds a flow and replaces what was known about it."""
        self._flows.pop(flow.key, None)
        self._flows[flow.key] = flow
        if len(self._flows) > REMEMBERED_MAX:
            del self._flows[next(iter(self._flows))]

    def find(self, key: FlowKey, sequence: int) -> RememberedFlow | None:
        """Returns what is known of a flow; None if it is not known.

        Args:
            key: Key of the flow.
            sequence: Sequence number of a packet of it, which tells it from others with its ports.
        """
        flow = self._flows.get(key)
        is_known = flow is not None and is_same_flow(sequence, flow.sequence)
        return flow if is_known else None

    def expire(self, now_ms: int) -> None:
        """Removes the flows that no instance has seen for REMEMBERED_MS."""
        for flow in list(self._flows.values()):
            if now_ms - flow.recorded_at_ms >= REMEMBERED_MS:
                del self._flows[flow.key]
