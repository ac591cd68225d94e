"""The packet of a caller as the forwarding decisions see it, and what is done with it."""

import enum
from typing import Protocol

import msgspec

from catkinspread.deployment import KnownUpstream, ServiceAddress
from catkinspread.hashing import hash_text


class FlowKey(msgspec.Struct, frozen=True):
    """Both ends of a flow.

    Attributes:
        caller_ip: IPv4 number of the caller as an integer.
        caller_port: Port of the caller.
        address: Address that the caller opened the flow to.
    """

    caller_ip: int
    caller_port: int
    address: ServiceAddress

    def compute_hash(self) -> int:
        """Returns a 64-bit hash that is the same on all instances."""
        address = self.address
        return hash_text(f"{self.caller_ip}:{self.caller_port}>{address.ip}:{address.port}")


class CallerPacket(msgspec.Struct, frozen=True):
    """A packet that a caller sent.

    Attributes:
        key: The flow that it belongs to.
        is_open: Whether it asks to open the flow.
        is_close: Whether the caller sends nothing after it.
        is_reset: Whether the caller gave up the flow.
        sequence: Number of the first byte it carries.
        acknowledged: Number of the next byte that the caller expects; for a packet that
            opens, how many copies were sent before it.
        token: Upstream that answered the caller last, as a number; 0 if none has.
        data_bytes: Size of the data.
        datagram: The packet as received.
    """

    key: FlowKey
    is_open: bool
    is_close: bool
    is_reset: bool
    sequence: int
    acknowledged: int
    token: int
    data_bytes: int
    datagram: bytes


class Reason(enum.Enum):
    """Why a packet was not forwarded."""

    NO_ROUTE = "no_route"
    NO_UPSTREAM = "no_upstream"
    NONE_ANSWERS = "none_answers"
    ALL_COLD = "all_cold"
    TRIES_EXHAUSTED = "tries_exhausted"
    NO_STATE = "no_state"
    UNKNOWN_TOKEN = "unknown_token"


class PacketOutput(Protocol):
    """Sends what was decided."""

    def forward(self, packet: CallerPacket, upstream: KnownUpstream) -> None:
        """Sends a packet to an upstream."""

    def reset(self, packet: CallerPacket) -> None:
        """Tells the caller at once that the flow ends."""
