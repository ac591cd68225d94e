"""Executes statements of operators: parses, authorises, compiles, appends and answers."""

import uuid
from collections.abc import Callable

import anyio
import msgspec
from expression import Error, Ok, Result

from catkinspread.clock import Clock
from catkinspread.configuration import CONFIGURATION_LOG_PREFIX, Effect, EntryError, encode_entry
from catkinspread.model import Configuration
from catkinspread.objectstore import (
    VALUE_MAX_BYTES,
    AppendLog,
    AppendOutcome,
    LogEntry,
    ObjectStore,
    ObjectStoreError,
    OutcomeUnknown,
    StoreUnavailable,
)
from catkinspread.operations import queries
from catkinspread.operations.access import AccessList, Grant, check_command
from catkinspread.operations.audit import Change, is_automatic
from catkinspread.operations.commands import Command, CommandStatement
from catkinspread.operations.compiler import compile_command, compile_next_step
from catkinspread.operations.context import CompileContext
from catkinspread.operations.errors import (
    ChangeUnconfirmed,
    InvalidChange,
    LogDamaged,
    OperationsError,
    PlatformUnavailable,
    Unauthorised,
    VersionChanged,
)
from catkinspread.operations.fleet import FleetSource
from catkinspread.operations.parser import parse_statement
from catkinspread.operations.query_runner import QueryRunner, describe_effects
from catkinspread.operations.refusals import Refusal, RefusalLog
from catkinspread.operations.replies import Reply
from catkinspread.operations.seeding import seed_state
from catkinspread.operations.state import OperationsState, advance_state, build_entry

# Automatic steps may come first this often before a command gives up.
_COMPILE_ATTEMPTS = 8
_APPEND_ATTEMPTS = 3
_APPEND_RETRY_DELAY_MS = 100
# Examining a service takes 0.5 ms.
_STEP_SERVICES_MAX = 32


class _Unconfirmed(Exception):
    """An append has no known outcome after all attempts."""


class OperationsService:
    """Executes statements; any number of them may run at the same time.

    Any instance can run one, because changes are ordered by the log alone. It starts from the
    configuration that `read_replica` returns and the end of the log, or replays the log if that
    has version 0.

    Attributes:
        refusals: Refused commands; the owner of the service runs `refusals.run()`.
    """

    __slots__ = (
        "_access",
        "_clock",
        "_fleet",
        "_log",
        "_make_id",
        "_queries",
        "_read_replica",
        "_state",
        "_step_slots",
        "refusals",
    )

    def __init__(
        self,
        store: ObjectStore,
        access: AccessList,
        fleet: FleetSource,
        clock: Clock,
        make_id: Callable[[], str] = lambda: uuid.uuid4().hex,
        step_slots: int | None = None,
        read_replica: Callable[[], Configuration] = Configuration,
    ) -> None:
        self.refusals = RefusalLog(store, make_id)
        self._log = AppendLog(store, CONFIGURATION_LOG_PREFIX)
        self._queries = QueryRunner(store, self._log, fleet, self.refusals)
        self._access = access
        self._fleet = fleet
        self._clock = clock
        self._make_id = make_id
        self._step_slots = step_slots
        self._state = OperationsState()
        self._read_replica = read_replica

    async def execute(self, token: str, text: str) -> Result[Reply, OperationsError]:
        """Executes one statement.

        Args:
            token: Token of the operator.
            text: The statement.

        Returns:
            The answer, or why there is none. Refused commands are noted in `refusals`.
        """
        grant = self._access.find_grant(token)
        if grant is None:
            return self._refuse("", text, Unauthorised())
        parsed = parse_statement(text)
        if parsed.is_error():
            return Error(parsed.error)
        statement = parsed.ok
        if not isinstance(statement, CommandStatement):
            return await self._guard(lambda: self._answer(grant, statement))
        result = await self._guard(lambda: self._change(grant, statement, text))
        if result.is_error() and not statement.is_dry_run:
            return self._refuse(grant.actor, text, result.error)
        return result

    async def advance(self, actor: str) -> bool:
        """Appends the next automatic step if one is due: removals and delayed moves.

        Args:
            actor: `instance/<id>` of the instance that runs this service.

        Returns:
            Whether a step was written. False too if another writer came first.

        Raises:
            ObjectStoreError: If the platform did not confirm the step.
            EntryError: If the log cannot be applied.
        """
        state = await self._refresh()
        services = sorted(state.due_services)[:_STEP_SERVICES_MAX]
        context = self._build_context(state, "")
        effects = compile_next_step(state.configuration, services, context)
        if not effects:
            left = state.due_services.difference(services)
            self._state = msgspec.structs.replace(state, due_services=left)
            return False
        entry = build_entry(state, self._make_id(), actor, "", "", self._clock.now_ms())
        payload = encode_entry(msgspec.structs.replace(entry, effects=effects))
        outcome = await self._log.append(state.version + 1, entry.change_id, payload)
        return outcome is AppendOutcome.WRITTEN

    async def _guard(self, run: Callable) -> Result[Reply, OperationsError]:
        """Converts the errors of the layers below."""
        try:
            return await run()
        except ObjectStoreError as error:
            message = f"the platform does not answer, nothing was changed: {error}"
            return Error(PlatformUnavailable(message=message))
        except EntryError as error:
            message = f"the configuration log cannot be applied: {error}"
            return Error(LogDamaged(message=message))

    def _refuse(self, actor: str, text: str, error: OperationsError) -> Result:
        self.refusals.add(Refusal(self._clock.now_ms(), actor, text, error.message))
        return Error(error)

    async def _refresh(self) -> OperationsState:
        if self._state.version == 0:
            await self._seed()
        while page := await self._log.read_after(self._state.version):
            for item in page:
                self._apply(item)
        return self._state

    async def _seed(self) -> None:
        replica = self._read_replica()
        if replica.version > 0:
            state = await seed_state(self._log, replica, self._clock.now_ms())
            if state.version > self._state.version:
                self._state = state

    def _apply(self, item: LogEntry) -> None:
        # Another statement may have applied the entry while this one was reading.
        if item.index == self._state.version + 1:
            self._state = advance_state(self._state, item)

    def _build_context(self, state: OperationsState, team: str) -> CompileContext:
        return CompileContext(
            now_ms=max(self._clock.now_ms(), state.last_written_at_ms),
            team=team,
            live_members=self._fleet.list_live_members(),
            removed_endpoints=state.removed_endpoints,
            idle_since_ms=state.idle_since_ms,
            step_slots=self._step_slots,
        )

    async def _change(
        self, grant: Grant, statement: CommandStatement, text: str
    ) -> Result[Reply, OperationsError]:
        state = await self._refresh()
        for _ in range(_COMPILE_ATTEMPTS):
            if statement.if_version not in (None, state.version):
                return Error(_describe_stale(state, statement.if_version))
            compiled = self._compile(grant, statement.command, state)
            if compiled.is_error():
                return compiled
            effects = compiled.ok
            reply = await describe_effects(state, effects, self._fleet)
            if statement.is_dry_run:
                return Ok(_note(reply, "dry run: nothing was changed", state.version))
            change_id = self._make_id()
            entry = build_entry(
                state,
                change_id,
                grant.actor,
                _flatten(text),
                statement.reason,
                self._clock.now_ms(),
            )
            payload = encode_entry(msgspec.structs.replace(entry, effects=effects))
            if len(payload) > VALUE_MAX_BYTES // 2:
                return Error(InvalidChange(message=f"change has {len(payload)} bytes, too many"))
            try:
                outcome = await self._append(state.version + 1, change_id, payload)
            except _Unconfirmed:
                return Error(_describe_unconfirmed(state.version + 1, change_id))
            if outcome is AppendOutcome.WRITTEN:
                version = state.version + 1
                self._apply(LogEntry(version, change_id, payload))
                return Ok(
                    _note(reply, f"accepted as version {version}, change {change_id}", version)
                )
            before, state = state, await self._refresh()
            winner = state.find_other_change(before.version)
            if winner is None or not is_automatic(winner.entry.actor):
                return Error(_describe_conflict(state, winner))
        return Error(_describe_conflict(state, state.find_other_change(state.version - 1)))

    def _compile(
        self, grant: Grant, command: Command, state: OperationsState
    ) -> Result[tuple[Effect, ...], OperationsError]:
        refused = check_command(grant, command, state.configuration)
        if refused is not None:
            return Error(refused)
        context = self._build_context(state, grant.team)
        return compile_command(command, state.configuration, context)

    async def _append(self, index: int, change_id: str, payload: bytes) -> AppendOutcome:
        """Appends an entry; repeats it only with the same index and id, which cannot double it."""
        is_sent = False
        for attempt in range(_APPEND_ATTEMPTS):
            try:
                return await self._log.append(index, change_id, payload)
            except OutcomeUnknown:
                is_sent = True
            except StoreUnavailable:
                if not is_sent:
                    raise
            await anyio.sleep(_APPEND_RETRY_DELAY_MS * 2**attempt / 1000)
        raise _Unconfirmed

    async def _answer(self, grant: Grant, query: queries.Query) -> Result[Reply, OperationsError]:
        note = ""
        try:
            await self._refresh()
        except StoreUnavailable:
            note = "the platform does not answer; this is the state it had at this version"
        except EntryError as error:
            note = f"the configuration log cannot be applied after this version: {error}"
        state = self._state
        result = await self._queries.answer(
            grant, query, state, lambda command: self._compile(grant, command, state)
        )
        if not note:
            return result
        return result.map(lambda reply: msgspec.structs.replace(reply, notes=(*reply.notes, note)))


def _note(reply: Reply, note: str, version: int) -> Reply:
    return msgspec.structs.replace(reply, notes=(note, *reply.notes), version=version)


def _describe_stale(state: OperationsState, stated: int) -> VersionChanged:
    last = state.find_other_change(stated)
    return _describe_change(f"version is {state.version}, not {stated}", state, last)


def _describe_conflict(state: OperationsState, winner: Change | None) -> VersionChanged:
    return _describe_change(
        f"another change came first, version is now {state.version}; nothing was changed",
        state,
        winner,
    )


def _describe_change(text: str, state: OperationsState, change: Change | None) -> VersionChanged:
    actor = command = ""
    if change is not None:
        actor = change.entry.actor
        command = change.entry.command or "(automatic step)"
        text = f"{text}; {actor} wrote version {change.version} with {command!r}"
    return VersionChanged(message=text, version=state.version, changed_by=actor, command=command)


def _describe_unconfirmed(version: int, change_id: str) -> ChangeUnconfirmed:
    message = (
        f"the platform did not confirm the change; if it took effect, 'show changes since version"
        f" {version - 1}' lists version {version} with change {change_id}"
    )
    return ChangeUnconfirmed(message=message, change_id=change_id, version=version)


def _flatten(text: str) -> str:
    """Puts a statement on one line; its quoted text cannot contain a line break."""
    return text.strip().translate({ord(char): " " for char in "\t\r\n"})
