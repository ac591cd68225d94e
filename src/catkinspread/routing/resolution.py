"""Resolves the name of an upstream to a routing action, with the checks for every packet."""

from catkinspread.model import Configuration, DataCentreState, UpstreamState
from catkinspread.routing.actions import (
    DropPacket,
    DropReason,
    PacketKind,
    ResetFlow,
    ResetReason,
    SendToUpstream,
)


def resolve_upstream(
    configuration: Configuration, service: str, name: str, kind: PacketKind
) -> SendToUpstream | DropPacket | ResetFlow:
    """Returns the action for a packet whose flow is assigned to an upstream.

    Args:
        configuration: The applied configuration.
        service: Service whose address the packet was sent to.
        name: Name of the upstream; empty if the service has none.
        kind: Kind of the packet. An open to a data centre that is out of service is dropped,
            because the caller retransmits it and then reaches the new upstream; any other
            packet resets the flow.
    """
    if not name:
        return ResetFlow(ResetReason.NO_UPSTREAM)
    upstream = configuration.upstreams.get(name)
    if upstream is None:
        return ResetFlow(ResetReason.UPSTREAM_REMOVED, name)
    if upstream.service != service:
        return DropPacket(DropReason.OTHER_SERVICE)
    data_centre = configuration.data_centres.get(upstream.data_centre)
    if data_centre is not None and data_centre.state is DataCentreState.OUT:
        if kind is PacketKind.OPEN:
            return DropPacket(DropReason.DATA_CENTRE_OUT)
        return ResetFlow(ResetReason.DATA_CENTRE_OUT, name)
    return SendToUpstream(upstream)


def is_closed_to_new_flows(configuration: Configuration, name: str) -> bool:
    """Returns whether an upstream is draining or being removed, so that it accepts no new flows.

    False for an active upstream and for one that the configuration does not contain.
    """
    upstream = configuration.upstreams.get(name)
    return upstream is not None and upstream.state is not UpstreamState.ACTIVE
