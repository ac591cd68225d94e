"""Lists of members to include in the messages between instances."""

import random
from collections.abc import Mapping

from catkinspread.hashing import rank_by_rendezvous
from catkinspread.peers.messages import Hello, KnownMember
from catkinspread.peers.peer_record import PeerRecord

# Members in a random sample; samples carry the times at which members were last heard from to
# instances that never exchange messages with these members directly.
SAMPLE_MEMBERS_MAX = 32
# Members that were added last, which are listed in addition to a sample if the digests differ.
NEWEST_MEMBERS_MAX = 4
# An instance that starts is told the first members of its data centre in rendezvous order, among which
# the feeders are, and the members that were heard from last.
RANKED_MEMBERS_MAX = 8
RECENT_MEMBERS_MAX = 16
# Key of the rendezvous order in which the instances of a data centre are feeders.
RANK_KEY = "feeders"


class MemberLists:
    """Chooses members to tell other instances about.

    Args:
        peers: The other instances by name; the directory changes it.
        rng: Source of random choices.
    """

    __slots__ = ("_peers", "_rng")

    def __init__(self, peers: Mapping[str, PeerRecord], rng: random.Random) -> None:
        self._peers = peers
        self._rng = rng

    def sample(self, now_ms: int) -> tuple[KnownMember, ...]:
        """Returns a random sample of the members, to include in a hello."""
        return _describe(self._sample_peers(), now_ms)

    def list_for_reply(self, hello: Hello, own_digest: int, now_ms: int) -> tuple[KnownMember, ...]:
        """Returns the members to include in the reply to a hello.

        An instance without the state has just started and is told whom to read it from. A hello
        with members is gossip and is answered with a sample. Any other one only polls the status.

        Args:
            hello: The hello.
            own_digest: Digest of the members of this instance.
            now_ms: Current time.
        """
        if not hello.status.has_state:
            return self._list_for_start(hello.status.member.data_centre, now_ms)
        if not hello.members:
            return ()
        peers = self._sample_peers()
        if hello.digest != own_digest:
            newest = sorted(self._peers.values(), key=lambda peer: -peer.added_at_ms)
            peers.extend(peer for peer in newest[:NEWEST_MEMBERS_MAX] if peer not in peers)
        return _describe(peers, now_ms)

    def _list_for_start(self, data_centre: str, now_ms: int) -> tuple[KnownMember, ...]:
        local_names = [
            name for name, peer in self._peers.items() if peer.member.data_centre == data_centre
        ]
        ranked = rank_by_rendezvous(RANK_KEY, local_names)[:RANKED_MEMBERS_MAX]
        peers = [self._peers[name] for name in ranked]
        recent = sorted(self._peers.values(), key=lambda peer: -peer.last_heard_at_ms)
        peers.extend(peer for peer in recent[:RECENT_MEMBERS_MAX] if peer not in peers)
        return _describe(peers, now_ms)

    def _sample_peers(self) -> list[PeerRecord]:
        peers = list(self._peers.values())
        return self._rng.sample(peers, min(SAMPLE_MEMBERS_MAX, len(peers)))


def _describe(peers: list[PeerRecord], now_ms: int) -> tuple[KnownMember, ...]:
    return tuple(KnownMember(peer.member, max(0, now_ms - peer.last_heard_at_ms)) for peer in peers)
