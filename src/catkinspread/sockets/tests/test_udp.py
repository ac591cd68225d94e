"""Tests of UDP sockets that are opened before anything reads from them."""

import anyio
import pytest

from catkinspread.model import Endpoint
from catkinspread.sockets import open_udp_socket
from catkinspread.transport import UdpTransport

LOOPBACK = Endpoint("127.0.0.1", 0)


def test_datagrams_are_buffered_until_a_udp_port_uses_the_socket() -> None:
    """Guards against packets that are lost between opening the socket and the first read."""

    async def scenario() -> list[bytes]:
        received: list[bytes] = []
        udp_socket = open_udp_socket(LOOPBACK)
        address = Endpoint("127.0.0.1", udp_socket.getsockname()[1])
        with open_udp_socket(LOOPBACK) as sender:
            sender.sendto(b"early", (address.host, address.port))
        port = UdpTransport(address, lambda data, _: received.append(data), bound_socket=udp_socket)
        async with anyio.create_task_group() as group:
            await group.start(port.run)
            with anyio.fail_after(20):
                while not received:
                    await anyio.sleep(0.01)
            group.cancel_scope.cancel()
        return received

    assert anyio.run(scenario) == [b"early"]


def test_address_in_use_is_an_error() -> None:
    """Guards against a second instance that starts on the address of a running one."""
    with open_udp_socket(LOOPBACK) as udp_socket, pytest.raises(OSError):
        open_udp_socket(Endpoint("127.0.0.1", udp_socket.getsockname()[1]))
