"""The tasks of an instance that own its sockets."""

import random

import anyio
import anyio.abc
from absl import logging

from catkinspread.clock import Clock
from catkinspread.instance.actions import (
    Action,
    AppendChange,
    CallStore,
    SendToCaller,
    SendToPeer,
    SendToUpstream,
    SpreadToPeers,
)
from catkinspread.instance.control import ConfigurationTask
from catkinspread.instance.core import InstanceCore
from catkinspread.instance.messages import (
    Envelope,
    FrameError,
    PeerBody,
    decode_frame,
    encode_envelope,
    encode_membership_frame,
)
from catkinspread.membership import (
    MemberChanged,
    MemberRecord,
    MembershipAction,
    MembershipMessageError,
    MembershipView,
    MemberState,
    decode_membership_message,
    encode_membership_message,
)
from catkinspread.membership import SendMessage as SendMembership
from catkinspread.membership.messages import Heartbeat
from catkinspread.model import Endpoint, OwnerMember
from catkinspread.objectstore import ObjectStore
from catkinspread.records import RecordStore
from catkinspread.requests import ClaimStoreDriver
from catkinspread.routing import MemberView
from catkinspread.settings import InstanceSettings
from catkinspread.transport import PeerPort, UdpPort
from catkinspread.wire import (
    PacketError,
    decode_fabric_packet,
    encode_fabric_packet,
    encode_packet,
)

_TICK_MS = 20
_MEMBERSHIP_TICK_MS = 100
_SPREAD_FAN_OUT = 3
# Store calls of the request handler that run at the same time; the platform answers in ms.
_STORE_CALLS_MAX = 64


class Instance:
    """One instance: wires its core to sockets, peers and the platform.

    Attributes:
        core: The decision logic.
        members: The view of the other instances.
        is_leaving: Whether a graceful shutdown is under way.
    """

    __slots__ = (
        "_clock",
        "_configuration",
        "_driver",
        "_fabric_port",
        "_group",
        "_membership_due_ms",
        "_peer_port",
        "_random",
        "_settings",
        "_store",
        "_store_calls",
        "_upstream_port",
        "core",
        "is_leaving",
        "member",
        "members",
    )

    def __init__(
        self, settings: InstanceSettings, store: ObjectStore, clock: Clock, seed: int | None = None
    ) -> None:
        now_ms = clock.now_ms()
        self._settings = settings
        self._store = store
        self._clock = clock
        self._random = random.Random(seed)
        self.member = OwnerMember(settings.name, now_ms)
        self.is_leaving = False
        self.core = InstanceCore(
            self.member,
            settings.flows_max,
            RecordStore(settings.name, now_ms),
            self._random,
            now_ms,
        )
        record = MemberRecord(
            member=settings.name,
            incarnation=now_ms,
            refutation=0,
            state=MemberState.ALIVE,
            data_centre=settings.data_centre,
            host=settings.peer_address.host,
            port=settings.peer_address.port,
        )
        self.members = MembershipView(record, self._random, now_ms)
        self.members.add_seeds(seed.endpoint for seed in settings.seeds)
        self._membership_due_ms = now_ms
        self._driver = ClaimStoreDriver(store)
        self._store_calls = anyio.Semaphore(_STORE_CALLS_MAX)
        self._configuration = ConfigurationTask(store, clock, settings.name, self._apply)
        self._fabric_port = UdpPort(settings.fabric_address, self._handle_fabric)
        self._upstream_port = UdpPort(settings.upstream_address, self._handle_upstream, clock)
        self._peer_port = PeerPort(settings.peer_address, settings.keys, self._handle_peer)
        self._group: anyio.abc.TaskGroup | None = None

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs all tasks until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            await group.start(self._peer_port.run)
            await group.start(self._upstream_port.run)
            group.start_soon(self._configuration.run)
            group.start_soon(self._tick)
            await group.start(self._fabric_port.run)
            logging.info("instance: %s is running", self._settings.name)
            task_status.started()

    async def _tick(self) -> None:
        while True:
            now_ms = self._clock.now_ms()
            if now_ms >= self._membership_due_ms:
                self._membership_due_ms = now_ms + _MEMBERSHIP_TICK_MS
                self._execute_membership(self.members.tick(now_ms))
                self._update_members(now_ms)
            self._execute(self.core.tick(now_ms))
            await anyio.sleep(_TICK_MS / 1000)

    def _apply(self, configuration) -> None:
        now_ms = self._clock.now_ms()
        self.core.apply(configuration, now_ms)
        self.core.world.router.note_exchange(configuration.version, now_ms)
        self.members.set_version(configuration.version)

    def _handle_fabric(self, data: bytes, _: Endpoint) -> None:
        try:
            packet = decode_fabric_packet(data)
        except PacketError:
            self.core.world.drop("malformed-fabric-packet")
            return
        self._execute(self.core.handle_caller(packet, self._clock.now_ms()))

    def _handle_upstream(self, datagram: bytes, sender: Endpoint) -> None:
        self._execute(self.core.handle_upstream(sender, datagram, self._clock.now_ms()))

    def _handle_peer(self, frame: bytes) -> None:
        now_ms = self._clock.now_ms()
        try:
            content = decode_frame(frame)
            if isinstance(content, bytes):
                self._handle_membership(content, now_ms)
                return
        except (FrameError, MembershipMessageError) as error:
            self.core.world.drop("malformed-peer-message")
            logging.log_every_n_seconds(logging.WARNING, "instance: %s", 10, error)
            return
        if content.incarnation not in (0, self.member.incarnation):
            self.core.world.drop("other-incarnation")
            return
        self._execute(self.core.handle_peer(content.sender, content.body, now_ms))

    def _handle_membership(self, datagram: bytes, now_ms: int) -> None:
        message = decode_membership_message(datagram)
        self._execute_membership(self.members.handle(message, now_ms))
        if isinstance(message, Heartbeat) and message.is_reply and not self.members.is_stale:
            self.core.world.router.note_exchange(message.version, now_ms)

    def _execute_membership(self, actions: list[MembershipAction]) -> None:
        has_changed = False
        for action in actions:
            match action:
                case SendMembership(_, endpoint, message):
                    frame = encode_membership_frame(encode_membership_message(message))
                    self._peer_port.send(frame, endpoint)
                case MemberChanged():
                    has_changed = True
        if has_changed:
            self._update_members(self._clock.now_ms())

    def _update_members(self, now_ms: int) -> None:
        views = []
        for name in self.members.list_live():
            member = self.members.find_member(name)
            is_own = name == self.member.instance
            views.append(
                MemberView(
                    name=name,
                    incarnation=self.member.incarnation if is_own else member.incarnation,
                    data_centre=member.data_centre,
                    version=member.version,
                    is_leaving=is_own and self.is_leaving,
                )
            )
        self._execute(self.core.set_members(views, now_ms))

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendToUpstream(endpoint, packet, not_after_ms):
                    self._upstream_port.send(encode_packet(packet), endpoint, not_after_ms)
                case SendToCaller(service_address, caller, packet):
                    data = encode_fabric_packet(service_address, caller, encode_packet(packet))
                    self._fabric_port.send(data, self._settings.fabric_return_address)
                case SendToPeer(instance, body, incarnation):
                    self._send_to_peer(instance, body, incarnation)
                case SpreadToPeers(body):
                    self._spread(body)
                case CallStore(store_action):
                    self._group.start_soon(self._call_store, store_action)
                case AppendChange(entry):
                    self._group.start_soon(self._configuration.append, entry)

    def _send_to_peer(self, instance: str, body: PeerBody, incarnation: int) -> None:
        member = self.members.find_member(instance)
        if member is None:
            self.core.world.drop("unknown-instance")
            return
        frame = encode_envelope(Envelope(self.member, incarnation, body))
        self._peer_port.send(frame, member.endpoint)

    def _spread(self, body: PeerBody) -> None:
        peers = [name for name in self.members.list_live() if name != self.member.instance]
        for name in self._random.sample(peers, min(_SPREAD_FAN_OUT, len(peers))):
            self._send_to_peer(name, body, 0)

    async def _call_store(self, action) -> None:
        async with self._store_calls:
            event = await self._driver.execute(action)
        if event is not None:
            self._execute(self.core.handle_store_event(event, self._clock.now_ms()))
