"""The other instances and which of them passes on the state of the deployment.

Each instance exchanges statuses with a fixed number of others: the first ones of its data centre
in rendezvous order, from which it may take the state, and a few random ones through which it
hears of the rest. The cost for an instance does not grow with their number.
"""

import random

from catkinspread.hashing import hash_text, rank_by_rendezvous
from catkinspread.peers.messages import (
    Hello,
    HelloReply,
    KnownMember,
    Member,
    MemberStatus,
)

# The instances of a data centre that may read the source for the others.
FEEDERS_PER_DATA_CENTRE = 3
# A status older than this does not count; four intervals of the exchange.
STATUS_TIMEOUT_MS = 1_200
# Without a status from other data centres for three rounds, the own one is cut off from them.
REMOTE_TIMEOUT_MS = 900
# A source that has not answered an instance for this long counts as lost to it.
SOURCE_TIMEOUT_MS = 2_200
# A feeder that has not answered for this long gives its place to the next one.
FEEDER_TIMEOUT_MS = 4_000
# An instance that nobody heard of for this long is forgotten; word of one takes longer to come
# round the more there are.
MEMBER_TIMEOUT_MS = 20_000
MEMBER_TIMEOUT_PER_MEMBER_MS = 250
# Members whose age travels with a status, so that instances that never talk know of each other.
SAMPLE_MEMBERS_MAX = 10
# Members in one reply; bounds the size of the datagram.
LISTED_MEMBERS_MAX = 64
_RANK_KEY = "feeders"


class _PeerRecord:
    """What is known of one other instance."""

    __slots__ = (
        "heard_at_ms",
        "is_unresponsive",
        "member",
        "polled_since_ms",
        "status",
        "status_at_ms",
    )

    def __init__(self, member: Member, heard_at_ms: int) -> None:
        self.member = member
        self.polled_since_ms: int | None = None
        self.is_unresponsive = False
        self.heard_at_ms = heard_at_ms
        self.status: MemberStatus | None = None
        self.status_at_ms = 0


class PeerDirectory:
    """Knows the other instances; every call states the current time.

    Args:
        member: The instance itself.
        rng: Source of random choices.

    Attributes:
        is_polling_remote: Whether feeders of other data centres are asked with each round.
    """

    __slots__ = (
        "_digest",
        "_member",
        "_needs_remote_feeder",
        "_peers",
        "_ranked_names",
        "_rng",
        "is_polling_remote",
    )

    def __init__(self, member: Member, rng: random.Random) -> None:
        self._member = member
        self._rng = rng
        self._peers: dict[str, _PeerRecord] = {}
        self._ranked_names: list[str] = [member.name]
        self._digest = 0
        self._needs_remote_feeder = False
        self.is_polling_remote = False
        self._update_ranking_and_digest()

    def is_partitioned(self, now_ms: int) -> bool:
        """Whether no instance of another data centre answers while they are watched.

        That holds too for an instance that has just heard of them from its neighbours.
        """
        if not self.is_polling_remote:
            return False
        times = [
            peer.status_at_ms
            for peer in self._peers.values()
            if peer.member.data_centre != self._member.data_centre
        ]
        return bool(times) and now_ms - max(times) >= REMOTE_TIMEOUT_MS

    @property
    def digest(self) -> int:
        """Digest of the names of all members, the instance itself included."""
        return self._digest

    def count_members(self) -> int:
        """Returns the number of instances, this one included."""
        return len(self._peers) + 1

    def list_local_peers(self) -> list[Member]:
        """Returns the other instances of the data centre."""
        return [
            peer.member
            for peer in self._peers.values()
            if peer.member.data_centre == self._member.data_centre
        ]

    def apply_status(self, message: Hello | HelloReply, now_ms: int) -> None:
        """Takes the status and members that another instance sent."""
        status = message.status
        if status.member.name == self._member.name:
            return
        peer = self._record_peer(status.member, now_ms)
        peer.status = status
        peer.status_at_ms = now_ms
        if peer.is_unresponsive:
            peer.is_unresponsive = False
            self._update_ranking_and_digest()
        for known in message.members:
            if known.member.name != self._member.name and known.age_ms < self._timeout_ms:
                self._record_peer(known.member, now_ms - known.age_ms)

    def list_known_members(self, now_ms: int, is_sample: bool) -> tuple[KnownMember, ...]:
        """Returns members to pass on, with the time since they were heard of.

        Args:
            now_ms: Current time.
            is_sample: Whether a few random ones are enough; else those heard of last.
        """
        peers = list(self._peers.values())
        if is_sample:
            peers = self._rng.sample(peers, min(SAMPLE_MEMBERS_MAX, len(peers)))
        else:
            peers.sort(key=lambda found: -found.heard_at_ms)
        return tuple(
            KnownMember(peer.member, max(0, now_ms - peer.heard_at_ms))
            for peer in peers[:LISTED_MEMBERS_MAX]
        )

    def expire_members(self, now_ms: int) -> list[str]:
        """Forgets instances that nobody heard of and returns their names.

        Feeders that do not answer give their place to others.
        """
        self._replace_unresponsive_feeders(now_ms)
        lost = [
            name
            for name, peer in self._peers.items()
            if now_ms - peer.heard_at_ms >= self._timeout_ms
        ]
        for name in lost:
            del self._peers[name]
        if lost:
            self._update_ranking_and_digest()
        return lost

    def list_feeders(self) -> list[Member]:
        """Returns the other instances that may read the source for this one.

        Those of other data centres are among them while the own one has none.
        """
        names = [
            name
            for name in self._ranked_names[:FEEDERS_PER_DATA_CENTRE]
            if name != self._member.name
        ]
        if self._needs_remote_feeder or self.is_polling_remote:
            names.extend(self._list_remote_feeders())
        return [self._peers[name].member for name in names]

    def choose_random_peer(self) -> Member | None:
        """Returns one of the instances that this one rarely talks to; None if there is none."""
        others = [
            peer.member
            for name, peer in self._peers.items()
            if name not in self._ranked_names[:FEEDERS_PER_DATA_CENTRE]
        ]
        return self._rng.choice(others) if others else None

    @property
    def _timeout_ms(self) -> int:
        return MEMBER_TIMEOUT_MS + MEMBER_TIMEOUT_PER_MEMBER_MS * len(self._peers)

    def is_feeder(self) -> bool:
        """Whether this instance is one of those that read the source for others."""
        return self._member.name in self._ranked_names[:FEEDERS_PER_DATA_CENTRE]

    def is_first_feeder(self) -> bool:
        """Whether this instance is the first to read the source in its data centre."""
        return self._ranked_names[0] == self._member.name

    def choose_feeder(self, source_age_ms: int | None, now_ms: int) -> Member | None:
        """Returns the instance to take the state from; None to read the source.

        An instance of the own data centre goes before others, and the order among them is the
        same everywhere, so that one or two read the source for all.

        Args:
            source_age_ms: Time since the source answered this instance; None if it does not.
            now_ms: Current time.
        """
        self._needs_remote_feeder = False
        is_own_good = source_age_ms is not None and source_age_ms < SOURCE_TIMEOUT_MS
        for name in self._ranked_names[:FEEDERS_PER_DATA_CENTRE]:
            if name == self._member.name:
                if is_own_good:
                    return None
            elif self._can_feed(self._peers[name], now_ms):
                return self._peers[name].member
        if is_own_good:
            return None
        self._needs_remote_feeder = True
        for name in self._list_remote_feeders():
            if self._can_feed(self._peers[name], now_ms):
                return self._peers[name].member
        return None

    def list_peers_with_state(self, now_ms: int) -> list[Member]:
        """Returns the instances that could pass on what they know, nearest first.

        Those of one data centre are in random order, so that many instances that start at the
        same time don't all ask one.
        """
        found = [
            peer.member
            for peer in self._peers.values()
            if peer.status is not None
            and peer.status.has_state
            and now_ms - peer.status_at_ms < STATUS_TIMEOUT_MS
        ]
        own = self._member.data_centre
        self._rng.shuffle(found)
        return sorted(found, key=lambda member: member.data_centre != own)

    def _list_remote_feeders(self) -> list[str]:
        """Returns the first feeders of the other data centres, FEEDERS_PER_DATA_CENTRE at most."""
        by_data_centre: dict[str, list[str]] = {}
        for name, peer in self._peers.items():
            if peer.member.data_centre != self._member.data_centre:
                by_data_centre.setdefault(peer.member.data_centre, []).append(name)
        ranked = [
            rank_by_rendezvous(_RANK_KEY, by_data_centre[data_centre])
            for data_centre in sorted(by_data_centre)
        ]
        firsts = [
            names[place]
            for place in range(FEEDERS_PER_DATA_CENTRE)
            for names in ranked
            if place < len(names)
        ]
        return firsts[:FEEDERS_PER_DATA_CENTRE]

    def _can_feed(self, peer: _PeerRecord, now_ms: int) -> bool:
        status = peer.status
        status_age_ms = now_ms - peer.status_at_ms
        return (
            status is not None
            and status.has_state
            and not status.is_leaving
            and status.source_age_ms is not None
            and status_age_ms < STATUS_TIMEOUT_MS
            and status.source_age_ms + status_age_ms < SOURCE_TIMEOUT_MS
        )

    def _record_peer(self, member: Member, heard_at_ms: int) -> _PeerRecord:
        peer = self._peers.get(member.name)
        if peer is None:
            peer = _PeerRecord(member, heard_at_ms)
            self._peers[member.name] = peer
            self._update_ranking_and_digest()
            return peer
        if member.started_ms > peer.member.started_ms:
            peer.member = member
            peer.status = None
        peer.heard_at_ms = max(peer.heard_at_ms, heard_at_ms)
        return peer

    def _replace_unresponsive_feeders(self, now_ms: int) -> None:
        is_changed = False
        for name in self._ranked_names[:FEEDERS_PER_DATA_CENTRE]:
            peer = self._peers.get(name)
            if peer is None:
                continue
            if peer.polled_since_ms is None:
                peer.polled_since_ms = now_ms
            if now_ms - max(peer.polled_since_ms, peer.status_at_ms) >= FEEDER_TIMEOUT_MS:
                peer.is_unresponsive = True
                peer.polled_since_ms = None
                is_changed = True
        if is_changed:
            self._update_ranking_and_digest()

    def _update_ranking_and_digest(self) -> None:
        neighbours = [
            member.name
            for member in self.list_local_peers()
            if not self._peers[member.name].is_unresponsive
        ]
        self._ranked_names = rank_by_rendezvous(_RANK_KEY, [*neighbours, self._member.name])
        names = sorted([*self._peers, self._member.name])
        self._digest = hash_text("\n".join(names))
