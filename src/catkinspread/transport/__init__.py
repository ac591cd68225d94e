"""Sockets owned by tasks, with bounded queues in front of them."""

from catkinspread.transport.udp import UdpPort

__all__ = ["UdpPort"]
