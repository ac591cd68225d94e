"""Share of the new flows of a service that may go to other data centres before its own is full.

While upstreams of the own data centre have free slots, their expected response time is shorter than
that of any other data centre. If only this time counted, flows would spill over once all slots are
taken, and all instances would change their choice at the same moment. The share changes slowly
instead, so that the effect of a change is seen in the load before the next one.
"""

import math
from collections.abc import Mapping

# Load of the own data centre, in requests in flight per work slot, at which spill-over begins. The
# network takes three tenths of the time that a request is in flight (`PROCESSING_FRACTION`), so all
# slots are taken at about 1.4; this is seven tenths of it.
START_OCCUPANCY = 1.0
# Load below which nothing spills over, because traffic between data centres is expensive.
LITTLE_OCCUPANCY = 0.6
# Load by which another data centre must be below the own one. Random differences of data centres
# with equal load are smaller, so these do not exchange flows.
ADVANTAGE_MIN = 0.3
# Share for each unit of excess load, and the time constant with which the share follows it. The
# load of other data centres is known with a delay of up to 1 s, so a larger share or a shorter time
# constant makes the spill-over of a steady demand oscillate.
SHARE_PER_EXCESS = 0.5
FOLLOWING_MS = 6_000
SHARE_MAX = 0.9
# Time constant of the moving averages of the load.
SMOOTHING_MS = 3_000


class SpillOver:
    """Computes the share of one service.

    Attributes:
        share: Fraction of the new flows that may go to another data centre, 0 to SHARE_MAX.
    """

    __slots__ = ("_averages", "_own", "_updated_at_ms", "share")

    def __init__(self, own: str) -> None:
        self.share = 0.0
        self._own = own
        self._averages: dict[str, float] = {}
        self._updated_at_ms: int | None = None

    def update(self, occupancies: Mapping[str, float], now_ms: int) -> None:
        """Changes the share according to the load.

        Args:
            occupancies: Requests in flight per work slot by data centre, where they are known.
            now_ms: Current time.
        """
        elapsed_ms = 0 if self._updated_at_ms is None else now_ms - self._updated_at_ms
        self._updated_at_ms = now_ms
        weight = 1.0 - math.exp(-elapsed_ms / SMOOTHING_MS)
        self._averages = {
            name: (1.0 - weight) * self._averages.get(name, occupancy) + weight * occupancy
            for name, occupancy in occupancies.items()
        }
        own = self._averages.get(self._own, 0.0)
        if own < LITTLE_OCCUPANCY or not any(map(self.may_take, self._averages)):
            self.share = 0.0
            return
        least = min(self._averages.values())
        excess = max(0.0, own - max(START_OCCUPANCY, least + ADVANTAGE_MIN))
        target = min(SHARE_MAX, SHARE_PER_EXCESS * excess)
        self.share += (1.0 - math.exp(-elapsed_ms / FOLLOWING_MS)) * (target - self.share)

    def may_take(self, data_centre: str) -> bool:
        """Whether the load of another data centre is known to be clearly below the own load."""
        occupancy = self._averages.get(data_centre)
        own = self._averages.get(self._own, 0.0)
        return occupancy is not None and occupancy + ADVANTAGE_MIN <= own
