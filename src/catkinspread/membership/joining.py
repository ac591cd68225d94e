"""How an instance that starts, or that has lost all peers, reads the view of another one."""

import random
from collections.abc import Iterable

from catkinspread.membership.actions import SendMessage
from catkinspread.membership.messages import (
    JoinRequest,
    MemberRecord,
    ViewPage,
    ViewRequest,
    measure_encoded_bytes,
)
from catkinspread.membership.table import Member
from catkinspread.model import Endpoint

# Seeds asked at once: the platform's list lags, so some of them may be gone.
_JOIN_FAN_OUT = 3


class Joiner:
    """Reads the view of peers page by page.

    Attributes:
        is_done: Whether the last page has arrived.
    """

    __slots__ = ("_cursor", "_seeds", "is_done")

    def __init__(self) -> None:
        self.is_done = False
        self._cursor = ""
        self._seeds: set[Endpoint] = set()

    def add_seeds(self, endpoints: Iterable[Endpoint], own: Endpoint) -> None:
        """Adds endpoints to ask, without the own one."""
        self._seeds.update(endpoint for endpoint in endpoints if endpoint != own)

    def needs_request(self, live_count: int) -> bool:
        """Whether the view is incomplete or the instance has lost all peers."""
        return not self.is_done or live_count <= 1

    def make_requests(
        self, own: MemberRecord, peers: list[Member], rng: random.Random
    ) -> list[SendMessage]:
        """Returns requests to seeds, or for the next page to a peer."""
        if peers and self._cursor:
            peer = rng.choice(peers)
            return [SendMessage(peer.member, peer.endpoint, ViewRequest(own.member, self._cursor))]
        seeds = sorted(self._seeds)
        chosen = rng.sample(seeds, min(_JOIN_FAN_OUT, len(seeds)))
        return [SendMessage("", endpoint, JoinRequest(own)) for endpoint in chosen]

    def handle_page(self, page: ViewPage) -> None:
        """Moves the cursor behind the members of a page."""
        if page.records:
            self._cursor = max(self._cursor, page.records[-1].member)
        if page.is_last:
            self.is_done = True
            self._cursor = ""


def make_page(
    sender: str, records: Iterable[MemberRecord], after: str, page_max_bytes: int
) -> ViewPage:
    """Returns the page of records behind a member id that fits into one message."""
    chosen: list[MemberRecord] = []
    room_bytes = page_max_bytes
    for record in records:
        if record.member <= after:
            continue
        room_bytes -= measure_encoded_bytes(record)
        if room_bytes < 0:
            return ViewPage(sender, tuple(chosen), is_last=False)
        chosen.append(record)
    return ViewPage(sender, tuple(chosen), is_last=True)
