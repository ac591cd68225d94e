"""Selects the claim buckets to delete because they are older than the claim window."""

from catkinspread.requests.actions import DeleteBucket
from catkinspread.requests.identity import BUCKET_MS, SHARD_COUNT, BucketId
from catkinspread.requests.parameters import RequestParameters

# A bucket is kept this much longer than its requests may be executed. The margin is far larger
# than the clock skew, and it keeps a delayed store call from recreating a bucket whose requests
# may still be executed.
_RETENTION_MARGIN_MS = 120_000
# A new claimer of a shard looks this far back for buckets that were not deleted. Older buckets
# remain until an operator removes them.
_CATCH_UP_MS = 3_600_000


class BucketSweeper:
    """Returns the expired buckets of each shard for deletion, oldest first.

    Each call returns at most one bucket per shard.
    """

    __slots__ = ("_next_period", "_parameters")

    def __init__(self, parameters: RequestParameters) -> None:
        self._parameters = parameters
        self._next_period = [-1] * SHARD_COUNT

    def sweep(self, shards: frozenset[int], now_ms: int) -> list[DeleteBucket]:
        """Returns the next buckets to delete in the shards that this instance is the claimer of.

        A bucket whose deletion fails is not retried here. The next claimer of the shard deletes
        it only if it takes over the shard within _CATCH_UP_MS after the bucket expired.

        Args:
            shards: The shards that this instance is the claimer of.
            now_ms: Current wall-clock time in ms since the Unix epoch.
        """
        age_ms = self._parameters.claim_window_ms + BUCKET_MS + _RETENTION_MARGIN_MS
        last = (now_ms - age_ms) // BUCKET_MS
        actions: list[DeleteBucket] = []
        for shard in range(SHARD_COUNT):
            if shard not in shards:
                self._next_period[shard] = -1
                continue
            if self._next_period[shard] < 0:
                self._next_period[shard] = max(0, last - _CATCH_UP_MS // BUCKET_MS)
            if self._next_period[shard] <= last:
                actions.append(DeleteBucket(BucketId(shard, self._next_period[shard])))
                self._next_period[shard] += 1
        return actions
