"""Reads the configuration log as an audit trail and verifies that it is complete."""

from collections.abc import AsyncIterator

import msgspec

from catkinspread.configuration import (
    CONFIGURATION_LOG_PREFIX,
    ChangeEntry,
    DataCentreSet,
    EntryError,
    GroupChanged,
    ServiceSet,
    SlotsListed,
    SlotsMoved,
    UpstreamRemoved,
    UpstreamSet,
    decode_entry,
    hash_payload,
)
from catkinspread.objectstore import AppendLog, LogEntry, ObjectStore
from catkinspread.operations.queries import ObjectName, ShowChanges

# Entries of automatic steps have an actor that starts with this.
AUTOMATIC_PREFIX = "instance/"


class Change(msgspec.Struct, frozen=True):
    """An accepted change with its version."""

    version: int
    entry: ChangeEntry


class ChainReport(msgspec.Struct, frozen=True):
    """What a verification of the log found.

    Attributes:
        checked: Entries that follow the one before them.
        fault: What is wrong after them; empty if nothing.
    """

    checked: int
    fault: str = ""


def is_automatic(actor: str) -> bool:
    """Whether an actor is an instance and not an operator."""
    return actor.startswith(AUTOMATIC_PREFIX)


def list_objects(entry: ChangeEntry) -> frozenset[ObjectName]:
    """Returns the objects that an entry changes."""
    found: set[ObjectName] = set()
    for effect in entry.effects:
        match effect:
            case ServiceSet(service):
                found.add(ObjectName("service", service.name))
            case DataCentreSet(data_centre):
                found.add(ObjectName("data-centre", data_centre.name))
            case UpstreamSet(upstream):
                found.add(ObjectName("upstream", upstream.name))
                found.add(ObjectName("service", upstream.service))
            case UpstreamRemoved(name):
                found.add(ObjectName("upstream", name))
            case SlotsMoved(service, moves):
                found.add(ObjectName("service", service))
                found.update(ObjectName("upstream", move.target) for move in moves)
            case GroupChanged(service) | SlotsListed(service):
                found.add(ObjectName("service", service))
    return frozenset(found)


def matches_query(change: Change, query: ShowChanges) -> bool:
    """Whether a query asks for a change."""
    if change.version <= query.since_version:
        return False
    if query.by_actor and change.entry.actor != query.by_actor:
        return False
    return query.of_object is None or query.of_object in list_objects(change.entry)


async def read_payloads(log: AppendLog, after: int) -> AsyncIterator[LogEntry]:
    """Yields the entries of a log after an index, page by page."""
    while page := await log.read_after(after):
        for item in page:
            yield item
        after = page[-1].index


async def read_changes(log: AppendLog, after: int) -> AsyncIterator[Change]:
    """Yields the changes after a version.

    Raises:
        EntryError: If an entry is malformed.
    """
    async for item in read_payloads(log, after):
        yield Change(item.index, decode_entry(item.payload))


async def verify_chain(
    store: ObjectStore, known_version: int, prefix: str = CONFIGURATION_LOG_PREFIX
) -> ChainReport:
    """Checks that no entry of the configuration log was changed, removed or inserted.

    A removed last entry is noticed only by a process that had applied it.

    Args:
        store: Where the log is.
        known_version: Version that this process has applied.
        prefix: Start of the keys of the log.
    """
    checked, previous_hash = 0, 0
    async for item in read_payloads(AppendLog(store, prefix), 0):
        fault = _check_entry(item, previous_hash)
        if fault:
            return ChainReport(checked, fault)
        checked, previous_hash = item.index, hash_payload(item.payload)
    last_index = await _find_last_index(store, prefix)
    if last_index > checked:
        return ChainReport(checked, f"entry {checked + 1} is missing but entry {last_index} exists")
    if known_version > checked:
        return ChainReport(
            checked, f"entry {checked + 1} is missing but version {known_version} was applied"
        )
    return ChainReport(checked)


def _check_entry(item: LogEntry, previous_hash: int) -> str:
    try:
        entry = decode_entry(item.payload)
    except EntryError as error:
        return f"entry {item.index}: {error}"
    if entry.previous_hash != previous_hash:
        return (
            f"entry {item.index} follows an entry with hash {entry.previous_hash:016x},"
            f" but the one before has {previous_hash:016x}"
        )
    return ""


async def _find_last_index(store: ObjectStore, prefix: str) -> int:
    """Returns the greatest index, also beyond a gap, at which reading the log would stop."""
    last_key = ""
    while page := await store.scan(f"{prefix}/", after=last_key):
        last_key = page[-1].key
    return int(last_key.rpartition("/")[2]) if last_key else 0
