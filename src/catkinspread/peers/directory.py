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
FEEDERS = 3
# A status older than this does not count; four intervals of the exchange.
STATUS_TIMEOUT_MS = 1_200
# Without a status from other data centres for three rounds, the own one is cut off from them.
REMOTE_SILENCE_MS = 900
# A source that has not answered an instance for this long counts as lost to it.
SOURCE_TIMEOUT_MS = 2_200
# A feeder that has not answered for this long gives its place to the next one.
FEEDER_TIMEOUT_MS = 4_000
# An instance that nobody heard of for this long is forgotten; word of one takes longer to come
# round the more there are.
MEMBER_TIMEOUT_MS = 20_000
MEMBER_TIMEOUT_EACH_MS = 250
# Members whose age travels with a status, so that instances that never talk know of each other.
MEMBERS_PER_HELLO = 10
# Members in one reply; bounds the size of the datagram.
MEMBERS_PER_REPLY = 64
_RANK_KEY = "feeders"


class _Contact:
    """What is known of one other instance."""

    __slots__ = ("asked_since_ms", "heard_at_ms", "is_silent", "member", "status", "status_at_ms")

    def __init__(self, member: Member, heard_at_ms: int) -> None:
        self.member = member
        self.asked_since_ms: int | None = None
        self.is_silent = False
        self.heard_at_ms = heard_at_ms
        self.status: MemberStatus | None = None
        self.status_at_ms = 0


class PeerDirectory:
    """Knows the other instances; every call states the current time.

    Args:
        member: The instance itself.
        rng: Source of random choices.

    Attributes:
        is_watching_remote: Whether feeders of other data centres are asked with each round.
    """

    __slots__ = (
        "_contacts",
        "_digest",
        "_member",
        "_needs_remote",
        "_ranks",
        "_rng",
        "is_watching_remote",
    )

    def __init__(self, member: Member, rng: random.Random) -> None:
        self._member = member
        self._rng = rng
        self._contacts: dict[str, _Contact] = {}
        self._ranks: list[str] = [member.name]
        self._digest = 0
        self._needs_remote = False
        self.is_watching_remote = False
        self._renew()

    def is_cut_off(self, now_ms: int) -> bool:
        """Whether no instance of another data centre answers while they are watched.

        That holds too for an instance that has just heard of them from its neighbours.
        """
        if not self.is_watching_remote:
            return False
        times = [
            contact.status_at_ms
            for contact in self._contacts.values()
            if contact.member.data_centre != self._member.data_centre
        ]
        return bool(times) and now_ms - max(times) >= REMOTE_SILENCE_MS

    @property
    def digest(self) -> int:
        """Digest of the names of all members, the instance itself included."""
        return self._digest

    def count_members(self) -> int:
        """Returns the number of instances, this one included."""
        return len(self._contacts) + 1

    def list_neighbours(self) -> list[Member]:
        """Returns the other instances of the data centre."""
        return [
            contact.member
            for contact in self._contacts.values()
            if contact.member.data_centre == self._member.data_centre
        ]

    def take(self, message: Hello | HelloReply, now_ms: int) -> None:
        """Takes the status and members that another instance sent."""
        status = message.status
        if status.member.name == self._member.name:
            return
        contact = self._hear(status.member, now_ms)
        contact.status = status
        contact.status_at_ms = now_ms
        if contact.is_silent:
            contact.is_silent = False
            self._renew()
        for known in message.members:
            if known.member.name != self._member.name and known.age_ms < self._timeout_ms:
                self._hear(known.member, now_ms - known.age_ms)

    def list_known(self, now_ms: int, is_sample: bool) -> tuple[KnownMember, ...]:
        """Returns members to pass on, with the time since they were heard of.

        Args:
            now_ms: Current time.
            is_sample: Whether a few random ones are enough; else those heard of last.
        """
        contacts = list(self._contacts.values())
        if is_sample:
            contacts = self._rng.sample(contacts, min(MEMBERS_PER_HELLO, len(contacts)))
        else:
            contacts.sort(key=lambda found: -found.heard_at_ms)
        return tuple(
            KnownMember(contact.member, max(0, now_ms - contact.heard_at_ms))
            for contact in contacts[:MEMBERS_PER_REPLY]
        )

    def expire(self, now_ms: int) -> list[str]:
        """Forgets instances that nobody heard of and returns their names.

        Feeders that do not answer give their place to others.
        """
        self._replace_silent_feeders(now_ms)
        lost = [
            name
            for name, contact in self._contacts.items()
            if now_ms - contact.heard_at_ms >= self._timeout_ms
        ]
        for name in lost:
            del self._contacts[name]
        if lost:
            self._renew()
        return lost

    def list_feeders(self) -> list[Member]:
        """Returns the other instances that may read the source for this one.

        Those of other data centres are among them while the own one has none.
        """
        names = [name for name in self._ranks[:FEEDERS] if name != self._member.name]
        if self._needs_remote or self.is_watching_remote:
            names.extend(self._list_remote_feeders())
        return [self._contacts[name].member for name in names]

    def choose_random(self) -> Member | None:
        """Returns one of the instances that this one rarely talks to; None if there is none."""
        others = [
            contact.member
            for name, contact in self._contacts.items()
            if name not in self._ranks[:FEEDERS]
        ]
        return self._rng.choice(others) if others else None

    @property
    def _timeout_ms(self) -> int:
        return MEMBER_TIMEOUT_MS + MEMBER_TIMEOUT_EACH_MS * len(self._contacts)

    def may_feed(self) -> bool:
        """Whether this instance is one of those that read the source for others."""
        return self._member.name in self._ranks[:FEEDERS]

    def is_first(self) -> bool:
        """Whether this instance is the first to read the source in its data centre."""
        return self._ranks[0] == self._member.name

    def choose_feeder(self, source_age_ms: int | None, now_ms: int) -> Member | None:
        """Returns the instance to take the state from; None to read the source.

        An instance of the own data centre goes before others, and the order among them is the
        same everywhere, so that one or two read the source for all.

        Args:
            source_age_ms: Time since the source answered this instance; None if it does not.
            now_ms: Current time.
        """
        self._needs_remote = False
        is_own_good = source_age_ms is not None and source_age_ms < SOURCE_TIMEOUT_MS
        for name in self._ranks[:FEEDERS]:
            if name == self._member.name:
                if is_own_good:
                    return None
            elif self._is_feeding(self._contacts[name], now_ms):
                return self._contacts[name].member
        if is_own_good:
            return None
        self._needs_remote = True
        for name in self._list_remote_feeders():
            if self._is_feeding(self._contacts[name], now_ms):
                return self._contacts[name].member
        return None

    def find_any_with_state(self, now_ms: int) -> list[Member]:
        """Returns the instances that could pass on what they know, nearest first.

        Those of one data centre are in random order, so that many instances that start at the
        same time don't all ask one.
        """
        found = [
            contact.member
            for contact in self._contacts.values()
            if contact.status is not None
            and contact.status.has_state
            and now_ms - contact.status_at_ms < STATUS_TIMEOUT_MS
        ]
        own = self._member.data_centre
        self._rng.shuffle(found)
        return sorted(found, key=lambda member: member.data_centre != own)

    def _list_remote_feeders(self) -> list[str]:
        """Returns the first feeders of the other data centres, FEEDERS at most."""
        by_data_centre: dict[str, list[str]] = {}
        for name, contact in self._contacts.items():
            if contact.member.data_centre != self._member.data_centre:
                by_data_centre.setdefault(contact.member.data_centre, []).append(name)
        ranked = [
            rank_by_rendezvous(_RANK_KEY, by_data_centre[data_centre])
            for data_centre in sorted(by_data_centre)
        ]
        firsts = [
            names[place] for place in range(FEEDERS) for names in ranked if place < len(names)
        ]
        return firsts[:FEEDERS]

    def _is_feeding(self, contact: _Contact, now_ms: int) -> bool:
        status = contact.status
        status_age_ms = now_ms - contact.status_at_ms
        return (
            status is not None
            and status.has_state
            and not status.is_leaving
            and status.source_age_ms is not None
            and status_age_ms < STATUS_TIMEOUT_MS
            and status.source_age_ms + status_age_ms < SOURCE_TIMEOUT_MS
        )

    def _hear(self, member: Member, heard_at_ms: int) -> _Contact:
        contact = self._contacts.get(member.name)
        if contact is None:
            contact = _Contact(member, heard_at_ms)
            self._contacts[member.name] = contact
            self._renew()
            return contact
        if member.started_ms > contact.member.started_ms:
            contact.member = member
            contact.status = None
        contact.heard_at_ms = max(contact.heard_at_ms, heard_at_ms)
        return contact

    def _replace_silent_feeders(self, now_ms: int) -> None:
        is_changed = False
        for name in self._ranks[:FEEDERS]:
            contact = self._contacts.get(name)
            if contact is None:
                continue
            if contact.asked_since_ms is None:
                contact.asked_since_ms = now_ms
            if now_ms - max(contact.asked_since_ms, contact.status_at_ms) >= FEEDER_TIMEOUT_MS:
                contact.is_silent = True
                contact.asked_since_ms = None
                is_changed = True
        if is_changed:
            self._renew()

    def _renew(self) -> None:
        neighbours = [
            member.name
            for member in self.list_neighbours()
            if not self._contacts[member.name].is_silent
        ]
        self._ranks = rank_by_rendezvous(_RANK_KEY, [*neighbours, self._member.name])
        names = sorted([*self._contacts, self._member.name])
        self._digest = hash_text("\n".join(names))
