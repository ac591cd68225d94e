"""Interface of a transition owner to the coordinators of its transitions."""

from collections.abc import Iterable
from typing import Protocol

from catkinspread.model import Configuration, InstanceIncarnation
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
        batches: Batches of the slots in transition.
        configuration: Applied configuration.
        counters: Counters of this instance since its start.
        limits: Time-outs and limits, the same on all instances.
        members: Live instances.
        pins: Pins of the flows of slots in transition.
        replicator: Sends pins to the replicas and tracks their acknowledgements.
    """

    batches: BatchTable
    configuration: Configuration
    counters: OwnerCounters
    limits: RoutingLimits
    members: LiveMembers
    pins: PinTable
    replicator: PinReplicator

    @property
    def member(self) -> InstanceIncarnation:
        """Name and incarnation of this instance."""

    def find_base_upstream(self, service: str, flow: int) -> str:
        """Returns the name of the base upstream of a flow."""

    def list_replicas(self, batch: TransitionBatch) -> list[str]:
        """Returns the names of the replicas of a batch.

        They must acknowledge the pin of an open before the buffered open is sent.
        """

    def remove_at_replicas(
        self, service: str, flows: Iterable[int], actions: list[OwnerAction]
    ) -> None:
        """Adds messages that remove the pins of flows at the replicas."""
