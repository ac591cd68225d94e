"""Hashes of flows and requests, and rendezvous ranking.

All hashes are 64-bit XXH3. They are part of the protocol between instances: instances that compute
different hashes would route the same flow differently and choose different owners for the same
service or shard. Changing a hash is therefore an incompatible change of the protocol; instances with
the old and the new hash must not run together.
"""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

# Separates the hashed parts, so that ("a", "bc") and ("ab", "c") give different hashes.
_SEPARATOR = "\x00"


def hash_text(text: str) -> int:
    """Returns the 64-bit hash of a text in UTF-8."""
    return xxh3_64_intdigest(text.encode())


def hash_flow(service: str, host: str, port: int) -> int:
    """Returns the 64-bit hash that identifies a flow.

    Args:
        service: Name of the service whose address the packet was sent to.
        host: IP address of the caller.
        port: Source port of the caller.
    """
    return xxh3_64_intdigest(f"{service}{_SEPARATOR}{host}{_SEPARATOR}{port}".encode())


def hash_request(caller_id: str, request_id: str, issued_at_ms: int) -> int:
    """Returns the 64-bit hash that identifies a request and its retries.

    Args:
        caller_id: Name chosen by the caller, the same on all its flows.
        request_id: Identifier that is unique among the requests of the caller.
        issued_at_ms: When the caller first sent the request, in ms since the Unix epoch.
    """
    identity = f"{caller_id}{_SEPARATOR}{request_id}{_SEPARATOR}{issued_at_ms}"
    return xxh3_64_intdigest(identity.encode())


def rank_by_rendezvous(key: str, members: Iterable[str]) -> list[str]:
    """Ranks members for a key by rendezvous hashing (highest random weight).

    Removing a member does not change the relative order of the others.

    Args:
        key: Key to rank for, such as a role or a shard.
        members: Names of the members, in any order.

    Returns:
        All members in descending order of their hash; equal hashes are ordered by name.
    """
    return sorted(members, key=lambda member: (-hash_text(f"{key}{_SEPARATOR}{member}"), member))
