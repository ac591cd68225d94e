"""Sockets owned by tasks, with bounded queues in front of them.

`catkinspread.transport.peers` is imported by name, because it loads ZeroMQ, which instances that
only forward packets do not need.
"""

from catkinspread.transport.http_server import (
    BODY_DRAIN_FACTOR,
    HttpRequest,
    HttpServer,
    HttpServerResponse,
)
from catkinspread.transport.udp import UdpTransport

__all__ = ["BODY_DRAIN_FACTOR", "HttpRequest", "HttpServer", "HttpServerResponse", "UdpTransport"]
