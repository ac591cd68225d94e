"""A source that reads the deployment through another instance where one reads it already.

The revisions are those of the real source everywhere, so an instance can change between reading
the source and following another instance at any call without missing a change.
"""

from collections.abc import Awaitable, Callable

import anyio

from catkinspread.clock import Clock
from catkinspread.deployment import (
    HistoryLost,
    SourceHealth,
    SourceUnavailable,
    StateChanges,
    StateKind,
    StateSource,
)
from catkinspread.eventlog import EventLog
from catkinspread.peers.directory import SOURCE_TIMEOUT_MS, PeerDirectory
from catkinspread.peers.messages import Member
from catkinspread.peers.state_cache import StateCache

# One waiting call shows at this interval that the source still answers; the others wait longer
# and are made anew when it does not.
LIVENESS_WAIT_MS = 1_200
LIVENESS_KIND = StateKind.EVACUATIONS
# How long a new instance waits to hear of others before it reads the source itself.
FIRST_CONTACT_WAIT_MS = 120
# At the first start of the deployment there are seconds until the first packet.
FIRST_START_WAIT_MS = 1_500
# One that is not the first to read the source waits longer for the one that is, and one that
# never reads for others longest.
FEEDER_WAIT_MS = 500
FOLLOWER_WAIT_MS = 1_500
_FIRST_CONTACT_STEP_MS = 10
# How long an instance that does not feed others waits for a feeder to be replaced.
FEEDER_PATIENCE_MS = 1_200
# In an outage: pause between calls of instances that do not feed others, and between looks at
# whether the outage is over.
OUTAGE_PAUSE_MS = 4_000
OUTAGE_CHECK_MS = 1_000
_MS_PER_S = 1_000


class SharedSource:
    """Chooses for each call whether to read the source or another instance.

    Args:
        source: The real source.
        open_peer: Returns a source that reads another instance.
        directory: Knows the other instances.
        cache: Takes all that was read, to pass it on.
        own_health: Whether the real source answers this instance.
        events: Takes a line for each change of the feeder.
        clock: Source of the time.
        is_first_start: Whether the whole deployment starts for the first time.
    """

    __slots__ = (
        "_cache",
        "_clock",
        "_directory",
        "_events",
        "_feeder",
        "_feeder_changed",
        "_is_first_start",
        "_kinds_behind",
        "_open_peer",
        "_own_health",
        "_source",
    )

    def __init__(
        self,
        source: StateSource,
        open_peer: Callable[[Member], StateSource],
        directory: PeerDirectory,
        cache: StateCache,
        own_health: SourceHealth,
        events: EventLog,
        clock: Clock,
        is_first_start: bool = False,
    ) -> None:
        self._is_first_start = is_first_start
        self._source = source
        self._open_peer = open_peer
        self._directory = directory
        self._cache = cache
        self._own_health = own_health
        self._events = events
        self._clock = clock
        self._feeder: Member | None = None
        self._feeder_changed = anyio.Event()
        self._kinds_behind: set[StateKind] = set()

    def choose_feeder(self) -> None:
        """Decides anew whom to follow; calls that wait at another feeder end."""
        now_ms = self._clock.now_ms()
        age_ms = self._own_health.get_last_success_age_ms(now_ms)
        feeder = self._directory.choose_feeder(age_ms, now_ms)
        if feeder == self._feeder:
            return
        self._feeder = feeder
        name = feeder.name if feeder else ""
        self._events.write("feeder_changed", now_ms, feeder=name, own_source_age_ms=age_ms)
        self._interrupt()

    async def list_records(self, kind: StateKind) -> StateChanges:
        """Returns all records of a kind; see `StateSource`.

        At first, what another instance knows is taken, because the source may be away. Once
        the history was lost, only whoever lost it has the records that follow.
        """
        if kind in self._kinds_behind:
            listing = await self._list_where_history_was_lost(kind)
            self._kinds_behind.discard(kind)
            return self._keep_listing(kind, listing)
        await self._wait_for_contact()
        holders = self._directory.find_any_with_state(self._clock.now_ms())
        for member in holders[:2]:
            try:
                return self._keep_listing(kind, await self._open_peer(member).list_records(kind))
            except SourceUnavailable as error:
                self._events.write(
                    "peer_unavailable", self._clock.now_ms(), peer=member.name, reason=str(error)
                )
        if self._own_health.is_failing and kind is not LIVENESS_KIND:
            raise SourceUnavailable("the source did not answer another call")
        return self._keep_listing(kind, await self._read_source(self._source.list_records(kind)))

    async def _list_where_history_was_lost(self, kind: StateKind) -> StateChanges:
        if self._feeder is not None:
            return await self._open_peer(self._feeder).list_records(kind)
        return await self._read_source(self._source.list_records(kind))

    async def wait_for_changes(
        self, kind: StateKind, revision: int, timeout_ms: int
    ) -> StateChanges:
        """Returns the changes after a revision; see `StateSource`."""
        try:
            return await self._wait_at_feeder(kind, revision, timeout_ms)
        except HistoryLost:
            self._kinds_behind.add(kind)
            raise

    async def _wait_at_feeder(self, kind: StateKind, revision: int, wait_ms: int) -> StateChanges:
        if self._feeder is None:
            if not await self._may_call_source(kind):
                return StateChanges((), revision)
            if kind is LIVENESS_KIND:
                wait_ms = min(wait_ms, LIVENESS_WAIT_MS)
            call = self._source.wait_for_changes(kind, revision, wait_ms)
            changes = await self._run_interruptible(self._read_source(call))
        else:
            call = self._open_peer(self._feeder).wait_for_changes(kind, revision, wait_ms)
            changes = await self._run_interruptible(call)
        if changes is None:
            return StateChanges((), revision)
        self._cache.put_changes(kind, changes)
        return changes

    async def _may_call_source(self, kind: StateKind) -> bool:
        """Whether to call the source now; False after a pause in which others may try.

        The source counts every call. Instances that do not feed others wait first for one
        that does; during an outage one kind alone asks again.
        """
        if not self._own_health.is_failing:
            if self._directory.may_feed() or self._reads_already():
                return True
            return not await self._wait_for_feeder(FEEDER_PATIENCE_MS)
        if kind is LIVENESS_KIND and self._directory.may_feed():
            return True
        pause_ms = OUTAGE_PAUSE_MS if kind is LIVENESS_KIND else OUTAGE_CHECK_MS
        return not await self._wait_for_feeder(pause_ms) and kind is LIVENESS_KIND

    def _reads_already(self) -> bool:
        age_ms = self._own_health.get_last_success_age_ms(self._clock.now_ms())
        return age_ms is not None and age_ms < SOURCE_TIMEOUT_MS

    async def _wait_for_feeder(self, wait_ms: int) -> bool:
        """Waits for a change of the feeder and returns whether there was one."""
        changed = self._feeder_changed
        with anyio.move_on_after(wait_ms / _MS_PER_S):
            await changed.wait()
            return True
        return False

    def _keep_listing(self, kind: StateKind, listing: StateChanges) -> StateChanges:
        self._cache.put_listing(kind, listing)
        return listing

    async def _read_source(self, call: Awaitable[StateChanges]) -> StateChanges:
        try:
            changes = await call
        except SourceUnavailable:
            if self._own_health.record_failure(self._clock.now_ms()):
                self._interrupt()
            raise
        if self._own_health.is_failing:
            self._interrupt()
        self._own_health.record_success(self._clock.now_ms())
        return changes

    async def _run_interruptible(self, call: Awaitable[StateChanges]) -> StateChanges | None:
        """Returns the result of a call, or None if the feeder changed meanwhile."""
        result: StateChanges | None = None
        failure: Exception | None = None
        changed = self._feeder_changed

        async def finish() -> None:
            nonlocal result, failure
            try:
                result = await call
            except Exception as error:  # Raised again below, outside the task group.
                failure = error
            group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(finish)
            await changed.wait()
            group.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return result

    async def _wait_for_contact(self) -> None:
        started_ms = self._clock.now_ms()
        while True:
            now_ms = self._clock.now_ms()
            if now_ms - started_ms >= self._get_contact_wait_ms():
                return
            if self._directory.find_any_with_state(now_ms):
                return
            await anyio.sleep(_FIRST_CONTACT_STEP_MS / _MS_PER_S)

    def _get_contact_wait_ms(self) -> int:
        if not self._directory.may_feed():
            return FOLLOWER_WAIT_MS
        if not self._directory.is_first():
            return FEEDER_WAIT_MS
        is_alone = self._directory.count_members() == 1
        return FIRST_START_WAIT_MS if is_alone and self._is_first_start else FIRST_CONTACT_WAIT_MS

    def _interrupt(self) -> None:
        self._feeder_changed.set()
        self._feeder_changed = anyio.Event()
