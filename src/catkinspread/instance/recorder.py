"""Turns what an instance sees of requests and flows into records."""

import collections
from collections.abc import Callable

import msgspec

from catkinspread.instance.flows import Flow
from catkinspread.limits import CurrentLimits
from catkinspread.model import Configuration
from catkinspread.records import (
    FlowRecord,
    Record,
    RecordStore,
    RequestRecord,
    RequestTimings,
    find_reason,
    register_reason,
)
from catkinspread.wire import Answer, AnswerStatus, Request

# Callers of the reference deployments leave after a few seconds.
SLOW_AFTER_MS = 1_000
_ARRIVALS_MAX = 50_000


@register_reason(
    "request.not-run", "Read the detail; the request did not run and the caller may repeat it."
)
def _describe_not_run(record: Record) -> str:
    return "the request was refused and has not run"


@register_reason(
    "request.outcome-unknown",
    "Read the detail, then ask the upstream whether the request ran before repeating it.",
)
def _describe_outcome_unknown(record: Record) -> str:
    return "the request may have run; its answer is not known"


@register_reason("flow.reset", "Read the detail; the caller has to open a new flow.")
def _describe_reset(record: Record) -> str:
    return "the flow was given up and the caller got a reset"


class _Arrival(msgspec.Struct):
    request: Request
    arrived_at_ms: int
    started_at_ms: int | None = None
    upstream: str = ""


class Recorder:
    """Notes the steps of requests and records those that end slowly or refused.

    Attributes:
        slow_count: Requests answered later than SLOW_AFTER_MS after they arrived.
        refused_count: Requests answered as not run or with unknown outcome.
    """

    __slots__ = (
        "_arrivals",
        "_describe_limits",
        "_instance",
        "refused_count",
        "slow_count",
        "store",
    )

    def __init__(self, instance: str, store: RecordStore) -> None:
        self.store = store
        self.slow_count = 0
        self.refused_count = 0
        self._instance = instance
        self._arrivals: collections.OrderedDict[tuple[int, str, str], _Arrival] = (
            collections.OrderedDict()
        )
        self._describe_limits: Callable[[str, int], CurrentLimits | None] = lambda name, now: None

    def set_limits_source(self, describe: Callable[[str, int], CurrentLimits | None]) -> None:
        """Sets where the limits in force of an upstream are asked for."""
        self._describe_limits = describe

    def note_arrival(self, request: Request, now_ms: int) -> None:
        """Notes that a request arrived; repeats keep the time of the first."""
        key = (request.flow, request.caller_id, request.request_id)
        if key in self._arrivals:
            return
        self._arrivals[key] = _Arrival(request, now_ms)
        if len(self._arrivals) > _ARRIVALS_MAX:
            self._arrivals.popitem(last=False)

    def note_start(self, request: Request, upstream: str, now_ms: int) -> None:
        """Notes that a request is on its way to an upstream."""
        arrival = self._arrivals.get((request.flow, request.caller_id, request.request_id))
        if arrival is not None:
            arrival.upstream = upstream
            arrival.started_at_ms = now_ms

    def note_answer(
        self, flow: Flow, answer: Answer, configuration: Configuration, now_ms: int
    ) -> None:
        """Records a request that was refused or answered slowly."""
        key = (flow.flow_hash, answer.caller_id, answer.request_id)
        arrival = self._arrivals.pop(key, None)
        if arrival is None:
            return
        if answer.status is AnswerStatus.OK:
            if now_ms - arrival.arrived_at_ms < SLOW_AFTER_MS:
                return
            self.slow_count += 1
            reason = _blame_wait(arrival, now_ms)
        else:
            self.refused_count += 1
            reason = _name_refusal(answer)
        self._add(flow, arrival, reason, answer.reason, configuration, now_ms)

    def note_given_up(
        self, flow: Flow, reason: str, upstream: str, configuration: Configuration, now_ms: int
    ) -> None:
        """Records that a flow was given up."""
        code = f"flow.{reason}"
        self.store.add(
            FlowRecord(
                instance=self._instance,
                version=configuration.version,
                service=flow.service,
                upstream=upstream,
                flow=flow.flow_hash,
                limits=None,
                last_packet_at_ms=flow.seen_at_ms,
                given_up_at_ms=now_ms,
                reason=code if find_reason(code) is not None else "flow.reset",
                detail=reason,
            )
        )

    def _add(
        self,
        flow: Flow,
        arrival: _Arrival,
        reason: str,
        detail: str,
        configuration: Configuration,
        now_ms: int,
    ) -> None:
        request = arrival.request
        upstream = arrival.upstream or flow.upstream
        self.store.add(
            RequestRecord(
                instance=self._instance,
                version=configuration.version,
                service=flow.service,
                upstream=upstream,
                flow=flow.flow_hash,
                caller_id=request.caller_id,
                request_id=request.request_id,
                priority=request.priority,
                limits=self._describe_limits(upstream, now_ms) if upstream else None,
                timings=RequestTimings(
                    issued_at_ms=request.issued_at_ms,
                    arrived_at_ms=arrival.arrived_at_ms,
                    started_at_ms=arrival.started_at_ms,
                    ended_at_ms=now_ms,
                    deadline_ms=request.deadline_ms,
                ),
                reason=reason,
                detail=detail,
            )
        )


def _blame_wait(arrival: _Arrival, now_ms: int) -> str:
    started_at_ms = arrival.started_at_ms or now_ms
    waited_ms = started_at_ms - arrival.arrived_at_ms
    return "slow.queue" if waited_ms >= now_ms - started_at_ms else "slow.upstream"


def _name_refusal(answer: Answer) -> str:
    if find_reason(answer.reason) is not None:
        return answer.reason
    if answer.status is AnswerStatus.NOT_RUN:
        return "request.not-run"
    return "request.outcome-unknown"
