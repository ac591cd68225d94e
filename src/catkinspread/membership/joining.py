"""Transfer of a peer's view to an instance that starts or has lost all peers.

The first requests go to seeds: endpoints of instances from the settings or from the list of
instances that the deployment platform keeps. That list may be out of date and include stopped
instances.
"""

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

# Several seeds are asked at once, because some of them may have stopped.
_JOIN_FAN_OUT = 3


class Joiner:
    """Requests the view of a peer page by page; the next page may come from another peer.

    Attributes:
        is_joined: Whether the last page has been received since the start of this instance. Stays
            true if all peers are lost later.
    """

    __slots__ = ("_last_received_id", "_seeds", "is_joined")

    def __init__(self) -> None:
        self.is_joined = False
        # Id of the last member received; empty before the first page and after the last one.
        self._last_received_id = ""
        self._seeds: set[Endpoint] = set()

    def add_seeds(self, endpoints: Iterable[Endpoint], own: Endpoint) -> None:
        """Adds seed endpoints, except the endpoint of this instance."""
        self._seeds.update(endpoint for endpoint in endpoints if endpoint != own)

    def needs_request(self, live_count: int) -> bool:
        """Whether the last page has not arrived yet or no other member is live."""
        return not self.is_joined or live_count <= 1

    def make_requests(
        self, own: MemberRecord, peers: list[Member], rng: random.Random
    ) -> list[SendMessage]:
        """Returns a view request to a random peer, or join requests to up to 3 random seeds.

        The view request asks for the next page. It is returned if a page has been received, the
        last page has not, and a peer is known. Otherwise, without seeds, the list is empty.
        """
        if peers and self._last_received_id:
            peer = rng.choice(peers)
            return [
                SendMessage(
                    peer.member, peer.endpoint, ViewRequest(own.member, self._last_received_id)
                )
            ]
        seeds = sorted(self._seeds)
        chosen = rng.sample(seeds, min(_JOIN_FAN_OUT, len(seeds)))
        return [SendMessage("", endpoint, JoinRequest(own)) for endpoint in chosen]

    def handle_page(self, page: ViewPage) -> None:
        """Records the last member of a page, or that the page is the last one."""
        if page.records:
            self._last_received_id = max(self._last_received_id, page.records[-1].member)
        if page.is_last:
            self.is_joined = True
            self._last_received_id = ""


def make_page(
    sender: str, records: Iterable[MemberRecord], after: str, page_max_bytes: int
) -> ViewPage:
    """Returns the records that follow a member id, up to the size limit.

    Args:
        sender: Id of this instance.
        records: All known members in order of id.
        after: The page starts with the first id greater than this one.
        page_max_bytes: Largest total size of the encoded records.
    """
    chosen: list[MemberRecord] = []
    remaining_bytes = page_max_bytes
    for record in records:
        if record.member <= after:
            continue
        remaining_bytes -= measure_encoded_bytes(record)
        if remaining_bytes < 0:
            return ViewPage(sender, tuple(chosen), is_last=False)
        chosen.append(record)
    return ViewPage(sender, tuple(chosen), is_last=True)
