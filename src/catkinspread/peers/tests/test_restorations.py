"""Random orders of writes, restorations, cuts and restarts, read through chains of instances."""

import contextlib
import random

import hypothesis
import msgspec
from anyio.from_thread import start_blocking_portal
from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from catkinspread.clock import ManualClock
from catkinspread.deployment import (
    DeploymentState,
    HistoryLost,
    RoutingConfiguration,
    SourceHealth,
    SourcePosition,
    SourceUnavailable,
    StateApplier,
    StateChange,
    StateChanges,
    StateKind,
    StateRecord,
    UpstreamRecord,
)
from catkinspread.eventlog import EventLog
from catkinspread.peers import Hello, Member, MemberStatus, PeerDirectory, SharedSource, StateCache
from catkinspread.peers.tests.test_shared_source import SETTLING_MS, NullSink

NOW_MS = 1_000_000
HEARTBEAT_MS = 1_200
INSTANCES = ("a", "b", "c")
UPSTREAMS = ("u-1", "u-2")
DATA_CENTRES = ("east", "west")
KINDS = tuple(StateKind)
# Enough reads of all kinds for a change to pass from the store along all instances.
READS_UNTIL_SETTLED = 4

Records = dict[StateKind, dict[str, StateRecord]]


class Store:
    """A source with a history that can come back from a copy."""

    def __init__(self) -> None:
        self.era = 1
        self.revision = 1
        self.records: Records = {kind: {} for kind in KINDS}
        self.events: list[tuple[int, StateKind, StateChange]] = []
        self.oldest_revision = 0

    def put(self, kind: StateKind, name: str, record: StateRecord | None) -> None:
        if self.records[kind].get(name) == record:
            return
        self.revision += 1
        if record is None:
            del self.records[kind][name]
        else:
            self.records[kind][name] = record
        self.events.append((self.revision, kind, StateChange(name, record)))

    def copy(self) -> tuple[int, Records]:
        return self.revision, {kind: dict(records) for kind, records in self.records.items()}

    def restore(self, copy: tuple[int, Records]) -> None:
        self.revision, self.records = copy[0], {kind: dict(copy[1][kind]) for kind in KINDS}
        self.events = [event for event in self.events if event[0] <= self.revision]
        self.era += 1

    def forget_history(self) -> None:
        self.oldest_revision = self.revision
        self.events.clear()

    async def list_records(self, kind: StateKind) -> StateChanges:
        changes = tuple(StateChange(*item) for item in self.records[kind].items())
        return StateChanges(changes, self.revision, self.era)

    async def wait_for_changes(
        self, kind: StateKind, position: SourcePosition, timeout_ms: int
    ) -> StateChanges:
        after = position.revision
        if after > self.revision or after < self.oldest_revision:
            raise HistoryLost(str(position))
        changes = tuple(event[2] for event in self.events if event[0] > after and event[1] is kind)
        return StateChanges(changes, self.revision, self.era)


class Peer:
    """Reads the cache of an instance."""

    def __init__(self, cache: StateCache) -> None:
        self._cache = cache

    async def list_records(self, kind: StateKind) -> StateChanges:
        listing = self._cache.list_records(kind)
        if listing is None:
            raise SourceUnavailable("no records")
        return listing

    async def wait_for_changes(
        self, kind: StateKind, position: SourcePosition, timeout_ms: int
    ) -> StateChanges:
        return await self._cache.wait_for_changes(kind, position, 0)


class _ImmediateSource(SharedSource):
    """A shared source that does not wait for peers when it starts."""

    __slots__ = ()

    async def _wait_for_peer_with_state(self) -> None:
        return

    def follow(self, feeder: Member | None) -> None:
        self._feeder = feeder


def build_member(name: str) -> Member:
    return Member(name, "east", f"10.0.0.{INSTANCES.index(name) + 1}", 1)


class _Instance:
    """One process of an instance."""

    def __init__(self, name: str, fleet: "RestorationMachine") -> None:
        self._clock = fleet.clock
        self._call = fleet.call
        events = EventLog(name, NullSink(), self._clock)
        self.directory = PeerDirectory(build_member(name), random.Random(1))
        self.cache = StateCache(SETTLING_MS)
        self.source = _ImmediateSource(
            fleet.store,
            lambda member: Peer(fleet.instances[member.name].cache),
            self.directory,
            self.cache,
            SourceHealth(),
            events,
            self._clock,
        )
        self.state = DeploymentState(60_000)
        self._applier = StateApplier(self.state, events, HEARTBEAT_MS)
        self._positions: dict[StateKind, SourcePosition | None] = dict.fromkeys(KINDS)
        self._list_again_at_ms: dict[StateKind, int | None] = dict.fromkeys(KINDS)
        # Highest version and last upstreams that this process has used.
        self.version = 0
        self.ended: set[UpstreamRecord] = set()

    def read(self, kind: StateKind) -> None:
        """Makes one step of the synchroniser."""
        try:
            self._call(self._read, kind)
        except HistoryLost:
            self._positions[kind] = None
        except SourceUnavailable:
            pass  # The synchroniser tries again later.

    async def _read(self, kind: StateKind) -> None:
        now_ms = self._clock.now_ms()
        position, due_ms = self._positions[kind], self._list_again_at_ms[kind]
        if position is None or (due_ms is not None and now_ms >= due_ms):
            read = await self.source.list_records(kind)
            self._list_again_at_ms[kind] = None if read.is_complete else now_ms + SETTLING_MS
            self._applier.apply_listing(kind, read, now_ms)
        else:
            read = await self.source.wait_for_changes(kind, position, 0)
            self._applier.apply_changes(kind, read, now_ms)
        self._positions[kind] = read.position

    def list_eligible(self) -> set[UpstreamRecord]:
        return {known.record for known in self.state.list_eligible_upstreams("pages")}

    def list_listed(self) -> set[UpstreamRecord]:
        return {
            known.record
            for known in self.state.list_upstreams()
            if known.missing_since_ms is None and not known.is_removed
        }


class RestorationMachine(RuleBasedStateMachine):
    """Writers, a store, and instances that read it directly or through each other.

    Guards against a version that goes back, an upstream that left or drains and is used again, and
    instances that end with other records than the store holds.
    """

    def __init__(self) -> None:
        super().__init__()
        self._resources = contextlib.ExitStack()
        # All calls run in one event loop, to which events are bound.
        self.call = self._resources.enter_context(start_blocking_portal()).call
        self.clock = ManualClock(NOW_MS)
        self.store = Store()
        self._version = 0
        self._evacuated: set[str] = set()
        self._upstreams: dict[str, UpstreamRecord] = {}
        self._is_rewrite_due = False
        for name in UPSTREAMS:
            self._report(name, born_ms=1)
        self._configure()
        self._copy = self.store.copy()
        self.instances: dict[str, _Instance] = {}
        for name in INSTANCES:
            self.instances[name] = _Instance(name, self)
            self._read_all(name)

    def _read_all(self, name: str) -> None:
        for kind in KINDS:
            self.instances[name].read(kind)

    def _configure(self) -> None:
        self._version += 1
        configuration = RoutingConfiguration(self._version, (), (), 15_000)
        self.store.put(StateKind.CONFIGURATION, "main", configuration)

    def _report(self, name: str, **changes: object) -> None:
        record = self._upstreams.get(name)
        if record is None:
            number = UPSTREAMS.index(name) + 1
            record = UpstreamRecord(name, number, "pages", "east", "h", 80, 2, False, 0, 1)
        number = record.report_number + 1
        record = msgspec.structs.replace(record, report_number=number, **changes)
        self._upstreams[name] = record
        self.store.put(StateKind.UPSTREAMS, name, record)

    @rule()
    def change_configuration(self) -> None:
        self._configure()

    @rule(name=strategies.sampled_from(UPSTREAMS), is_draining=strategies.booleans())
    def report(self, name: str, is_draining: bool) -> None:
        record = self._upstreams.get(name)
        if record is None:
            # It starts again under the name that it had, at a later time.
            self.clock.advance(1)
            self._report(name, born_ms=self.clock.now_ms())
        else:
            self._report(name, is_draining=record.is_draining or is_draining)

    @rule(name=strategies.sampled_from(UPSTREAMS))
    def leave(self, name: str) -> None:
        self._upstreams.pop(name, None)
        if name in self.store.records[StateKind.UPSTREAMS]:
            self.store.put(StateKind.UPSTREAMS, name, None)

    @rule(data_centre=strategies.sampled_from(DATA_CENTRES))
    def evacuate_or_lift(self, data_centre: str) -> None:
        self._evacuated ^= {data_centre}
        self._write_evacuation(data_centre)

    def _write_evacuation(self, data_centre: str) -> None:
        record = data_centre if data_centre in self._evacuated else None
        if record is not None or data_centre in self.store.records[StateKind.EVACUATIONS]:
            self.store.put(StateKind.EVACUATIONS, data_centre, record)

    @rule()
    def take_copy(self) -> None:
        self._copy = self.store.copy()

    @rule()
    def restore(self) -> None:
        self.store.restore(self._copy)
        self._is_rewrite_due = True

    @rule()
    def write_again(self) -> None:
        configuration = RoutingConfiguration(self._version, (), (), 15_000)
        self.store.put(StateKind.CONFIGURATION, "main", configuration)
        for name in UPSTREAMS:
            if name in self._upstreams:
                self._report(name)
            else:
                self.leave(name)
        for data_centre in DATA_CENTRES:
            self._write_evacuation(data_centre)
        self._is_rewrite_due = False

    @rule()
    def forget_history(self) -> None:
        self.store.forget_history()

    @rule(
        name=strategies.sampled_from(INSTANCES), feeder=strategies.sampled_from((None, *INSTANCES))
    )
    def follow(self, name: str, feeder: str | None) -> None:
        if feeder != name:
            self.instances[name].source.follow(build_member(feeder) if feeder else None)

    @rule(name=strategies.sampled_from(INSTANCES))
    def read(self, name: str) -> None:
        self._read_all(name)

    @rule()
    def read_everywhere(self) -> None:
        for name in INSTANCES:
            self._read_all(name)

    @rule(name=strategies.sampled_from(INSTANCES))
    def restart(self, name: str) -> None:
        instance = _Instance(name, self)
        for other, peer in self.instances.items():
            if other != name and peer.cache.is_complete:
                status = MemberStatus(build_member(other), 100, True, False, peer.cache.era)
                instance.directory.apply_message(Hello(status, 0), self.clock.now_ms())
        self.instances[name] = instance

    @rule()
    def pass_settling_time(self) -> None:
        if self._is_rewrite_due:
            self.write_again()
        self.clock.advance(SETTLING_MS)

    @invariant()
    def versions_never_decrease(self) -> None:
        for instance in getattr(self, "instances", {}).values():
            configuration = instance.state.configuration
            version = configuration.version if configuration else 0
            assert version >= instance.version
            instance.version = version

    @invariant()
    def upstreams_that_left_or_drain_are_not_used_again(self) -> None:
        for instance in getattr(self, "instances", {}).values():
            for known in instance.state.list_upstreams():
                if known.record.is_draining or known.missing_since_ms is not None:
                    instance.ended.add(known.record)
            for record in instance.list_eligible() & instance.list_listed():
                later = [
                    ended
                    for ended in instance.ended
                    if ended.name == record.name and record.is_older_than(ended)
                ]
                assert not later, f"{record} is used again after {later}"

    def teardown(self) -> None:
        """Everybody reads the store or a reader of it; all must end with what it holds."""
        with self._resources:
            self._check_end()

    def _check_end(self) -> None:
        self.write_again()
        for name in INSTANCES:
            self.follow(name, None if name == INSTANCES[0] else INSTANCES[0])
        for _ in range(READS_UNTIL_SETTLED):
            for name in INSTANCES:
                for _ in range(READS_UNTIL_SETTLED):
                    self._read_all(name)
            self.clock.advance(SETTLING_MS)
        for instance in self.instances.values():
            assert instance.state.configuration.version == self._version
            assert set(instance.state.list_evacuated_data_centres()) == self._evacuated
            assert instance.list_listed() == set(self._upstreams.values())


TestRestorations = RestorationMachine.TestCase
TestRestorations.settings = hypothesis.settings(
    derandomize=True, max_examples=80, stateful_step_count=40, deadline=None
)
