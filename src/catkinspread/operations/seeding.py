"""Builds the state of operations from a configuration and the end of the log.

Replaying a year of the log at the target takes more than a minute, and instances are replaced
several times a day. The end of the log is enough: quarantines last an hour and the waits of
removals a day.
"""

import msgspec

from catkinspread.configuration import EntryError, decode_entry, hash_payload
from catkinspread.model import Configuration, UpstreamState
from catkinspread.objectstore import AppendLog, LogEntry
from catkinspread.operations.audit import Change
from catkinspread.operations.context import note_removals
from catkinspread.operations.removals import FLOW_LIFETIME_MAX_MS, note_idle_removals
from catkinspread.operations.state import RECENT_MAX, OperationsState, find_services

_PAGE_ENTRIES = 256


async def seed_state(log: AppendLog, configuration: Configuration, now_ms: int) -> OperationsState:
    """Returns the state at the version of a configuration.

    Args:
        log: The configuration log.
        configuration: What this instance has applied, at a version of at least 1.
        now_ms: Current time in ms since the epoch.

    Raises:
        EntryError: If the log lacks an entry at or before the version, or one is malformed.
        ObjectStoreError: If the log cannot be read.
    """
    oldest_ms = now_ms - FLOW_LIFETIME_MAX_MS
    entries = await _read_end(log, configuration.version, oldest_ms)
    changes = [Change(item.index, decode_entry(item.payload)) for item in entries]
    removed = {}
    # An upstream that no entry in the window concerns has been idle since before it.
    idle_since_ms = {
        upstream.name: oldest_ms
        for upstream in configuration.upstreams.values()
        if upstream.state is UpstreamState.REMOVING
    }
    for change in changes:
        removed = note_removals(removed, configuration, change.entry)
        # Only the present table is known, so the wait starts at the last entry of the service.
        services = find_services(configuration, change.entry)
        for name in idle_since_ms:
            if configuration.upstreams[name].service in services:
                idle_since_ms[name] = change.entry.written_at_ms
    last = changes[-1].entry
    recent = (
        Change(change.version, msgspec.structs.replace(change.entry, effects=()))
        for change in changes[-RECENT_MAX:]
    )
    every_service = frozenset(configuration.services)
    return OperationsState(
        configuration=configuration,
        last_hash=hash_payload(entries[-1].payload),
        last_written_at_ms=max(change.entry.written_at_ms for change in changes),
        removed_endpoints=removed,
        recent=tuple(recent),
        due_services=every_service,
        idle_since_ms=note_idle_removals(idle_since_ms, configuration, last, every_service),
    )


async def _read_end(log: AppendLog, version: int, oldest_ms: int) -> list[LogEntry]:
    """Returns entries up to a version, at least those written since a time."""
    entries: list[LogEntry] = []
    first = version + 1
    while first > 1:
        start = max(1, first - _PAGE_ENTRIES)
        page = await _read_range(log, start, first)
        entries = [*page, *entries]
        first = start
        if decode_entry(page[0].payload).written_at_ms < oldest_ms and len(entries) >= RECENT_MAX:
            break
    return entries


async def _read_range(log: AppendLog, start: int, end: int) -> list[LogEntry]:
    """Returns the entries from an index up to another one, which is not included."""
    found: list[LogEntry] = []
    while start + len(found) < end:
        index = start + len(found) - 1
        page = await log.read_after(index, limit=end - 1 - index)
        if not page:
            raise EntryError(f"entry {index + 1} is missing")
        found.extend(page)
    return found
