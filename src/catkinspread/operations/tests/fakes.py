"""A fleet, a clock and a configured service for the tests of this subpackage."""

import anyio

from catkinspread.clock import ManualClock
from catkinspread.configuration import (
    CONFIGURATION_LOG_PREFIX,
    ChangeEntry,
    SlotsListed,
    apply_entry,
    decode_entry,
)
from catkinspread.model import Configuration, InstanceIncarnation
from catkinspread.objectstore import AppendLog, MemoryObjectStore, ObjectStore, OutcomeUnknown
from catkinspread.operations import (
    AccessList,
    CompileContext,
    Grant,
    OperationsService,
    RecordLine,
    Reply,
    compile_command,
    hash_token,
    parse_statement,
)

START_MS = 1_800_000_000_000
DATA_CENTRES = ("brum", "coventry", "leicester")
MEMBERS = {
    name: tuple(InstanceIncarnation(f"{name}-{number}", 1) for number in (1, 2, 3))
    for name in DATA_CENTRES
}
ACCESS = AccessList(
    {
        hash_token("token-ann"): Grant("ann", "midland", frozenset({"operator"})),
        hash_token("token-bob"): Grant("bob", "midland"),
        hash_token("token-cho"): Grant("cho", "rival"),
    }
)

SETUP = (
    *(f"create data-centre {name} region midlands" for name in DATA_CENTRES),
    "create service catalogue at 10.9.0.1:7000",
    "create service templates at 10.9.0.2:7000 priority 2",
    *(
        f"add upstream c{number} to catalogue in {DATA_CENTRES[number % 3]} at 10.1.0.{number}:7000"
        for number in range(1, 8)
    ),
    *(
        f"add upstream t{number} to templates in {DATA_CENTRES[number % 3]} at 10.2.0.{number}:7000"
        for number in range(1, 4)
    ),
)


STATEMENTS = (
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
)


class FakeFleet:
    """Nine live instances, 700 flows per upstream and one record."""

    def list_live_members(self):
        return MEMBERS

    async def read_versions(self):
        return {"brum-1": 5, "brum-2": 4}

    async def count_flows(self, service):
        return {f"{service[0]}{number}": 700 for number in range(1, 8)}

    async def find_flow_records(self, service, caller):
        return []

    async def find_request_records(self, service, request_id):
        detail = "refused after 12 ms: queue full"
        return [RecordLine(START_MS, "brum-1", 5, "c1", detail)] if request_id == "r1" else []


def build_service(
    store: ObjectStore, clock: ManualClock, name: str = "id", read_replica=Configuration
) -> OperationsService:
    numbers = iter(range(1, 1_000_000))
    return OperationsService(
        store,
        ACCESS,
        FakeFleet(),
        clock,
        make_id=lambda: f"{name}-{next(numbers)}",
        read_replica=read_replica,
    )


async def state_all(service: OperationsService, *texts: str, token: str = "token-ann") -> Reply:
    """Executes statements that must be accepted and returns the last reply."""
    for text in texts:
        result = await service.execute(token, text)
        assert result.is_ok(), result.error.message
    return result.ok


async def build_configured(clock: ManualClock) -> tuple[MemoryObjectStore, OperationsService]:
    store = MemoryObjectStore()
    service = build_service(store, clock)
    await state_all(service, *SETUP)
    return store, service


def compile_text(text: str, configuration: Configuration, context: CompileContext | None = None):
    """Returns the result of compiling the command that a text states."""
    context = context or CompileContext(START_MS, "midland", MEMBERS)
    return compile_command(parse_statement(text).ok.command, configuration, context)


def apply_text(
    text: str, configuration: Configuration, context: CompileContext | None = None
) -> Configuration:
    """Returns the configuration after a command that must be accepted."""
    compiled = compile_text(text, configuration, context)
    assert compiled.is_ok(), compiled.error.message
    return apply_effects(compiled.ok, configuration)


def apply_effects(effects, configuration: Configuration) -> Configuration:
    entry = ChangeEntry("", "ann", "", "", START_MS, 0, tuple(effects))
    return apply_entry(configuration, configuration.version + 1, entry)


def build_configuration() -> Configuration:
    configuration = Configuration()
    for text in SETUP:
        configuration = apply_text(text, configuration)
    return configuration


def end_transitions(configuration: Configuration, service: str) -> Configuration:
    """Ends all transitions of a service without exceptions."""
    slots = tuple(sorted(configuration.slot_tables[service].transitions))
    effect = SlotsListed(service, configuration.version, slots, {})
    return apply_effects((effect,), configuration)


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
    entries = await AppendLog(store, CONFIGURATION_LOG_PREFIX).read_after(0)
    return [decode_entry(entry.payload) for entry in entries]


class SilentStore(MemoryObjectStore):
    """After a lost answer every further call is refused."""

    __slots__ = ()

    async def create(self, key: str, value: bytes) -> int:
        try:
            return await super().create(key, value)
        except OutcomeUnknown:
            self.faults.is_down = True
            raise
