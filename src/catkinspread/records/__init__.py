"""Records that explain slow or refused requests and flows that were given up."""

from catkinspread.records.reasons import (
    Reason,
    describe_record,
    find_reason,
    list_reasons,
    register_reason,
)
from catkinspread.records.record import (
    FlowRecord,
    Record,
    RecordError,
    RequestRecord,
    RequestTimings,
    decode_batch,
    encode_record,
    join_records,
)
from catkinspread.records.store import (
    BATCH_INTERVAL_MS,
    BATCH_MAX_BYTES,
    RING_CAPACITY,
    NotRecorded,
    RecordNotValid,
    RecordStore,
    StoreCounts,
    WriteBatch,
    WriteOutcome,
)

__all__ = [
    "BATCH_INTERVAL_MS",
    "BATCH_MAX_BYTES",
    "RING_CAPACITY",
    "FlowRecord",
    "NotRecorded",
    "Reason",
    "Record",
    "RecordError",
    "RecordNotValid",
    "RecordStore",
    "RequestRecord",
    "RequestTimings",
    "StoreCounts",
    "WriteBatch",
    "WriteOutcome",
    "decode_batch",
    "describe_record",
    "encode_record",
    "find_reason",
    "join_records",
    "list_reasons",
    "register_reason",
]
