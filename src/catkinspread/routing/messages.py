"""Messages between the routing of different instances."""

import enum

import msgspec


class PacketKind(enum.Enum):
    """What a packet means for its flow; requests, answers and cancels count as data."""

    OPEN = "open"
    DATA = "data"
    CLOSE = "close"


class ForwardHeader(msgspec.Struct, array_like=True, frozen=True):
    """What the deciding member needs to know about a forwarded packet.

    Attributes:
        kind: Kind of the packet.
        service: Name of the service whose address the packet was sent to.
        flow: Flow hash.
        version: Version of the configuration of the sender.
        base: Upstream by the base of the slot at the sender. A member that does not have the
            entry yet answers with it.
        hops: How often the packet was forwarded, from 1.
    """

    kind: PacketKind
    service: str
    flow: int
    version: int
    base: str
    hops: int = 1


class ForwardedPacket(msgspec.Struct, array_like=True, frozen=True, tag="forwarded-packet"):
    """A packet of a caller on its way to the member that decides.

    Attributes:
        header: What the routing needs.
        caller_host: IP number of the caller.
        caller_port: UDP port of the caller.
        datagram: The packet as received.
    """

    header: ForwardHeader
    caller_host: str
    caller_port: int
    datagram: bytes


class PinnedFlows(msgspec.Struct, array_like=True, frozen=True):
    """Flows that are pinned to one upstream."""

    upstream: str
    flows: tuple[int, ...]


class ReplicatePins(msgspec.Struct, array_like=True, frozen=True, tag="replicate-pins"):
    """Asks a member to store pins and to record_acknowledgement them.

    Attributes:
        request: Number that the acknowledgement repeats.
        service: Name of the service.
        version: Version of the configuration of the sender.
        pins: Pins to store.
    """

    request: int
    service: str
    version: int
    pins: tuple[PinnedFlows, ...]


class PinsStored(msgspec.Struct, array_like=True, frozen=True, tag="pins-stored"):
    """Acknowledges `ReplicatePins`.

    Attributes:
        request: From the request.
        conflicts: Pins that the member had already and keeps; the sender takes them over.
    """

    request: int
    conflicts: tuple[PinnedFlows, ...] = ()


class ForgetPins(msgspec.Struct, array_like=True, frozen=True, tag="forget-pins"):
    """Tells that flows have ended; it is not acknowledged."""

    service: str
    flows: tuple[int, ...]


class AnnounceListing(msgspec.Struct, array_like=True, frozen=True, tag="announce-listing"):
    """Tells a member that the owner is about to end transitions.

    Attributes:
        service: Name of the service.
        version: Version of the transition.
        slots: Slots that will be listed.
    """

    service: str
    version: int
    slots: tuple[int, ...]


class ListingAcknowledged(msgspec.Struct, array_like=True, frozen=True, tag="listing-noted"):
    """Acknowledges `AnnounceListing`.

    Attributes:
        service: From the announcement.
        version: From the announcement.
        quiet_ms: Time since this member itself last decided for one of the slots. The owner
            has not seen the flows of that time, so it must wait if this is short.
    """

    service: str
    version: int
    quiet_ms: int


RoutingMessage = ReplicatePins | PinsStored | ForgetPins | AnnounceListing | ListingAcknowledged
