"""The configuration changes again and again; processes exceed the memory of their machines."""

import asyncio
import collections
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))
import lab  # noqa: E402

ZONES = ("centro-a", "centro-b")
SERVICES = ("label-desk", "scan-intake")
ROUTES = (
    ("label-issue", "198.18.0.1", 443, "unsafe", "label-desk", 1),
    ("courier-watch", "198.18.0.2", 443, "safe", "label-desk", 2),
)
# Idle routes of the deployment, and two changes by which it grows by 1,400 routes each.
IDLE_ROUTES = 240
GROWTH = 1_400
GROWTHS = 2
# One change each 0.33 s for 4 s, then a pause.
CHANGE_S = 0.33
CHANGES_PER_STORM = 12
STORMS = 17
PAUSE_S = 1.5
MEMORY_MB = 109
RESTART_S = 0.5
ENDS_MIN = 3
MACHINES_MIN = 2


def build_idle_routes(count):
    return tuple(
        (f"r-{place:07x}", f"198.18.{1 + place // 200}.{place % 200}", 443, "safe", SERVICES[1], 2)
        for place in range(count)
    )


async def watch_memory(site, record, ends):
    """Ends a process whose memory exceeds that of its machine, as the platform does."""
    tick = 0
    while True:
        for node in site.nodes:
            used_mb = node.read_memory_mb()
            if tick % 25 == 0:
                record.write(f"{node.name} uses {used_mb:.0f} MB")
            if used_mb > MEMORY_MB and node.process.returncode is None:
                ends[node.name] += 1
                record.write(
                    f"{node.name} uses {used_mb:.0f} MB, more than {MEMORY_MB}: it is killed, for"
                    f" the {ends[node.name]}. time",
                    echo=True,
                )
                node.kill(signal.SIGKILL)
                site.spawn(start_again(node))
        tick += 1
        await asyncio.sleep(0.2)


async def start_again(node):
    await node.process.wait()
    await asyncio.sleep(RESTART_S)
    await node.start()


async def play(record, is_troubled):
    targets = [("label-desk", zone) for zone in ZONES for _ in range(2)]
    targets += [("scan-intake", zone) for zone in ZONES]
    site = lab.Lab(record, ZONES, (2, 2), targets, clients_per_zone=2)
    ends = collections.Counter()
    try:
        site.put_configuration(ROUTES + build_idle_routes(IDLE_ROUTES), SERVICES)
        await site.start()
        for zone in ZONES:
            site.press(zone, ("198.18.0.1", 443), "POST", 5, 2.0)
            site.press(zone, ("198.18.0.2", 443), "GET", 10, 2.0)
        site.spawn(watch_memory(site, record, ends))
        routes = ROUTES + build_idle_routes(IDLE_ROUTES + GROWTHS * GROWTH)
        changes = 0
        for storm in range(STORMS):
            for _ in range(CHANGES_PER_STORM):
                if is_troubled:
                    changes += 1
                    timeouts = {"courier-watch": 2_000 + changes % 2}
                    site.put_configuration(routes, SERVICES, timeouts)
                await asyncio.sleep(CHANGE_S)
            record.write(f"configuration {site.version} after storm {storm + 1}", echo=True)
            if sum(count >= ENDS_MIN for count in ends.values()) >= MACHINES_MIN:
                break
            await asyncio.sleep(PAUSE_S)
        record.write(f"requests: {dict(site.counts)}; changes: {changes}", echo=True)
        record.write(f"processes ended by machine: {dict(ends)}", echo=True)
        return sum(count >= ENDS_MIN for count in ends.values()) >= MACHINES_MIN
    finally:
        await site.stop()


if __name__ == "__main__":
    sys.exit(lab.run_case(play, FOLDER))
