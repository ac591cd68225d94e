"""Tests of the reason registry."""

import msgspec
import pytest

from catkinspread.limits import CurrentLimits, RefusalReason
from catkinspread.records import (
    RequestRecord,
    RequestTimings,
    describe_record,
    find_reason,
    list_reasons,
    register_reason,
)

LIMITS = CurrentLimits(
    cap_per_s=5.0,
    share_per_s=0.5556,
    instances_known=9,
    concurrent_max=4,
    concurrent=4,
    pause_ms=0,
    queued=12,
    is_warming=True,
)
RECORD = RequestRecord(
    instance="a",
    version=7,
    service="recipe-desk",
    upstream="rd-1",
    flow=42,
    caller_id="printer",
    request_id="r1",
    priority=1,
    limits=LIMITS,
    timings=RequestTimings(
        issued_at_ms=1_000,
        arrived_at_ms=1_010,
        started_at_ms=None,
        ended_at_ms=1_510,
        deadline_ms=1_500,
    ),
    reason="limits.expired-in-cold-start",
)


def test_every_refusal_reason_has_a_description_and_a_hint():
    """Guards against a refusal reason that is not registered or has no description."""
    assert {reason.value for reason in RefusalReason} <= {r.code for r in list_reasons()}
    without_limits = msgspec.structs.replace(RECORD, limits=None, upstream="")
    for reason in list_reasons():
        assert reason.hint.endswith(".")
        for record in (RECORD, without_limits):
            sentence = describe_record(msgspec.structs.replace(record, reason=reason.code))
            assert sentence and not sentence.endswith(".")


def test_description_contains_the_queue_time_and_the_share():
    """Guards against a description without its figures, or with a time that is not known."""
    assert describe_record(RECORD) == (
        "it expired after 500 ms in the queue during the cold start of upstream 'rd-1'; the share "
        "of this instance is 0.56 requests per second"
    )
    slow = msgspec.structs.replace(RECORD, reason="slow.upstream")
    assert describe_record(slow) == "upstream 'rd-1' responded too late"
    unknown = msgspec.structs.replace(RECORD, reason="later.reason")
    assert describe_record(unknown) == "reason 'later.reason' is unknown to this release"


def test_code_cannot_be_registered_twice():
    """Guards against two reasons with the same code and against a reason without a hint."""
    with pytest.raises(ValueError, match="already registered"):
        register_reason("limits.cancelled", "Hint.")(describe_record)
    with pytest.raises(ValueError, match="no operator hint"):
        register_reason("test.without-hint", "")(describe_record)
    assert find_reason("test.without-hint") is None
