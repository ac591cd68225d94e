"""Instances of the request benches: the real request handling, and the naive version."""

import random
from collections.abc import Callable
from typing import Protocol

import msgspec

from catkinspread.bench.request_model import RequestModel
from catkinspread.model import InstanceIncarnation
from catkinspread.requests import (
    AnswerCaller,
    CompleteAnswer,
    HandlerAction,
    PeerMessage,
    RequestHandler,
    RequestIdentity,
    RequestParameters,
    SendToPeer,
    SendToUpstream,
    StoreAction,
    StoreEvent,
    identify_request,
    split_answer,
)
from catkinspread.wire import Answer, AnswerStatus, Request

_SERVICE = "recipe-desk"
_NAIVE_TIMEOUT_MS = 1_000
_NAIVE_ATTEMPTS = 3


class InstancePorts(msgspec.Struct, frozen=True):
    """What an instance can reach.

    Attributes:
        read_clock: Returns the time on the clock of the instance, in ms.
        call_store: Executes a store action; the outcome comes back as an event.
        send_peer: Sends a message to another instance.
        send_upstream: Sends a request to the upstream of its flow.
        answer_caller: Sends the parts of an answer to a caller.
        pause: Pauses the process and calls back first thing when it runs again.
    """

    read_clock: Callable[[], int]
    call_store: Callable[[StoreAction], None]
    send_peer: Callable[[InstanceIncarnation, PeerMessage], None]
    send_upstream: Callable[[Request], None]
    answer_caller: Callable[[AnswerCaller], None]
    pause: Callable[[Callable[[], None]], None]


class BenchInstance(Protocol):
    """One run of an instance in the bench."""

    def receive_request(self, request: Request) -> None:
        """Takes a request from a caller."""

    def receive_peer_message(self, message: PeerMessage) -> None:
        """Takes a message from another instance."""

    def receive_answer(self, answer: Answer) -> None:
        """Takes a part of an answer from an upstream."""

    def receive_store_event(self, event: StoreEvent) -> None:
        """Takes the outcome of a store action."""

    def set_live(self, live: frozenset[InstanceIncarnation]) -> None:
        """Takes the live instances."""

    def tick(self) -> None:
        """Does what is due."""


class GuardedInstance:
    """Executes the actions of a RequestHandler."""

    __slots__ = ("_handler", "_ports", "_world")

    def __init__(
        self,
        member: InstanceIncarnation,
        ports: InstancePorts,
        model: RequestModel,
        parameters: RequestParameters | None = None,
    ) -> None:
        self._ports = ports
        self._world = model
        source = random.Random(f"{member.instance}#{member.incarnation}")
        self._handler = RequestHandler(member, source, parameters)

    def receive_request(self, request: Request) -> None:
        """Takes a request from a caller."""
        self._execute(self._handler.handle_request(_SERVICE, request, self._now()))

    def receive_peer_message(self, message: PeerMessage) -> None:
        """Takes a message from another instance."""
        self._execute(self._handler.handle_peer_message(message, self._now()))

    def receive_answer(self, answer: Answer) -> None:
        """Takes a part of an answer from an upstream."""
        self._execute(self._handler.handle_upstream_answer(answer, self._now()))

    def receive_store_event(self, event: StoreEvent) -> None:
        """Takes the outcome of a store action."""
        self._execute(self._handler.handle_store_event(event, self._now()))

    def set_live(self, live: frozenset[InstanceIncarnation]) -> None:
        """Takes the live instances."""
        self._execute(self._handler.set_live_instances(live, self._now()))

    def tick(self) -> None:
        """Does what is due."""
        self._execute(self._handler.tick(self._now()))

    def _now(self) -> int:
        return self._ports.read_clock()

    def _execute(self, actions: list[HandlerAction]) -> None:
        for action in actions:
            match action:
                case SendToUpstream():
                    self._send_or_pause(action)
                case SendToPeer():
                    self._ports.send_peer(action.target, action.message)
                case AnswerCaller():
                    self._ports.answer_caller(action)
                case _:
                    self._ports.call_store(action)

    def _send_or_pause(self, action: SendToUpstream) -> None:
        if self._world.draw(self._world.rates.pause_before_send):
            self._ports.pause(lambda: self._send(action))
        else:
            self._send(action)

    def _send(self, action: SendToUpstream) -> None:
        if self._now() < action.not_after_ms:
            self._ports.send_upstream(action.request)
            return
        reason = "deadline passed at the send"
        self._execute(self._handler.handle_send_refused(action, reason, self._now()))


class _NaiveEntry(msgspec.Struct, eq=False):
    request: Request
    flows: set[int]
    attempt: int = 0
    due_ms: int = 0
    parts: dict[int, bytes] = {}
    answer: CompleteAnswer | None = None


class NaiveInstance:
    """Retries on every error and knows only its own requests.

    A request whose answer is in the local table is not run again. A timeout or a shed leads to
    another attempt; at the deadline, the caller is told that the request has not run.
    """

    __slots__ = ("_entries", "_open", "_ports")

    def __init__(
        self, member: InstanceIncarnation, ports: InstancePorts, model: RequestModel
    ) -> None:
        self._ports = ports
        self._entries: dict[RequestIdentity, _NaiveEntry] = {}
        self._open: dict[RequestIdentity, _NaiveEntry] = {}

    def receive_request(self, request: Request) -> None:
        """Sends a request that is new to this instance."""
        identity = identify_request(request)
        entry = self._entries.get(identity)
        if entry is None:
            entry = _NaiveEntry(request, {request.flow})
            self._entries[identity] = entry
            self._open[identity] = entry
            self._send(entry)
        elif entry.answer is not None:
            self._ports.answer_caller(split_answer(identity, request.flow, entry.answer))
        else:
            entry.flows.add(request.flow)

    def receive_peer_message(self, message: PeerMessage) -> None:
        """Takes nothing: naive instances do not talk to each other."""

    def receive_answer(self, answer: Answer) -> None:
        """Takes a part of an answer from an upstream."""
        for identity, entry in self._open.items():
            if (identity.caller_id, identity.request_id) == (answer.caller_id, answer.request_id):
                self._take_part(identity, entry, answer)
                return

    def receive_store_event(self, event: StoreEvent) -> None:
        """Takes nothing: the naive version does not use the store."""

    def set_live(self, live: frozenset[InstanceIncarnation]) -> None:
        """Takes nothing: the naive version needs no other instances."""

    def tick(self) -> None:
        """Retries and gives up."""
        now_ms = self._ports.read_clock()
        for identity, entry in list(self._open.items()):
            if now_ms >= entry.request.deadline_ms:
                self._finish(
                    identity, entry, CompleteAnswer(AnswerStatus.NOT_RUN, reason="timeout")
                )
            elif now_ms >= entry.due_ms and entry.attempt < _NAIVE_ATTEMPTS:
                self._send(entry)

    def _take_part(self, identity: RequestIdentity, entry: _NaiveEntry, answer: Answer) -> None:
        if answer.status is AnswerStatus.SHED:
            entry.due_ms = self._ports.read_clock()
            return
        entry.parts[answer.part] = answer.body
        if len(entry.parts) == answer.part_count:
            parts = tuple(entry.parts[part] for part in range(answer.part_count))
            self._finish(identity, entry, CompleteAnswer(AnswerStatus.OK, parts))

    def _send(self, entry: _NaiveEntry) -> None:
        entry.attempt += 1
        entry.due_ms = self._ports.read_clock() + _NAIVE_TIMEOUT_MS
        self._ports.send_upstream(entry.request)

    def _finish(
        self, identity: RequestIdentity, entry: _NaiveEntry, answer: CompleteAnswer
    ) -> None:
        del self._open[identity]
        entry.answer = answer
        for flow in sorted(entry.flows):
            self._ports.answer_caller(split_answer(identity, flow, answer))
