"""What the decision logic of an instance asks its tasks to do."""

import msgspec

from catkinspread.model import Endpoint
from catkinspread.wire import Packet


class SendToCaller(msgspec.Struct, frozen=True):
    """Sends a packet to a caller through the fabric."""

    service_address: Endpoint
    caller: Endpoint
    packet: Packet


class SendToUpstream(msgspec.Struct, frozen=True):
    """Sends a packet to an upstream."""

    endpoint: Endpoint
    packet: Packet


Action = SendToCaller | SendToUpstream
