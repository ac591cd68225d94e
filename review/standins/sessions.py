"""Clients that keep a flow open for several requests, with pauses between them."""

import asyncio
import dataclasses
import random
import time

from standins import packets
from standins.clients import Router
from standins.packets import ACK, FIN, RST, SYN, Packet
from standins.record import Record

_SYN_COPIES_AT_S = (0.2, 0.6)
_SYN_GIVE_UP_S = 1.4
_RETRANSMIT_S = 0.2
_RETRANSMIT_MAX_S = 1.6
_FIRST_PORT = 1_024


@dataclasses.dataclass
class Session:
    """One flow.

    Attributes:
        client: Address and port.
        target: Target whose handshake the client answered; empty while the flow is not open.
        outcome: `done`, `no_handshake`, `refused`, `reset` or `deadline`.
        request: The request that was sent last.
        reset_by: `instance` or `target`, for resets.
    """

    client: str
    outcome: str = ""
    request: str = ""
    reset_by: str = ""
    is_open: bool = False
    answered_by: str = ""
    through: list[str] = dataclasses.field(default_factory=list)
    ended_at_s: float = 0.0


class SessionClient(asyncio.DatagramProtocol):
    """The clients of one zone.

    As the protocol says, a client puts into each packet the last echo that it received on the flow,
    whichever packet brought it.

    Attributes:
        sessions: All flows that have ended.
    """

    def __init__(
        self,
        zone: str,
        host: str,
        port: int,
        router: Router,
        record: Record,
        one_way_s: float,
        deadline_s: float,
    ) -> None:
        self.sessions: list[Session] = []
        self._zone = zone
        self._host = host
        self._port = port
        self._router = router
        self._record = record
        self._one_way_s = one_way_s
        self._deadline_s = deadline_s
        self._next_port = _FIRST_PORT
        self._rng = random.Random(zone)
        self._flows: dict[int, _Flow] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Opens its socket."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, (self._host, self._port)
        )

    def close(self) -> None:
        """Gives up all flows and closes the socket."""
        for task in self._tasks:
            task.cancel()
        if self._transport is not None:
            self._transport.close()

    async def open_regularly(
        self, route: tuple[str, int], per_s: float, requests: int, pauses_s: tuple[float, float]
    ) -> None:
        """Opens flows at a rate until cancelled; each carries some requests, with pauses."""
        while True:
            task = asyncio.get_running_loop().create_task(self._run(route, requests, pauses_s))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._rng.expovariate(per_s))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Takes a packet, after the delay of the client's link."""
        asyncio.get_running_loop().call_later(self._one_way_s, self._take, data)

    def _take(self, data: bytes) -> None:
        try:
            packet = packets.decode(data)
        except packets.Damaged as error:
            self._record.write("damaged_packet", client=self._host, why=str(error))
            return
        flow = self._flows.get(packet.target[1])
        if flow is not None:
            flow.take(packet)

    def send(self, session: Session, packet: Packet) -> None:
        """Sends a packet, which arrives after the delay of the client's link."""
        asyncio.get_running_loop().call_later(self._one_way_s, self._forward, session, packet)

    def _forward(self, session: Session, packet: Packet) -> None:
        instance = self._router.choose(packet, self._zone)
        if not session.through or session.through[-1] != instance.name:
            session.through.append(instance.name)
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(packets.encode(packet), (instance.host, instance.packet_port))

    async def _run(
        self, route: tuple[str, int], requests: int, pauses_s: tuple[float, float]
    ) -> None:
        port = self._next_port
        self._next_port += 1
        session = Session(f"{self._host}:{port}")
        own = (packets.to_number(self._host), port)
        flow = _Flow(self, session, own, (packets.to_number(route[0]), route[1]), self._rng)
        self._flows[port] = flow
        try:
            await self._converse(flow, requests, pauses_s)
            session.outcome = "done"
        except _Ended as end:
            session.outcome = str(end)
        finally:
            del self._flows[port]
        session.ended_at_s = time.monotonic()
        self.sessions.append(session)
        self._record.write(
            "flow_ended",
            client=session.client,
            outcome=session.outcome,
            request=session.request,
            reset_by=session.reset_by,
            answered_by=session.answered_by,
            through=session.through,
        )

    async def _converse(self, flow: "_Flow", requests: int, pauses_s: tuple[float, float]) -> None:
        await flow.open()
        for number in range(requests):
            if number:
                await asyncio.sleep(self._rng.uniform(*pauses_s))
            flow.session.request = f"{self._zone}-{flow.session.client}-{number}"
            self._record.write("sent", request=flow.session.request)
            body = await flow.request(flow.session.request, self._deadline_s)
            flow.session.answered_by = body.split(" ")[0]
            self._record.write("answered", request=flow.session.request, answer=body)
        flow.close()


class _Ended(Exception):
    """A flow ended; the text says how."""


class _Flow:
    """The client's end of a flow."""

    def __init__(
        self,
        client: SessionClient,
        session: Session,
        own: tuple[int, int],
        other: tuple[int, int],
        rng: random.Random,
    ) -> None:
        self.session = session
        self._client = client
        self._own = own
        self._other = other
        self._first = rng.getrandbits(32)
        self._next_out = (self._first + 1) & packets.MASK
        self._next_in = 0
        self._echo = 0
        self._answer: bytes | None = None
        self._end = ""
        self._changed = asyncio.Event()

    def take(self, packet: Packet) -> None:
        """Takes a packet that arrived."""
        if packet.flags & RST:
            self._take_reset(packet)
        else:
            self._echo = packet.echo
            if packet.flags & SYN:
                self._take_handshake(packet)
            elif packet.data and packet.sequence == self._next_in:
                self._next_in = (self._next_in + len(packet.data)) & packets.MASK
                self._answer = packet.data
                self._send(ACK)
            elif packet.data:
                self._send(ACK)
        self._changed.set()

    def _take_handshake(self, packet: Packet) -> None:
        if self.session.is_open:
            return  # Another target took the opening packet too.
        self.session.is_open = True
        self._next_in = (packet.sequence + 1) & packets.MASK
        self._send(ACK)

    def _take_reset(self, packet: Packet) -> None:
        distance = (packet.sequence - self._next_in) & packets.MASK
        is_near = min(distance, packets.MASK + 1 - distance) <= 76_800
        if self.session.is_open and not is_near:
            return
        self._end = "reset" if self.session.is_open else "refused"
        self.session.reset_by = "instance" if packet.is_from_instance else "target"

    async def open(self) -> None:
        """Opens the flow."""
        started_s = time.monotonic()
        for copy, until_s in enumerate((*_SYN_COPIES_AT_S, _SYN_GIVE_UP_S)):
            packet = Packet(self._own, self._other, SYN, self._first, copy)
            self._client.send(self.session, packet)
            if await self._wait(started_s + until_s, lambda: self.session.is_open):
                return
        raise _Ended("no_handshake")

    async def request(self, request_id: str, deadline_s: float) -> str:
        """Sends a request that may not be repeated, and returns the body of its answer."""
        data = (f"POST / HTTP/1.1\r\nX-Catkinspread-Attempt-Id: {request_id}\r\n\r\n").encode()
        self._answer = None
        end_s = time.monotonic() + deadline_s
        wait_s = _RETRANSMIT_S
        while time.monotonic() < end_s:
            self._send(ACK, data)
            until_s = min(end_s, time.monotonic() + wait_s)
            if await self._wait(until_s, lambda: self._answer is not None):
                self._next_out = (self._next_out + len(data)) & packets.MASK
                return (self._answer or b"").split(b"\r\n\r\n", 1)[1].decode()
            wait_s = min(_RETRANSMIT_MAX_S, 2 * wait_s)
        raise _Ended("deadline")

    def close(self) -> None:
        """Sends the last packet."""
        self._send(ACK | FIN)

    async def _wait(self, until_s: float, is_done) -> bool:  # noqa: ANN001
        while not is_done():
            if self._end:
                raise _Ended(self._end)
            self._changed.clear()
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                return False
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                return False
        return True

    def _send(self, flags: int, data: bytes = b"") -> None:
        self._client.send(
            self.session,
            Packet(self._own, self._other, flags, self._next_out, self._next_in, self._echo, data),
        )
