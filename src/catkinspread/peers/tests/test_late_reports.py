"""Reports of upstreams that the source executes late, after newer ones."""

import random
from collections.abc import Awaitable, Callable, Iterator

import hypothesis
import msgspec
import pytest
from anyio.from_thread import start_blocking_portal
from hypothesis import strategies
from hypothesis.stateful import rule

from catkinspread.clock import ManualClock
from catkinspread.deployment import (
    LATE_WRITE_MAX_MS,
    DeploymentState,
    SourceHealth,
    SourcePosition,
    StateApplier,
    StateChange,
    StateChanges,
    StateKind,
    UpstreamRecord,
)
from catkinspread.deployment.state import KnownUpstream
from catkinspread.eventlog import EventLog
from catkinspread.peers import PeerDirectory, SharedSource, StateCache
from catkinspread.peers.tests.test_restorations import (
    UPSTREAMS,
    Peer,
    RestorationMachine,
    Store,
    build_member,
)
from catkinspread.peers.tests.test_shared_source import SETTLING_MS, NullSink

KIND = StateKind.UPSTREAMS
NOW_MS = 1_000_000
HEARTBEAT_MS = 1_200
COLD_MS = 2_000
NAME = "i-1"
# A start of the process some time ago, and one a moment ago.
EARLIER_BORN_MS = 400_000
BORN_MS = 999_000

WARM = UpstreamRecord(
    NAME, 1, "pages", "east", "10.0.0.9", 80, 2, False, 0, BORN_MS, report_number=20
)
COLD = msgspec.structs.replace(WARM, cold_remaining_ms=COLD_MS, report_number=22)
DRAINING = msgspec.structs.replace(WARM, is_draining=True, report_number=22)
LATE = msgspec.structs.replace(WARM, report_number=21)
LATE_OF_EARLIER_START = msgspec.structs.replace(WARM, born_ms=EARLIER_BORN_MS, report_number=700)


class _Instance:
    """An instance that reads the source, or another instance."""

    def __init__(
        self,
        call: Callable[[Callable[[], Awaitable[None]]], None],
        clock: ManualClock,
        store: Store,
        feeder: "_Instance | None" = None,
    ) -> None:
        self._call = call
        self._clock = clock
        self.health = SourceHealth()
        self.cache = StateCache(SETTLING_MS)
        self.state = DeploymentState(flow_lifetime_max_ms=60_000)
        events = EventLog("one", NullSink(), clock)
        self._applier = StateApplier(self.state, events, HEARTBEAT_MS)
        self._position: SourcePosition | None = None
        source = Peer(feeder.cache) if feeder else store
        directory = PeerDirectory(build_member("a"), random.Random(1))
        self.shared = SharedSource(
            source, lambda member: source, directory, self.cache, self.health, events, clock, True
        )
        self.read()

    def read(self, count: int = 1) -> None:
        """Lists the records, or reads the changes."""
        for _ in range(count):
            self._call(self._read)

    async def _read(self) -> None:
        now_ms = self._clock.now_ms()
        if self._position is None:
            listing = await self.shared._read_source(KIND, self.shared._source.list_records(KIND))
            read = self.shared._cache_listing(KIND, listing, None)
            self._applier.apply_listing(KIND, read, now_ms)
        else:
            read = await self.shared.wait_for_changes(KIND, self._position, 0)
            self._applier.apply_changes(KIND, read, now_ms)
        self._position = read.position

    def list_again(self) -> None:
        self._position = None
        self.read()

    @property
    def known(self) -> KnownUpstream:
        (known,) = self.state.list_upstreams()
        return known

    def is_cold(self) -> bool:
        return self._clock.now_ms() < self.known.cold_until_ms

    def is_eligible(self) -> bool:
        return bool(self.state.list_eligible_upstreams("pages"))


class _Site:
    """A source, an instance that reads it, and one that follows this instance."""

    def __init__(self, call: Callable[..., None], record: UpstreamRecord = WARM) -> None:
        self._call = call
        self.clock = ManualClock(NOW_MS)
        self.store = Store()
        self.write(record)
        self.feeder = _Instance(call, self.clock, self.store)
        self.follower = _Instance(call, self.clock, self.store, self.feeder)

    def write(self, record: UpstreamRecord | None) -> None:
        self.store.put(KIND, NAME, record)

    def read(self) -> None:
        # The second read releases what the first one shows to be due.
        for instance in self.instances:
            instance.read(2)

    @property
    def instances(self) -> tuple[_Instance, ...]:
        return self.feeder, self.follower

    def start_another(self) -> _Instance:
        """Returns an instance that starts with the records of the follower."""
        return _Instance(self._call, self.clock, self.store, self.follower)


@pytest.fixture
def site() -> Iterator[_Site]:
    # All calls run in one event loop, to which events are bound.
    with start_blocking_portal() as portal:
        yield _Site(portal.call)


@pytest.mark.parametrize("late", [LATE, LATE_OF_EARLIER_START], ids=["report", "start"])
@pytest.mark.parametrize("is_read_at_once", [True, False])
def test_late_report_does_not_make_a_cold_upstream_warm(
    site: _Site, late: UpstreamRecord, is_read_at_once: bool
) -> None:
    """Guards against full load on a cold upstream whose earlier report is executed late (review/14)."""
    for record in (COLD, late):
        site.write(record)
        if is_read_at_once:
            site.read()
    site.read()
    for instance in (*site.instances, site.start_another()):
        assert instance.is_cold()
        assert instance.known.record == COLD


@pytest.mark.parametrize("late", [LATE, LATE_OF_EARLIER_START], ids=["report", "start"])
def test_late_report_does_not_make_a_draining_upstream_ready(
    site: _Site, late: UpstreamRecord
) -> None:
    """Guards against new flows on an upstream that is about to exit."""
    for record in (DRAINING, late):
        site.write(record)
        site.read()
    for instance in (*site.instances, site.start_another()):
        assert not instance.is_eligible()


def test_late_report_of_an_upstream_that_left_does_not_bring_it_back(site: _Site) -> None:
    """Guards against new flows on an upstream whose process has ended."""
    for record in (DRAINING, None, LATE):
        site.write(record)
        site.read()
    for instance in site.instances:
        assert not instance.is_eligible()
    assert not site.start_another().is_eligible()


def test_late_report_stays_held_back_after_a_lost_history(site: _Site) -> None:
    """Guards against a listing that applies what the changes did not."""
    site.write(COLD)
    site.read()
    site.write(LATE)
    site.store.forget_history()
    for instance in site.instances:
        instance.list_again()
        assert instance.is_cold()
        assert instance.known.record == COLD


def test_report_that_follows_a_late_one_is_applied(site: _Site) -> None:
    """Guards against an upstream that stays at an old report after a late one."""
    newest = msgspec.structs.replace(COLD, cold_remaining_ms=800, report_number=23)
    for record in (COLD, LATE, newest):
        site.write(record)
        site.read()
    site.clock.advance(LATE_WRITE_MAX_MS)
    site.read()
    for instance in (*site.instances, site.start_another()):
        assert instance.known.record == newest


@pytest.mark.parametrize("cold_remaining_ms", [0, COLD_MS])
def test_upstream_that_starts_again_with_its_clock_set_back_is_served_at_once(
    site: _Site,
    cold_remaining_ms: int,
) -> None:
    """Guards against an upstream that is lost because its start looks older than the last one."""
    site.clock.advance(LATE_WRITE_MAX_MS)
    restarted = msgspec.structs.replace(
        WARM, born_ms=EARLIER_BORN_MS, report_number=1, cold_remaining_ms=cold_remaining_ms
    )
    site.write(restarted)
    site.read()
    for instance in (*site.instances, site.start_another()):
        assert instance.known.record == restarted
        assert instance.is_eligible()
        assert instance.is_cold() == bool(cold_remaining_ms)


def test_upstream_that_starts_twice_with_its_clock_set_back_is_cold_and_not_lost(
    site: _Site,
) -> None:
    """Guards against an upstream that is lost because its second start looks like a late report."""
    restarted = msgspec.structs.replace(
        COLD, born_ms=EARLIER_BORN_MS, report_number=1, host="10.0.0.8"
    )
    site.write(restarted)
    site.read()
    another = site.start_another()
    for instance in (*site.instances, another):
        assert instance.is_cold()
        assert instance.is_eligible()
    site.clock.advance(LATE_WRITE_MAX_MS)
    site.read()
    another.read(2)
    for instance in (*site.instances, another):
        assert instance.known.record == restarted


def test_late_report_of_the_start_before_the_clock_was_set_back_is_held_back(site: _Site) -> None:
    """Guards against a late report that looks newer because the clock was set back since."""
    site.clock.advance(LATE_WRITE_MAX_MS)
    restarted = msgspec.structs.replace(COLD, born_ms=EARLIER_BORN_MS, report_number=1)
    for record in (restarted, LATE):
        site.write(record)
        site.read()
    for instance in (*site.instances, site.start_another()):
        assert instance.known.record == restarted
        assert instance.is_cold()


def test_number_that_went_back_for_good_does_not_lose_the_upstream(site: _Site) -> None:
    """Guards against another writer's high number that makes all later reports look late."""
    site.write(msgspec.structs.replace(DRAINING, report_number=1_000_000))
    site.read()
    site.write(LATE)
    site.read()
    site.clock.advance(LATE_WRITE_MAX_MS - 1)
    site.read()
    assert not site.feeder.is_eligible()
    site.clock.advance(1)
    site.read()
    for instance in site.instances:
        assert instance.known.record == LATE
        assert instance.is_eligible()


def test_held_report_waits_for_an_upstream_that_could_not_correct_it(site: _Site) -> None:
    """Guards against a late report that is applied after an outage of the source."""
    for record in (COLD, LATE):
        site.write(record)
        site.read()
    site.feeder.health.record_failure(site.clock.now_ms(), KIND)
    site.clock.advance(LATE_WRITE_MAX_MS)
    site.feeder.read()
    site.feeder.read(2)
    assert site.feeder.known.record == COLD


@pytest.mark.parametrize("change", [{"service": "desk"}, {"host": "10.0.0.8"}, {"port": 81}])
def test_record_that_contradicts_its_process_moves_nothing(
    site: _Site, change: dict[str, object]
) -> None:
    """Guards against flows that run at another service because of another writer's record."""
    site.write(msgspec.structs.replace(WARM, **change))
    site.read()
    for instance in (*site.instances, site.start_another()):
        assert instance.known.record == WARM
        assert instance.is_eligible()
    restarted = msgspec.structs.replace(WARM, born_ms=BORN_MS + 1, **change)
    site.write(restarted)
    site.read()
    for instance in site.instances:
        assert instance.known.record == restarted


def test_late_report_is_read_by_and_from_an_earlier_version() -> None:
    """Guards against instances that cannot follow each other while the program is replaced."""
    sent = StateChanges((StateChange(NAME, LATE, is_held=True),), 9)
    earlier = msgspec.msgpack.decode(msgspec.msgpack.encode(sent), type=_EarlierChanges)
    assert earlier.changes == (_EarlierChange(NAME, LATE),)
    received = msgspec.msgpack.decode(msgspec.msgpack.encode(earlier), type=StateChanges)
    assert received == StateChanges((StateChange(NAME, LATE),), 9)


class _EarlierChange(msgspec.Struct, frozen=True):
    """A state change in messages of a version that holds nothing back."""

    name: str
    record: UpstreamRecord | None
    is_unreadable: bool = False


class _EarlierChanges(msgspec.Struct, frozen=True):
    changes: tuple[_EarlierChange, ...]
    revision: int


class LateReportMachine(RestorationMachine):
    """Random orders of reports that are lost and executed late, of drains, starts and restarts.

    Guards, with the invariants of the restorations, against an upstream that left or drains and is
    used again because of a late report. The source itself is not restored here.
    """

    def __init__(self) -> None:
        self._lost: list[tuple[int, UpstreamRecord]] = []
        super().__init__()

    @rule(name=strategies.sampled_from(UPSTREAMS), is_draining=strategies.booleans())
    def lose_report_before_another(self, name: str, is_draining: bool) -> None:
        record = self._upstreams.get(name)
        if record is None:
            return
        record = msgspec.structs.replace(record, report_number=record.report_number + 1)
        self._upstreams[name] = record
        self._lost.append((self.clock.now_ms(), record))
        self.report(name, is_draining)
        self.read_everywhere()

    @rule(place=strategies.integers(0, 7))
    def execute_late(self, place: int) -> None:
        """Executes one of the lost reports; a live upstream corrects it with its next one."""
        oldest_ms = self.clock.now_ms() - LATE_WRITE_MAX_MS
        self._lost = [lost for lost in self._lost if lost[0] > oldest_ms]
        if not self._lost:
            return
        _, record = self._lost.pop(place % len(self._lost))
        self.store.put(KIND, record.name, record)
        self._is_rewrite_due = True

    # No rules of this machine, so that its steps are those that concern reports.
    take_copy = restore = change_configuration = evacuate_or_lift = None


TestLateReports = LateReportMachine.TestCase
TestLateReports.settings = hypothesis.settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)
