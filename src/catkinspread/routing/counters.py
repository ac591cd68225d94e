"""Counters of the flow routing."""

import msgspec


class OwnerCounters(msgspec.Struct):
    """Counters of a transition owner since its start.

    Attributes:
        takeovers: Batches of slots taken over in SPLIT or later.
        groups_recreated: New groups requested after all members of a group had failed.
        listings_blocked: Attempts to end a transition that would have exceeded the limit of
            exceptions.
        pins_adopted: Pins adopted from another member that had pinned the flow first.
    """

    takeovers: int = 0
    groups_recreated: int = 0
    listings_blocked: int = 0
    pins_adopted: int = 0
