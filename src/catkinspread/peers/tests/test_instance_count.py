"""Tests of the estimate by which the rates of cold upstreams are divided."""

import random

from catkinspread.peers import (
    UNKNOWN_INSTANCE_COUNT,
    HelloReply,
    KnownMember,
    Member,
    MemberStatus,
    PeerDirectory,
)
from catkinspread.peers.directory import MEMBER_TIMEOUT_MS
from catkinspread.peers.instance_count import LOST_TIMEOUT_MS, TOLD_TIMEOUT_MS

NOW_MS = 1_000_000
AFTER_LOSS_MS = NOW_MS + 2 * MEMBER_TIMEOUT_MS


def _build_member(number: int) -> Member:
    return Member(f"n{number}", "east", f"10.0.0.{number}", 1)


def _build_directory() -> PeerDirectory:
    return PeerDirectory(_build_member(0), random.Random(1))


def _reply(known_instances: int, listed: int = 0, is_leaving: bool = False) -> HelloReply:
    """Returns a reply of the member n1 that lists the members after it."""
    status = MemberStatus(_build_member(1), None, True, is_leaving, 0, known_instances)
    members = tuple(KnownMember(_build_member(2 + number), 0) for number in range(listed))
    return HelloReply(status, members)


def test_instance_that_has_found_no_other_does_not_take_itself_for_the_only_one() -> None:
    """Guards against the whole rate of a cold upstream in each instance with stale seeds."""
    directory = _build_directory()
    assert directory.estimate_instance_count(NOW_MS) == UNKNOWN_INSTANCE_COUNT


def test_joining_instance_counts_the_others_with_the_first_reply() -> None:
    """Guards against a share for the listed members only while gossip has not told of the rest."""
    directory = _build_directory()
    directory.apply_message(_reply(known_instances=640, listed=8), NOW_MS)
    assert directory.count_members() == 10
    assert directory.estimate_instance_count(NOW_MS) == 640


def test_number_that_was_told_counts_for_some_seconds_only() -> None:
    """Guards against a number that stays after instances have left."""
    directory = _build_directory()
    directory.apply_message(_reply(known_instances=9), NOW_MS)
    assert directory.estimate_instance_count(NOW_MS + TOLD_TIMEOUT_MS) == 2


def test_members_lost_in_a_partition_still_count() -> None:
    """Guards against two sides of a partition that each use the whole rate of a cold upstream."""
    directory = _build_directory()
    directory.apply_message(_reply(known_instances=9, listed=7), NOW_MS)
    assert len(directory.expire_members(AFTER_LOSS_MS)) == 8
    assert directory.estimate_instance_count(AFTER_LOSS_MS) == 9
    assert directory.count_known_instances() == 9
    directory.expire_members(AFTER_LOSS_MS + LOST_TIMEOUT_MS)
    assert directory.count_known_instances() == 1


def test_instance_that_returns_counts_once() -> None:
    """Guards against shares that shrink with each partition."""
    directory = _build_directory()
    directory.apply_message(_reply(known_instances=2), NOW_MS)
    directory.expire_members(AFTER_LOSS_MS)
    directory.apply_message(_reply(known_instances=2), AFTER_LOSS_MS)
    assert directory.estimate_instance_count(AFTER_LOSS_MS) == 2


def test_instance_that_left_as_planned_does_not_count() -> None:
    """Guards against shares that shrink with each planned replacement."""
    directory = _build_directory()
    directory.apply_message(_reply(known_instances=2, is_leaving=True), NOW_MS)
    directory.expire_members(AFTER_LOSS_MS)
    assert directory.count_known_instances() == 1
