"""The copy of the configuration that an instance serves from."""

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
# An entry above this is announced and pulled: pushed to 3 peers, each instance would get it
# 3 times, and one of 20 KB takes 7 s of the control budget each time.
PUSH_MAX_BYTES = 1_000
# Entries kept that arrived before their predecessor.
_AHEAD_MAX_ENTRIES = 64
_LOG_SENDER = ""
# If the first member fails to save a snapshot, another one tries this many entries later.
_SNAPSHOT_RETRY_ENTRIES = 32


class ConfigurationReplica:
    """Applies the entries of the log strictly in order and passes them on.

    Args:
        own_id: Id of this instance.
        rng: Source of all random choices.
        now_ms: Time of the start.
    """

    __slots__ = (
        "_ahead",
        "_configuration",
        "_has_diverged",
        "_head_hash",
        "_is_ready",
        "_is_started",
        "_own_id",
        "_peers",
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
        self._ahead: dict[int, tuple[EntryRecord, str]] = {}
        self._tail = EntryTail()
        self._server = SnapshotServer()
        self._receiver = SnapshotReceiver()
        self._pulls = PullState(now_ms)

    @property
    def configuration(self) -> Configuration:
        """The configuration at the applied version."""
        return self._configuration

    @property
    def version(self) -> int:
        """Index of the last applied entry."""
        return self._configuration.version

    @property
    def is_ready(self) -> bool:
        """Whether the instance may serve: it once had the newest version that it heard of.

        Without this a restarted instance could serve an older version than before, from a
        snapshot or a peer that is behind.
        """
        return self._is_ready

    @property
    def has_diverged(self) -> bool:
        """Whether the log contradicts the applied entries; only replacing the instance helps."""
        return self._has_diverged

    def make_snapshot(self) -> Snapshot:
        """Returns the present state."""
        return Snapshot(self._configuration, self._head_hash)

    def set_peers(self, live: Iterable[str]) -> None:
        """Sets the live members, to which new versions are pushed."""
        self._peers = [member for member in live if member != self._own_id]

    def start_empty(self, now_ms: int) -> list[ConfigurationAction]:
        """Starts from version 0, because the platform has no snapshot."""
        return self._start(Snapshot(Configuration(), 0), now_ms)

    def load_snapshot(self, snapshot: Snapshot, now_ms: int) -> list[ConfigurationAction]:
        """Takes over a snapshot if it is newer than what is applied."""
        if self._has_diverged or (self._is_started and snapshot.version <= self.version):
            return []
        return self._start(snapshot, now_ms)

    def handle_peer_version(
        self, member: str, version: int, now_ms: int
    ) -> list[ConfigurationAction]:
        """Takes a version that a member reported, for example in a heartbeat."""
        self._pulls.record_version(member, version)
        if version <= self.version or not self._is_started or self._has_diverged:
            return []
        return self._pull(now_ms)

    def handle_log(self, entries: Iterable[LogEntry], now_ms: int) -> list[ConfigurationAction]:
        """Takes the result of reading or watching the platform's log; it may be empty."""
        if not self._is_started or self._has_diverged:
            return []
        records = [make_entry_record(entry.index, entry.payload) for entry in entries]
        for record in records:
            known_hash = self._tail.find_hash(record.index)
            if known_hash not in (None, record.payload_hash):
                return self._refuse(record, _LOG_SENDER, "another entry was applied before")
        actions = self._take(records, _LOG_SENDER, now_ms)
        if not self._is_ready and records:
            # The platform limits one read, so only an empty one shows the end of the log.
            return [*actions, ReadLog(self.version)]
        self._update_readiness()
        return actions

    def handle(self, message: ConfigurationMessage, now_ms: int) -> list[ConfigurationAction]:
        """Takes a message of a peer."""
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
                return self._handle_part(message, now_ms)

    def tick(self, now_ms: int) -> list[ConfigurationAction]:
        """Repeats requests without an answer; call it about every 100 ms."""
        if self._has_diverged or not self._pulls.is_due(now_ms):
            return []
        if not self._is_started:
            return self._request_start(now_ms)
        if self._pulls.highest_version > self.version:
            return self._pull(now_ms)
        return []

    # Starting

    def _request_start(self, now_ms: int) -> list[ConfigurationAction]:
        actions: list[ConfigurationAction] = [ReadSnapshot()]
        attempt = self._pulls.begin(now_ms)
        # The platform has the first try alone; peers would send the same bytes on costly links.
        if attempt > 0 and self._peers:
            target = self._rng.choice(self._peers)
            request = self._receiver.make_request(self._own_id, target)
            actions.append(SendConfiguration(target, request))
        return actions

    def _start(self, snapshot: Snapshot, now_ms: int) -> list[ConfigurationAction]:
        self._configuration = snapshot.configuration
        self._head_hash = snapshot.head_hash
        self._is_started = True
        self._tail.clear()
        self._ahead = {key: value for key, value in self._ahead.items() if key > self.version}
        self._pulls.finish(now_ms)
        actions: list[ConfigurationAction] = [VersionApplied(self.version), ReadLog(self.version)]
        if self._pulls.highest_version > self.version:
            actions.extend(self._pull(now_ms))
        else:
            # Ready at once only with news from peers; else the log must be read to its end.
            self._is_ready |= self._pulls.has_member_versions
        return actions

    def _handle_part(self, part: SnapshotPart, now_ms: int) -> list[ConfigurationAction]:
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

    # Pulling and serving entries

    def _pull(self, now_ms: int) -> list[ConfigurationAction]:
        if not self._pulls.is_due(now_ms):
            return []
        attempt = self._pulls.begin(now_ms)
        actions: list[ConfigurationAction] = []
        target = self._pulls.choose_newer_member(self.version, attempt) or self._choose_peer()
        if target is not None:
            request = EntriesRequest(self._own_id, self.version)
            actions.append(SendConfiguration(target, request))
        if attempt > 0 or target is None:
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
        before = self.version
        actions = self._take(message.records, message.sender, now_ms)
        self._update_readiness()
        if message.is_too_old and self._pulls.highest_version > self.version:
            actions.append(ReadLog(self.version))
            if self._pulls.attempt_count > 1:
                # The log did not answer the first request.
                request = self._receiver.make_request(self._own_id, message.sender)
                actions.append(SendConfiguration(message.sender, request))
        elif self.version > before and self._pulls.highest_version > self.version:
            self._pulls.finish(now_ms)
            actions.extend(self._pull(now_ms))
        elif self._pulls.highest_version > self.version:
            actions.extend(self._pull(now_ms))
        return actions

    # Applying

    def _take(
        self, records: Iterable[EntryRecord], sender: str, now_ms: int
    ) -> list[ConfigurationAction]:
        actions: list[ConfigurationAction] = []
        before = self.version
        for record in records:
            if record.index <= self.version or self._has_diverged:
                continue
            if record.index > self.version + 1:
                self._keep_ahead(record, sender)
                self._pulls.record_version(sender, record.index)
                continue
            actions.extend(self.apply(record, sender))
            while (following := self._ahead.pop(self.version + 1, None)) is not None:
                actions.extend(self.apply(*following))
        if self.version > before:
            self._ahead = {key: value for key, value in self._ahead.items() if key > self.version}
            if self._pulls.highest_version <= self.version:
                self._pulls.finish(now_ms)
            actions.append(VersionApplied(self.version))
            actions.extend(self._push(before))
            actions.extend(self._plan_snapshot(before))
        return actions

    def apply(self, record: EntryRecord, sender: str = _LOG_SENDER) -> list[ConfigurationAction]:
        """Applies the next entry if it continues the chain.

        Returns:
            Nothing if it was applied or is not the next one, else why it was refused.
        """
        if record.index != self.version + 1 or self._has_diverged:
            return []
        try:
            if hash_payload(record.payload) != record.payload_hash:
                raise EntryError("payload does not match its hash")
            entry = decode_entry(record.payload)
            if entry.previous_hash != self._head_hash:
                raise EntryError(f"entry does not continue version {self.version}")
            self._configuration = apply_entry(self._configuration, record.index, entry)
        except EntryError as error:
            return self._refuse(record, sender, str(error))
        self._head_hash = record.payload_hash
        self._tail.append(record)
        return []

    def _refuse(self, record: EntryRecord, sender: str, reason: str) -> list[ConfigurationAction]:
        actions: list[ConfigurationAction] = [EntryRefused(record.index, sender, reason)]
        if sender == _LOG_SENDER:
            self._has_diverged = True
            actions.append(ChainBroken(record.index))
        else:
            actions.append(ReadLog(self.version))
        return actions

    def _keep_ahead(self, record: EntryRecord, sender: str) -> None:
        if len(self._ahead) < _AHEAD_MAX_ENTRIES or record.index in self._ahead:
            self._ahead[record.index] = (record, sender)

    def _push(self, before: int) -> list[ConfigurationAction]:
        records = self._tail.read_after(before) or ()
        size_bytes = sum(len(record.payload) for record in records)
        is_whole = bool(records) and records[-1].index == self.version
        message: ConfigurationMessage = VersionNotice(self._own_id, self.version)
        if is_whole and size_bytes <= PUSH_MAX_BYTES:
            message = Entries(self._own_id, self.version, records)
        count = min(PUSH_FAN_OUT, len(self._peers))
        return [SendConfiguration(peer, message) for peer in self._rng.sample(self._peers, count)]

    def _plan_snapshot(self, before: int) -> list[ConfigurationAction]:
        step = self.version // _SNAPSHOT_RETRY_ENTRIES
        if step == before // _SNAPSHOT_RETRY_ENTRIES or self.version < SNAPSHOT_INTERVAL_ENTRIES:
            return []
        rank = step % (SNAPSHOT_INTERVAL_ENTRIES // _SNAPSHOT_RETRY_ENTRIES)
        order = rank_by_rendezvous("configuration-snapshot", [self._own_id, *self._peers])
        if rank < len(order) and order[rank] == self._own_id:
            return [WriteSnapshot(self.version)]
        return []


def choose_watchers(data_centre: str, live: Iterable[str]) -> list[str]:
    """Returns the members of a data centre that watch the log.

    Args:
        data_centre: Name of the data centre.
        live: Ids of its live members.
    """
    order = rank_by_rendezvous(f"configuration-watch/{data_centre}", live)
    return order[:WATCHERS_PER_DATA_CENTRE]
