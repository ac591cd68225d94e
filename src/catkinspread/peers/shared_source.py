"""State source that reads through a feeder if there is one, and otherwise from the source itself.

The source is the service that stores the deployment state. Feeders serve the positions of the
source, so an instance can switch between the source and a feeder at any call without missing a
change. Positions of an era that has ended are of no use: the records are listed again.
"""

import collections
import contextlib
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import msgspec

from catkinspread.clock import Clock
from catkinspread.deployment import (
    HistoryLost,
    SourceHealth,
    SourcePosition,
    SourceUnavailable,
    StateChange,
    StateChanges,
    StateKind,
    StateSource,
)
from catkinspread.eventlog import EventLog
from catkinspread.peers.directory import SOURCE_TIMEOUT_MS, PeerDirectory
from catkinspread.peers.messages import Member
from catkinspread.peers.state_cache import StateCache

# Longest wait of a long poll of the source, for each kind. An answer of the source may be lost while
# the connection stays open and the polls for the other kinds are answered; only the end of this wait
# shows it. Changes have to be in force within 3 s: this wait, the time-out of the call, one repetition
# and the way to the followers take about 2.6 s.
SOURCE_WAIT_MS = 1_400
# During an outage, only the poll for this kind is repeated.
SOURCE_PROBE_KIND = StateKind.EVACUATIONS
# At its start, an instance waits for a peer that has the state before it reads the source. Wait of
# the first feeder of a data centre:
FIRST_FEEDER_WAIT_MS = 50
# Wait of the first feeder at the first start of the whole deployment while no other instance is known.
# It may be longer, because the first packets arrive only seconds after such a start.
FIRST_START_WAIT_MS = 1_500
# Wait of the other feeders, which gives the first feeder time to read the source.
FEEDER_WAIT_MS = 500
# Wait of followers, which is longer than FEEDER_WAIT_MS, so that the feeders read the source first.
FOLLOWER_WAIT_MS = 1_500
_PEER_POLL_INTERVAL_MS = 10
# Calls for one kind of records that fail in a row until another feeder is selected. The calls for all
# kinds may fail at once when a connection is lost.
FEEDER_FAILURES_MAX = 3
# Time for which the feeder may have changes that this instance has not read. A poll that takes longer
# is repeated: its answer is lost, or the feeder does not give it. A read usually takes the pause after
# the one before, 300 ms, and the way.
FEEDER_ANSWER_DELAY_MAX_MS = 600
# Maximum number of peers from which a listing is requested before the source is called.
LISTING_PEERS_MAX = 2
# Time that a follower without a feeder waits for a new one before it calls the source.
FEEDER_REPLACEMENT_WAIT_MS = 1_200
# During an outage of the source: interval between the calls of a follower for SOURCE_PROBE_KIND, and
# interval between the checks of the other kinds, which do not call, whether the outage is over.
OUTAGE_RETRY_INTERVAL_MS = 4_000
OUTAGE_POLL_INTERVAL_MS = 1_000
# Shortest wait of a long poll while a report is held back. A feeder tells only with its status that the
# source has answered it, so the polls until then must not follow each other without a pause.
HELD_POLL_WAIT_MIN_MS = 300
# Shortest interval between two checks of the source that other parts request.
CHECK_INTERVAL_MS = 200
_MS_PER_S = 1_000


class AnsweredSpan(msgspec.Struct, frozen=True):
    """Time in which the source answered the instance that the state is read from.

    Attributes:
        since_ms: When that instance was selected.
        until_ms: When the source last answered it.
    """

    since_ms: int
    until_ms: int


class SharedSource:
    """Decides for each call whether to read from the source itself or from a feeder.

    Args:
        source: Reads from the source itself.
        open_peer_source: Returns a source that reads from another instance.
        directory: Directory of the other instances.
        cache: Stores all records read, to serve them to other instances.
        source_health: Health of the source in the calls of this instance, without those to feeders.
        events: Log of changes of the feeder.
        clock: Source of the time.
        is_first_start: Whether this is the first start of the whole deployment.
    """

    __slots__ = (
        "_behind_since_ms",
        "_cache",
        "_check_requested",
        "_clock",
        "_directory",
        "_events",
        "_feeder",
        "_feeder_failures",
        "_interrupted",
        "_is_first_start",
        "_open_peer_source",
        "_reader_since_ms",
        "_source",
        "_source_health",
    )

    def __init__(
        self,
        source: StateSource,
        open_peer_source: Callable[[Member], StateSource],
        directory: PeerDirectory,
        cache: StateCache,
        source_health: SourceHealth,
        events: EventLog,
        clock: Clock,
        is_first_start: bool = False,
    ) -> None:
        self._is_first_start = is_first_start
        self._source = source
        self._open_peer_source = open_peer_source
        self._directory = directory
        self._cache = cache
        self._source_health = source_health
        self._events = events
        self._clock = clock
        self._feeder: Member | None = None
        # Calls to the feeder that failed in a row, by kind.
        self._feeder_failures: collections.Counter[StateKind] = collections.Counter()
        # Since when the feeder has had changes that this instance has not read, by kind.
        self._behind_since_ms: dict[StateKind, int] = {}
        # When it was decided whom the state is read from.
        self._reader_since_ms = clock.now_ms()
        self._interrupted = anyio.Event()
        self._check_requested = anyio.Event()

    def get_feeder(self) -> Member | None:
        """Returns the feeder that the state is read from; None if the source itself is read."""
        return self._feeder

    def request_check(self) -> None:
        """Requests a call that the source answers at once, unless the state is read from a feeder."""
        if self._feeder is None:
            self._check_requested.set()

    async def run_checks(
        self,
        on_answer: Callable[[], None],
        *,
        task_status: anyio.abc.TaskStatus = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Runs the requested checks until cancelled.

        Args:
            on_answer: Called after each check that the source has answered.
            task_status: Notified at the start.
        """
        task_status.started()
        while True:
            await self._check_requested.wait()
            self._check_requested = anyio.Event()
            kind = SOURCE_PROBE_KIND
            position = self._cache.get_position(kind)
            if position is not None and not self._source_health.is_failing:
                # The changes are read by the poll for the kind.
                call = self._source.wait_for_changes(kind, position, 0)
                with contextlib.suppress(SourceUnavailable, HistoryLost):
                    await self._read_source(kind, call)
                    on_answer()
            await anyio.sleep(CHECK_INTERVAL_MS / _MS_PER_S)

    def has_answered_since(self, since_ms: int) -> bool:
        """Whether the source is known to have answered at a time or later, and does not fail now."""
        span = self.find_answered_span()
        return span is not None and span.until_ms >= since_ms

    def update_feeder(self) -> None:
        """Selects the feeder again; a change interrupts the calls that are waiting."""
        now_ms = self._clock.now_ms()
        age_ms = self._source_health.get_last_success_age_ms(now_ms)
        feeder = self._directory.select_feeder(age_ms, now_ms)
        if feeder == self._feeder:
            self._repeat_overdue_polls(now_ms)
            return
        self._feeder = feeder
        self._feeder_failures.clear()
        self._behind_since_ms.clear()
        self._reader_since_ms = now_ms
        name = feeder.name if feeder else ""
        self._events.write("feeder_changed", now_ms, feeder=name, own_source_age_ms=age_ms)
        self._interrupt_calls()

    def _repeat_overdue_polls(self, now_ms: int) -> None:
        """Repeats the polls of the feeder if one has not returned changes that the feeder has."""
        feeder = self._feeder
        if feeder is None:
            return
        revisions = self._directory.list_changed_revisions(feeder.name, self._cache.era)
        for kind, revision in zip(StateKind, revisions, strict=False):
            known = self._cache.get_position(kind)
            if known is None or known.era != self._cache.era or known.revision >= revision:
                self._behind_since_ms.pop(kind, None)
                continue
            since_ms = self._behind_since_ms.setdefault(kind, now_ms)
            if now_ms - since_ms >= FEEDER_ANSWER_DELAY_MAX_MS:
                self._behind_since_ms.clear()
                error = SourceUnavailable(
                    f"no answer with the changes of {kind.value} up to revision {revision}"
                )
                self._record_feeder_failure(feeder, kind, error)
                self._events.write_always(
                    "feeder_answer_overdue",
                    now_ms,
                    feeder=feeder.name,
                    kind=kind.value,
                    revision=revision,
                    known=known.revision,
                )
                self._interrupt_calls()
                return

    def find_answered_span(self) -> AnsweredSpan | None:
        """Returns the time in which the source answered the feeder or, without one, this instance.

        A feeder goes on serving its records while it has no access to the source. Returns None if
        the source does not answer.
        """
        if self._feeder is not None:
            until_ms = self._directory.find_source_answer_at_ms(self._feeder.name)
        else:
            now_ms = self._clock.now_ms()
            age_ms = self._source_health.get_last_success_age_ms(now_ms)
            until_ms = None if age_ms is None else now_ms - age_ms
        return None if until_ms is None else AnsweredSpan(self._reader_since_ms, until_ms)

    async def list_records(self, kind: StateKind) -> StateChanges:
        """Returns all records of a kind; see `StateSource`.

        For the first listing, a peer with the state is preferred, because the source may be
        unavailable. Later ones are read from the current feeder or the source, from which the
        changes are requested, because the cache of another peer may be as far behind as this
        instance.
        """
        if self._cache.get_position(kind) is not None:
            return await self._list_again(kind)
        await self._wait_for_peer_with_state()
        peers = self._directory.list_peers_with_state(self._clock.now_ms())
        for member in peers[:LISTING_PEERS_MAX]:
            try:
                listing = await self._open_peer_source(member).list_records(kind)
                return await self._catch_up(kind, self._cache_listing(kind, listing, member))
            except SourceUnavailable as error:
                self._events.write(
                    "peer_unavailable", self._clock.now_ms(), peer=member.name, reason=str(error)
                )
        if self._source_health.is_failing and kind is not SOURCE_PROBE_KIND:
            raise SourceUnavailable(
                f"listing of {kind.value} not requested because the last call to the source failed"
            )
        listing = await self._read_source(kind, self._source.list_records(kind))
        return self._cache_listing(kind, listing, None)

    async def _catch_up(self, kind: StateKind, listing: StateChanges) -> StateChanges:
        """Adds the changes that the feeder has after the listing of another peer.

        Without them, an instance that starts would use records that were removed while that peer
        had no access to the source. If the feeder does not answer, the listing is used as it is.
        """
        feeder = self._feeder
        if feeder is None:
            return listing
        source = self._open_peer_source(feeder)
        try:
            changes = await source.wait_for_changes(kind, listing.position, 0)
            self._check_era(kind, listing.position, changes, feeder)
        except (SourceUnavailable, HistoryLost) as error:
            self._events.write("catch_up_failed", self._clock.now_ms(), reason=str(error))
            is_lost = isinstance(error, HistoryLost)
            return await self._list_again(kind) if is_lost else listing
        changes = self._cache_changes(kind, changes)
        return msgspec.structs.replace(
            changes, changes=listing.changes + changes.changes, is_complete=listing.is_complete
        )

    async def _list_again(self, kind: StateKind) -> StateChanges:
        """Returns all records of a kind from the feeder or, without one, from the source.

        The source is read as well if the feeder has not read all that this instance knows.
        """
        feeder = self._feeder
        if feeder is not None:
            call = self._open_peer_source(feeder).list_records(kind)
            listing = await self._read_feeder(feeder, kind, call)
            if not self._is_behind(kind, listing):
                return self._cache_listing(kind, listing, feeder)
            self._events.write(
                "feeder_behind",
                self._clock.now_ms(),
                kind=kind.value,
                feeder=feeder.name,
                position=listing.position,
                known=self._cache.get_position(kind),
            )
        listing = await self._read_source(kind, self._source.list_records(kind))
        return self._cache_listing(kind, listing, None)

    def _is_behind(self, kind: StateKind, listing: StateChanges) -> bool:
        """Whether a listing is of an earlier revision than the records, within a known era."""
        known = self._cache.get_position(kind)
        if known is None or not listing.era or listing.era != known.era:
            return False
        return listing.position < known

    async def wait_for_changes(
        self, kind: StateKind, position: SourcePosition, timeout_ms: int
    ) -> StateChanges:
        """Returns the changes after a position, all of its era; see `StateSource`."""
        if position.era < self._cache.era:
            raise HistoryLost(f"{position} is of an earlier era than {self._cache.era}")
        released = self._release_held(kind)
        if released:
            return StateChanges(released, position.revision, position.era)
        timeout_ms = self._limit_to_next_release(kind, timeout_ms)
        feeder = self._feeder
        changes = await self._poll_feeder_or_source(feeder, kind, position, timeout_ms)
        if changes is None:
            return StateChanges((), position.revision, position.era)
        self._check_era(kind, position, changes, feeder)
        return self._cache_changes(kind, changes)

    def _cache_changes(self, kind: StateKind, changes: StateChanges) -> StateChanges:
        """Returns the changes as they are to be applied to the state."""
        now_ms = self._clock.now_ms()
        applied = self._cache.put_changes(kind, changes, now_ms)
        self._log_refused(kind, changes, applied, now_ms)
        return applied

    def _log_refused(
        self, kind: StateKind, read: StateChanges, applied: StateChanges, now_ms: int
    ) -> None:
        """Logs the reports that the last process of their upstream cannot have written."""
        names = _list_unreadable(applied).difference(_list_unreadable(read))
        if names:
            self._events.write(
                "reports_refused",
                now_ms,
                kind=kind.value,
                names=sorted(names),
                revision=read.revision,
            )

    def _release_held(self, kind: StateKind) -> tuple[StateChange, ...]:
        """Returns the reports that no upstream has corrected while the source answered."""
        if self._cache.find_release_ms(kind) is None:
            return ()
        now_ms = self._clock.now_ms()
        span = self.find_answered_span()
        if span is None:
            self._cache.restart_holding(kind, now_ms)
            return ()
        released = self._cache.release_held(kind, span.until_ms, now_ms)
        if released:
            names = [change.name for change in released]
            self._events.write_always("held_reports_applied", now_ms, names=names)
        return released

    def _limit_to_next_release(self, kind: StateKind, timeout_ms: int) -> int:
        release_ms = self._cache.find_release_ms(kind)
        if release_ms is None:
            return timeout_ms
        return min(timeout_ms, max(HELD_POLL_WAIT_MIN_MS, release_ms - self._clock.now_ms()))

    async def _poll_feeder_or_source(
        self, feeder: Member | None, kind: StateKind, position: SourcePosition, timeout_ms: int
    ) -> StateChanges | None:
        """Returns the changes after a position; None if the call was interrupted or is not due."""
        if feeder is not None:
            source = self._open_peer_source(feeder)
            poll = source.wait_for_changes(kind, position, timeout_ms)
            return await self._run_interruptible(self._read_feeder(feeder, kind, poll))
        if not await self._wait_before_source_call(kind):
            return None
        wait_ms = self._get_source_wait_ms(kind, timeout_ms)
        call = self._source.wait_for_changes(kind, position, wait_ms)
        return await self._run_interruptible(self._read_source(kind, call))

    def _get_source_wait_ms(self, kind: StateKind, timeout_ms: int) -> int:
        """Returns the wait of a long poll; none after a failure, so that the next answer comes soon."""
        is_probing = kind is SOURCE_PROBE_KIND and self._source_health.is_failing
        if is_probing or self._source_health.is_kind_failing(kind):
            return 0
        return min(timeout_ms, SOURCE_WAIT_MS)

    def _check_era(
        self,
        kind: StateKind,
        position: SourcePosition,
        changes: StateChanges,
        feeder: Member | None,
    ) -> None:
        """Checks that changes follow a position.

        Args:
            kind: Kind of the changes.
            position: Position that they were requested after.
            changes: What was read.
            feeder: Peer that it was read from; None for the source.

        Raises:
            HistoryLost: If the changes are of a later era.
            SourceUnavailable: If they are of an earlier era.
        """
        self._require_current_era(kind, changes, feeder)
        if changes.era != position.era:
            raise HistoryLost(
                f"{kind.value} are at {changes.position}, not of the era of {position}"
            )

    def _require_current_era(
        self, kind: StateKind, read: StateChanges, feeder: Member | None
    ) -> None:
        """Notes the era of what was read; raises SourceUnavailable if it is not the latest one."""
        era = self._cache.era
        if read.era < era:
            raise SourceUnavailable(f"{kind.value} are at {read.position}, before era {era}")
        if read.era == era:
            return
        self._cache.era = read.era
        self._directory.record_source_era(read.era, feeder)
        self._events.write_always(
            "source_era_changed", self._clock.now_ms(), era=read.era, previous_era=era
        )
        # The other kinds may be waiting at positions of the earlier era.
        self._interrupt_calls()

    async def _wait_before_source_call(self, kind: StateKind) -> bool:
        """Waits for a feeder if necessary and returns whether to call the source now.

        The source counts every call, so the number of calls is kept small: followers wait for a
        feeder first, and during an outage only the calls for SOURCE_PROBE_KIND are repeated.
        """
        if not self._source_health.is_failing:
            if self._directory.is_feeder() or self._has_recent_answer():
                return True
            return not await self._wait_for_interruption(FEEDER_REPLACEMENT_WAIT_MS)
        if kind is SOURCE_PROBE_KIND and self._directory.is_feeder():
            return True
        interval_ms = (
            OUTAGE_RETRY_INTERVAL_MS if kind is SOURCE_PROBE_KIND else OUTAGE_POLL_INTERVAL_MS
        )
        return not await self._wait_for_interruption(interval_ms) and kind is SOURCE_PROBE_KIND

    def _has_recent_answer(self) -> bool:
        age_ms = self._source_health.get_last_success_age_ms(self._clock.now_ms())
        return age_ms is not None and age_ms < SOURCE_TIMEOUT_MS

    async def _wait_for_interruption(self, wait_ms: int) -> bool:
        """Waits for a change of the feeder or of the health of the source.

        Returns:
            Whether there was a change within the wait time.
        """
        interrupted = self._interrupted
        with anyio.move_on_after(wait_ms / _MS_PER_S):
            await interrupted.wait()
            return True
        return False

    def _cache_listing(
        self, kind: StateKind, listing: StateChanges, peer: Member | None
    ) -> StateChanges:
        self._require_current_era(kind, listing, peer)
        now_ms = self._clock.now_ms()
        cached = self._cache.put_listing(kind, listing, now_ms)
        self._log_refused(kind, listing, cached, now_ms)
        if not cached.is_complete:
            self._log_merged(kind, listing, cached, now_ms)
        return cached

    def _log_merged(
        self, kind: StateKind, listing: StateChanges, merged: StateChanges, now_ms: int
    ) -> None:
        """Logs by how many records a listing of a restored source differs from what is used."""
        dropped = set(listing.changes).difference(merged.changes)
        added = set(merged.changes).difference(listing.changes)
        self._events.write_always(
            "listing_merged",
            now_ms,
            kind=kind.value,
            era=listing.era,
            outdated=len(dropped),
            kept=len(added),
        )

    async def _read_source(self, kind: StateKind, call: Awaitable[StateChanges]) -> StateChanges:
        try:
            changes = await call
        except SourceUnavailable:
            if self._source_health.record_failure(self._clock.now_ms(), kind):
                self._interrupt_calls()
            raise
        if self._source_health.is_failing:
            self._interrupt_calls()
        self._source_health.record_success(self._clock.now_ms(), kind)
        return changes

    async def _read_feeder(
        self, feeder: Member, kind: StateKind, call: Awaitable[StateChanges]
    ) -> StateChanges:
        """Returns the answer of the feeder; leaves it once FEEDER_FAILURES_MAX calls have failed."""
        try:
            changes = await call
        except SourceUnavailable as error:
            if feeder == self._feeder:
                self._record_feeder_failure(feeder, kind, error)
            raise
        del self._feeder_failures[kind]
        return changes

    def _record_feeder_failure(
        self, feeder: Member, kind: StateKind, error: SourceUnavailable
    ) -> None:
        self._feeder_failures[kind] += 1
        if self._feeder_failures[kind] < FEEDER_FAILURES_MAX:
            return
        now_ms = self._clock.now_ms()
        self._events.write_always(
            "feeder_failed", now_ms, feeder=feeder.name, kind=kind.value, reason=str(error)
        )
        self._directory.record_failed_feeder(feeder.name, now_ms)
        self.update_feeder()

    async def _run_interruptible(self, call: Awaitable[StateChanges]) -> StateChanges | None:
        """Returns the result of a call, or None if it was interrupted."""
        result: StateChanges | None = None
        failure: Exception | None = None
        interrupted = self._interrupted

        async def finish() -> None:
            nonlocal result, failure
            try:
                result = await call
            except Exception as error:  # Raised again below, outside the task group.
                failure = error
            group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(finish)
            await interrupted.wait()
            group.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return result

    async def _wait_for_peer_with_state(self) -> None:
        started_ms = self._clock.now_ms()
        while True:
            now_ms = self._clock.now_ms()
            if now_ms - started_ms >= self._get_peer_wait_ms():
                return
            if self._directory.list_peers_with_state(now_ms):
                return
            await anyio.sleep(_PEER_POLL_INTERVAL_MS / _MS_PER_S)

    def _get_peer_wait_ms(self) -> int:
        if not self._directory.is_feeder():
            return FOLLOWER_WAIT_MS
        if not self._directory.is_first_feeder():
            return FEEDER_WAIT_MS
        is_alone = self._directory.count_members() == 1
        return FIRST_START_WAIT_MS if is_alone and self._is_first_start else FIRST_FEEDER_WAIT_MS

    def _interrupt_calls(self) -> None:
        self._interrupted.set()
        self._interrupted = anyio.Event()


def _list_unreadable(changes: StateChanges) -> set[str]:
    return {change.name for change in changes.changes if change.is_unreadable}
