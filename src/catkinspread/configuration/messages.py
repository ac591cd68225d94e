"""Messages by which replicas of the configuration exchange entries and snapshots.

They travel on the reliable connections between instances, because an entry may exceed a
datagram. A frame is one byte with the protocol version, then a msgpack array whose first
element names the kind.
"""

import msgspec
from xxhash import xxh3_64_intdigest

from catkinspread.framing import FrameCodec

CONFIGURATION_PROTOCOL_VERSION = 1
# Bounds the memory of a reply; a single larger entry is still sent whole.
ENTRIES_MAX_BYTES = 65_536
# An entry is limited by the platform's largest value, a snapshot part by SNAPSHOT_PART_BYTES.
FRAME_MAX_BYTES = 1_100_000


class ConfigurationMessageError(Exception):
    """A frame has a wrong size, version or shape."""


class EntryRecord(msgspec.Struct, array_like=True, frozen=True):
    """An entry of the log on its way between instances.

    Attributes:
        index: Position in the log.
        payload_hash: Hash of the payload, which shows damage on the way.
        payload: The stored form of the entry.
    """

    index: int
    payload_hash: int
    payload: bytes


class VersionNotice(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Tells that the sender has a version, for entries that are too large to push."""

    sender: str
    version: int


class EntriesRequest(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Asks for the entries after a version."""

    sender: str
    after: int


class Entries(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Entries in order without a gap, as a push or as a reply.

    Attributes:
        sender: Id of the sender.
        version: Version of the sender.
        records: The entries; fewer than asked for if they are too many for one frame.
        is_too_old: Whether the sender no longer keeps the entries that were asked for.
    """

    sender: str
    version: int
    records: tuple[EntryRecord, ...]
    is_too_old: bool = False


class SnapshotRequest(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Asks for a part of a snapshot; version 0 asks for the newest."""

    sender: str
    version: int
    part: int


class SnapshotPart(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """A part of a snapshot.

    Attributes:
        sender: Id of the sender.
        version: Version of the snapshot; 0 if the sender has none.
        part: Index of this part, from 0.
        part_count: Number of parts.
        payload: Content of this part.
    """

    sender: str
    version: int
    part: int
    part_count: int
    payload: bytes


ConfigurationMessage = VersionNotice | EntriesRequest | Entries | SnapshotRequest | SnapshotPart

_CODEC = FrameCodec(
    ConfigurationMessage,
    CONFIGURATION_PROTOCOL_VERSION,
    FRAME_MAX_BYTES,
    ConfigurationMessageError,
    noun="frame",
)


def encode_configuration_message(message: ConfigurationMessage) -> bytes:
    """Returns the frame of a message.

    Raises:
        ConfigurationMessageError: If the frame would exceed FRAME_MAX_BYTES.
    """
    return _CODEC.encode(message)


def decode_configuration_message(frame: bytes) -> ConfigurationMessage:
    """Returns the message of a frame.

    Raises:
        ConfigurationMessageError: If the size, version or shape is wrong.
    """
    return _CODEC.decode(frame)


def hash_payload(payload: bytes) -> int:
    """Returns the hash that the next entry names as its previous one."""
    return xxh3_64_intdigest(payload)


def make_entry_record(index: int, payload: bytes) -> EntryRecord:
    """Returns the record of an entry with its hash."""
    return EntryRecord(index, hash_payload(payload), payload)
