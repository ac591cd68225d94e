"""Record types of slow or refused requests and of abandoned flows, and their encoding."""

import msgspec

from catkinspread.hashing import hash_request
from catkinspread.limits import CurrentLimits


class BatchDecodeError(Exception):
    """A stored batch of records could not be decoded."""


class RequestTimings(msgspec.Struct, array_like=True, frozen=True):
    """Timestamps of a request in ms since the epoch.

    They are by the clock of this instance unless stated otherwise.

    Attributes:
        issued_at_ms: When the caller first sent it, by the clock of the caller.
        arrived_at_ms: When this instance received it.
        started_at_ms: When it was sent to the upstream, or None if it was not sent.
        ended_at_ms: When it was answered or refused.
        deadline_ms: When the caller stops waiting for the answer, by the clock of the caller.
    """

    issued_at_ms: int
    arrived_at_ms: int
    started_at_ms: int | None
    ended_at_ms: int
    deadline_ms: int

    @property
    def queued_ms(self) -> int:
        """Time in ms that the request spent in the queue of this instance."""
        dequeued_at_ms = self.ended_at_ms if self.started_at_ms is None else self.started_at_ms
        return dequeued_at_ms - self.arrived_at_ms

    @property
    def upstream_ms(self) -> int | None:
        """Time in ms from sending the request to the upstream to its end, or None if not sent."""
        return None if self.started_at_ms is None else self.ended_at_ms - self.started_at_ms


class RequestRecord(msgspec.Struct, array_like=True, frozen=True, tag="request"):
    """Record of a slow or refused request.

    Attributes:
        instance: Name of the instance that wrote the record.
        version: Version of the configuration in use when the record was written.
        service: Name of the service.
        upstream: Name of the upstream; empty if none was chosen.
        flow: Hash of the flow, as `hash_flow` returns it.
        caller_id: Identifier chosen by the caller, the same on all its flows.
        request_id: Identifier that the caller assigned to the request.
        priority: 0 is the highest; requests with larger numbers are shed first.
        limits: Limits that applied when it ended, or None if no upstream was chosen.
        timings: Timestamps of the request.
        reason: Code of the reason; see `register_reason`.
        detail: Further information as text; may be empty.
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
    def identity_hash(self) -> int:
        """Hash of the request identity, as `hash_request` returns it."""
        return hash_request(self.caller_id, self.request_id, self.timings.issued_at_ms)

    @property
    def event_at_ms(self) -> int:
        """When the request was answered or refused, in ms since the epoch."""
        return self.timings.ended_at_ms


class FlowRecord(msgspec.Struct, array_like=True, frozen=True, tag="flow"):
    """Record of an abandoned flow.

    Attributes:
        instance: Name of the instance that wrote the record.
        version: Version of the configuration in use when the record was written.
        service: Name of the service.
        upstream: Name of the upstream that served the flow; empty if unknown.
        flow: Hash of the flow, as `hash_flow` returns it.
        limits: Limits that applied when it was abandoned, or None if unknown.
        last_packet_at_ms: When this instance last received a packet of the flow, or None if it
            received none.
        given_up_at_ms: When the flow was abandoned.
        reason: Code of the reason; see `register_reason`.
        detail: Further information as text; may be empty.
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
    def event_at_ms(self) -> int:
        """When the flow was abandoned, in ms since the epoch."""
        return self.given_up_at_ms


Record = RequestRecord | FlowRecord

_ENCODER = msgspec.msgpack.Encoder()
_BATCH_DECODER = msgspec.msgpack.Decoder(tuple[Record, ...])


def encode_record(record: Record) -> bytes:
    """Encodes one record."""
    return _ENCODER.encode(record)


def encode_batch(encoded: list[bytes]) -> bytes:
    """Encodes a batch of records, each of which is already encoded."""
    return _ENCODER.encode([msgspec.Raw(record) for record in encoded])


def decode_batch(payload: bytes) -> tuple[Record, ...]:
    """Decodes a stored batch of records.

    Raises:
        BatchDecodeError: If the payload is malformed.
    """
    try:
        return _BATCH_DECODER.decode(payload)
    except msgspec.DecodeError as error:
        raise BatchDecodeError(
            f"record batch of {len(payload)} bytes is malformed: {error}"
        ) from error
