"""The task that keeps the replica of the configuration and appends automatic entries."""

import random
import uuid
from collections.abc import Callable

import anyio
import anyio.abc
from absl import logging

from catkinspread.clock import Clock
from catkinspread.configuration import (
    CONFIGURATION_LOG_PREFIX,
    ChainBroken,
    Change,
    ConfigurationAction,
    ConfigurationReplica,
    ConfigurationWriter,
    EntryError,
    EntryRefused,
    ReadLog,
    ReadSnapshot,
    SendConfiguration,
    SnapshotStore,
    VersionApplied,
    WriteSnapshot,
    choose_watchers,
    decode_configuration_message,
    encode_configuration_message,
)
from catkinspread.membership import MembershipView
from catkinspread.model import Configuration, InstanceIncarnation
from catkinspread.objectstore import AppendLog, ObjectStore, ObjectStoreError
from catkinspread.routing import AppendEntry

_WATCH_TIMEOUT_MS = 20_000
_RETRY_DELAY_MS = 500
_TICK_MS = 100
_SNAPSHOT_GAIN_ENTRIES = 128
# The steps of an owner look at transitions every 50 ms.
_COLLECT_MS = 50
_REQUESTS_MAX = 1_000
# A list of exceptions takes up to 450 KB of an entry of at most 1 MB.
_REQUESTS_PER_ENTRY_MAX = 16


class ConfigurationTask:
    """Owns the replica of the configuration of one instance.

    Attributes:
        replica: The replica.
    """

    __slots__ = (
        "_clock",
        "_group",
        "_log",
        "_member",
        "_on_applied",
        "_on_platform_exchange",
        "_requests",
        "_send",
        "_snapshots",
        "_view",
        "_writer",
        "replica",
    )

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        member: InstanceIncarnation,
        view: MembershipView,
        send: Callable[[str, bytes], None],
        on_applied: Callable[[Configuration], None],
        on_platform_exchange: Callable[[int, int], None],
        random_source: random.Random,
    ) -> None:
        """Creates a task that is not running yet.

        Args:
            store: Object API of the platform.
            clock: Source of the time.
            member: This run of the instance.
            view: The other instances.
            send: Sends an encoded message to an instance by name.
            on_applied: Called with each configuration that may be served.
            on_platform_exchange: Called after each successful read of the log with the time at
                which the call began and the version that the replica then has.
            random_source: Source of random choices.
        """
        self._log = AppendLog(store, CONFIGURATION_LOG_PREFIX)
        self._clock = clock
        self._member = member
        self._view = view
        self._send = send
        self._on_applied = on_applied
        self._on_platform_exchange = on_platform_exchange
        self._writer = ConfigurationWriter(self._log)
        writer = f"{member.instance}/{member.incarnation}"
        self._snapshots = SnapshotStore(store, writer, anyio.to_thread.run_sync)
        self.replica = ConfigurationReplica(member.instance, random_source, clock.now_ms())
        self._group: anyio.abc.TaskGroup | None = None
        self._requests: list[AppendEntry] = []

    async def run(self) -> None:
        """Follows the log until cancelled."""
        async with anyio.create_task_group() as self._group:
            self._group.start_soon(self._watch)
            self._group.start_soon(self._write_requests)
            while True:
                self.replica.set_peers(self._view.list_live())
                self._execute(self.replica.tick(self._clock.now_ms()))
                await anyio.sleep(_TICK_MS / 1000)

    def handle(self, content: bytes) -> None:
        """Takes an encoded message of a peer.

        Raises:
            ConfigurationMessageError: If it is malformed.
        """
        message = decode_configuration_message(content)
        self._execute(self.replica.handle(message, self._clock.now_ms()))

    def note_version(self, member: str, version: int) -> None:
        """Takes a version that a peer reported."""
        self._execute(self.replica.handle_peer_version(member, version, self._clock.now_ms()))

    def append(self, request: AppendEntry) -> None:
        """Appends an automatic entry soon, if no other entry has its index then."""
        if len(self._requests) < _REQUESTS_MAX:
            self._requests.append(request)

    async def _write_requests(self) -> None:
        """Writes requests that were decided on the same version as one entry.

        Each entry changes the version, so requests written one by one would refuse each other.
        """
        while True:
            await anyio.sleep(_COLLECT_MS / 1000)
            version = self.replica.version
            due = [request for request in self._requests if request.expected_version == version]
            self._requests.clear()
            if due:
                await self._write(due[:_REQUESTS_PER_ENTRY_MAX], version)

    async def _write(self, requests: list[AppendEntry], version: int) -> None:
        change = Change(
            change_id=uuid.uuid4().hex,
            actor=f"instance/{self._member.instance}",
            command="",
            reason="; ".join(dict.fromkeys(request.reason for request in requests)),
            effects=tuple(effect for request in requests for effect in request.effects),
        )
        result = await self._writer.write(change, version, self._clock.now_ms())
        if result.is_ok():
            actions = self.replica.handle_log([result.ok.entry], self._clock.now_ms())
            self._execute(actions)
        else:
            # The owner asks again if the entry is still needed.
            logging.info("configuration: automatic entry was not written: %s", result.error)

    async def _watch(self) -> None:
        while True:
            started_ms = self._clock.now_ms()
            version = self.replica.version
            if not self._is_watcher() or not self.replica.is_ready:
                await anyio.sleep(_RETRY_DELAY_MS / 1000)
                continue
            try:
                entries = await self._log.wait_after(version, _WATCH_TIMEOUT_MS)
            except ObjectStoreError as error:
                _warn("cannot watch the log", error)
                await anyio.sleep(_RETRY_DELAY_MS / 1000)
                continue
            self._take_log(entries, started_ms)
            if entries and self.replica.version == version:
                await anyio.sleep(_RETRY_DELAY_MS / 1000)

    def _is_watcher(self) -> bool:
        own = self._view.own
        live = self._view.list_live_by_data_centre().get(own.data_centre, [])
        return own.member in choose_watchers(own.data_centre, live)

    async def _read_log(self, after: int) -> None:
        started_ms = self._clock.now_ms()
        try:
            entries = await self._log.read_after(after)
        except ObjectStoreError as error:
            _warn("cannot read the log", error)
            return
        self._take_log(entries, started_ms)

    def _take_log(self, entries: list, started_ms: int) -> None:
        self._execute(self.replica.handle_log(entries, self._clock.now_ms()))
        self._on_platform_exchange(started_ms, self.replica.version)
        # An empty read can make the replica ready without a new version.
        self._serve()

    async def _read_snapshot(self) -> None:
        try:
            snapshot = await self._snapshots.load()
        except (ObjectStoreError, EntryError) as error:
            _warn("cannot read a snapshot", error)
            return
        now_ms = self._clock.now_ms()
        if snapshot is None:
            self._execute(self.replica.start_empty(now_ms))
        else:
            self._execute(self.replica.load_snapshot(snapshot, now_ms))

    async def _write_snapshot(self) -> None:
        try:
            await self._snapshots.save(self.replica.make_snapshot(), _SNAPSHOT_GAIN_ENTRIES)
        except ObjectStoreError as error:
            _warn("cannot write a snapshot", error)

    def _execute(self, actions: list[ConfigurationAction]) -> None:
        for action in actions:
            match action:
                case SendConfiguration(member, message):
                    self._send(member, encode_configuration_message(message))
                case ReadLog(after):
                    self._group.start_soon(self._read_log, after)
                case ReadSnapshot():
                    self._group.start_soon(self._read_snapshot)
                case WriteSnapshot():
                    self._group.start_soon(self._write_snapshot)
                case VersionApplied():
                    self._serve()
                case EntryRefused(index, sender, reason):
                    # A peer without a snapshot is normal while the fleet starts.
                    level = logging.ERROR if index else logging.INFO
                    logging.log(
                        level,
                        "configuration: entry %d of %s was refused: %s",
                        index,
                        sender or "the log",
                        reason,
                    )
                case ChainBroken(index):
                    logging.error(
                        "configuration: log does not continue this replica at entry %d, "
                        "replace this instance",
                        index,
                    )

    def _serve(self) -> None:
        if self.replica.is_ready:
            self._on_applied(self.replica.configuration)


def _warn(text: str, error: Exception) -> None:
    logging.log_every_n_seconds(logging.WARNING, "configuration: %s: %s", 10, text, error)
