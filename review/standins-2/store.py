"""Stand-in for the platform's metadata store."""

import asyncio
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

ANSWER_S = 0.004
PAGE_OBJECTS, PAGE_BYTES = 500, 1_000_000
FOREVER_S = 3_600


def now():
    return time.monotonic()


class StoreDown(Exception):
    """The store does not answer."""


def encode_answer(answer):
    """Returns an answer as JSON; content that is JSON already is inserted as it is."""
    inserted = []

    def describe(item):
        if "encoded" not in item:
            return item
        inserted.append(item["encoded"])
        return {"meta": item["meta"], "spec": f"<{len(inserted) - 1}>", "status": None}

    if "items" in answer:
        answer = {**answer, "items": [describe(item) for item in answer["items"]]}
    if "events" in answer:
        answer = {
            **answer,
            "events": [
                {**event, "object": describe(event["object"])} for event in answer["events"]
            ],
        }
    payload = json.dumps(answer).encode()
    for number, spec in enumerate(inserted):
        payload = payload.replace(b'"<%d>"' % number, spec)
    return payload


class Store:
    """The platform's metadata store: objects by kind and name, with one revision counter."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.objects = {}
        self.history = []  # (revision, kind, object, removed)
        self.is_down = False
        self._changed = asyncio.Event()
        self._writers = set()
        self.calls = 0
        self.loses_answer = lambda kind, answer: False  # Whether an answer to a watch is lost.

    async def start(self, ip, port):
        self.address = f"{ip}:{port}"
        self._server = await asyncio.start_server(self._serve, ip, port)

    def put(self, kind, name, spec):
        """A write of the operator or of a target; the return is the acknowledgement."""
        if self.is_down:
            raise StoreDown
        items = self.objects.setdefault(kind, {})
        old = items.get(name)
        if old is not None and old["spec"] == spec:
            return self.revision
        self.revision += 1
        created = old["meta"]["created_rev"] if old else self.revision
        items[name] = self._build(name, spec, self.revision, created)
        self._publish(kind, items[name], False)
        return self.revision

    def put_encoded(self, kind, name, spec):
        """Another writer's object, whose content is JSON that is not decoded here."""
        self.revision += 1
        item = self._build(name, None, self.revision, self.revision)
        item["size"] = len(spec)
        item["encoded"] = spec
        self.objects.setdefault(kind, {})[name] = item
        self._publish(kind, item, False)

    def delete(self, kind, name):
        if self.is_down:
            raise StoreDown
        old = self.objects.get(kind, {}).pop(name, None)
        if old is not None:
            self.revision += 1
            self._publish(kind, old, True)

    def set_down(self, is_down):
        """Turns the store silent: open calls get no answer, new ones neither."""
        self.is_down = is_down
        self.record.write(f"store {'goes silent' if is_down else 'answers again'}")
        if not is_down:
            # Connections on which an answer was lost return nothing further.
            for writer in list(self._writers):
                writer.transport.abort()
            self._changed.set()
            self._changed = asyncio.Event()

    def _build(self, name, spec, revision, created):
        meta = {
            "name": name,
            "revision": revision,
            "created_rev": created,
            "finalizers": [],
            "being_deleted": False,
        }
        return {"meta": meta, "spec": spec, "status": None}

    def _publish(self, kind, item, is_removed):
        self.history.append((self.revision, kind, item, is_removed))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                size = 0
                for line in lines[1:]:
                    if line.lower().startswith("content-length:"):
                        size = int(line.split(":", 1)[1])
                body = await reader.readexactly(size) if size else b""
                status, answer = await self._answer(method, target, body)
                if self.is_down:
                    await asyncio.sleep(FOREVER_S)
                kind = urlsplit(target).path.split("/")[3]
                if "events" in answer and self.loses_answer(kind, answer):
                    # A connection on which a response is lost returns nothing further.
                    await asyncio.sleep(FOREVER_S)
                payload = encode_answer(answer)
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n".encode()
                    + payload
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, method, target, body):
        if self.is_down:
            await asyncio.sleep(FOREVER_S)
        self.calls += 1
        await asyncio.sleep(ANSWER_S)
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.split("/")[3:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        items = self.objects.setdefault(kind, {})
        if method == "GET" and not name and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query.get("wait_ms", "0")))
        if method == "GET" and not name:
            names = sorted(found for found in items if found > query.get("after", ""))
            size, count = 0, 0
            while count < min(PAGE_OBJECTS, len(names)) and size <= PAGE_BYTES:
                size += items[names[count]].get("size", 0)
                count += 1
            page = [items[found] for found in names[:count]]
            return 200, {"items": page, "has_more": len(names) > count, "at_rev": self.revision}
        if method == "GET":
            return (200, items[name]) if name in items else (404, {})
        if method == "POST":
            written = json.loads(body)
            name = written["meta"]["name"]
            if name in items:
                return 409, items[name]
            self.put(kind, name, written["spec"])
            return 201, items[name]
        if method == "PUT":
            written = json.loads(body)
            wanted = written["meta"].get("revision")
            if name not in items:
                return 404, {}
            if wanted and wanted != items[name]["meta"]["revision"]:
                return 409, items[name]
            self.put(kind, name, written["spec"])
            return 200, items[name]
        return 405, {}

    async def _watch(self, kind, revision, wait_ms):
        until = now() + wait_ms / 1000
        while True:
            found = [entry for entry in self.history if entry[0] > revision and entry[1] == kind]
            if found:
                break
            left = until - now()
            if left <= 0:
                break
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                break
        # An answer holds about 1 MB at most, as a listing does; the next watch goes on after it.
        size, events, at_rev = 0, [], self.revision
        for event_revision, _, item, removed in found:
            events.append({"object": item, "removed": removed})
            size += item.get("size", 0)
            if size > PAGE_BYTES:
                at_rev = event_revision
                break
        return 200, {"events": events, "at_rev": at_rev}
