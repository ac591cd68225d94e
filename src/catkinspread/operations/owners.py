"""Chooses the instances that decide for slots in transition."""

from collections.abc import Mapping

from catkinspread.model import InstanceIncarnation, OwnerGroup
from catkinspread.routing import MemberView, choose_group

# Bounds the groups of one entry: each takes about 60 bytes, and choosing it among 640 members
# takes 1 ms.
_GROUPS_MAX = 64


def choose_owner_group(
    key: str,
    live_members: Mapping[str, tuple[InstanceIncarnation, ...]],
    avoided_data_centres: frozenset[str] = frozenset(),
) -> OwnerGroup:
    """Returns an owner and two successors in at least two data centres where possible.

    Args:
        key: Different keys spread the groups over the instances.
        live_members: Live instances by data centre, without those that are leaving.
        avoided_data_centres: Data centres that are used only when no other has an instance.

    Returns:
        The group, smaller if there are fewer instances; empty if there is none.
    """
    views = [
        MemberView(member.instance, member.incarnation, data_centre)
        for data_centre, members in live_members.items()
        for member in members
    ]
    return choose_group(key, views, avoided_data_centres=avoided_data_centres)


def count_groups(
    slots: int,
    services: int,
    live_members: Mapping[str, tuple[InstanceIncarnation, ...]],
    least_slots: int,
) -> int:
    """Returns the number of groups that share the moved slots of a service.

    All packets of a slot in transition go to the owner of its group, so one group for a large
    move would load one instance with the traffic of several. With many services a group for
    each spreads the load already, and every group costs every instance work.

    Args:
        slots: Moved slots of the service.
        services: Services whose slots move in the same change.
        live_members: Live instances by data centre.
        least_slots: Fewer slots than this are not worth another group.
    """
    members = sum(len(live) for live in live_members.values())
    available = min(members, _GROUPS_MAX) // max(1, services)
    return max(1, min(slots // least_slots, available))
