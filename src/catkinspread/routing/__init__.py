"""Flow routing: which upstream carries each flow, and how slots move without breaking flows."""

from catkinspread.routing.actions import (
    AppendEntry,
    BufferPacket,
    DropPacket,
    DropReason,
    ForwardToOwner,
    OwnerAction,
    ReleasePackets,
    ResetFlow,
    ResetReason,
    RouteAction,
    SendMessage,
    SendToUpstream,
)
from catkinspread.routing.counters import OwnerCounters
from catkinspread.routing.groups import GROUP_SIZE, LiveMembers, MemberView, choose_group
from catkinspread.routing.limits import RoutingLimits
from catkinspread.routing.messages import (
    AnnounceListing,
    ForgetPins,
    ForwardedPacket,
    ForwardHeader,
    ListingAcknowledged,
    PacketKind,
    PinnedFlows,
    PinsStored,
    ReplicatePins,
    RoutingMessage,
)
from catkinspread.routing.owner import TransitionOwner
from catkinspread.routing.planner import (
    apportion_slots,
    current_upstream,
    plan_rebalance,
    plan_rebalance_step,
)
from catkinspread.routing.queries import can_serve_flows, count_exceptions, is_unused
from catkinspread.routing.router import SlotRouter

__all__ = [
    "GROUP_SIZE",
    "AnnounceListing",
    "AppendEntry",
    "BufferPacket",
    "DropPacket",
    "DropReason",
    "ForgetPins",
    "ForwardHeader",
    "ForwardToOwner",
    "ForwardedPacket",
    "ListingAcknowledged",
    "LiveMembers",
    "MemberView",
    "OwnerAction",
    "OwnerCounters",
    "PacketKind",
    "PinnedFlows",
    "PinsStored",
    "ReleasePackets",
    "ReplicatePins",
    "ResetFlow",
    "ResetReason",
    "RouteAction",
    "RoutingLimits",
    "RoutingMessage",
    "SendMessage",
    "SendToUpstream",
    "SlotRouter",
    "TransitionOwner",
    "apportion_slots",
    "can_serve_flows",
    "choose_group",
    "count_exceptions",
    "current_upstream",
    "is_unused",
    "plan_rebalance",
    "plan_rebalance_step",
]
