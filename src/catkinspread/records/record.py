"""Records of slow or refused requests and of flows that were given up."""

import msgspec

from catkinspread.hashing import hash_request
from catkinspread.limits import CurrentLimits


class BatchDecodeError(Exception):
    """A stored batch of records is malformed."""


class RequestTimings(msgspec.Struct, array_like=True, frozen=True):
    """When the steps of a request happened, in ms since the epoch; None if one did not.

    Attributes:
        issued_at_ms: The caller first sent it, on the clock of the caller.
        arrived_at_ms: This instance received it.
        started_at_ms: It was sent to the upstream.
        ended_at_ms: It was answered or refused.
        deadline_ms: It had to be answered.
    """

    issued_at_ms: int
    arrived_at_ms: int
    started_at_ms: int | None
    ended_at_ms: int
    deadline_ms: int

    @property
    def queued_ms(self) -> int:
        """Time in the queue of this instance in ms."""
        left_at_ms = self.ended_at_ms if self.started_at_ms is None else self.started_at_ms
        return left_at_ms - self.arrived_at_ms

    @property
    def upstream_ms(self) -> int | None:
        """Time at the upstream in ms, or None if it was not sent."""
        return None if self.started_at_ms is None else self.ended_at_ms - self.started_at_ms


class RequestRecord(msgspec.Struct, array_like=True, frozen=True, tag="request"):
    """Why one request was slow or refused.

    Attributes:
        instance: Name of the instance that wrote the record.
        version: Version of the configuration in force.
        service: Name of the service.
        upstream: Name of the upstream; empty if none was chosen.
        flow: Flow hash.
        caller_id: Name the caller gives itself.
        request_id: Id that the caller gave the request.
        priority: Priority of the request.
        limits: Limits in force when it ended, or None if no upstream was chosen.
        timings: When its steps happened.
        reason: Code of a registered reason.
        detail: More facts in plain words; may be empty.
    """

    instance: str
    version: int
    service: str
    upstream: str
    flow: int
    caller_id: str
    request_id: str
    priority: int
    limits: CurrentLimits | None
    timings: RequestTimings
    reason: str
    detail: str = ""

    @property
    def identity(self) -> int:
        """Hash of the identity of the request."""
        return hash_request(self.caller_id, self.request_id, self.timings.issued_at_ms)

    @property
    def recorded_at_ms(self) -> int:
        """When the recorded event happened, in ms since the epoch."""
        return self.timings.ended_at_ms


class FlowRecord(msgspec.Struct, array_like=True, frozen=True, tag="flow"):
    """Why one flow was given up.

    Attributes:
        instance: Name of the instance that wrote the record.
        version: Version of the configuration in force.
        service: Name of the service.
        upstream: Name of the upstream that held the flow; empty if unknown.
        flow: Flow hash.
        limits: Limits in force, or None if unknown.
        last_packet_at_ms: Latest packet of the flow seen here, or None if none was.
        given_up_at_ms: When the flow was given up.
        reason: Code of a registered reason.
        detail: More facts in plain words; may be empty.
    """

    instance: str
    version: int
    service: str
    upstream: str
    flow: int
    limits: CurrentLimits | None
    last_packet_at_ms: int | None
    given_up_at_ms: int
    reason: str
    detail: str = ""

    @property
    def recorded_at_ms(self) -> int:
        """When the recorded event happened, in ms since the epoch."""
        return self.given_up_at_ms


Record = RequestRecord | FlowRecord

_ENCODER = msgspec.msgpack.Encoder()
_BATCH_DECODER = msgspec.msgpack.Decoder(tuple[Record, ...])


def encode_record(record: Record) -> bytes:
    """Returns the encoded form of one record."""
    return _ENCODER.encode(record)


def encode_batch(encoded: list[bytes]) -> bytes:
    """Returns the batch of records that are already encoded."""
    return _ENCODER.encode([msgspec.Raw(record) for record in encoded])


def decode_batch(payload: bytes) -> tuple[Record, ...]:
    """Returns the records of a stored batch.

    Raises:
        BatchDecodeError: If the payload is malformed.
    """
    try:
        return _BATCH_DECODER.decode(payload)
    except msgspec.DecodeError as error:
        raise BatchDecodeError(f"batch of records is malformed: {error}") from error
