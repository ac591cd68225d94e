"""Tests of the search for free ports."""

import socket

import pytest

from catkinspread.sockets import find_free_ports
from catkinspread.sockets.free_ports import _is_free


@pytest.mark.parametrize("kind", [socket.SOCK_DGRAM, socket.SOCK_STREAM])
@pytest.mark.parametrize("host", ["127.0.0.1", "127.0.0.10"])
def test_port_in_use_by_either_protocol_is_not_free(kind: socket.SocketKind, host: str) -> None:
    """Guards against a port that is in use for one protocol or on one loopback address."""
    (port,) = find_free_ports(1)
    with socket.socket(socket.AF_INET, kind) as bound:
        bound.bind((host, port))
        assert not _is_free(port)


def test_ports_are_distinct_and_below_the_ephemeral_range() -> None:
    """Guards against an outgoing connection that takes a port between the search and its use."""
    ports = find_free_ports(20)
    assert len(set(ports)) == 20
    with open("/proc/sys/net/ipv4/ip_local_port_range") as port_range:
        assert max(ports) < int(port_range.read().split()[0])
