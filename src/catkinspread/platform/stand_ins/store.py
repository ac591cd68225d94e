"""A store of objects with listings, watches, writes and the faults of the real one."""

import enum
from urllib.parse import parse_qs, unquote, urlsplit

import anyio
import anyio.abc
import msgspec

from catkinspread.deployment import StateKind
from catkinspread.model import Endpoint
from catkinspread.platform.objects import CONFIGURATION_NAME, KIND_PATHS
from catkinspread.platform.store import BASE_PATH
from catkinspread.transport.http_server import HttpRequest, HttpServer, HttpServerResponse

_OK = 200
_CREATED = 201
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410
_TOO_MANY = 429
_UNAVAILABLE = 503
_BODY_MAX_BYTES = 1_024
_SLOW_MS = 250
_SILENT_MS = 20_000
_MS_PER_S = 1_000
_ERA_HEADER = "Store-Era"


class StoreMode(enum.Enum):
    """How the store answers."""

    NORMAL = "normal"
    BUSY = "busy"
    TOO_MANY = "too_many"
    RESET = "reset"
    SILENT = "silent"
    SLOW = "slow"


class StoreCopy(msgspec.Struct, frozen=True):
    """The content of the store at one moment.

    Attributes:
        revision: Its revision.
        objects: All objects by kind and name.
    """

    revision: int
    objects: dict[tuple[str, str], dict[str, object]]


class StoreStandIn:
    """Holds objects and answers listings, watches and conditional writes.

    Attributes:
        mode: How it answers from now on; watches that wait end with a change.
        calls: Calls received.
        era: Number of times that it was restored from a copy, counted from 1.
    """

    def __init__(self) -> None:
        self.calls = 0
        self.era = 1
        self._mode = StoreMode.NORMAL
        self._revision = 1
        self._history_floor = 0
        self._objects: dict[tuple[str, str], dict[str, object]] = {}
        self._events: list[tuple[int, str, dict[str, object]]] = []
        self._changed = anyio.Event()

    @property
    def mode(self) -> StoreMode:
        """How it answers."""
        return self._mode

    @mode.setter
    def mode(self, mode: StoreMode) -> None:
        self._mode = mode
        self._notify()

    def put_configuration(self, spec: object) -> None:
        """Writes the configuration as the operator does."""
        self.put(StateKind.CONFIGURATION, CONFIGURATION_NAME, spec)

    def put(self, state_kind: StateKind, name: str, spec: object) -> None:
        """Writes an object."""
        self.put_object(KIND_PATHS[state_kind], name, spec)

    def put_object(self, kind: str, name: str, spec: object) -> dict[str, object]:
        """Writes an object of any kind, named as in the store, and returns it."""
        self._revision += 1
        written = {"meta": {"name": name, "revision": self._revision}, "spec": spec}
        self._objects[kind, name] = written
        self._note(kind, {"object": written, "removed": False})
        return written

    def list_specs(self, kind: str) -> dict[str, object]:
        """Returns the content of the objects of a kind, named as in the store, by name."""
        return {name: found["spec"] for (of, name), found in self._objects.items() if of == kind}

    def remove(self, state_kind: StateKind, name: str) -> None:
        """Removes an object; one that is not there is left alone."""
        kind = KIND_PATHS[state_kind]
        removed = self._objects.pop((kind, name), None)
        if removed is not None:
            self._revision += 1
            self._note(kind, {"object": removed, "removed": True})

    def list_names(self, state_kind: StateKind) -> list[str]:
        """Returns the names of all objects of a kind."""
        kind = KIND_PATHS[state_kind]
        return [name for of, name in self._objects if of == kind]

    def forget_history(self) -> None:
        """Drops all changes so far; watches from before are refused."""
        self._history_floor = self._revision
        self._notify()

    def take_copy(self) -> StoreCopy:
        """Returns a copy of the content, for `restore`."""
        return StoreCopy(self._revision, dict(self._objects))

    def restore(self, copy: StoreCopy) -> None:
        """Replaces the content by a copy; its later revisions are given out again.

        What was written since is lost until it is written again.
        """
        self._objects = dict(copy.objects)
        self._revision = copy.revision
        self._events = [event for event in self._events if event[0] <= copy.revision]
        self._history_floor = min(self._history_floor, copy.revision)
        self.era += 1
        self._notify()

    async def answer(self, request: HttpRequest) -> HttpServerResponse:
        """Answers a call."""
        response = await self._answer(request)
        return msgspec.structs.replace(response, headers=((_ERA_HEADER, str(self.era)),))

    async def _answer(self, request: HttpRequest) -> HttpServerResponse:
        self.calls += 1
        failure = await self._fail()
        if failure is not None:
            return failure
        target = urlsplit(request.target)
        kind = target.path.removeprefix(BASE_PATH)
        if request.method != "GET":
            return self._write(request.method, kind, request.body)
        query = parse_qs(target.query)
        if "watch" not in query:
            items = [found for (of, _), found in self._objects.items() if of == kind]
            return _encode({"items": items, "has_more": False, "at_rev": self._revision})
        since = int(query["watch"][0])
        mode = self._mode
        with anyio.move_on_after(int(query["wait_ms"][0]) / _MS_PER_S):
            while not self._ends_watch(kind, since) and self._mode is mode:
                await self._changed.wait()
        if not self._has_history(since):
            return HttpServerResponse(_GONE)
        failure = await self._fail()
        if failure is not None:
            return failure
        return _encode({"events": self._find_events(kind, since), "at_rev": self._revision})

    def _write(self, method: str, path: str, body: bytes) -> HttpServerResponse:
        """Creates an object or, if the revision is the current one, replaces it."""
        kind, _, name = path.partition("/")
        sent = msgspec.json.decode(body)
        name = unquote(name) or sent["meta"]["name"]
        current = self._objects.get((kind, name))
        if method == "POST":
            if current is not None:
                return _encode(current, _CONFLICT)
            return _encode(self.put_object(kind, name, sent["spec"]), _CREATED)
        if current is None:
            return HttpServerResponse(_NOT_FOUND)
        if sent["meta"].get("revision") not in (None, current["meta"]["revision"]):
            return _encode(current, _CONFLICT)
        if current["spec"] == sent["spec"]:
            return _encode(current)
        return _encode(self.put_object(kind, name, sent["spec"]))

    async def _fail(self) -> HttpServerResponse | None:
        """Returns the answer of a store that does not serve; None if it serves."""
        if self._mode is StoreMode.SLOW:
            await anyio.sleep(_SLOW_MS / _MS_PER_S)
        if self._mode is StoreMode.SILENT:
            await anyio.sleep(_SILENT_MS / _MS_PER_S)
        if self._mode is StoreMode.BUSY:
            return HttpServerResponse(_UNAVAILABLE)
        if self._mode is StoreMode.TOO_MANY:
            return HttpServerResponse(_TOO_MANY)
        is_dropped = self._mode in (StoreMode.RESET, StoreMode.SILENT)
        return HttpServerResponse(_UNAVAILABLE, is_dropped=True) if is_dropped else None

    async def run(
        self,
        endpoint: Endpoint = Endpoint("127.0.0.1", 0),  # noqa: B008
        *,
        task_status: anyio.abc.TaskStatus[Endpoint] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until cancelled."""
        server = HttpServer(self.answer, _BODY_MAX_BYTES, "store stand-in")
        await server.run(endpoint, task_status=task_status)

    def _ends_watch(self, kind: str, since: int) -> bool:
        return not self._has_history(since) or bool(self._find_events(kind, since))

    def _has_history(self, since: int) -> bool:
        return self._history_floor <= since <= self._revision

    def _find_events(self, kind: str, since: int) -> list[dict[str, object]]:
        return [event for at, of, event in self._events if of == kind and at > since]

    def _note(self, kind: str, event: dict[str, object]) -> None:
        self._events.append((self._revision, kind, event))
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


def _encode(body: object, status: int = _OK) -> HttpServerResponse:
    return HttpServerResponse(status, msgspec.json.encode(body), content_type="application/json")
