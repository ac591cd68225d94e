"""Builds the messages about flows between instances, and applies those that arrive."""

from catkinspread.deployment import ServiceAddress
from catkinspread.forwarding import CallerPacket, FlowKey, Forwarder
from catkinspread.peers import FlowAnnouncement, FlowLocation

# Token in a location that stands for no upstream.
UNKNOWN_UPSTREAM = 0


def build_announcement(packet: CallerPacket, needs_answer: bool) -> FlowAnnouncement:
    """Returns the announcement of the flow of a packet."""
    key = packet.key
    return FlowAnnouncement(
        key.caller_ip,
        key.caller_port,
        key.address.ip,
        key.address.port,
        packet.sequence,
        packet.acknowledged,
        packet.token,
        needs_answer,
    )


def build_location(
    key: FlowKey, sequence: int, token: int, age_ms: int, is_contested: bool = True
) -> FlowLocation:
    """Returns the message that tells where a flow is open; see `FlowLocation`."""
    address = key.address
    return FlowLocation(
        key.caller_ip,
        key.caller_port,
        address.ip,
        address.port,
        sequence,
        token,
        age_ms,
        is_contested,
    )


def apply_announcement(
    forwarder: Forwarder, announcement: FlowAnnouncement, now_ms: int, uptime_ms: int
) -> FlowLocation | None:
    """Applies the announcement of another instance.

    Args:
        forwarder: Knows the flows of this instance.
        announcement: The announcement.
        now_ms: Current time.
        uptime_ms: Time for which this process has kept flows, in ms.

    Returns:
        The answer if the other instance needs one; None otherwise.
    """
    key, sequence = _build_key(announcement), announcement.sequence
    upstream = forwarder.adoption.find_open_flow(key, sequence)
    if upstream is None:
        upstream = forwarder.adoption.find_only_attempt(key, sequence)
        forwarder.adoption.record_opened_elsewhere(
            key,
            sequence,
            announcement.acknowledged,
            announcement.token,
            now_ms,
            is_certain=not announcement.needs_answer,
        )
    if not announcement.needs_answer:
        return None
    if upstream is None:
        return build_location(key, sequence, UNKNOWN_UPSTREAM, age_ms=uptime_ms)
    return build_location(key, sequence, upstream.token, age_ms=0)


def apply_location(
    forwarder: Forwarder, location: FlowLocation, sender_host: str, now_ms: int
) -> None:
    """Applies where another instance knows a flow to be open, or that it does not know it."""
    key = _build_key(location)
    if location.token == UNKNOWN_UPSTREAM:
        forwarder.adoption.record_flow_unknown(key, sender_host, now_ms, location.age_ms)
    else:
        forwarder.adoption.record_flow_upstream(
            key,
            location.sequence,
            location.token,
            now_ms,
            location.age_ms,
            location.is_contested,
        )


def _build_key(message: FlowAnnouncement | FlowLocation) -> FlowKey:
    address = ServiceAddress(message.service_ip, message.service_port)
    return FlowKey(message.caller_ip, message.caller_port, address)
