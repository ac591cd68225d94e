"""Counts the bytes that an instance sends, by their purpose and by whether they leave its data centre."""

import collections
import enum


class TrafficKind(enum.Enum):
    """Purpose of the bytes."""

    # Packets of callers that are forwarded to upstreams.
    PACKETS = "packets"
    # Hellos to other instances, and the replies to them.
    MEMBERSHIP = "membership"
    # Load reports, reports of unreachable upstreams, summaries of demand and load, and messages
    # about flows.
    REPORTS = "reports"
    # Deployment state read from other instances, counted by the reader.
    STATE = "state"


class TrafficMeter:
    """Counts bytes without the headers of the network layers.

    Attributes:
        bytes_by_name: Bytes by `KIND_local` for the own data centre and `KIND_remote` for others.
    """

    __slots__ = ("bytes_by_name",)

    def __init__(self) -> None:
        self.bytes_by_name: collections.Counter[str] = collections.Counter()

    def record(self, kind: TrafficKind, is_remote: bool, size_bytes: int) -> None:
        """Counts bytes that were sent or, for STATE, received."""
        scope = "remote" if is_remote else "local"
        self.bytes_by_name[f"{kind.value}_{scope}"] += size_bytes
