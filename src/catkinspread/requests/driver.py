"""Executes the store actions of a claimer against an object store."""

from absl import logging

from catkinspread.objectstore import (
    ObjectExists,
    ObjectNotFound,
    ObjectStore,
    ObjectStoreError,
    StoreUnavailable,
    ValueTooLarge,
    VersionConflict,
)
from catkinspread.requests.actions import (
    BucketRead,
    BucketReadFailed,
    BucketWriteConflicted,
    BucketWriteFailed,
    BucketWriteOutcomeUnknown,
    BucketWritten,
    DeleteBucket,
    ReadBucket,
    StoreAction,
    StoreEvent,
    WriteBucket,
)

# Limits the log volume: during an outage of the object store many calls fail per second.
_LOG_PERIOD_S = 10


class ClaimStoreDriver:
    """Executes store actions as store calls and returns their outcomes as events.

    A write certainly did not take effect after ObjectExists, ObjectNotFound, VersionConflict,
    StoreUnavailable or ValueTooLarge. After any other ObjectStoreError or OSError its outcome is
    unknown, because the write may have been sent.
    """

    __slots__ = ("_store",)

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    async def execute(self, action: StoreAction) -> StoreEvent | None:
        """Executes an action and returns its outcome; None for a deletion.

        An ObjectStoreError or OSError does not propagate: it is returned as an event (reads and
        writes) or dropped (deletions), and logged at a limited rate. Missing objects and
        conflicts of writes are not logged. Other exceptions propagate.
        """
        match action:
            case ReadBucket():
                return await self._read(action)
            case WriteBucket():
                return await self._write(action)
            case DeleteBucket():
                await self._delete(action)
        return None

    async def _read(self, action: ReadBucket) -> StoreEvent:
        bucket, operation = action.bucket, action.operation
        try:
            stored = await self._store.get(bucket.key)
        except ObjectNotFound:
            return BucketRead(bucket, operation, 0, b"")
        except (ObjectStoreError, OSError) as error:
            logging.log_every_n_seconds(
                logging.WARNING,
                "requests: bucket %s could not be read: %s",
                _LOG_PERIOD_S,
                bucket.key,
                error,
            )
            return BucketReadFailed(bucket, operation)
        return BucketRead(bucket, operation, stored.version, stored.value)

    async def _write(self, action: WriteBucket) -> StoreEvent:
        bucket, operation = action.bucket, action.operation
        try:
            version = await self._call_write(action)
        except (ObjectExists, ObjectNotFound, VersionConflict):
            return BucketWriteConflicted(bucket, operation)
        except (StoreUnavailable, ValueTooLarge) as error:
            logging.log_every_n_seconds(
                logging.WARNING,
                "requests: bucket %s was not written at expected version %d: %s",
                _LOG_PERIOD_S,
                bucket.key,
                action.expected_version,
                error,
            )
            return BucketWriteFailed(bucket, operation)
        except (ObjectStoreError, OSError) as error:
            logging.log_every_n_seconds(
                logging.WARNING,
                "requests: outcome of the write of bucket %s at expected version %d is unknown: %s",
                _LOG_PERIOD_S,
                bucket.key,
                action.expected_version,
                error,
            )
            return BucketWriteOutcomeUnknown(bucket, operation)
        return BucketWritten(bucket, operation, version)

    async def _call_write(self, action: WriteBucket) -> int:
        if action.expected_version == 0:
            return await self._store.create(action.bucket.key, action.value)
        return await self._store.update(action.bucket.key, action.value, action.expected_version)

    async def _delete(self, action: DeleteBucket) -> None:
        key = action.bucket.key
        try:
            stored = await self._store.get(key)
            await self._store.delete(key, stored.version)
        except ObjectNotFound:
            return
        except (ObjectStoreError, OSError) as error:
            logging.log_every_n_seconds(
                logging.WARNING,
                "requests: expired bucket %s was not deleted and may remain in the store: %s",
                _LOG_PERIOD_S,
                key,
                error,
            )
