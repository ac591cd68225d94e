"""UDP sockets with common options, and the search for free ports."""

from catkinspread.sockets.free_ports import NoFreePort, find_free_ports
from catkinspread.sockets.udp import open_udp_socket

__all__ = ["NoFreePort", "find_free_ports", "open_udp_socket"]
