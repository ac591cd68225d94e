"""Upstreams that answer callers directly and check what reaches them."""

import random
from collections.abc import Callable

import anyio
import anyio.abc
import msgspec

from catkinspread.clock import Clock
from catkinspread.deployment import ServiceAddress, UpstreamRecord
from catkinspread.model import Endpoint
from catkinspread.platform.stand_ins import (
    FlowPacket,
    PacketDamaged,
    decode_flow_packet,
    decode_request,
    encode_flow_packet,
    split_upstream_datagram,
)
from catkinspread.soak.guarantees import DRAIN_MS, EVACUATE_MS, GuaranteeChecker, Opening
from catkinspread.soak.layout import PACKET_PORT
from catkinspread.transport.udp import UdpTransport

FlowEnds = tuple[int, int, int, int]
WORK_MIN_MS = 5
WORK_MAX_MS = 40
_RETRANSMIT_FIRST_MS = 200
_RETRANSMIT_MAX_MS = 1_600
_RETRANSMISSIONS = 8
_MS_PER_S = 1_000
_SEQUENCE_MODULUS = 1 << 32
_LISTEN_CHECK_MS = 10


class FlowRegister:
    """Which upstream holds each open flow.

    Attributes:
        owners: Upstream by both ends of the flow.
        sent_at_ms: When the caller sent the latest packet that opens the flow.
    """

    __slots__ = ("owners", "sent_at_ms")

    def __init__(self) -> None:
        self.owners: dict[FlowEnds, SoakUpstream] = {}
        self.sent_at_ms: dict[FlowEnds, int] = {}


class _UpstreamFlow:
    """One flow at an upstream."""

    __slots__ = ("acknowledged", "answers", "expected", "is_open", "packet", "sequence", "token")

    def __init__(self, packet: FlowPacket, sequence: int) -> None:
        self.packet = packet
        self.sequence = sequence
        self.expected = (packet.sequence + 1) % _SEQUENCE_MODULUS
        self.token = packet.token
        self.is_open = False
        self.acknowledged = sequence
        self.answers: dict[int, tuple[int, bytes]] = {}


class SoakUpstream:
    """One upstream process.

    Args:
        record: What it reports of itself.
        cold_rate_per_s: Flows that it bears while it is cold.
        host: The host that it runs on.

    Attributes:
        draining_since_ms: When its drain was acknowledged; None while it takes flows.
        evacuated_since_ms: When the evacuation of its data centre was acknowledged.
        cold_until_ms: End of its cold time.
    """

    __slots__ = (
        "_flows",
        "_host",
        "_rng",
        "cold_rate_per_s",
        "cold_until_ms",
        "draining_since_ms",
        "evacuated_since_ms",
        "record",
    )

    def __init__(
        self, record: UpstreamRecord, cold_rate_per_s: float, host: "UpstreamHost"
    ) -> None:
        self.record = record
        self.cold_rate_per_s = cold_rate_per_s
        self.cold_until_ms = 0
        self.draining_since_ms: int | None = None
        self.evacuated_since_ms: int | None = None
        self._host = host
        self._rng = random.Random(record.name)
        self._flows: dict[FlowEnds, _UpstreamFlow] = {}

    @property
    def open_flow_count(self) -> int:
        """Number of flows that it holds."""
        return sum(1 for flow in self._flows.values() if flow.is_open)

    def update(self, **changes: object) -> None:
        """Changes fields of what it reports."""
        self.record = msgspec.structs.replace(self.record, **changes)

    def handle(self, packet: FlowPacket, instance: str, now_ms: int) -> None:
        """Takes a packet that an instance forwarded."""
        ends = (packet.source_ip, packet.source_port, packet.target_ip, packet.target_port)
        flow = self._flows.get(ends)
        if packet.is_open:
            self._handle_open(ends, flow, packet, instance, now_ms)
            return
        if packet.is_reset:
            self.forget(ends)
            return
        if flow is not None and not flow.is_open:
            if packet.acknowledged == (flow.sequence + 1) % _SEQUENCE_MODULUS:
                self._settle(ends, flow)
            else:
                flow = None  # The caller chose the answer of another upstream.
        if flow is None:
            self._answer_misrouted(ends, packet, instance, now_ms)
            return
        flow.token = packet.token
        self._host.guarantees.record_delivery(ends)
        self._handle_open_flow(ends, flow, packet, now_ms)

    def forget(self, ends: FlowEnds) -> None:
        """Ends a flow."""
        self._flows.pop(ends, None)
        if self._host.register.owners.get(ends) is self:
            del self._host.register.owners[ends]

    def forget_all(self) -> None:
        """Ends all flows, as a crash does."""
        for ends in list(self._flows):
            self.forget(ends)

    def _handle_open(
        self,
        ends: FlowEnds,
        flow: _UpstreamFlow | None,
        packet: FlowPacket,
        instance: str,
        now_ms: int,
    ) -> None:
        if flow is not None and flow.is_open:
            return
        if flow is None or flow.packet.sequence != packet.sequence:
            self._check_opening(ends, instance, now_ms)
            flow = _UpstreamFlow(packet, self._rng.randrange(1, _SEQUENCE_MODULUS))
            self._flows[ends] = flow
        flow.token = packet.token
        self._reply(flow, flow.sequence, is_open=True)

    def _check_opening(self, ends: FlowEnds, instance: str, now_ms: int) -> None:
        guarantees = self._host.guarantees
        opening = Opening(
            address=ServiceAddress(ends[2], ends[3]),
            sent_at_ms=self._host.register.sent_at_ms.get(ends, now_ms),
            arrived_at_ms=now_ms,
            instance=instance,
            incarnation=self._host.find_incarnation(instance),
        )
        guarantees.check_service(opening, self.record.service)
        if self.draining_since_ms is not None:
            guarantees.check_bound("drain", self.draining_since_ms, DRAIN_MS, opening)
        if self.evacuated_since_ms is not None:
            guarantees.check_bound("evacuation", self.evacuated_since_ms, EVACUATE_MS, opening)
        if now_ms < self.cold_until_ms:
            guarantees.check_cold(self.record.name, self.cold_rate_per_s, opening)

    def _settle(self, ends: FlowEnds, flow: _UpstreamFlow) -> None:
        flow.is_open = True
        flow.sequence = (flow.sequence + 1) % _SEQUENCE_MODULUS
        flow.acknowledged = flow.sequence
        self._host.register.owners[ends] = self

    def _answer_misrouted(
        self, ends: FlowEnds, packet: FlowPacket, instance: str, now_ms: int
    ) -> None:
        owner = self._host.register.owners.get(ends)
        if owner is not None and owner is not self:
            self._host.guarantees.check_misrouted(ends, owner.record.name, instance, now_ms)
        if not packet.is_close:
            flow = _UpstreamFlow(packet, packet.acknowledged)
            self._reply(flow, packet.acknowledged, is_reset=True)

    def _handle_open_flow(
        self, ends: FlowEnds, flow: _UpstreamFlow, packet: FlowPacket, now_ms: int
    ) -> None:
        flow.acknowledged = packet.acknowledged
        if packet.data and packet.sequence == flow.expected:
            flow.expected = (flow.expected + len(packet.data)) % _SEQUENCE_MODULUS
            self._host.start_task(self._work, ends, flow, packet, now_ms)
        elif packet.data and packet.sequence in flow.answers:
            start, answer = flow.answers[packet.sequence]
            self._reply(flow, start, data=answer)
        if packet.is_close:
            flow.expected = (flow.expected + 1) % _SEQUENCE_MODULUS
            self._reply(flow, flow.sequence, is_close=True)
            self.forget(ends)

    async def _work(
        self, ends: FlowEnds, flow: _UpstreamFlow, packet: FlowPacket, now_ms: int
    ) -> None:
        """Runs a request and repeats the answer until the caller has it."""
        request_id, may_repeat = decode_request(packet.data)
        self._host.guarantees.record_run(request_id, may_repeat, now_ms)
        await anyio.sleep(self._rng.randint(WORK_MIN_MS, WORK_MAX_MS) / _MS_PER_S)
        answer = b"HTTP/1.1 200 OK\r\n\r\n" + request_id.encode()
        start = flow.sequence
        flow.answers[packet.sequence] = (start, answer)
        flow.sequence = (start + len(answer)) % _SEQUENCE_MODULUS
        wait_ms = _RETRANSMIT_FIRST_MS
        for _ in range(_RETRANSMISSIONS):
            if self._flows.get(ends) is not flow or flow.acknowledged == flow.sequence:
                return
            self._reply(flow, start, data=answer)
            await anyio.sleep(wait_ms / _MS_PER_S)
            wait_ms = min(_RETRANSMIT_MAX_MS, 2 * wait_ms)
        self.forget(ends)

    def _reply(
        self,
        flow: _UpstreamFlow,
        sequence: int,
        data: bytes = b"",
        is_open: bool = False,
        is_close: bool = False,
        is_reset: bool = False,
    ) -> None:
        packet = flow.packet
        answer = FlowPacket(
            source_ip=packet.target_ip,
            source_port=packet.target_port,
            target_ip=packet.source_ip,
            target_port=packet.source_port,
            sequence=sequence,
            acknowledged=flow.expected,
            token=flow.token,
            is_open=is_open,
            has_acknowledgement=True,
            is_close=is_close,
            is_reset=is_reset,
            data=data,
        )
        self._host.send(answer)


async def _close_connection(stream: anyio.abc.SocketStream) -> None:
    await stream.aclose()


class UpstreamHost:
    """A host that runs one upstream at a time.

    Args:
        host: Its address.
        guarantees: Checks what arrives.
        register: Knows where flows are open.
        find_sender: Returns the name of the instance with an address.
        find_incarnation: Returns which process of an instance runs.
        clock: Source of the time.

    Attributes:
        upstream: The upstream that runs; None while the host is dark.
        is_claimed: Whether a fault changes what runs here.
        is_silent: Whether nothing that arrives is taken.
    """

    __slots__ = (
        "_clock",
        "_find_sender",
        "_group",
        "_udp",
        "find_incarnation",
        "is_claimed",
        "is_silent",
        "guarantees",
        "register",
        "upstream",
    )

    def __init__(
        self,
        host: str,
        guarantees: GuaranteeChecker,
        register: FlowRegister,
        find_sender: Callable[[str], str],
        find_incarnation: Callable[[str], int],
        clock: Clock,
    ) -> None:
        self.guarantees = guarantees
        self.register = register
        self.find_incarnation = find_incarnation
        self.upstream: SoakUpstream | None = None
        self.is_claimed = False
        self.is_silent = False
        self._find_sender = find_sender
        self._clock = clock
        self._group: anyio.abc.TaskGroup | None = None
        self._udp = UdpTransport(Endpoint(host, PACKET_PORT), self._receive, clock)

    @property
    def endpoint(self) -> Endpoint:
        """Where packets arrive."""
        return self._udp.endpoint

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._accept_connections)
            await self._udp.run(task_status=task_status)

    async def _accept_connections(self) -> None:
        """Accepts connections while an upstream runs here and the host is not silent.

        Otherwise connections are refused; a dark host would leave them unanswered.
        """
        while True:
            await self._wait_until_listening(True)
            async with (
                await anyio.create_tcp_listener(
                    local_host=self.endpoint.host, local_port=PACKET_PORT
                ) as listener,
                anyio.create_task_group() as group,
            ):
                group.start_soon(listener.serve, _close_connection)
                await self._wait_until_listening(False)
                group.cancel_scope.cancel()

    async def _wait_until_listening(self, is_listening: bool) -> None:
        while (self.upstream is not None and not self.is_silent) != is_listening:
            await anyio.sleep(_LISTEN_CHECK_MS / _MS_PER_S)

    def start_task(self, work: Callable[..., object], *arguments: object) -> None:
        """Runs a coroutine of the upstream in the background."""
        if self._group is not None:
            self._group.start_soon(work, *arguments)

    def send(self, packet: FlowPacket) -> None:
        """Sends a packet to its caller."""
        if not self.is_silent:
            host = ".".join(str(byte) for byte in packet.target_ip.to_bytes(4, "big"))
            self._udp.send(encode_flow_packet(packet), Endpoint(host, PACKET_PORT))

    def _receive(self, datagram: bytes, sender: Endpoint) -> None:
        if self.upstream is None or self.is_silent:
            return
        now_ms = self._clock.now_ms()
        try:
            key, content = split_upstream_datagram(datagram)
            packet = decode_flow_packet(content)
        except (PacketDamaged, ValueError) as error:
            self.guarantees.report_violation("unchanged", now_ms, f"upstream got: {error}")
            return
        if key in (0, self.upstream.record.key):
            self.upstream.handle(packet, self._find_sender(sender.host), now_ms)
