"""Runs queries that need the logs or the fleet besides the configuration."""

from collections import deque
from collections.abc import Callable

from expression import Error, Ok, Result

from catkinspread.configuration import Effect, SlotsMoved
from catkinspread.objectstore import AppendLog, ObjectStore
from catkinspread.operations import answers, queries
from catkinspread.operations.access import Grant, check_operator, check_service
from catkinspread.operations.audit import Change, matches_query, read_changes, verify_chain
from catkinspread.operations.commands import Command
from catkinspread.operations.errors import LogDamaged, OperationsError
from catkinspread.operations.fleet import FleetSource
from catkinspread.operations.planning import describe_plan
from catkinspread.operations.refusals import RefusalLog
from catkinspread.operations.replies import Reply
from catkinspread.operations.state import OperationsState

CHANGES_SHOWN_MAX = 200
REFUSAL_BATCHES_SHOWN = 20
# Flow counts are asked for one service at a time.
_COUNTED_SERVICES_MAX = 16

_Compile = Callable[[Command], Result[tuple[Effect, ...], OperationsError]]


class QueryRunner:
    """Answers queries; it never writes."""

    __slots__ = ("_fleet", "_log", "_refusals", "_store")

    def __init__(
        self, store: ObjectStore, log: AppendLog, fleet: FleetSource, refusals: RefusalLog
    ) -> None:
        self._store = store
        self._log = log
        self._fleet = fleet
        self._refusals = refusals

    async def answer(
        self, grant: Grant, query: queries.Query, state: OperationsState, compile_one: _Compile
    ) -> Result[Reply, OperationsError]:
        """Answers a query.

        Args:
            grant: Rights of the operator.
            query: What is asked.
            state: Configuration to answer from.
            compile_one: Authorises and compiles the command of a plan.

        Raises:
            ObjectStoreError: If a log that the query needs cannot be read.
            EntryError: If a change that the query needs is malformed.
        """
        configuration = state.configuration
        match query:
            case queries.PlanCommand(command):
                compiled = compile_one(command)
                if compiled.is_error():
                    return compiled
                return Ok(await describe_effects(state, compiled.ok, self._fleet))
            case queries.ShowServices():
                return Ok(answers.show_services(configuration))
            case queries.ShowDataCentres():
                return Ok(answers.show_data_centres(configuration))
            case queries.ShowUpstreams():
                return answers.show_upstreams(configuration, query)
            case queries.ShowDraining():
                return Ok(answers.show_draining(configuration))
            case queries.ShowVersions():
                return Ok(await answers.show_versions(configuration, self._fleet))
            case queries.ShowFlow() | queries.ShowRequest():
                return await self._show_records(grant, query, state)
            case queries.ShowChanges():
                return Ok(await self._show_changes(query, state))
            case queries.ShowRefusals():
                return await self._show_refusals(grant, state)
            case queries.VerifyChanges():
                return await self._verify(state)

    async def _show_records(
        self, grant: Grant, query: queries.ShowFlow | queries.ShowRequest, state: OperationsState
    ) -> Result[Reply, OperationsError]:
        """Records name callers, so only the team of the service sees them."""
        refused = check_service(grant, query.service, state.configuration)
        if refused is not None:
            return Error(refused)
        if isinstance(query, queries.ShowFlow):
            return await answers.show_flow(state.configuration, query, self._fleet)
        return await answers.show_request(state.configuration, query, self._fleet)

    async def _show_changes(self, query: queries.ShowChanges, state: OperationsState) -> Reply:
        shown: deque[Change] = deque(maxlen=CHANGES_SHOWN_MAX)
        matching = 0
        async for change in read_changes(self._log, query.since_version):
            if matches_query(change, query):
                shown.append(change)
                matching += 1
        return answers.show_changes(state.version, shown, matching - len(shown))

    async def _show_refusals(
        self, grant: Grant, state: OperationsState
    ) -> Result[Reply, OperationsError]:
        """Refused commands may hold what a team did not want to tell others."""
        refused = check_operator(grant)
        if refused is not None:
            return Error(refused)
        found = await self._refusals.read_latest(REFUSAL_BATCHES_SHOWN)
        return Ok(answers.show_refusals(state.version, found))

    async def _verify(self, state: OperationsState) -> Result[Reply, OperationsError]:
        report = await verify_chain(self._store, state.version)
        if report.fault:
            message = f"{report.fault}; {report.checked} entries before it are unchanged"
            return Error(LogDamaged(message=message))
        note = f"{report.checked} entries are complete and unchanged"
        return Ok(Reply(state.version, notes=(note,)))


async def describe_effects(
    state: OperationsState, effects: tuple[Effect, ...], fleet: FleetSource
) -> Reply:
    """Returns what effects would move, with flow counts where the fleet knows them."""
    services = sorted({item.service for item in effects if isinstance(item, SlotsMoved)})
    counts = {
        service: await fleet.count_flows(service) for service in services[:_COUNTED_SERVICES_MAX]
    }
    return describe_plan(state.configuration, effects, counts)
