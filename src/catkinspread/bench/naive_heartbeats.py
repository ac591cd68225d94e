"""The naive membership: every instance sends a heartbeat to every other one each second."""

import msgspec

from catkinspread.bench.fleet import HEADER_BYTES


class _NaiveHeartbeat(msgspec.Struct, array_like=True, frozen=True):
    sender: str
    incarnation: int
    version: int


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_NaiveHeartbeat)


class NaiveMembership:
    """One instance with its last contact to each other one."""

    __slots__ = ("_heard_ms", "_name", "_peers")

    def __init__(self, name: str, peers: list[str]) -> None:
        self._name = name
        self._peers = peers
        self._heard_ms: dict[str, int] = {}

    def make_heartbeats(self, now_ms: int) -> list[bytes]:
        """Returns one datagram for each peer."""
        return [_ENCODER.encode(_NaiveHeartbeat(self._name, now_ms, 1)) for _ in self._peers]

    def handle(self, datagram: bytes, now_ms: int) -> None:
        """Notes a heartbeat."""
        self._heard_ms[_DECODER.decode(datagram).sender] = now_ms

    def list_live(self, now_ms: int) -> list[str]:
        """Returns the peers heard of in the last 2 s."""
        return [name for name, heard_ms in self._heard_ms.items() if now_ms - heard_ms <= 2_000]


def count_naive_bytes_per_s(node_count: int) -> float:
    """Returns what an instance sends and receives in a second, in bytes."""
    names = [f"dc-{index % 8 + 1}-{index:03d}" for index in range(node_count)]
    node = NaiveMembership(names[0], names[1:])
    sent = sum(len(datagram) + HEADER_BYTES for datagram in node.make_heartbeats(1_700_000_000_000))
    return 2.0 * sent
