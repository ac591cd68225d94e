"""Table of known members, with digests for comparing the views of two instances."""

from bisect import bisect_left
from collections import deque

from catkinspread.hashing import hash_text
from catkinspread.membership.messages import MemberRecord, MemberState, MemberUpdate
from catkinspread.model import Endpoint

# With 640 members, 64 buckets hold 10 each, so one differing member costs a sync reply of about
# 500 bytes.
BUCKET_COUNT = 64
_DIGEST_MASK = 0xFFFF_FFFF


class Member:
    """Known state of a member; see `MemberRecord` for the attributes it shares.

    Attributes:
        ended_at_ms: When the member was found dead or left; meaningless for a live member.
        endpoint: Address at which the member receives messages.
        is_endpoint_assumed: Whether the endpoint is that of an earlier incarnation.
    """

    __slots__ = (
        "data_centre",
        "ended_at_ms",
        "endpoint",
        "incarnation",
        "is_endpoint_assumed",
        "member",
        "refutation",
        "state",
        "version",
    )

    def __init__(self, record: MemberRecord, now_ms: int) -> None:
        self.member = record.member
        self.incarnation = 0
        self.version = 0
        self.update_from_record(record, now_ms)

    def update_from_record(self, record: MemberRecord, now_ms: int) -> None:
        """Replaces the state and location by those of a newer record.

        Discards the version of an earlier incarnation. The version of the record is set by
        `MemberTable.record_version`.
        """
        if record.incarnation != self.incarnation:
            self.version = 0
        self.incarnation = record.incarnation
        self.refutation = record.refutation
        self.state = record.state
        self.set_location(record)
        self.ended_at_ms = now_ms - record.ended_ago_s * 1_000

    def set_location(self, record: MemberRecord) -> None:
        """Sets the data centre and endpoint from a record."""
        self.is_endpoint_assumed = False
        self.data_centre = record.data_centre
        self.endpoint = Endpoint(record.host, record.port)

    @property
    def is_live(self) -> bool:
        """Whether the member is alive or suspect."""
        return self.state <= MemberState.SUSPECT

    def is_older_than(self, other: MemberUpdate | MemberRecord) -> bool:
        """Whether a received state supersedes this one."""
        return make_precedence_key(self) < make_precedence_key(other)

    def is_newer_than(self, other: MemberUpdate | MemberRecord) -> bool:
        """Whether this state supersedes a received one."""
        return make_precedence_key(self) > make_precedence_key(other)

    def make_update(self) -> MemberUpdate:
        """Returns the state as an update."""
        return MemberUpdate(self.member, self.incarnation, self.refutation, self.state)

    def make_record(self, now_ms: int) -> MemberRecord:
        """Returns the state as a record."""
        ended_ago_s = 0 if self.is_live else max(0, now_ms - self.ended_at_ms) // 1_000
        return MemberRecord(
            self.member,
            self.incarnation,
            self.refutation,
            self.state,
            self.data_centre,
            self.endpoint.host,
            self.endpoint.port,
            self.version,
            ended_ago_s,
        )


def make_precedence_key(known: Member | MemberUpdate | MemberRecord) -> tuple[int, bool, int, int]:
    """Returns a sort key that is greater for the newer of two states of a member.

    A greater incarnation is newer. Within an incarnation, dead and left are newer than alive and
    suspect, because the end of an incarnation is final: a refutation does not supersede it. Then
    the greater refutation is newer, and then the greater state.
    """
    has_ended = known.state >= MemberState.DEAD
    return known.incarnation, has_ended, known.refutation, known.state


def hash_incarnation(known: Member) -> int:
    """Returns a 32-bit hash of the id and incarnation of a member."""
    return hash_text(f"{known.member}\x00{known.incarnation}") & _DIGEST_MASK


class MemberTable:
    """All known members, including this instance.

    Members are divided into buckets by a hash of their id. A digest, of a bucket or of all
    members, is the XOR of the hashes of id and incarnation of the live members in it.

    Attributes:
        change_count: Number of changes to the set of live members and incarnations.
    """

    __slots__ = (
        "_buckets",
        "_digest",
        "_ended",
        "_ids_by_bucket",
        "_live_hashes",
        "_live_by_hash",
        "_members",
        "_live_ids",
        "_reported_mask",
        "_reported_version",
        "change_count",
    )

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        self._live_hashes: dict[str, int] = {}
        self._live_by_hash: dict[int, str] = {}
        self._digest = 0
        self._buckets = [0] * BUCKET_COUNT
        self._ids_by_bucket: list[set[str]] = [set() for _ in range(BUCKET_COUNT)]
        self._ended: deque[tuple[int, str]] = deque()
        self._live_ids: list[str] = []
        self._reported_version = 0
        self._reported_mask = 0
        self.change_count = 0

    def find(self, member: str) -> Member | None:
        """Returns a member, or None if it is unknown."""
        return self._members.get(member)

    def insert_or_replace(self, record: MemberRecord, now_ms: int) -> Member:
        """Adds a member or replaces its state, location and version.

        Does not check precedence; the caller must pass a newer state, see `Member.is_older_than`.
        """
        known = self._members.get(record.member)
        if known is None:
            known = self._members[record.member] = Member(record, now_ms)
            self._ids_by_bucket[hash_text(record.member) % BUCKET_COUNT].add(record.member)
        else:
            known.update_from_record(record, now_ms)
        self._update_indexes(known, now_ms)
        self.record_version(record.member, record.version)
        return known

    def set_state(self, update: MemberUpdate, now_ms: int) -> None:
        """Changes the state of a known member.

        Does not check precedence; the caller must pass a newer state, see `Member.is_older_than`.

        Raises:
            KeyError: If the member is unknown.
        """
        known = self._members[update.member]
        was_live = known.is_live
        if known.incarnation != update.incarnation:
            # A member that was declared dead returns at the same endpoint. A replacement that
            # took over the id may have another endpoint, which its record will supply.
            known.is_endpoint_assumed = True
            known.version = 0
        known.incarnation = update.incarnation
        known.refutation = update.refutation
        known.state = update.state
        if was_live and not known.is_live:
            known.ended_at_ms = now_ms
        self._update_indexes(known, now_ms)

    def remove_ended_before(self, time_ms: int) -> None:
        """Removes members that were found dead or left before a time."""
        while self._ended and self._ended[0][0] < time_ms:
            _, member = self._ended.popleft()
            known = self._members.get(member)
            if known is not None and not known.is_live and known.ended_at_ms < time_ms:
                del self._members[member]
                self._ids_by_bucket[hash_text(member) % BUCKET_COUNT].discard(member)

    def find_live_by_hash(self, value: int) -> Member | None:
        """Returns the live member with a hash from `hash_incarnation`, or None."""
        member = self._live_by_hash.get(value)
        return None if member is None else self._members[member]

    def list_members(self) -> list[Member]:
        """Returns all known members in order of id."""
        return [self._members[member] for member in sorted(self._members)]

    def list_live(self) -> list[str]:
        """Returns the sorted ids of the live members; the list must not be modified."""
        return self._live_ids

    def count_live(self) -> int:
        """Returns the number of live members."""
        return len(self._live_hashes)

    def get_digest(self) -> int:
        """Returns the 32-bit digest of the ids and incarnations of all live members."""
        return self._digest

    def encode_bucket_digests(self) -> bytes:
        """Returns the concatenated digests of all buckets, 4 bytes each, little-endian."""
        return b"".join(bucket.to_bytes(4, "little") for bucket in self._buckets)

    def list_members_of_differing_buckets(self, digests: bytes) -> list[Member]:
        """Returns the members of the buckets whose digest differs from the given one."""
        found: list[Member] = []
        for bucket, own in enumerate(self._buckets):
            if digests[4 * bucket : 4 * bucket + 4] != own.to_bytes(4, "little"):
                found.extend(self._members[key] for key in sorted(self._ids_by_bucket[bucket]))
        return found

    def record_version(self, member: str, version: int) -> None:
        """Records that a member has reported a configuration version."""
        known = self._members.get(member)
        if known is None or version <= known.version:
            return
        known.version = version
        if version > self._reported_version:
            self._reset_reported_mask(version)
        elif version == self._reported_version and known.is_live:
            self._update_reported_bit(self._find_position(member), version)

    def get_version_reports(self) -> tuple[int, int]:
        """Returns the highest reported version and a bit mask of the live members that have it."""
        return self._reported_version, self._reported_mask

    def merge_version_reports(self, version: int, mask: int) -> None:
        """Merges the version reports of a view with the same digest."""
        if version > self._reported_version:
            self._reset_reported_mask(version)
        if version < self._reported_version:
            return
        live_ids = self.list_live()
        new = mask & ~self.get_version_reports()[1] & ((1 << len(live_ids)) - 1)
        self._reported_mask |= new
        while new:
            lowest = new & -new
            self._members[live_ids[lowest.bit_length() - 1]].version = version
            new ^= lowest

    def _reset_reported_mask(self, version: int) -> None:
        self._reported_version = version
        self._reported_mask = 0
        for position, member in enumerate(self.list_live()):
            if self._members[member].version >= version:
                self._reported_mask |= 1 << position

    def _find_position(self, member: str) -> int:
        return bisect_left(self._live_ids, member)

    def _update_indexes(self, known: Member, now_ms: int) -> None:
        new_hash = 0
        if known.is_live:
            new_hash = hash_incarnation(known)
        else:
            self._ended.append((known.ended_at_ms, known.member))
        old_hash = self._live_hashes.get(known.member, 0)
        if new_hash == old_hash:
            return
        self._buckets[hash_text(known.member) % BUCKET_COUNT] ^= old_hash ^ new_hash
        self._digest ^= old_hash ^ new_hash
        if not old_hash:
            self._insert(known)
        elif not new_hash:
            self._remove(known.member)
        else:
            self._update_reported_bit(self._find_position(known.member), known.version)
        self._live_by_hash.pop(old_hash, None)
        if new_hash:
            self._live_hashes[known.member] = new_hash
            self._live_by_hash[new_hash] = known.member
        else:
            del self._live_hashes[known.member]
        self.change_count += 1

    def _insert(self, known: Member) -> None:
        position = self._find_position(known.member)
        self._live_ids.insert(position, known.member)
        low_mask = (1 << position) - 1
        high_bits = self._reported_mask >> position
        self._reported_mask = (high_bits << (position + 1)) | (self._reported_mask & low_mask)
        self._update_reported_bit(position, known.version)

    def _remove(self, member: str) -> None:
        position = self._find_position(member)
        del self._live_ids[position]
        low_mask = (1 << position) - 1
        high_bits = self._reported_mask >> (position + 1)
        self._reported_mask = (high_bits << position) | (self._reported_mask & low_mask)

    def _update_reported_bit(self, position: int, version: int) -> None:
        bit = 1 << position
        if version >= self._reported_version:
            self._reported_mask |= bit
        else:
            self._reported_mask &= ~bit
