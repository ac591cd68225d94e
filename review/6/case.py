"""CONFIG: one answer of the store is lost; all machines of a zone keep the old configuration."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from clients import send_one  # noqa: E402
from deployment import (  # noqa: E402
    BROKEN,
    CATALOGUE,
    CONFIG_APPLY_S,
    HELD,
    STABLE_WINDOW_S,
    is_on,
    name_targets,
    now,
    run_case,
)

DROPPED, DROPPED_ADDRESS = "templates", ("127.50.0.1", 8080)
LAST_VERSION = 19
COLD_PER_S = 4.0
PROBE_INTERVAL_S = 0.25
WATCHED_S = 14.0


async def play(site, record):
    await asyncio.sleep(STABLE_WINDOW_S + 1.0)
    lost_at = []

    def lose(kind, answer):
        """Loses one answer to a watch: the first that tells of the last configuration."""
        is_change = kind == "config" and any(
            event["object"]["spec"]["version"] == LAST_VERSION for event in answer["events"]
        )
        if not is_on("TROUBLE") or lost_at or not is_change:
            return False
        lost_at.append(now())
        record.write("the store's answer to one watch of the configuration is lost")
        return True

    site.store.loses_answer = lose
    probes = []
    for instance in site.instances:
        client = await site.add_client(instance.zone)
        client.node = instance
        probes.append(client)
    site.write_configuration(12, COLD_PER_S, timeout_ms=2_800)
    await asyncio.sleep(1.0)
    acknowledged = site.write_configuration(
        LAST_VERSION, COLD_PER_S, timeout_ms=2_800, dropped=(DROPPED,)
    )
    sent = await send_probes(probes)
    return judge(site, record, sent, acknowledged, lost_at)


async def send_probes(probes):
    """Sends requests on the dropped route directly to each instance."""
    sent, counts = [], {"answered": 0, "unanswered": 0}
    until, number = now() + WATCHED_S, 0
    async with asyncio.TaskGroup() as group:
        while now() < until:
            for client in probes:
                attempt = f"{client.node.name}-{number}"
                sent.append((attempt, client.node, now()))
                group.create_task(send_one(client, DROPPED_ADDRESS, attempt, counts, timeout_s=1.0))
            number += 1
            await asyncio.sleep(PROBE_INTERVAL_S)
    return sent


def judge(site, record, sent, acknowledged, lost_at):
    """Counts requests that ran on the dropped route too late, by machines in touch.

    The store is stable, and the machines are in touch, `stable_window_ms` after the lost answer.
    """
    disturbed = [instance.started_at for instance in site.instances] + lost_at
    in_touch_from = max(disturbed) + STABLE_WINDOW_S
    late = {}
    for attempt, instance, at in sent:
        is_late = at > acknowledged + CONFIG_APPLY_S and at > in_touch_from
        if is_late and attempt in site.runs:
            late.setdefault(instance.name, []).append(at - acknowledged)
    record.write(f"{len(sent)} requests sent on the dropped route, {len(site.runs)} ran")
    for name, times in late.items():
        record.write(
            f"CONFIG broken: {len(times)} requests through {name} ran on the dropped route, sent "
            f"{times[0]:.1f} to {times[-1]:.1f} s after the acknowledgement, allowed are "
            f"{CONFIG_APPLY_S:g} s"
        )
    if not late:
        record.write("no request ran too late")
    return BROKEN if late else HELD


if __name__ == "__main__":
    services = {"catalogue": CATALOGUE, DROPPED: DROPPED_ADDRESS}
    targets = name_targets(
        [(service, zone) for service in services for zone in ("coventry", "brum")]
    )
    zones = {"coventry": 3, "brum": 3}
    sys.exit(run_case(HERE, services, targets, zones, COLD_PER_S, play))
