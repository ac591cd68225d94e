"""Finds free loopback ports for tests and demonstrations."""

import contextlib
import random
import socket

# Binding the wildcard address fails if any local address uses the port.
_ANY_ADDRESS = "0.0.0.0"
# Below the ephemeral port range of Linux, from which an outgoing connection may take a free port at
# any time.
_FIRST_PORT = 20_000
_LAST_PORT = 32_000
_ATTEMPTS_PER_PORT = 100


class NoFreePortsError(Exception):
    """Too few ports were found that are free for both UDP and TCP."""


def find_free_ports(count: int) -> list[int]:
    """Returns distinct ports that are free for both UDP and TCP on all local addresses.

    The ports are not reserved; another process may bind them before the caller does.

    Raises:
        NoFreePortsError: If fewer than `count` ports were found.
    """
    rng = random.SystemRandom()
    found: list[int] = []
    for _ in range(_ATTEMPTS_PER_PORT * count):
        port = rng.randint(_FIRST_PORT, _LAST_PORT)
        if port not in found and _is_free(port):
            found.append(port)
        if len(found) == count:
            return found
    raise NoFreePortsError(
        f"found {len(found)} of {count} ports free for UDP and TCP in {_FIRST_PORT}-{_LAST_PORT}"
        f" on all local addresses after {_ATTEMPTS_PER_PORT * count} attempts"
    )


def _is_free(port: int) -> bool:
    with contextlib.ExitStack() as probes:
        try:
            for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                probe = probes.enter_context(socket.socket(socket.AF_INET, kind))
                probe.bind((_ANY_ADDRESS, port))
        except OSError:
            return False  # In use for at least one of the two protocols.
    return True
