"""Queries of the membership view."""

from catkinspread.membership.messages import MemberState
from catkinspread.membership.table import Member, MemberTable
from catkinspread.model import InstanceIncarnation


class MembershipQueries:
    """Read-only interface of a membership view."""

    __slots__ = ("_is_stale", "_own_id", "_stale_since_ms", "_table")

    def __init__(self, table: MemberTable, own_id: str) -> None:
        self._table = table
        self._own_id = own_id
        self._is_stale = False
        self._stale_since_ms = 0

    @property
    def own(self) -> Member:
        """The member that is this instance."""
        return self._table.find(self._own_id)

    @property
    def is_stale(self) -> bool:
        """Whether the view may be out of date because the process was suspended.

        True if the process was suspended for longer than `stale_after_ms` and has since neither
        received a reply or view page from a peer nor completed a request to the platform. The
        caller must not route by a stale view.
        """
        return self._is_stale

    def find_member(self, member: str) -> Member | None:
        """Returns a known member, live or not, which must not be modified, or None."""
        return self._table.find(member)

    def list_live(self) -> list[str]:
        """Returns the sorted ids of the live members, including this instance."""
        return list(self._table.list_live())

    def list_live_by_data_centre(self) -> dict[str, list[str]]:
        """Returns the sorted ids of the live members for each data centre."""
        found: dict[str, list[str]] = {}
        for member in self._table.list_live():
            found.setdefault(self._table.find(member).data_centre, []).append(member)
        return found

    def find_live(self, member: str) -> InstanceIncarnation | None:
        """Returns a live member with its incarnation, or None if it is not live."""
        known = self._table.find(member)
        if known is None or not known.is_live:
            return None
        return InstanceIncarnation(member, known.incarnation)

    def is_live(self, member: InstanceIncarnation) -> bool:
        """Whether a member is live with the given incarnation."""
        return self.find_live(member.instance) == member

    def is_suspect(self, member: str) -> bool:
        """Whether a member is suspect; a suspect still counts as live."""
        known = self._table.find(member)
        return known is not None and known.state is MemberState.SUSPECT

    def find_reported_version(self, member: str) -> int | None:
        """Returns the last configuration version a member reported, or None if it is not live."""
        known = self._table.find(member)
        return known.version if known is not None and known.is_live else None

    def have_all_reported(self, version: int) -> bool:
        """Whether all live members have reported a configuration version or a later one."""
        reported_version, mask = self._table.get_version_reports()
        live = self._table.list_live()
        if reported_version == version:
            return mask == (1 << len(live)) - 1
        return all(self._table.find(member).version >= version for member in live)

    def count_known(self) -> int:
        """Returns the number of members that are live, or dead or left but not yet removed.

        A dead or left member is removed after `forget_after_ms`.
        """
        return len(self._table.list_members())
