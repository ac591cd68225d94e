"""Opens the packet socket at a start, also if its address is not available at once."""

import errno
import socket
import time
from collections.abc import Callable

import msgspec

from catkinspread.model import Endpoint
from catkinspread.sockets import open_udp_socket

# The interface gets its address a moment after the start of the machine (EADDRNOTAVAIL), and the
# process before this one may still be ending (EADDRINUSE). Other errors do not pass by themselves.
_TRANSIENT_ERRORS = frozenset((errno.EADDRNOTAVAIL, errno.EADDRINUSE))
# Callers give up opening a flow after 1.4 s; whatever restarts the program tries again after that.
ADDRESS_WAIT_MS = 2_000
_FIRST_PAUSE_MS = 50
_PAUSE_MAX_MS = 400
_MS_PER_S = 1_000


class PacketAddressRetry(msgspec.Struct, frozen=True):
    """A failed attempt to bind the packet address that is followed by another one.

    Attributes:
        address: The packet address.
        reason: The error of the system.
        pause_ms: Time until the next attempt in ms.
    """

    address: Endpoint
    reason: str
    pause_ms: int


def open_packet_socket(
    address: Endpoint,
    on_retry: Callable[[PacketAddressRetry], None],
    sleep: Callable[[float], None] = time.sleep,
) -> socket.socket:
    """Opens the packet socket; tries for `ADDRESS_WAIT_MS` while its address is not available.

    Args:
        address: Address to bind.
        on_retry: Called before each pause.
        sleep: Waits for a time in seconds.

    Raises:
        OSError: If the address could not be bound.
    """
    waited_ms = 0
    pause_ms = _FIRST_PAUSE_MS
    while True:
        try:
            return open_udp_socket(address)
        except OSError as error:
            if error.errno not in _TRANSIENT_ERRORS or waited_ms >= ADDRESS_WAIT_MS:
                raise
            on_retry(PacketAddressRetry(address, str(error), pause_ms))
        sleep(pause_ms / _MS_PER_S)
        waited_ms += pause_ms
        pause_ms = min(2 * pause_ms, _PAUSE_MAX_MS)
