"""The object API of the platform: client interface, errors, append log and an in-memory store."""

from catkinspread.objectstore.append_log import AppendLog, AppendOutcome, LogEntry
from catkinspread.objectstore.errors import (
    ObjectExists,
    ObjectNotFound,
    ObjectStoreError,
    OutcomeUnknown,
    StoreUnavailable,
    ValueTooLarge,
    VersionConflict,
)
from catkinspread.objectstore.memory import MemoryObjectStore, StoreFaults
from catkinspread.objectstore.store import VALUE_MAX_BYTES, ObjectStore, StoredObject

__all__ = [
    "VALUE_MAX_BYTES",
    "AppendLog",
    "AppendOutcome",
    "LogEntry",
    "MemoryObjectStore",
    "ObjectExists",
    "ObjectNotFound",
    "ObjectStore",
    "ObjectStoreError",
    "OutcomeUnknown",
    "StoreFaults",
    "StoreUnavailable",
    "StoredObject",
    "ValueTooLarge",
    "VersionConflict",
]
