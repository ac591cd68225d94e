"""The decision logic of an instance: packets and times in, typed actions out."""

import collections

import msgspec

from catkinspread.hashing import hash_flow
from catkinspread.instance.actions import Action, SendToCaller, SendToUpstream
from catkinspread.instance.flows import Flow, FlowTable
from catkinspread.model import SLOT_COUNT, Configuration, Endpoint
from catkinspread.wire import (
    Accepted,
    Answer,
    Close,
    Data,
    FabricPacket,
    Packet,
    PacketError,
    Reset,
    decode_packet,
)


class InstanceCore:
    """Relays packets between callers and upstreams by the applied configuration.

    Attributes:
        configuration: The configuration in force at this instance.
        flows: Where callers are reached.
        drops: Number of dropped packets by reason.
    """

    __slots__ = ("_services", "_upstreams", "configuration", "drops", "flows")

    def __init__(self, flows_max: int) -> None:
        self.flows = FlowTable(flows_max)
        self.drops: collections.Counter[str] = collections.Counter()
        self.apply(Configuration())

    def apply(self, configuration: Configuration) -> None:
        """Puts a configuration in force."""
        self.configuration = configuration
        self._services = {
            service.address: service.name for service in configuration.services.values()
        }
        self._upstreams = {
            upstream.endpoint: upstream for upstream in configuration.upstreams.values()
        }

    def handle_caller(self, fabric_packet: FabricPacket, now_ms: int) -> list[Action]:
        """Handles a packet that the fabric handed to this instance."""
        service = self._services.get(fabric_packet.service)
        if service is None:
            return self._drop("unknown-service")
        try:
            packet = decode_packet(fabric_packet.datagram)
        except PacketError:
            return self._drop("malformed-caller-packet")
        if isinstance(packet, Accepted | Answer | Reset):
            return self._drop("unexpected-caller-packet")
        caller = fabric_packet.caller
        flow_hash = hash_flow(service, caller.host, caller.port)
        packet = msgspec.structs.replace(packet, flow=flow_hash)
        flow = Flow(flow_hash, service, fabric_packet.service, caller, now_ms)
        return self._route(flow, packet)

    def handle_upstream(self, sender: Endpoint, datagram: bytes, now_ms: int) -> list[Action]:
        """Handles a packet from an upstream."""
        upstream = self._upstreams.get(sender)
        if upstream is None:
            return self._drop("unknown-upstream")
        try:
            packet = decode_packet(datagram)
        except PacketError:
            return self._drop("malformed-upstream-packet")
        if not isinstance(packet, Accepted | Answer | Data | Reset):
            return self._drop("unexpected-upstream-packet")
        flow = self.flows.find(packet.flow)
        if flow is None or flow.service != upstream.service:
            return self._drop("unknown-flow")
        answer = msgspec.structs.replace(packet, flow=0)
        return [SendToCaller(flow.service_address, flow.caller, answer)]

    def _route(self, flow: Flow, packet: Packet) -> list[Action]:
        table = self.configuration.slot_tables[flow.service]
        name = table.bases[flow.flow_hash % SLOT_COUNT].find_upstream(flow.flow_hash)
        upstream = self.configuration.upstreams.get(name)
        if upstream is None:
            return self._drop("no-upstream")
        if isinstance(packet, Close):
            self.flows.forget(flow.flow_hash)
        else:
            self.flows.remember(msgspec.structs.replace(flow, upstream=name))
        return [SendToUpstream(upstream.endpoint, packet)]

    def _drop(self, reason: str) -> list[Action]:
        self.drops[reason] += 1
        return []
