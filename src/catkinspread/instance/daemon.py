"""The tasks of an instance that own its sockets."""

import random

import anyio
import anyio.abc
from absl import logging

from catkinspread.clock import Clock
from catkinspread.configuration import ConfigurationMessageError
from catkinspread.instance.actions import (
    Action,
    AppendChange,
    CallStore,
    SendToCaller,
    SendToPeer,
    SendToUpstream,
    SpreadToPeers,
)
from catkinspread.instance.admin import STATEMENT_MAX_BYTES, AdminApi
from catkinspread.instance.control import ConfigurationTask
from catkinspread.instance.core import InstanceCore
from catkinspread.instance.fleet import RunningFleet
from catkinspread.instance.lifecycle import AutomaticSteps, RecordsTask, Registration
from catkinspread.instance.messages import (
    Envelope,
    FrameError,
    FrameKind,
    PeerBody,
    RecordsAsked,
    RecordsFound,
    decode_envelope,
    encode_envelope,
    encode_raw_frame,
    split_frame,
)
from catkinspread.instance.metrics import MetricsApi, read_figures
from catkinspread.membership import (
    MemberChanged,
    MemberRecord,
    MembershipAction,
    MembershipMessageError,
    MembershipView,
    MemberState,
    NewerVersionReported,
    decode_membership_message,
    encode_membership_message,
)
from catkinspread.membership import SendMessage as SendMembership
from catkinspread.membership.messages import Heartbeat
from catkinspread.model import Configuration, Endpoint, InstanceIncarnation
from catkinspread.objectstore import InstanceRecord, InstanceRegistry, ObjectStore
from catkinspread.operations import AccessList, OperationsService
from catkinspread.records import RecordStore
from catkinspread.requests import ClaimStoreDriver
from catkinspread.routing import MemberView
from catkinspread.settings import InstanceSettings
from catkinspread.transport import HttpServer, UdpTransport
from catkinspread.transport.peers import PeerTransport
from catkinspread.wire import (
    PacketError,
    decode_fabric_packet,
    encode_fabric_packet,
    encode_packet,
)

_TICK_MS = 20
_MEMBERSHIP_TICK_MS = 100
# Reported versions are passed on this often; with 640 instances one update takes 3 ms.
_MEMBERS_PERIOD_MS = 500
_SPREAD_FAN_OUT = 3
# Longer than the lag of the platform's list, so that the fabric has stopped sending.
_QUIET_MS = 2_000
# Store calls of the request handler that run at the same time; the platform answers in ms.
_STORE_CALLS_MAX = 64


class Instance:
    """One instance: wires its core to sockets, peers and the platform.

    Attributes:
        core: The decision logic.
        members: The view of the other instances.
        fleet: What operators ask running instances for.
        is_leaving: Whether a graceful shutdown is under way.
        has_left: Whether the other instances were told that this one has left.
    """

    __slots__ = (
        "_admin",
        "_clock",
        "_configuration",
        "_driver",
        "_fabric_port",
        "_group",
        "_has_new_members",
        "_incarnations",
        "_leaving",
        "_members_due_ms",
        "_membership_due_ms",
        "_metrics",
        "_operations",
        "_peer_port",
        "_random",
        "_records",
        "_registration",
        "_settings",
        "_steps",
        "_store_calls",
        "_upstream_port",
        "_was_routing",
        "core",
        "fleet",
        "has_left",
        "is_leaving",
        "member",
        "members",
    )

    def __init__(
        self,
        settings: InstanceSettings,
        store: ObjectStore,
        directory: InstanceRegistry,
        access: AccessList,
        clock: Clock,
        seed: int | None = None,
    ) -> None:
        """Creates an instance that is not running yet.

        Args:
            settings: Its settings.
            store: Object API of the platform.
            directory: The platform's list of instances.
            access: Tokens of operators.
            clock: Source of the time.
            seed: Seed of random choices; None for a random one.
        """
        now_ms = clock.now_ms()
        self._settings = settings
        self._clock = clock
        self._random = random.Random(seed)
        self.member = InstanceIncarnation(settings.name, now_ms)
        self._incarnations = {now_ms}
        self._was_routing = False
        self.is_leaving = False
        self.has_left = False
        self._leaving = anyio.Event()
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
        self._members_due_ms = now_ms
        self._has_new_members = True
        self._driver = ClaimStoreDriver(store)
        self._store_calls = anyio.Semaphore(_STORE_CALLS_MAX)
        self._configuration = ConfigurationTask(
            store=store,
            clock=clock,
            member=self.member,
            view=self.members,
            send=self._send_configuration,
            on_applied=self._apply,
            on_platform_exchange=self._note_platform_exchange,
            random_source=self._random,
        )
        self._fabric_port = UdpTransport(settings.fabric_address, self._handle_fabric)
        self._upstream_port = UdpTransport(settings.upstream_address, self._handle_upstream, clock)
        self._peer_port = PeerTransport(settings.peer_address, settings.keys, self._handle_peer)
        self._group: anyio.abc.TaskGroup | None = None
        self.fleet = RunningFleet(
            self.core, self.members, lambda name, body: self._send_to_peer(name, body, 0)
        )
        self._operations = OperationsService(
            store,
            access,
            self.fleet,
            clock,
            read_replica=lambda: self._configuration.replica.configuration,
        )
        self._steps = AutomaticSteps(self._operations, settings.name, self.members.list_live)
        self._records = RecordsTask(store, self.core.state.recorder.store, clock)
        self._registration = Registration(
            directory,
            InstanceRecord(
                settings.name,
                now_ms,
                settings.data_centre,
                settings.peer_address.host,
                settings.peer_address.port,
            ),
        )
        self._admin = HttpServer(AdminApi(self._operations).answer, STATEMENT_MAX_BYTES, "admin")
        self._metrics = HttpServer(
            MetricsApi(
                lambda: read_figures(self.core, self._peer_port, self._clock.now_ms())
            ).answer,
            0,
            "metrics",
        )

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
            group.start_soon(self._records.run)
            group.start_soon(self._steps.run)
            group.start_soon(self._operations.refusals.run)
            group.start_soon(self._registration.register)
            await group.start(self._admin.run, self._settings.admin_address)
            await group.start(self._metrics.run, self._settings.metrics_address)
            await group.start(self._fabric_port.run)
            logging.info("instance: %s is running", self._settings.name)
            task_status.started()
            await self._leaving.wait()
            await self._drain()
            group.cancel_scope.cancel()

    def leave(self) -> None:
        """Starts a graceful shutdown; `run` returns when it is complete."""
        self._leaving.set()

    async def _drain(self) -> None:
        """Hands over what this instance holds, then waits until no request is open."""
        logging.info("instance: %s is leaving", self._settings.name)
        self.is_leaving = True
        await self._registration.announce_leaving()
        with anyio.move_on_after(self._settings.drain_timeout_ms / 1000) as scope:
            # Groups in which it is a successor replace it once it has left.
            while self.core.state.router.owner.is_acting:
                await anyio.sleep(_TICK_MS / 1000)
            self._execute_membership(self.members.leave(self._clock.now_ms()))
            self.has_left = True
            await self._wait_until_quiet()
        if scope.cancelled_caught:
            open_count = self.core.requests.count_open(self._clock.now_ms())
            logging.warning("instance: drain timed out with %d open requests", open_count)
        await self._registration.remove()

    async def _wait_until_quiet(self) -> None:
        quiet_since_ms = self._clock.now_ms()
        while self._clock.now_ms() - quiet_since_ms < _QUIET_MS:
            if self.core.requests.count_open(self._clock.now_ms()):
                quiet_since_ms = self._clock.now_ms()
            await anyio.sleep(_TICK_MS / 1000)

    async def _tick(self) -> None:
        while True:
            now_ms = self._clock.now_ms()
            if now_ms >= self._membership_due_ms and not self.has_left:
                self._membership_due_ms = now_ms + _MEMBERSHIP_TICK_MS
                self._execute_membership(self.members.tick(now_ms))
            if self._has_new_members or now_ms >= self._members_due_ms:
                self._update_members(now_ms)
            self._execute(self.core.tick(now_ms))
            self._check_pause(now_ms)
            await anyio.sleep(_TICK_MS / 1000)

    def _check_pause(self, now_ms: int) -> None:
        """Gives up owner groups after a pause, because others may have taken them over."""
        needs_exchange = self.core.state.router.needs_contact
        if needs_exchange and self._was_routing:
            self._execute_membership(self.members.renew_incarnation(now_ms))
        self._was_routing = not needs_exchange

    def _apply(self, configuration: Configuration) -> None:
        if configuration.version <= self.core.state.configuration.version:
            return
        self._execute(self.core.apply(configuration, self._clock.now_ms()))
        self.members.set_configuration_version(configuration.version)

    def _note_platform_exchange(self, started_at_ms: int, version: int) -> None:
        self.members.record_platform_contact(started_at_ms)
        if not self.members.is_stale:
            self.core.state.router.record_contact(version, self._clock.now_ms())

    def _send_configuration(self, instance: str, content: bytes) -> None:
        member = self.members.find_member(instance)
        if member is not None:
            frame = encode_raw_frame(FrameKind.CONFIGURATION, content)
            self._peer_port.send(frame, member.endpoint)

    def _handle_fabric(self, data: bytes, _: Endpoint) -> None:
        try:
            packet = decode_fabric_packet(data)
        except PacketError:
            self.core.state.drop("malformed-fabric-packet")
            return
        self._execute(self.core.handle_caller(packet, self._clock.now_ms()))

    def _handle_upstream(self, datagram: bytes, sender: Endpoint) -> None:
        self._execute(self.core.handle_upstream(sender, datagram, self._clock.now_ms()))

    def _handle_peer(self, frame: bytes) -> None:
        now_ms = self._clock.now_ms()
        try:
            kind, raw = split_frame(frame)
            if kind is FrameKind.MEMBERSHIP:
                self._handle_membership(raw, now_ms)
                return
            if kind is FrameKind.CONFIGURATION:
                self._configuration.handle(raw)
                return
            content = decode_envelope(raw)
        except (FrameError, MembershipMessageError, ConfigurationMessageError) as error:
            self.core.state.drop("malformed-peer-message")
            logging.log_every_n_seconds(logging.WARNING, "instance: %s", 10, error)
            return
        if content.incarnation and content.incarnation not in self._incarnations:
            self.core.state.drop("other-incarnation")
            return
        match content.body:
            case RecordsAsked():
                self.fleet.handle_asked(content.sender.instance, content.body)
            case RecordsFound():
                self.fleet.handle_found(content.sender.instance, content.body)
            case _:
                self._execute(self.core.handle_peer(content.sender, content.body, now_ms))

    def _handle_membership(self, datagram: bytes, now_ms: int) -> None:
        message = decode_membership_message(datagram)
        self._execute_membership(self.members.handle(message, now_ms))
        if isinstance(message, Heartbeat) and message.is_reply and not self.members.is_stale:
            self.core.state.router.record_contact(message.version, now_ms)

    def _execute_membership(self, actions: list[MembershipAction]) -> None:
        for action in actions:
            match action:
                case SendMembership(_, endpoint, message):
                    content = encode_membership_message(message)
                    frame = encode_raw_frame(FrameKind.MEMBERSHIP, content)
                    self._peer_port.send(frame, endpoint)
                case MemberChanged():
                    self._has_new_members = True
                case NewerVersionReported(member, version):
                    self._configuration.note_version(member, version)

    def _update_members(self, now_ms: int) -> None:
        self._has_new_members = False
        self._members_due_ms = now_ms + _MEMBERS_PERIOD_MS
        incarnation = self.members.own.incarnation
        if incarnation != self.member.incarnation:
            logging.warning("instance: %s was taken for dead and rejoins", self.member.instance)
            self.member = InstanceIncarnation(self.member.instance, incarnation)
            self._incarnations.add(incarnation)
            self._execute(self.core.rejoin(incarnation))
        views = []
        for name in self.members.list_live():
            member = self.members.find_member(name)
            is_own = name == self.member.instance
            views.append(
                MemberView(
                    name=name,
                    incarnation=member.incarnation,
                    data_centre=member.data_centre,
                    version=member.version,
                    is_leaving=is_own and self.is_leaving,
                )
            )
        self._execute(self.core.set_members(views, now_ms))

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            try:
                self._execute_one(action)
            except PacketError:
                # A packet near the limit can exceed it once its flow is filled in.
                self.core.state.drop("oversized-packet")

    def _execute_one(self, action: Action) -> None:
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
                self._configuration.append(entry)

    def _send_to_peer(self, instance: str, body: PeerBody, incarnation: int) -> None:
        member = self.members.find_member(instance)
        if member is None:
            self.core.state.drop("unknown-instance")
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
