"""Callers that open flows, send requests and retry as the platform's clients do."""

import enum
import itertools
import random

import anyio
import anyio.abc
import msgspec

from catkinspread.clock import Clock
from catkinspread.deployment import RequestKind, Route
from catkinspread.model import Endpoint
from catkinspread.platform.stand_ins import (
    FlowPacket,
    PacketDamaged,
    decode_flow_packet,
    encode_flow_packet,
    encode_request,
)
from catkinspread.soak.guarantees import GuaranteeChecker
from catkinspread.soak.layout import PACKET_PORT, to_number
from catkinspread.soak.router import Router
from catkinspread.soak.upstreams import FlowRegister
from catkinspread.transport.udp import UdpTransport

OPEN_COPIES_MS = (0, 200, 600)
OPEN_TIMEOUT_MS = 1_400
RETRANSMIT_FIRST_MS = 200
RETRANSMIT_MAX_MS = 1_600
TRIES = 3
# Pause between the requests of a flow that stays open.
PAUSE_MS = 700
_PORT_FIRST = 1_024
_PORT_LAST = 65_535
_MS_PER_S = 1_000
_SEQUENCE_MODULUS = 1 << 32


class Outcome(enum.Enum):
    """How an attempt ended."""

    SERVED = "served"
    REFUSED = "refused"
    NOT_OPENED = "not_opened"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"


class RequestResult(msgspec.Struct, frozen=True):
    """How a request ended for its caller.

    Attributes:
        request_id: Identifier of the last attempt.
        sent_at_ms: When the first attempt began.
        outcome: How the last attempt ended.
        attempts: Number of attempts.
    """

    request_id: str
    sent_at_ms: int
    outcome: Outcome
    attempts: int


class _CallerFlow:
    """One flow at its caller."""

    __slots__ = (
        "answer",
        "changed",
        "ends",
        "expected",
        "is_open",
        "keeps_token",
        "port",
        "reset_by",
        "route",
        "sequence",
        "token",
    )

    def __init__(self, route: Route, ends: tuple[int, int, int, int], sequence: int) -> None:
        self.route = route
        self.ends = ends
        self.port = ends[1]
        self.sequence = sequence
        self.expected = 0
        self.token = 0
        self.is_open = False
        # The protocol does not say whether the answer of another upstream to the opening packet
        # counts as received on an open flow. Callers of both kinds are played.
        self.keeps_token = self.port % 2 == 0
        self.reset_by: str = ""
        self.answer = b""
        self.changed = anyio.Event()

    def notify(self) -> None:
        """Wakes whoever waits for a packet."""
        self.changed.set()
        self.changed = anyio.Event()


class CallerHost:
    """The callers of one data centre.

    Args:
        data_centre: Where they are.
        host: Their address.
        router: Takes their packets.
        register: Knows where flows are open.
        guarantees: Checks what arrives.
        clock: Source of the time.
        rng: Source of random choices.

    Attributes:
        results: How the requests ended, in the order of their ends.
    """

    __slots__ = (
        "_clock",
        "_data_centre",
        "_flows",
        "_host",
        "_ids",
        "_ports",
        "_guarantees",
        "_register",
        "_rng",
        "_router",
        "_udp",
        "results",
    )

    def __init__(
        self,
        data_centre: str,
        host: str,
        router: Router,
        register: FlowRegister,
        guarantees: GuaranteeChecker,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._data_centre = data_centre
        self._host = host
        self._router = router
        self._register = register
        self._guarantees = guarantees
        self._clock = clock
        self._rng = rng
        self._flows: dict[int, _CallerFlow] = {}
        self._ids = itertools.count(1)
        self._ports = itertools.cycle(range(_PORT_FIRST, _PORT_LAST))
        self._udp = UdpTransport(Endpoint(host, PACKET_PORT), self._receive, clock)
        self.results: list[RequestResult] = []

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves the socket until cancelled."""
        await self._udp.run(task_status=task_status)

    async def send_request(self, route: Route) -> None:
        """Sends one request, with retries on new flows."""
        sent_at_ms = self._clock.now_ms()
        deadline_ms = sent_at_ms + route.timeout_ms
        attempts = 0
        while True:
            attempts += 1
            request_id = f"{self._data_centre}-{next(self._ids)}"
            flow = self._add_flow(route)
            outcome = await self._open(flow, deadline_ms)
            if outcome is Outcome.SERVED:
                outcome = await self._exchange(flow, request_id, deadline_ms)
            self._end(flow)
            if outcome in (Outcome.REFUSED, Outcome.NOT_OPENED):
                self._guarantees.check_refusal(request_id, self._clock.now_ms())
            is_over = attempts >= TRIES or self._clock.now_ms() >= deadline_ms
            if is_over or not self._may_retry(route, outcome):
                break
        self.results.append(RequestResult(request_id, sent_at_ms, outcome, attempts))

    async def keep_flow(self, route: Route, requests: int) -> None:
        """Sends several requests with pauses on one flow."""
        flow = self._add_flow(route)
        outcome = await self._open(flow, self._clock.now_ms() + route.timeout_ms)
        for _ in range(requests):
            if outcome is not Outcome.SERVED:
                break
            sent_at_ms = self._clock.now_ms()
            request_id = f"{self._data_centre}-{next(self._ids)}"
            outcome = await self._exchange(flow, request_id, sent_at_ms + route.timeout_ms)
            self.results.append(RequestResult(request_id, sent_at_ms, outcome, 1))
            await anyio.sleep(PAUSE_MS / _MS_PER_S)
        self._end(flow)

    def _may_retry(self, route: Route, outcome: Outcome) -> bool:
        if outcome is Outcome.SERVED:
            return False
        return route.kind is not RequestKind.NON_IDEMPOTENT or outcome in (
            Outcome.REFUSED,
            Outcome.NOT_OPENED,
        )

    def _add_flow(self, route: Route) -> _CallerFlow:
        port = next(port for port in self._ports if port not in self._flows)
        ends = (to_number(self._host), port, route.address.ip, route.address.port)
        flow = _CallerFlow(route, ends, self._rng.randrange(_SEQUENCE_MODULUS))
        self._flows[port] = flow
        return flow

    async def _open(self, flow: _CallerFlow, deadline_ms: int) -> Outcome:
        started_ms = self._clock.now_ms()
        waits_ms = [*OPEN_COPIES_MS[1:], OPEN_TIMEOUT_MS]
        for copy, until_ms in enumerate(waits_ms):
            self._register.sent_at_ms[flow.ends] = self._clock.now_ms()
            self._send(flow, flow.sequence, acknowledged=copy, is_open=True)
            await self._wait(flow, min(deadline_ms, started_ms + until_ms), b"")
            if flow.is_open or flow.reset_by:
                break
        if flow.is_open:
            return Outcome.SERVED
        return Outcome.REFUSED if flow.reset_by else Outcome.NOT_OPENED

    async def _exchange(self, flow: _CallerFlow, request_id: str, deadline_ms: int) -> Outcome:
        is_idempotent = flow.route.kind is not RequestKind.NON_IDEMPOTENT
        data = encode_request(request_id, is_idempotent)
        flow.answer = b""
        start = flow.sequence
        flow.sequence = (start + len(data)) % _SEQUENCE_MODULUS
        wait_ms = RETRANSMIT_FIRST_MS
        while not flow.answer and not flow.reset_by:
            now_ms = self._clock.now_ms()
            if now_ms >= deadline_ms:
                return Outcome.TIMED_OUT
            self._send(flow, start, data=data)
            await self._wait(flow, min(deadline_ms, now_ms + wait_ms), request_id.encode())
            wait_ms = min(RETRANSMIT_MAX_MS, 2 * wait_ms)
        if not flow.answer:
            return Outcome.BROKEN
        if not flow.answer.endswith(b"\n" + request_id.encode()):
            detail = f"{request_id} got {flow.answer!r}"
            self._guarantees.report_violation("answer", self._clock.now_ms(), detail)
        return Outcome.SERVED

    async def _wait(self, flow: _CallerFlow, until_ms: int, request_id: bytes) -> None:
        with anyio.move_on_after((until_ms - self._clock.now_ms()) / _MS_PER_S):
            while not flow.reset_by and (not flow.answer if request_id else not flow.is_open):
                await flow.changed.wait()

    def _end(self, flow: _CallerFlow) -> None:
        if flow.is_open and not flow.reset_by:
            self._send(flow, flow.sequence, is_close=True)
        del self._flows[flow.port]
        self._register.sent_at_ms.pop(flow.ends, None)

    def _send(
        self,
        flow: _CallerFlow,
        sequence: int,
        acknowledged: int | None = None,
        data: bytes = b"",
        is_open: bool = False,
        is_close: bool = False,
    ) -> None:
        packet = FlowPacket(
            source_ip=flow.ends[0],
            source_port=flow.ends[1],
            target_ip=flow.ends[2],
            target_port=flow.ends[3],
            sequence=sequence,
            acknowledged=flow.expected if acknowledged is None else acknowledged,
            token=flow.token,
            is_open=is_open,
            has_acknowledgement=not is_open,
            is_close=is_close,
            data=data,
        )
        host = self._router.choose_host(self._data_centre, repr(flow.ends))
        self._udp.send(encode_flow_packet(packet), Endpoint(host, PACKET_PORT))

    def _receive(self, datagram: bytes, sender: Endpoint) -> None:
        try:
            packet = decode_flow_packet(datagram)
        except PacketDamaged as error:
            self._guarantees.report_violation(
                "unchanged", self._clock.now_ms(), f"caller got: {error}"
            )
            return
        flow = self._flows.get(packet.target_port)
        if flow is None or (packet.source_ip, packet.source_port) != flow.ends[2:]:
            return  # A late packet of a flow that the caller has ended.
        self._handle(flow, packet, sender)
        flow.notify()

    def _handle(self, flow: _CallerFlow, packet: FlowPacket, sender: Endpoint) -> None:
        if packet.is_reset:
            self._handle_reset(flow, packet, sender)
            return
        if not (packet.is_open and flow.is_open and flow.keeps_token):
            flow.token = packet.token
        if packet.is_open:
            if not flow.is_open:
                flow.is_open = True
                flow.sequence = (flow.sequence + 1) % _SEQUENCE_MODULUS
                flow.expected = (packet.sequence + 1) % _SEQUENCE_MODULUS
                # Sent before another upstream's answer can change the token.
                self._send(flow, flow.sequence)
        elif packet.data and packet.sequence == flow.expected:
            flow.expected = (flow.expected + len(packet.data)) % _SEQUENCE_MODULUS
            flow.answer = packet.data
            self._send(flow, flow.sequence)
        elif packet.data:
            self._send(flow, flow.sequence)

    def _handle_reset(self, flow: _CallerFlow, packet: FlowPacket, sender: Endpoint) -> None:
        owner = self._register.owners.get(flow.ends)
        if packet.is_from_instance and owner is not None:
            detail = (
                f"{flow.ends} of {owner.record.name} was reset by {sender.host} with sequence"
                f" {packet.sequence}, expected {flow.expected}, token {flow.token}"
            )
            self._guarantees.check_reset(owner.record.name, detail, self._clock.now_ms())
        flow.reset_by = sender.host
