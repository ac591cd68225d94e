"""Addresses of one run on loopback.

Every run has a subnet of its own, so that several can run at the same time.
"""

import socket

import msgspec

from catkinspread.model import Endpoint

# Upstreams answer callers at the port at which instances take packets.
PACKET_PORT = 18_172
PEER_PORT = 17_720
READINESS_PORT = 18_167
STORE_PORT = 18_169


def to_number(host: str) -> int:
    """Returns an IPv4 address as an integer."""
    return int.from_bytes(socket.inet_aton(host), "big")


class Layout(msgspec.Struct, frozen=True):
    """Hosts by role.

    Attributes:
        subnet: Second number of all addresses, 1 to 254.
    """

    subnet: int

    def caller_host(self, number: int) -> str:
        """Returns the host of the callers of a data centre."""
        return f"127.{self.subnet}.1.{number + 1}"

    def instance_host(self, number: int) -> str:
        """Returns the host of an instance."""
        return f"127.{self.subnet}.2.{number + 1}"

    def upstream_host(self, number: int) -> str:
        """Returns the host of an upstream."""
        return f"127.{self.subnet}.3.{number + 1}"

    def store_proxy(self, number: int) -> Endpoint:
        """Returns where an instance reaches the store."""
        return Endpoint(f"127.{self.subnet}.4.{number + 1}", STORE_PORT)

    @property
    def store(self) -> Endpoint:
        """Where the store is behind the proxies."""
        return Endpoint(f"127.{self.subnet}.5.1", STORE_PORT)
