"""A stand-in of the fabric that sprays packets of callers over the instances."""

import random

import anyio
import anyio.abc
import msgspec

from catkinspread.model import Endpoint
from catkinspread.transport import UdpTransport
from catkinspread.wire import PacketError, decode_fabric_packet, encode_fabric_packet


class FabricFaults(msgspec.Struct):
    """Faults of the fabric in both directions; tests change the fields while it runs.

    Attributes:
        loss: Share of packets that are lost.
        duplication: Share of packets that are handed to two instances.
        delay_max_ms: Packets wait a random time up to this, so that they overtake each other.
    """

    loss: float = 0.0
    duplication: float = 0.0
    delay_max_ms: int = 0


class Fabric:
    """The set of instances that get packets, and the faults in force.

    Attributes:
        instances: Where instances receive packets, by name.
        faults: Faults in force.
    """

    __slots__ = ("_random", "faults", "instances")

    def __init__(self, faults: FabricFaults, seed: int) -> None:
        self.instances: dict[str, Endpoint] = {}
        self.faults = faults
        self._random = random.Random(seed)

    def choose_instances(self) -> list[Endpoint]:
        """Returns where one packet goes: nowhere, to one instance or to two."""
        if not self.instances or self._random.random() < self.faults.loss:
            return []
        count = 2 if self._random.random() < self.faults.duplication else 1
        endpoints = list(self.instances.values())
        return [self._random.choice(endpoints) for _ in range(count)]

    def choose_delay_ms(self) -> float:
        """Returns how long one packet waits, in ms."""
        return self._random.uniform(0, self.faults.delay_max_ms)


async def run_fabric(
    fabric: Fabric,
    services: list[Endpoint],
    inner: Endpoint,
    *,
    task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Carries packets between callers and instances until cancelled.

    Args:
        fabric: Instances and faults.
        services: Service addresses on which callers send.
        inner: Where instances send packets for callers.
        task_status: Told once all sockets are open.
    """
    async with anyio.create_task_group() as group:

        def carry_out(data: bytes, _: Endpoint) -> None:
            try:
                packet = decode_fabric_packet(data)
            except PacketError:
                return
            if packet.service in outer:
                port = outer[packet.service]
                group.start_soon(_send_later, fabric, port, packet.datagram, packet.caller)

        def build_outer(service: Endpoint) -> UdpTransport:
            def carry_in(datagram: bytes, caller: Endpoint) -> None:
                data = encode_fabric_packet(service, caller, datagram)
                for instance in fabric.choose_instances():
                    group.start_soon(_send_later, fabric, inner_port, data, instance)

            return UdpTransport(service, carry_in)

        inner_port = UdpTransport(inner, carry_out)
        outer = {service: build_outer(service) for service in services}
        for port in (inner_port, *outer.values()):
            await group.start(port.run)
        task_status.started()


async def _send_later(fabric: Fabric, port: UdpTransport, data: bytes, target: Endpoint) -> None:
    delay_ms = fabric.choose_delay_ms()
    if delay_ms:
        await anyio.sleep(delay_ms / 1000)
    port.send(data, target)
