"""What a process knows of the configuration log."""

import msgspec

from catkinspread.configuration import ChangeEntry, apply_entry, decode_entry, hash_payload
from catkinspread.model import Configuration, Endpoint
from catkinspread.objectstore import LogEntry
from catkinspread.operations.audit import Change, is_automatic, list_objects
from catkinspread.operations.context import RemovedEndpoint, note_removals
from catkinspread.operations.removals import note_idle_removals

# Enough to name who came first in a race; older changes are read from the log.
RECENT_MAX = 64


class OperationsState(msgspec.Struct, frozen=True):
    """The configuration at a version and what the next entry needs.

    Attributes:
        configuration: The state after the last entry.
        last_hash: Hash of the last entry; 0 before the first.
        last_written_at_ms: Time of the last entry.
        removed_endpoints: Endpoints in quarantine.
        recent: The latest changes without their effects, oldest first.
        due_services: Services that changed since an automatic step last examined them.
        idle_since_ms: Since when upstreams that are being removed get no new flows.
    """

    configuration: Configuration = Configuration()
    last_hash: int = 0
    last_written_at_ms: int = 0
    removed_endpoints: dict[Endpoint, RemovedEndpoint] = {}
    recent: tuple[Change, ...] = ()
    due_services: frozenset[str] = frozenset()
    idle_since_ms: dict[str, int] = {}

    @property
    def version(self) -> int:
        """Version of the configuration."""
        return self.configuration.version

    def find_other_change(self, since: int) -> Change | None:
        """Returns the latest change after a version, that of an operator if there is one."""
        later = [change for change in self.recent if change.version > since] or self.recent[-1:]
        stated = [change for change in later if not is_automatic(change.entry.actor)]
        return next(reversed(stated or later), None)


def advance_state(state: OperationsState, item: LogEntry) -> OperationsState:
    """Returns the state after the next entry.

    Raises:
        EntryError: If the entry is malformed or does not fit.
    """
    entry = decode_entry(item.payload)
    configuration = apply_entry(state.configuration, item.index, entry)
    services = find_services(state.configuration, entry)
    summary = Change(item.index, msgspec.structs.replace(entry, effects=()))
    return OperationsState(
        configuration=configuration,
        last_hash=hash_payload(item.payload),
        last_written_at_ms=max(state.last_written_at_ms, entry.written_at_ms),
        removed_endpoints=note_removals(state.removed_endpoints, state.configuration, entry),
        recent=(*state.recent, summary)[-RECENT_MAX:],
        due_services=state.due_services | services,
        idle_since_ms=note_idle_removals(state.idle_since_ms, configuration, entry, services),
    )


def find_services(before: Configuration, entry: ChangeEntry) -> frozenset[str]:
    """Returns the services whose slots may have to move after an entry."""
    objects = list_objects(entry)
    data_centres = {item.name for item in objects if item.kind == "data-centre"}
    named = {item.name for item in objects if item.kind == "service"}
    inside = {
        upstream.service
        for upstream in (before.upstreams.values() if data_centres else ())
        if upstream.data_centre in data_centres
    }
    return frozenset(named | inside)


def build_entry(
    state: OperationsState, change_id: str, actor: str, command: str, reason: str, now_ms: int
) -> ChangeEntry:
    """Returns an entry without effects that follows the last one.

    Times in the log never go back, because quarantines and idle times are counted from them.
    """
    written_at_ms = max(now_ms, state.last_written_at_ms)
    return ChangeEntry(change_id, actor, command, reason, written_at_ms, state.last_hash, ())
