"""The path of requests: claims and retries, admission, sending, and answers back."""

import collections

import msgspec

from catkinspread.hashing import hash_request
from catkinspread.instance.actions import (
    Action,
    CallStore,
    SendToPeer,
    SendToUpstream,
    SpreadToPeers,
)
from catkinspread.instance.admissions import Admissions
from catkinspread.instance.messages import RelayedAnswer, RelayedRequest, RelayRefused
from catkinspread.instance.packet_path import CallerPacket, PacketPath
from catkinspread.instance.state import SharedState
from catkinspread.limits import AdmissionAction as LimitAction
from catkinspread.limits import (
    BroadcastNotice,
    CancelRequest,
    ColdStartNotice,
    ExpireRequest,
    RefusalReason,
    RefuseRequest,
    ReplyWithNotice,
    RequestOutcome,
    StartRequest,
    WorkItem,
)
from catkinspread.requests import (
    AnswerCaller,
    DeleteBucket,
    HandlerAction,
    PeerMessage,
    ReadBucket,
    RequestHandler,
    StoreEvent,
    WriteBucket,
)
from catkinspread.requests import (
    SendToPeer as RequestToPeer,
)
from catkinspread.requests import (
    SendToUpstream as RequestToUpstream,
)
from catkinspread.routing import (
    BufferPacket,
    DropPacket,
    ForwardToOwner,
    PacketKind,
    ReleasePackets,
    ResetFlow,
    RouteAction,
)
from catkinspread.routing import SendToUpstream as RouteToUpstream
from catkinspread.wire import Answer, AnswerStatus, Cancel, Request

# Answers of upstreams are expected this long after the deadline, as the request handler does.
_LATE_ANSWER_MS = 10_000
_RELAYS_MAX = 20_000
_WAITING_MAX = 5_000
_SENT_REASONS = (RefusalReason.UPSTREAM_SHED, RefusalReason.NO_ANSWER)


class Job(msgspec.Struct, frozen=True):
    """A request on its way to an upstream.

    Attributes:
        service: Service of its flow.
        request: The request as the upstream gets it.
        not_after_ms: It must not be sent at or after this time.
        is_idempotent: Whether a second run does no harm.
        send: What the request handler of this instance asked for; None for a relayed request.
        origin: Instance that relayed it; empty for an own request.
        relay: Number of the relay at the origin.
    """

    service: str
    request: Request
    not_after_ms: int
    is_idempotent: bool
    send: RequestToUpstream | None = None
    origin: str = ""
    relay: int = 0

    @property
    def key(self) -> tuple[int, str, str]:
        """What the answer of the upstream is matched by."""
        return self.request.flow, self.request.caller_id, self.request.request_id


class _Sent(msgspec.Struct):
    job: Job
    upstream: str
    work_id: int
    is_answered: bool = False


class RequestPath:
    """Carries requests between the request handler, the limits and the upstreams."""

    __slots__ = (
        "_admissions",
        "_copies",
        "_handler",
        "_jobs",
        "_next_relay",
        "_packets",
        "_relays",
        "_sent",
        "_waiting",
        "_state",
    )

    def __init__(
        self,
        state: SharedState,
        packets: PacketPath,
        handler: RequestHandler,
        admissions: Admissions,
    ) -> None:
        self._state = state
        self._packets = packets
        self._handler = handler
        self._admissions = admissions
        # Requests that wait in a queue of the limits, with their upstream, by work id.
        self._jobs: dict[int, tuple[Job, str]] = {}
        # Requests that were sent, in order of sending.
        self._sent: collections.OrderedDict[tuple[int, str, str], _Sent] = collections.OrderedDict()
        # Further copies of requests that wait or were sent, one for each origin.
        self._copies: dict[tuple[int, str, str], list[Job]] = {}
        # Own requests that another instance was asked to send.
        self._relays: collections.OrderedDict[int, RequestToUpstream] = collections.OrderedDict()
        self._next_relay = 1
        # Requests that wait for the pins of their flow.
        self._waiting: dict[tuple[str, int], list[Job]] = {}

    def handle_request(self, caller_packet: CallerPacket, now_ms: int) -> list[Action]:
        """Takes a request from a caller."""
        flow, request = caller_packet.flow, caller_packet.packet
        self._state.recorder.note_arrival(request, now_ms)
        return self._carry(self._handler.handle_request(flow.service, request, now_ms), now_ms)

    def handle_cancel(self, caller_packet: CallerPacket, now_ms: int) -> list[Action]:
        """Takes a cancellation from a caller and passes it on to the upstream of the flow."""
        cancel = caller_packet.packet
        for work_id, (job, upstream) in list(self._jobs.items()):
            if job.key == (cancel.flow, cancel.caller_id, cancel.request_id):
                controller = self._admissions.find(upstream)
                if controller is not None:
                    return self._limit(upstream, controller.cancel(work_id, now_ms), now_ms)
        return self._packets.carry(caller_packet, now_ms)

    def handle_peer(self, message: PeerMessage, now_ms: int) -> list[Action]:
        """Takes a message of the request handler of another instance."""
        return self._carry(self._handler.handle_peer_message(message, now_ms), now_ms)

    def handle_relayed(self, sender: str, message: RelayedRequest, now_ms: int) -> list[Action]:
        """Takes a request that another instance asks this one to send."""
        job = Job(
            service=message.header.service,
            request=message.request,
            not_after_ms=message.not_after_ms,
            is_idempotent=message.is_idempotent,
            origin=sender,
            relay=message.relay,
        )
        route = self._state.router.route_forwarded(message.header, now_ms)
        return self._follow(route, job, now_ms)

    def handle_relayed_answer(self, message: RelayedAnswer, now_ms: int) -> list[Action]:
        """Takes a part of the answer to a request that another instance sent."""
        return self._carry(self._handler.handle_upstream_answer(message.answer, now_ms), now_ms)

    def handle_relay_refused(self, message: RelayRefused, now_ms: int) -> list[Action]:
        """Takes the report that a relayed request was not sent."""
        send = self._relays.pop(message.relay, None)
        if send is None:
            return []
        return self._carry(self._handler.handle_send_refused(send, message.reason, now_ms), now_ms)

    def handle_answer(self, answer: Answer, now_ms: int) -> list[Action]:
        """Takes a part of an answer from an upstream."""
        key = (answer.flow, answer.caller_id, answer.request_id)
        sent = self._sent.get(key)
        if sent is None:
            return self._carry(self._handler.handle_upstream_answer(answer, now_ms), now_ms)
        sent.is_answered = True
        outcome = (
            RequestOutcome.SHED if answer.status is AnswerStatus.SHED else RequestOutcome.SUCCEEDED
        )
        actions: list[Action] = []
        controller = self._admissions.find(sent.upstream)
        if controller is not None:
            completed = controller.complete(sent.work_id, outcome, now_ms)
            actions = self._limit(sent.upstream, completed, now_ms)
        for job in (sent.job, *self._copies.get(key, ())):
            if job.origin:
                actions.append(SendToPeer(job.origin, RelayedAnswer(answer)))
            else:
                handler_actions = self._handler.handle_upstream_answer(answer, now_ms)
                actions += self._carry(handler_actions, now_ms)
        return actions

    def handle_store_event(self, event: StoreEvent, now_ms: int) -> list[Action]:
        """Takes the outcome of a store action."""
        return self._carry(self._handler.handle_store_event(event, now_ms), now_ms)

    def handle_notice(self, sender: str, notice: ColdStartNotice, now_ms: int) -> list[Action]:
        """Takes the notice of another instance that an upstream is cold."""
        if notice.upstream not in self._state.configuration.upstreams:
            return []
        controller = self._admissions.get(notice.upstream, now_ms)
        actions = controller.handle_notice(notice, now_ms)
        return self._limit(notice.upstream, actions, now_ms, sender)

    def release(self, released: ReleasePackets, now_ms: int) -> list[Action]:
        """Routes the requests that waited for the pins of a flow."""
        actions: list[Action] = []
        for job in self._waiting.pop((released.service, released.flow), []):
            actions += self._follow(released.action, job, now_ms)
        return actions

    def update_members(self, now_ms: int) -> list[Action]:
        """Takes a change of the live instances."""
        live = frozenset(view.member for view in self._state.members.values())
        return self._carry(self._handler.set_live_instances(live, now_ms), now_ms)

    def send_cold_starts(self, instance: str, now_ms: int) -> list[Action]:
        """Tells an instance that has joined which upstreams became cold without a change."""
        notices = self._admissions.list_notices(now_ms)
        return [SendToPeer(instance, notice) for notice in notices]

    def update_configuration(self, now_ms: int) -> list[Action]:
        """Takes a new configuration."""
        actions: list[Action] = []
        for upstream, action in self._admissions.update(now_ms):
            actions += self._limit(upstream, [action], now_ms)
        return actions

    def tick(self, now_ms: int) -> list[Action]:
        """Does what is due."""
        actions = self._carry(self._handler.tick(now_ms), now_ms)
        for upstream, controller in self._admissions.list_active():
            actions += self._limit(upstream, controller.tick(now_ms), now_ms)
        self._forget_sent(now_ms)
        return actions

    def count_open(self, now_ms: int) -> int:
        """Returns the number of requests that wait here, or were sent and may be answered yet.

        An upstream does not start a request after its deadline and then never answers it.
        """
        unanswered = sum(
            not sent.is_answered and now_ms < sent.job.not_after_ms for sent in self._sent.values()
        )
        return len(self._jobs) + sum(map(len, self._waiting.values())) + unanswered

    def _carry(self, handler_actions: list[HandlerAction], now_ms: int) -> list[Action]:
        """Turns the actions of the request handler into those of the instance."""
        actions: list[Action] = []
        for action in handler_actions:
            match action:
                case AnswerCaller(flow, answers):
                    known = self._packets.flows.find(flow)
                    if known is None:
                        self._state.drop("unknown-flow")
                        continue
                    self._state.recorder.note_answer(
                        known, answers[0], self._state.configuration, now_ms
                    )
                    for answer in answers:
                        actions += self._packets.send_to_flow(known, answer)
                case RequestToUpstream():
                    actions += self._start(action, now_ms)
                case RequestToPeer(target, message):
                    actions.append(SendToPeer(target.instance, message, target.incarnation))
                case ReadBucket() | WriteBucket() | DeleteBucket():
                    actions.append(CallStore(action))
        return actions

    def _start(self, send: RequestToUpstream, now_ms: int) -> list[Action]:
        job = Job(send.service, send.request, send.not_after_ms, send.is_idempotent, send)
        flow = send.request.flow
        route = self._state.router.route(PacketKind.DATA, send.service, flow, now_ms)
        return self._follow(route, job, now_ms)

    def _follow(self, route: RouteAction, job: Job, now_ms: int) -> list[Action]:
        match route:
            case RouteToUpstream(upstream):
                return self._submit(job, upstream.name, now_ms)
            case ForwardToOwner(member, header):
                if job.send is None:
                    return self._refuse(job, "forward-limit", now_ms)
                return [SendToPeer(member.instance, self._relay(job, header), member.incarnation)]
            case BufferPacket():
                waiting = self._waiting.setdefault((job.service, job.request.flow), [])
                if len(waiting) >= _WAITING_MAX:
                    return self._refuse(job, "too-many-waiting", now_ms)
                waiting.append(job)
                return []
            case DropPacket(reason) | ResetFlow(reason):
                return self._refuse(job, reason.value, now_ms)

    def _relay(self, job: Job, header) -> RelayedRequest:
        relay = self._next_relay
        self._next_relay += 1
        self._relays[relay] = job.send
        if len(self._relays) > _RELAYS_MAX:
            self._relays.popitem(last=False)
        return RelayedRequest(relay, header, job.request, job.not_after_ms, job.is_idempotent)

    def _submit(self, job: Job, upstream: str, now_ms: int) -> list[Action]:
        flow, caller_id, request_id = job.key
        work_id = hash_request(caller_id, request_id, flow)
        first = self._find_first(job.key, work_id, upstream, now_ms)
        if first is not None:
            self._add_copy(first, job)
            return []
        self._copies.pop(job.key, None)
        service = self._state.configuration.services[job.service]
        # The priority that a caller states is not trusted.
        priority = service.priority if job.is_idempotent else 0
        self._jobs[work_id] = (job, upstream)
        work = WorkItem(work_id, priority, job.not_after_ms, job.is_idempotent, now_ms)
        controller = self._admissions.get(upstream, now_ms)
        return self._limit(upstream, controller.submit(work, now_ms), now_ms)

    def _find_first(
        self, key: tuple[int, str, str], work_id: int, upstream: str, now_ms: int
    ) -> Job | None:
        """Returns the copy of a request that waits or is in flight at an upstream; None if none."""
        if work_id in self._jobs:
            return self._jobs[work_id][0]
        sent = self._sent.get(key)
        if sent is None or sent.is_answered or sent.upstream != upstream:
            return None
        return sent.job if now_ms < sent.job.not_after_ms else None

    def _add_copy(self, first: Job, job: Job) -> None:
        """Notes that the origin of a copy gets the answer too."""
        copies = self._copies.setdefault(job.key, [])
        if all(known.origin != job.origin for known in (first, *copies)):
            copies.append(job)

    def _limit(
        self, upstream: str, limit_actions: list[LimitAction], now_ms: int, sender: str = ""
    ) -> list[Action]:
        """Turns the actions of the limits of an upstream into those of the instance."""
        actions: list[Action] = []
        for action in limit_actions:
            match action:
                case StartRequest(work):
                    actions += self._send(upstream, work, now_ms)
                case RefuseRequest(work, reason) | ExpireRequest(work, reason):
                    actions += self._refuse_work(work, reason, now_ms)
                case CancelRequest(work):
                    actions += self._cancel_run(upstream, work)
                case BroadcastNotice(notice):
                    actions.append(SpreadToPeers(notice))
                case ReplyWithNotice(notice) if sender:
                    actions.append(SendToPeer(sender, notice))
        return actions

    def _send(self, upstream: str, work: WorkItem, now_ms: int) -> list[Action]:
        job, _ = self._jobs.pop(work.work_id)
        self._state.recorder.note_start(job.request, upstream, now_ms)
        self._sent[job.key] = _Sent(job, upstream, work.work_id)
        endpoint = self._state.configuration.upstreams[upstream].endpoint
        return [SendToUpstream(endpoint, job.request, job.not_after_ms)]

    def _refuse_work(self, work: WorkItem, reason: RefusalReason, now_ms: int) -> list[Action]:
        if reason in _SENT_REASONS:
            return []
        entry = self._jobs.pop(work.work_id, None)
        if entry is None:
            return []
        job, _ = entry
        actions: list[Action] = []
        for refused in (job, *self._copies.pop(job.key, ())):
            actions += self._refuse(refused, reason.value, now_ms)
        return actions

    def _refuse(self, job: Job, reason: str, now_ms: int) -> list[Action]:
        """Reports that a request was not sent and will not be."""
        if job.origin:
            return [SendToPeer(job.origin, RelayRefused(job.relay, reason))]
        return self._carry(self._handler.handle_send_refused(job.send, reason, now_ms), now_ms)

    def _cancel_run(self, upstream: str, work: WorkItem) -> list[Action]:
        configured = self._state.configuration.upstreams.get(upstream)
        for sent in self._sent.values():
            if sent.work_id == work.work_id and configured is not None:
                return [SendToUpstream(configured.endpoint, Cancel(*sent.job.key))]
        return []

    def _forget_sent(self, now_ms: int) -> None:
        while self._sent:
            key, sent = next(iter(self._sent.items()))
            if now_ms <= sent.job.not_after_ms + _LATE_ANSWER_MS:
                break
            del self._sent[key]
            self._copies.pop(key, None)
