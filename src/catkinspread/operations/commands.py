"""Commands of the operators' language. A command changes the configuration."""

import msgspec

from catkinspread.model import Endpoint


class CreateDataCentre(msgspec.Struct, frozen=True, tag=True):
    """Creates a data centre that takes traffic."""

    name: str
    region: str


class CreateService(msgspec.Struct, frozen=True, tag=True):
    """Creates a service; an empty team stands for the team of the operator."""

    name: str
    address: Endpoint
    team: str = ""
    priority: int = 1


class AddUpstream(msgspec.Struct, frozen=True, tag=True):
    """Adds an upstream to a service; the attributes are those of `model.Upstream`."""

    name: str
    service: str
    data_centre: str
    endpoint: Endpoint
    weight: int = 100
    work_slots: int = 2
    connections_max: int = 2000
    cold_rate_per_s: float = 5.0
    warm_rate_per_s: float = 500.0
    warmup_ms: int = 30_000


class DrainUpstream(msgspec.Struct, frozen=True, tag=True):
    """Gives the slots of an upstream to others; its flows stay."""

    name: str


class UndrainUpstream(msgspec.Struct, frozen=True, tag=True):
    """Undoes a drain, or a removal that is not complete."""

    name: str


class RemoveUpstream(msgspec.Struct, frozen=True, tag=True):
    """Drains an upstream and removes it once nothing points at it."""

    name: str


class TakeOutDataCentre(msgspec.Struct, frozen=True, tag=True):
    """Stops all packets to the upstreams of a data centre."""

    name: str


class BringBackDataCentre(msgspec.Struct, frozen=True, tag=True):
    """Gives slots to the upstreams of a data centre again."""

    name: str


class SetWeight(msgspec.Struct, frozen=True, tag=True):
    """Changes the weight of an upstream."""

    name: str
    weight: int


Command = (
    CreateDataCentre
    | CreateService
    | AddUpstream
    | DrainUpstream
    | UndrainUpstream
    | RemoveUpstream
    | TakeOutDataCentre
    | BringBackDataCentre
    | SetWeight
)


class CommandStatement(msgspec.Struct, frozen=True):
    """A command with its modifiers.

    Attributes:
        command: What to change.
        if_version: Version that the configuration must have; None if any.
        is_dry_run: Whether to answer what would change without changing it.
        reason: Why, in the words of the operator.
    """

    command: Command
    if_version: int | None = None
    is_dry_run: bool = False
    reason: str = ""
