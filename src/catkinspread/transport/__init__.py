"""Network transports: UDP sockets, an HTTP server and ZeroMQ messages between instances.

`catkinspread.transport.peers` is not imported here, because it loads ZeroMQ, which instances that
only forward packets do not need. Import it directly.
"""

from catkinspread.transport.http_server import (
    BODY_DRAIN_FACTOR,
    HttpRequest,
    HttpServer,
    HttpServerResponse,
)
from catkinspread.transport.udp import UdpTransport

__all__ = ["BODY_DRAIN_FACTOR", "HttpRequest", "HttpServer", "HttpServerResponse", "UdpTransport"]
