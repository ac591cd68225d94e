"""Messages that the flow routing of instances exchanges."""

import enum

import msgspec


class PacketKind(enum.Enum):
    """Role of a packet in its flow; requests, answers and cancels count as data."""

    OPEN = "open"
    DATA = "data"
    CLOSE = "close"


class ForwardHeader(msgspec.Struct, array_like=True, frozen=True):
    """Header that a forwarded packet carries for the member that routes it.

    Attributes:
        kind: Kind of the packet.
        service: Name of the service whose address the packet was sent to.
        flow: 64-bit flow hash.
        version: Configuration version of the sender.
        base: Name of the base upstream of the flow at the sender. A member that has not applied
            the entry that started the transition routes the packet to it.
        hops: Number of times that the packet was forwarded, starting at 1.
    """

    kind: PacketKind
    service: str
    flow: int
    version: int
    base: str
    hops: int = 1


class ForwardedPacket(msgspec.Struct, array_like=True, frozen=True, tag="forwarded-packet"):
    """A packet of a caller that is forwarded to the member that routes it.

    Attributes:
        header: Routing header.
        caller_host: IP address of the caller.
        caller_port: UDP port of the caller.
        datagram: The packet as received.
    """

    header: ForwardHeader
    caller_host: str
    caller_port: int
    datagram: bytes


class PinnedFlows(msgspec.Struct, array_like=True, frozen=True):
    """Flows pinned to one upstream."""

    upstream: str
    flows: tuple[int, ...]


class ReplicatePins(msgspec.Struct, array_like=True, frozen=True, tag="replicate-pins"):
    """Requests that a replica store pins and acknowledge them.

    Attributes:
        request: Request id, which the acknowledgement repeats.
        service: Name of the service.
        version: Configuration version of the sender.
        pins: Pins to store.
    """

    request: int
    service: str
    version: int
    pins: tuple[PinnedFlows, ...]


class PinsStored(msgspec.Struct, array_like=True, frozen=True, tag="pins-stored"):
    """Acknowledges `ReplicatePins`.

    Attributes:
        request: Id of the acknowledged request.
        conflicts: Differing pins that the replica already had and keeps. The sender adopts those
            of flows whose own pin is still pending and ignores the others.
    """

    request: int
    conflicts: tuple[PinnedFlows, ...] = ()


class ForgetPins(msgspec.Struct, array_like=True, frozen=True, tag="forget-pins"):
    """Tells a replica to remove the pins of ended flows; not acknowledged."""

    service: str
    flows: tuple[int, ...]


class AnnounceListing(msgspec.Struct, array_like=True, frozen=True, tag="announce-listing"):
    """Announces to a replica that the acting member is about to end transitions.

    Attributes:
        service: Name of the service.
        version: Configuration version that set the current target of the slots.
        slots: Slots whose exceptions will be listed.
    """

    service: str
    version: int
    slots: tuple[int, ...]


class ListingAcknowledged(msgspec.Struct, array_like=True, frozen=True, tag="listing-noted"):
    """Acknowledges `AnnounceListing`.

    Attributes:
        service: From the announcement.
        version: From the announcement.
        quiet_ms: Time since this replica itself last routed a packet of one of the slots, at most
            the idle time-out. The acting member has not seen the flows of such packets, so it
            waits until the time reaches the idle time-out.
    """

    service: str
    version: int
    quiet_ms: int


RoutingMessage = ReplicatePins | PinsStored | ForgetPins | AnnounceListing | ListingAcknowledged
