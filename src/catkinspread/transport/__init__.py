"""Sockets owned by tasks, with bounded queues in front of them."""

from catkinspread.transport.http_server import (
    BODY_DRAIN_FACTOR,
    HttpAnswer,
    HttpRequest,
    HttpServer,
)
from catkinspread.transport.peers import PeerPort
from catkinspread.transport.udp import UdpPort

__all__ = ["BODY_DRAIN_FACTOR", "HttpAnswer", "HttpRequest", "HttpServer", "PeerPort", "UdpPort"]
