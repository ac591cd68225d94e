"""FLOW: both machines of a zone are stopped and started in turn; flows that pause are reset."""

import asyncio
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from deployment import (  # noqa: E402
    BROKEN,
    CATALOGUE,
    HELD,
    STABLE_WINDOW_S,
    is_on,
    name_targets,
    now,
    run_case,
)

ZONE = "coventry"
# `roll_term` of the small sites: one machine at a time, each 1.1 to 2.0 s.
GAP_S = float(os.environ.get("GAP_S", "1.2"))
RESTART_DELAY_S = 0.3
FLOWS = 24
LOST_EACH = 3  # The network loses one datagram of every third flow: its first SYN+ACK.
PAUSE_S = 9.0


async def play(site, record):
    await asyncio.sleep(2.0)
    client = await site.add_client(ZONE)
    lost = site.lose_first_answers(lambda key: key[1] % LOST_EACH == 0)
    opened_at = now()
    flows = await site.open_flows(client, CATALOGUE, FLOWS)
    record.write(f"{len(lost)} of {FLOWS} flows have lost one datagram; all flows pause")
    if is_on("TROUBLE"):
        await roll([instance for instance in site.instances if instance.zone == ZONE])
    while not all(instance.in_rotation for instance in site.instances):
        await asyncio.sleep(0.1)
    # All machines are in touch again.
    youngest = max(instance.started_at for instance in site.instances)
    go_on_at = max(opened_at + PAUSE_S, youngest + STABLE_WINDOW_S + 0.2)
    await asyncio.sleep(max(0.0, go_on_at - now()))
    record.write(f"the flows go on, {now() - opened_at:.1f} s after the first one opened")
    return BROKEN if await site.use_flows_again(flows) else HELD


async def roll(instances):
    """SIGTERM to one instance after the other; each is started again after it has ended."""

    async def stop_and_start(instance):
        instance.signal(signal.SIGTERM)
        await instance.wait_end()
        await asyncio.sleep(RESTART_DELAY_S)
        instance.start()

    async with asyncio.TaskGroup() as group:
        for number, instance in enumerate(instances):
            if number:
                await asyncio.sleep(GAP_S)
            group.create_task(stop_and_start(instance))


if __name__ == "__main__":
    targets = name_targets(
        [("catalogue", zone) for zone in ("coventry", "coventry", "brum", "brum")]
    )
    zones = {"coventry": 2, "brum": 2}
    sys.exit(run_case(HERE, {"catalogue": CATALOGUE}, targets, zones, 4.0, play))
