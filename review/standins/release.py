"""Two releases with an entry of another writer among the targets; checks DRAIN."""

import asyncio
import os
import pathlib
import time

from standins.site import BROKEN, COLD_S, HELD, Site
from standins.targets import Target

ROUTE_PORT = 8_443
REQUESTS_PER_S = 60
# Targets go on serving for a while after the bound of the rule.
_SERVES_AFTER_DRAIN_S = 9.0
_GAP_S = 1.0
_REPLACED = 3
_LAST_SPAN_S = 10.0
# Attempts that end later than this after their start have reached their deadline.
_SLACK_S = 2.5


async def play(directory: pathlib.Path, entry: bytes) -> int:
    """Replaces the targets of a service, half by half, after another writer has put an entry.

    Args:
        directory: Folder of the case.
        entry: Content of the entry.
    """
    site = Site(directory, {"a": 2, "b": 2, "c": 2})
    try:
        await site.start({"desk": ["a", "a", "b", "b", "c", "c"]}, {"desk": ROUTE_PORT})
        await asyncio.sleep(2)
        site.send_requests(ROUTE_PORT, REQUESTS_PER_S)
        await asyncio.sleep(5)
        if os.environ.get("TROUBLE") != "0":
            site.store.put("servers", "i-00000000ff", entry)
            site.record.say(f"another writer put an entry: {entry!r}")
        await asyncio.sleep(3)
        first = site.targets[0 : 2 * _REPLACED : 2]
        second = site.targets[1 : 2 * _REPLACED : 2]
        for leaving in (first, second):
            await _replace(site, leaving)
        left_s = time.monotonic()
        await asyncio.sleep(_LAST_SPAN_S)
        end_s = time.monotonic()
        await asyncio.sleep(_SLACK_S)
        return _judge(site, first + second, left_s, end_s)
    finally:
        site.close()


async def _replace(site: Site, leaving: list[Target]) -> None:
    site.record.say(f"{len(leaving)} of the first {2 * _REPLACED} targets are replaced")
    for target in leaving:
        await site.add_target(target.service, target.zone, COLD_S)
        site.run(_drain_and_leave(target))
        await asyncio.sleep(_GAP_S)
    await asyncio.sleep(_SERVES_AFTER_DRAIN_S)


async def _drain_and_leave(target: Target) -> None:
    target.drain()
    await asyncio.sleep(_SERVES_AFTER_DRAIN_S)
    target.leave()


def _judge(site: Site, leaving: list[Target], left_s: float, end_s: float) -> int:
    late = site.find_late_at_draining()
    by_target = {target.name: 0 for target in leaving}
    for _, name, _ in late:
        by_target[name] = by_target.get(name, 0) + 1
    new = {t.name: t.opened_count for t in site.targets if t.name not in by_target}
    site.record.say(f"flows opened at the new targets: {new}")
    site.record.say(f"attempts after the old ones had left: {site.count_outcomes(left_s, end_s)}")
    site.record.say(f"opening packets taken later than the bound, by target: {by_target}")
    for client, name, after_s in late[:5]:
        site.record.say(f"{client} at {name}, {after_s:.2f} s after its drain was acknowledged")
    site.record.say("the rule is broken" if late else "the rule held")
    return BROKEN if late else HELD
