"""Stand-in for a target."""

import asyncio
import random
import re
import struct
import time

from packets import (
    ACK,
    FIN,
    RETRANSMIT_COUNT,
    RETRANSMIT_FIRST_S,
    RETRANSMIT_MAX_S,
    RST,
    SEQ,
    SYN,
    Packet,
    ip_text,
    open_udp,
)
from store import StoreDown, now

HEARTBEAT_S = 0.77
STORE_RETRY_S = 0.2


class _TargetFlow:
    def __init__(self, seq, client_seq):
        self.seq = seq
        self.client_next = (client_seq + 1) % SEQ
        self.is_open = False
        self.is_ended = False
        self.echo = 0
        self.sent = (seq + 1) % SEQ
        self.acked = seq
        self.task = None


class Target:
    """A target: one process that takes flows, works on requests and reports itself to the store."""

    def __init__(self, site, name, service, zone, ip, port, work_s=0.03):
        self.site, self.name, self.service, self.zone = site, name, service, zone
        self.ip, self.port, self.work_s = ip, port, work_s
        self.key = int("".join(c for c in name if c in "0123456789abcdef"), 16) % (1 << 64)
        self.is_alive = False
        self.flows = {}
        self.lose_syn_ack = lambda packet: False  # Whether the network loses this answer.
        self.taken = []  # (time of arrival, time sent, client key) of each opening packet taken
        self.starts = []  # (start, end of the cold time)
        self.state = "ready"

    async def start(self, cold_s=0.0):
        self.is_alive = True
        self.flows = {}
        self.born = int(time.time() * 1000)
        self.report_number = 0
        self.cold_until = now() + cold_s
        self.starts.append((now(), self.cold_until))
        self._udp = await open_udp(self.ip, self.port, self._receive)
        self._tcp = await asyncio.start_server(self._health, self.ip, self.port)
        self._beats = asyncio.create_task(self._report())
        self.site.record.write(f"target {self.name} starts, cold for {cold_s} s")

    def crash(self):
        self.is_alive = False
        self._udp.close()
        self._tcp.close()
        self._beats.cancel()
        for flow in self.flows.values():
            if flow.task is not None:
                flow.task.cancel()
        self.flows = {}
        self.site.record.write(f"target {self.name} crashes")

    async def _health(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()

    def drain(self):
        """Reports `draining` at once; returns when the store acknowledged it."""
        self.state = "draining"
        self._write_report()
        self.site.record.write(f"target {self.name} is draining, acknowledged by the store")
        return now()

    async def _report(self):
        while True:
            try:
                self._write_report()
                await asyncio.sleep(HEARTBEAT_S)
            except StoreDown:
                await asyncio.sleep(STORE_RETRY_S)

    def _write_report(self):
        self.report_number += 1
        spec = {
            "service": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 2,
            "state": self.state,
            "cold_left_ms": max(0, round((self.cold_until - now()) * 1000)),
            "seq": self.report_number,
            "born": self.born,
        }
        old = self.site.store.objects.get("servers", {}).get(self.name)
        # The entry changes when more than `seq` changes.
        same = old is not None and {**old["spec"], "seq": 0} == {**spec, "seq": 0}
        if not same:
            self.site.store.put("servers", self.name, spec)
        elif self.site.store.is_down:
            raise StoreDown
        self.site.beats[self.name] = now()

    def _send(self, key, flags, seq, ack, echo, data=b""):
        client, client_port, service, service_port = key
        packet = Packet(service, service_port, client, client_port, flags, seq, ack, echo, data)
        self._udp.sendto(packet.encode(), (ip_text(client), self.site.packet_port))

    def _receive(self, raw):
        if not self.is_alive or len(raw) < 8:
            return
        key = struct.unpack_from(">Q", raw)[0]
        if key not in (0, self.key):
            return
        try:
            packet = Packet.decode(raw[8:])
        except ValueError:
            self.site.record.write(f"target {self.name} got a broken packet")
            return
        if not packet.is_genuine:
            self.site.record.write(f"target {self.name} got a changed packet")
            return
        flow_key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(flow_key)
        if packet.flags & SYN:
            self._take_syn(flow_key, flow, packet)
            return
        if flow is not None and not flow.is_open and packet.ack == (flow.seq + 1) % SEQ:
            flow.is_open = True
            self.site.note_open(flow_key, self)
        if flow is None or not flow.is_open:
            if not packet.flags & RST:
                self.site.record.write(
                    f"target {self.name} does not hold the flow of client port {packet.sport} "
                    f"(seq {packet.seq}): RST"
                )
                self.site.note_reset(flow_key, self)
                self._send(flow_key, RST, packet.ack, 0, packet.echo)
            return
        flow.echo = packet.echo
        if (packet.ack - flow.acked) % SEQ < 1 << 31:
            flow.acked = packet.ack
        if packet.flags & RST:
            flow.is_ended = True
            return
        self._take_data(flow_key, flow, packet)

    def _take_syn(self, flow_key, flow, packet):
        if flow is None:
            self.taken.append((now(), self.site.sent_at.get(flow_key, now()), flow_key))
            flow = self.flows[flow_key] = _TargetFlow(random.randrange(SEQ), packet.seq)
            flow.echo = packet.echo
            flow.task = asyncio.create_task(self._answer_syn(flow_key, flow))
            return
        if not flow.is_open:
            flow.echo = packet.echo
            self._send(flow_key, SYN | ACK, flow.seq, flow.client_next, flow.echo)

    async def _answer_syn(self, flow_key, flow):
        """Sends the SYN+ACK, and again while nobody acknowledges it."""
        wait_s = RETRANSMIT_FIRST_S
        for number in range(1 + RETRANSMIT_COUNT):
            if flow.is_open:
                return
            if number == 0 and self.lose_syn_ack(flow_key):
                self.site.record.write(
                    f"the SYN+ACK of {self.name} to client port {flow_key[1]} is lost"
                )
            else:
                self._send(flow_key, SYN | ACK, flow.seq, flow.client_next, flow.echo)
            await asyncio.sleep(wait_s)
            wait_s = min(RETRANSMIT_MAX_S, 2 * wait_s)
        if not flow.is_open:
            self.flows.pop(flow_key, None)

    def _take_data(self, flow_key, flow, packet):
        if packet.data and packet.seq == flow.client_next:
            flow.client_next = (flow.client_next + len(packet.data)) % SEQ
            flow.task = asyncio.create_task(self._work(flow_key, flow, packet.data))
        if packet.flags & FIN:
            flow.is_ended = True
            self._send(flow_key, ACK | FIN, flow.sent, flow.client_next, flow.echo)

    async def _work(self, flow_key, flow, data):
        found = re.search(rb"X-Catkinspread-Attempt-Id: (\S+)", data)
        attempt = found.group(1).decode() if found else "?"
        self.site.record.write(f"target {self.name} runs {attempt}")
        self.site.runs.setdefault(attempt, []).append(self.name)
        await asyncio.sleep(self.work_s)
        if not self.is_alive:
            return
        body = f"{attempt} by {self.name}".encode()
        answer = (
            b"HTTP/1.1 200 OK\r\nX-Catkinspread-Response-Seal: s\r\nContent-Length: "
            + str(len(body)).encode()
            + b"\r\n\r\n"
            + body
        )
        seq = flow.sent
        flow.sent = (flow.sent + len(answer)) % SEQ
        wait_s = RETRANSMIT_FIRST_S
        for _ in range(1 + RETRANSMIT_COUNT):
            self._send(flow_key, ACK, seq, flow.client_next, flow.echo, answer)
            await asyncio.sleep(wait_s)
            if (flow.acked - seq) % SEQ < 1 << 31 and flow.acked != seq or flow.is_ended:
                return
            wait_s = min(RETRANSMIT_MAX_S, 2 * wait_s)
