"""FLOW: both machines of a zone are killed at once; flows that pause are reset afterwards."""

import asyncio
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
DOWN_S = 2.0  # `herd_kill` of the small sites.
FLOWS = 24
LOST_EACH = 3  # The network loses one datagram of every third flow: its first SYN+ACK.
# The routers have taken the killed machines out of rotation, and use those of the other zone.
SHORT_PAUSE_S = 1.6


async def play(site, record):
    await asyncio.sleep(STABLE_WINDOW_S)
    client = await site.add_client(ZONE)
    lost = site.lose_first_answers(lambda key: key[1] % LOST_EACH == 0)
    flows = await site.open_flows(client, CATALOGUE, FLOWS)
    record.write(f"{len(lost)} of {FLOWS} flows have lost one datagram; all flows pause")
    killed_at = now()
    killed = [instance for instance in site.instances if instance.zone == ZONE]
    if is_on("TROUBLE"):
        for instance in killed:
            instance.signal(signal.SIGKILL)
    restart = asyncio.create_task(start_again(killed, killed_at))
    await asyncio.sleep(SHORT_PAUSE_S)
    record.write("half of the flows go on while the zone has no machine in rotation")
    broken = await site.use_flows_again(flows[: FLOWS // 2])
    await restart
    while not all(instance.in_rotation for instance in site.instances):
        await asyncio.sleep(0.1)
    in_touch_at = max(instance.started_at for instance in site.instances) + STABLE_WINDOW_S
    await asyncio.sleep(max(0.0, max(in_touch_at, killed_at + 6.5) + 0.2 - now()))
    record.write(f"the others go on {now() - killed_at:.1f} s after the kill, all are in touch")
    broken += await site.use_flows_again(flows[FLOWS // 2 :])
    return BROKEN if broken else HELD


async def start_again(killed, killed_at):
    """Starts the killed instances again."""
    if is_on("TROUBLE"):
        for instance in killed:
            await instance.wait_end()
        await asyncio.sleep(max(0.0, killed_at + DOWN_S - now()))
        for instance in killed:
            instance.start()


if __name__ == "__main__":
    targets = name_targets(
        [("catalogue", zone) for zone in ("coventry", "coventry", "brum", "brum")]
    )
    zones = {"coventry": 2, "brum": 2}
    sys.exit(run_case(HERE, {"catalogue": CATALOGUE}, targets, zones, 4.0, play))
