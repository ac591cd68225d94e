"""A load of callers that open flows, send data and requests, and check what comes back."""

import collections
import itertools
import random
from collections.abc import Callable

import anyio
import anyio.abc
import msgspec

from catkinspread.clock import Clock
from catkinspread.model import Endpoint
from catkinspread.wire import (
    Accepted,
    Answer,
    AnswerStatus,
    Close,
    Data,
    Open,
    Packet,
    PacketError,
    Request,
    Reset,
    decode_packet,
    encode_packet,
)

# Reason of a reset for flows whose data centre was taken out.
GIVEN_UP_REASON = "data-centre-out"
_RETRANSMIT_MS = 400
# A caller gives a flow up after 10 s without a reply; TCP would try for minutes.
_ATTEMPTS_MAX = 25
# A refusal as not run comes after the deadline and the largest clock difference.
_REFUSAL_WAIT_MS = 2_000


class CallerLoad(msgspec.Struct, frozen=True):
    """What callers of one service do.

    Attributes:
        service: Address of the service.
        name: Prefix of the caller ids.
        flows: Number of flows open at the same time.
        packets_per_flow: Data packets and requests of one flow.
        interval_ms: Time between packets of a flow.
        order_share: Share of packets that are non-idempotent requests.
        page_share: Share of packets that are idempotent requests.
        timeout_ms: Timeout of a request.
        seed: Seed of the choices.
    """

    service: Endpoint
    name: str
    flows: int
    packets_per_flow: int
    interval_ms: int
    order_share: float = 0.1
    page_share: float = 0.3
    timeout_ms: int = 4_000
    seed: int = 1


class CallerReport(msgspec.Struct):
    """What the callers saw.

    Attributes:
        opened: Flows that were accepted.
        refused: Flows that were not accepted.
        broken: Flows that were reset or stayed silent after being accepted.
        broken_reasons: Number of broken flows by the reason of their reset; "silent" for none.
        given_up: Flows that were reset because their data centre was taken out.
        answered: Requests answered with the whole body.
        wrong: Answers with a body that belongs to another request.
        orders: Non-idempotent requests, by (caller id, request id).
        not_run: Requests refused as not run, by (caller id, request id).
        ports: Source ports of the flows.
        unknown: Requests with unknown outcome.
        unknown_reasons: Number of requests with unknown outcome by the reason in the answer.
        refused_requests: Requests that were not answered with a body, by (caller id, request id).
        unanswered: Requests without any answer by their deadline and some time for a refusal.
        latencies_ms: Time to the answer of each answered request.
        longest_silence_ms: Longest time until a data packet was echoed.
    """

    opened: int = 0
    refused: int = 0
    broken: int = 0
    broken_reasons: collections.Counter[str] = msgspec.field(default_factory=collections.Counter)
    given_up: int = 0
    answered: int = 0
    wrong: int = 0
    orders: set[tuple[str, str]] = msgspec.field(default_factory=set)
    not_run: set[tuple[str, str]] = msgspec.field(default_factory=set)
    ports: list[int] = msgspec.field(default_factory=list)
    unknown: int = 0
    unknown_reasons: collections.Counter[str] = msgspec.field(default_factory=collections.Counter)
    refused_requests: list[tuple[str, str]] = msgspec.field(default_factory=list)
    unanswered: int = 0
    latencies_ms: list[int] = msgspec.field(default_factory=list)
    longest_silence_ms: int = 0


class _Flow:
    """One flow on its own socket."""

    __slots__ = (
        "_caller_id",
        "_clock",
        "_load",
        "_random",
        "_report",
        "_reset_reason",
        "_sequence",
        "_socket",
    )

    def __init__(
        self,
        load: CallerLoad,
        report: CallerReport,
        clock: Clock,
        index: int,
        socket: anyio.abc.ConnectedUDPSocket,
    ) -> None:
        self._load = load
        self._report = report
        self._clock = clock
        self._caller_id = f"{load.name}-{index}"
        self._random = random.Random(f"{load.seed}/{self._caller_id}")
        self._socket = socket
        self._sequence = itertools.count()
        self._reset_reason = ""

    async def run(self) -> None:
        if not await self._exchange(Open(), lambda packet: isinstance(packet, Accepted)):
            self._report.refused += 1
            return
        self._report.opened += 1
        for _ in range(self._load.packets_per_flow):
            await anyio.sleep(self._load.interval_ms / 1000)
            if not await self._send_one():
                if self._reset_reason == GIVEN_UP_REASON:
                    self._report.given_up += 1
                else:
                    self._report.broken += 1
                    self._report.broken_reasons[self._reset_reason or "silent"] += 1
                return
        await self._socket.send(encode_packet(Close()))

    async def _send_one(self) -> bool:
        number = next(self._sequence)
        choice = self._random.random()
        if choice < self._load.order_share:
            return await self._request(number, idempotent=False)
        if choice < self._load.order_share + self._load.page_share:
            return await self._request(number, idempotent=True)
        body = f"{self._caller_id}/{number}".encode()
        started_ms = self._clock.now_ms()
        is_echoed = await self._exchange(
            Data(body=body), lambda packet: isinstance(packet, Data) and packet.body == body
        )
        silence_ms = self._clock.now_ms() - started_ms
        self._report.longest_silence_ms = max(self._report.longest_silence_ms, silence_ms)
        return is_echoed

    async def _request(self, number: int, idempotent: bool) -> bool:
        body = f"{self._caller_id}/{number};".encode()
        request = Request(
            0,
            self._caller_id,
            str(number),
            self._clock.now_ms(),
            self._load.timeout_ms,
            idempotent,
            1 if idempotent else 0,
            body,
        )
        if not idempotent:
            self._report.orders.add((request.caller_id, request.request_id))
        parts: dict[int, Answer] = {}

        def accept(packet: Packet) -> bool:
            if not isinstance(packet, Answer) or packet.request_id != request.request_id:
                return False
            parts[packet.part] = packet
            return len(parts) == packet.part_count

        attempts = (self._load.timeout_ms + _REFUSAL_WAIT_MS) // _RETRANSMIT_MS
        if await self._exchange(request, accept, attempts):
            self._count_answer(request, parts)
            return True
        if not self._reset_reason:
            # The flow itself is checked by its next data packet.
            self._report.unanswered += 1
        return not self._reset_reason

    def _count_answer(self, request: Request, parts: dict[int, Answer]) -> None:
        answer = parts[0]
        if answer.status is not AnswerStatus.OK:
            self._report.refused_requests.append((request.caller_id, request.request_id))
        if answer.status is AnswerStatus.NOT_RUN:
            self._report.not_run.add((request.caller_id, request.request_id))
        elif answer.status is not AnswerStatus.OK:
            self._report.unknown += 1
            self._report.unknown_reasons[answer.reason] += 1
        elif not answer.body.startswith(request.body):
            self._report.wrong += 1
        else:
            self._report.answered += 1
            self._report.latencies_ms.append(self._clock.now_ms() - request.issued_at_ms)

    async def _exchange(
        self, packet: Packet, accept: Callable[[Packet], bool], attempts: int = _ATTEMPTS_MAX
    ) -> bool:
        """Sends a packet until a reply is accepted; False on a reset or no reply at all."""
        for _ in range(attempts):
            await self._socket.send(encode_packet(packet))
            with anyio.move_on_after(_RETRANSMIT_MS / 1000):
                while True:
                    try:
                        reply = decode_packet(await self._socket.receive())
                    except PacketError:
                        continue
                    if isinstance(reply, Reset):
                        self._reset_reason = reply.reason or "unknown"
                        return False
                    if accept(reply):
                        return True
        return False


async def run_callers(load: CallerLoad, clock: Clock, report: CallerReport) -> None:
    """Runs the load once and fills in the report."""

    async def run_flow(index: int) -> None:
        async with await anyio.create_connected_udp_socket(
            load.service.host, load.service.port
        ) as socket:
            report.ports.append(socket.extra(anyio.abc.SocketAttribute.local_port))
            await _Flow(load, report, clock, index, socket).run()

    async with anyio.create_task_group() as group:
        for index in range(load.flows):
            group.start_soon(run_flow, index)
            await anyio.sleep(0.002)
