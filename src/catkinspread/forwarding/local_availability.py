"""Availability of local upstreams for the services that callers request.

Normally upstreams of other data centres serve as fallback. If the data centre is partitioned from
the others and has no eligible upstreams of its own, for example because it is evacuated, its
instances can only refuse flows. Callers are served better if the routers send their flows to
another data centre.
"""

import collections

from catkinspread.deployment import DeploymentState

# Maximum share of opening packets for services without a local upstream. Up to this share, if the
# instance reported not ready to the routers, they would move more flows that the data centre can
# serve than flows that it cannot.
UNSERVED_SHARE_MAX = 0.5


class LocalAvailability:
    """Tracks the services that callers request and whether they have local upstreams.

    Args:
        data_centre: Data centre of this instance.
        state: State of the deployment.

    Attributes:
        lacks_upstreams: Whether, at the last update, most opening packets were for services
            without a local upstream.
    """

    __slots__ = ("_counts", "_data_centre", "_last_counts", "_state", "lacks_upstreams")

    def __init__(self, data_centre: str, state: DeploymentState) -> None:
        self._data_centre = data_centre
        self._state = state
        self._counts: collections.Counter[str] = collections.Counter()
        self._last_counts: collections.Counter[str] = collections.Counter()
        self.lacks_upstreams = False

    def record_opening(self, service: str) -> None:
        """Counts an opening packet for a service."""
        self._counts[service] += 1

    def update(self, now_ms: int) -> None:
        """Recomputes `lacks_upstreams` from the opening packets since the last call.

        If there were none, those of the last interval with any are used again. Before the first
        opening packet, all services of the configuration have equal weight.
        """
        if self._counts:
            self._last_counts = self._counts
            self._counts = collections.Counter()
        openings = self._last_counts or collections.Counter(self._state.list_services())
        unserved = sum(
            count
            for service, count in openings.items()
            if not self._has_local_upstream(service, now_ms)
        )
        self.lacks_upstreams = unserved > UNSERVED_SHARE_MAX * openings.total()

    def _has_local_upstream(self, service: str, now_ms: int) -> bool:
        return any(
            upstream.record.data_centre == self._data_centre
            and upstream.missing_since_ms is None
            and now_ms >= upstream.cold_until_ms
            for upstream in self._state.list_eligible_upstreams(service)
        )
