"""Instances are stopped and started in turn, as planned, while clients keep flows open."""

import asyncio
import os
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from standins.sessions import SessionClient
from standins.site import BROKEN, HELD, ROUTE_HOST, Site, main

ROUTE_PORT = 8_443
FLOWS_PER_S = 130
REQUESTS_PER_FLOW = 2
PAUSES_S = (2.0, 7.0)
# One way between clients and the zones.
CLIENT_LINK_S = 0.003
DEADLINE_S = 3.0
GAP_S = 3.0
ROUNDS = 8


async def play() -> int:
    """Plays the case and returns its exit code."""
    site = Site(pathlib.Path(__file__).resolve().parent, {"a": 3})
    sessions = None
    try:
        await site.start({"desk": ["a"] * 6}, {"desk": ROUTE_PORT})
        site.clients["a"].close()
        await asyncio.sleep(0.2)
        sessions = SessionClient(
            "a", *site.get_client_address("a"), site.router, site.record, CLIENT_LINK_S, DEADLINE_S
        )
        await sessions.start()
        await asyncio.sleep(2)
        route = (ROUTE_HOST, ROUTE_PORT)
        site.run(sessions.open_regularly(route, FLOWS_PER_S, REQUESTS_PER_FLOW, PAUSES_S))
        await asyncio.sleep(5)
        for _ in range(ROUNDS):
            for instance in site.instances:
                if os.environ.get("TROUBLE") != "0":
                    instance.is_disturbed = True
                    instance.signal(signal.SIGTERM)
                await asyncio.sleep(GAP_S)
        await asyncio.sleep(PAUSES_S[1] + 1)
        return _judge(site, sessions)
    finally:
        if sessions is not None:
            sessions.close()
        site.close()


def _judge(site: Site, sessions: SessionClient) -> int:
    outcomes: dict[str, int] = {}
    for session in sessions.sessions:
        outcomes[session.outcome] = outcomes.get(session.outcome, 0) + 1
    site.record.say(f"flows by outcome: {outcomes}")
    broken = 0
    for session in sessions.sessions:
        if session.outcome != "reset":
            continue
        holders = [t.name for t in site.targets if session.client in t.opened]
        senders = [t.name for t in site.targets if session.client in t.resets]
        broken += not set(holders) & set(senders)
        site.record.say(
            f"flow {session.client}, open at {holders}, was reset by {senders or 'an instance'}; "
            f"{session.request} is lost; through {session.through}"
        )
    site.record.say("the rule is broken" if broken else "the rule held")
    return BROKEN if broken else HELD


main(play)
