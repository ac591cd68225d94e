"""Time-outs and limits of request handling."""

import msgspec


class RequestParameters(msgspec.Struct, frozen=True):
    """Time-outs and limits of request handling in one instance.

    Attributes:
        claim_batch_ms: Minimum time between two writes of a shard; the claims that arrive in
            between are written together.
        claim_window_ms: A request older than this is never executed.
        clock_skew_max_ms: Maximum difference between two clocks.
        settle_grace_ms: How long after deadline and clock skew a request may remain unanswered
            while its claim is read or written. By then an answer is of little use to the
            caller, so the time covers only a few store calls.
        store_timeout_ms: The outcome of a store call without a result is unknown after this.
        store_retry_min_ms: Initial backoff after the store was unavailable; it doubles.
        store_retry_max_ms: Maximum backoff after the store was unavailable.
        forward_retry_ms: An unanswered forwarded request is forwarded again after this.
        takeover_ms: An instance claims a forwarded request itself when the claimer has not
            confirmed it for this long. The request is forwarded twice more within this time.
        active_max: Unanswered requests in the table of a claimer. Further requests are refused
            by a tombstone.
        refused_max: Requests that wait for a tombstone because of `active_max`. Further ones
            are answered OUTCOME_UNKNOWN, because NOT_RUN requires a table entry.
        answered_max: Number of answers cached for repeated requests.
        answered_bytes_max: Total size of the answers cached for repeated requests.
        waiters_max: Flows that wait for the answer to the same request.
        buckets_max: Decoded buckets cached per shard.
        bucket_bytes_max: Maximum size of a bucket object; the store accepts 1,000,000 bytes.
        attempts_max: Attempts per request, including the first.
        attempt_timeout_ms: An idempotent request without an answer is retried after this.
        backoff_base_ms: Upper bound of the delay before the first retry; it doubles.
        backoff_max_ms: Maximum of that upper bound.
        pending_max: Pending requests of the callers of an instance; further ones are refused.
        late_answer_ms: How long after the deadline an answer from an upstream is accepted, so
            that a repeated request receives the actual outcome.
        answer_parts_max: Maximum number of parts of an answer.
        answer_bytes_max: Maximum size of an answer.
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
