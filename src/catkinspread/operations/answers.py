"""Answers queries that need only the configuration, or the fleet and its records."""

from collections.abc import Iterable

from expression import Error, Ok, Result

from catkinspread.hashing import hash_flow
from catkinspread.model import SLOT_COUNT, Configuration, SlotTable, UpstreamState
from catkinspread.operations import queries
from catkinspread.operations.audit import Change
from catkinspread.operations.errors import OperationsError, describe_unknown
from catkinspread.operations.fleet import FleetSource, RecordLine
from catkinspread.operations.moves import count_references
from catkinspread.operations.refusals import Refusal
from catkinspread.operations.replies import Cell, Reply, format_time

_RECORD_COLUMNS = ("time", "instance", "version", "upstream", "detail")
_NOT_RECORDED = "not recorded"


def show_services(configuration: Configuration) -> Reply:
    """Returns all services."""
    rows = tuple(
        (service.name, str(service.address), service.team, service.priority)
        for _, service in sorted(configuration.services.items())
    )
    return Reply(configuration.version, ("service", "address", "team", "priority"), rows)


def show_data_centres(configuration: Configuration) -> Reply:
    """Returns all data centres with the number of their upstreams."""
    counts = dict.fromkeys(configuration.data_centres, 0)
    for upstream in configuration.upstreams.values():
        counts[upstream.data_centre] += 1
    rows = tuple(
        (item.name, item.region, item.state.value, counts[item.name])
        for _, item in sorted(configuration.data_centres.items())
    )
    return Reply(configuration.version, ("data-centre", "region", "state", "upstreams"), rows)


def show_upstreams(
    configuration: Configuration, query: queries.ShowUpstreams
) -> Result[Reply, OperationsError]:
    """Returns the upstreams of a service with what points at them."""
    table = configuration.slot_tables.get(query.service)
    if table is None:
        return Error(describe_unknown("service", query.service, configuration.services))
    found = [item for item in configuration.upstreams.values() if item.service == query.service]
    rows = tuple(
        (item.name, item.data_centre, str(item.endpoint), item.state.value, item.weight)
        + _describe_references(table, item.name)
        for item in sorted(found, key=lambda item: item.name)
    )
    columns = ("upstream", "data-centre", "endpoint", "state", "weight", *_REFERENCE_COLUMNS)
    return Ok(Reply(configuration.version, columns, rows))


def show_draining(configuration: Configuration) -> Reply:
    """Returns the upstreams that drain or are being removed with what still points at them."""
    rows: list[tuple[Cell, ...]] = []
    for _, item in sorted(configuration.upstreams.items()):
        if item.state is not UpstreamState.ACTIVE:
            table = configuration.slot_tables[item.service]
            references = _describe_references(table, item.name)
            rows.append((item.name, item.service, item.state.value, *references))
    columns = ("upstream", "service", "state", *_REFERENCE_COLUMNS)
    return Reply(configuration.version, columns, tuple(rows))


_REFERENCE_COLUMNS = ("slots", "leaving", "arriving", "exceptions")


def _describe_references(table: SlotTable, name: str) -> tuple[Cell, ...]:
    found = count_references(table, name)
    return found.slots, found.leaving_slots, found.arriving_slots, found.exceptions


async def show_versions(configuration: Configuration, fleet: FleetSource) -> Reply:
    """Returns the version in force in each known instance."""
    versions = await fleet.read_versions()
    rows = tuple(
        (instance, version, max(0, configuration.version - version))
        for instance, version in sorted(versions.items())
    )
    return Reply(configuration.version, ("instance", "version", "behind"), rows)


async def show_flow(
    configuration: Configuration, query: queries.ShowFlow, fleet: FleetSource
) -> Result[Reply, OperationsError]:
    """Returns where a flow goes by the configuration and what was recorded about it."""
    table = configuration.slot_tables.get(query.service)
    if table is None:
        return Error(describe_unknown("service", query.service, configuration.services))
    flow_hash = hash_flow(query.service, query.caller.host, query.caller.port)
    slot = flow_hash % SLOT_COUNT
    upstream = table.bases[slot].find_upstream(flow_hash) or "(none)"
    notes = [f"flow hash {flow_hash:016x}, slot {slot}, base upstream {upstream}"]
    transition = table.transitions.get(slot)
    if transition is not None:
        members = ", ".join(member.instance for member in transition.group.members)
        target = transition.target or "(none)"
        notes.append(
            f"in transition to {target} since version {transition.version}; decided by {members}"
        )
    records = await fleet.find_flow_records(query.service, query.caller)
    return Ok(_describe_records(configuration, records, notes))


async def show_request(
    configuration: Configuration, query: queries.ShowRequest, fleet: FleetSource
) -> Result[Reply, OperationsError]:
    """Returns what was recorded about a request."""
    if query.service not in configuration.services:
        return Error(describe_unknown("service", query.service, configuration.services))
    records = await fleet.find_request_records(query.service, query.request_id)
    return Ok(_describe_records(configuration, records, []))


def _describe_records(
    configuration: Configuration, records: list[RecordLine], notes: list[str]
) -> Reply:
    rows = tuple(
        (format_time(item.at_ms), item.instance, item.version, item.upstream, item.detail)
        for item in records
    )
    if not rows:
        return Reply(configuration.version, notes=(*notes, _NOT_RECORDED))
    return Reply(configuration.version, _RECORD_COLUMNS, rows, tuple(notes))


def show_changes(version: int, changes: Iterable[Change], omitted: int) -> Reply:
    """Returns accepted changes.

    Args:
        version: Version of the configuration.
        changes: The changes to show, oldest first.
        omitted: Number of older changes that match too.
    """
    rows = tuple(
        (
            change.version,
            format_time(change.entry.written_at_ms),
            change.entry.actor,
            change.entry.command or "(automatic step)",
            change.entry.reason,
            change.entry.change_id,
        )
        for change in changes
    )
    notes = (f"{omitted} older changes are not shown",) if omitted else ()
    columns = ("version", "time", "actor", "command", "reason", "change-id")
    return Reply(version, columns, rows, notes)


def show_refusals(version: int, refusals: Iterable[Refusal]) -> Reply:
    """Returns refused commands, oldest first."""
    rows = tuple(
        (format_time(item.at_ms), item.actor or "(unknown token)", item.command, item.message)
        for item in refusals
    )
    return Reply(version, ("time", "actor", "command", "refused-because"), rows)
