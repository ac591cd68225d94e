"""The content of a claim bucket.

A bucket has at most one record per claim hash, and a record is never changed or removed. The
conditional update of the object therefore determines, once and for all, which instance may
execute a request.
"""

import enum

import msgspec

_FORMAT_VERSION = 1
# Size of an encoded record: array header (1 byte), 64-bit hash (9), writer index below 256 (2),
# kind (1) and token below 2**32 (5).
RECORD_BYTES = 18
# Maximum size of the format version and of the array headers of the bucket, the writers and the
# records, rounded up.
_HEADER_BYTES = 32


class BucketError(Exception):
    """The value of a bucket object cannot be decoded."""


class RecordKind(enum.IntEnum):
    """Meaning of a claim record.

    CLAIMED: Only the writer of the record may execute the request.
    REFUSED: No instance may execute the request (tombstone).
    """

    CLAIMED = 1
    REFUSED = 2


class ClaimRecord(msgspec.Struct, array_like=True, frozen=True):
    """The claim or tombstone of a request.

    Attributes:
        writer: Instance and incarnation that wrote the record, as formatted by `format_member`.
        kind: Claim or tombstone.
        token: Number that the writer assigned to its table entry, from 1 and unique within the
            incarnation of the writer. It distinguishes the entry that requested the record from
            a later entry for the same request.
    """

    writer: str
    kind: RecordKind
    token: int


class _StoredRecord(msgspec.Struct, array_like=True, frozen=True):
    claim_hash: int
    writer_index: int
    kind: RecordKind
    token: int


class _StoredBucket(msgspec.Struct, array_like=True, frozen=True):
    format_version: int
    writers: list[str]
    records: list[_StoredRecord]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_StoredBucket)

ClaimRecords = dict[int, ClaimRecord]


def encode_bucket(records: ClaimRecords) -> bytes:
    """Returns the value of a bucket object.

    Args:
        records: Records by claim hash.
    """
    indexes: dict[str, int] = {}
    stored: list[_StoredRecord] = []
    for claim_hash, record in records.items():
        index = indexes.setdefault(record.writer, len(indexes))
        stored.append(_StoredRecord(claim_hash, index, record.kind, record.token))
    return _ENCODER.encode(_StoredBucket(_FORMAT_VERSION, list(indexes), stored))


def decode_bucket(value: bytes) -> ClaimRecords:
    """Returns the records of a bucket object by claim hash.

    Raises:
        BucketError: If the value is malformed or has an unsupported format version. Such a
            bucket must not be overwritten.
    """
    try:
        bucket = _DECODER.decode(value)
    except msgspec.DecodeError as error:
        raise BucketError(f"claim bucket is malformed: {error}") from error
    if bucket.format_version != _FORMAT_VERSION:
        raise BucketError(
            f"claim bucket has format version {bucket.format_version}; "
            f"only version {_FORMAT_VERSION} is supported"
        )
    try:
        return {
            record.claim_hash: ClaimRecord(
                bucket.writers[record.writer_index], record.kind, record.token
            )
            for record in bucket.records
        }
    except IndexError as error:
        highest = max(record.writer_index for record in bucket.records)
        raise BucketError(
            f"claim bucket has a writer index out of range: the highest index is {highest}, the "
            f"number of writers is {len(bucket.writers)}"
        ) from error


def estimate_size(records: ClaimRecords) -> int:
    """Returns an upper bound of the size in bytes of the encoded records and array headers.

    The names of the writers are not included. They need to fit into the difference between
    `RequestParameters.bucket_bytes_max` and the maximum value size of the object store.
    """
    return _HEADER_BYTES + RECORD_BYTES * len(records)
