"""Live instances and the selection of owner groups.

An owner group is the ordered list of the instances that route the flows of a slot in transition.
Its acting member is the first member that an instance considers alive; the instance forwards the
packets of the slot to it. The members after it are its successors, which replace it in order.
The replicas of the acting member are the other live instances that store its pins: its successors,
instances that are joining the group, and former members to which some instances may still forward.
"""

from collections.abc import Iterable

import msgspec

from catkinspread.hashing import rank_by_rendezvous
from catkinspread.model import InstanceIncarnation, OwnerGroup

# One acting member and two successors: the group survives the loss of two instances at once.
GROUP_SIZE = 3


class MemberView(msgspec.Struct, frozen=True):
    """A live instance as known to this instance.

    Attributes:
        name: Name of the instance.
        incarnation: Number of the instance that grows with each start and each rejoin.
        data_centre: Data centre of the instance.
        version: Configuration version that the instance last reported.
        is_leaving: Whether the instance has announced that it is shutting down.
    """

    name: str
    incarnation: int
    data_centre: str
    version: int = 0
    is_leaving: bool = False

    @property
    def member(self) -> InstanceIncarnation:
        """Identity of the instance in owner groups."""
        return InstanceIncarnation(self.name, self.incarnation)


class LiveMembers:
    """Immutable set of the live instances; a membership change creates a new one."""

    __slots__ = ("_by_name",)

    def __init__(self, members: Iterable[MemberView] = ()) -> None:
        self._by_name = {member.name: member for member in members}

    def __iter__(self):
        return iter(self._by_name.values())

    def is_alive(self, member: InstanceIncarnation) -> bool:
        """Returns whether the instance is alive with the incarnation of the member."""
        view = self._by_name.get(member.instance)
        return view is not None and view.incarnation == member.incarnation

    def is_leaving(self, member: InstanceIncarnation) -> bool:
        """Returns whether a live member has announced that it is shutting down."""
        return self.is_alive(member) and self._by_name[member.instance].is_leaving

    def find_acting(self, group: OwnerGroup) -> InstanceIncarnation | None:
        """Returns the acting member of a group, or None if no member is alive."""
        for member in group.members:
            if self.is_alive(member):
                return member
        return None

    def have_all_reported(self, version: int) -> bool:
        """Returns whether every live instance has reported a version or a later one."""
        return all(member.version >= version for member in self._by_name.values())


def choose_group(
    key: str,
    members: Iterable[MemberView],
    kept: tuple[InstanceIncarnation, ...] = (),
    avoided_data_centres: frozenset[str] = frozenset(),
) -> OwnerGroup:
    """Chooses an owner group, preferring instances in different data centres.

    Args:
        key: Key of the rendezvous hash, such as the name of a service. Different keys spread
            the load over the instances.
        members: Live instances.
        kept: Members that stay in the group, in this order.
        avoided_data_centres: Data centres that are out of service. Their instances are chosen
            only if there are no others.

    Returns:
        The kept members followed by newly chosen ones, at most GROUP_SIZE unless more are
        kept. Instances that are leaving are not chosen.
    """
    by_name = {member.name: member for member in members}
    chosen = list(kept)
    kept_names = {member.instance for member in kept}
    used = {by_name[name].data_centre for name in kept_names if name in by_name}
    ranked = [by_name[name] for name in rank_by_rendezvous(key, by_name)]
    candidates = [view for view in ranked if view.name not in kept_names and not view.is_leaving]
    while candidates and len(chosen) < GROUP_SIZE:
        # The sort is stable, so equal candidates keep their rendezvous order.
        candidates.sort(
            key=lambda view: (view.data_centre in avoided_data_centres, view.data_centre in used)
        )
        view = candidates.pop(0)
        chosen.append(view.member)
        used.add(view.data_centre)
    return OwnerGroup(tuple(chosen))
