"""Replica of the configuration that an instance serves from."""

import random
from collections.abc import Iterable, Sequence

from catkinspread.configuration.actions import (
    ChainBroken,
    ConfigurationAction,
    EntryRefused,
    ReadLog,
    ReadSnapshot,
    SendConfiguration,
    VersionApplied,
    WriteSnapshot,
)
from catkinspread.configuration.effects import EntryError, apply_entry, decode_entry
from catkinspread.configuration.messages import (
    ConfigurationMessage,
    Entries,
    EntriesRequest,
    EntryRecord,
    SnapshotPart,
    SnapshotRequest,
    VersionNotice,
    hash_payload,
    make_entry_record,
)
from catkinspread.configuration.pulls import PullState
from catkinspread.configuration.snapshot import SNAPSHOT_INTERVAL_ENTRIES, Snapshot
from catkinspread.configuration.tail import EntryTail
from catkinspread.configuration.transfer import SnapshotReceiver, SnapshotServer
from catkinspread.hashing import rank_by_rendezvous
from catkinspread.model import Configuration
from catkinspread.objectstore import LogEntry

PUSH_FAN_OUT = 3
WATCHERS_PER_DATA_CENTRE = 2
# Larger entries are announced and pulled, because with a push each instance receives an entry
# about PUSH_FAN_OUT times. One transfer of 20 KB takes up the control traffic limit of an
# instance, 3,000 bytes/s, for 7 s.
PUSH_MAX_BYTES = 1_000
# Bounds the buffer of entries that arrived before their predecessor.
_PENDING_MAX_ENTRIES = 64
_LOG_SENDER = ""
# Members rank by rendezvous hashing. If the first one fails to save a snapshot, the next one tries
# after this many further entries.
_SNAPSHOT_RETRY_ENTRIES = 32


class ConfigurationReplica:
    """Applies the log entries strictly in order and propagates them to peers.

    Methods that return a list of actions expect the caller to execute them in order; the list may
    be empty.

    Args:
        own_id: Id of this instance.
        rng: Random number generator for all random choices.
        now_ms: Time of construction, in ms.
    """

    __slots__ = (
        "_configuration",
        "_has_diverged",
        "_head_hash",
        "_is_ready",
        "_is_started",
        "_own_id",
        "_peers",
        "_pending",
        "_pulls",
        "_receiver",
        "_rng",
        "_server",
        "_tail",
    )

    def __init__(self, own_id: str, rng: random.Random, now_ms: int) -> None:
        self._own_id = own_id
        self._rng = rng
        self._configuration = Configuration()
        self._head_hash = 0
        self._is_started = False
        self._is_ready = False
        self._has_diverged = False
        self._peers: Sequence[str] = ()
        self._pending: dict[int, tuple[EntryRecord, str]] = {}
        self._tail = EntryTail()
        self._server = SnapshotServer()
        self._receiver = SnapshotReceiver()
        self._pulls = PullState(now_ms)

    @property
    def configuration(self) -> Configuration:
        """Configuration at the applied version."""
        return self._configuration

    @property
    def version(self) -> int:
        """Index of the last applied entry."""
        return self._configuration.version

    @property
    def is_ready(self) -> bool:
        """Whether the replica has caught up once, so that the instance may serve.

        It has caught up when it has applied the highest version that it learned of from peers
        or from the log. Without this check, a restarted instance could serve an older version
        than before, from a snapshot or from a peer that lags behind.
        """
        return self._is_ready

    @property
    def has_diverged(self) -> bool:
        """Whether the log has diverged from the applied entries.

        A diverged replica applies no entries and answers no requests; replace the instance.
        """
        return self._has_diverged

    def make_snapshot(self) -> Snapshot:
        """Returns a snapshot of the current state."""
        return Snapshot(self._configuration, self._head_hash)

    def set_peers(self, live_members: Iterable[str]) -> None:
        """Sets the live members; new versions are pushed to some of them."""
        self._peers = [member for member in live_members if member != self._own_id]

    def start_empty(self, now_ms: int) -> list[ConfigurationAction]:
        """Starts from version 0 because the platform has no snapshot.

        Call it only before the replica has started: the applied entries are discarded.
        """
        return self._start(Snapshot(Configuration(), 0), now_ms)

    def load_snapshot(self, snapshot: Snapshot, now_ms: int) -> list[ConfigurationAction]:
        """Installs a snapshot.

        Before the replica has started, a snapshot of any version is installed; afterwards only
        one that is newer than the applied version. Ignored after divergence.
        """
        if self._has_diverged or (self._is_started and snapshot.version <= self.version):
            return []
        return self._start(snapshot, now_ms)

    def handle_peer_version(
        self, member: str, version: int, now_ms: int
    ) -> list[ConfigurationAction]:
        """Handles a version that a member reported, for example in a heartbeat.

        If the version is later than the applied one, entries are requested, unless another request
        is in flight. Before the replica has started and after divergence, the version is only
        recorded.
        """
        self._pulls.record_version(member, version)
        if version <= self.version or not self._is_started or self._has_diverged:
            return []
        return self._pull(now_ms)

    def handle_log(self, entries: Iterable[LogEntry], now_ms: int) -> list[ConfigurationAction]:
        """Handles the entries from a read or watch of the platform's log.

        An empty sequence marks the end of the log; the replica is then ready unless a later
        version was reported. Ignored before the replica has started and after divergence.
        """
        if not self._is_started or self._has_diverged:
            return []
        records = [make_entry_record(entry.index, entry.payload) for entry in entries]
        for record in records:
            known_hash = self._tail.find_hash(record.index)
            if known_hash not in (None, record.payload_hash):
                return self._reject(
                    record, _LOG_SENDER, "a different entry was applied at this index"
                )
        actions = self._apply_records(records, _LOG_SENDER, now_ms)
        if not self._is_ready and records:
            # The platform limits the size of a read, so only an empty one marks the end of the log.
            return [*actions, ReadLog(self.version)]
        self._update_readiness()
        return actions

    def handle(self, message: ConfigurationMessage, now_ms: int) -> list[ConfigurationAction]:
        """Handles a message from a peer.

        Messages other than snapshot parts are not answered or applied before the replica has
        started, but the versions that they report are recorded.
        """
        match message:
            case VersionNotice(sender, version):
                return self.handle_peer_version(sender, version, now_ms)
            case EntriesRequest(sender, after):
                return self._serve_entries(sender, after)
            case Entries():
                return self._handle_entries(message, now_ms)
            case SnapshotRequest():
                return self._serve_snapshot(message)
            case SnapshotPart():
                return self._handle_snapshot_part(message, now_ms)

    def tick(self, now_ms: int) -> list[ConfigurationAction]:
        """Sends the first snapshot request, and repeats requests that timed out.

        Call it about every 100 ms.
        """
        if self._has_diverged or not self._pulls.can_send(now_ms):
            return []
        if not self._is_started:
            return self._request_snapshot(now_ms)
        if self._pulls.highest_version > self.version:
            return self._pull(now_ms)
        return []

    # Start from a snapshot

    def _request_snapshot(self, now_ms: int) -> list[ConfigurationAction]:
        actions: list[ConfigurationAction] = [ReadSnapshot()]
        previous_attempts = self._pulls.begin(now_ms)
        # The first attempt uses the platform alone; peers would send the same bytes over costly
        # links.
        if previous_attempts > 0 and self._peers:
            target = self._rng.choice(self._peers)
            request = self._receiver.make_request(self._own_id, target)
            actions.append(SendConfiguration(target, request))
        return actions

    def _start(self, snapshot: Snapshot, now_ms: int) -> list[ConfigurationAction]:
        self._configuration = snapshot.configuration
        self._head_hash = snapshot.head_hash
        self._is_started = True
        self._tail.clear()
        self._pending = {key: value for key, value in self._pending.items() if key > self.version}
        self._pulls.finish(now_ms)
        actions: list[ConfigurationAction] = [VersionApplied(self.version), ReadLog(self.version)]
        if self._pulls.highest_version > self.version:
            actions.extend(self._pull(now_ms))
        else:
            # Without a version reported by a peer, the log must first be read to its end.
            self._is_ready |= self._pulls.has_member_versions
        return actions

    def _handle_snapshot_part(self, part: SnapshotPart, now_ms: int) -> list[ConfigurationAction]:
        if not self._receiver.expects(part) or self._has_diverged:
            return []
        try:
            snapshot = self._receiver.add_part(part)
        except EntryError as error:
            return [EntryRefused(part.version, part.sender, str(error))]
        if snapshot is not None:
            return self.load_snapshot(snapshot, now_ms)
        self._pulls.restart_timeout(now_ms)
        request = self._receiver.make_request(self._own_id, part.sender)
        return [SendConfiguration(part.sender, request)]

    def _serve_snapshot(self, request: SnapshotRequest) -> list[ConfigurationAction]:
        if not self._is_started or self._has_diverged:
            return []
        part = self._server.make_part(
            self._own_id, request, self.make_snapshot(), self._tail.get_oldest_index(self.version)
        )
        return [SendConfiguration(request.sender, part)]

    def _update_readiness(self) -> None:
        self._is_ready |= self._is_started and self.version >= self._pulls.highest_version

    # Pull and serve entries

    def _pull(self, now_ms: int) -> list[ConfigurationAction]:
        if not self._pulls.can_send(now_ms):
            return []
        previous_attempts = self._pulls.begin(now_ms)
        actions: list[ConfigurationAction] = []
        target = (
            self._pulls.choose_newer_member(self.version, previous_attempts) or self._choose_peer()
        )
        if target is not None:
            request = EntriesRequest(self._own_id, self.version)
            actions.append(SendConfiguration(target, request))
        if previous_attempts > 0 or target is None:
            actions.append(ReadLog(self.version))
        return actions

    def _choose_peer(self) -> str | None:
        return self._rng.choice(self._peers) if self._peers else None

    def _serve_entries(self, sender: str, after: int) -> list[ConfigurationAction]:
        if not self._is_started or self._has_diverged or after >= self.version:
            return []
        records = self._tail.read_after(after)
        reply = Entries(self._own_id, self.version, records or (), is_too_old=records is None)
        return [SendConfiguration(sender, reply)]

    def _handle_entries(self, message: Entries, now_ms: int) -> list[ConfigurationAction]:
        self._pulls.record_version(message.sender, message.version)
        if not self._is_started or self._has_diverged:
            return []
        previous_version = self.version
        actions = self._apply_records(message.records, message.sender, now_ms)
        self._update_readiness()
        if message.is_too_old and self._pulls.highest_version > self.version:
            actions.append(ReadLog(self.version))
            if self._pulls.attempt_count > 1:
                # Also request a snapshot if entries were still missing after the first attempt.
                request = self._receiver.make_request(self._own_id, message.sender)
                actions.append(SendConfiguration(message.sender, request))
        elif self.version > previous_version and self._pulls.highest_version > self.version:
            self._pulls.finish(now_ms)
            actions.extend(self._pull(now_ms))
        elif self._pulls.highest_version > self.version:
            actions.extend(self._pull(now_ms))
        return actions

    # Apply entries

    def _apply_records(
        self, records: Iterable[EntryRecord], sender: str, now_ms: int
    ) -> list[ConfigurationAction]:
        actions: list[ConfigurationAction] = []
        previous_version = self.version
        for record in records:
            if record.index <= self.version or self._has_diverged:
                continue
            if record.index > self.version + 1:
                self._buffer_entry(record, sender)
                self._pulls.record_version(sender, record.index)
                continue
            actions.extend(self.apply(record, sender))
            while (following := self._pending.pop(self.version + 1, None)) is not None:
                actions.extend(self.apply(*following))
        if self.version > previous_version:
            self._pending = {
                key: value for key, value in self._pending.items() if key > self.version
            }
            if self._pulls.highest_version <= self.version:
                self._pulls.finish(now_ms)
            actions.append(VersionApplied(self.version))
            actions.extend(self._push(previous_version))
            actions.extend(self._schedule_snapshot(previous_version))
        return actions

    def apply(self, record: EntryRecord, sender: str = _LOG_SENDER) -> list[ConfigurationAction]:
        """Applies an entry if it is the next one and continues the hash chain.

        Returns:
            The actions for a rejected entry; none if the entry was applied or is not the next one.
        """
        if record.index != self.version + 1 or self._has_diverged:
            return []
        try:
            if hash_payload(record.payload) != record.payload_hash:
                raise EntryError("payload does not match its hash")
            entry = decode_entry(record.payload)
            if entry.previous_hash != self._head_hash:
                raise EntryError(f"previous hash does not match version {self.version}")
            self._configuration = apply_entry(self._configuration, record.index, entry)
        except EntryError as error:
            return self._reject(record, sender, str(error))
        self._head_hash = record.payload_hash
        self._tail.append(record)
        return []

    def _reject(self, record: EntryRecord, sender: str, reason: str) -> list[ConfigurationAction]:
        actions: list[ConfigurationAction] = [EntryRefused(record.index, sender, reason)]
        if sender == _LOG_SENDER:
            self._has_diverged = True
            actions.append(ChainBroken(record.index))
        else:
            actions.append(ReadLog(self.version))
        return actions

    def _buffer_entry(self, record: EntryRecord, sender: str) -> None:
        if len(self._pending) < _PENDING_MAX_ENTRIES or record.index in self._pending:
            self._pending[record.index] = (record, sender)

    def _push(self, previous_version: int) -> list[ConfigurationAction]:
        records = self._tail.read_after(previous_version) or ()
        size_bytes = sum(len(record.payload) for record in records)
        is_complete = bool(records) and records[-1].index == self.version
        message: ConfigurationMessage = VersionNotice(self._own_id, self.version)
        if is_complete and size_bytes <= PUSH_MAX_BYTES:
            message = Entries(self._own_id, self.version, records)
        count = min(PUSH_FAN_OUT, len(self._peers))
        return [SendConfiguration(peer, message) for peer in self._rng.sample(self._peers, count)]

    def _schedule_snapshot(self, previous_version: int) -> list[ConfigurationAction]:
        retry_period = self.version // _SNAPSHOT_RETRY_ENTRIES
        if (
            retry_period == previous_version // _SNAPSHOT_RETRY_ENTRIES
            or self.version < SNAPSHOT_INTERVAL_ENTRIES
        ):
            return []
        # Within a snapshot interval, each retry period is the turn of the next ranked member.
        rank = retry_period % (SNAPSHOT_INTERVAL_ENTRIES // _SNAPSHOT_RETRY_ENTRIES)
        ranked_members = rank_by_rendezvous("configuration-snapshot", [self._own_id, *self._peers])
        if rank < len(ranked_members) and ranked_members[rank] == self._own_id:
            return [WriteSnapshot(self.version)]
        return []


def choose_watchers(data_centre: str, live_members: Iterable[str]) -> list[str]:
    """Selects the members of a data centre that watch the log.

    Args:
        data_centre: Name of the data centre.
        live_members: Ids of its live members.
    """
    order = rank_by_rendezvous(f"configuration-watch/{data_centre}", live_members)
    return order[:WATCHERS_PER_DATA_CENTRE]
