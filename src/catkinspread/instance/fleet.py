"""What the operators' language asks the running instances for."""

import itertools
from collections.abc import Callable

import anyio

from catkinspread.hashing import hash_flow
from catkinspread.instance.core import InstanceCore
from catkinspread.instance.messages import PeerBody, RecordsAsked, RecordsFound
from catkinspread.membership import MembershipView
from catkinspread.model import Endpoint, InstanceIncarnation
from catkinspread.operations import RecordLine
from catkinspread.records import FlowRecord, Record, describe_record, find_reason

# Peers are milliseconds away; one that does not answer in this time is cut off or overloaded.
_ANSWER_TIMEOUT_MS = 1_000
_LINES_PER_ANSWER_MAX = 20


class RunningFleet:
    """Answers from this instance and its peers."""

    __slots__ = ("_answers", "_core", "_missing", "_numbers", "_send", "_view")

    def __init__(
        self, core: InstanceCore, view: MembershipView, send: Callable[[str, PeerBody], None]
    ) -> None:
        """Creates a source for one instance.

        Args:
            core: The instance.
            view: The other instances.
            send: Sends a message to an instance by name.
        """
        self._core = core
        self._view = view
        self._send = send
        self._numbers = itertools.count(1)
        self._answers: dict[int, list[RecordLine]] = {}
        self._missing: dict[int, set[str]] = {}

    def list_live_members(self) -> dict[str, tuple[InstanceIncarnation, ...]]:
        """Returns the live instances by data centre."""
        members: dict[str, list[InstanceIncarnation]] = {}
        for view in self._core.state.members.values():
            members.setdefault(view.data_centre, []).append(view.member)
        return {data_centre: tuple(found) for data_centre, found in members.items()}

    async def read_versions(self) -> dict[str, int]:
        """Returns the version in force by live instance."""
        return {view.name: view.version for view in self._core.state.members.values()}

    async def count_flows(self, service: str) -> dict[str, int]:
        """Returns the flows that passed this instance by upstream, as an estimate."""
        return self._core.packets.flows.count_by_upstream(service)

    async def find_flow_records(self, service: str, caller: Endpoint) -> list[RecordLine]:
        """Returns the records of a flow from all live instances, oldest first."""
        flow = hash_flow(service, caller.host, caller.port)
        return await self._ask(RecordsAsked(next(self._numbers), flow=flow))

    async def find_request_records(self, service: str, request_id: str) -> list[RecordLine]:
        """Returns the records of a request from all live instances, oldest first."""
        return await self._ask(
            RecordsAsked(next(self._numbers), service=service, request_id=request_id)
        )

    def handle_asked(self, sender: str, message: RecordsAsked) -> None:
        """Answers another instance."""
        self._send(sender, RecordsFound(message.number, tuple(self._find_own(message))))

    def handle_found(self, sender: str, message: RecordsFound) -> None:
        """Takes the answer of another instance."""
        if message.number in self._answers:
            self._answers[message.number] += message.lines
            self._missing[message.number].discard(sender)

    async def _ask(self, question: RecordsAsked) -> list[RecordLine]:
        number = question.number
        self._answers[number] = self._find_own(question)
        self._missing[number] = set(self._view.list_live()) - {self._view.own.member}
        for peer in self._missing[number]:
            self._send(peer, question)
        with anyio.move_on_after(_ANSWER_TIMEOUT_MS / 1000):
            while self._missing[number]:
                await anyio.sleep(0.01)
        lines = self._answers.pop(number)
        self._missing.pop(number)
        return sorted(lines, key=lambda line: line.at_ms)

    def _find_own(self, question: RecordsAsked) -> list[RecordLine]:
        store = self._core.state.recorder.store
        if question.request_id:
            found = store.find_by_request_id(question.service, question.request_id)
        else:
            records = store.find_by_flow(question.flow)
            found = records if isinstance(records, list) else []
        return [make_line(record) for record in found[-_LINES_PER_ANSWER_MAX:]]


def make_line(record: Record) -> RecordLine:
    """Returns a record as a line for operators."""
    reason = find_reason(record.reason)
    parts = [describe_record(record)]
    if record.detail:
        parts.append(f"detail: {record.detail}")
    if not isinstance(record, FlowRecord):
        timings = record.timings
        parts.append(f"waited {timings.queued_ms} ms")
        if timings.upstream_ms is not None:
            parts.append(f"ran {timings.upstream_ms} ms")
        parts.append(f"deadline after {timings.deadline_ms - timings.issued_at_ms} ms")
    if record.limits is not None:
        limits = record.limits
        parts.append(
            f"limits: {limits.concurrent}/{limits.concurrent_max} running, "
            f"{limits.queued} queued, share {limits.share_per_s:.1f}/s"
        )
    if reason is not None:
        parts.append(f"hint: {reason.hint}")
    return RecordLine(
        at_ms=record.event_at_ms,
        instance=record.instance,
        version=record.version,
        upstream=record.upstream,
        detail="; ".join(parts),
    )
