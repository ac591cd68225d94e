"""Values that make up a configuration at one version.

A configuration is the result of applying the entries of the configuration log in order. All
values are immutable structures that msgspec can encode.
"""

import enum

import msgspec

# Slots per service: with 7 upstreams the rounding error of equal shares stays below 1 %.
SLOT_COUNT = 1024
_HASH_BYTES = 8


def _pack_hash(flow_hash: int) -> bytes:
    return flow_hash.to_bytes(_HASH_BYTES, "big")


class UpstreamState(enum.Enum):
    """What an upstream may be given."""

    ACTIVE = "active"
    DRAINING = "draining"
    REMOVING = "removing"


class DataCentreState(enum.Enum):
    """Whether a data centre takes traffic."""

    IN = "in"
    OUT = "out"


class Endpoint(msgspec.Struct, frozen=True, order=True):
    """An IP number and a UDP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Upstream(msgspec.Struct, frozen=True):
    """A process that serves requests of one service.

    Attributes:
        name: Unique in the whole configuration.
        service: Name of the service that it serves.
        data_centre: Name of the data centre it runs in.
        endpoint: Where its packets are sent.
        weight: Share of the slots relative to the other upstreams, at least 0.
        work_slots: Requests that it executes at once.
        connections_max: Flows that it can hold.
        cold_rate_per_s: New work per second that it bears just after a cold start.
        warm_rate_per_s: New work per second that it bears when warm.
        warmup_ms: Time from a cold start until it is warm.
        state: Whether it takes new work.
        cold_at_ms: When it was last added or brought back, in ms since the epoch. It is set
            while an entry is applied, so a new instance knows which upstreams are cold.
    """

    name: str
    service: str
    data_centre: str
    endpoint: Endpoint
    weight: int = 100
    work_slots: int = 2
    connections_max: int = 2000
    cold_rate_per_s: float = 5.0
    warm_rate_per_s: float = 500.0
    warmup_ms: int = 30_000
    state: UpstreamState = UpstreamState.ACTIVE
    cold_at_ms: int = 0


class DataCentre(msgspec.Struct, frozen=True):
    """A place where instances and upstreams run."""

    name: str
    region: str
    state: DataCentreState = DataCentreState.IN


class InstanceIncarnation(msgspec.Struct, frozen=True):
    """One run of an instance; a restarted instance has a greater incarnation."""

    instance: str
    incarnation: int


class OwnerGroup(msgspec.Struct, frozen=True):
    """The instances that decide for slots in transition, acting owner first."""

    members: tuple[InstanceIncarnation, ...]


class SlotBase(msgspec.Struct, frozen=True):
    """What every instance computes for a slot that is not in transition.

    Attributes:
        default: Name of the upstream for all flows without an exception; empty if none.
        exceptions: Flows that stay on another upstream, by its name: their hashes in ascending
            order as 8 bytes each, big-endian. A dict from hash to name takes 72 bytes each.
    """

    default: str
    exceptions: dict[str, bytes] = {}

    @classmethod
    def build(cls, default: str, exceptions: dict[int, str]) -> "SlotBase":
        """Returns a base with exceptions given as upstream by flow hash."""
        packed: dict[str, bytearray] = {}
        for flow in sorted(exceptions):
            packed.setdefault(exceptions[flow], bytearray()).extend(_pack_hash(flow))
        return cls(default, {name: bytes(packed[name]) for name in sorted(packed)})

    @property
    def exception_count(self) -> int:
        """Number of exceptions."""
        return sum(len(packed) for packed in self.exceptions.values()) // _HASH_BYTES

    def find_upstream(self, flow_hash: int) -> str:
        """Returns the name of the upstream of a flow."""
        if not self.exceptions:
            return self.default
        key = _pack_hash(flow_hash)
        for name, packed in self.exceptions.items():
            # A search in C is faster than bisection in Python up to some thousand hashes.
            position = packed.find(key)
            while position > 0 and position % _HASH_BYTES:
                position = packed.find(key, position + 1)
            if position >= 0:
                return name
        return self.default

    def unpack_exceptions(self) -> dict[int, str]:
        """Returns the upstream by flow hash, in order of upstream and hash."""
        return {
            int.from_bytes(packed[start : start + _HASH_BYTES], "big"): name
            for name, packed in self.exceptions.items()
            for start in range(0, len(packed), _HASH_BYTES)
        }

    def without_upstream(self, name: str) -> "SlotBase":
        """Returns the base without the exceptions of an upstream."""
        if name not in self.exceptions:
            return self
        kept = {key: packed for key, packed in self.exceptions.items() if key != name}
        return SlotBase(self.default, kept)


class SlotTransition(msgspec.Struct, frozen=True):
    """A move of a slot to another upstream that is still under way.

    Attributes:
        target: Name of the upstream that new flows get; empty if none.
        group: Instances that decide for the slot meanwhile.
        version: Version of the configuration that started the latest move.
        started_at_ms: When that entry was written.
    """

    target: str
    group: OwnerGroup
    version: int
    started_at_ms: int


class SlotTable(msgspec.Struct, frozen=True):
    """The slots of one service.

    Attributes:
        bases: One base for each of the SLOT_COUNT slots.
        transitions: Transition by slot, for moved slots only.
    """

    bases: tuple[SlotBase, ...]
    transitions: dict[int, SlotTransition] = {}


class Service(msgspec.Struct, frozen=True):
    """A service that callers reach at one address.

    Attributes:
        name: Unique in the whole configuration.
        address: Where callers send their packets.
        team: Team that may change the service.
        priority: 0 is served first; larger numbers are shed earlier.
    """

    name: str
    address: Endpoint
    team: str = ""
    priority: int = 1


class Configuration(msgspec.Struct, frozen=True):
    """The whole state at one version.

    Attributes:
        version: Index of the last applied log entry; 0 before the first.
        services: Service by name.
        upstreams: Upstream by name.
        data_centres: Data centre by name.
        slot_tables: Slot table by service name.
    """

    version: int = 0
    services: dict[str, Service] = {}
    upstreams: dict[str, Upstream] = {}
    data_centres: dict[str, DataCentre] = {}
    slot_tables: dict[str, SlotTable] = {}
