"""Actions that the flow routing returns to the daemon.

The routing does no I/O: it takes events with their times and returns these actions, which the
daemon carries out.
"""

import enum

import msgspec

from catkinspread.configuration import Effect
from catkinspread.model import OwnerMember, Upstream
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
    """Why a packet was dropped; the caller is expected to retransmit it."""

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
    """Why a flow was reset."""

    NO_UPSTREAM = "no-upstream"
    UPSTREAM_REMOVED = "upstream-removed"
    UPSTREAM_DRAINING = "upstream-draining"
    DATA_CENTRE_OUT = "data-centre-out"


class SendToUpstream(msgspec.Struct, frozen=True):
    """Sends the packet to an upstream."""

    upstream: Upstream


class ForwardToOwner(msgspec.Struct, frozen=True):
    """Forwards the packet with a header to the acting member of the owner group."""

    member: OwnerMember
    header: ForwardHeader


class BufferPacket(msgspec.Struct, frozen=True):
    """Buffers the packet until a `ReleasePackets` for its service and flow."""


class DropPacket(msgspec.Struct, frozen=True):
    """Drops the packet and counts it."""

    reason: DropReason


class ResetFlow(msgspec.Struct, frozen=True):
    """Drops the packet, sends the caller a reset of the flow and records it.

    Attributes:
        reason: Why the flow is reset.
        upstream: Name of the upstream that the flow was assigned to; empty if none.
    """

    reason: ResetReason
    upstream: str = ""


RouteAction = SendToUpstream | ForwardToOwner | BufferPacket | DropPacket | ResetFlow


class SendMessage(msgspec.Struct, frozen=True):
    """Sends a message to an instance, without guaranteed delivery."""

    instance: str
    message: RoutingMessage


class ReleasePackets(msgspec.Struct, frozen=True):
    """Applies `action` to every buffered packet of a flow."""

    service: str
    flow: int
    action: RouteAction


class AppendEntry(msgspec.Struct, frozen=True):
    """Appends an entry to the configuration log.

    The append is conditional: the entry must get index `expected_version` + 1. If another entry has
    that index, nothing is appended, and the owner decides again after applying that entry.

    Attributes:
        expected_version: Version of the configuration from which the effects were derived.
        effects: Effects of the entry.
        reason: Reason for the audit trail.
    """

    expected_version: int
    effects: tuple[Effect, ...]
    reason: str


OwnerAction = SendMessage | ReleasePackets | AppendEntry
