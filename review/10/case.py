"""FLOW: a machine is added whose seeds are stale; it serves flows before it knows the others."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from deployment import (  # noqa: E402
    BROKEN,
    CATALOGUE,
    HELD,
    STABLE_WINDOW_S,
    Instance,
    is_on,
    name_targets,
    now,
    run_case,
)

ZONE = "coventry"
FLOWS = 24
LOST_MAX = 4  # Flows of which the network loses one datagram: their first SYN+ACK.
STALE_SEEDS = ("127.10.9.1", "127.10.9.2", "127.10.9.3")


async def play(site, record):
    await asyncio.sleep(STABLE_WINDOW_S)
    client = await site.add_client(ZONE)
    added = Instance(site, f"edge-{ZONE}-3", ZONE, "127.10.1.3")
    present = [instance for instance in site.instances if instance.zone == ZONE]

    def will_move(key):
        """Whether the routers will hand a flow to the added machine."""
        return added.rank(key) > max(instance.rank(key) for instance in present)

    lost = site.lose_first_answers(will_move, LOST_MAX)
    flows = await site.open_flows(client, CATALOGUE, FLOWS)
    record.write(f"{len(lost)} of {FLOWS} flows have lost one datagram; all flows pause")
    started = now()
    if is_on("TROUBLE"):
        site.instances.append(added)
        added.start(seeds=STALE_SEEDS if is_on("STALE_SEEDS") else None)
        while not added.in_rotation:
            await asyncio.sleep(0.02)
    else:
        await asyncio.sleep(1.0)
    record.write(f"the flows go on after {now() - started:.1f} s")
    return BROKEN if await site.use_flows_again(flows) else HELD


if __name__ == "__main__":
    targets = name_targets(
        [("catalogue", zone) for zone in ("coventry", "coventry", "brum", "brum")]
    )
    zones = {"coventry": 2, "brum": 2}
    sys.exit(run_case(HERE, {"catalogue": CATALOGUE}, targets, zones, 4.0, play))
