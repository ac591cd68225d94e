"""What operations asks the running instances and their records for."""

from typing import Protocol

import msgspec

from catkinspread.model import Endpoint, InstanceIncarnation


class RecordLine(msgspec.Struct, frozen=True):
    """One record about a flow or request.

    Attributes:
        at_ms: When, in ms since the epoch.
        instance: Instance that recorded it.
        version: Version of the configuration in force there.
        upstream: Name of the upstream; empty if none.
        detail: Timings, limits and the reason.
    """

    at_ms: int
    instance: str
    version: int
    upstream: str
    detail: str


class FleetSource(Protocol):
    """Answers from the running instances and from the records."""

    def list_live_members(self) -> dict[str, tuple[InstanceIncarnation, ...]]:
        """Returns the live instances by data centre."""

    async def read_versions(self) -> dict[str, int]:
        """Returns the version in force by instance, for the instances that are known."""

    async def count_flows(self, service: str) -> dict[str, int]:
        """Returns the number of open flows by upstream; empty if it is not known."""

    async def find_flow_records(self, service: str, caller: Endpoint) -> list[RecordLine]:
        """Returns the records of a flow, oldest first; empty if nothing was recorded."""

    async def find_request_records(self, service: str, request_id: str) -> list[RecordLine]:
        """Returns the records of a request, oldest first; empty if nothing was recorded."""
