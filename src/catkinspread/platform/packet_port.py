"""Sends and receives packets in the format of the prepared machines."""

import socket
from collections.abc import Callable

import anyio
import anyio.abc

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
from catkinspread.transport.traffic import TrafficKind, TrafficMeter
from catkinspread.transport.udp import UdpTransport


class PacketPort:
    """The UDP socket that routers and upstreams know.

    Args:
        endpoint: Where packets of callers arrive; callers are reached at the same port.
        handle: Called with each packet and the time.
        clock: Source of the time.
        opened: A socket that is bound to the endpoint already; None to open one.
        data_centre: Data centre of this instance.
        traffic: Counts the bytes sent to upstreams.

    Attributes:
        malformed_count: Datagrams that were not packets.
        last_packet_at_ms: When the last packet arrived.
    """

    __slots__ = (
        "_clock",
        "_data_centre",
        "_handle",
        "_traffic",
        "_udp",
        "last_packet_at_ms",
        "malformed_count",
    )

    def __init__(
        self,
        endpoint: Endpoint,
        handle: Callable[[CallerPacket, int], None],
        clock: Clock,
        opened: socket.socket | None,
        data_centre: str,
        traffic: TrafficMeter,
    ) -> None:
        self._udp = UdpTransport(endpoint, self._receive, clock, opened)
        self._data_centre = data_centre
        self._traffic = traffic
        self._handle = handle
        self._clock = clock
        self.malformed_count = 0
        self.last_packet_at_ms = 0

    @property
    def handler_error_count(self) -> int:
        """Packets whose handling raised an exception."""
        return self._udp.handler_error_count

    async def run(self, *, task_status: anyio.abc.TaskStatus = anyio.TASK_STATUS_IGNORED) -> None:
        """Serves the socket until cancelled.

        Args:
            task_status: Notified once the socket is open.
        """
        await self._udp.run(task_status=task_status)

    def forward(self, packet: CallerPacket, upstream: KnownUpstream, token: int) -> None:
        """Sends a packet to an upstream; see `PacketOutput`."""
        record = upstream.record
        datagram = encode_for_upstream(packet, upstream, token)
        is_remote = record.data_centre != self._data_centre
        self._traffic.record(TrafficKind.PACKETS, is_remote, len(datagram))
        self._udp.send(datagram, Endpoint(record.host, record.port))

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
