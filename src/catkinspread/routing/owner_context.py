"""What the steps of a transition need of the owner that takes them."""

from collections.abc import Iterable
from typing import Protocol

from catkinspread.model import Configuration, OwnerMember
from catkinspread.routing.actions import OwnerAction
from catkinspread.routing.batches import Batch, BatchTable
from catkinspread.routing.counters import OwnerCounters
from catkinspread.routing.groups import LiveMembers
from catkinspread.routing.limits import RoutingLimits
from catkinspread.routing.pins import PinTable
from catkinspread.routing.replication import PinReplicator


class OwnerContext(Protocol):
    """State of an owner that its steps read and change.

    Attributes:
        batches: Slots in transition.
        configuration: Configuration in force.
        counters: Counters.
        limits: Limits and periods.
        members: Live members.
        pins: Pins of flows.
        replicator: Copies pins to other members.
    """

    batches: BatchTable
    configuration: Configuration
    counters: OwnerCounters
    limits: RoutingLimits
    members: LiveMembers
    pins: PinTable
    replicator: PinReplicator

    @property
    def member(self) -> OwnerMember:
        """This run of this instance."""

    def find_base_upstream(self, service: str, flow: int) -> str:
        """Returns the upstream of a flow without the transition."""

    def list_replicas(self, batch: Batch) -> list[str]:
        """Returns the other members that hold the pins of a batch."""

    def forget_at_replicas(
        self, service: str, flows: Iterable[int], actions: list[OwnerAction]
    ) -> None:
        """Adds messages that remove the pins of flows at the other members."""
