"""What the decision logic of an instance asks its tasks to do."""

import msgspec

from catkinspread.instance.messages import PeerBody
from catkinspread.model import Endpoint
from catkinspread.requests import StoreAction
from catkinspread.routing import AppendEntry
from catkinspread.wire import Packet


class SendToCaller(msgspec.Struct, frozen=True):
    """Sends a packet to a caller through the fabric."""

    service_address: Endpoint
    caller: Endpoint
    packet: Packet


class SendToUpstream(msgspec.Struct, frozen=True):
    """Sends a packet to an upstream.

    Attributes:
        endpoint: Where the upstream receives packets.
        packet: The packet.
        not_after_ms: The packet is dropped instead of sent at or after this time; 0 for no
            limit. A process that was paused must not start a request after its deadline.
    """

    endpoint: Endpoint
    packet: Packet
    not_after_ms: int = 0


class SendToPeer(msgspec.Struct, frozen=True):
    """Sends a message to an instance; it may be lost.

    Attributes:
        instance: Name of the instance.
        body: The message.
        incarnation: The only run of the instance that may handle it; 0 for any.
    """

    instance: str
    body: PeerBody
    incarnation: int = 0


class SpreadToPeers(msgspec.Struct, frozen=True):
    """Sends a message to a few random live instances."""

    body: PeerBody


class CallStore(msgspec.Struct, frozen=True):
    """Executes a store action of the request handler and reports its outcome."""

    action: StoreAction


class AppendChange(msgspec.Struct, frozen=True):
    """Appends an automatic entry to the configuration log."""

    entry: AppendEntry


Action = SendToCaller | SendToUpstream | SendToPeer | SpreadToPeers | CallStore | AppendChange
