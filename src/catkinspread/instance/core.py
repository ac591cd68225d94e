"""The decision logic of an instance: packets, messages and times in, typed actions out."""

import random

from catkinspread.instance.actions import Action, AppendChange, SendToPeer
from catkinspread.instance.admissions import Admissions
from catkinspread.instance.messages import (
    PeerBody,
    RelayedAnswer,
    RelayedRequest,
    RelayRefused,
)
from catkinspread.instance.packet_path import PacketPath
from catkinspread.instance.recorder import Recorder
from catkinspread.instance.request_path import RequestPath
from catkinspread.instance.state import SharedState
from catkinspread.limits import ColdStartNotice, KnownInstances
from catkinspread.model import Configuration, Endpoint, InstanceIncarnation
from catkinspread.records import RecordStore
from catkinspread.requests import ForwardedRequest, RequestHandler, StoreEvent
from catkinspread.requests import PeerMessage as RequestMessage
from catkinspread.routing import (
    AppendEntry,
    DropReason,
    ForwardedPacket,
    MemberView,
    OwnerAction,
    ReleasePackets,
    SendMessage,
    SlotRouter,
)
from catkinspread.wire import (
    Accepted,
    Answer,
    Cancel,
    Data,
    FabricPacket,
    PacketError,
    Request,
    Reset,
    decode_packet,
)

# Longer than the longest timeout between packets of a live flow.
_FLOW_TIMEOUT_MS = 300_000
_EXPIRE_PERIOD_MS = 1_000


class InstanceCore:
    """Ties routing, requests, limits and records of one instance together.

    All methods run in one task. None of them waits.

    Attributes:
        state: Configuration, live instances, counters and records.
        packets: The path of opens, data and closes.
        requests: The path of requests.
    """

    __slots__ = ("_fleet", "_next_expiry_ms", "packets", "requests", "state")

    def __init__(
        self,
        member: InstanceIncarnation,
        flows_max: int,
        records: RecordStore,
        random_source: random.Random,
        now_ms: int,
    ) -> None:
        recorder = Recorder(member.instance, records)
        self.state = SharedState(member, SlotRouter(member), recorder)
        self._fleet = KnownInstances(member.instance, now_ms)
        self.packets = PacketPath(self.state, flows_max)
        admissions = Admissions(self.state, self._fleet)
        recorder.set_limits_source(admissions.describe)
        handler = RequestHandler(member, random_source)
        self.requests = RequestPath(self.state, self.packets, handler, admissions)
        self._next_expiry_ms = now_ms + _EXPIRE_PERIOD_MS

    def apply(self, configuration: Configuration, now_ms: int) -> list[Action]:
        """Puts a newer configuration in force; an older one is ignored."""
        self.state.apply(configuration, now_ms)
        return self.requests.update_configuration(now_ms)

    def rejoin(self, incarnation: int) -> list[Action]:
        """Takes a greater incarnation after others took this instance for dead."""
        self.state.member = InstanceIncarnation(self.state.member.instance, incarnation)
        return self._own(self.state.router.rejoin(incarnation), 0)

    def set_members(self, members: list[MemberView], now_ms: int) -> list[Action]:
        """Takes the live instances, this one included."""
        before = {view.member for view in self.state.members.values()}
        self.state.members = {view.name: view for view in members}
        for view in members:
            self._fleet.observe(view.name, now_ms)
        actions = self._own(self.state.router.set_members(members, now_ms), now_ms)
        if {view.member for view in members} != before:
            actions += self.requests.update_members(now_ms)
        for view in members:
            if view.member not in before and view.name != self.state.member.instance:
                actions += self.requests.send_cold_starts(view.name, now_ms)
        return actions

    def handle_caller(self, fabric_packet: FabricPacket, now_ms: int) -> list[Action]:
        """Handles a packet that the fabric handed to this instance."""
        caller_packet = self.packets.decode(fabric_packet, now_ms)
        if caller_packet is None:
            return []
        if not self.state.router.is_ready(now_ms):
            # The caller sends it again. A request must not be refused here, because the next
            # instance that it reaches can serve it.
            self.state.drop(DropReason.NOT_READY.value)
            return []
        match caller_packet.packet:
            case Request():
                return self.requests.handle_request(caller_packet, now_ms)
            case Cancel():
                return self.requests.handle_cancel(caller_packet, now_ms)
        return self.packets.carry(caller_packet, now_ms)

    def handle_upstream(self, sender: Endpoint, datagram: bytes, now_ms: int) -> list[Action]:
        """Handles a packet from an upstream."""
        if self.state.find_upstream(sender) is None:
            self.state.drop("unknown-upstream")
            return []
        try:
            packet = decode_packet(datagram)
        except PacketError:
            self.state.drop("malformed-upstream-packet")
            return []
        match packet:
            case Answer():
                return self.requests.handle_answer(packet, now_ms)
            case Accepted() | Data() | Reset():
                return self.packets.return_to_caller(sender, packet)
        self.state.drop("unexpected-upstream-packet")
        return []

    def handle_peer(self, sender: InstanceIncarnation, body: PeerBody, now_ms: int) -> list[Action]:
        """Handles a message of another instance."""
        name = sender.instance
        match body:
            case ForwardedPacket():
                caller_packet = self.packets.decode_forwarded(body, now_ms)
                if caller_packet is None:
                    return []
                return self.packets.carry_forwarded(body, caller_packet, now_ms)
            case RelayedRequest():
                return self.requests.handle_relayed(name, body, now_ms)
            case RelayedAnswer():
                return self.requests.handle_relayed_answer(body, now_ms)
            case RelayRefused():
                return self.requests.handle_relay_refused(body, now_ms)
            case ColdStartNotice():
                return self.requests.handle_notice(name, body, now_ms)
        if isinstance(body, ForwardedRequest) and not self.state.router.is_ready(now_ms):
            # The sender claims the request itself when it gets no confirmation.
            self.state.drop(DropReason.NOT_READY.value)
            return []
        if isinstance(body, RequestMessage):
            return self.requests.handle_peer(body, now_ms)
        return self._own(self.state.router.handle(name, body, now_ms), now_ms)

    def handle_store_event(self, event: StoreEvent, now_ms: int) -> list[Action]:
        """Handles the outcome of a store action."""
        return self.requests.handle_store_event(event, now_ms)

    def tick(self, now_ms: int) -> list[Action]:
        """Does what is due; called every 20 ms."""
        actions = self._own(self.state.router.tick(now_ms), now_ms)
        actions += self.requests.tick(now_ms)
        if now_ms >= self._next_expiry_ms:
            self._next_expiry_ms = now_ms + _EXPIRE_PERIOD_MS
            self.packets.flows.expire(now_ms, _FLOW_TIMEOUT_MS)
        return actions

    def _own(self, owner_actions: list[OwnerAction], now_ms: int) -> list[Action]:
        """Turns the actions of the transition owner into those of the instance."""
        actions: list[Action] = []
        for action in owner_actions:
            match action:
                case SendMessage(instance, message):
                    actions.append(SendToPeer(instance, message))
                case ReleasePackets():
                    actions += self.packets.release(action, now_ms)
                    actions += self.requests.release(action, now_ms)
                case AppendEntry():
                    actions.append(AppendChange(action))
        return actions
