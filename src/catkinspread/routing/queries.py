"""Queries on a configuration: numbers of exceptions, and which upstreams can serve flows."""

from catkinspread.model import Configuration, DataCentreState


def count_exceptions(configuration: Configuration, service: str) -> int:
    """Returns the number of flows of a service that are listed as exceptions to the slot table.

    While the number is above `RoutingLimits.exceptions_max`, slots should be moved only for a
    drain. The number is 0 for an unknown service.
    """
    table = configuration.slot_tables.get(service)
    return 0 if table is None else sum(base.exception_count for base in table.bases)


def is_unused(configuration: Configuration, name: str) -> bool:
    """Returns whether no flow can be assigned to an upstream, so that removing it breaks none.

    The old upstream of a slot in transition stays in use until the transition has ended with
    its exception list. An upstream that the configuration does not contain is unused.

    Raises:
        KeyError: The service of the upstream has no slot table.
    """
    upstream = configuration.upstreams.get(name)
    if upstream is None:
        return True
    table = configuration.slot_tables[upstream.service]
    is_base = any(base.default == name or name in base.exceptions for base in table.bases)
    return not is_base and all(value.target != name for value in table.transitions.values())


def can_serve_flows(configuration: Configuration, name: str) -> bool:
    """Returns whether existing flows on an upstream can continue.

    False if the configuration does not contain the upstream or its data centre is out of service;
    a data centre that the configuration does not contain counts as in service.
    """
    upstream = configuration.upstreams.get(name)
    if upstream is None:
        return False
    data_centre = configuration.data_centres.get(upstream.data_centre)
    return data_centre is None or data_centre.state is DataCentreState.IN
