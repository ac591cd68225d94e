"""Non-blocking UDP sockets with large buffers, and the search for free ports."""

from catkinspread.sockets.free_ports import NoFreePortsError, find_free_ports
from catkinspread.sockets.udp import open_udp_socket

__all__ = ["NoFreePortsError", "find_free_ports", "open_udp_socket"]
