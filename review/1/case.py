"""An entry of another writer, in which a field is a list in a list, is written among the targets."""

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from standins.site import BROKEN, HELD, Site, main

ROUTE_PORT = 8_443
NESTING = 1_100
EXITS_MAX = 3


async def play() -> int:
    """Plays the case and returns its exit code."""
    site = Site(pathlib.Path(__file__).resolve().parent, {"a": 2, "b": 2, "c": 2})
    try:
        await site.start({"desk": ["a", "a", "b", "b", "c", "c"]}, {"desk": ROUTE_PORT})
        await asyncio.sleep(2)
        site.send_requests(ROUTE_PORT, 60)
        await asyncio.sleep(6)
        entry_at_s = time.monotonic()
        if os.environ.get("TROUBLE") != "0":
            nested = b"[" * NESTING + b"]" * NESTING
            spec = b'{"service":"other","address":"127.0.0.9:80","zone":"a","version":%b}' % nested
            site.store.put("servers", "i-00000000ff", spec)
            site.record.say(f"another writer put an entry of {len(spec)} bytes")
        await asyncio.sleep(25)
        end_s = time.monotonic()
        await asyncio.sleep(2.5)
        before = site.count_outcomes(0, entry_at_s - 2)
        after = site.count_outcomes(entry_at_s + 4, end_s - 2)
        exits = {i.name: len(i.own_exits) for i in site.instances}
        site.record.say(f"attempts up to 2 s before the entry: {before}")
        site.record.say(f"attempts from 4 s after it: {after}")
        site.record.say(f"processes that ended by themselves: {exits}")
        failing = sum(1 for count in exits.values() if count >= EXITS_MAX)
        is_broken = failing >= 2 or not after.get("answered")
        site.record.say("the rule is broken" if is_broken else "the rule held")
        if is_broken:
            text = site.instances[0].read_log().strip().splitlines()
            site.record.say("last line of a process: " + (text[-1] if text else ""))
        return BROKEN if is_broken else HELD
    finally:
        site.close()


main(play)
