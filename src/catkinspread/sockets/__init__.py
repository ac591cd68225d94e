"""Opens sockets with the options that all parts use."""

from catkinspread.sockets.udp import open_udp_socket

__all__ = ["open_udp_socket"]
