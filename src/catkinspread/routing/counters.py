"""Counters of the flow routing."""

import msgspec


class OwnerCounters(msgspec.Struct):
    """Counters of a transition owner since its start.

    Attributes:
        takeovers: Times that this instance became the acting member of a batch in SPLIT or later.
        groups_recreated: New owner groups requested for slots whose members had all failed.
        listings_blocked: Attempts to end a transition that would have exceeded the limit of
            exceptions.
        pins_adopted: Pins replaced by the conflicting pin of another member that kept its own.
    """

    takeovers: int = 0
    groups_recreated: int = 0
    listings_blocked: int = 0
    pins_adopted: int = 0
