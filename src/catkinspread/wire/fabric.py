"""The encapsulation in which the fabric hands packets of callers to instances."""

import msgspec

from catkinspread.model import Endpoint
from catkinspread.wire.packets import PACKET_MAX_BYTES, PacketError

# Two endpoints and the lengths of the fields.
_OVERHEAD_MAX_BYTES = 128


class FabricPacket(msgspec.Struct, array_like=True, frozen=True):
    """A datagram between a caller and a service address.

    Attributes:
        service_host: IP number of the service address.
        service_port: Port of the service address.
        caller_host: IP number of the caller.
        caller_port: Port of the caller.
        datagram: The datagram as sent, at most PACKET_MAX_BYTES.
    """

    service_host: str
    service_port: int
    caller_host: str
    caller_port: int
    datagram: bytes

    @property
    def service(self) -> Endpoint:
        """The service address."""
        return Endpoint(self.service_host, self.service_port)

    @property
    def caller(self) -> Endpoint:
        """The address of the caller."""
        return Endpoint(self.caller_host, self.caller_port)


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(FabricPacket)


def encode_fabric_packet(service: Endpoint, caller: Endpoint, datagram: bytes) -> bytes:
    """Returns the encapsulated form of a datagram."""
    return _ENCODER.encode(
        FabricPacket(service.host, service.port, caller.host, caller.port, datagram)
    )


def decode_fabric_packet(data: bytes) -> FabricPacket:
    """Returns the content of an encapsulated datagram.

    Raises:
        PacketError: If size or shape is wrong.
    """
    if len(data) > PACKET_MAX_BYTES + _OVERHEAD_MAX_BYTES:
        raise PacketError(f"encapsulated datagram of {len(data)} bytes is too large")
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError as error:
        raise PacketError(f"encapsulated datagram is malformed: {error}") from error
