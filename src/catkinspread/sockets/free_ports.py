"""Finds ports for tests and demonstrations on loopback."""

import contextlib
import random
import socket

_LOOPBACK = "127.0.0.1"
# Below the ports that Linux gives to outgoing connections, which may take a free port at any time.
_FIRST_PORT = 20_000
_LAST_PORT = 32_000
_TRIES_PER_PORT = 100


class NoFreePort(Exception):
    """No port was found that is free for UDP and TCP."""


def find_free_ports(count: int) -> list[int]:
    """Returns different ports that are free for UDP and TCP at the moment.

    Raises:
        NoFreePort: If not enough of them were found.
    """
    rng = random.SystemRandom()
    found: list[int] = []
    for _ in range(_TRIES_PER_PORT * count):
        port = rng.randint(_FIRST_PORT, _LAST_PORT)
        if port not in found and _is_free(port):
            found.append(port)
        if len(found) == count:
            return found
    raise NoFreePort(f"{len(found)} of {count} ports were found")


def _is_free(port: int) -> bool:
    with contextlib.ExitStack() as opened:
        try:
            for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                probe = opened.enter_context(socket.socket(socket.AF_INET, kind))
                probe.bind((_LOOPBACK, port))
        except OSError:
            return False  # In use; the caller looks for another one.
    return True
