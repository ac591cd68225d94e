"""Opens UDP sockets."""

import socket

from catkinspread.model import Endpoint

# Holds the packets that arrive while the process is busy or still loading its modules.
_SOCKET_BUFFER_BYTES = 4 * 1024 * 1024


def open_udp_socket(endpoint: Endpoint) -> socket.socket:
    """Opens a non-blocking UDP socket and binds it to an endpoint.

    Raises:
        OSError: If the address cannot be bound.
    """
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        udp_socket.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            udp_socket.setsockopt(socket.SOL_SOCKET, option, _SOCKET_BUFFER_BYTES)
        udp_socket.bind((endpoint.host, endpoint.port))
    except OSError:
        udp_socket.close()
        raise
    return udp_socket
