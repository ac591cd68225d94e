"""Merging of a listing of a restored source with the records that were known before.

A source that was restored from a copy lists the state of some seconds before. Records that were
written or removed since then appear in it as they were, until their writers write them again.
"""

from collections.abc import Mapping

from catkinspread.deployment import (
    StateChange,
    StateChanges,
    StateKind,
    StateRecord,
    UpstreamRecord,
)


def merge_restored_listing(
    kind: StateKind,
    listing: StateChanges,
    known: Mapping[str, StateRecord],
    removed: Mapping[str, UpstreamRecord],
) -> tuple[StateChange, ...]:
    """Returns the items of a listing in which outdated records are replaced.

    * An upstream is listed with its newest report, and not at all if it was removed after the
      report in the listing.
    * An evacuation goes on although the listing lacks it. One that was lifted is in force again
      until the operator lifts it again: sending nothing there harms less than sending too much.
    * An upstream that the listing lacks stays out of it; it reports again within seconds.

    Args:
        kind: Kind of the records.
        listing: The listing.
        known: Records by name that were known before.
        removed: Last records by name of upstreams that were removed before.
    """
    merged: list[StateChange] = []
    for change in listing.changes:
        current = known.get(change.name)
        if _is_outdated(change.record, current):
            merged.append(StateChange(change.name, current))
        elif not _is_left(change.record, removed.get(change.name)):
            merged.append(change)
    if kind is StateKind.EVACUATIONS:
        listed = {change.name for change in listing.changes}
        merged.extend(
            StateChange(name, record) for name, record in known.items() if name not in listed
        )
    return tuple(merged)


def _is_outdated(listed: StateRecord | None, known: StateRecord | None) -> bool:
    if not isinstance(listed, UpstreamRecord) or not isinstance(known, UpstreamRecord):
        return False
    return listed.is_older_than(known)


def _is_left(listed: StateRecord | None, removed: UpstreamRecord | None) -> bool:
    """Whether a listed upstream has not reported since it was removed."""
    if not isinstance(listed, UpstreamRecord) or removed is None:
        return False
    return not removed.is_older_than(listed)
