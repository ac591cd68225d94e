"""Serialisation of snapshots of the configuration.

Each slot takes one or two bytes. After decoding, slots with equal bases share one object to save
memory: one object per slot would take 60 MB at 960 services.
"""

import array
import sys
import zlib

import msgspec

from catkinspread.configuration.effects import EntryError
from catkinspread.model import (
    SLOT_COUNT,
    Configuration,
    DataCentre,
    OwnerGroup,
    Service,
    SlotBase,
    SlotTable,
    SlotTransition,
    Upstream,
)

# Below the value limit of the platform, 1 MB, with room for the frame header.
SNAPSHOT_PART_BYTES = 900_000
# Number of entries between snapshots.
SNAPSHOT_INTERVAL_ENTRIES = 256
# Fastest level. The default level saves little space: 527 KB in 0.22 s instead of 566 KB in 0.04 s
# at 960 services.
_COMPRESSION_LEVEL = 1
# Up to this many names, an index fits into one byte.
_ONE_BYTE_NAMES_MAX = 256


class Snapshot(msgspec.Struct, frozen=True):
    """A configuration and the hash of the last entry applied to it.

    Attributes:
        configuration: The configuration.
        head_hash: 64-bit XXH3 hash of the last applied entry as encoded; 0 at version 0.
    """

    configuration: Configuration
    head_hash: int

    @property
    def version(self) -> int:
        """Version of the configuration."""
        return self.configuration.version


class _StoredTransition(msgspec.Struct, array_like=True, frozen=True):
    """A transition of one slot.

    Attributes:
        slot: Index of the slot.
        target: Name of the target upstream.
        group: Index of the owner group in `groups` of the table.
        version: Version of the configuration that started the latest move.
        started_at_ms: Time of that entry, in ms since the epoch.
    """

    slot: int
    target: str
    group: int
    version: int
    started_at_ms: int


class _StoredExceptions(msgspec.Struct, array_like=True, frozen=True):
    """The routing exceptions of one upstream.

    Attributes:
        upstream: Name of the upstream on which the flows stay.
        flows: Hashes of the flows in ascending order, as unsigned 64-bit little-endian integers.
    """

    upstream: str
    flows: bytes


class _StoredTable(msgspec.Struct, array_like=True, frozen=True):
    """The slot table of one service.

    Attributes:
        names: Names of the default upstreams, sorted and without duplicates; empty string for
            slots without an upstream.
        slots: Index into `names` for each of the SLOT_COUNT slots, as unsigned 8-bit integers if
            there are at most _ONE_BYTE_NAMES_MAX names, otherwise unsigned 16-bit little-endian.
        exceptions: Routing exceptions by upstream, sorted by name.
        groups: Distinct owner groups of the transitions.
        transitions: Transitions in order of their slots.
    """

    names: list[str]
    slots: bytes
    exceptions: list[_StoredExceptions]
    groups: list[OwnerGroup]
    transitions: list[_StoredTransition]


class _StoredSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """A snapshot, encoded as msgpack and compressed with zlib.

    Attributes:
        version: Version of the configuration.
        head_hash: 64-bit XXH3 hash of the last applied entry as encoded; 0 at version 0.
        services: All services.
        upstreams: All upstreams.
        data_centres: All data centres.
        tables: Slot tables by name of the service.
    """

    version: int
    head_hash: int
    services: list[Service]
    upstreams: list[Upstream]
    data_centres: list[DataCentre]
    tables: dict[str, _StoredTable]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_StoredSnapshot)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encodes and compresses a snapshot."""
    configuration = snapshot.configuration
    stored = _StoredSnapshot(
        configuration.version,
        snapshot.head_hash,
        list(configuration.services.values()),
        list(configuration.upstreams.values()),
        list(configuration.data_centres.values()),
        {name: _encode_table(table) for name, table in configuration.slot_tables.items()},
    )
    return zlib.compress(_ENCODER.encode(stored), _COMPRESSION_LEVEL)


def decode_snapshot(payload: bytes) -> Snapshot:
    """Decodes a snapshot.

    Raises:
        EntryError: If the payload is corrupt or malformed.
    """
    try:
        stored = _DECODER.decode(zlib.decompress(payload))
        tables = {name: _decode_table(table) for name, table in stored.tables.items()}
    except (zlib.error, msgspec.DecodeError, IndexError, ValueError) as error:
        raise EntryError(f"snapshot is malformed: {error}") from error
    configuration = Configuration(
        version=stored.version,
        services={service.name: service for service in stored.services},
        upstreams={upstream.name: upstream for upstream in stored.upstreams},
        data_centres={data_centre.name: data_centre for data_centre in stored.data_centres},
        slot_tables=tables,
    )
    return Snapshot(configuration, stored.head_hash)


def split_snapshot(payload: bytes) -> list[bytes]:
    """Splits an encoded snapshot into parts of at most SNAPSHOT_PART_BYTES."""
    starts = range(0, len(payload), SNAPSHOT_PART_BYTES)
    return [payload[start : start + SNAPSHOT_PART_BYTES] for start in starts]


def _encode_table(table: SlotTable) -> _StoredTable:
    defaults = [base.default for base in table.bases]
    names = sorted(set(defaults))
    positions = {name: position for position, name in enumerate(names)}
    flows: dict[str, list[int]] = {}
    for base in table.bases:
        if not base.exceptions:
            continue
        for flow, upstream in base.unpack_exceptions().items():
            flows.setdefault(upstream, []).append(flow)
    groups = list({transition.group: None for transition in table.transitions.values()})
    group_positions = {group: position for position, group in enumerate(groups)}
    return _StoredTable(
        names,
        _pack(
            "B" if len(names) <= _ONE_BYTE_NAMES_MAX else "H",
            [positions[name] for name in defaults],
        ),
        [_StoredExceptions(name, _pack("Q", sorted(flows[name]))) for name in sorted(flows)],
        groups,
        [
            _StoredTransition(
                slot,
                transition.target,
                group_positions[transition.group],
                transition.version,
                transition.started_at_ms,
            )
            for slot, transition in sorted(table.transitions.items())
        ],
    )


def _decode_table(stored: _StoredTable) -> SlotTable:
    shared_bases = [SlotBase(default=name) for name in stored.names]
    typecode = "B" if len(stored.names) <= _ONE_BYTE_NAMES_MAX else "H"
    bases = [shared_bases[position] for position in _unpack(typecode, stored.slots)]
    if len(bases) != SLOT_COUNT:
        raise ValueError(f"slot table has {len(bases)} slots, expected {SLOT_COUNT}")
    exceptions: dict[int, dict[int, str]] = {}
    for item in stored.exceptions:
        for flow in _unpack("Q", item.flows):
            exceptions.setdefault(flow % SLOT_COUNT, {})[flow] = item.upstream
    for slot, flows in exceptions.items():
        bases[slot] = SlotBase.build(bases[slot].default, flows)
    transitions = {
        item.slot: SlotTransition(
            item.target, stored.groups[item.group], item.version, item.started_at_ms
        )
        for item in stored.transitions
    }
    return SlotTable(bases=tuple(bases), transitions=transitions)


def _pack(typecode: str, values: list[int]) -> bytes:
    packed = array.array(typecode, values)
    if sys.byteorder == "big":
        packed.byteswap()
    return packed.tobytes()


def _unpack(typecode: str, payload: bytes) -> array.array:
    values = array.array(typecode)
    values.frombytes(payload)
    if sys.byteorder == "big":
        values.byteswap()
    return values
