"""Actions that the flow routing returns to the daemon.

The routing does no I/O: it takes events with their times and returns these actions, which the
daemon carries out.
"""

import enum

import msgspec

from catkinspread.configuration import Effect
from catkinspread.model import InstanceIncarnation, Upstream
from catkinspread.routing.messages import ForwardHeader, PacketKind, RoutingMessage

__all__ = [
    "AppendEntry",
    "BufferPacket",
    "DropPacket",
    "DropReason",
    "ForwardToOwner",
    "OwnerAction",
    "PacketKind",
    "ReleasePackets",
    "ResetFlow",
    "ResetReason",
    "RouteAction",
    "SendMessage",
    "SendToUpstream",
]


class DropReason(enum.Enum):
    """Why a packet was dropped; the caller is expected to retransmit it.

    Attributes:
        NOT_READY: This instance routes no packets, because after a start or a pause it has had no
            contact yet, waits for the end of `join_wait_ms` or lacks a reported version.
        NO_CONTACT: The last contact is longer ago than `contact_timeout_ms`.
        UNKNOWN_SERVICE: The applied configuration has no slot table for the service.
        GROUP_UNREACHABLE: No member of the slot's owner group is alive.
        LISTING_UNCERTAIN: The flow has no pin, and the exception list that determines its
            upstream may have been written but has not been applied here.
        FORWARD_LIMIT: The packet was forwarded `forward_hops_max` times and the last receiver is
            not a member of the owner group.
        PIN_LIMIT: The open cannot be pinned, because `pins_max` or `pending_pins_max` is reached,
            and the base upstream accepts no new flows.
        PIN_TIMEOUT: The pin of a buffered open was not acknowledged within
            `buffered_packet_timeout_ms`, or no longer exists.
        FLOW_CLOSING: The open reuses a flow that was closed within `close_linger_ms` and whose
            upstream accepts no new flows.
        DATA_CENTRE_OUT: The open is assigned to an upstream in a data centre that is out of
            service.
        OTHER_SERVICE: The assigned upstream belongs to another service.
    """

    NOT_READY = "not-ready"
    NO_CONTACT = "no-contact"
    UNKNOWN_SERVICE = "unknown-service"
    GROUP_UNREACHABLE = "group-unreachable"
    LISTING_UNCERTAIN = "listing-uncertain"
    FORWARD_LIMIT = "forward-limit"
    PIN_LIMIT = "pin-limit"
    PIN_TIMEOUT = "pin-timeout"
    FLOW_CLOSING = "flow-closing"
    DATA_CENTRE_OUT = "data-centre-out"
    OTHER_SERVICE = "other-service"


class ResetReason(enum.Enum):
    """Why a flow was reset.

    Attributes:
        NO_UPSTREAM: The service has no upstream for the slot of the flow.
        UPSTREAM_REMOVED: The upstream of the flow is no longer in the configuration.
        UPSTREAM_DRAINING: The open has the hash of an older flow, which is listed as an exception
            on an upstream that accepts no new flows.
        DATA_CENTRE_OUT: The flow is assigned to an upstream in a data centre that is out of
            service.
    """

    NO_UPSTREAM = "no-upstream"
    UPSTREAM_REMOVED = "upstream-removed"
    UPSTREAM_DRAINING = "upstream-draining"
    DATA_CENTRE_OUT = "data-centre-out"


class SendToUpstream(msgspec.Struct, frozen=True):
    """Sends the packet to an upstream."""

    upstream: Upstream


class ForwardToOwner(msgspec.Struct, frozen=True):
    """Forwards the packet with a header to the acting member of the owner group."""

    member: InstanceIncarnation
    header: ForwardHeader


class BufferPacket(msgspec.Struct, frozen=True):
    """Buffers the packet until a `ReleasePackets` for its service and flow."""


class DropPacket(msgspec.Struct, frozen=True):
    """Drops the packet and counts it."""

    reason: DropReason


class ResetFlow(msgspec.Struct, frozen=True):
    """Drops the packet, sends the caller a reset of the flow and writes a record of the reset.

    Attributes:
        reason: Why the flow is reset.
        upstream: Name of the upstream that the flow was assigned to; empty if none.
    """

    reason: ResetReason
    upstream: str = ""


RouteAction = SendToUpstream | ForwardToOwner | BufferPacket | DropPacket | ResetFlow


class SendMessage(msgspec.Struct, frozen=True):
    """Sends a message to an instance, without guaranteed delivery.

    Attributes:
        instance: Name of the receiving instance.
        message: The message.
    """

    instance: str
    message: RoutingMessage


class ReleasePackets(msgspec.Struct, frozen=True):
    """Applies an action to every buffered packet of a flow.

    Attributes:
        service: Name of the service.
        flow: 64-bit flow hash.
        action: Action for each of the packets.
    """

    service: str
    flow: int
    action: RouteAction


class AppendEntry(msgspec.Struct, frozen=True):
    """Appends an entry to the configuration log.

    The append is conditional: the entry must get index `expected_version` + 1. If another entry has
    that index, nothing is appended, and the entry is derived again after applying the other one.

    Attributes:
        expected_version: Version of the configuration from which the effects were derived.
        effects: Effects of the entry.
        reason: Sentence that the audit trail shows for the entry.
    """

    expected_version: int
    effects: tuple[Effect, ...]
    reason: str


OwnerAction = SendMessage | ReleasePackets | AppendEntry
