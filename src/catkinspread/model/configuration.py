"""Data model of a configuration at one version.

A configuration is the result of applying the entries of the configuration log in order. All types
are immutable structs that msgspec can encode. The fields of Endpoint, Upstream, DataCentre,
InstanceIncarnation, OwnerGroup and Service must keep their names, because entries of the log,
snapshots or messages between instances contain them by field name.

A slot is a bucket of flow hashes: the slot of a flow is its flow hash modulo SLOT_COUNT. All flows of
a slot have the same default upstream.
"""

import enum

import msgspec

# Number of slots per service. With 7 upstreams of equal weight, rounding changes a share by less than 1%.
SLOT_COUNT = 1024
_HASH_BYTES = 8


def _pack_hash(flow_hash: int) -> bytes:
    return flow_hash.to_bytes(_HASH_BYTES, "big")


class UpstreamState(enum.Enum):
    """Administrative state of an upstream.

    ACTIVE: takes new flows.
    DRAINING: takes no new flows; existing flows continue.
    REMOVING: takes no new flows; it is removed from the configuration once it is idle.
    """

    ACTIVE = "active"
    DRAINING = "draining"
    REMOVING = "removing"


class DataCentreState(enum.Enum):
    """Whether a data centre takes traffic.

    IN: packets are sent to its upstreams.
    OUT: no packets are sent to its upstreams; flows on them are reset.
    """

    IN = "in"
    OUT = "out"


class Endpoint(msgspec.Struct, frozen=True, order=True):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Upstream(msgspec.Struct, frozen=True):
    """A server behind the load balancer that serves one service.

    Attributes:
        name: Unique among all upstreams.
        service: Name of the service that it serves.
        data_centre: Name of the data centre that it runs in.
        endpoint: Address to which its packets are sent.
        weight: Share of the slots of the service relative to the other upstreams, at least 0.
        work_slots: Maximum number of requests that it executes concurrently; unrelated to the slots
            of the service.
        connections_max: Maximum number of concurrent flows; each flow is one connection of the
            upstream.
        cold_rate_per_s: Maximum request starts per second right after a cold start.
        warm_rate_per_s: Maximum request starts per second once it is warm.
        warmup_ms: Time from a cold start until it is warm.
        state: Whether it takes new flows.
        cold_at_ms: When it was added or when its data centre last returned to service, whichever is
            later, in ms since the Unix epoch. It is set when the log entry is applied, so that a
            new instance knows which upstreams are cold. Callers that create the struct leave it at
            0.
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
    """A data centre with its own instances and upstreams.

    Attributes:
        name: Unique among all data centres.
        region: Name of the region that it belongs to.
        state: Whether it takes traffic.
    """

    name: str
    region: str
    state: DataCentreState = DataCentreState.IN


class InstanceIncarnation(msgspec.Struct, frozen=True):
    """One run of an instance.

    Attributes:
        instance: Name of the instance, which a restart keeps.
        incarnation: Number of the run; a restart has a greater one.
    """

    instance: str
    incarnation: int


class OwnerGroup(msgspec.Struct, frozen=True):
    """Instances that choose the upstream of flows in slots that are in transition.

    Attributes:
        members: Members in order of precedence; the first one that is alive with the given
            incarnation is the acting owner, which makes the choice.
    """

    members: tuple[InstanceIncarnation, ...]


class SlotBase(msgspec.Struct, frozen=True):
    """Upstream of each flow of one slot when no transition is considered.

    The upstream of a flow is its exception if it has one, otherwise the default. Looking it up needs
    no message to other instances.

    Attributes:
        default: Name of the upstream of all flows without an exception; empty if there is none.
        exceptions: Packed hashes of the flows that stay on another upstream, by the name of that
            upstream: 8 bytes per hash, big-endian, in ascending order. A dict from hash to name
            would take 72 bytes per flow.
    """

    default: str
    exceptions: dict[str, bytes] = {}

    @classmethod
    def build(cls, default: str, exceptions: dict[int, str]) -> "SlotBase":
        """Creates a base from unpacked exceptions.

        Args:
            default: Name of the default upstream; empty if there is none.
            exceptions: Name of the upstream by flow hash, from 0 to 2**64 - 1.

        Returns:
            A base with the exceptions packed by upstream and sorted by hash.

        Raises:
            OverflowError: If a flow hash does not fit in 64 bits.
        """
        packed: dict[str, bytearray] = {}
        for flow_hash in sorted(exceptions):
            packed.setdefault(exceptions[flow_hash], bytearray()).extend(_pack_hash(flow_hash))
        return cls(default, {name: bytes(packed[name]) for name in sorted(packed)})

    @property
    def exception_count(self) -> int:
        """Number of flows that have an exception."""
        return sum(len(packed) for packed in self.exceptions.values()) // _HASH_BYTES

    def find_upstream(self, flow_hash: int) -> str:
        """Returns the name of the upstream of a flow; empty if there is none."""
        if not self.exceptions:
            return self.default
        key = _pack_hash(flow_hash)
        for name, packed in self.exceptions.items():
            # Linear search, because bytes.find is faster in Python than bisection up to a few
            # thousand hashes. A match that is not aligned to 8 bytes spans two hashes and does not
            # count.
            position = packed.find(key)
            while position > 0 and position % _HASH_BYTES:
                position = packed.find(key, position + 1)
            if position >= 0:
                return name
        return self.default

    def unpack_exceptions(self) -> dict[int, str]:
        """Returns the name of the upstream by flow hash, sorted by upstream and then by hash."""
        return {
            int.from_bytes(packed[start : start + _HASH_BYTES], "big"): name
            for name, packed in self.exceptions.items()
            for start in range(0, len(packed), _HASH_BYTES)
        }

    def without_upstream(self, name: str) -> "SlotBase":
        """Returns the base without the exceptions of an upstream; the default stays."""
        if name not in self.exceptions:
            return self
        kept = {key: packed for key, packed in self.exceptions.items() if key != name}
        return SlotBase(self.default, kept)


class SlotTransition(msgspec.Struct, frozen=True):
    """An unfinished transition of a slot to another upstream.

    Attributes:
        target: Name of the upstream of new flows; empty if there is none.
        group: Owner group of the slot until the transition ends.
        version: Version of the configuration that last set the target.
        started_at_ms: When the log entry of that version was written, in ms since the Unix epoch.
    """

    target: str
    group: OwnerGroup
    version: int
    started_at_ms: int


class SlotTable(msgspec.Struct, frozen=True):
    """Assignment of the slots of one service to upstreams.

    Attributes:
        bases: The base of each slot, SLOT_COUNT in all.
        transitions: Transition by slot number, only for slots in transition.
    """

    bases: tuple[SlotBase, ...]
    transitions: dict[int, SlotTransition] = {}


class Service(msgspec.Struct, frozen=True):
    """A service that callers reach at one service address.

    Attributes:
        name: Unique among all services.
        address: Service address to which callers send their packets.
        team: Name of the team that may change the service.
        priority: 0 is the highest; requests with larger numbers are shed first.
    """

    name: str
    address: Endpoint
    team: str = ""
    priority: int = 1


class Configuration(msgspec.Struct, frozen=True):
    """The complete configuration at one version.

    Attributes:
        version: Index of the last applied entry of the configuration log; 0 before the first.
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
