"""The platform's store: objects, listings and watches over HTTP/1.1."""

import asyncio
import json
import urllib.parse

_BASE = "/catkinspread/objects/"
_PAGE_ITEMS = 500


class Store:
    """Holds objects by kind and name and answers listings and watches.

    The content of an object is kept as the bytes that its writer sent.

    Attributes:
        revision: Number of the last change.
        calls: Number of calls answered, by address of the machine that made them.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.calls: dict[str, int] = {}
        self._objects: dict[str, dict[str, bytes]] = {}
        self._specs: dict[tuple[str, str], bytes] = {}
        self._events: list[tuple[int, str, bytes]] = []
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []

    async def listen(self, host: str, port: int) -> None:
        """Answers the machine that reaches the store at this address."""
        self._servers.append(
            await asyncio.start_server(lambda r, w: self._serve(host, r, w), host, port)
        )

    def close(self) -> None:
        """Stops listening."""
        for server in self._servers:
            server.close()

    def put(self, kind: str, name: str, spec: object) -> None:
        """Writes an object; a spec that is bytes is taken as it is."""
        content = spec if isinstance(spec, bytes) else json.dumps(spec).encode()
        self.revision += 1
        meta = json.dumps({"name": name, "revision": self.revision}).encode()
        written = b'{"meta":' + meta + b',"spec":' + content + b',"status":null}'
        self._objects.setdefault(kind, {})[name] = written
        self._specs[kind, name] = content
        self._note(kind, written, b"false")

    def get(self, kind: str, name: str) -> bytes:
        """Returns the content that `put` was called with; empty if there is no such object."""
        return self._specs.get((kind, name), b"")

    def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        removed = self._objects.get(kind, {}).pop(name, None)
        self._specs.pop((kind, name), None)
        if removed is not None:
            self.revision += 1
            self._note(kind, removed, b"true")

    def _note(self, kind: str, content: bytes, removed: bytes) -> None:
        event = b'{"object":' + content + b',"removed":' + removed + b"}"
        self._events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, host: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                self.calls[host] = self.calls.get(host, 0) + 1
                body = await self._answer(target)
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % len(body) + body
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, target: str) -> bytes:
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        kind = path.removeprefix(_BASE)
        if "watch" not in query:
            return self._list(kind, query.get("after", ""))
        since = int(query["watch"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query.get("wait_ms", "0")) / 1_000
        while not (found := self._find_events(kind, since)) and loop.time() < until:
            try:
                await asyncio.wait_for(self._changed.wait(), until - loop.time())
            except TimeoutError:
                break
        return b'{"events":[' + b",".join(found) + b'],"at_rev":%d}' % self.revision

    def _list(self, kind: str, after: str) -> bytes:
        objects = self._objects.get(kind, {})
        names = sorted(name for name in objects if name > after)
        page = names[:_PAGE_ITEMS]
        items = b",".join(objects[name] for name in page)
        has_more = b"true" if len(names) > len(page) else b"false"
        return b'{"items":[%b],"has_more":%b,"at_rev":%d}' % (items, has_more, self.revision)

    def _find_events(self, kind: str, since: int) -> list[bytes]:
        return [event for revision, of, event in self._events if of == kind and revision > since]
