"""Object store of the platform: interface, HTTP client, in-memory store and append log.

The platform is the environment that runs the instances. It provides the object store and the
registry of instances over HTTP.
"""

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
from catkinspread.objectstore.http import (
    HttpInstanceRegistry,
    HttpObjectStore,
    InstanceRecord,
    InstanceRegistry,
    InstanceState,
)
from catkinspread.objectstore.memory import MemoryObjectStore, StoreFaults
from catkinspread.objectstore.store import VALUE_MAX_BYTES, ObjectStore, StoredObject

__all__ = [
    "VALUE_MAX_BYTES",
    "AppendLog",
    "AppendOutcome",
    "HttpInstanceRegistry",
    "HttpObjectStore",
    "InstanceRecord",
    "InstanceRegistry",
    "InstanceState",
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
