"""Opens sockets with the options that all parts use."""

from catkinspread.sockets.free_ports import NoFreePort, find_free_ports
from catkinspread.sockets.udp import open_udp_socket

__all__ = ["NoFreePort", "find_free_ports", "open_udp_socket"]
