"""Whole instances on loopback while the store comes back from a copy and gives revisions out again."""

import anyio

from catkinspread.deployment import StateKind
from catkinspread.platform.stand_ins import StoreCopy, StoreMode
from catkinspread.platform.tests.deployment import START_TIMEOUT_S, Deployment, Lines, play

# Changes before the restoration that are lost and not made again.
LOST_CHANGES = 6


async def _wait_for_line(lines: Lines, event: str, **fields: object) -> None:
    with anyio.fail_after(START_TIMEOUT_S):
        while not any(fields.items() <= line.items() for line in lines.find(event)):
            await anyio.sleep(0.02)


async def _wait_for_version(lines: Lines, version: int) -> None:
    await _wait_for_line(lines, "state_changed", detail=f"version {version}")


async def _write_lost_changes(deployment: Deployment, instances: int) -> StoreCopy:
    """Takes a copy, makes changes after it and waits until the instances know them."""
    copy = deployment.store.take_copy()
    for _ in range(LOST_CHANGES):
        deployment.put_upstream(0)
    deployment.store.put_configuration(deployment.build_configuration(2, "pages"))
    for number in range(instances):
        await _wait_for_version(deployment.lines[number], 2)
    return copy


def test_configuration_written_after_a_restoration_is_in_force_on_followers() -> None:
    """Guards against a follower that waits at a revision from before its feeder's last listing."""

    async def scenario(deployment: Deployment) -> None:
        await deployment.start_instance(1)
        copy = await _write_lost_changes(deployment, 2)
        deployment.store.restore(copy)
        deployment.store.put_configuration(deployment.build_configuration(2, "pages"))
        await anyio.sleep(1.5)
        deployment.store.put_configuration(deployment.build_configuration(3, "pages"))
        for lines in deployment.lines:
            await _wait_for_version(lines, 3)

    play(scenario)


def test_instance_that_starts_after_a_restoration_does_not_know_an_upstream_that_left() -> None:
    """Guards against new flows on an upstream that only the copy still has."""

    async def scenario(deployment: Deployment) -> None:
        copy = deployment.store.take_copy()
        deployment.store.remove(StateKind.UPSTREAMS, "i-1a")
        first, second = deployment.lines
        await _wait_for_line(first, "state_changed", name="i-1a", detail="missing")
        deployment.store.restore(copy)
        await _wait_for_line(first, "listing_merged", kind="upstreams", outdated=1)
        await deployment.start_instance(1, upstreams=1)
        names = [line["name"] for line in second.find("state_changed")]
        assert "i-0a" in names
        assert "i-1a" not in names

    play(scenario)


def test_configuration_whose_revision_was_given_out_before_is_read() -> None:
    """Guards against a watch that goes on at a revision with another meaning after a restoration."""

    async def scenario(deployment: Deployment) -> None:
        copy = await _write_lost_changes(deployment, 1)
        deployment.store.mode = StoreMode.BUSY
        await anyio.sleep(0.3)
        deployment.store.restore(copy)
        deployment.store.put_configuration(deployment.build_configuration(3, "pages"))
        for _ in range(LOST_CHANGES):
            deployment.put_upstream(0)
        deployment.store.mode = StoreMode.NORMAL
        await _wait_for_version(deployment.lines[0], 3)

    play(scenario)
