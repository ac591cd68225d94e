"""Queries of the operators' language. A query changes nothing."""

import msgspec

from catkinspread.model import Endpoint
from catkinspread.operations.commands import Command


class PlanCommand(msgspec.Struct, frozen=True, tag=True):
    """Asks what a command would move."""

    command: Command


class ShowServices(msgspec.Struct, frozen=True, tag=True):
    """Asks for all services."""


class ShowDataCentres(msgspec.Struct, frozen=True, tag=True):
    """Asks for all data centres."""


class ShowUpstreams(msgspec.Struct, frozen=True, tag=True):
    """Asks for the upstreams of a service."""

    service: str


class ShowDraining(msgspec.Struct, frozen=True, tag=True):
    """Asks what still points at upstreams that drain."""


class ShowVersions(msgspec.Struct, frozen=True, tag=True):
    """Asks which version each instance has in force."""


class ShowFlow(msgspec.Struct, frozen=True, tag=True):
    """Asks where a flow goes and what was recorded about it."""

    service: str
    caller: Endpoint


class ShowRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks what was recorded about a request of a service."""

    request_id: str
    service: str


class ObjectName(msgspec.Struct, frozen=True, order=True):
    """An object that changes name; the kind is a keyword such as "upstream"."""

    kind: str
    name: str


class ShowChanges(msgspec.Struct, frozen=True, tag=True):
    """Asks for accepted changes.

    Attributes:
        of_object: Only changes of this object.
        by_actor: Only changes of this operator or instance; empty if all.
        since_version: Only changes with a greater version.
    """

    of_object: ObjectName | None = None
    by_actor: str = ""
    since_version: int = 0


class ShowRefusals(msgspec.Struct, frozen=True, tag=True):
    """Asks for the latest refused commands."""


class VerifyChanges(msgspec.Struct, frozen=True, tag=True):
    """Asks whether the configuration log is complete and unchanged."""


Query = (
    PlanCommand
    | ShowServices
    | ShowDataCentres
    | ShowUpstreams
    | ShowDraining
    | ShowVersions
    | ShowFlow
    | ShowRequest
    | ShowChanges
    | ShowRefusals
    | VerifyChanges
)
