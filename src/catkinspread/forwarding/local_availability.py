"""Whether the own data centre can serve what its callers ask for.

Normally upstreams elsewhere take over. An instance whose data centre is cut off and has no upstreams
of its own, for example because they were evacuated, can only refuse; it is better for callers if
the routers hand their flows to another data centre.
"""

import collections

from catkinspread.deployment import DeploymentState

# The data centre is lacking if a larger share of its openings is for services without an upstream
# there; below it, leaving the rotation would move more flows than it helps.
LACKING_SHARE = 0.5


class LocalAvailability:
    """Follows which services callers ask for and whether the data centre has upstreams of them.

    Args:
        data_centre: Where this instance runs.
        state: The deployment.

    Attributes:
        lacks_upstreams: Whether most openings are for services without an upstream here; as of the
            last update.
    """

    __slots__ = ("_counts", "_data_centre", "_mix", "_state", "lacks_upstreams")

    def __init__(self, data_centre: str, state: DeploymentState) -> None:
        self._data_centre = data_centre
        self._state = state
        self._counts: collections.Counter[str] = collections.Counter()
        self._mix: collections.Counter[str] = collections.Counter()
        self.lacks_upstreams = False

    def record_opening(self, service: str) -> None:
        """Counts an opening packet for a service."""
        self._counts[service] += 1

    def update(self, now_ms: int) -> None:
        """Decides anew for the openings since the last call; without any, for the ones before.

        Before the first opening all services of the configuration count alike.
        """
        if self._counts:
            self._mix = self._counts
            self._counts = collections.Counter()
        mix = self._mix or collections.Counter(self._state.list_services())
        lacking = sum(
            count for service, count in mix.items() if not self._has_upstream(service, now_ms)
        )
        self.lacks_upstreams = lacking > LACKING_SHARE * mix.total()

    def _has_upstream(self, service: str, now_ms: int) -> bool:
        return any(
            upstream.record.data_centre == self._data_centre
            and upstream.missing_since_ms is None
            and now_ms >= upstream.cold_until_ms
            for upstream in self._state.list_eligible_upstreams(service)
        )
