"""Interface of a transition owner to the coordinators of its transitions."""

from collections.abc import Iterable
from typing import Protocol

from catkinspread.model import Configuration, OwnerMember
from catkinspread.routing.actions import OwnerAction
from catkinspread.routing.batches import BatchTable, TransitionBatch
from catkinspread.routing.counters import OwnerCounters
from catkinspread.routing.groups import LiveMembers
from catkinspread.routing.limits import RoutingLimits
from catkinspread.routing.pins import PinTable
from catkinspread.routing.replication import PinReplicator


class OwnerContext(Protocol):
    """State of a transition owner that its coordinators read and change.

    Attributes:
        batches: Slots in transition.
        configuration: Configuration in force.
        counters: Counters.
        limits: Limits and time-outs.
        members: Live instances.
        pins: Pins of flows.
        replicator: Replicates pins to other members.
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
        """Name and incarnation of this instance."""

    def find_base_upstream(self, service: str, flow: int) -> str:
        """Returns the upstream of a flow by the base of its slot."""

    def list_replicas(self, batch: TransitionBatch) -> list[str]:
        """Returns the other live members that store the pins of a batch."""

    def remove_at_replicas(
        self, service: str, flows: Iterable[int], actions: list[OwnerAction]
    ) -> None:
        """Adds messages that remove the pins of flows at the replicas."""
