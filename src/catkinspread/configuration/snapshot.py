"""The stored form of a whole configuration.

Slots are stored as one or two bytes each. Equal bases of a table share one object after
decoding: one object per slot took 60 MB at 960 services.
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

# Below the platform's largest value of 1 MB, with room for the frame.
SNAPSHOT_PART_BYTES = 900_000
SNAPSHOT_PERIOD = 256
# At 960 services level 1 takes 0.04 s for 566 KB, the default level 0.22 s for 527 KB.
_COMPRESSION_LEVEL = 1
_NARROW_MAX = 256


class Snapshot(msgspec.Struct, frozen=True):
    """A configuration and the hash of the entry that led to it."""

    configuration: Configuration
    head_hash: int

    @property
    def version(self) -> int:
        """The version of the configuration."""
        return self.configuration.version


class _TransitionImage(msgspec.Struct, array_like=True, frozen=True):
    slot: int
    target: str
    group: int
    version: int
    started_at_ms: int


class _ExceptionImage(msgspec.Struct, array_like=True, frozen=True):
    upstream: str
    flows: bytes


class _TableImage(msgspec.Struct, array_like=True, frozen=True):
    names: list[str]
    slots: bytes
    exceptions: list[_ExceptionImage]
    groups: list[OwnerGroup]
    transitions: list[_TransitionImage]


class _SnapshotImage(msgspec.Struct, array_like=True, frozen=True):
    version: int
    head_hash: int
    services: list[Service]
    upstreams: list[Upstream]
    data_centres: list[DataCentre]
    tables: dict[str, _TableImage]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_SnapshotImage)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Returns the stored form."""
    configuration = snapshot.configuration
    image = _SnapshotImage(
        configuration.version,
        snapshot.head_hash,
        list(configuration.services.values()),
        list(configuration.upstreams.values()),
        list(configuration.data_centres.values()),
        {name: _encode_table(table) for name, table in configuration.slot_tables.items()},
    )
    return zlib.compress(_ENCODER.encode(image), _COMPRESSION_LEVEL)


def decode_snapshot(payload: bytes) -> Snapshot:
    """Returns the snapshot of a stored form.

    Raises:
        EntryError: If the payload is damaged or malformed.
    """
    try:
        image = _DECODER.decode(zlib.decompress(payload))
        tables = {name: _decode_table(table) for name, table in image.tables.items()}
    except (zlib.error, msgspec.DecodeError, IndexError, ValueError) as error:
        raise EntryError(f"snapshot is malformed: {error}") from error
    configuration = Configuration(
        version=image.version,
        services={service.name: service for service in image.services},
        upstreams={upstream.name: upstream for upstream in image.upstreams},
        data_centres={data_centre.name: data_centre for data_centre in image.data_centres},
        slot_tables=tables,
    )
    return Snapshot(configuration, image.head_hash)


def split_snapshot(payload: bytes) -> list[bytes]:
    """Returns the parts of a stored form, each below the platform's largest value."""
    starts = range(0, len(payload), SNAPSHOT_PART_BYTES)
    return [payload[start : start + SNAPSHOT_PART_BYTES] for start in starts]


def _encode_table(table: SlotTable) -> _TableImage:
    defaults = [base.default for base in table.bases]
    names = sorted(set(defaults))
    positions = {name: position for position, name in enumerate(names)}
    flows: dict[str, list[int]] = {}
    for base in table.bases:
        if not base.exceptions:
            continue
        for flow, upstream in base.list_exceptions().items():
            flows.setdefault(upstream, []).append(flow)
    groups = list({moved.group: None for moved in table.transitions.values()})
    group_positions = {group: position for position, group in enumerate(groups)}
    return _TableImage(
        names,
        _pack("B" if len(names) <= _NARROW_MAX else "H", [positions[name] for name in defaults]),
        [_ExceptionImage(name, _pack("Q", sorted(flows[name]))) for name in sorted(flows)],
        groups,
        [
            _TransitionImage(
                slot, moved.target, group_positions[moved.group], moved.version, moved.started_at_ms
            )
            for slot, moved in sorted(table.transitions.items())
        ],
    )


def _decode_table(image: _TableImage) -> SlotTable:
    shared = [SlotBase(default=name) for name in image.names]
    code = "B" if len(image.names) <= _NARROW_MAX else "H"
    bases = [shared[position] for position in _unpack(code, image.slots)]
    if len(bases) != SLOT_COUNT:
        raise ValueError(f"table has {len(bases)} slots, expected {SLOT_COUNT}")
    exceptions: dict[int, dict[int, str]] = {}
    for item in image.exceptions:
        for flow in _unpack("Q", item.flows):
            exceptions.setdefault(flow % SLOT_COUNT, {})[flow] = item.upstream
    for slot, flows in exceptions.items():
        bases[slot] = SlotBase.build(bases[slot].default, flows)
    transitions = {
        item.slot: SlotTransition(
            item.target, image.groups[item.group], item.version, item.started_at_ms
        )
        for item in image.transitions
    }
    return SlotTable(bases=tuple(bases), transitions=transitions)


def _pack(code: str, values: list[int]) -> bytes:
    packed = array.array(code, values)
    if sys.byteorder == "big":
        packed.byteswap()
    return packed.tobytes()


def _unpack(code: str, payload: bytes) -> array.array:
    values = array.array(code)
    values.frombytes(payload)
    if sys.byteorder == "big":
        values.byteswap()
    return values
