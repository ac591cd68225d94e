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
        """Returns the 64-bit hash that selects the service of a flow on a route with several.

        All instances compute the same hash. It differs from `catkinspread.hashing.hash_flow`,
        which identifies a flow by its service name, caller host and caller port.
        """
        address = self.address
        return hash_text(f"{self.caller_ip}:{self.caller_port}>{address.ip}:{address.port}")


class CallerPacket(msgspec.Struct, frozen=True):
    """A packet received from a caller.

    Attributes:
        key: Key of the flow that it belongs to.
        is_opening: Whether it is an opening packet, which opens the flow.
        is_close: Whether it is the last packet of the caller.
        is_reset: Whether the caller aborted the flow.
        sequence: Sequence number of the first data byte.
        acknowledged: In an opening packet, how often the caller sent it before: 0 in the first
            transmission, 1 in the first retransmission. In any other packet, the sequence number
            of the next byte that the caller expects.
        token: Token field that the caller received last, see `flow_tokens`; 0 if it has none.
        payload_size_bytes: Size of the payload.
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
    """Why a packet was not forwarded.

    A refused packet is answered with a reset. A dropped packet is not answered, so that the caller
    may retransmit it. If a retransmitted opening packet cannot be sent to another upstream, it is
    refused only for NONE_ANSWERS; otherwise the upstreams that were tried may still answer.
    """

    # Refused: there is no route for the service address.
    NO_ROUTE = "no_route"
    # Refused: no eligible upstream exists apart from those already tried for the flow.
    NO_UPSTREAM = "no_upstream"
    # Refused: there are eligible upstreams that are not in cold start, but all of them are in
    # back-off or missing and none may be probed now. None in cold start is within its rate limit.
    NONE_ANSWERS = "none_answers"
    # Refused: all eligible upstreams are in cold start and none is within its rate limit.
    ALL_COLD = "all_cold"
    # Refused: the share of the service's room that the route has is used up. A retransmission that
    # may have been sent to an upstream by another instance is dropped instead.
    NO_ROOM = "no_room"
    # Refused, or dropped like NO_ROOM: the expected wait exceeds the time until the deadline of the
    # request.
    TOO_LATE = "too_late"
    # Not sent again: the flow has had the maximum number of attempts, or has no route any more.
    TRIES_EXHAUSTED = "tries_exhausted"
    # Dropped: the instance has not read the complete state of the deployment yet.
    NO_STATE = "no_state"
    # Dropped instead of refused: the process was paused and may not have read the changes since then.
    OUTDATED_STATE = "outdated_state"
    # Dropped: the packet belongs to an earlier flow with the same key.
    EARLIER_FLOW = "earlier_flow"
    # Dropped: the flow is unknown and no upstream has the token of the packet.
    UNKNOWN_TOKEN = "unknown_token"
    # Dropped: no instance that answered knows where the flow is open, and its token is that of an
    # attempt whose handshake has ended long ago.
    UNKNOWN_FLOW = "unknown_flow"
    # Dropped: too many packets of unknown flows wait for the answers of other instances.
    TOO_MANY_HELD = "too_many_held"


class ResetReason(enum.Enum):
    """Why an established flow was reset."""

    # The record of its upstream disappeared and was not written again in time.
    UPSTREAM_GONE = "upstream_gone"
    # Its upstream answers neither its flows nor connection attempts.
    UPSTREAM_UNREACHABLE = "upstream_unreachable"


class HandedOverFlow(msgspec.Struct, frozen=True):
    """A flow that an instance tells others before it stops.

    Attributes:
        key: Key of the flow.
        sequence: Sequence number of a packet of it.
        upstream: Where it is open.
        age_ms: Time since an instance saw the flow there.
        is_open_here: Whether its packets reach this instance, which does not only keep it for
            another one.
        is_contested: Whether another upstream may have answered its opening packet. Of other flows,
            only callers that return an old token cannot be found.
    """

    key: FlowKey
    sequence: int
    upstream: KnownUpstream
    age_ms: int
    is_open_here: bool
    is_contested: bool = True


class FlowPeers(Protocol):
    """Tells the other instances of the data centre about flows."""

    def announce(self, packet: CallerPacket, needs_answers: bool) -> frozenset[str]:
        """Tells that a caller has ended the handshake of a flow.

        Args:
            packet: Packet of the flow. Its token is the one of the upstream that is assumed.
            needs_answers: Whether the others answer where they know the flow to be open.

        Returns:
            Addresses of the instances that are expected to answer; none also if the rate limit does
            not allow the announcement.
        """

    def is_uncontested(self, key: FlowKey, ignorant: frozenset[str], age_ms: int) -> bool:
        """Whether a flow cannot be contested, because one that would know of it does not.

        Args:
            key: Key of the flow.
            ignorant: Addresses of the instances that do not know the flow although they have kept
                flows for `age_ms`.
            age_ms: Longest time in ms since the flow was opened.
        """

    def remember(self, key: FlowKey, sequence: int, upstream: KnownUpstream, age_ms: int) -> None:
        """Tells some other instances where a flow is open, so that they can answer for this one.

        Args:
            key: Key of the flow.
            sequence: Sequence number of a packet of it.
            upstream: Where it is open.
            age_ms: Time since an instance saw the flow there.
        """

    def hand_over(self, flows: list[HandedOverFlow]) -> None:
        """Tells other instances flows before a planned stop, the first ones first.

        Later calls add flows.
        """


class NoFlowPeers:
    """There are no other instances."""

    __slots__ = ()

    def announce(self, packet: CallerPacket, needs_answers: bool) -> frozenset[str]:
        """Returns no address."""
        return frozenset()

    def is_uncontested(self, key: FlowKey, ignorant: frozenset[str], age_ms: int) -> bool:
        """Returns false: there is no instance that would know."""
        return False

    def remember(self, key: FlowKey, sequence: int, upstream: KnownUpstream, age_ms: int) -> None:
        """Does nothing."""

    def hand_over(self, flows: list[HandedOverFlow]) -> None:
        """Does nothing."""


class PacketOutput(Protocol):
    """Sends packets according to the forwarding decisions."""

    def forward(self, packet: CallerPacket, upstream: KnownUpstream, token: int) -> None:
        """Sends a packet to an upstream.

        Args:
            packet: The packet.
            upstream: Where it goes.
            token: Value of the token field, which the upstream returns to the caller.
        """

    def reset(self, key: FlowKey, sequence: int) -> None:
        """Sends a reset to the caller of a flow.

        Args:
            key: Key of the flow.
            sequence: Sequence number of the reset: 0 before the flow is established, then the one
                that the caller acknowledged last, so that the caller accepts the reset.
        """
