"""Counters of the flow routing."""

import msgspec


class OwnerCounters(msgspec.Struct):
    """Counters of a transition owner since its start.

    Attributes:
        takeovers: Batches of slots taken over in SPLIT or later.
        orphaned_groups: New groups asked for after a whole group had died.
        listings_blocked: Times that a list would have exceeded the limit of exceptions.
        pins_adopted: Pins taken over from another member that had pinned the flow first.
    """

    takeovers: int = 0
    orphaned_groups: int = 0
    listings_blocked: int = 0
    pins_adopted: int = 0
