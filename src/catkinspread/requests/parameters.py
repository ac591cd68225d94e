"""Time-outs and limits of request handling."""

import msgspec


class RequestParameters(msgspec.Struct, frozen=True):
    """Time-outs and limits of request handling in one instance.

    Attributes:
        claim_batch_ms: Minimum time between two writes of a shard; the claims that arrive in
            between are written together.
        claim_window_ms: A non-idempotent request older than this is never executed. Its age is
            measured from `issued_at_ms`.
        clock_skew_max_ms: Assumed maximum difference between the clocks of any two callers or
            instances.
        settle_grace_ms: How long after deadline and clock skew a request may remain unanswered
            while its claim is read or written or the answer of the upstream or the writer is
            awaited. It is then answered OUTCOME_UNKNOWN. By then an answer is of little use to the caller, so the
            time covers only a few store calls.
        store_timeout_ms: A store call that has not returned after this time is treated as having
            an unknown outcome.
        store_retry_min_ms: Initial backoff after a store call failed. The backoff doubles with
            each further failure and is reset by a successful call.
        store_retry_max_ms: Maximum backoff after a store call failed.
        forward_retry_ms: An unanswered forwarded request is forwarded again after this.
        takeover_ms: An instance claims a forwarded request itself when the claimer has not
            confirmed it for this long. It should exceed twice `forward_retry_ms`, so that the
            request is forwarded twice more within this time.
        active_max: Maximum number of unanswered requests in the table of a claimer. Further
            requests are refused by a tombstone.
        refused_max: Maximum number of requests that wait for a tombstone because of
            `active_max`. Further ones are answered OUTCOME_UNKNOWN, because NOT_RUN requires a
            table entry.
        answered_max: Maximum number of answers cached for repeated requests.
        answered_bytes_max: Maximum total size of the answers cached for repeated requests.
        waiters_max: Maximum number of flows that wait for the answer to the same request.
        buckets_max: Maximum number of decoded buckets cached per shard; buckets with pending
            records or a store call in flight are kept beyond it.
        bucket_bytes_max: Maximum size of a bucket object without the names of its writers; the
            store accepts 1,000,000 bytes.
        attempts_max: Maximum number of attempts per request, including the first.
        attempt_timeout_ms: An idempotent request without an answer is retried after this.
        backoff_base_ms: Upper bound of the delay before the first retry. The bound doubles with
            each further attempt.
        backoff_max_ms: Maximum of that upper bound.
        pending_max: Maximum number of entries in each of three tables of an instance: pending
            idempotent requests, pending non-idempotent requests, and expected answers from
            upstreams. Each table refuses further entries on its own.
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
