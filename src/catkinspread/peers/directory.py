"""Membership of the deployment and selection of feeders.

A feeder is an instance that reads the deployment state from the source and serves it to others. The
feeders of a data centre are its first responsive instances in rendezvous order; a follower is an
instance that is not a feeder. Each instance exchanges statuses with the feeders and, through gossip,
with a few random instances from which it learns of all others, so the cost per instance does not
grow with the number of instances. Most random instances are chosen in the own data centre, so that
the cost of the links between data centres does not grow with the number of instances either.
"""

import random

import msgspec

from catkinspread.hashing import hash_text, rank_by_rendezvous
from catkinspread.peers.instance_count import InstanceCountEstimate
from catkinspread.peers.member_lists import RANK_KEY, MemberLists
from catkinspread.peers.messages import (
    Hello,
    HelloReply,
    KnownMember,
    Member,
)
from catkinspread.peers.peer_record import PeerRecord

# Feeders of a data centre: the instances that may read the source on behalf of the others.
FEEDERS_PER_DATA_CENTRE = 3
# Maximum number of feeders of other data centres that an instance polls, over all data centres.
REMOTE_FEEDERS_MAX = 3
# Age at which a status is ignored: four times `exchange.HELLO_INTERVAL_MS`.
STATUS_TIMEOUT_MS = 1_200
# Time without a status from any instance of another data centre after which this instance counts as
# partitioned: two lost hellos at the longest interval of `exchange.HELLO_INTERVAL_MS` with jitter,
# and some latency.
REMOTE_TIMEOUT_MS = 700
# Age of the last answer of the source at which an instance is no longer used as a feeder and no
# longer relies on its own access to the source.
SOURCE_TIMEOUT_MS = 2_200
# Time without a status after which a feeder is replaced by the next instance in rendezvous order.
FEEDER_TIMEOUT_MS = 4_000
# Time for which an instance that leaves goes on to answer: a planned stop takes longer, see
# `runtime.graceful_shutdown.SHUTDOWN_MIN_MS`.
LEAVING_ANSWERS_MS = 1_200
# Time for which a feeder is not selected again after its answers have failed.
FAILED_FEEDER_PAUSE_MS = 5_000
# Time without news of an instance after which it is removed. The second constant is added for each
# other instance that is known, because gossip takes longer to reach more instances.
MEMBER_TIMEOUT_MS = 20_000
MEMBER_TIMEOUT_PER_MEMBER_MS = 250
# Time for which lost instances of the data centre are counted: longer than a flow lives.
LOST_LOCAL_MS = 70_000
# Target for the exchanges of all instances of a data centre with random ones of others, per second.
# Small data centres do not reach it, because their instances choose among all members alike.
REMOTE_EXCHANGES_PER_S = 4.0
# Interval at which an instance chooses a random peer, in ms.
RANDOM_PEER_INTERVAL_MS = 900
_MS_PER_S = 1_000


class PeerDirectory:
    """Tracks the other instances and selects feeders among them.

    Methods that depend on time take the current time as an argument.

    Args:
        member: This instance.
        rng: Source of random choices.
    """

    __slots__ = (
        "_digest",
        "_feeder_name",
        "_instance_count",
        "_local_hosts",
        "_lost_local_at_ms",
        "_member",
        "_member_lists",
        "_needs_remote_feeder",
        "_peers",
        "_ranked_names",
        "_remote_polling_since_ms",
        "_rng",
        "_source_era",
    )

    def __init__(self, member: Member, rng: random.Random) -> None:
        self._member = member
        self._rng = rng
        self._peers: dict[str, PeerRecord] = {}
        self._member_lists = MemberLists(self._peers, rng)
        self._instance_count = InstanceCountEstimate()
        self._ranked_names: list[str] = [member.name]
        self._digest = 0
        self._local_hosts: frozenset[str] = frozenset()
        # When instances of this data centre were removed without notice.
        self._lost_local_at_ms: list[int] = []
        self._needs_remote_feeder = False
        # Name of the feeder that was selected last; empty if there was none.
        self._feeder_name = ""
        self._remote_polling_since_ms: int | None = None
        # Feeders of an earlier era of the source are not selected.
        self._source_era = 0
        self._update_ranking_and_digest()

    def record_source_era(self, era: int, feeder: Member | None) -> None:
        """Notes that the source is in a later era.

        Args:
            era: The era.
            feeder: Instance that told of it; None if it was the source.
        """
        self._source_era = era
        peer = self._peers.get(feeder.name) if feeder else None
        if peer is not None and peer.status is not None:
            # Its last status may be older than the restoration.
            peer.status = msgspec.structs.replace(peer.status, source_era=era)

    @property
    def is_polling_remote(self) -> bool:
        """Whether hellos go to feeders of other data centres in each round."""
        return self._remote_polling_since_ms is not None

    def set_remote_polling(self, is_active: bool, now_ms: int) -> None:
        """Starts or stops sending hellos to feeders of other data centres in each round."""
        if not is_active:
            self._remote_polling_since_ms = None
        elif self._remote_polling_since_ms is None:
            self._remote_polling_since_ms = now_ms

    def is_partitioned(self, now_ms: int) -> bool:
        """Whether no instance of another data centre answers while they are polled.

        Statuses are rare before the polling starts, so their age counts from then on. An instance
        that has learned of other data centres only from local peers counts as partitioned until an
        instance of one of them answers.
        """
        since_ms = self._remote_polling_since_ms
        times = [
            peer.status_at_ms
            for peer in self._peers.values()
            if peer.member.data_centre != self._member.data_centre
        ]
        if since_ms is None or not times:
            return False
        if not any(times):
            return True
        return now_ms - max(*times, since_ms) >= REMOTE_TIMEOUT_MS

    @property
    def digest(self) -> int:
        """Digest of the names of all members, including this instance.

        It is `hash_text` of the sorted names, joined by newlines; instances with equal digests know
        the same members.
        """
        return self._digest

    def count_members(self) -> int:
        """Returns the number of members, including this instance."""
        return len(self._peers) + 1

    def count_known_instances(self) -> int:
        """Returns the number of members and of instances lost without notice; see `MemberStatus`."""
        return self._instance_count.count_known(self.count_members())

    def estimate_instance_count(self, now_ms: int) -> int:
        """Returns the number of instances to divide a rate by; see `InstanceCountEstimate`."""
        return self._instance_count.estimate(self.count_members(), now_ms)

    def confirm_alone(self, now_ms: int) -> None:
        """Records that a check found no trace of another instance."""
        self._instance_count.confirm_alone(now_ms)

    def list_hosts(self) -> list[str]:
        """Returns the addresses of the other instances."""
        return [peer.member.host for peer in self._peers.values()]

    def is_remote_host(self, host: str) -> bool:
        """Whether an address belongs to another data centre; also if it is not known."""
        return host not in self._local_hosts

    @property
    def started_ms(self) -> int:
        """When this process started."""
        return self._member.started_ms

    def count_lost_local(self, since_ms: int) -> int:
        """Returns how many instances of this data centre were removed without notice since a time.

        Those that were removed more than LOST_LOCAL_MS ago are not counted.
        """
        return sum(lost_at_ms >= since_ms for lost_at_ms in self._lost_local_at_ms)

    def list_local_peers(self) -> list[Member]:
        """Returns the other instances of this data centre."""
        return [
            peer.member
            for peer in self._peers.values()
            if peer.member.data_centre == self._member.data_centre
        ]

    def list_remote_peers(self) -> list[Member]:
        """Returns the instances of other data centres."""
        return [
            peer.member
            for peer in self._peers.values()
            if peer.member.data_centre != self._member.data_centre
        ]

    def list_staying_peers(self) -> list[Member]:
        """Returns the other instances of this data centre that have not said that they leave."""
        return [
            peer.member
            for peer in self._peers.values()
            if peer.member.data_centre == self._member.data_centre
            and (peer.status is None or not peer.status.is_leaving)
        ]

    def list_answering_hosts(self, now_ms: int) -> frozenset[str]:
        """Returns the addresses of the other instances of this data centre that answer questions.

        One that leaves still answers for LEAVING_ANSWERS_MS, and may be the only one that knows.
        """
        return frozenset(
            peer.member.host
            for peer in self._peers.values()
            if peer.member.data_centre == self._member.data_centre
            and _answers_questions(peer, now_ms)
        )

    def list_remote_names(self, now_ms: int, include_leaving: bool) -> dict[str, list[str]]:
        """Returns the names of the instances of other data centres, by data centre.

        Args:
            now_ms: Current time.
            include_leaving: Whether to include those that leave, while they still answer.
        """
        names: dict[str, list[str]] = {}
        for name, peer in self._peers.items():
            if peer.member.data_centre == self._member.data_centre:
                continue
            if peer.leaving_since_ms is None or (
                include_leaving and _answers_questions(peer, now_ms)
            ):
                names.setdefault(peer.member.data_centre, []).append(name)
        return names

    def get_host(self, name: str) -> str:
        """Returns the address of another instance.

        Raises:
            KeyError: If there is no such member.
        """
        return self._peers[name].member.host

    def choose_random_hosts(self, count: int) -> list[str]:
        """Returns the addresses of up to `count` random instances of all data centres."""
        peers = list(self._peers.values())
        return [peer.member.host for peer in self._rng.sample(peers, min(count, len(peers)))]

    def apply_message(self, message: Hello | HelloReply, now_ms: int) -> None:
        """Applies the status of the sender and the listed members.

        A message from this instance itself is ignored, and so are listed members that have timed
        out.
        """
        status = message.status
        if status.member.name == self._member.name:
            return
        self._instance_count.record_told(status.known_instances, now_ms)
        peer = self._record_peer(status.member, now_ms, now_ms)
        peer.record_status(status, now_ms)
        if peer.is_unresponsive:
            peer.is_unresponsive = False
            self._update_ranking_and_digest()
        for known in message.members:
            if known.member.name != self._member.name and known.age_ms < self._timeout_ms:
                self._record_peer(known.member, now_ms - known.age_ms, now_ms)

    def sample_members(self, now_ms: int) -> tuple[KnownMember, ...]:
        """Returns a random sample of the members, to include in a hello."""
        return self._member_lists.sample(now_ms)

    def list_members_for_reply(self, hello: Hello, now_ms: int) -> tuple[KnownMember, ...]:
        """Returns the members to include in the reply to a hello; see `MemberLists`."""
        return self._member_lists.list_for_reply(hello, self._digest, now_ms)

    def expire_members(self, now_ms: int) -> list[str]:
        """Removes members that have timed out and returns their names.

        Replaces unresponsive feeders as well.
        """
        self._replace_unresponsive_feeders(now_ms)
        lost = [
            name
            for name, peer in self._peers.items()
            if now_ms - peer.last_heard_at_ms >= self._timeout_ms
        ]
        for name in lost:
            peer = self._peers.pop(name)
            if peer.status is None or not peer.status.is_leaving:
                self._instance_count.record_lost(name, now_ms)
                if peer.member.data_centre == self._member.data_centre:
                    self._lost_local_at_ms.append(now_ms)
        self._lost_local_at_ms = [
            lost_at_ms
            for lost_at_ms in self._lost_local_at_ms
            if now_ms - lost_at_ms < LOST_LOCAL_MS
        ]
        self._instance_count.expire(now_ms)
        if lost:
            self._update_ranking_and_digest()
        return lost

    def list_feeders_to_poll(self, include_standby: bool = True) -> list[Member]:
        """Returns the feeders that receive a hello in a round, excluding this instance.

        Feeders of other data centres are included if `is_polling_remote` is set, or if the last
        call of `select_feeder` found neither a local feeder nor access to the source.

        Args:
            include_standby: Whether to include the other local feeders if that call selected one.
        """
        names = [
            name
            for name in self._ranked_names[:FEEDERS_PER_DATA_CENTRE]
            if name != self._member.name and (include_standby or self._feeder_name in ("", name))
        ]
        if self._needs_remote_feeder or self.is_polling_remote:
            names.extend(self._list_remote_feeders())
        return [self._peers[name].member for name in names]

    def choose_random_peer(self) -> Member | None:
        """Returns a random peer that is not a local feeder; None if there is none.

        In a large data centre, peers of other ones are chosen so rarely that all its instances
        together reach REMOTE_EXCHANGES_PER_S.
        """
        feeders = self._ranked_names[:FEEDERS_PER_DATA_CENTRE]
        others = [peer.member for name, peer in self._peers.items() if name not in feeders]
        own = self._member.data_centre
        remote = [member for member in others if member.data_centre != own]
        local = [member for member in others if member.data_centre == own]
        if not remote or not local:
            return self._rng.choice(others) if others else None
        local_count = len(self._local_hosts) + 1
        target_share = REMOTE_EXCHANGES_PER_S * RANDOM_PEER_INTERVAL_MS / _MS_PER_S / local_count
        remote_share = min(len(remote) / len(others), target_share)
        return self._rng.choice(remote if self._rng.random() < remote_share else local)

    @property
    def _timeout_ms(self) -> int:
        return MEMBER_TIMEOUT_MS + MEMBER_TIMEOUT_PER_MEMBER_MS * len(self._peers)

    def is_feeder(self) -> bool:
        """Whether this instance is a feeder of its data centre."""
        return self._member.name in self._ranked_names[:FEEDERS_PER_DATA_CENTRE]

    def list_feeder_hosts(self) -> tuple[str, ...]:
        """Returns the addresses of the feeders of this data centre, including this instance's."""
        return tuple(
            self._member.host if name == self._member.name else self._peers[name].member.host
            for name in self._ranked_names[:FEEDERS_PER_DATA_CENTRE]
        )

    def is_first_feeder(self) -> bool:
        """Whether this instance is the first feeder of its data centre."""
        return self._ranked_names[0] == self._member.name

    def select_feeder(self, source_age_ms: int | None, now_ms: int) -> Member | None:
        """Selects the feeder from which this instance reads the state.

        Local feeders are preferred, and all instances rank them in the same order, so that one or
        two instances of a data centre read the source for all. If neither a local feeder nor the
        source is available, a remote feeder is selected, and `list_feeders_to_poll` includes
        remote feeders until the next call.

        Args:
            source_age_ms: Time in ms since the source last answered this instance; None if it does
                not answer.
            now_ms: Current time.

        Returns:
            The feeder; None to read the source directly, because it is available and preferred or
            because no feeder is available either.
        """
        feeder = self._find_feeder(source_age_ms, now_ms)
        self._feeder_name = feeder.name if feeder else ""
        return feeder

    def _find_feeder(self, source_age_ms: int | None, now_ms: int) -> Member | None:
        self._needs_remote_feeder = False
        is_source_available = source_age_ms is not None and source_age_ms < SOURCE_TIMEOUT_MS
        for name in self._ranked_names[:FEEDERS_PER_DATA_CENTRE]:
            if name == self._member.name:
                if is_source_available:
                    return None
            elif self._can_feed(self._peers[name], now_ms):
                return self._peers[name].member
        if is_source_available:
            return None
        self._needs_remote_feeder = True
        for name in self._list_remote_feeders():
            if self._can_feed(self._peers[name], now_ms):
                return self._peers[name].member
        return None

    def record_failed_feeder(self, name: str, now_ms: int) -> None:
        """Does not select an instance as the feeder for FAILED_FEEDER_PAUSE_MS.

        Its status may be good although its answers fail.
        """
        peer = self._peers.get(name)
        if peer is not None:
            peer.feed_failed_until_ms = now_ms + FAILED_FEEDER_PAUSE_MS

    def find_source_answer_at_ms(self, name: str) -> int | None:
        """Returns when the source last answered an instance, as its last status tells.

        Returns None if the source does not answer it or no status of it has arrived.
        """
        peer = self._peers.get(name)
        if peer is None or peer.status is None or peer.status.source_age_ms is None:
            return None
        return peer.status_at_ms - peer.status.source_age_ms

    def list_changed_revisions(self, name: str, era: int) -> tuple[int, ...]:
        """Returns the revisions of the last changes that an instance can serve.

        They are in the order of `StateKind`, as its last status tells, and empty if that is of
        another era of the source.
        """
        peer = self._peers.get(name)
        if peer is None or peer.status is None or peer.status.source_era != era:
            return ()
        return peer.status.changed_revisions

    def list_peers_with_state(self, now_ms: int) -> list[Member]:
        """Returns the peers that hold the deployment state, in the order in which to ask them.

        Peers that know of the latest era of the source come first, then those of this data centre.
        Within each group the order is random, so that instances that start at the same time do not
        all read from the same peer.
        """
        found = [
            (peer.status.source_era or 0, peer.member)
            for peer in self._peers.values()
            if peer.status is not None
            and peer.status.has_state
            and now_ms - peer.status_at_ms < STATUS_TIMEOUT_MS
        ]
        own = self._member.data_centre
        self._rng.shuffle(found)
        found.sort(key=lambda entry: (-entry[0], entry[1].data_centre != own))
        return [member for _, member in found]

    def _list_remote_feeders(self) -> list[str]:
        """Returns up to REMOTE_FEEDERS_MAX feeders of other data centres.

        They are taken by rank, round-robin over the data centres.
        """
        by_data_centre: dict[str, list[str]] = {}
        for name, peer in self._peers.items():
            if peer.member.data_centre != self._member.data_centre:
                by_data_centre.setdefault(peer.member.data_centre, []).append(name)
        ranked = [
            rank_by_rendezvous(RANK_KEY, by_data_centre[data_centre])
            for data_centre in sorted(by_data_centre)
        ]
        interleaved = [
            names[rank]
            for rank in range(FEEDERS_PER_DATA_CENTRE)
            for names in ranked
            if rank < len(names)
        ]
        return interleaved[:REMOTE_FEEDERS_MAX]

    def _can_feed(self, peer: PeerRecord, now_ms: int) -> bool:
        status = peer.status
        status_age_ms = now_ms - peer.status_at_ms
        return (
            status is not None
            and now_ms >= peer.feed_failed_until_ms
            and status.has_state
            and not status.is_leaving
            and status.source_era is not None
            and status.source_era >= self._source_era
            and status.source_age_ms is not None
            and status_age_ms < STATUS_TIMEOUT_MS
            and status.source_age_ms + status_age_ms < SOURCE_TIMEOUT_MS
        )

    def _record_peer(self, member: Member, last_heard_at_ms: int, now_ms: int) -> PeerRecord:
        peer = self._peers.get(member.name)
        if peer is None:
            peer = PeerRecord(member, last_heard_at_ms, now_ms)
            self._peers[member.name] = peer
            self._instance_count.record_found(member.name)
            self._update_ranking_and_digest()
            return peer
        if member.started_ms > peer.member.started_ms:
            peer.member = member
            peer.status = None
        peer.last_heard_at_ms = max(peer.last_heard_at_ms, last_heard_at_ms)
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
        local_members = self.list_local_peers()
        self._local_hosts = frozenset(member.host for member in local_members)
        responsive_names = [
            member.name for member in local_members if not self._peers[member.name].is_unresponsive
        ]
        self._ranked_names = rank_by_rendezvous(RANK_KEY, [*responsive_names, self._member.name])
        names = sorted([*self._peers, self._member.name])
        self._digest = hash_text("\n".join(names))


def _answers_questions(peer: PeerRecord, now_ms: int) -> bool:
    """Whether the process of an instance still runs, as far as it has told."""
    since_ms = peer.leaving_since_ms
    return since_ms is None or now_ms - since_ms < LEAVING_ANSWERS_MS
