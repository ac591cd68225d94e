"""A seeded model for the request benches: object store, upstreams, links and the run_log.

Everything runs on one EventQueue. Faults that are drawn for each call or packet come from the
random source of the model; planned faults come from a schedule (see request_faults).
"""

import random
from collections import Counter
from collections.abc import Callable

import msgspec

from catkinspread.bench.events import EventQueue
from catkinspread.hashing import hash_text
from catkinspread.requests import (
    BucketRead,
    BucketReadFailed,
    BucketWriteConflicted,
    BucketWriteFailed,
    BucketWriteOutcomeUnknown,
    BucketWritten,
    DeleteBucket,
    ReadBucket,
    RequestIdentity,
    StoreAction,
    StoreEvent,
    WriteBucket,
    identify_request,
)
from catkinspread.wire import Answer, AnswerStatus, Request

START_MS = 1_800_000_000_000
_ATTEMPT_SEPARATOR = "\x1f"


class ModelRates(msgspec.Struct, frozen=True):
    """Probabilities of the faults that are drawn for each call or packet.

    Attributes:
        packet_loss: A packet between callers and instances, or between instances, is lost.
        packet_copy: Such a packet, or an answer of an upstream, is delivered twice.
        packet_late: Such a packet is delayed by up to `late_max_ms`.
        late_max_ms: Largest delay of a late packet.
        upstream_loss: A request to an upstream or a part of its answer is lost.
        answer_crossed: An answer of an upstream reaches another instance.
        shed: An upstream refuses to start a request.
        slow_run: A run takes up to `slow_run_max_ms`.
        slow_run_max_ms: Longest run.
        store_answer_lost: A write takes effect and its answer is lost.
        store_write_lost: A write has no effect and its answer is lost.
        store_write_late: The answer is lost and the write takes effect later.
        store_late_max_ms: Largest delay of a late write.
        store_silent: A call has no effect and no answer at all.
        store_stale: A read returns the version before the latest.
        pause_before_send: The process pauses between the decision to send and the send.
    """

    packet_loss: float = 0.02
    packet_copy: float = 0.03
    packet_late: float = 0.02
    late_max_ms: int = 8_000
    upstream_loss: float = 0.005
    answer_crossed: float = 0.005
    shed: float = 0.05
    slow_run: float = 0.02
    slow_run_max_ms: int = 5_000
    store_answer_lost: float = 0.01
    store_write_lost: float = 0.01
    store_write_late: float = 0.02
    store_late_max_ms: int = 3_000
    store_silent: float = 0.002
    store_stale: float = 0.005
    pause_before_send: float = 0.003


# Belongs to request_faults.STRESS_PLAN.
STRESS_RATES = ModelRates(
    packet_loss=0.05,
    packet_copy=0.2,
    packet_late=0.1,
    answer_crossed=0.02,
    shed=0.3,
    slow_run=0.1,
    store_answer_lost=0.08,
    store_write_lost=0.08,
    store_write_late=0.15,
    store_silent=0.01,
    pause_before_send=0.03,
)


class RunLog(msgspec.Struct):
    """What really happened.

    Attributes:
        runs: Number of runs by request.
        not_run: Requests for which some instance answered NOT_RUN.
        wrong_answer_count: Answers that were not whole or not for the request of the flow.
        late_send_count: Requests sent after deadline and clock skew.
        sent_count: Requests sent to upstreams, retries included.
        store_read_count: Reads of the store.
        store_write_count: Writes of the store, failed ones included.
        store_write_bytes: Size of all values written.
    """

    runs: Counter[RequestIdentity] = msgspec.field(default_factory=Counter)
    not_run: set[RequestIdentity] = msgspec.field(default_factory=set)
    wrong_answer_count: int = 0
    late_send_count: int = 0
    sent_count: int = 0
    store_read_count: int = 0
    store_write_count: int = 0
    store_write_bytes: int = 0


def strip_attempt(request: Request) -> RequestIdentity:
    """Returns the identity of a request as its caller knows it."""
    identity = identify_request(request)
    request_id = identity.request_id.split(_ATTEMPT_SEPARATOR)[0]
    return msgspec.structs.replace(identity, request_id=request_id)


def make_bodies(identity: RequestIdentity, is_idempotent: bool, run: int) -> list[bytes]:
    """Returns the parts of the answer of one run; an idempotent run always answers the same."""
    part_count = 1 + identity.claim_hash % 3
    run_text = "same" if is_idempotent else str(run)
    return [
        f"{identity.caller_id}/{identity.request_id}/{run_text}/{part}/{part_count}".encode()
        for part in range(part_count)
    ]


def is_whole_answer(identity: RequestIdentity, bodies: list[bytes]) -> bool:
    """Returns whether the parts are those of one run of a request, complete and in order."""
    fields = [body.decode().split("/") for body in bodies]
    expected = [
        [identity.caller_id, identity.request_id, fields[0][2], str(part), str(len(bodies))]
        for part in range(len(bodies))
    ]
    return fields == expected and len(bodies) == 1 + identity.claim_hash % 3


class RequestModel:
    """The event queue, the faults in force and the run_log.

    Attributes:
        queue: The event queue.
        random: Source of all draws.
        rates: Probabilities of faults.
        run_log: What really happened.
        is_store_down: Whether the store refuses every call.
    """

    __slots__ = ("is_store_down", "run_log", "queue", "random", "rates")

    def __init__(self, seed: int, rates: ModelRates) -> None:
        self.queue = EventQueue(START_MS)
        self.random = random.Random(seed)
        self.rates = rates
        self.run_log = RunLog()
        self.is_store_down = False

    @property
    def now_ms(self) -> int:
        """The true time."""
        return self.queue.clock.now_ms()

    def draw(self, probability: float) -> bool:
        """Returns True with a probability."""
        return self.random.random() < probability

    def deliver(self, callback: Callable[[], None], loss: float) -> None:
        """Delivers a packet over a link with loss, copies, delay and reordering."""
        if self.draw(loss):
            return
        copies = 2 if self.draw(self.rates.packet_copy) else 1
        for _ in range(copies):
            delay_ms = self.random.randint(1, 10)
            if self.draw(self.rates.packet_late):
                delay_ms += self.random.randint(0, self.rates.late_max_ms)
            self.queue.schedule(delay_ms, callback)


class ModelStore:
    """The claim buckets, with conditional writes that get lost or take effect late."""

    __slots__ = ("_objects", "_previous", "_world")

    def __init__(self, model: RequestModel) -> None:
        self._world = model
        self._objects: dict[str, tuple[int, bytes]] = {}
        self._previous: dict[str, tuple[int, bytes]] = {}

    def call(
        self, action: StoreAction, is_reachable: bool, report: Callable[[StoreEvent], None]
    ) -> None:
        """Executes an action and reports its outcome later, or never."""
        model = self._world
        delay_ms = model.random.randint(2, 20)
        if not is_reachable or model.is_store_down:
            model.queue.schedule(50 + delay_ms, lambda: self._refuse(action, report))
        elif model.draw(model.rates.store_silent):
            return
        elif isinstance(action, ReadBucket):
            model.queue.schedule(delay_ms, lambda: self._read(action, report))
        elif isinstance(action, WriteBucket):
            model.queue.schedule(delay_ms, lambda: self._write(action, report))
        else:
            model.queue.schedule(delay_ms, lambda: self._delete(action))

    def _refuse(self, action: StoreAction, report: Callable[[StoreEvent], None]) -> None:
        if isinstance(action, ReadBucket):
            report(BucketReadFailed(action.bucket, action.operation))
        elif isinstance(action, WriteBucket):
            report(BucketWriteFailed(action.bucket, action.operation))

    def _read(self, action: ReadBucket, report: Callable[[StoreEvent], None]) -> None:
        self._world.run_log.store_read_count += 1
        is_stale = self._world.draw(self._world.rates.store_stale)
        objects = self._previous if is_stale else self._objects
        version, value = objects.get(action.bucket.key, (0, b""))
        event = BucketRead(action.bucket, action.operation, version, value)
        self._report_later(event, report)

    def _write(self, action: WriteBucket, report: Callable[[StoreEvent], None]) -> None:
        model, rates = self._world, self._world.rates
        model.run_log.store_write_count += 1
        model.run_log.store_write_bytes += len(action.value)
        unknown = BucketWriteOutcomeUnknown(action.bucket, action.operation)
        draw = model.random.random()
        if draw < rates.store_write_lost:
            self._report_later(unknown, report)
            return
        if draw < rates.store_write_lost + rates.store_write_late:
            late_ms = model.random.randint(1, rates.store_late_max_ms)
            model.queue.schedule(late_ms, lambda: self._apply(action))
            self._report_later(unknown, report)
            return
        is_applied = self._apply(action)
        if draw > 1 - rates.store_answer_lost:
            self._report_later(unknown, report)
        elif is_applied:
            version = action.expected_version + 1
            event = BucketWritten(action.bucket, action.operation, version)
            self._report_later(event, report)
        else:
            self._report_later(BucketWriteConflicted(action.bucket, action.operation), report)

    def _apply(self, action: WriteBucket) -> bool:
        version, value = self._objects.get(action.bucket.key, (0, b""))
        if version != action.expected_version:
            return False
        self._previous[action.bucket.key] = (version, value)
        self._objects[action.bucket.key] = (version + 1, action.value)
        return True

    def _delete(self, action: DeleteBucket) -> None:
        self._objects.pop(action.bucket.key, None)

    def _report_later(self, event: StoreEvent, report: Callable[[StoreEvent], None]) -> None:
        self._world.queue.schedule(self._world.random.randint(1, 5), lambda: report(event))


class ModelUpstreams:
    """Upstreams that run every request they accept and count the runs.

    They do not recognise copies and ignore deadlines, which is the worst case.
    """

    __slots__ = ("_world",)

    def __init__(self, model: RequestModel) -> None:
        self._world = model

    def receive(self, request: Request, answer: Callable[[Answer], None]) -> None:
        """Takes a request and answers in parts, or sheds it."""
        model = self._world
        if model.draw(model.rates.shed):
            answer(Answer(request.flow, request.caller_id, request.request_id, AnswerStatus.SHED))
            return
        identity = strip_attempt(request)
        model.run_log.runs[identity] += 1
        bodies = make_bodies(identity, request.idempotent, model.run_log.runs[identity])
        run_ms = model.random.randint(2, 40)
        if model.draw(model.rates.slow_run):
            run_ms += model.random.randint(0, model.rates.slow_run_max_ms)
        for part, body in enumerate(bodies):
            packet = Answer(
                flow=request.flow,
                caller_id=request.caller_id,
                request_id=request.request_id,
                status=AnswerStatus.OK,
                part=part,
                part_count=len(bodies),
                body=body,
            )
            model.queue.schedule(run_ms, lambda packet=packet: answer(packet))


def hash_flow_name(caller_id: str, index: int) -> int:
    """Returns the hash of one of the flows of a caller."""
    return hash_text(f"{caller_id}:{index}")
