"""A simulated fleet whose instances also hold replicas of the configuration."""

import random

from catkinspread.bench.fleet import Fleet, FleetNode
from catkinspread.bench.platform import SimulatedPlatform
from catkinspread.configuration import (
    ConfigurationAction,
    ConfigurationReplica,
    EntryRefused,
    ReadLog,
    ReadSnapshot,
    SendConfiguration,
    VersionApplied,
    WriteSnapshot,
    choose_watchers,
    decode_configuration_message,
    encode_configuration_message,
)
from catkinspread.membership import MembershipView, NewerVersionReported
from catkinspread.model import Endpoint
from catkinspread.objectstore import LogEntry

# TCP and IPv4 headers of the segment and of its acknowledgement, and the frame header.
_STREAM_OVERHEAD_BYTES = 90
_SEGMENT_BYTES = 1_400
_RETRANSMISSION_MS = 200
# A watch that failed is started again after this long.
_WATCH_RETRY_MS = 500


class ConfigurationFleet(Fleet):
    """Fleet with replicas and a platform.

    Attributes:
        platform: The platform.
        replicas: Replica by name of the instance.
        applied_ms: For each version, when each instance applied it.
        reversions: How often an instance served a lower version than before, also across
            restarts.
        refused: How many entries were refused.
        platform_bytes: Bytes of entries that instances read from the platform.
    """

    def __init__(self, seed: int, **options) -> None:
        super().__init__(seed, **options)
        self.platform = SimulatedPlatform(self.queue, random.Random(seed + 1))
        self.replicas: dict[str, ConfigurationReplica] = {}
        self.applied_ms: dict[int, dict[str, int]] = {}
        self.reversions = 0
        self.refused = 0
        self.platform_bytes = 0
        self._served: dict[str, int] = {}
        self._watched_ms: dict[str, int] = {}

    def start(self, name: str, seeds: list[Endpoint] | None = None) -> MembershipView:
        """Starts an instance without any state."""
        seed = random.Random(self.rng.random())
        self.replicas[name] = ConfigurationReplica(name, seed, self.now_ms)
        return super().start(name, seeds)

    def wake_watchers(self) -> None:
        """Lets the watches of the log return, as after a write."""
        for node in self.list_running():
            if self._is_watcher(node):
                self._read_log(node)

    def feed_writer(self, name: str, entry: LogEntry) -> None:
        """Gives the instance that wrote a change its own entry."""
        node = self.nodes[name]
        self._carry_out(node, self.replicas[name].handle_log([entry], self.now_ms))

    def after_tick(self, node: FleetNode) -> None:
        """Runs the replica of an instance after its view."""
        replica = self.replicas[node.name]
        replica.set_peers(node.view.list_live())
        self._carry_out(node, replica.tick(self.now_ms))
        if self.now_ms - self._watched_ms.get(node.name, 0) >= _WATCH_RETRY_MS:
            self._watched_ms[node.name] = self.now_ms
            has_news = self.platform.read_log(replica.version) if self._is_watcher(node) else []
            if has_news:
                self._read_log(node)

    def after_version_seen(self, node: FleetNode, action: NewerVersionReported) -> None:
        """Passes a version in a heartbeat to the replica."""
        replica = self.replicas[node.name]
        self._carry_out(
            node, replica.handle_peer_version(action.member, action.version, self.now_ms)
        )

    def _is_watcher(self, node: FleetNode) -> bool:
        if not self.platform.is_reachable(node.data_centre):
            return False
        local = node.view.list_live_by_data_centre()[node.data_centre]
        return node.name in choose_watchers(node.data_centre, local)

    def _carry_out(self, node: FleetNode, actions: list[ConfigurationAction]) -> None:
        replica = self.replicas[node.name]
        for action in actions:
            match action:
                case SendConfiguration(member, message):
                    self._send_frame(node, member, encode_configuration_message(message))
                case ReadLog():
                    self._read_log(node)
                case ReadSnapshot():
                    self._read_snapshot(node)
                case WriteSnapshot():
                    self._write_snapshot(node, replica)
                case VersionApplied(version):
                    node.view.set_configuration_version(version)
                    self._note_applied(node)
                case EntryRefused():
                    self.refused += 1
        self._note_served(node, replica)

    def _write_snapshot(self, node: FleetNode, replica: ConfigurationReplica) -> None:
        snapshot = replica.make_snapshot()
        self.platform.call(
            node.data_centre, lambda: self.platform.save_snapshot(node.name, snapshot)
        )

    def _note_applied(self, node: FleetNode) -> None:
        version = self.replicas[node.name].version
        for earlier in range(version, 0, -1):
            times = self.applied_ms.setdefault(earlier, {})
            if node.name in times:
                break
            times[node.name] = self.now_ms

    def _note_served(self, node: FleetNode, replica: ConfigurationReplica) -> None:
        if not replica.is_ready:
            return
        if replica.version < self._served.get(node.name, 0):
            self.reversions += 1
        self._served[node.name] = replica.version

    def _read_log(self, node: FleetNode) -> None:
        replica, view = self.replicas[node.name], node.view

        def answer() -> None:
            if node.view is view and not node.is_paused:
                entries = self.platform.read_log(replica.version)
                size_bytes = sum(len(entry.payload) + 100 for entry in entries)
                node.bytes_received += size_bytes
                self.platform_bytes += size_bytes
                self._carry_out(node, replica.handle_log(entries, self.now_ms))

        self.platform.call(node.data_centre, answer)

    def _read_snapshot(self, node: FleetNode) -> None:
        replica, view = self.replicas[node.name], node.view

        def answer() -> None:
            if node.view is not view:
                return
            snapshot = self.platform.load_snapshot()
            if snapshot is None:
                self._carry_out(node, replica.start_empty(self.now_ms))
            else:
                self._carry_out(node, replica.load_snapshot(snapshot, self.now_ms))

        self.platform.call(node.data_centre, answer)

    def _send_frame(self, node: FleetNode, member: str, frame: bytes) -> None:
        target = self.nodes.get(member)
        segments = -(-len(frame) // _SEGMENT_BYTES)
        size_bytes = len(frame) + segments * _STREAM_OVERHEAD_BYTES
        node.bytes_sent += size_bytes
        if target is None or self.links.is_cut(node.data_centre, target.data_centre):
            return
        delay_ms = self.links.draw_delay_ms(node.data_centre, target.data_centre)
        if delay_ms is None:
            delay_ms = _RETRANSMISSION_MS

        def receive() -> None:
            replica = self.replicas[member]
            message = decode_configuration_message(frame)
            self._carry_out(target, replica.handle(message, self.now_ms))

        self.queue.schedule(delay_ms, lambda: self._deliver(target, size_bytes, receive))
