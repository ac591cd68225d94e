"""Messages that configuration replicas exchange to replicate entries and snapshots.

The messages use the reliable connections between instances, because an entry may exceed the
size of a datagram. A frame consists of one byte with the protocol version and a msgpack array
whose first element is the message tag.
"""

import msgspec
from xxhash import xxh3_64_intdigest

from catkinspread.framing import FrameCodec

CONFIGURATION_PROTOCOL_VERSION = 1
# Limit of the summed payloads in one reply, which bounds its memory. A single larger entry is
# sent alone.
ENTRIES_PAYLOAD_MAX_BYTES = 65_536
# Larger than the value limit of the platform (VALUE_MAX_BYTES) and than SNAPSHOT_PART_BYTES, plus
# the frame header.
FRAME_MAX_BYTES = 1_100_000


class ConfigurationMessageError(Exception):
    """A frame has an invalid size, protocol version or structure."""


class EntryRecord(msgspec.Struct, array_like=True, frozen=True):
    """A log entry as sent between instances.

    Attributes:
        index: Position in the log.
        payload_hash: 64-bit XXH3 hash of `payload`, which detects corruption in transit.
        payload: The encoded entry.
    """

    index: int
    payload_hash: int
    payload: bytes


class VersionNotice(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Announces the version of the sender when the entries are too large to push."""

    sender: str
    version: int


class EntriesRequest(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Requests the entries after a version."""

    sender: str
    after: int


class Entries(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Consecutive entries, sent as a push or as a reply.

    Attributes:
        sender: Id of the sender.
        version: Version of the sender.
        records: The entries. A reply holds at least one unless `is_too_old` is set; the summed
            payloads exceed ENTRIES_PAYLOAD_MAX_BYTES only if a single entry does.
        is_too_old: Whether the sender no longer retains the requested entries.
    """

    sender: str
    version: int
    records: tuple[EntryRecord, ...]
    is_too_old: bool = False


class SnapshotRequest(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Requests a part of a snapshot; version 0 requests the newest snapshot."""

    sender: str
    version: int
    part: int


class SnapshotPart(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """A part of a snapshot.

    Attributes:
        sender: Id of the sender.
        version: Version of the snapshot; 0 if the sender does not have the requested part.
        part: Zero-based index of this part.
        part_count: Number of parts.
        payload: Bytes of this part.
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
    frame_name="frame",
)


def encode_configuration_message(message: ConfigurationMessage) -> bytes:
    """Encodes a message as a frame.

    Raises:
        ConfigurationMessageError: If the frame would exceed FRAME_MAX_BYTES.
    """
    return _CODEC.encode(message)


def decode_configuration_message(frame: bytes) -> ConfigurationMessage:
    """Decodes a frame.

    Raises:
        ConfigurationMessageError: If the size, protocol version or structure is invalid.
    """
    return _CODEC.decode(frame)


def hash_payload(payload: bytes) -> int:
    """Returns the 64-bit XXH3 hash of an encoded entry or snapshot."""
    return xxh3_64_intdigest(payload)


def make_entry_record(index: int, payload: bytes) -> EntryRecord:
    """Returns the record of an encoded entry."""
    return EntryRecord(index, hash_payload(payload), payload)
