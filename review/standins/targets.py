"""Targets: UDP for flows, TCP for health checks, and their entry in the store."""

import asyncio
import dataclasses
import json
import random
import time

from standins import packets
from standins.packets import ACK, FIN, RST, SYN, Packet
from standins.record import Record
from standins.store import Store

HEARTBEAT_S = 1.2
# Intervals without a report after which the store removes an entry.
_SILENT_HEARTBEATS = 3
_RETRANSMIT_S = 0.2
_RETRANSMISSIONS_MAX = 8


@dataclasses.dataclass
class _Flow:
    """The target's end of a flow.

    Attributes:
        client: Address and port of the client.
        route: Address and port that the client opened the flow to.
        syn_sequence: Sequence number of the opening packet.
        next_in: Sequence number of the next byte of the client.
        next_out: Sequence number of the next byte to the client.
        echo: What the target received as echo last.
        answer: Answer that the client has not acknowledged yet.
    """

    client: tuple[int, int]
    route: tuple[int, int]
    syn_sequence: int
    next_in: int
    next_out: int
    echo: int
    is_open: bool = False
    is_ended: bool = False
    closes: bool = False
    answer: bytes = b""
    timer: asyncio.TimerHandle | None = None
    sent_count: int = 0


class Target(asyncio.DatagramProtocol):
    """One incarnation of a target.

    Attributes:
        name: Its id.
        accepted: Flows that it took: when the opening packet arrived, on `time.monotonic`.
        drained_at_s: When the store accepted the report that it drains; None before.
        gone_at_s: When the store removed its entry although it runs; None before.
        opened_count: Flows that were opened at it.
        opened: Clients of these flows.
        ran: Ids of the requests that it ran.
        resets: Clients whose packets it answered with a reset, because it does not hold the flow.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        host: str,
        port: int,
        client_port: int,
        store: Store,
        record: Record,
        work_s: float = 0.03,
        slots: int = 2,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.host = host
        self.port = port
        self.drained_at_s: float | None = None
        self.left_at_s: float | None = None
        self.gone_at_s: float | None = None
        self.accepted: list[tuple[float, str]] = []
        self.resets: list[str] = []
        self.ran: list[str] = []
        self.opened: set[str] = set()
        self.cold_until_s = 0.0
        self.cold_arrivals: list[float] = []
        self.opened_count = 0
        self._key = int("".join(c for c in name if c in "0123456789abcdef"), 16)
        self._client_port = client_port
        self._store = store
        self._record = record
        self._work_s = work_s
        self._slots = asyncio.Semaphore(slots)
        self._flows: dict[tuple[tuple[int, int], tuple[int, int]], _Flow] = {}
        self._rng = random.Random(name)
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._sequence = 0
        self._reported: dict[str, object] = {}
        self._is_silent = False
        self._written = b""
        self._born_ms = time.time_ns() // 1_000_000

    async def start(self, cold_s: float = 0.0) -> None:
        """Opens its sockets and writes its entry."""
        self.cold_until_s = time.monotonic() + cold_s
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, (self.host, self.port)
        )
        self._server = await asyncio.start_server(self._serve_health, self.host, self.port)
        self._run(self._report_regularly())

    def make_cold(self, cold_s: float) -> None:
        """Makes it cold again, as the targets of an evacuated zone may become."""
        self.cold_until_s = time.monotonic() + cold_s
        self.report()

    def drain(self) -> None:
        """Reports that it drains; it goes on serving."""
        self.drained_at_s = time.monotonic()
        self.report()
        self._record.write("draining", target=self.name)

    async def fall_silent(self) -> None:
        """Loses the store, not the instances or clients; the store removes its entry in time.

        Afterwards `gone_at_s` tells when the entry was removed.
        """
        self._is_silent = True
        self._record.write("silent", target=self.name)
        await asyncio.sleep(_SILENT_HEARTBEATS * HEARTBEAT_S)
        self._store.remove("servers", self.name)
        self.gone_at_s = time.monotonic()
        self._record.write("entry_removed", target=self.name)

    def reach_store_again(self) -> None:
        """Ends what `fall_silent` began; it writes its entry again."""
        if self._is_silent:
            self._is_silent = False
            self.gone_at_s = None
            self._reported = {}
            self.accepted.clear()
            self.report()

    def leave(self) -> None:
        """Ends it and lets the store remove its entry."""
        self.left_at_s = time.monotonic()
        self._record.write("left", target=self.name)
        self.close()
        self._store.remove("servers", self.name)

    def close(self) -> None:
        """Closes its sockets."""
        for task in self._tasks:
            task.cancel()
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()

    def report(self) -> None:
        """Writes its entry if more than its count of reports has changed, or another one wrote it."""
        if self._is_silent:
            return
        self._sequence += 1
        cold_left_s = max(0.0, self.cold_until_s - time.monotonic())
        entry: dict[str, object] = {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 2,
            "state": "ready" if self.drained_at_s is None else "draining",
            "cold_left_ms": round(cold_left_s * 1_000),
            "born": self._born_ms,
        }
        is_own = self._store.get("servers", self.name) == self._written
        if entry != self._reported or not is_own:
            self._reported = entry
            self._written = json.dumps({**entry, "seq": self._sequence}).encode()
            self._store.put("servers", self.name, self._written)

    async def _report_regularly(self) -> None:
        while True:
            self.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve_health(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            status = b"200 OK" if self.drained_at_s is None else b"503 Service Unavailable"
            writer.write(b"HTTP/1.1 %b\r\nContent-Length: 0\r\n\r\n" % status)
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def _run(self, work: object) -> None:
        task = asyncio.get_running_loop().create_task(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handles a datagram of an instance."""
        (key,) = packets.TARGET_KEY.unpack_from(data)
        if key not in (0, self._key):
            return
        try:
            packet = packets.decode(data[packets.TARGET_KEY.size :])
        except packets.Damaged as error:
            self._record.write("damaged_packet", target=self.name, why=str(error))
            return
        flow = self._flows.get((packet.source, packet.target))
        if packet.flags & SYN:
            self._take_syn(flow, packet)
        elif flow is not None:
            self._take_packet(flow, packet)
        elif not packet.flags & RST:
            client = _format(packet.source)
            self._record.write("reset_of_unknown_flow", target=self.name, client=client)
            self._reset(packet)

    def _take_syn(self, flow: _Flow | None, packet: Packet) -> None:
        if flow is None or (flow.syn_sequence != packet.sequence and not flow.is_open):
            flow = _Flow(
                packet.source,
                packet.target,
                packet.sequence,
                (packet.sequence + 1) & packets.MASK,
                self._rng.getrandbits(32),
                packet.echo,
            )
            self._flows[packet.source, packet.target] = flow
            now_s = time.monotonic()
            self.accepted.append((now_s, _format(packet.source)))
            if now_s < self.cold_until_s:
                self.cold_arrivals.append(now_s)
        if flow.syn_sequence == packet.sequence and not flow.is_open:
            flow.echo = packet.echo
            self._send(flow, SYN | ACK, (flow.next_out - 1) & packets.MASK)

    def _take_packet(self, flow: _Flow, packet: Packet) -> None:
        flow.echo = packet.echo
        if packet.flags & RST:
            self._end(flow)
            return
        if not flow.is_open:
            if packet.acknowledged != flow.next_out:
                client = _format(packet.source)
                self._record.write("reset_of_unopened_flow", target=self.name, client=client)
                self._reset(packet)
                return
            flow.is_open = True
            self.opened_count += 1
            self.opened.add(_format(packet.source))
            self._record.write("open", target=self.name, client=_format(packet.source))
        end = (flow.next_out + len(flow.answer)) & packets.MASK
        if flow.answer and packet.acknowledged in (end, (end + 1) & packets.MASK):
            flow.next_out = end
            flow.answer = b""
            self._stop_timer(flow)
        if packet.data and packet.sequence == flow.next_in:
            flow.next_in = (flow.next_in + len(packet.data)) & packets.MASK
            self._run(self._answer(flow, packet.data))
        elif packet.data and flow.answer:
            self._transmit(flow)
        elif packet.data:
            self._send(flow, ACK, flow.next_out)
        if packet.flags & FIN:
            self._end(flow)
            flow.next_in = (flow.next_in + 1) & packets.MASK
            self._send(flow, ACK, flow.next_out)

    async def _answer(self, flow: _Flow, data: bytes) -> None:
        request_id = _read_header(data, b"X-Catkinspread-Attempt-Id")
        flow.closes = _read_header(data, b"Connection") == "close"
        async with self._slots:
            self._record.write("run", target=self.name, service=self.service, request=request_id)
            self.ran.append(request_id)
            await asyncio.sleep(self._work_s)
        body = f"{self.name} {request_id}".encode()
        flow.answer = (
            b"HTTP/1.1 200 OK\r\nX-Catkinspread-Response-Seal: s\r\nContent-Length: %d\r\n\r\n"
            % len(body)
            + body
        )
        flow.sent_count = 0
        self._transmit(flow)

    def _transmit(self, flow: _Flow) -> None:
        """Sends the answer, and again until it is acknowledged."""
        if flow.is_ended or not flow.answer or flow.sent_count > _RETRANSMISSIONS_MAX:
            return
        flow.sent_count += 1
        self._send(flow, ACK | FIN * flow.closes, flow.next_out, flow.answer)
        self._stop_timer(flow)
        wait_s = min(1.6, _RETRANSMIT_S * 2 ** (flow.sent_count - 1))
        flow.timer = asyncio.get_running_loop().call_later(wait_s, self._transmit, flow)

    def _end(self, flow: _Flow) -> None:
        flow.is_ended = True
        self._stop_timer(flow)

    @staticmethod
    def _stop_timer(flow: _Flow) -> None:
        if flow.timer is not None:
            flow.timer.cancel()

    def _reset(self, packet: Packet) -> None:
        """Tells the client that its flow is not known here."""
        self.resets.append(_format(packet.source))
        reset = Packet(packet.target, packet.source, RST, packet.acknowledged, 0, packet.echo)
        self._transmit_to_client(reset)

    def _send(self, flow: _Flow, flags: int, sequence: int, data: bytes = b"") -> None:
        self._transmit_to_client(
            Packet(flow.route, flow.client, flags, sequence, flow.next_in, flow.echo, data)
        )

    def _transmit_to_client(self, packet: Packet) -> None:
        if self._transport is not None and not self._transport.is_closing():
            client = (packets.to_host(packet.target[0]), self._client_port)
            self._transport.sendto(packets.encode(packet), client)


def _format(end: tuple[int, int]) -> str:
    return f"{packets.to_host(end[0])}:{end[1]}"


def _read_header(data: bytes, name: bytes) -> str:
    for line in data.split(b"\r\n"):
        if line.lower().startswith(name.lower() + b":"):
            return line.split(b":", 1)[1].strip().decode()
    return ""
