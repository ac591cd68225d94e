"""Counts the flows that wait for an answer of their upstream as load of the upstream."""

from catkinspread.forwarding.flows import Flow
from catkinspread.forwarding.load import LoadTracker


class WaitTracker:
    """Starts and ends the wait of flows for an answer.

    Args:
        loads: Load of the upstreams; each waiting flow counts once in `UpstreamLoad.in_flight`.
    """

    __slots__ = ("_loads",)

    def __init__(self, loads: LoadTracker) -> None:
        self._loads = loads

    def start(self, flow: Flow, now_ms: int) -> None:
        """Starts the wait of a flow unless it waits already."""
        if flow.pending_since_ms is None:
            flow.pending_since_ms = now_ms
            self._loads.get(flow.upstream.record.name).in_flight += 1

    def stop(self, flow: Flow) -> None:
        """Ends the wait of a flow if it waits."""
        if flow.pending_since_ms is not None:
            flow.pending_since_ms = None
            load = self._loads.get(flow.upstream.record.name)
            load.in_flight = max(0, load.in_flight - 1)
