"""Encapsulation of datagrams between the fabric and instances.

The fabric is the network in front of the instances. It may deliver any packet of a caller to any
instance, and it delivers the packets of instances to the callers.
"""

import msgspec

from catkinspread.model import Endpoint
from catkinspread.wire.packets import DATAGRAM_MAX_BYTES, PacketError

# Upper bound of the size of both endpoints and of the MessagePack headers of all fields. Two IPv4
# endpoints take at most 42 bytes with the headers.
_OVERHEAD_MAX_BYTES = 128


class FabricPacket(msgspec.Struct, array_like=True, frozen=True):
    """A datagram between a caller and a service address, in either direction, with both addresses.

    Attributes:
        service_host: IP address of the service address.
        service_port: Port of the service address.
        caller_host: IP address of the caller.
        caller_port: Port of the caller.
        datagram: The unmodified datagram, at most DATAGRAM_MAX_BYTES.
    """

    service_host: str
    service_port: int
    caller_host: str
    caller_port: int
    datagram: bytes

    @property
    def service(self) -> Endpoint:
        """Service address of the datagram."""
        return Endpoint(self.service_host, self.service_port)

    @property
    def caller(self) -> Endpoint:
        """Address and source port of the caller."""
        return Endpoint(self.caller_host, self.caller_port)


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(FabricPacket)


def encode_fabric_packet(service: Endpoint, caller: Endpoint, datagram: bytes) -> bytes:
    """Encapsulates a datagram between a caller and a service address."""
    return _ENCODER.encode(
        FabricPacket(service.host, service.port, caller.host, caller.port, datagram)
    )


def decode_fabric_packet(data: bytes) -> FabricPacket:
    """Decodes an encapsulated datagram; the inner datagram is not decoded.

    Raises:
        PacketError: If it is too large or malformed.
    """
    max_bytes = DATAGRAM_MAX_BYTES + _OVERHEAD_MAX_BYTES
    if len(data) > max_bytes:
        raise PacketError(f"encapsulated datagram of {len(data)} bytes exceeds {max_bytes} bytes")
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError as error:
        raise PacketError(f"encapsulated datagram is malformed: {error}") from error
