"""A stand-in of an upstream that holds flows and executes requests.

It drains, starts cold, sheds load when it is overloaded, keeps deadlines and cancellation, and
counts what a real one would suffer from: packets of flows that it does not hold and requests
that it executed more than once.
"""

import collections
from collections.abc import Callable

import anyio
import anyio.abc
import msgspec

from catkinspread.clock import Clock
from catkinspread.model import Endpoint
from catkinspread.transport import UdpTransport
from catkinspread.wire import (
    Accepted,
    Answer,
    AnswerStatus,
    Cancel,
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

_QUEUE_LIMIT = 64
# Leaves room for the fields of an answer in a datagram of 1,400 bytes.
_PART_BODY_BYTES = 1_000


class UpstreamOptions(msgspec.Struct):
    """How an upstream behaves; tests change the fields while it runs.

    Attributes:
        work_slots: Requests executed at once.
        service_ms: Time to execute a request when warm.
        cold_factor: Multiple of `service_ms` while it is cold.
        warmup_ms: Time from a cold start until it is warm.
        answer_bytes: Size of the body of an answer.
    """

    work_slots: int = 2
    service_ms: int = 5
    cold_factor: float = 4.0
    warmup_ms: int = 5_000
    answer_bytes: int = 200


class UnknownFlowPacket(msgspec.Struct, frozen=True):
    """A packet of a flow that the upstream has never held.

    Attributes:
        kind: Name of its type.
        flow: Hash of the flow.
        sender: Instance that sent it.
        at_ms: When it arrived.
    """

    kind: str
    flow: int
    sender: Endpoint
    at_ms: int


def _ignore(packet: UnknownFlowPacket) -> None:
    """Does nothing."""


class UpstreamModel:
    """State and decisions of the stand-in, without sockets.

    Attributes:
        flows: Hashes of the flows it holds.
        runs: Number of executions of non-idempotent requests by (caller id, request id).
        starts_ms: When executions started, in order.
        last_packet_ms: When the latest packet arrived; 0 if none has.
        closed: Hashes of flows that were closed; delayed duplicates of their packets are normal.
        unknown_flow_packets: Packets of flows that it has never held.
        opened_at_ms: When each flow was opened last.
        on_unknown_flow: Called with each packet of a flow that it has never held.
    """

    __slots__ = (
        "closed",
        "flows",
        "last_packet_ms",
        "on_unknown_flow",
        "opened_at_ms",
        "options",
        "queue",
        "runs",
        "started_ms",
        "starts_ms",
        "unknown_flow_packets",
    )

    def __init__(self, options: UpstreamOptions, now_ms: int) -> None:
        self.options = options
        self.started_ms = now_ms
        self.flows: set[int] = set()
        self.closed: set[int] = set()
        self.opened_at_ms: dict[int, int] = {}
        self.runs: collections.Counter[tuple[str, str]] = collections.Counter()
        self.starts_ms: list[int] = []
        self.last_packet_ms = 0
        self.unknown_flow_packets = 0
        self.on_unknown_flow: Callable[[UnknownFlowPacket], None] = _ignore
        self.queue: collections.deque[tuple[Request, Endpoint]] = collections.deque()

    def turn_cold(self, now_ms: int) -> None:
        """Makes it slow again, as after a restart that kept its flows."""
        self.started_ms = now_ms

    def handle(self, packet: Packet, sender: Endpoint, now_ms: int) -> list[Packet]:
        """Handles a packet and returns the immediate replies to its sender."""
        self.last_packet_ms = now_ms
        match packet:
            case Open(flow):
                if flow not in self.flows:
                    self.closed.discard(flow)
                    self.flows.add(flow)
                    self.opened_at_ms[flow] = now_ms
                return [Accepted(flow)]
            case Close(flow):
                self.flows.discard(flow)
                self.closed.add(flow)
                return []
            case Data(flow) | Request(flow) if flow in self.closed:
                return [Reset(flow, "flow is closed")]
            case Data(flow) | Request(flow) if flow not in self.flows:
                self.unknown_flow_packets += 1
                kind = type(packet).__name__
                self.on_unknown_flow(UnknownFlowPacket(kind, flow, sender, now_ms))
                return [Reset(flow, "flow is unknown")]
            case Data(flow, body):
                return [Data(flow, body)]
            case Request():
                return self._enqueue(packet, sender)
            case Cancel(_, caller_id, request_id):
                self._cancel(caller_id, request_id)
        return []

    def take_work(self, now_ms: int) -> tuple[Request, Endpoint, int] | None:
        """Starts the next request that is still of use.

        Returns:
            The request, where to answer and its service time in ms; None if none waits.
        """
        while self.queue:
            request, sender = self.queue.popleft()
            if request.deadline_ms < now_ms:
                continue
            self.starts_ms.append(now_ms)
            if not request.idempotent:
                # A repeat after a shed answer has the number of the attempt appended.
                self.runs[(request.caller_id, request.request_id.partition("\x1f")[0])] += 1
            return request, sender, self._service_ms(now_ms)
        return None

    def build_answer(self, request: Request) -> list[Packet]:
        """Returns the parts of the answer to a request that was executed."""
        body = (request.body or b"-") * (self.options.answer_bytes // max(1, len(request.body)) + 1)
        body = body[: self.options.answer_bytes]
        parts = [
            body[start : start + _PART_BODY_BYTES]
            for start in range(0, len(body), _PART_BODY_BYTES)
        ] or [b""]
        return [
            Answer(
                request.flow,
                request.caller_id,
                request.request_id,
                AnswerStatus.OK,
                part=index,
                part_count=len(parts),
                body=part,
            )
            for index, part in enumerate(parts)
        ]

    def _enqueue(self, request: Request, sender: Endpoint) -> list[Packet]:
        if len(self.queue) >= _QUEUE_LIMIT:
            return [_shed(request)]
        self.queue.append((request, sender))
        return []

    def _cancel(self, caller_id: str, request_id: str) -> None:
        kept = [
            item
            for item in self.queue
            if (item[0].caller_id, item[0].request_id) != (caller_id, request_id)
        ]
        self.queue = collections.deque(kept)

    def _service_ms(self, now_ms: int) -> int:
        is_cold = now_ms - self.started_ms < self.options.warmup_ms
        factor = self.options.cold_factor if is_cold else 1.0
        return int(self.options.service_ms * factor)


def _shed(request: Request) -> Answer:
    return Answer(
        request.flow,
        request.caller_id,
        request.request_id,
        AnswerStatus.SHED,
        reason="queue is full",
    )


async def run_upstream(
    endpoint: Endpoint,
    model: UpstreamModel,
    clock: Clock,
    *,
    task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serves an upstream on a UDP endpoint until cancelled."""
    ready = anyio.Semaphore(0)

    def handle(datagram: bytes, sender: Endpoint) -> None:
        try:
            packet = decode_packet(datagram)
        except PacketError:
            return
        for reply in model.handle(packet, sender, clock.now_ms()):
            port.send(encode_packet(reply), sender)
        if isinstance(packet, Request):
            ready.release()

    port = UdpTransport(endpoint, handle)
    async with anyio.create_task_group() as group:
        await group.start(port.run)
        for _ in range(model.options.work_slots):
            group.start_soon(_execute, port, model, clock, ready)
        task_status.started()


async def _execute(
    port: UdpTransport, model: UpstreamModel, clock: Clock, ready: anyio.Semaphore
) -> None:
    """Executes one request at a time."""
    while True:
        await ready.acquire()
        work = model.take_work(clock.now_ms())
        if work is None:
            continue
        request, sender, service_ms = work
        await anyio.sleep(service_ms / 1000)
        for part in model.build_answer(request):
            port.send(encode_packet(part), sender)
