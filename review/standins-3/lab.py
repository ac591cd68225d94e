"""Stand-ins of the platform for the cases 11 to 15: store, routers, clients and targets.

They use the standard library alone. All of them run in one process; the instances run as processes of
their own, started with the command of the deploy file. Every address is a loopback address.
"""

import asyncio
import collections
import hashlib
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import struct
import tempfile
import time
import tomllib
import zlib
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEAD = struct.Struct(">HIIIIHIHB5sI")
KEY = struct.Struct(">Q")
SYN, ACK, FIN, RST = 32, 128, 64, 4
MODULUS = 1 << 32
DATA_MAX = 1_200
COPIES_S = (0.0, 0.2, 0.6)
OPEN_LIMIT_S = 1.4
HEARTBEAT_S = 1.2
ENTRY_LIFE_S = 3 * HEARTBEAT_S
STORE_DELAY_S = 0.004
HISTORY_S = 20
DATAGRAM_PORT, READY_PORT, CONTROL_PORT, PEER_PORT, TARGET_PORT, STORE_PORT = (
    8172,
    8167,
    8166,
    7720,
    8080,
    8169,
)
CLIENT_DELAY_S = 0.003
CASE_LIMIT_S = 116
# What a cold target bears, as the configuration tells it, and the bounds of the settings.
COLD_PER_S = 1.0
COLD_OVERAGE = 1.5
COLD_SLACK = 5
COLD_LIMIT = COLD_PER_S * COLD_OVERAGE + COLD_SLACK


def number(ip):
    return int.from_bytes(socket.inet_aton(ip), "big")


def text(ip_number):
    return socket.inet_ntoa(ip_number.to_bytes(4, "big"))


class Packet:
    """A packet of one end of a flow."""

    __slots__ = ("src", "sport", "dst", "dport", "flags", "echo", "seq", "ack", "data", "sum")

    def __init__(self, src, sport, dst, dport, flags, echo, seq, ack, data=b""):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.echo, self.seq, self.ack, self.data = flags, echo, seq, ack, data
        self.sum = 0

    def compute_sum(self):
        fields = (self.src, self.sport, self.dst, self.dport, self.flags, self.seq, self.ack)
        return zlib.crc32(repr(fields).encode() + self.data, 0x3A17) or 1

    def encode(self):
        head = (len(self.data), self.seq, self.ack, self.echo, self.src, self.dport)
        head += (self.dst, self.sport, self.flags, bytes(5), self.compute_sum())
        return HEAD.pack(*head) + self.data


def decode(datagram):
    """Returns the packet of a datagram; None if it is not what one of the ends wrote.

    A reset of the system, with the sum 0, is returned too.
    """
    if len(datagram) < HEAD.size:
        return None
    size, seq, ack, echo, src, dport, dst, sport, flags, _, total = HEAD.unpack_from(datagram)
    packet = Packet(src, sport, dst, dport, flags, echo, seq, ack, datagram[HEAD.size :])
    packet.sum = total
    if size != len(packet.data):
        return None
    if total != packet.compute_sum() and not (flags == RST and total == 0 and not size):
        return None
    return packet


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def write(self, line, echo=False):
        self._file.write(f"{self.now():8.3f} {line}\n")
        if echo:
            print(f"{self.now():8.3f} {line}", flush=True)

    def close(self):
        self._file.close()


class Store:
    """The platform's store: objects with revisions, listings, watches and conditional writes."""

    def __init__(self):
        self.revision = 1
        self.objects = {}
        self.events = []
        # The history holds the changes after this revision.
        self.floor = 0
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        current = self.objects.get((kind, name))
        if current is not None and current["spec"] == spec:
            return current
        self.revision += 1
        created = current["meta"]["created_rev"] if current else self.revision
        meta = {"name": name, "revision": self.revision, "created_rev": created}
        meta |= {"finalizers": [], "being_deleted": False}
        written = {"meta": meta, "spec": spec, "status": {}}
        self.objects[kind, name] = written
        self._note(kind, written, False)
        return written

    def remove(self, kind, name):
        found = self.objects.pop((kind, name), None)
        if found is not None:
            self.revision += 1
            self._note(kind, found, True)

    def _note(self, kind, found, removed):
        body = json.dumps({"object": found, "removed": removed})
        self.events.append((self.revision, kind, body, time.monotonic()))
        self._forget()
        self.changed.set()
        self.changed = asyncio.Event()

    def _forget(self):
        """Drops the changes that are older than the history reaches."""
        now = time.monotonic()
        while self.events and now - self.events[0][3] > HISTORY_S:
            self.floor = self.events.pop(0)[0]

    def _find_events(self, kind, since):
        first = len(self.events)
        while first and self.events[first - 1][0] > since:
            first -= 1
        return [body for _, of, body, _ in self.events[first:] if of == kind]

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                line, *headers = head.decode().split("\r\n")
                method, target, _ = line.split(" ", 2)
                size = 0
                for header in headers:
                    name, _, value = header.partition(":")
                    if name.lower() == "content-length":
                        size = int(value)
                body = await reader.readexactly(size) if size else b""
                status, answer = await self.answer(method, target, body)
                await asyncio.sleep(STORE_DELAY_S)
                reply = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                writer.write(f"{reply}Content-Length: {len(answer)}\r\n\r\n".encode() + answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        parts = urlsplit(target)
        kind, _, name = parts.path.removeprefix("/catkinspread/objects/").partition("/")
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        name = unquote(name)
        if method == "GET" and name:
            found = self.objects.get((kind, name))
            return (200, json.dumps(found).encode()) if found else (404, b"{}")
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
        if method == "GET":
            return self._list(kind, query.get("after", ""))
        return self._write(method, kind, name, json.loads(body or b"{}"), query)

    def _list(self, kind, after):
        names = sorted(found for of, found in self.objects if of == kind and found > after)
        items = [self.objects[kind, found] for found in names[:500]]
        answer = {"items": items, "has_more": len(names) > 500, "at_rev": self.revision}
        return 200, json.dumps(answer).encode()

    async def _watch(self, kind, since, wait_ms):
        end = time.monotonic() + min(30_000, wait_ms) / 1_000
        self._forget()
        if since < self.floor:
            return 410, b"{}"
        while not (found := self._find_events(kind, since)):
            left = end - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                break
        at = self.revision
        return 200, b'{"events":[%s],"at_rev":%d}' % (",".join(found).encode(), at)

    def _write(self, method, kind, name, sent, query):
        name = name or sent["meta"]["name"]
        current = self.objects.get((kind, name))
        wanted = sent.get("meta", {}).get("revision") or query.get("revision")
        if method == "POST":
            if current is not None:
                return 409, json.dumps(current).encode()
            return 201, json.dumps(self.put(kind, name, sent["spec"])).encode()
        if current is None:
            return 404, b"{}"
        if wanted and int(wanted) != current["meta"]["revision"]:
            return 409, json.dumps(current).encode()
        if method == "DELETE":
            self.remove(kind, name)
            return 200, b"{}"
        return 200, json.dumps(self.put(kind, name, sent["spec"])).encode()


class TargetFlow:
    def __init__(self, packet, seq):
        self.packet, self.seq, self.echo = packet, seq, packet.echo
        self.expected = (packet.seq + 1) % MODULUS
        self.is_open = False
        self.client_ack = seq
        self.buffer = b""
        self.closed = False


class Target:
    """One target: a process at an address that may end and start again under its id."""

    def __init__(self, lab, name, service, zone, host):
        self.lab, self.name, self.service, self.zone, self.host = lab, name, service, zone, host
        self.key = int(name.removeprefix("i-"), 16)
        self.is_up = False
        self.flows = {}
        self.cold_until = 0.0
        self.cold_from = 0.0
        self.seq = 0
        self.born = 0
        self.state = "ready"
        # After how long the store does the writes from now on, without an answer; None if it answers.
        self.answer_lost_s = None
        self.last_beat = 0.0
        self.transport = None
        self.server = None
        self.busy = 0
        self.queue = collections.deque()
        # Requests that arrived while it was cold: when the client sent the opening packet, when the
        # opening packet arrived here.
        self.cold_requests = []

    async def open(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: Receiver(self.receive), local_addr=(self.host, TARGET_PORT)
        )

    async def start(self, cold_s=0.0):
        """Starts the process, which writes its entry at once."""
        self.flows.clear()
        self.queue.clear()
        self.busy = 0
        self.seq = 0
        self.born = time.time_ns() // 1_000_000
        self.cold_from = self.lab.record.now()
        self.cold_until = self.cold_from + cold_s
        self.state = "ready"
        self.server = await asyncio.start_server(self._serve_health, self.host, TARGET_PORT)
        self.is_up = True
        self.beat()

    def crash(self):
        self.is_up = False
        self.flows.clear()
        self.queue.clear()
        if self.server is not None:
            self.server.close()
            self.server = None

    def become_cold(self, cold_s):
        self.cold_from = self.lab.record.now()
        self.cold_until = self.cold_from + cold_s

    def beat(self):
        """Writes the entry; it changes in the store only if more than `seq` differs."""
        self.seq += 1
        self.last_beat = self.lab.record.now()
        left = max(0, round((self.cold_until - self.last_beat) * 1_000))
        entry = {"service": self.service, "address": f"{self.host}:{TARGET_PORT}"}
        entry |= {"zone": self.zone, "version": "v1", "slots": 2, "state": self.state}
        entry |= {"cold_left_ms": left, "born": self.born}
        if self.answer_lost_s is None:
            self._write(entry, self.seq)
            return
        # The store does the write later and never answers it.
        loop = asyncio.get_running_loop()
        loop.call_later(self.answer_lost_s, self._write, entry, self.seq)
        self.lab.record.write(
            f"{self.name} writes seq {self.seq}, which the store does in {self.answer_lost_s} s"
        )

    def _write(self, entry, seq):
        current = self.lab.store.objects.get(("servers", self.name))
        if current is None or {**current["spec"], "seq": 0} != {**entry, "seq": 0}:
            self.lab.store.put("servers", self.name, entry | {"seq": seq})
            self.lab.record.write(
                f"store: {self.name} seq {seq} {entry['state']} cold_left {entry['cold_left_ms']}"
            )

    async def run_heartbeats(self):
        await asyncio.sleep(random.random() * HEARTBEAT_S)
        while True:
            if self.is_up:
                self.beat()
            elif self.lab.record.now() - self.last_beat > ENTRY_LIFE_S:
                self.lab.store.remove("servers", self.name)
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve_health(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    def receive(self, datagram, sender):
        if not self.is_up or len(datagram) < KEY.size:
            return
        (key,) = KEY.unpack_from(datagram)
        packet = decode(datagram[KEY.size :])
        if packet is None or key not in (0, self.key):
            return
        ends = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(ends)
        if packet.flags & SYN:
            self._open(ends, flow, packet, sender)
        elif packet.flags & RST:
            self.flows.pop(ends, None)
        elif flow is None or (not flow.is_open and packet.ack != (flow.seq + 1) % MODULUS):
            self.lab.on_stray(self, ends, packet, sender)
            self._send(packet, RST, packet.ack, packet.seq, packet.echo)
        else:
            self._take(ends, flow, packet, sender)

    def _open(self, ends, flow, packet, sender):
        if flow is not None and flow.is_open:
            return
        if flow is None or flow.packet.seq != packet.seq:
            flow = TargetFlow(packet, random.randrange(1, MODULUS))
            self.flows[ends] = flow
            now = self.lab.record.now()
            flow.opened_at, flow.by = now, sender
            flow.was_cold = now < self.cold_until
            self.lab.on_opening(self, ends, now, sender)
            if self.lab.repeats_answers:
                self.lab.spawn(self._repeat_answer(ends, flow))
        flow.echo = packet.echo
        self._answer_opening(ends, flow)

    def _answer_opening(self, ends, flow):
        if self.lab.loses_answer(self, ends):
            self.lab.record.write(f"the SYN+ACK of {self.name} on flow {ends} is lost")
            return
        self._send(flow.packet, SYN | ACK, flow.seq, flow.expected, flow.echo)

    async def _repeat_answer(self, ends, flow):
        """Sends the SYN+ACK again while it is not acknowledged, as any packet that is missing."""
        wait_s = 0.2
        for _ in range(8):
            await asyncio.sleep(wait_s)
            if self.flows.get(ends) is not flow or flow.is_open:
                return
            self._answer_opening(ends, flow)
            wait_s = min(1.6, 2 * wait_s)
        self.flows.pop(ends, None)

    def _take(self, ends, flow, packet, sender):
        if not flow.is_open:
            flow.is_open = True
            flow.seq = (flow.seq + 1) % MODULUS
            self.lab.owners[ends] = self
        flow.echo = packet.echo
        flow.client_ack = packet.ack
        if packet.data and packet.seq == flow.expected:
            flow.expected = (flow.expected + len(packet.data)) % MODULUS
            flow.buffer += packet.data
            self._read_request(ends, flow, packet)
        if packet.data:
            self._send(packet, ACK, flow.seq, flow.expected, flow.echo)
        if packet.flags & FIN:
            flow.expected = (packet.seq + len(packet.data) + 1) % MODULUS
            self._send(packet, FIN | ACK, flow.seq, flow.expected, flow.echo)
            self.flows.pop(ends, None)
            self.lab.owners.pop(ends, None)

    def _read_request(self, ends, flow, packet):
        head, found, rest = flow.buffer.partition(b"\r\n\r\n")
        if not found:
            return
        lines = head.decode().split("\r\n")
        fields = {key.lower(): value for key, _, value in (x.partition(": ") for x in lines[1:])}
        size = int(fields.get("content-length", "0"))
        if len(rest) < size:
            return
        flow.buffer = rest[size:]
        request = fields["x-catkinspread-attempt-id"]
        if flow.was_cold:
            flow.was_cold = False
            self.cold_requests.append((self.lab.sent_at.get(ends, 0.0), flow.opened_at, flow.by))
            self.lab.record.write(f"cold {self.name} gets {request} from {flow.by}")
        if self.busy >= 2:
            if len(self.queue) >= 8:
                self._answer(ends, flow, packet, request, 503)
                return
            self.queue.append((ends, flow, packet, request))
            return
        self._run(ends, flow, packet, request)

    def _run(self, ends, flow, packet, request):
        self.busy += 1
        self.lab.on_run(self, request)
        work_s = min(0.18, random.lognormvariate(-3.63, 0.5))
        if self.lab.record.now() < self.cold_until:
            work_s *= 1.6
        born = self.born
        asyncio.get_running_loop().call_later(
            work_s, self._finish, ends, flow, packet, request, born
        )

    def _finish(self, ends, flow, packet, request, born):
        if born != self.born or not self.is_up:
            return
        self.busy -= 1
        self._answer(ends, flow, packet, request, 200)
        if self.queue:
            self._run(*self.queue.popleft())

    def _answer(self, ends, flow, packet, request, status):
        if self.flows.get(ends) is not flow:
            return
        body = (request + ".").encode() * 40
        seal = hashlib.md5(body).hexdigest()
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
        head += f"X-Catkinspread-Response-Seal: {seal}\r\n"
        if status != 200:
            head += "X-Catkinspread-Not-Executed: 1\r\n"
        data = (head + "\r\n").encode() + body
        start = flow.seq
        flow.seq = (start + len(data)) % MODULUS
        self.lab.spawn(self._deliver(ends, flow, packet, start, data))

    async def _deliver(self, ends, flow, packet, start, data):
        wait_s = 0.2
        for _ in range(8):
            if self.flows.get(ends) is not flow or (flow.client_ack - start) % MODULUS >= len(data):
                return
            for at in range(0, len(data), DATA_MAX):
                part = data[at : at + DATA_MAX]
                self._send(packet, ACK, (start + at) % MODULUS, flow.expected, flow.echo, part)
            await asyncio.sleep(wait_s)
            wait_s = min(1.6, 2 * wait_s)
        self.flows.pop(ends, None)

    def _send(self, to, flags, seq, ack, echo, data=b""):
        packet = Packet(to.dst, to.dport, to.src, to.sport, flags, echo, seq, ack, data)
        loop = asyncio.get_running_loop()
        address = (text(to.src), DATAGRAM_PORT)
        loop.call_later(CLIENT_DELAY_S, self.transport.sendto, packet.encode(), address)


class Receiver(asyncio.DatagramProtocol):
    def __init__(self, handle):
        self._handle = handle

    def datagram_received(self, data, addr):
        self._handle(data, addr[0])

    def error_received(self, exc):
        pass


class ClientFlow:
    def __init__(self, ends):
        self.ends = ends
        self.seq = random.randrange(1, MODULUS)
        self.echo = 0
        self.expected = 0
        self.is_open = False
        self.reset_by = ""
        self.buffer = b""
        self.acked = 0
        self.changed = asyncio.Event()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()


class Client:
    """A client machine of a zone: opens a flow for each request, or keeps a flow open."""

    def __init__(self, lab, zone, host):
        self.lab, self.zone, self.host = lab, zone, host
        self.flows = {}
        self.port = random.randrange(1_024, 30_000)
        self.transport = None

    async def open(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: Receiver(self.receive), local_addr=(self.host, DATAGRAM_PORT)
        )

    def receive(self, datagram, sender):
        packet = decode(datagram)
        if packet is None:
            self.lab.record.write(f"client got a packet that its sender didn't write, by {sender}")
            return
        flow = self.flows.get(packet.dport)
        if flow is None or (packet.src, packet.sport) != flow.ends[2:]:
            return
        if packet.flags & RST:
            distance = (packet.seq - flow.expected + (1 << 31)) % MODULUS - (1 << 31)
            if flow.is_open and abs(distance) > 76_800:
                return
            self.lab.on_reset(flow, packet, sender)
            flow.reset_by = sender
            flow.notify()
            return
        flow.echo = packet.echo
        if packet.flags & SYN:
            if not flow.is_open:
                flow.is_open = True
                flow.seq = (flow.seq + 1) % MODULUS
                flow.acked = flow.seq
                flow.expected = (packet.seq + 1) % MODULUS
                self.send(flow, ACK, flow.seq)
        else:
            flow.acked = packet.ack
            if packet.data:
                if packet.seq == flow.expected:
                    flow.expected = (flow.expected + len(packet.data)) % MODULUS
                    flow.buffer += packet.data
                self.send(flow, ACK, flow.seq)
        flow.notify()

    def send(self, flow, flags, seq, data=b"", ack=None):
        ack = flow.expected if ack is None else ack
        packet = Packet(*flow.ends, flags, flow.echo, seq, ack, data)
        node = self.lab.router.choose(self.zone, flow.ends)
        if node is None:
            return
        loop = asyncio.get_running_loop()
        address = (node.host, DATAGRAM_PORT)
        loop.call_later(CLIENT_DELAY_S, self.transport.sendto, packet.encode(), address)

    async def open_flow(self, route, resets=None):
        """Opens a flow; returns None if that failed, and adds who has reset it to `resets`."""
        self.port = 1_024 + (self.port - 1_023) % 60_000
        ends = (number(self.host), self.port, number(route[0]), route[1])
        flow = ClientFlow(ends)
        self.flows[self.port] = flow
        self.lab.sent_at[ends] = self.lab.record.now()
        start = time.monotonic()
        for copy, at_s in enumerate(COPIES_S):
            self.send(flow, SYN, flow.seq, ack=copy)
            later = (*COPIES_S, OPEN_LIMIT_S)[copy + 1]
            await self._wait(flow, lambda: flow.is_open or flow.reset_by, start + later)
            if flow.is_open or flow.reset_by:
                break
        if flow.is_open and not flow.reset_by:
            return flow
        if resets is not None and flow.reset_by:
            resets.append(flow.reset_by)
        self.close(flow)
        return None

    async def _wait(self, flow, is_done, end):
        while not is_done():
            left = end - time.monotonic()
            if left <= 0:
                return False
            try:
                await asyncio.wait_for(flow.changed.wait(), left)
            except TimeoutError:
                return is_done()
        return True

    async def ask(self, flow, request, method, deadline):
        """Sends a request on an open flow; returns the status, 0 if there was no answer."""
        body = b"x" * (900 if method == "POST" else 0)
        head = f"{method} / HTTP/1.1\r\nX-Catkinspread-Attempt-Id: {request}\r\n"
        data = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        parts = [data[at : at + DATA_MAX] for at in range(0, len(data), DATA_MAX)]
        start, end_seq = flow.seq, (flow.seq + len(data)) % MODULUS
        flow.buffer, flow.seq, wait_s = b"", end_seq, 0.2
        while True:
            if flow.acked != end_seq:
                for index, part in enumerate(parts):
                    self.send(flow, ACK, (start + index * DATA_MAX) % MODULUS, part)
            until = min(deadline, time.monotonic() + wait_s)
            done = await self._wait(flow, lambda: flow.reset_by or is_whole(flow.buffer), until)
            if flow.reset_by:
                return -1
            if done:
                return int(flow.buffer.split(b" ", 2)[1])
            if time.monotonic() >= deadline:
                return 0
            wait_s = min(1.6, 2 * wait_s)

    def close(self, flow):
        if flow.is_open and not flow.reset_by:
            self.send(flow, FIN | ACK, flow.seq)
        self.flows.pop(flow.ends[1], None)
        self.lab.owners.pop(flow.ends, None) if not flow.is_open else None
        asyncio.get_running_loop().call_later(5, self.lab.sent_at.pop, flow.ends, None)

    async def request(self, route, method, deadline_s):
        """One request in a flow of its own, with two more tries where the pages allow them."""
        deadline = time.monotonic() + deadline_s
        outcome = "not opened"
        for _ in range(3):
            request = f"{random.getrandbits(64):016x}"
            flow = await self.open_flow(route)
            if flow is not None:
                status = await self.ask(flow, request, method, deadline)
                self.close(flow)
                self.lab.record.write(f"{self.zone} {method} {request} answered {status}")
                if status == 200:
                    self.lab.counts["served"] += 1
                    return
                outcome = f"status {status}"
                if method == "POST" and status != 503:
                    break
            if time.monotonic() >= deadline:
                break
        self.lab.counts[outcome] += 1


def is_whole(buffer):
    head, found, body = buffer.partition(b"\r\n\r\n")
    if not found:
        return False
    size = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    return len(body) >= size


class Router:
    """Chooses the node for each packet and probes the nodes twice a second."""

    def __init__(self, lab):
        self.lab = lab

    async def run(self):
        while True:
            await asyncio.gather(*(self._probe(node) for node in self.lab.nodes), asyncio.sleep(0.5))

    async def _probe(self, node):
        ok = False
        try:
            async with asyncio.timeout(0.45):
                reader, writer = await asyncio.open_connection(node.host, READY_PORT)
                writer.write(b"GET /catkinspread/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                ok = b" 200 " in await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            pass
        node.misses = 0 if ok else node.misses + 1
        if ok:
            node.in_rotation = True
        elif node.misses >= 2:
            node.in_rotation = False

    def choose(self, zone, ends):
        for found in (zone, *(other for other in self.lab.zones if other != zone)):
            nodes = [node for node in self.lab.nodes if node.zone == found]
            ready = [node for node in nodes if node.in_rotation]
            if not ready:
                continue
            pool = ready if 2 * len(ready) >= len(nodes) else nodes
            return max(pool, key=lambda node: zlib.crc32(f"{ends}{node.host}".encode()))
        return None


class Node:
    """A machine that runs an instance with the command of the deploy file."""

    def __init__(self, lab, name, zone, host):
        self.lab, self.name, self.zone, self.host = lab, name, zone, host
        # Where it reaches the store.
        self.store_host = lab.store_host
        # Addresses of its seeds; None for the first three machines.
        self.seeds = None
        self.in_rotation = False
        self.misses = 0
        self.process = None
        self.starting = None

    async def start(self, bootstrap=False):
        template = (ROOT / "src/catkinspread/platform/settings.ini").read_text()
        hosts = [node.host for node in self.lab.nodes[:3]] if self.seeds is None else self.seeds
        seeds = ",".join(f"{host}:{CONTROL_PORT}" for host in hosts)
        values = {
            "node_name": self.name,
            "zone": self.zone,
            "bootstrap": str(bootstrap).lower(),
            "listen.datagram_addr": f"{self.host}:{DATAGRAM_PORT}",
            "listen.ready": f"{self.host}:{READY_PORT}",
            "internal_ports.0": str(PEER_PORT),
            "bounds.grace_s": "6",
            "bounds.flow_max_s": "60",
            "seeds": seeds,
            "platform.address": f"{self.store_host}:{STORE_PORT}",
            "heartbeat_ms": str(round(HEARTBEAT_S * 1_000)),
        }
        for key, value in values.items():
            template = template.replace("{{" + key + "}}", value)
        path = self.lab.directory / f"{self.name}.ini"
        path.write_text(template)
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["instance"]
        environment = {"PATH": os.environ["PATH"], "HOME": str(self.lab.directory)}
        environment |= {"CATKINSPREAD_CONFIG": str(path), "LANG": "C.UTF-8"}
        with open(self.lab.directory / f"{self.name}.log", "ab") as log:
            start = asyncio.create_subprocess_exec(
                *shlex.split(role["run"]), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
            self.starting = asyncio.ensure_future(start)
            # A case that ends meanwhile still learns of the process and ends it.
            self.process = await asyncio.shield(self.starting)
        self.lab.record.write(f"{self.name} started as process {self.process.pid}")

    def kill(self, number_of_signal):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number_of_signal)

    async def stop_and_start(self):
        """Stops the process as the platform does, then starts it again after a short delay."""
        self.lab.record.write(f"{self.name} gets SIGTERM", echo=True)
        self.kill(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), 6)
        except TimeoutError:
            self.kill(signal.SIGKILL)
            await self.process.wait()
        await asyncio.sleep(0.1)
        await self.start()

    def read_memory_mb(self):
        """Returns the memory of the process, without the pages of files that it maps."""
        try:
            fields = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in fields.splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1_024
        return 0.0


class Link:
    """A link of limited bandwidth that the answers of the store take to one machine.

    All connections of the machine share it. Calls to the store pass without a limit.
    """

    def __init__(self, lab, host, mbit_per_s):
        self.lab, self.host = lab, host
        self._bytes_per_s = mbit_per_s * 125_000
        self._free_at = 0.0

    async def start(self):
        server = await asyncio.start_server(self._serve, self.host, STORE_PORT)
        self.lab.spawn(server.serve_forever())

    async def _serve(self, reader, writer):
        try:
            to_store = await asyncio.open_connection(self.lab.store_host, STORE_PORT)
            calls = asyncio.ensure_future(self._pass(reader, to_store[1], False))
            try:
                await self._pass(to_store[0], writer, True)
            finally:
                calls.cancel()
                to_store[1].close()
        except (asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def _pass(self, source, sink, is_limited):
        try:
            while data := await source.read(8_192):
                if is_limited:
                    now = time.monotonic()
                    self._free_at = max(now, self._free_at) + len(data) / self._bytes_per_s
                    await asyncio.sleep(self._free_at - now)
                sink.write(data)
                await sink.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            sink.close()


class Lab:
    """A small deployment."""

    def __init__(self, record, zones, nodes, targets, clients_per_zone=4):
        self.record = record
        self.zones = list(zones)
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="catkinspread-case-"))
        self.block = find_free_block()
        self.store_host = f"127.{self.block}.0.1"
        self.store = Store()
        self.router = Router(self)
        self.owners = {}
        self.sent_at = {}
        self.counts = collections.Counter()
        self.runs = collections.Counter()
        self.strays = []
        self.resets = []
        self.nodes = []
        for index, zone in enumerate(self.zones):
            for place in range(nodes[index]):
                host = f"127.{self.block}.1.{10 * index + place + 1}"
                self.nodes.append(Node(self, f"edge-{zone}-{place + 1}", zone, host))
        self.targets = []
        for index, (service, zone) in enumerate(targets):
            name = f"i-{random.getrandbits(40):010x}"
            self.targets.append(Target(self, name, service, zone, f"127.{self.block}.2.{index + 1}"))
        self.clients = [
            Client(self, zone, f"127.{self.block}.3.{10 * index + place + 1}")
            for index, zone in enumerate(self.zones)
            for place in range(clients_per_zone)
        ]
        self.tasks = []
        self.background = set()
        self.version = 0
        # Whether targets send a SYN+ACK again that is not acknowledged.
        self.repeats_answers = False

    def put_configuration(self, routes, services, timeouts=None):
        """Writes a configuration.

        Args:
            routes: Name, address, port, kind, service and priority of each route.
            services: Names of the services.
            timeouts: Time-out by name of the route.
        """
        self.version += random.randint(1, 4)
        spec = {
            "version": self.version,
            "routes": [
                {
                    "name": name,
                    "host": host,
                    "path_prefix": f"/{port}/",
                    "kind": kind,
                    "timeout_ms": (timeouts or {}).get(name, 2_000),
                    "aim_ms": 250,
                    "priority": priority,
                    "service": service,
                    "max_attempts": 2,
                }
                for name, host, port, kind, service, priority in routes
            ],
            "services": [
                {"name": name, "health_path": "/health", "max_flows": 2_000, "protocol": "h1"}
                | {"tls": False, "cold_s": 2.0, "cold_per_s": COLD_PER_S}
                for name in services
            ],
            "limits": {"max_header_bytes": 16_384, "max_body_bytes": 262_144}
            | {"header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
        }
        self.store.put("config", "main", spec)

    async def start(self):
        server = await asyncio.start_server(
            self.store.serve, self.store_host, STORE_PORT, limit=1 << 22
        )
        self.tasks.append(asyncio.ensure_future(server.serve_forever()))
        for target in self.targets:
            await target.open()
            await target.start()
            self.tasks.append(asyncio.ensure_future(target.run_heartbeats()))
        for client in self.clients:
            await client.open()
        for node in self.nodes:
            await node.start(bootstrap=True)
        self.tasks.append(asyncio.ensure_future(self.router.run()))
        end = time.monotonic() + 20
        while not all(node.in_rotation for node in self.nodes):
            if time.monotonic() > end:
                raise RuntimeError("the instances do not become ready")
            await asyncio.sleep(0.1)
        await asyncio.sleep(2)

    def press(self, zone, route, method, per_s, deadline_s):
        """Sends requests of a zone at a rate until the end."""
        self.tasks.append(asyncio.ensure_future(self._press(zone, route, method, per_s, deadline_s)))

    async def _press(self, zone, route, method, per_s, deadline_s):
        clients = [client for client in self.clients if client.zone == zone]
        running = set()
        while True:
            await asyncio.sleep(random.expovariate(per_s))
            work = random.choice(clients).request(route, method, deadline_s)
            task = asyncio.ensure_future(work)
            running.add(task)
            task.add_done_callback(running.discard)

    def spawn(self, work):
        """Runs a coroutine in the background and keeps a reference to it."""
        task = asyncio.ensure_future(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    def loses_answer(self, target, ends):
        """Whether the datagram with the SYN+ACK of a target is lost."""
        return False

    def on_opening(self, target, ends, now, sender):
        """Called when a target takes an opening packet."""

    def on_run(self, target, request):
        self.runs[request] += 1

    def on_stray(self, target, ends, packet, sender):
        owner = self.owners.get(ends)
        if owner is not None and owner is not target and owner.is_up:
            self.strays.append((ends, owner.name, target.name, sender))
            self.record.write(f"flow {ends} of {owner.name} reaches {target.name} from {sender}")

    def on_reset(self, flow, packet, sender):
        owner = self.owners.get(flow.ends)
        if flow.is_open and owner is not None and owner.is_up and sender != owner.host:
            self.resets.append((flow.ends, owner.name, sender))
            self.record.write(f"flow {flow.ends} of {owner.name} is reset by {sender}", echo=True)

    async def stop(self):
        for target in self.targets:
            target.crash()
        for task in (*self.tasks, *self.background):
            task.cancel()
        for node in self.nodes:
            if node.starting is not None:
                node.process = await node.starting
                node.kill(signal.SIGKILL)
                await node.process.wait()
        shutil.rmtree(self.directory, ignore_errors=True)


def find_free_block():
    """Returns a number N so that the addresses 127.N.0.0/16 have the ports that are needed free."""
    numbers = list(range(32, 250))
    random.shuffle(numbers)
    for found in numbers:
        try:
            with socket.socket() as probe:
                probe.bind((f"127.{found}.0.1", STORE_PORT))
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
                probe.bind((f"127.{found}.1.1", DATAGRAM_PORT))
            return found
        except OSError:
            continue
    raise RuntimeError("no free addresses")


def count_cold_requests(target):
    """Returns the most requests in one second that were sent and arrived in it, while it was cold."""
    worst = 0
    for start, _, _ in target.cold_requests:
        inside = [
            1 for sent, arrived, _ in target.cold_requests if sent >= start and arrived < start + 1
        ]
        worst = max(worst, len(inside))
    return worst


async def play(case):
    """Plays a case within its time; SIGTERM ends it and all processes that it has started."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    return await asyncio.wait_for(case, CASE_LIMIT_S)


def run_case(case, folder):
    """Runs a case and returns its exit status: 1 if the rule was broken, 0 if not, 2 without a run."""
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")
    record.write(f"disruption: {'yes' if is_troubled else 'no'}")
    try:
        broken = asyncio.run(play(case(record, is_troubled)))
    except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001
        record.write(f"the case couldn't run: {error!r}", echo=True)
        return 2
    finally:
        record.close()
    return 1 if broken else 0
