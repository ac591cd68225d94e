"""Chooses the instances that decide for slots in transition."""

from collections.abc import Mapping

from catkinspread.hashing import rank_by_rendezvous
from catkinspread.model import OwnerGroup, OwnerMember

# An owner and two successors.
GROUP_SIZE = 3


def choose_owner_group(
    key: str,
    live_members: Mapping[str, tuple[OwnerMember, ...]],
    avoided_data_centres: frozenset[str] = frozenset(),
) -> OwnerGroup:
    """Returns an owner and two successors in at least two data centres where possible.

    Args:
        key: Different keys spread the groups over the instances.
        live_members: Live instances by data centre.
        avoided_data_centres: Data centres that are used only when no other has an instance.

    Returns:
        The group, smaller if there are fewer instances; empty if there is none.
    """
    preferred = {
        name: live
        for name, live in live_members.items()
        if _is_usable(name, live, avoided_data_centres)
    }
    candidates = preferred or live_members
    data_centre_by_member = {
        member: name for name, members in candidates.items() for member in members
    }
    member_by_id = {member.instance: member for member in data_centre_by_member}
    ranked = [member_by_id[name] for name in rank_by_rendezvous(key, member_by_id)]
    group = ranked[:GROUP_SIZE]
    if len({data_centre_by_member[member] for member in group}) == 1:
        home = data_centre_by_member[group[0]]
        elsewhere = (member for member in ranked if data_centre_by_member[member] != home)
        other = next(elsewhere, None)
        if other is not None:
            group = [*group[: GROUP_SIZE - 1], other]
    return OwnerGroup(members=tuple(group))


def _is_usable(name: str, live: tuple[OwnerMember, ...], avoided: frozenset[str]) -> bool:
    return bool(live) and name not in avoided
