"""Index of the last change of each record of one kind."""

# Removals that are remembered. A reader that lags behind an older one lists all records again. Records
# that exist need no such limit, because each has one entry.
REMOVALS_MAX = 1_024


class ChangeIndex:
    """Tells which records have changed after a revision.

    It holds names and revisions only. A record that changes often has one entry, like any other, so
    the memory depends on the number of records and not on how often they change.

    Attributes:
        oldest_revision: Changes after this revision are in the index.
        latest_revision: Revision of the last change; 0 if there is none since the last reset.
    """

    __slots__ = ("_removals", "_revisions", "latest_revision", "oldest_revision")

    def __init__(self) -> None:
        # In the order of the last changes.
        self._revisions: dict[str, int] = {}
        # Names without a record, in the order of their removals.
        self._removals: dict[str, None] = {}
        self.oldest_revision = 0
        self.latest_revision = 0

    def reset(self, revision: int) -> None:
        """Drops all entries; the index starts again after a revision."""
        self._revisions.clear()
        self._removals.clear()
        self.oldest_revision = revision
        self.latest_revision = 0

    def record_change(self, name: str, revision: int, has_record: bool) -> None:
        """Notes the last change of a name.

        Args:
            name: Name of the record.
            revision: Revision up to which the change was read; not less than that of the last call.
            has_record: Whether there is a record with this name after the change.
        """
        self._revisions.pop(name, None)
        self._removals.pop(name, None)
        self._revisions[name] = revision
        self.latest_revision = revision
        if has_record:
            return
        self._removals[name] = None
        if len(self._removals) > REMOVALS_MAX:
            forgotten = next(iter(self._removals))
            del self._removals[forgotten]
            self.oldest_revision = max(self.oldest_revision, self._revisions.pop(forgotten))

    def list_changed(self, revision: int) -> list[str]:
        """Returns the names that changed after a revision, in the order of their last changes."""
        found = []
        for name in reversed(self._revisions):
            if self._revisions[name] <= revision:
                break
            found.append(name)
        found.reverse()
        return found
