"""Whole instances on loopback while the store comes back from a copy and gives revisions out again."""

import anyio

from catkinspread.platform.stand_ins import StoreCopy, StoreMode
from catkinspread.platform.tests.deployment import START_TIMEOUT_S, Deployment, Lines, play

# Changes before the restoration that are lost and not made again.
LOST_CHANGES = 6


async def _wait_for_version(lines: Lines, version: int) -> None:
    with anyio.fail_after(START_TIMEOUT_S):
        while not any(
            event["detail"] == f"version {version}" for event in lines.find("state_changed")
        ):
            await anyio.sleep(0.02)


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
