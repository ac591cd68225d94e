"""Packets of callers as parsed for forwarding, and the interface that sends them on."""

import enum
from typing import Protocol

import msgspec

from catkinspread.deployment import KnownUpstream, ServiceAddress
from catkinspread.hashing import hash_text


class FlowKey(msgspec.Struct, frozen=True):
    """Both ends of a flow.

    Attributes:
        caller_ip: IPv4 address of the caller as an integer.
        caller_port: Port of the caller.
        address: Service address that the flow was opened to.
    """

    caller_ip: int
    caller_port: int
    address: ServiceAddress

    def compute_routing_hash(self) -> int:
        """Returns a 64-bit hash that all instances agree on."""
        address = self.address
        return hash_text(f"{self.caller_ip}:{self.caller_port}>{address.ip}:{address.port}")


class CallerPacket(msgspec.Struct, frozen=True):
    """A packet received from a caller.

    Attributes:
        key: Key of the flow that it belongs to.
        is_opening: Whether it is an opening packet, which asks to open the flow.
        is_close: Whether it is the last packet of the caller.
        is_reset: Whether the caller aborted the flow.
        sequence: Sequence number of the first data byte.
        acknowledged: Sequence number of the next byte that the caller expects; in an opening
            packet, the number of earlier transmissions of it.
        token: Token of the upstream that answered the caller last; 0 if none has.
        payload_size_bytes: Size of the payload in bytes.
        datagram: The packet as received.
    """

    key: FlowKey
    is_opening: bool
    is_close: bool
    is_reset: bool
    sequence: int
    acknowledged: int
    token: int
    payload_size_bytes: int
    datagram: bytes


class RejectionReason(enum.Enum):
    """Why a packet was not forwarded."""

    NO_ROUTE = "no_route"
    NO_UPSTREAM = "no_upstream"
    NONE_ANSWERS = "none_answers"
    ALL_COLD = "all_cold"
    TRIES_EXHAUSTED = "tries_exhausted"
    NO_STATE = "no_state"
    UNKNOWN_TOKEN = "unknown_token"


class PacketOutput(Protocol):
    """Sends packets according to the forwarding decisions."""

    def forward(self, packet: CallerPacket, upstream: KnownUpstream) -> None:
        """Sends a packet to an upstream."""

    def reset(self, packet: CallerPacket) -> None:
        """Sends a reset to the caller of a packet."""
