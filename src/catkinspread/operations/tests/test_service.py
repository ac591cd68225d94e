"""Tests of the service: races, lost answers, rights, audit and refusals."""

import anyio
import msgspec
import pytest

from catkinspread.clock import ManualClock
from catkinspread.configuration import decode_entry
from catkinspread.objectstore import AppendLog, MemoryObjectStore, OutcomeUnknown, StoreUnavailable
from catkinspread.operations import (
    ENDPOINT_QUARANTINE_MS,
    ChangeUnconfirmed,
    Forbidden,
    LogDamaged,
    OperationsService,
    PlatformUnavailable,
    Refusal,
    RefusalLog,
    Unauthorised,
    VersionChanged,
    render_error,
    render_error_json,
    render_json,
    render_table,
    verify_chain,
)
from catkinspread.operations import refusals as refusals_module
from catkinspread.operations.audit import CONFIGURATION_LOG
from catkinspread.operations.refusals import PENDING_MAX, PENDING_UNAUTHORISED_MAX
from catkinspread.operations.tests.fakes import (
    SETUP,
    START_MS,
    build_configured,
    build_service,
    state_all,
)


def run(scenario):
    """Runs a scenario with a manual clock."""

    async def start() -> None:
        await scenario(ManualClock(START_MS))

    anyio.run(start)


async def refuse(service: OperationsService, text: str, token: str = "token-ann"):
    result = await service.execute(token, text)
    assert result.is_error()
    return result.error


async def read_entries(store: MemoryObjectStore):
    entries = await AppendLog(store, CONFIGURATION_LOG).read_after(0)
    return [decode_entry(entry.payload) for entry in entries]


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
        await state_all(
            service, *SETUP, "add upstream x1 to catalogue in brum at 10.5.0.1:1 weight 0"
        )
        await state_all(service, "drain upstream c1", "remove upstream c1")
        text = "add upstream x2 to catalogue in brum at 10.5.0.2:1 weight 0"
        await state_all(service, text)

        async def overtake() -> None:
            log = AppendLog(store, CONFIGURATION_LOG)
            state = await other._refresh()
            entry = msgspec.structs.replace(
                decode_entry((await log.read_after(state.version - 1))[0].payload),
                change_id="step",
                actor="instance/brum-1",
                command="",
                effects=(),
                previous_hash=state.last_hash,
            )
            await log.append(state.version + 1, "step", msgspec.msgpack.encode(entry))

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


class SilentStore(MemoryObjectStore):
    """After a lost answer every further call is refused."""

    __slots__ = ()

    async def create(self, key: str, value: bytes) -> int:
        try:
            return await super().create(key, value)
        except OutcomeUnknown:
            self.faults.is_down = True
            raise


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


def test_quarantine_is_rebuilt_from_the_log():
    """Guards against a new instance that gives away an endpoint in quarantine."""

    async def scenario(clock: ManualClock) -> None:
        store, service = await build_configured(clock)
        text = "add upstream x to catalogue in brum at 10.5.0.1:1 weight 0"
        await state_all(service, text, "remove upstream x")
        fresh = build_service(store, clock, "b")
        text = "add upstream y to templates in brum at 10.5.0.1:1 weight 0"
        assert "until recently" in (await refuse(fresh, text)).message
        clock.advance(ENDPOINT_QUARANTINE_MS)
        await state_all(fresh, text)

    run(scenario)


def test_changed_removed_or_missing_entry_is_noticed():
    """Guards against an audit trail that can be edited unseen."""

    async def scenario(clock: ManualClock) -> None:
        store, service = await build_configured(clock)
        end = len(SETUP)
        assert "15 entries are complete" in (await state_all(service, "verify changes")).notes[0]
        keys = [item.key for item in await store.scan(f"{CONFIGURATION_LOG}/")]
        original = await store.get(keys[4])
        forged = original.value.replace(b"ann", b"bob")
        await store.update(keys[4], forged, 1)
        assert (await verify_chain(store, end)).checked == 5
        assert isinstance(await refuse(service, "verify changes"), LogDamaged)
        await store.delete(keys[4], 2)
        assert "entry 5 is missing but entry 15" in (await verify_chain(store, end)).fault
        await store.create(keys[4], original.value)
        assert (await verify_chain(store, end)).fault == ""
        await store.delete(keys[-1], 1)
        assert "version 15 was applied" in (await verify_chain(store, end)).fault

    run(scenario)


def test_changes_are_found_by_object_actor_and_version():
    """Guards against demands for proof that the audit trail cannot answer."""

    async def scenario(clock: ManualClock) -> None:
        _, service = await build_configured(clock)
        await state_all(service, 'drain upstream c1 because "cold"', token="token-bob")
        for text in (
            "show changes by bob",
            "show changes of upstream c1 since version 14",
            "show changes since version 15",
        ):
            (row,) = (await state_all(service, text)).rows
            assert row[0] == 16
            assert row[2:5] == ("bob", 'drain upstream c1 because "cold"', "cold")
        assert len((await state_all(service, "show changes of data-centre brum")).rows) == 1
        assert len((await state_all(service, "show changes of service templates")).rows) == 4

    run(scenario)


def test_refusals_are_written_once_in_batches_after_faults(monkeypatch):
    """Guards against refusals that are lost, doubled or written one by one."""
    monkeypatch.setattr(refusals_module, "BATCH_MAX_BYTES", 400)

    async def scenario(clock: ManualClock) -> None:
        store = SilentStore()
        first, second = RefusalLog(store), RefusalLog(store)
        for number in range(20):
            first.add(Refusal(START_MS, "ann", f"drain upstream a{number}", "no"))
            second.add(Refusal(START_MS, "bob", f"drain upstream b{number}", "no"))
        store.faults.lost_answers = 1
        for _ in range(3):
            with pytest.raises(StoreUnavailable):
                await first.flush()
        store.faults.is_down = False
        is_done = False
        while not is_done:
            is_done = await first.flush() & await second.flush()
        found = [item.command for item in await RefusalLog(store).read_latest(1_000)]
        expected = [f"drain upstream {name}{n}" for name in "ab" for n in range(20)]
        assert sorted(found) == sorted(expected)
        assert 4 <= len(await store.scan("configuration/refusals/")) <= 8

    run(scenario)


def test_refusals_stay_bounded_and_strangers_do_not_displace_operators():
    """Guards against a flood of refused commands that fills the memory or hides others."""

    async def scenario(clock: ManualClock) -> None:
        refusals = RefusalLog(MemoryObjectStore())
        for _ in range(PENDING_MAX + 500):
            refusals.add(Refusal(START_MS, "", "x" * 4_096, "\ud800"))
        assert refusals.pending_count == PENDING_UNAUTHORISED_MAX
        for _ in range(PENDING_MAX + 500):
            refusals.add(Refusal(START_MS, "ann", "x" * 4_096, "y" * 4_096))
        assert refusals.pending_count == PENDING_MAX + PENDING_UNAUTHORISED_MAX
        while not await refusals.flush():
            pass
        found = await refusals.read_latest(1_000)
        assert sum(item.actor == "ann" for item in found) == PENDING_MAX

    run(scenario)


def test_replies_render_as_table_and_json(snapshot):
    """Guards against unnoticed changes of what operators and their scripts read."""

    async def scenario(clock: ManualClock) -> None:
        _, service = await build_configured(clock)
        rendered = []
        for text in (
            'drain upstream c1 because "cold"',
            "show services",
            "show data-centres",
            "show upstreams of catalogue",
            "show draining",
            "show versions",
            "show flow templates from 192.0.2.7:40000",
            "show request r1 of catalogue",
            "show request r2 of catalogue",
            "plan take out data-centre brum",
            "show changes of upstream c1",
            "verify changes",
        ):
            reply = await state_all(service, text)
            rendered += [f"> {text}\n{render_table(reply)}", render_json(reply)]
        error = await refuse(service, "drain upstream d1")
        rendered += [render_error(error), render_error_json(error)]
        assert "\n".join(rendered) == snapshot

    run(scenario)
