"""Recognises the time after restarts, in which callers return and figures are incomplete.

After a loss of many instances, callers ask all at once, with several tries each. Their demand
seems to exceed the room of a service for a few seconds, although it does not.
"""

from collections.abc import Sequence

# Time after a start in which an instance settles. In one run the queues were still full 3.6 s after
# a loss of power of all instances, as callers returned.
SETTLING_MS = 5_000
# Number and share of the other instances of a data centre whose recent start makes this one settle
# too, because the callers of the lost ones return to all. A rolling restart stays below.
RECENT_STARTS_MIN = 2
RECENT_STARTS_SHARE_MIN = 0.25


def has_many_recent_starts(
    own_started_ms: float, peers_started_ms: Sequence[float], now_ms: float
) -> bool:
    """Returns whether this instance, or many of its data centre, started within SETTLING_MS.

    A start far in the future is that of an instance whose clock is ahead; it does not count.
    """

    def is_recent(started_ms: float) -> bool:
        return abs(now_ms - started_ms) < SETTLING_MS

    if is_recent(own_started_ms):
        return True
    count_min = max(RECENT_STARTS_MIN, RECENT_STARTS_SHARE_MIN * (1 + len(peers_started_ms)))
    return sum(map(is_recent, peers_started_ms)) >= count_min
