"""Opens UDP sockets."""

import socket

from catkinspread.model import Endpoint

# Room for the packets that arrive while the program is busy or still loads.
_BUFFER_BYTES = 4 * 1024 * 1024


def open_udp_socket(endpoint: Endpoint) -> socket.socket:
    """Returns a bound socket that does not block.

    Raises:
        OSError: If the address cannot be bound.
    """
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        opened.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            opened.setsockopt(socket.SOL_SOCKET, option, _BUFFER_BYTES)
        opened.bind((endpoint.host, endpoint.port))
    except OSError:
        opened.close()
        raise
    return opened
