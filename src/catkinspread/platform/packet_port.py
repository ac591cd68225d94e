"""Sends and receives packets in the format of the prepared machines."""

import socket
from collections.abc import Callable

from catkinspread.clock import Clock
from catkinspread.deployment import KnownUpstream
from catkinspread.forwarding import CallerPacket, FlowKey, format_ip
from catkinspread.model import Endpoint
from catkinspread.platform.packets import (
    MalformedPacket,
    decode_packet,
    encode_for_upstream,
    encode_reset,
)
from catkinspread.transport.udp import UdpTransport


class PacketPort:
    """The UDP socket that routers and upstreams know.

    Args:
        endpoint: Where packets of callers arrive; callers are reached at the same port.
        handle: Called with each packet and the time.
        clock: Source of the time.
        opened: A socket that is bound to the endpoint already; None to open one.

    Attributes:
        malformed_count: Datagrams that were not packets.
        last_packet_at_ms: When the last packet arrived.
    """

    __slots__ = ("_clock", "_handle", "_udp", "last_packet_at_ms", "malformed_count")

    def __init__(
        self,
        endpoint: Endpoint,
        handle: Callable[[CallerPacket, int], None],
        clock: Clock,
        opened: socket.socket | None = None,
    ) -> None:
        self._udp = UdpTransport(endpoint, self._receive, clock, opened)
        self._handle = handle
        self._clock = clock
        self.malformed_count = 0
        self.last_packet_at_ms = 0

    async def run(self) -> None:
        """Serves the socket until cancelled."""
        await self._udp.run()

    def forward(self, packet: CallerPacket, upstream: KnownUpstream) -> None:
        """Sends a packet to an upstream."""
        target = Endpoint(upstream.record.host, upstream.record.port)
        self._udp.send(encode_for_upstream(packet, upstream), target)

    def reset(self, key: FlowKey, sequence: int) -> None:
        """Tells the caller that the flow ends; see `PacketOutput`."""
        caller = Endpoint(format_ip(key.caller_ip), self._udp.endpoint.port)
        self._udp.send(encode_reset(key, sequence), caller)

    def _receive(self, datagram: bytes, _: Endpoint) -> None:
        now_ms = self._clock.now_ms()
        try:
            packet = decode_packet(datagram)
        except MalformedPacket:
            self.malformed_count += 1
            return
        self.last_packet_at_ms = now_ms
        self._handle(packet, now_ms)
