"""Request identity, claim shard and claim bucket."""

import msgspec

from catkinspread.hashing import hash_request
from catkinspread.model import InstanceIncarnation
from catkinspread.wire import Request

# Must be equal on all instances, because the shard is part of the keys of stored buckets.
SHARD_COUNT = 16
# Length of the period whose requests share a bucket; part of the stored keys as well. Every claim
# rewrites its bucket, so the bytes written per request grow with this period.
BUCKET_MS = 5_000
_PERIOD_DIGITS = 11


class RequestIdentity(msgspec.Struct, array_like=True, frozen=True, order=True):
    """The fields that are equal in all copies of a request.

    Attributes:
        caller_id: Identifies the caller; equal on all flows of a caller.
        request_id: Unique among the requests of a caller.
        issued_at_ms: When the caller first sent the request, in ms since the Unix epoch.
    """

    caller_id: str
    request_id: str
    issued_at_ms: int

    @property
    def claim_hash(self) -> int:
        """The 64-bit hash that identifies the request in its claim bucket."""
        return hash_request(self.caller_id, self.request_id, self.issued_at_ms)


class BucketId(msgspec.Struct, frozen=True, order=True):
    """Identifies a claim bucket.

    Attributes:
        shard: Claim shard, from 0 to SHARD_COUNT - 1.
        period: `issued_at_ms` of the requests divided by BUCKET_MS, rounded down.
    """

    shard: int
    period: int

    @property
    def key(self) -> str:
        """The key of the bucket object in the object store."""
        return f"claims/{self.shard:02d}/{self.period:0{_PERIOD_DIGITS}d}"


def identify_request(request: Request) -> RequestIdentity:
    """Returns the identity of a request."""
    return RequestIdentity(request.caller_id, request.request_id, request.issued_at_ms)


def compute_shard(identity: RequestIdentity) -> int:
    """Returns the claim shard of a request."""
    return identity.claim_hash % SHARD_COUNT


def compute_bucket_id(identity: RequestIdentity) -> BucketId:
    """Returns the bucket that contains the claim of a request."""
    return BucketId(compute_shard(identity), identity.issued_at_ms // BUCKET_MS)


def format_member(member: InstanceIncarnation) -> str:
    """Returns the text that identifies an instance and its incarnation in claim records."""
    return f"{member.instance}#{member.incarnation}"
