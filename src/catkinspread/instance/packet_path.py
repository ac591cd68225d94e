"""The path of opens, data and closes between callers and upstreams."""

import msgspec

from catkinspread.hashing import hash_flow
from catkinspread.instance.actions import Action, SendToCaller, SendToPeer, SendToUpstream
from catkinspread.instance.flows import Flow, FlowTable
from catkinspread.instance.state import SharedState
from catkinspread.model import Endpoint
from catkinspread.routing import (
    BufferPacket,
    DropPacket,
    ForwardedPacket,
    ForwardToOwner,
    PacketKind,
    ReleasePackets,
    ResetFlow,
    RouteAction,
)
from catkinspread.routing import SendToUpstream as RouteToUpstream
from catkinspread.wire import (
    Accepted,
    Answer,
    Close,
    FabricPacket,
    Open,
    Packet,
    PacketError,
    Reset,
    decode_packet,
    encode_packet,
)

# Packets that wait for pins to be stored; the routing itself bounds the flows they belong to.
_WAITING_MAX = 20_000


class CallerPacket(msgspec.Struct, frozen=True):
    """A packet of a caller with the flow it belongs to."""

    flow: Flow
    packet: Packet


def find_kind(packet: Packet) -> PacketKind:
    """Returns what a packet means for its flow."""
    if isinstance(packet, Open):
        return PacketKind.OPEN
    return PacketKind.CLOSE if isinstance(packet, Close) else PacketKind.DATA


class PacketPath:
    """Routes packets of callers and hands packets of upstreams back.

    Attributes:
        flows: Where callers are reached.
    """

    __slots__ = ("_waiting", "_waiting_count", "_state", "flows")

    def __init__(self, state: SharedState, flows_max: int) -> None:
        self._state = state
        self.flows = FlowTable(flows_max)
        self._waiting: dict[tuple[str, int], list[CallerPacket]] = {}
        self._waiting_count = 0

    def decode(self, fabric_packet: FabricPacket, now_ms: int) -> CallerPacket | None:
        """Checks a packet of the fabric and notes its flow; None if it was dropped."""
        service = self._state.find_service(fabric_packet.service)
        if service is None:
            return self._state.drop("unknown-service")
        try:
            packet = decode_packet(fabric_packet.datagram)
        except PacketError:
            return self._state.drop("malformed-caller-packet")
        if isinstance(packet, Accepted | Answer | Reset):
            return self._state.drop("unexpected-caller-packet")
        return self._identify(service, fabric_packet.service, fabric_packet.caller, packet, now_ms)

    def decode_forwarded(self, message: ForwardedPacket, now_ms: int) -> CallerPacket | None:
        """Checks a packet that another instance forwarded; None if it was dropped."""
        service = self._state.configuration.services.get(message.header.service)
        if service is None:
            return self._state.drop("unknown-service")
        try:
            packet = decode_packet(message.datagram)
        except PacketError:
            return self._state.drop("malformed-peer-packet")
        caller = Endpoint(message.caller_host, message.caller_port)
        return self._identify(service.name, service.address, caller, packet, now_ms)

    def carry(self, caller_packet: CallerPacket, now_ms: int) -> list[Action]:
        """Routes a packet that the fabric handed to this instance."""
        flow = caller_packet.flow
        kind = find_kind(caller_packet.packet)
        route = self._state.router.route(kind, flow.service, flow.flow_hash, now_ms)
        return self.follow(route, caller_packet, now_ms)

    def carry_forwarded(
        self, message: ForwardedPacket, caller_packet: CallerPacket, now_ms: int
    ) -> list[Action]:
        """Routes a packet that another instance forwarded."""
        route = self._state.router.route_forwarded(message.header, now_ms)
        return self.follow(route, caller_packet, now_ms)

    def follow(self, route: RouteAction, caller_packet: CallerPacket, now_ms: int) -> list[Action]:
        """Does what the routing decided for a packet."""
        flow, packet = caller_packet.flow, caller_packet.packet
        match route:
            case RouteToUpstream(upstream):
                if isinstance(packet, Close):
                    self.flows.forget(flow.flow_hash)
                else:
                    self.flows.remember(msgspec.structs.replace(flow, upstream=upstream.name))
                return [SendToUpstream(upstream.endpoint, packet)]
            case ForwardToOwner(member, header):
                datagram = encode_packet(msgspec.structs.replace(packet, flow=0))
                caller = flow.caller
                message = ForwardedPacket(header, caller.host, caller.port, datagram)
                return [SendToPeer(member.instance, message, member.incarnation)]
            case BufferPacket():
                return self._wait(caller_packet)
            case ResetFlow(reason, upstream):
                self.flows.forget(flow.flow_hash)
                self._state.recorder.note_given_up(
                    flow, reason.value, upstream, self._state.configuration, now_ms
                )
                reset = Reset(reason=reason.value)
                return [SendToCaller(flow.service_address, flow.caller, reset)]
            case DropPacket(reason):
                self._state.drop(reason.value)
        return []

    def release(self, released: ReleasePackets, now_ms: int) -> list[Action]:
        """Does what the routing decided for the packets that wait for a flow."""
        waiting = self._waiting.pop((released.service, released.flow), [])
        self._waiting_count -= len(waiting)
        actions: list[Action] = []
        for caller_packet in waiting:
            actions += self.follow(released.action, caller_packet, now_ms)
        return actions

    def return_to_caller(self, sender: Endpoint, packet: Packet) -> list[Action]:
        """Hands a packet of an upstream to the caller of its flow."""
        upstream = self._state.find_upstream(sender)
        flow = self.flows.find(packet.flow)
        if upstream is None or flow is None or flow.service != upstream.service:
            self._state.drop("unknown-flow")
            return []
        return self.send_to_flow(flow, packet)

    def send_to_flow(self, flow: Flow, packet: Packet) -> list[Action]:
        """Sends a packet to the caller of a flow."""
        packet = msgspec.structs.replace(packet, flow=0)
        return [SendToCaller(flow.service_address, flow.caller, packet)]

    def _identify(
        self, service: str, address: Endpoint, caller: Endpoint, packet: Packet, now_ms: int
    ) -> CallerPacket:
        flow_hash = hash_flow(service, caller.host, caller.port)
        known = self.flows.find(flow_hash)
        upstream = known.upstream if known is not None else ""
        flow = Flow(flow_hash, service, address, caller, now_ms, upstream)
        if not isinstance(packet, Close):
            self.flows.remember(flow)
        return CallerPacket(flow, msgspec.structs.replace(packet, flow=flow_hash))

    def _wait(self, caller_packet: CallerPacket) -> list[Action]:
        if self._waiting_count >= _WAITING_MAX:
            self._state.drop("too-many-waiting")
            return []
        key = (caller_packet.flow.service, caller_packet.flow.flow_hash)
        self._waiting.setdefault(key, []).append(caller_packet)
        self._waiting_count += 1
        return []
