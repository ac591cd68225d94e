"""Hashes of flows and requests, and rendezvous ranking.

All hashes are xxh3 with 64 bits. They are part of the protocol between instances: changing
one needs a configuration version that all instances understand.
"""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

_SEPARATOR = "\x00"


def hash_text(text: str) -> int:
    """Returns the 64-bit hash of a text."""
    return xxh3_64_intdigest(text.encode())


def hash_flow(service: str, host: str, port: int) -> int:
    """Returns the 64-bit hash that identifies a flow.

    Args:
        service: Name of the service whose address the packet was sent to.
        host: IP number of the caller.
        port: Source port of the caller.
    """
    return xxh3_64_intdigest(f"{service}{_SEPARATOR}{host}{_SEPARATOR}{port}".encode())


def hash_request(caller_id: str, request_id: str, issued_at_ms: int) -> int:
    """Returns the 64-bit hash of the identity of a request.

    Args:
        caller_id: Name that the caller gives itself.
        request_id: Number or text that is unique for the caller.
        issued_at_ms: When the caller first sent the request, in ms since the epoch.
    """
    identity = f"{caller_id}{_SEPARATOR}{request_id}{_SEPARATOR}{issued_at_ms}"
    return xxh3_64_intdigest(identity.encode())


def rank_by_rendezvous(key: str, members: Iterable[str]) -> list[str]:
    """Orders members by rendezvous hash for a key, highest first.

    Removing a member does not change the order of the others.

    Args:
        key: What the members are ranked for.
        members: Names of the members, in any order.

    Returns:
        All members; ties are broken by name.
    """
    return sorted(members, key=lambda member: (-hash_text(f"{key}{_SEPARATOR}{member}"), member))
