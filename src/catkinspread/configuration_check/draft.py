"""Data types of a configuration that is to be checked.

A draft keeps what the decoded configuration leaves out, such as services of weight 0. It is
independent of the format that it was read from.

`gc=False` has the reason that is given in `findings`.
"""

import msgspec

from catkinspread.configuration_check.findings import (
    ConfigurationField,
    ConfigurationPart,
    ObjectKind,
)
from catkinspread.deployment import Route, RoutingConfiguration, ServiceLimits, ServiceShare


class RouteEntry(msgspec.Struct, frozen=True, gc=False):
    """A route with the values that its decoded form leaves out.

    Attributes:
        route: The route as instances use it.
        request_kind: Kind of its requests, as written.
        service: Service of the route if it has no backends; empty if none is written.
        backends: Services that share the route, including those of weight 0.
    """

    route: Route
    request_kind: str
    service: str
    backends: tuple[ServiceShare, ...]


class ConfigurationDraft:
    """A configuration that instances can decode.

    Args:
        configuration: The configuration as instances use it.
        entries: Entries of its routes, in the same order.

    Attributes:
        configuration: The configuration as instances use it.
        routes: Entry of each route, with the part that findings about it name.
        services: Limits of each service, with the part that findings about them name.
    """

    __slots__ = ("configuration", "routes", "services")

    def __init__(
        self, configuration: RoutingConfiguration, entries: tuple[RouteEntry, ...]
    ) -> None:
        self.configuration = configuration
        # Listed once, because nearly every check reads all of them.
        self.routes: tuple[tuple[ConfigurationPart, RouteEntry], ...] = tuple(
            (ConfigurationPart(ObjectKind.ROUTE, entry.route.name, position), entry)
            for position, entry in enumerate(entries)
        )
        self.services: tuple[tuple[ConfigurationPart, ServiceLimits], ...] = tuple(
            (ConfigurationPart(ObjectKind.SERVICE, service.name, position), service)
            for position, service in enumerate(configuration.services)
        )


class DecodingFault(msgspec.Struct, frozen=True):
    """A value that makes the decoder refuse the configuration.

    Attributes:
        part: The part of the configuration that has the value.
        field: The field of the part.
        reason: Why the decoder refuses it.
    """

    part: ConfigurationPart
    field: ConfigurationField
    reason: str


class DraftReading(msgspec.Struct, frozen=True):
    """The result of reading a configuration that is to be checked.

    Attributes:
        draft: The configuration; None if the decoder refuses it.
        faults: Why the decoder refuses it; empty if it does not.
    """

    draft: ConfigurationDraft | None
    faults: tuple[DecodingFault, ...] = ()
