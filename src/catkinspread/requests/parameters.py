"""Times and bounds of the request handling."""

import msgspec


class RequestParameters(msgspec.Struct, frozen=True):
    """Times and bounds of one instance.

    Attributes:
        claim_batch_ms: Claims of a shard are collected for this long before a write.
        claim_window_ms: A request older than this is never run.
        clock_skew_max_ms: Largest difference between two clocks.
        settle_grace_ms: How long after deadline and clock skew a request may stay without an
            answer while its claim is read or written. An answer is of little use by then, so
            the time only covers a few store calls.
        store_timeout_ms: A store call without a result for this long counts as unknown.
        store_retry_min_ms: First pause after the store was unavailable; it doubles.
        store_retry_max_ms: Longest pause after the store was unavailable.
        forward_retry_ms: A forwarded request without an answer is forwarded again after this.
        takeover_ms: An instance claims a forwarded request itself when the claimer has not
            confirmed it for this long. Two repetitions fit into it.
        active_max: Requests without an answer that a claimer holds. Further ones are refused
            by a tombstone.
        refused_max: Requests that wait for a tombstone because of `active_max`. Further ones
            are answered as unknown, because nothing can be proved without a table entry.
        answered_max: Answers that are kept for repeats.
        answered_bytes_max: Total size of the answers kept for repeats.
        waiters_max: Flows that wait for the same request.
        buckets_max: Decoded buckets that are kept for each shard.
        bucket_bytes_max: A bucket object is not grown beyond this; the store takes 1,000,000.
        attempts_max: How often a request is sent, the first time included.
        attempt_timeout_ms: An idempotent request without an answer is retried after this.
        backoff_base_ms: Upper end of the first pause before a retry; it doubles.
        backoff_max_ms: Largest upper end of a pause before a retry.
        pending_max: Requests that an instance keeps for its callers; further ones are refused.
        late_answer_ms: Answers of upstreams are accepted this long after the deadline, so that
            a repeat of the request learns what happened.
        answer_parts_max: Parts of one answer.
        answer_bytes_max: Size of one answer.
    """

    claim_batch_ms: int = 50
    claim_window_ms: int = 3_600_000
    clock_skew_max_ms: int = 500
    settle_grace_ms: int = 1_000
    store_timeout_ms: int = 2_000
    store_retry_min_ms: int = 100
    store_retry_max_ms: int = 1_000
    forward_retry_ms: int = 250
    takeover_ms: int = 600
    active_max: int = 8_192
    refused_max: int = 8_192
    answered_max: int = 16_384
    answered_bytes_max: int = 16_000_000
    waiters_max: int = 8
    buckets_max: int = 8
    bucket_bytes_max: int = 900_000
    attempts_max: int = 3
    attempt_timeout_ms: int = 1_000
    backoff_base_ms: int = 50
    backoff_max_ms: int = 800
    pending_max: int = 16_384
    late_answer_ms: int = 10_000
    answer_parts_max: int = 1_024
    answer_bytes_max: int = 1_000_000
