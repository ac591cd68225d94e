"""FAILBACK: a target starts again under its id while the store is down, and is taken for warm."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from clients import send_load  # noqa: E402
from deployment import (  # noqa: E402
    BROKEN,
    CATALOGUE,
    COLD_OVERAGE,
    COLD_SLACK,
    HELD,
    is_on,
    name_targets,
    now,
    run_case,
)

FLOWS_PER_S = int(os.environ.get("FLOWS_PER_S", "120"))  # Over all clients and targets.
COLD_PER_S = 4.0
LIMIT = COLD_PER_S * COLD_OVERAGE + COLD_SLACK
COLD_S = 2.0
OUTAGE_S = 4.5  # `platform_down` of the small sites.
CRASH_AFTER_S = 0.3
AWAY_S = float(os.environ.get("AWAY_S", "0.5"))


async def play(site, record):
    clients = [await site.add_client(zone) for zone in site.zones]
    counts = {"answered": 0, "unanswered": 0}
    target = site.targets[0]
    is_store_down = is_on("TROUBLE") and is_on("STORE_DOWN")
    async with asyncio.TaskGroup() as group:
        load = group.create_task(send_load(clients, CATALOGUE, FLOWS_PER_S, group, counts))
        await asyncio.sleep(8.0)
        down_at = now()
        if is_store_down:
            site.store.set_down(True)
        await asyncio.sleep(CRASH_AFTER_S)
        if is_on("TROUBLE"):
            target.crash()
            await asyncio.sleep(AWAY_S)
            await target.start(COLD_S)
        await asyncio.sleep(max(0.0, down_at + OUTAGE_S - now()))
        if is_store_down:
            site.store.set_down(False)
        await asyncio.sleep(4.0)
        load.cancel()
    record.write(f"requests {counts}")
    return judge(record, target)


def judge(record, target):
    """Counts the requests that were sent and arrived within one second of the cold time."""
    worst = 0
    for start, cold_until in target.starts[1:]:
        taken = [(sent, at) for at, sent, _ in target.taken if start <= at < cold_until]
        for begin, _ in taken:
            worst = max(worst, sum(begin <= sent and at < begin + 1.0 for sent, at in taken))
        record.write(f"{len(taken)} opening packets taken in the {COLD_S:g} s after the restart")
    if worst > LIMIT:
        record.write(
            f"FAILBACK broken: {target.name} took {worst} requests in one second while it was "
            f"cold, allowed are {LIMIT:g}"
        )
        return BROKEN
    record.write(f"most requests in one second while cold: {worst}, allowed are {LIMIT:g}")
    return HELD


if __name__ == "__main__":
    targets = name_targets(
        [("catalogue", zone) for zone in ("coventry", "coventry", "brum", "brum")]
    )
    zones = {"coventry": 2, "brum": 2}
    sys.exit(run_case(HERE, {"catalogue": CATALOGUE}, targets, zones, COLD_PER_S, play))
