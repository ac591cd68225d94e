"""Opens UDP sockets."""

import socket

from catkinspread.model import Endpoint

# Size of the receive and of the send buffer. The receive buffer holds the packets that arrive while
# the process is busy or still importing its modules.
_SOCKET_BUFFER_BYTES = 4 * 1024 * 1024


def open_udp_socket(endpoint: Endpoint) -> socket.socket:
    """Opens a non-blocking IPv4 UDP socket and binds it to an endpoint.

    The receive and the send buffer are set to 4 MiB each; Linux silently limits them to
    `net.core.rmem_max` and `net.core.wmem_max`.

    Raises:
        OSError: If the address is not an IPv4 address or cannot be bound. The message does not
            contain the endpoint.
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
