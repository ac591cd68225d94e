"""Questions about a configuration that commands and transitions ask."""

from catkinspread.model import Configuration, DataCentreState


def count_exceptions(configuration: Configuration, service: str) -> int:
    """Returns the number of exceptions of a service.

    No further slots should be moved, except for a drain, while it is above the limit.
    """
    table = configuration.slot_tables.get(service)
    return 0 if table is None else sum(base.exception_count for base in table.bases)


def is_unused(configuration: Configuration, name: str) -> bool:
    """Returns whether no flow can be on an upstream, so that its removal breaks none.

    A transition keeps its old upstream in use until it is listed.
    """
    upstream = configuration.upstreams.get(name)
    if upstream is None:
        return True
    table = configuration.slot_tables[upstream.service]
    is_base = any(base.default == name or name in base.exceptions for base in table.bases)
    return not is_base and all(value.target != name for value in table.transitions.values())


def can_serve_flows(configuration: Configuration, name: str) -> bool:
    """Returns whether flows on an upstream can go on."""
    upstream = configuration.upstreams.get(name)
    if upstream is None:
        return False
    data_centre = configuration.data_centres.get(upstream.data_centre)
    return data_centre is None or data_centre.state is DataCentreState.IN
