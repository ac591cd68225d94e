"""Stand-in for the clients."""

import asyncio
import itertools
import random

from packets import (
    ACK,
    FIN,
    RETRANSMIT_FIRST_S,
    RETRANSMIT_MAX_S,
    RST,
    SEQ,
    SYN,
    Packet,
    ip_number,
    open_udp,
)
from store import now

# The SYN and its copies are sent 0, 0.2 and 0.6 s after the start; the attempt ends after 1.4 s.
SYN_WAITS_S = (0.2, 0.4, 0.8)
# A reset of the system on an open flow is this close to the client's last acknowledgement.
RESET_DISTANCE = 76_800


class ClientFlow:
    """A flow of a client."""

    def __init__(self, site, client, port, service):
        self.site, self.client, self.port, self.service = site, client, port, service
        self.key = (ip_number(client.ip), port, ip_number(service[0]), service[1])
        self.seq = self.first_seq = random.randrange(SEQ)
        self.peer_seq = 0
        self.echo = 0
        self.is_open = False
        self.end = ""  # Why the flow ended.
        self.answers = []
        self._event = asyncio.Event()

    def send(self, flags, seq, ack, data=b""):
        src, sport, dst, dport = self.key
        echo = 0 if flags & SYN else self.echo
        self.site.route(self.client, Packet(src, sport, dst, dport, flags, seq, ack, echo, data))

    async def open(self):
        """Sends the SYN and its copies; returns whether the flow opened."""
        self.client.flows[self.port] = self
        self.site.sent_at[self.key] = now()
        self.sent_at = now()
        self.seq = (self.first_seq + 1) % SEQ
        for number, wait_s in enumerate(SYN_WAITS_S):
            self.send(SYN, self.first_seq, number)
            await self._wait(wait_s)
            if self.is_open or self.end:
                return self.is_open
        self.end = "not opened"
        return False

    async def request(self, attempt, timeout_s=3.0):
        """Sends a request and returns the answer; empty if there is none."""
        data = (
            f"GET /x HTTP/1.1\r\nHost: x\r\nX-Catkinspread-Attempt-Id: {attempt}\r\n\r\n".encode()
        )
        seq, count = self.seq, len(self.answers)
        self.seq = (self.seq + len(data)) % SEQ
        until, wait_s = now() + timeout_s, RETRANSMIT_FIRST_S
        while now() < until and not self.end:
            self.send(ACK, seq, self.peer_seq, data)
            await self._wait(min(wait_s, until - now()))
            if len(self.answers) > count:
                return self.answers[-1]
            wait_s = min(RETRANSMIT_MAX_S, 2 * wait_s)
        return b""

    def close(self):
        if self.is_open and not self.end:
            self.send(ACK | FIN, self.seq, self.peer_seq)
            self.end = "closed"
        self.client.flows.pop(self.port, None)

    async def _wait(self, seconds):
        self._event.clear()
        try:
            await asyncio.wait_for(self._event.wait(), max(0.0, seconds))
        except TimeoutError:
            pass

    def receive(self, packet):
        if packet.flags & RST:
            own = packet.sum == 0
            if (
                own
                and self.is_open
                and (packet.seq - self.peer_seq + RESET_DISTANCE) % SEQ > 2 * RESET_DISTANCE
            ):
                return  # No reset of this flow.
            self.site.note_client_reset(self, own)
            self.end = "reset"
            self._event.set()
            return
        if not packet.is_genuine:
            self.site.record.write(f"client port {self.port} got a changed packet")
            return
        # Each end returns the echo that it received last on the flow.
        self.echo = packet.echo
        if packet.flags & SYN:
            if not self.is_open:
                self.is_open = True
                self.peer_seq = (packet.seq + 1) % SEQ
                self.send(ACK, self.seq, self.peer_seq)
                self._event.set()
            return
        if packet.data:
            if packet.seq == self.peer_seq:
                self.peer_seq = (self.peer_seq + len(packet.data)) % SEQ
                self.answers.append(packet.data)
                self._event.set()
            if not self.end:
                self.send(ACK, self.seq, self.peer_seq)


class Client:
    """The address of a client, in a zone."""

    def __init__(self, site, ip, zone):
        self.site, self.ip, self.zone = site, ip, zone
        self.node = None  # An instance to which the flows are sent directly.
        self.flows = {}
        self._ports = itertools.count(1024)

    async def start(self):
        self.udp = await open_udp(self.ip, self.site.packet_port, self._receive)

    def new_flow(self, service):
        return ClientFlow(self.site, self, next(self._ports), service)

    def _receive(self, raw):
        try:
            packet = Packet.decode(raw)
        except ValueError:
            return
        flow = self.flows.get(packet.dport)
        if flow is not None:
            flow.receive(packet)


async def send_load(clients, service, per_s, group, counts):
    """Opens a flow for each request, at an even rate, until it is cancelled."""
    due, number = now(), 0
    while True:
        due += 1 / per_s
        await asyncio.sleep(max(0.0, due - now()))
        client = clients[number % len(clients)]
        group.create_task(send_one(client, service, f"r-{number}", counts))
        number += 1


async def send_one(client, service, attempt, counts, timeout_s=2.5):
    """Sends a request on a flow of its own and counts how it ended."""
    flow = client.new_flow(service)
    is_answered = await flow.open() and await flow.request(attempt, timeout_s)
    flow.close()
    counts["answered" if is_answered else "unanswered"] += 1
