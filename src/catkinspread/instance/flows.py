"""Where the callers of flows are reached; lost with the instance and rebuilt from packets."""

import collections

import msgspec

from catkinspread.model import Endpoint


class Flow(msgspec.Struct, frozen=True):
    """A flow as seen in its latest packet.

    Attributes:
        flow_hash: Hash that identifies it.
        service: Name of the service.
        service_address: Address the caller sent to.
        caller: Address of the caller.
        seen_at_ms: When the latest packet arrived.
        upstream: Upstream the latest packet was sent to; empty if none yet.
    """

    flow_hash: int
    service: str
    service_address: Endpoint
    caller: Endpoint
    seen_at_ms: int
    upstream: str = ""


class FlowTable:
    """A bounded table of flows, the longest silent one first.

    It only says where answers go. The upstream of a flow never depends on it, because the
    next packet of the flow may reach an instance without the entry.
    """

    __slots__ = ("_flows", "_flows_max")

    def __init__(self, flows_max: int) -> None:
        self._flows: collections.OrderedDict[int, Flow] = collections.OrderedDict()
        self._flows_max = flows_max

    def __len__(self) -> int:
        return len(self._flows)

    def remember(self, flow: Flow) -> None:
        """Adds or renews a flow; the longest silent one makes room when the table is full."""
        self._flows[flow.flow_hash] = flow
        self._flows.move_to_end(flow.flow_hash)
        if len(self._flows) > self._flows_max:
            self._flows.popitem(last=False)

    def find(self, flow_hash: int) -> Flow | None:
        """Returns a flow, or None if it is not known here."""
        return self._flows.get(flow_hash)

    def forget(self, flow_hash: int) -> None:
        """Removes a flow if it is there."""
        self._flows.pop(flow_hash, None)

    def count_by_upstream(self, service: str) -> dict[str, int]:
        """Returns the number of flows of a service by the name of their upstream."""
        names = (flow.upstream for flow in self._flows.values() if flow.service == service)
        return dict(collections.Counter(name for name in names if name))

    def expire(self, now_ms: int, idle_timeout_ms: int) -> int:
        """Removes flows that were silent for longer than a timeout and returns how many."""
        count = 0
        while self._flows:
            oldest = next(iter(self._flows.values()))
            if now_ms - oldest.seen_at_ms <= idle_timeout_ms:
                break
            self._flows.popitem(last=False)
            count += 1
        return count
