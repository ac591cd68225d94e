"""Stand-ins for the platform on loopback, in its own formats.

Tests and the fault soak run real instances against them; instances never load them.
"""

from catkinspread.platform.stand_ins.objects import (
    encode_configuration,
    encode_upstream,
    encode_upstream_name,
)
from catkinspread.platform.stand_ins.packets import (
    FlowPacket,
    PacketDamaged,
    decode_flow_packet,
    decode_request,
    encode_flow_packet,
    encode_request,
    split_upstream_datagram,
)
from catkinspread.platform.stand_ins.settings import READINESS_PATH, build_environment
from catkinspread.platform.stand_ins.store import StoreCopy, StoreMode, StoreStandIn

__all__ = [
    "READINESS_PATH",
    "FlowPacket",
    "PacketDamaged",
    "StoreCopy",
    "StoreMode",
    "StoreStandIn",
    "build_environment",
    "decode_flow_packet",
    "decode_request",
    "encode_configuration",
    "encode_flow_packet",
    "encode_request",
    "encode_upstream",
    "encode_upstream_name",
    "split_upstream_datagram",
]
