"""Records of slow or refused requests and of abandoned flows, for diagnosis by operators."""

from catkinspread.records.reasons import (
    Reason,
    describe_record,
    find_reason,
    list_reasons,
    register_reason,
)
from catkinspread.records.record import (
    BatchDecodeError,
    FlowRecord,
    Record,
    RequestRecord,
    RequestTimings,
    decode_batch,
    encode_batch,
    encode_record,
)
from catkinspread.records.store import (
    BATCH_INTERVAL_MS,
    BATCH_MAX_BYTES,
    RING_CAPACITY,
    NoRecordFound,
    RecordCounts,
    RecordStore,
    UnknownReason,
    WriteBatch,
    WriteOutcome,
)

__all__ = [
    "BATCH_INTERVAL_MS",
    "BATCH_MAX_BYTES",
    "RING_CAPACITY",
    "BatchDecodeError",
    "FlowRecord",
    "NoRecordFound",
    "Reason",
    "Record",
    "RecordCounts",
    "RecordStore",
    "RequestRecord",
    "RequestTimings",
    "UnknownReason",
    "WriteBatch",
    "WriteOutcome",
    "decode_batch",
    "describe_record",
    "encode_batch",
    "encode_record",
    "find_reason",
    "list_reasons",
    "register_reason",
]
