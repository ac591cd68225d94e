"""Tests of the service: races, lost answers, rights, audit and refusals."""

import anyio
import msgspec
import pytest

from catkinspread.clock import ManualClock
from catkinspread.configuration import (
    CONFIGURATION_LOG_PREFIX,
    SlotsListed,
    UpstreamRemoved,
    UpstreamSet,
    encode_entry,
)
from catkinspread.objectstore import AppendLog, MemoryObjectStore
from catkinspread.operations import (
    ENDPOINT_QUARANTINE_MS,
    ChangeUnconfirmed,
    Forbidden,
    PlatformUnavailable,
    Unauthorised,
    VersionChanged,
    render_error,
    verify_chain,
)
from catkinspread.operations.removals import FLOW_LIFETIME_MAX_MS
from catkinspread.operations.state import build_entry
from catkinspread.operations.tests.fakes import (
    SETUP,
    START_MS,
    SilentStore,
    build_configured,
    build_service,
    read_entries,
    refuse,
    run,
    state_all,
)


class PausingStore(MemoryObjectStore):
    """Lets one create wait until another writer has taken its key."""

    __slots__ = ("before_create",)

    def __init__(self) -> None:
        super().__init__()
        self.before_create = None

    async def create(self, key: str, value: bytes) -> int:
        action, self.before_create = self.before_create, None
        if action is not None:
            await action()
        return await super().create(key, value)


def test_one_of_two_racing_operators_is_told_of_the_other():
    """Guards against a change that is lost, or made on a state its operator has not seen."""

    async def scenario(clock: ManualClock) -> None:
        store = PausingStore()
        first, second = build_service(store, clock, "a"), build_service(store, clock, "b")
        await state_all(first, *SETUP)

        async def overtake() -> None:
            await state_all(second, "drain upstream c2", token="token-bob")

        store.before_create = overtake
        error = await refuse(first, "drain upstream c1")
        assert isinstance(error, VersionChanged)
        version = len(SETUP) + 1
        expected = (version, "bob", "drain upstream c2")
        assert (error.version, error.changed_by, error.command) == expected
        assert f"bob wrote version {version} with 'drain upstream c2'" in error.message
        error = await refuse(first, "drain upstream c1 if version 3")
        assert f"version is {version}, not 3; bob wrote" in error.message
        await state_all(first, f"drain upstream c1 if version {version}")
        assert len(await read_entries(store)) == version + 1

    run(scenario)


def test_statements_at_the_same_time_in_one_process_race_like_others():
    """Guards against two changes of one version when one service serves many operators."""

    async def scenario(clock: ManualClock) -> None:
        store, service = await build_configured(clock)
        results = []

        async def state(text: str) -> None:
            results.append(await service.execute("token-ann", text))

        async with anyio.create_task_group() as tasks:
            for number in range(1, 6):
                tasks.start_soon(state, f"drain upstream c{number}")
        accepted = [result for result in results if result.is_ok()]
        assert len(await read_entries(store)) == len(SETUP) + len(accepted)
        assert accepted
        assert all(isinstance(r.error, VersionChanged) for r in results if r.is_error())

    run(scenario)


def test_automatic_step_that_comes_first_does_not_refuse_the_command():
    """Guards against operators who must repeat commands because of work of the instances."""

    async def scenario(clock: ManualClock) -> None:
        store = PausingStore()
        service, other = build_service(store, clock, "a"), build_service(store, clock, "b")
        await state_all(service, *SETUP)

        async def overtake() -> None:
            state = await other._refresh()
            entry = build_entry(state, "step", "instance/brum-1", "", "", clock.now_ms())
            log = AppendLog(store, CONFIGURATION_LOG_PREFIX)
            await log.append(state.version + 1, "step", encode_entry(entry))

        store.before_create = overtake
        reply = await state_all(service, "drain upstream c2")
        entries = await read_entries(store)
        assert [entry.actor for entry in entries[-2:]] == ["instance/brum-1", "ann"]
        assert reply.version == len(entries)
        assert (await verify_chain(store, len(entries))).fault == ""

    run(scenario)


@pytest.mark.parametrize(("lost_answers", "lost_writes"), [(1, 0), (0, 1), (1, 1), (0, 2)])
def test_lost_answer_or_write_leaves_exactly_one_entry(lost_answers, lost_writes):
    """Guards against a change that is doubled or missing after its answer was lost."""

    async def scenario(clock: ManualClock) -> None:
        store, service = await build_configured(clock)
        store.faults.lost_answers, store.faults.lost_writes = lost_answers, lost_writes
        reply = await state_all(service, "drain upstream c1")
        commands = [entry.command for entry in await read_entries(store)]
        assert commands.count("drain upstream c1") == 1
        assert reply.version == len(commands) == len(SETUP) + 1

    run(scenario)


def test_unconfirmed_change_is_not_reported_as_not_written():
    """Guards against an operator who repeats a change that did take effect."""

    async def scenario(clock: ManualClock) -> None:
        store = SilentStore()
        service = build_service(store, clock)
        await state_all(service, *SETUP)
        store.faults.lost_answers = 1
        error = await refuse(service, "drain upstream c1")
        assert isinstance(error, ChangeUnconfirmed)
        store.faults.is_down = False
        entries = await read_entries(store)
        assert entries[error.version - 1].change_id == error.change_id
        store.faults.is_down = True
        assert isinstance(await refuse(service, "drain upstream c2"), PlatformUnavailable)
        reply = await state_all(service, "show upstreams of templates")
        assert "the platform does not answer" in reply.notes[-1]

    run(scenario)


def test_unknown_token_learns_nothing_and_is_noted():
    """Guards against answers that tell strangers which statements or names are right."""

    async def scenario(clock: ManualClock) -> None:
        _, service = await build_configured(clock)
        for text in ("show services", "drain upstream c1", "nonsense"):
            error = await refuse(service, text, token="token-eve")
            assert error == Unauthorised()
            assert render_error(error) == "error: not authorised\n"
        refusals = (await state_all(service, "show refusals")).rows
        assert [row[1:3] for row in refusals] == [
            ("(unknown token)", "show services"),
            ("(unknown token)", "drain upstream c1"),
            ("(unknown token)", "nonsense"),
        ]

    run(scenario)


@pytest.mark.parametrize(
    "text",
    [
        "drain upstream c1",
        "undrain upstream c1",
        "remove upstream c1",
        "set weight of c1 to 1",
        "add upstream x to catalogue in brum at 10.0.0.1:1",
        "plan drain upstream c1",
        "create service s at 10.0.0.1:1 team midland",
        "create data-centre x region y",
        "take out data-centre brum",
        "bring back data-centre brum",
        "show flow catalogue from 192.0.2.1:1",
        "show request r1 of catalogue",
        "show refusals",
    ],
)
def test_team_cannot_reach_into_the_services_of_others(text):
    """Guards against rival members who change, or read the callers of, another's service."""

    async def scenario(clock: ManualClock) -> None:
        store, service = await build_configured(clock)
        assert isinstance(await refuse(service, text, "token-cho"), Forbidden)
        assert len(await read_entries(store)) == len(SETUP)

    run(scenario)


def test_plan_and_dry_run_change_nothing_and_say_what_the_command_moves():
    """Guards against a plan that differs from the change."""

    async def scenario(clock: ManualClock) -> None:
        store, service = await build_configured(clock)
        planned = await state_all(service, "plan drain upstream c1")
        dry = await state_all(service, "drain upstream c1 dry run")
        assert len(await read_entries(store)) == len(SETUP)
        done = await state_all(service, "drain upstream c1")
        assert planned.rows == dry.rows == done.rows
        assert "147 slots move; they have 700 open flows" in planned.notes[0]

    run(scenario)


def test_automatic_steps_complete_a_removal_once_and_then_rest():
    """Guards against removals that never end, and against steps that are written for ever."""

    async def scenario(clock: ManualClock) -> None:
        store, service = await build_configured(clock)
        await state_all(service, "remove upstream t1")
        while await service.advance("instance/brum-1"):
            pass
        state = await service._refresh()
        assert state.due_services == frozenset()
        await append_list(store, state, clock, {})
        other = build_service(store, clock, "b")
        assert await service.advance("instance/brum-1")
        while await other.advance("instance/brum-2"):
            pass
        last = (await read_entries(store))[-1]
        effects = UpstreamSet(state.configuration.upstreams["t1"]), UpstreamRemoved("t1")
        assert (last.actor, last.effects) == ("instance/brum-1", effects)
        assert "complete and unchanged" in (await state_all(other, "verify changes")).notes[0]

    run(scenario)


def test_state_from_a_replica_equals_the_replayed_one():
    """Guards against a new instance that breaks the chain, forgets a race or never removes."""

    async def scenario(clock: ManualClock) -> None:
        store, service = await build_configured(clock)
        await state_all(service, "remove upstream t1")
        await append_list(store, await service._refresh(), clock, {"t1": (7,)})
        clock.advance(FLOW_LIFETIME_MAX_MS // 2)
        for number in range(300):
            clock.advance(1)
            await state_all(service, f"set weight of c1 to {number}")
        replayed = await build_service(store, clock)._refresh()
        seeded = build_service(store, clock, "b", lambda: replayed.configuration)
        state = await seeded._refresh()
        for name in ("last_hash", "last_written_at_ms", "removed_endpoints", "recent"):
            assert getattr(state, name) == getattr(replayed, name)
        assert state.idle_since_ms == replayed.idle_since_ms == {"t1": START_MS}
        reads = store.read_count
        assert (await seeded._refresh()) is state
        assert store.read_count == reads + 1
        # The entry that made t1 idle is now older than what is read from the log.
        clock.advance(FLOW_LIFETIME_MAX_MS)
        late = build_service(store, clock, "c", lambda: replayed.configuration)
        while await late.advance("instance/brum-1"):
            pass
        assert "t1" not in (await late._refresh()).configuration.upstreams
        assert "complete and unchanged" in (await state_all(late, "verify changes")).notes[0]

    run(scenario)


async def append_list(store, state, clock, exceptions) -> None:
    """Appends the end of all transitions of templates, as an owner does."""
    slots = tuple(sorted(state.configuration.slot_tables["templates"].transitions))
    effects = (SlotsListed("templates", state.version, slots, exceptions),)
    entry = build_entry(state, "listed", "instance/brum-2", "", "", clock.now_ms())
    payload = encode_entry(msgspec.structs.replace(entry, effects=effects))
    await AppendLog(store, CONFIGURATION_LOG_PREFIX).append(state.version + 1, "listed", payload)


def test_removal_completes_when_the_flows_of_its_exceptions_have_outlived_their_lifetime():
    """Guards against a removal that waits for ever, because exceptions stay when flows end."""

    async def scenario(clock: ManualClock) -> None:
        store, service = await build_configured(clock)
        await state_all(service, "remove upstream t1")
        while await service.advance("instance/brum-1"):
            pass
        clock.advance(FLOW_LIFETIME_MAX_MS)
        await append_list(store, await service._refresh(), clock, {"t1": (7,)})
        clock.advance(FLOW_LIFETIME_MAX_MS - 1)
        fresh = build_service(store, clock, "b")
        while await fresh.advance("instance/brum-1"):
            pass
        assert "t1" in (await fresh._refresh()).configuration.upstreams
        clock.advance(1)
        assert await fresh.advance("instance/brum-1")
        assert "t1" not in (await fresh._refresh()).configuration.upstreams

    run(scenario)


def test_quarantine_is_rebuilt_from_the_log():
    """Guards against a new instance that gives away an endpoint in quarantine."""

    async def scenario(clock: ManualClock) -> None:
        store, service = await build_configured(clock)
        await state_all(
            service,
            "create service other at 10.9.0.9:1",
            "add upstream x to other in brum at 10.5.0.1:1 weight 0",
            "remove upstream x",
        )
        replica = (await service._refresh()).configuration
        seeded = build_service(store, clock, "c", lambda: replica)
        fresh = build_service(store, clock, "b")
        text = "add upstream y to templates in brum at 10.5.0.1:1 weight 0"
        assert "until recently" in (await refuse(fresh, text)).message
        assert "until recently" in (await refuse(seeded, text)).message
        clock.advance(ENDPOINT_QUARANTINE_MS)
        await state_all(fresh, text)

    run(scenario)
