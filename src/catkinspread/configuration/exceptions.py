"""A compact mapping from flow hash to upstream for the exceptions of a slot."""

import array
from bisect import bisect_left
from collections.abc import Iterator, Mapping

_NARROW_MAX = 256


class FlowExceptions(Mapping):
    """Sorted 64-bit hashes.

    At 15 flows in a slot it takes 30 bytes a flow with all overhead, a dict 87. A day's
    exceptions at the target are a million flows.

    Args:
        upstreams: Name of the upstream by flow hash.
    """

    __slots__ = ("_flows", "_names", "_positions")

    def __init__(self, upstreams: Mapping[int, str]) -> None:
        self._flows = array.array("Q", sorted(upstreams))
        self._names = tuple(sorted(set(upstreams.values())))
        self._positions: array.array | None = None
        if len(self._names) > 1:
            positions = {name: position for position, name in enumerate(self._names)}
            code = "B" if len(self._names) <= _NARROW_MAX else "H"
            self._positions = array.array(
                code, (positions[upstreams[flow]] for flow in self._flows)
            )

    def __getitem__(self, flow: int) -> str:
        position = bisect_left(self._flows, flow)
        if position == len(self._flows) or self._flows[position] != flow:
            raise KeyError(flow)
        return self._names[0 if self._positions is None else self._positions[position]]

    def get(self, flow: int, default=None):
        """Returns the upstream of a flow, or a default; without an error in between."""
        position = bisect_left(self._flows, flow)
        if position == len(self._flows) or self._flows[position] != flow:
            return default
        return self._names[0 if self._positions is None else self._positions[position]]

    def __iter__(self) -> Iterator[int]:
        return iter(self._flows)

    def __len__(self) -> int:
        return len(self._flows)

    def __repr__(self) -> str:
        return f"FlowExceptions({dict(self)!r})"

    def has_upstream(self, name: str) -> bool:
        """Whether any flow is on an upstream."""
        return name in self._names

    def without(self, name: str) -> Mapping[int, str]:
        """Returns the exceptions without those of an upstream."""
        kept = {flow: upstream for flow, upstream in self.items() if upstream != name}
        return FlowExceptions(kept) if kept else {}
